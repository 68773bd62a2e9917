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

// testClientListener returns a listener with the given limit, and a function that connects to it and returns both ends.
func testClientListener(t *testing.T, limit int) (l *clientListener, dial func() (client net.Conn, conn *clientConn)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = newClientListener(ln, limit)
	t.Cleanup(func() { l.Close() })
	return l, func() (net.Conn, *clientConn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		accepted := make(chan net.Conn, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				t.Error(err)
			}
			accepted <- c
		}()
		conn := receive(t, "the connection to be accepted", accepted).(*clientConn)
		t.Cleanup(func() { conn.Close() })
		return client, conn
	}
}

// sendAndRead sends text from the client, and reads all of it at the node's end.
func sendAndRead(t *testing.T, client net.Conn, conn *clientConn, text string) {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
	for read := 0; read < len(text); {
		n, err := conn.Read(make([]byte, len(text)))
		if err != nil {
			t.Fatal(err)
		}
		read += n
	}
}

// Connections whose loss costs the client least are evicted first, and of those with the same rank the one that has been
// silent for longest. Connections with a complete request, with a chunked or large body, or with unread data are never
// evicted.
func TestEvictionOrder(t *testing.T) {
	l, dial := testClientListener(t, 100)
	now := time.Now()
	var want []*clientConn
	add := func(text string, silent, begun time.Duration) *clientConn {
		client, conn := dial()
		if text != "" {
			sendAndRead(t, client, conn, text)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		conn.lastActive = now.Add(-silent)
		if text != "" {
			conn.requestStartedAt = now.Add(-begun)
		}
		return conn
	}
	const old, older = 10 * freshConnPeriod, 20 * freshConnPeriod
	const fresh = -time.Hour // in the future, so it stays fresh while the test runs
	progressing := add("GET / HT", old, older)
	add("GET / HTTP/1.1\r\nHost: a\r\n\r\n", older, older) // complete
	for _, body := range []struct {
		length int64
		text   string
	}{{3, "sum"}, {-1, "3\r\nsum\r\n"}, {maxSmallBody + 1, "sum"}} { // complete, chunked, large
		client, conn := dial()
		sendAndRead(t, client, conn, "POST / HTTP/1.1\r\nHost: a\r\n\r\n")
		conn.expectBody(body.length)
		sendAndRead(t, client, conn, body.text)
	}
	client, conn := dial()
	sendAndRead(t, client, conn, "POST / HTTP/1.1\r\nHost: a\r\n\r\n")
	conn.expectBody(3)
	sendAndRead(t, client, conn, "su")
	l.mu.Lock()
	conn.lastActive, conn.requestStartedAt = now.Add(-older), now.Add(-2*older)
	l.mu.Unlock()
	partialBody := conn
	stalledPartial := add("GET / HT", old, old)
	freshIdle := add("", fresh, 0)
	freshPartial := add("G", fresh, fresh)
	idleFirst := add("", old, 0)
	idleSecond := add("", old, 0)
	client, unread := dial()
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	await(t, "the unread data", func() bool { return !isIdle(unread.TCPConn) })
	want = []*clientConn{idleFirst, idleSecond, stalledPartial, freshIdle, progressing, partialBody, freshPartial}
	for i, c := range want {
		l.mu.Lock()
		evicted := l.evict()
		expected := c.unregistered
		l.mu.Unlock()
		if !evicted || !expected {
			t.Fatalf("eviction %d: evicted %v, the expected connection %v", i, evicted, expected)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.evict() || l.open != 5 {
		t.Errorf("%d open; want only those with a complete request or with a chunked or large body, and the one with unread data", l.open)
	}
}

// Connections with partial requests that reach the limit don't lock out new clients.
func TestPartialRequestsAreEvicted(t *testing.T) {
	_, dial := testClientListener(t, 2)
	for range 6 {
		client, conn := dial()
		sendAndRead(t, client, conn, "POST /api HTTP/1.1\r\nHost")
	}
}

// Clients may use the file descriptors that connections to servers leave free. When those need them, the descriptors are
// reclaimed by closing client connections without a complete request.
func TestFreeDescriptorsAreBorrowed(t *testing.T) {
	l, dial := testClientListener(t, 2)
	u := newUpstream(testConfig(t, memberListJSON()), 4)
	l.spareDescriptors, u.borrowed, u.reclaim = u.spareDescriptors, l.borrowed, l.reclaim
	var conns []*clientConn
	for range 4 {
		_, conn := dial()
		conns = append(conns, conn)
	}
	if l.openCount() != 4 || l.borrowed() != 2 {
		t.Fatalf("%d clients, %d of them on borrowed descriptors; want 4 and 2", l.openCount(), l.borrowed())
	}
	open := func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		ok := u.ensureDescriptor()
		if ok {
			u.addOpen(1)
		}
		return ok
	}
	for i := range 4 {
		if !open() {
			t.Fatalf("no descriptor for connection %d to a server", i)
		}
		if total := l.openCount() + u.openConns; total > 6 {
			t.Errorf("%d descriptors in use, want 6 at most", total)
		}
	}
	if l.openCount() != 2 || !conns[0].unregistered || !conns[1].unregistered {
		t.Errorf("%d clients open, want the last two", l.openCount())
	}
	if open() {
		t.Error("opened a connection beyond the limit")
	}
}

// Client connections on borrowed descriptors that have a complete request are not closed for connections to servers.
func TestBorrowedDescriptorsInUseAreNotReclaimed(t *testing.T) {
	l, dial := testClientListener(t, 1)
	u := newUpstream(testConfig(t, memberListJSON()), 2)
	l.spareDescriptors, u.borrowed, u.reclaim = u.spareDescriptors, l.borrowed, l.reclaim
	for i := range 2 {
		client, conn := dial()
		sendAndRead(t, client, conn, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i))
		conn.stateChanged(http.StateActive)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.addOpen(1); u.ensureDescriptor() || l.openCount() != 2 {
		t.Errorf("%d clients open, want both", l.openCount())
	}
}

// Pipelined data after the last request is not read, but its client still gets the complete response.
func TestResponseIsNotLostToPipelinedData(t *testing.T) {
	_, dial := testClientListener(t, 2)
	client, conn := dial()
	if err := conn.SetWriteBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	sendAndRead(t, client, conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	await(t, "the pipelined data", func() bool { return hasUnread(conn.TCPConn) })
	response := largeBody(200 << 10) // more than is in flight at once: the rest stays in the send buffer
	if _, err := conn.Write(response); err != nil {
		t.Fatal(err)
	}
	conn.markAnswered()
	closed := make(chan error, 1)
	go func() { closed <- conn.Close() }()
	await(t, "writes to fail", func() bool { _, err := conn.Write([]byte("x")); return err != nil })
	got, err := io.ReadAll(client)
	if err != nil || !bytes.Equal(got[:min(len(got), len(response))], response) {
		t.Errorf("read %d bytes, %v; want all %d and EOF", len(got), err, len(response))
	}
	client.Close()
	if err := receive(t, "the close", closed); err != nil {
		t.Error(err)
	}
}

// Guards against reads that each leave garbage: a body is read in thousands of pieces, and near its memory limit the node spent
// over half of its processor time on collecting that.
func TestReadingABodyAllocatesNothing(t *testing.T) {
	_, dial := testClientListener(t, 10)
	client, conn := dial()
	sendAndRead(t, client, conn, "POST / HTTP/1.1\r\n\r\n")
	conn.expectBody(1 << 30)
	piece, buffer := make([]byte, 4<<10), make([]byte, 4<<10)
	allocated := testing.AllocsPerRun(500, func() {
		if _, err := client.Write(piece); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(buffer); err != nil {
			t.Fatal(err)
		}
	})
	if allocated >= 1 {
		t.Errorf("each read allocates %v objects", allocated)
	}
}
