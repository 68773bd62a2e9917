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

// pipelinedRequest returns the head of a GET request with extra header lines, for connections with several requests.
func pipelinedRequest(id, extraHeaders string) string {
	return "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 2000\r\n" + extraHeaders + "\r\n"
}

// A request that is pipelined behind another uses up part of its deadline while it waits. The server must be sent the
// remaining time.
func TestPipelinedRequestForwardsRemainingDeadline(t *testing.T) {
	const firstDuration = 100 * time.Millisecond // the server's processing time of the first request
	deadlines := make(chan int, 2)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
		if deadlines <- ms; r.Header.Get("X-Request-Id") == "r1" {
			<-time.After(firstDuration)
		}
	})
	node, _ := startNode(t, testConfig(t, memberListJSON(addr)))
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, pipelinedRequest("r1", "")+pipelinedRequest("r2", "")); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	receive(t, "the first request", deadlines)
	remaining := (2*time.Second - firstDuration).Milliseconds()
	if ms := receive(t, "the second request", deadlines); int64(ms) > remaining {
		t.Errorf("the server is sent a deadline of %d ms for the second request, of which %d are left", ms, remaining)
	}
}

// A client pipelines a flood of requests behind its first one and disconnects. That must be noticed before another attempt is
// made for it, however much of the flood is unread.
func TestDisconnectBehindFloodIsNoticed(t *testing.T) {
	for _, size := range []int{30 << 10, 100 << 10, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			got, proceed := make(chan string, 1000), make(chan struct{})
			addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
				got <- r.Header.Get("X-Request-Id")
				<-proceed
			})
			node, listener := startLoopAndListener(t, addr)
			dialled, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer dialled.Close()
			if _, err := io.WriteString(dialled, pipelinedRequest("r1", "")); err != nil {
				t.Fatal(err)
			}
			receive(t, "the attempt", got)
			var flood strings.Builder
			for i := 2; flood.Len() < size; i++ {
				flood.WriteString(pipelinedRequest(fmt.Sprint("r", i), "X-Pad: "+strings.Repeat("x", 200)+"\r\n"))
			}
			_ = dialled.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)) // the socket buffers may not hold all of it
			_, _ = io.WriteString(dialled, flood.String())
			dialled.Close()
			close(proceed)
			await(t, "the end of the connection", func() bool { return listener.openCount() == 0 })
			if len(got) > 0 {
				t.Errorf("%d more attempts, the first is %s", len(got), <-got)
			}
		})
	}
}

// startLoopAndListener runs a loop that knows the server at addr, and a listener for its clients.
func startLoopAndListener(t *testing.T, addr string) (node string, listener *clientListener) {
	t.Helper()
	l, err := newLoop(testConfig(t, memberListJSON(addr)), clock{start: time.Now()}, testUpstream(t, addr))
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, l, addr)
	return serveClients(t, l)
}

// A connection whose client stops sending within a further request is closed as early as within a first request, and not only
// after clientIdleTimeout as an idle connection is.
func TestPartialFurtherRequestTimesOut(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	node, _ := startNode(t, testConfig(t, memberListJSON(addr)))
	for _, part := range []string{"G", "GET", "GET /api HTTP/1.1\r\nHo"} {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, pipelinedRequest("r"+strconv.Itoa(len(part)), "")); err != nil {
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
		_, _ = io.ReadAll(in) // until the connection ends
		if d := time.Since(began); d > clientIdleTimeout/2 {
			t.Errorf("%q: the connection is closed after %v", part, d)
		}
	}
}

// A request's arrival time is when its first bytes arrived, even if the process was delayed before it read them.
func TestArrivalTimeOfDelayedRead(t *testing.T) {
	_, dial := testClientListener(t, 10)
	client, conn := dial()
	if _, err := io.WriteString(client, pipelinedRequest("r1", "")); err != nil {
		t.Fatal(err)
	}
	await(t, "the request", func() bool { return hasUnread(conn.TCPConn) })
	arrived := time.Now()
	const delay = 50 * time.Millisecond
	<-time.After(delay)
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	const resolution = 10 * time.Millisecond // of the system clock by which the arrival time is computed
	if late := conn.arrivedAt().Sub(arrived); late > resolution {
		t.Errorf("the recorded arrival is %v after the actual one", late)
	}
}

// A request behind a chunked one is answered as any other, even if both were read together.
func TestRequestsBehindChunkedRequestAreAnswered(t *testing.T) {
	addr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s got %s", r.Header.Get("X-Request-Id"), body)
	})
	node, _ := startNode(t, testConfig(t, memberListJSON(addr)))
	chunked := func(id, body string) string {
		return "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 2000\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n" + body
	}
	text := pipelinedRequest("r1", "") + chunked("r2", "2;ext=1\r\nab\r\n1\r\nc\r\n0\r\n\r\n") + pipelinedRequest("r3", "") +
		chunked("r4", "0\r\nX-Trailer: 1\r\n\r\n") + chunked("r5", "3\r\nxyz\r\n0\r\n\r\n") + pipelinedRequest("r6", "")
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
				t.Fatalf("%d pieces, answer %d: %d %q, %v, Connection: close %v; want %q", pieces, i+1, resp.StatusCode, body, err, resp.Close, want)
			}
		}
	}
}

// A chunk-size line that fills net/http's buffer except for its last byte is handled as any overlong line: with an error
// response, or by closing the connection in time.
func TestOverlongChunkLinesAreRejected(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached a server") })
	node, _ := startNode(t, testConfig(t, memberListJSON(addr)))
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
		_ = c.SetReadDeadline(time.Now().Add(testTimeout / 3))
		got, err := io.ReadAll(c)
		if os.IsTimeout(err) || len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
			t.Errorf("%s: %.40q, %v", what, got, err)
		}
	}
}

// A connection that was to be closed may stay open after all because the node accepts clients again. It must then record the
// arrival times of further requests and read ahead as before.
func TestKeptConnectionResetsArrivalTime(t *testing.T) {
	_, dial := testClientListener(t, 10)
	client, conn := dial()
	sendAndRead(t, client, conn, pipelinedRequest("r1", ""))
	conn.owner.mu.Lock()
	conn.readAhead.append([]byte("G"), time.Now()) // the start of a pipelined request
	conn.owner.mu.Unlock()
	if !conn.mayStayOpen(true) || !conn.closeAfterReadAhead {
		t.Fatal("the connection does not wait for the request that was read ahead")
	}
	if conn.presence() != clientPresent {
		t.Fatal("the client counts as disconnected")
	}
	conn.owner.mu.Lock()
	conn.readAheadFullSince = time.Now().Add(-time.Minute) // the buffer became full long ago
	conn.readAhead = readAheadBuffer{}
	conn.markWaiting()
	conn.owner.mu.Unlock()
	if !conn.mayStayOpen(false) || conn.closeAfterReadAhead {
		t.Error("the connection no longer reads ahead")
	}
	before := time.Now()
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 4096))
		read <- err
	}()
	await(t, "a read of the empty socket", func() bool {
		conn.owner.mu.Lock()
		defer conn.owner.mu.Unlock()
		return conn.readAheadFullSince.IsZero()
	})
	if _, err := io.WriteString(client, pipelinedRequest("r2", "")); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, "the request", read); err != nil {
		t.Fatal(err)
	}
	if early := before.Sub(conn.arrivedAt()); early > time.Second {
		t.Errorf("the recorded arrival is %v before the request was written", early)
	}
}
