package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cobaltward/policy"
)

// Guards against requests that are sent after their client has left: its FIN comes behind all that it has written, and stays on
// its side while the receive window is closed. The node took up to 32 KiB of unread data for a sign that the window is open,
// and at the end of a large body took a client that it couldn't see for one that is there.
func TestDepartureHiddenBehindUnreadDataIsRespected(t *testing.T) {
	for name, pipeline := range map[string]struct {
		count, size int
		chunked     bool
	}{
		"many small requests":    {1000, 1000, false},
		"requests of 30 kB":      {40, 30_000, false},
		"chunked large requests": {20, 70_000, true},
		"large requests":         {3, 2_000_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var complete atomic.Int32
			began, left := make(chan struct{}, 1), make(chan struct{})
			addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) { // it reads nothing of a body until the client has left
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					select {
					case began <- struct{}{}:
					default:
					}
					<-left
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					complete.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			l, _ := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
				switch e := ev.(type) {
				case policy.Request:
					return sendActions(e.ID, 1)
				case policy.Outcome:
					return []policy.Action{{Kind: policy.Refuse, ID: e.ID, Wait: time.Second}}
				}
				return nil
			})
			node, listener := serveClients(t, l)
			conn, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			body := strings.Repeat("x", pipeline.size)
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", pipeline.size, body)
			if pipeline.chunked {
				framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", pipeline.size, body)
			}
			firstBegan := make(chan struct{})
			go func() {
				for i := range pipeline.count {
					if _, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n%s", i, framing); err != nil {
						return
					}
					if pipeline.size <= maxSmallBody { // otherwise this one is read only while it is forwarded
						<-firstBegan
					}
				}
			}()
			receive(t, "the first request", began)
			close(firstBegan)
			await(t, "data that is held back on the client's side", func() bool { return unsentBytes(t, conn) > 0 })
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			close(left)
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			await(t, "the connection to be closed", func() bool { return listener.openCount() == 0 })
			if n := complete.Load(); n > 1 { // the first may have been complete before the client left
				t.Errorf("%d requests were sent after their client had left", n-1)
			}
		})
	}
}

// unsentBytes returns how many bytes the peer of a connection has not received yet.
func unsentBytes(t *testing.T, c net.Conn) (n int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
}
