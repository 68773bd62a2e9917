package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// disconnects are the ways in which a client leaves.
var disconnects = map[string]func(*net.TCPConn){
	"closes":           func(c *net.TCPConn) { c.Close() },
	"resets":           func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	"ends its sending": func(c *net.TCPConn) { _ = c.CloseWrite() },
}

// A client that leaves while its large request waits for a server is noticed at once, though a part of the body is unread in
// front of its FIN: the request leaves the queue, and no attempt is made for it.
func TestDisconnectOfWaitingUploadIsNoticed(t *testing.T) {
	for how, disconnect := range disconnects {
		for _, chunked := range []bool{true, false} {
			for _, complete := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, chunked %v, body complete %v", how, chunked, complete), func(t *testing.T) {
					node := serveUploads(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
					client := startUpload(t, node.addr, "r1", chunked)
					if complete {
						client.finish()
					}
					node.module.expectEvents(t, "list 2", "request r1")
					disconnect(client.TCPConn)
					node.module.expectEvents(t, "list 2", "request r1", "lapsed r1")
					await(t, "the connection to be closed", func() bool { return node.clients.openCount() == 0 })
				})
			}
		}
	}
}

// A watch for the client's disconnect neither interrupts the upload nor counts as a departure when an attempt begins to read.
func TestWatchedUploadIsForwarded(t *testing.T) {
	var received atomic.Int64
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if n, ok := countBody(r); ok {
			received.Store(n)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for _, chunked := range []bool{true, false} {
		released := make(chan struct{})
		node := serveUploads(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
			switch ev.(type) {
			case policy.ProcessCount: // the server has room now
				return sendActions("r1", 1)
			case policy.Outcome:
				close(released)
			}
			return nil
		})
		client := startUpload(t, node.addr, "r1", chunked)
		node.module.expectEvents(t, "list 2", "request r1")
		node.loop.send(processCount(1))
		client.finish()
		client.expectStatus(200)
		receive(t, "the outcome", released)
		if n := received.Swap(0); n != uploadSize {
			t.Errorf("chunked %v: the server received %d bytes, want %d", chunked, n, uploadSize)
		}
	}
}

// The first byte of a large request isn't sent once its client has left, even if nothing but the connection tells: the
// client's FIN may come while the attempt is being set up.
func TestUploadIsNotSentAfterDisconnect(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			requests := make(chan bool, 1)
			addr := startTCPServer(t, func(_ net.Conn, r *bufio.Reader) {
				_, err := r.ReadByte()
				requests <- err == nil
			})
			client, conn := dialClient(t)
			x := newStreamedRequest(t, "r1", strings.NewReader("rest"), maxSmallBody+4)
			x.client = conn
			disconnect(client)
			await(t, "the client's disconnect", conn.peerHasClosed)
			u := testUpstream(t, addr)
			if r := runAttempt(t, u, x); r.code != policy.Cancelled || !errors.Is(r.err, errClientLeft) {
				t.Errorf("outcome %v, %v", r.code, r.err)
			}
			if n := u.monitor.Denied(invariant.AttemptAfterDeparture); n != 1 {
				t.Errorf("%d attempts denied, want 1", n)
			}
			u.close()
			if receive(t, "the end of the connection", requests) {
				t.Error("a part of the request was sent")
			}
		})
	}
}

// dialClient returns the two ends of a client's connection.
func dialClient(t *testing.T) (client *net.TCPConn, conn *clientConn) {
	t.Helper()
	_, dial := testClientListener(t, 1)
	dialled, conn := dial()
	return dialled.(*net.TCPConn), conn
}

// peerHasClosed reports whether the client has closed or reset its side, or ended its sending.
func (c *clientConn) peerHasClosed() (ended bool) {
	failed := c.raw.Control(func(fd uintptr) { ended = peerClosed(int(fd)) })
	return failed != nil || ended
}

// A client's FIN may be hidden behind so much unread data that nobody can know of it before the attempt. Its request never
// becomes complete at the server: the end of the body is withheld.
func TestEndOfBodyIsWithheldAfterDisconnect(t *testing.T) {
	for how, disconnect := range disconnects {
		for _, length := range []int64{maxSmallBody + 4, -1} {
			t.Run(fmt.Sprintf("%s, length %d", how, length), func(t *testing.T) {
				client, conn := dialClient(t)
				server, _ := dialPair(t)
				x := newStreamedRequest(t, "r1", nil, length)
				x.client, x.bodyRest.client = conn, conn
				x.bodyRest.body = endWithData{io.MultiReader(strings.NewReader("rest"), readerFunc(func([]byte) (int, error) {
					disconnect(client)
					await(t, "the client's disconnect", conn.peerHasClosed)
					return 0, io.EOF
				})), length >= 0}
				got, err := io.ReadAll(&requestStream{request: x, conn: server})
				if !errors.Is(err, errClientLeft) || !errors.Is(x.bodyRest.failure(), errClientLeft) || length >= 0 && len(got) > 0 {
					t.Errorf("%q, %v; want an error before the end", got, err)
				}
			})
		}
	}
}

// readerFunc is a reader that calls a function.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// endWithData returns the end together with the last bytes, as net/http does for a body of known length.
type endWithData struct {
	io.Reader
	known bool
}

func (r endWithData) Read(p []byte) (n int, err error) {
	if !r.known {
		return r.Reader.Read(p)
	}
	rest, err := io.ReadAll(r.Reader)
	if err == nil {
		err = io.EOF
	}
	return copy(p, rest), err
}
