package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// serveClients starts the HTTP server for a loop, without the rest of a node.
func serveClients(t *testing.T, l *loop) (addr string, listener *clientListener) {
	t.Helper()
	return serveClientsWith(t, newServer(testConfig(t, memberListJSON("127.0.0.1:9")), l))
}

// serveClientsWith is serveClients for a given server.
func serveClientsWith(t *testing.T, s *server) (addr string, listener *clientListener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	listener = newClientListener(ln, 100)
	go func() { served <- s.http.Serve(listener) }()
	t.Cleanup(func() {
		listener.stopLingering()
		s.http.Close()
		receive(t, "the HTTP server to stop", served)
	})
	return ln.Addr().String(), listener
}

// runLoop runs a loop whose initial list has the servers at the addresses.
func runLoop(t *testing.T, l *loop, addrs ...string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { l.run(ctx, discovery.List{Members: testMembers(t, addrs...)}); close(stopped) }()
	t.Cleanup(func() {
		cancel()
		receive(t, "the loop to stop", stopped)
		l.upstream.close()
	})
}

// A client that disconnects during an attempt is detected at once, whatever data it has sent after its request: the
// attempt is cancelled, and no further attempt is made for that request or for a pipelined one.
func TestDisconnectIsDetectedBehindPipelinedData(t *testing.T) {
	requestFormat := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: read\r\nX-Deadline-Ms: 8000\r\n\r\n"
	pipelined := map[string]string{"nothing": "", "one byte": "G", "a partial request": requestFormat[:40], "a request": fmt.Sprintf(requestFormat, 2),
		"an empty line": "\r\n", "malformed data": strings.Repeat("x", 3000)}
	for i := range 100 {
		pipelined["a hundred requests"] += fmt.Sprintf(requestFormat, 2+i)
	}
	for what, data := range pipelined {
		for _, disconnect := range []string{"closes", "resets", "ends its sending"} {
			t.Run(what+", "+disconnect, func(t *testing.T) {
				attempted, cancelled := make(chan struct{}, 100), make(chan struct{}, 100)
				addr := startTCPServer(t, func(c net.Conn, in *bufio.Reader) {
					if !discardRequest(in) {
						return
					}
					attempted <- struct{}{}
					_, _ = in.ReadByte() // until the node closes the connection
					cancelled <- struct{}{}
				})
				l, err := newLoop(testConfig(t, memberListJSON(addr)), clock{start: time.Now()}, testUpstream(t, addr))
				if err != nil {
					t.Fatal(err)
				}
				runLoop(t, l, addr)
				node, listener := serveClients(t, l)
				dialled, err := net.Dial("tcp", node)
				if err != nil {
					t.Fatal(err)
				}
				c := dialled.(*net.TCPConn)
				defer c.Close()
				if _, err := io.WriteString(c, fmt.Sprintf(requestFormat, 1)+data); err != nil {
					t.Fatal(err)
				}
				receive(t, "the attempt", attempted)
				switch disconnect {
				case "closes":
					c.Close()
				case "resets":
					_ = c.SetLinger(0)
					c.Close()
				default:
					_ = c.CloseWrite()
				}
				receive(t, "the attempt to be cancelled", cancelled)
				await(t, "the connection to be closed", func() bool { return listener.openCount() == 0 })
				if len(attempted) > 0 {
					t.Errorf("%d more attempts", len(attempted))
				}
			})
		}
	}
}

// A request whose client disconnects while its body waits for memory never reaches the decision module.
func TestDisconnectWhileBodyWaitsForMemory(t *testing.T) {
	l, module := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	node, listener := serveClients(t, l)
	budget := l.upstream.memory
	budgetSize := bodyBudget(64)
	if !budget.requests.TryAcquire(budgetSize) {
		t.Fatal("the memory budget is in use")
	}
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	if err := newRequest(t, node, "POST", "pay", "r1", "sum").Write(c); err != nil {
		t.Fatal(err)
	}
	waitingConn := func() (c *clientConn) { // it waits for the rest of its request; nil if there is none
		listener.mu.Lock()
		defer listener.mu.Unlock()
		if e := listener.waiting.Front(); e != nil {
			c = e.Value.(*clientConn)
		}
		return c
	}
	await(t, "the request's head", func() bool { c := waitingConn(); return c != nil && c.awaitsBody() })
	conn := waitingConn()
	c.Close()
	await(t, "the client's disconnection", conn.inCloseWait)
	budget.requests.Release(budgetSize)
	await(t, "the connection to be closed", func() bool { return listener.openCount() == 0 })
	module.expectEvents(t, "list 2")
	if !budget.isUnused(t) {
		t.Error("part of the memory budget was not released")
	}
}

// awaitsBody reports whether the head was read and part of the body is still to come.
func (c *clientConn) awaitsBody() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.scanner.bodyLeft > 0
}

// inCloseWait reports whether the client's FIN has arrived, even if data sent before it is still unread.
func (c *clientConn) inCloseWait() (closed bool) {
	const closeWait = 8 // TCP_CLOSE_WAIT of the kernel
	failed := c.raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // tcp_info begins with the state
		closed = err == nil && info&0xff == closeWait
	})
	return closed || failed != nil
}

// An attempt that is still dialling when its client disconnects is cancelled, even at a site that doesn't allow attempts
// to be cancelled. A connection that is established nevertheless carries nothing for that request, and is used for
// another one.
func TestDisconnectCancelsDialling(t *testing.T) {
	for _, established := range []bool{false, true} {
		t.Run(fmt.Sprintf("connection established %v", established), func(t *testing.T) {
			got := make(chan string, 10)
			addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Request-Id") })
			dialling, dials := make(chan struct{}), atomic.Int32{}
			l, module := startLoop(t, addr, sendOnce)
			dial := l.upstream.dial
			l.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if dials.Add(1) > 1 {
					return dial(ctx, network, addr)
				}
				c, err := dial(ctx, network, addr)
				close(dialling)
				<-ctx.Done()
				if established {
					return c, err
				}
				c.Close()
				return nil, context.Cause(ctx)
			}
			x := l.sendArrival("r1", testTimeout)
			receive(t, "the dial", dialling)
			l.send(departure{request: x})
			module.expectEvents(t, "list 2", "request r1", "lapsed r1",
				fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
			y := l.sendArrival("r2", testTimeout)
			if a := receive(t, "a response", y.reply); a.status != http.StatusOK {
				t.Errorf("the next request: %+v", a)
			}
			if id := receive(t, "a request", got); id != "r2" || len(got) > 0 {
				t.Errorf("the server got %s and %d more, want r2 alone", id, len(got))
			}
			await(t, "all attempts to end", func() bool { open, idle := l.upstream.connCounts("s0"); return open == idle })
		})
	}
}

// After a burst of clients that send a request and disconnect, everything is released: file descriptors, body memory
// and the decision module's counts of open attempts.
func TestBurstOfDisconnectsReleasesEverything(t *testing.T) {
	held := make(chan struct{}, 1000)
	addr := startTCPServer(t, func(c net.Conn, in *bufio.Reader) {
		if discardRequest(in) {
			held <- struct{}{}
			_, _ = in.ReadByte()
		}
	})
	c := testConfig(t, memberListJSON(addr))
	c.MaxOpen = 0
	l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 100))
	if err != nil {
		t.Fatal(err)
	}
	module := &lockedBalancer{Balancer: l.module.(*policy.Balancer)}
	l.module = module
	runLoop(t, l, addr)
	node, listener := serveClients(t, l)
	for round := range 3 {
		var conns []net.Conn
		for i := range 60 {
			conn, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			id, body := fmt.Sprint(round, "-", i), ""
			method, class := "GET", "read"
			if i%2 == 1 {
				method, class, body = "POST", "undo", strings.Repeat("b", 2000)
			}
			if err := newRequest(t, node, method, class, id, body).Write(conn); err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		receive(t, "an attempt", held)
		for _, conn := range conns {
			conn.Close()
		}
		await(t, "everything to be released", func() bool {
			open, _ := l.upstream.connCounts("s0")
			return listener.openCount() == 0 && open == 0 && strings.Contains(module.String(), " s0=0/")
		})
		if !l.upstream.memory.isUnused(t) {
			t.Error("part of the memory budget was not released")
		}
	}
}

// lockedBalancer is a decision module that a test may inspect while the loop runs.
type lockedBalancer struct {
	mu sync.Mutex
	*policy.Balancer
}

func (b *lockedBalancer) Handle(now policy.Time, ev policy.Event) []policy.Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Balancer.Handle(now, ev)
}

func (b *lockedBalancer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Balancer.String()
}
