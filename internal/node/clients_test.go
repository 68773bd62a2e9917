package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// testClients accepts connections that a test dials.
func testClients(t *testing.T, most int) (l *clientListener, dial func() (theirs net.Conn, ours *clientConn)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = newClients(ln, most)
	t.Cleanup(func() { l.Close() })
	return l, func() (net.Conn, *clientConn) {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { theirs.Close() })
		accepted := make(chan net.Conn, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				t.Error(err)
			}
			accepted <- c
		}()
		ours := receive(t, "a place", accepted).(*clientConn)
		t.Cleanup(func() { ours.Close() })
		return theirs, ours
	}
}

// says sends text, and has the node read it.
func says(t *testing.T, theirs net.Conn, ours *clientConn, text string) {
	t.Helper()
	if _, err := io.WriteString(theirs, text); err != nil {
		t.Fatal(err)
	}
	for read := 0; read < len(text); {
		n, err := ours.Read(make([]byte, len(text)))
		if err != nil {
			t.Fatal(err)
		}
		read += n
	}
}

// Those who cost their clients least make room first, the longest silent of each kind; a whole request never
// does, nor one that has come and wasn't read.
func TestWhoMakesRoom(t *testing.T) {
	l, dial := testClients(t, 100)
	now := time.Now()
	var want []*clientConn
	add := func(text string, silent, since time.Duration) *clientConn {
		theirs, ours := dial()
		if text != "" {
			says(t, theirs, ours, text)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		ours.lastActive = now.Add(-silent)
		if text != "" {
			ours.requestStartedAt = now.Add(-since)
		}
		return ours
	}
	const old, older = 10 * freshConnPeriod, 20 * freshConnPeriod
	const new = -time.Hour // never old enough while the test runs
	goesOn := add("GET / HT", old, older)
	add("GET / HTTP/1.1\r\nHost: a\r\n\r\n", older, older) // whole
	for _, body := range []struct {
		length int64
		text   string
	}{{3, "sum"}, {-1, "3\r\nsum\r\n"}, {maxSmallBody + 1, "sum"}} { // whole, coded, large
		theirs, ours := dial()
		says(t, theirs, ours, "POST / HTTP/1.1\r\nHost: a\r\n\r\n")
		ours.expectBody(body.length)
		says(t, theirs, ours, body.text)
	}
	theirs, ours := dial()
	says(t, theirs, ours, "POST / HTTP/1.1\r\nHost: a\r\n\r\n")
	ours.expectBody(3)
	says(t, theirs, ours, "su")
	l.mu.Lock()
	ours.lastActive, ours.requestStartedAt = now.Add(-older), now.Add(-2*older)
	l.mu.Unlock()
	halfBody := ours
	stuckLast := add("GET / HT", old, old)
	freshQuiet := add("", new, 0)
	freshHalf := add("G", new, new)
	quietFirst := add("", old, 0)
	quietLast := add("", old, 0)
	theirs, unread := dial()
	if _, err := io.WriteString(theirs, "GET"); err != nil {
		t.Fatal(err)
	}
	await(t, "the bytes", func() bool { return !isIdle(unread.TCPConn) })
	want = []*clientConn{quietFirst, quietLast, stuckLast, freshQuiet, goesOn, halfBody, freshHalf}
	for i, c := range want {
		l.mu.Lock()
		evicted := l.evict()
		gone := c.unregistered
		l.mu.Unlock()
		if !evicted || !gone {
			t.Fatalf("eviction %d: happened %v, of the one meant %v", i, evicted, gone)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.evict() || l.open != 5 {
		t.Errorf("%d open; want those with a whole request or a paced body, and the one with bytes unread", l.open)
	}
}

// Half-written requests that fill all places keep nobody out.
func TestHalfWrittenMakeRoom(t *testing.T) {
	_, dial := testClients(t, 2)
	for range 6 {
		theirs, ours := dial()
		says(t, theirs, ours, "POST /api HTTP/1.1\r\nHost")
	}
}

// Clients have what servers leave free, and servers have it back when they need it: from those that the
// node only waits for.
func TestFreeDescriptorsAreLent(t *testing.T) {
	l, dial := testClients(t, 2)
	u := newUpstream(testConfig(t, knownList()), 4)
	l.spareSockets, u.borrowed, u.reclaim = u.available, l.borrowed, l.reclaim
	var ours []*clientConn
	for range 4 {
		_, c := dial()
		ours = append(ours, c)
	}
	if l.openCount() != 4 || l.borrowed() != 2 {
		t.Fatalf("%d clients, %d of them on borrowed descriptors; want 4 and 2", l.openCount(), l.borrowed())
	}
	open := func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		ok := u.makeRoom()
		if ok {
			u.addOpen(1)
		}
		return ok
	}
	for i := range 4 {
		if !open() {
			t.Fatalf("no descriptor for connection %d to a server", i)
		}
		if sum := l.openCount() + u.openConns; sum > 6 {
			t.Errorf("%d descriptors in use, of 6", sum)
		}
	}
	if l.openCount() != 2 || !ours[0].unregistered || !ours[1].unregistered {
		t.Errorf("%d clients left, want the last two", l.openCount())
	}
	if open() {
		t.Error("more than there are")
	}
}

// Clients that borrowed and have whole requests now are not closed for a server.
func TestLentDescriptorsInUseStay(t *testing.T) {
	l, dial := testClients(t, 1)
	u := newUpstream(testConfig(t, knownList()), 2)
	l.spareSockets, u.borrowed, u.reclaim = u.available, l.borrowed, l.reclaim
	for i := range 2 {
		theirs, ours := dial()
		says(t, theirs, ours, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i))
		ours.stateChanged(http.StateActive)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.addOpen(1); u.makeRoom() || l.openCount() != 2 {
		t.Errorf("%d clients left, want both", l.openCount())
	}
}

// What stands behind the last request is not read, but its client still gets the answer.
func TestAnswerIsNotLostToWhatIsBehind(t *testing.T) {
	_, dial := testClients(t, 2)
	theirs, ours := dial()
	if err := ours.SetWriteBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	says(t, theirs, ours, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := io.WriteString(theirs, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	await(t, "the bytes behind", func() bool { return hasUnread(ours.TCPConn) })
	answer := large(200 << 10) // more than is on its way at once: the rest waits in the system
	if _, err := ours.Write(answer); err != nil {
		t.Fatal(err)
	}
	ours.markAnswered()
	closed := make(chan error, 1)
	go func() { closed <- ours.Close() }()
	await(t, "the end of writing", func() bool { _, err := ours.Write([]byte("x")); return err != nil })
	got, err := io.ReadAll(theirs)
	if err != nil || !bytes.Equal(got[:min(len(got), len(answer))], answer) {
		t.Errorf("%d bytes, %v; want all %d and the end", len(got), err, len(answer))
	}
	theirs.Close()
	if err := receive(t, "the close", closed); err != nil {
		t.Error(err)
	}
}
