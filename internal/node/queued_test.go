package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// queuedRequest is the head of a request that stands behind others on its connection.
func queuedRequest(id, more string) string {
	return "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 2000\r\n" + more + "\r\n"
}

// A request that waits behind another has used up its client's time meanwhile: its server is told what is left.
func TestQueuedRequestIsToldWhatItsClientHasLeft(t *testing.T) {
	const first = 100 * time.Millisecond // that the server takes for the first of them
	told := make(chan int, 2)
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
		if told <- ms; r.Header.Get("X-Request-Id") == "r1" {
			<-time.After(first)
		}
	})
	node, _ := startNode(t, testConfig(t, knownList(addr)))
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, queuedRequest("r1", "")+queuedRequest("r2", "")); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	receive(t, "the first request", told)
	most := (2*time.Second - first).Milliseconds()
	if ms := receive(t, "the second request", told); int64(ms) > most {
		t.Errorf("the server of the second is told %d ms, of which %d are left", ms, most)
	}
}

// A client that floods behind its request and leaves is noticed before anything else is sent for it, however much of
// the flood nobody has read.
func TestWhoLeavesBehindAFloodIsNoticed(t *testing.T) {
	for _, size := range []int{30 << 10, 100 << 10, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			got, proceed := make(chan string, 1000), make(chan struct{})
			addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
				got <- r.Header.Get("X-Request-Id")
				<-proceed
			})
			node, all := serveNode(t, addr)
			dialled, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer dialled.Close()
			if _, err := io.WriteString(dialled, queuedRequest("r1", "")); err != nil {
				t.Fatal(err)
			}
			receive(t, "the attempt", got)
			var flood strings.Builder
			for i := 2; flood.Len() < size; i++ {
				flood.WriteString(queuedRequest(fmt.Sprint("r", i), "X-Pad: "+strings.Repeat("x", 200)+"\r\n"))
			}
			_ = dialled.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)) // all of it may find no room
			_, _ = io.WriteString(dialled, flood.String())
			dialled.Close()
			close(proceed)
			await(t, "the end of the connection", func() bool { return all.openCount() == 0 })
			if len(got) > 0 {
				t.Errorf("%d more attempts, the first is %s", len(got), <-got)
			}
		})
	}
}

// serveNode runs a loop that knows the server at addr, and serves clients for it.
func serveNode(t *testing.T, addr string) (node string, all *clientListener) {
	t.Helper()
	l, err := newLoop(testConfig(t, knownList(addr)), clock{start: time.Now()}, testUpstream(t, addr))
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, l, addr)
	return serveClients(t, l)
}

// A client that stops in the first bytes of a further request is let go as soon as one that stops in its first, and not
// only once a connection without a request would be.
func TestWhoStopsInAFurtherRequestIsLetGo(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	node, _ := startNode(t, testConfig(t, knownList(addr)))
	for _, part := range []string{"G", "GET", "GET /api HTTP/1.1\r\nHo"} {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, queuedRequest("r"+strconv.Itoa(len(part)), "")); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(c)
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		began := time.Now()
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(in) // to the connection's end
		if d := time.Since(began); d > clientIdleTimeout/2 {
			t.Errorf("after %q it is let go after %v", part, d)
		}
	}
}

// A request counts from when it came, also where the process was held up before it read it.
func TestRequestCountsFromWhenItCame(t *testing.T) {
	_, dial := testClients(t, 10)
	theirs, ours := dial()
	if _, err := io.WriteString(theirs, queuedRequest("r1", "")); err != nil {
		t.Fatal(err)
	}
	await(t, "the request", func() bool { return hasUnread(ours.TCPConn) })
	came := time.Now()
	const heldUp = 50 * time.Millisecond
	<-time.After(heldUp)
	if _, err := ours.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	const step = 10 * time.Millisecond // of the system's clock for it
	if late := ours.arrivedAt().Sub(came); late > step {
		t.Errorf("it counts from %v after it came", late)
	}
}

// A request behind one with a transfer coding is answered as any other: it may have been read together with it.
func TestRequestsBehindAChunkedOneAreAnswered(t *testing.T) {
	addr := httpServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s got %s", r.Header.Get("X-Request-Id"), body)
	})
	node, _ := startNode(t, testConfig(t, knownList(addr)))
	chunked := func(id, body string) string {
		return "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 2000\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n" + body
	}
	text := queuedRequest("r1", "") + chunked("r2", "2;ext=1\r\nab\r\n1\r\nc\r\n0\r\n\r\n") + queuedRequest("r3", "") +
		chunked("r4", "0\r\nX-Trailer: 1\r\n\r\n") + chunked("r5", "3\r\nxyz\r\n0\r\n\r\n") + queuedRequest("r6", "")
	for _, pieces := range []int{1, 7} {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() {
			rest := strings.ReplaceAll(text, "X-Request-Id: r", fmt.Sprintf("X-Request-Id: p%d-r", pieces))
			for len(rest) > 0 {
				n := min(len(rest), (len(text)+pieces-1)/pieces)
				_, _ = io.WriteString(c, rest[:n])
				rest = rest[n:]
			}
		}()
		in := bufio.NewReader(c)
		for i, want := range []string{"", "abc", "", "", "xyz", ""} {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("%d pieces, answer %d: %v", pieces, i+1, err)
			}
			body, err := io.ReadAll(resp.Body)
			if want = fmt.Sprintf("p%d-r%d got %s", pieces, i+1, want); string(body) != want || err != nil || resp.Close {
				t.Fatalf("%d pieces, answer %d: %d %q, %v, the connection ends %v; want %q", pieces, i+1, resp.StatusCode, body, err, resp.Close, want)
			}
		}
	}
}

// A chunk's line that fills net/http's buffer to the last byte but one ends as any that is too long: with an error or
// a close in time.
func TestEndlessChunkLinesAreLetGo(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) { t.Error("it reaches a server") })
	node, _ := startNode(t, testConfig(t, knownList(addr)))
	open := make(map[string]net.Conn)
	for _, size := range []int{4090, 4094, 4095, 4096, 5000} {
		for _, first := range []string{"0", "5"} {
			c, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			open[fmt.Sprintf("%d bytes from %q", size, first)] = c
			if _, err := io.WriteString(c, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r"+first+strconv.Itoa(size)+
				"\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n"+first+";"+
				strings.Repeat("x", size-2)); err != nil {
				t.Fatal(err)
			}
		}
	}
	for what, c := range open {
		_ = c.SetReadDeadline(time.Now().Add(long / 3))
		got, err := io.ReadAll(c)
		if os.IsTimeout(err) || len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
			t.Errorf("%s: %.40q, %v", what, got, err)
		}
	}
}

// A connection that was to end, and stays after all because the node takes clients again, counts its further requests
// from when they come, and reads ahead as before.
func TestConnectionThatStaysCountsAnew(t *testing.T) {
	_, dial := testClients(t, 10)
	theirs, ours := dial()
	says(t, theirs, ours, queuedRequest("r1", ""))
	ours.owner.mu.Lock()
	ours.readAhead.append([]byte("G"), time.Now()) // of a request behind it
	ours.owner.mu.Unlock()
	if !ours.mayStayOpen(true) || !ours.closeAfterReadAhead {
		t.Fatal("what was read is not waited for")
	}
	if ours.presence() != clientPresent {
		t.Fatal("the client counts as gone")
	}
	ours.owner.mu.Lock()
	ours.readAheadFullSince = time.Now().Add(-time.Minute) // it is long ago that anybody looked
	ours.readAhead = readAheadBuffer{}
	ours.markWaiting()
	ours.owner.mu.Unlock()
	if !ours.mayStayOpen(false) || ours.closeAfterReadAhead {
		t.Error("nothing is read ahead any more")
	}
	before := time.Now()
	read := make(chan error, 1)
	go func() {
		_, err := ours.Read(make([]byte, 4096))
		read <- err
	}()
	await(t, "a look at the socket", func() bool {
		ours.owner.mu.Lock()
		defer ours.owner.mu.Unlock()
		return ours.readAheadFullSince.IsZero()
	})
	if _, err := io.WriteString(theirs, queuedRequest("r2", "")); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, "the request", read); err != nil {
		t.Fatal(err)
	}
	if early := before.Sub(ours.arrivedAt()); early > time.Second {
		t.Errorf("the request counts from %v before it was written", early)
	}
}
