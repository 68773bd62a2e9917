package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against heads of thousands of short fields, each of which takes net/http half a megabyte: a head with more than
// 100 fields is refused, however it is split and whatever comes before it, and one with 100 is served.
func TestHeadOfTooManyFieldsIsRefused(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	l, _ := startLoop(t, addr, sendOnce)
	node, listener := serveClients(t, l)
	const known = 5 // fields of each request below
	for _, pieces := range []int{1, 7, 4000} {
		for _, pipelined := range []bool{true, false} {
			for _, extra := range []int{100 - known, 101 - known, 3000} {
				c, err := net.Dial("tcp", node)
				if err != nil {
					t.Fatal(err)
				}
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				id := fmt.Sprintf("%d-%v-%d", pieces, pipelined, extra)
				head := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n%s\r\n"
				text := fmt.Sprintf(head, id, strings.Repeat("a:\r\n", extra))
				if pipelined {
					text = fmt.Sprintf(head, id+"-first", "") + text
				}
				go func() {
					for i := 0; i < len(text); i += len(text)/pieces + 1 {
						_, _ = io.WriteString(c, text[i:min(len(text), i+len(text)/pieces+1)])
					}
				}()
				in := bufio.NewReader(c)
				if pipelined {
					expectResponse(t, in, http.StatusOK)
				}
				want := http.StatusBadRequest
				if extra+known <= 100 {
					want = http.StatusOK
				}
				expectResponse(t, in, want)
				c.Close()
			}
		}
	}
	await(t, "the connections to be closed", func() bool { return listener.openCount() == 0 })
}

// expectResponse reads a response, and fails the test if its status is another one.
func expectResponse(t *testing.T, in *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != status {
		t.Fatalf("status %d, want %d", resp.StatusCode, status)
	}
}

// Guards against connections whose pipelined data takes 64 KiB of memory each: all of them share one budget for it, which
// they return when they end.
func TestReadAheadBuffersShareOneBudget(t *testing.T) {
	const budget, conns = 64 << 10, 8
	began, release := make(chan struct{}, conns), make(chan struct{})
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce) // before the server is closed
	l, _ := startLoop(t, addr, sendOnce)
	node, listener := serveClients(t, l)
	listener.mu.Lock()
	listener.readAheadLeft = budget
	listener.mu.Unlock()
	var clients []net.Conn
	for i := range conns {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		clients = append(clients, c)
		if err := newRequest(t, node, "GET", "read", fmt.Sprint("r", i), "").Write(c); err != nil {
			t.Fatal(err)
		}
	}
	for range conns { // otherwise a request whose client can't be seen behind its data may be refused
		receive(t, "an attempt", began)
	}
	for _, c := range clients {
		_, _ = io.WriteString(c, strings.Repeat("x", maxReadAhead/2))
	}
	left := func() int {
		listener.mu.Lock()
		defer listener.mu.Unlock()
		return listener.readAheadLeft
	}
	await(t, "the budget to be used", func() bool { return left() <= 0 })
	const firstRead = 4 << 10 // what net/http reads of each connection together with the head
	if excess := -left(); excess > conns*firstRead {
		t.Errorf("%d bytes more than the budget are buffered", excess)
	}
	for _, c := range clients {
		c.Close()
	}
	releaseOnce()
	await(t, "the budget to be returned", func() bool { return left() == budget })
}

// Guards against a connection with nothing unread that counts as not read empty because others use the whole read-ahead budget:
// its next request would count from that time.
func TestEmptySocketIsReadEmptyWithoutBudget(t *testing.T) {
	l, dial := testClientListener(t, 10)
	client, conn := dial()
	sendAndRead(t, client, conn, "GET / HTTP/1.1\r\n\r\n")
	l.mu.Lock()
	l.readAheadLeft = 0
	l.mu.Unlock()
	if got := conn.presence(); got != clientPresent || !conn.readAheadFullSince.IsZero() {
		t.Errorf("with nothing unread: presence %v, not read empty since %v", got, conn.readAheadFullSince)
	}
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	await(t, "the data", func() bool { return hasUnread(conn.TCPConn) })
	if got := conn.presence(); got != presenceUnknown || conn.readAheadFullSince.IsZero() {
		t.Errorf("with data unread: presence %v, not read empty since %v", got, conn.readAheadFullSince)
	}
}
