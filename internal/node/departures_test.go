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

// serveClients runs a server for the loop's node, with nothing else around it.
func serveClients(t *testing.T, l *loop) (addr string, all *clientListener) {
	t.Helper()
	return serveClientsOf(t, newServer(testConfig(t, knownList("127.0.0.1:9")), l))
}

// serveClientsOf is serveClients for a server of the test's own.
func serveClientsOf(t *testing.T, s *server) (addr string, all *clientListener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	all = newClients(ln, 100)
	go func() { served <- s.http.Serve(all) }()
	t.Cleanup(func() {
		all.stopLingering()
		s.http.Close()
		receive(t, "the end of serving", served)
	})
	return ln.Addr().String(), all
}

// runLoop runs a loop that knows the servers at the addresses.
func runLoop(t *testing.T, l *loop, addrs ...string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.run(ctx, discovery.List{Members: members(t, addrs...)}); close(ended) }()
	t.Cleanup(func() {
		cancel()
		receive(t, "the loop's end", ended)
		l.upstream.close()
	})
}

// A client that leaves while an attempt is out is noticed at once, whatever it has sent behind its request: the
// attempt is called off, and nothing else is sent, neither for that request nor for one behind it.
func TestWhoLeavesIsNoticedWhateverIsBehind(t *testing.T) {
	next := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: read\r\nX-Deadline-Ms: 8000\r\n\r\n"
	behind := map[string]string{"nothing": "", "a byte": "G", "half a request": next[:40], "a request": fmt.Sprintf(next, 2),
		"an empty line": "\r\n", "no request": strings.Repeat("x", 3000)}
	for i := range 100 {
		behind["a hundred requests"] += fmt.Sprintf(next, 2+i)
	}
	for what, text := range behind {
		for _, how := range []string{"closes", "resets", "ends its sending"} {
			t.Run(what+", "+how, func(t *testing.T) {
				got, ended := make(chan struct{}, 100), make(chan struct{}, 100)
				addr := rawServer(t, func(c net.Conn, in *bufio.Reader) {
					if !swallow(in) {
						return
					}
					got <- struct{}{}
					_, _ = in.ReadByte() // until the node hangs up
					ended <- struct{}{}
				})
				l, err := newLoop(testConfig(t, knownList(addr)), clock{start: time.Now()}, testUpstream(t, addr))
				if err != nil {
					t.Fatal(err)
				}
				runLoop(t, l, addr)
				node, all := serveClients(t, l)
				dialled, err := net.Dial("tcp", node)
				if err != nil {
					t.Fatal(err)
				}
				c := dialled.(*net.TCPConn)
				defer c.Close()
				if _, err := io.WriteString(c, fmt.Sprintf(next, 1)+text); err != nil {
					t.Fatal(err)
				}
				receive(t, "the attempt", got)
				switch how {
				case "closes":
					c.Close()
				case "resets":
					_ = c.SetLinger(0)
					c.Close()
				default:
					_ = c.CloseWrite()
				}
				receive(t, "the end of the attempt", ended)
				await(t, "the end of the connection", func() bool { return all.openCount() == 0 })
				if len(got) > 0 {
					t.Errorf("%d more attempts", len(got))
				}
			})
		}
	}
}

// A request whose client has left by the time that it has come whole never reaches the module.
func TestWhoLeftBeforeItsBodyHadRoomIsNotServed(t *testing.T) {
	l, module := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	node, all := serveClients(t, l)
	room := l.upstream.memory
	most := max(minBudget, int64(budgetFraction*float64(64<<20)))
	if !room.requests.TryAcquire(most) {
		t.Fatal("the room is not empty")
	}
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	if err := newRequest(t, node, "POST", "pay", "r1", "sum").Write(c); err != nil {
		t.Fatal(err)
	}
	ours := func() (c *clientConn) { // it has a whole head, and waits for its body
		all.mu.Lock()
		defer all.mu.Unlock()
		if e := all.waiting.Front(); e != nil {
			c = e.Value.(*clientConn)
		}
		return c
	}
	await(t, "the head", func() bool { c := ours(); return c != nil && c.watchedBody() })
	conn := ours()
	c.Close()
	await(t, "the client's end", conn.ending)
	room.requests.Release(most)
	await(t, "the end of the connection", func() bool { return all.openCount() == 0 })
	module.has(t, "list 2")
	if !room.empty(t) {
		t.Error("it left something in the room for bodies")
	}
}

func (c *clientConn) watchedBody() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.scanner.bodyLeft > 0
}

// ending tells whether the client's end has come, behind whatever is unread.
func (c *clientConn) ending() (yes bool) {
	const closeWait = 8 // of the kernel's states
	failed := c.raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // it begins with the state
		yes = err == nil && info&0xff == closeWait
	})
	return yes || failed != nil
}

// An attempt that is still dialling as its client leaves is called off, also where the site lets nobody call
// attempts off; a connection that comes up all the same carries nothing, and serves another request.
func TestDiallingEndsWithItsClient(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("the connection comes up %v", late), func(t *testing.T) {
			got := make(chan string, 10)
			addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Request-Id") })
			dialling, dials := make(chan struct{}), atomic.Int32{}
			l, module := startLoop(t, addr, sendEach)
			dial := l.upstream.dial
			l.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if dials.Add(1) > 1 {
					return dial(ctx, network, addr)
				}
				c, err := dial(ctx, network, addr)
				close(dialling)
				<-ctx.Done()
				if late {
					return c, err
				}
				c.Close()
				return nil, context.Cause(ctx)
			}
			x := l.arriveNow("r1", long)
			receive(t, "the dial", dialling)
			l.send(departure{request: x})
			module.has(t, "list 2", "request r1", "lapsed r1",
				fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
			y := l.arriveNow("r2", long)
			if a := receive(t, "an answer", y.reply); a.status != http.StatusOK {
				t.Errorf("the next request: %+v", a)
			}
			if id := receive(t, "a request", got); id != "r2" || len(got) > 0 {
				t.Errorf("the server got %s and %d more, want r2 alone", id, len(got))
			}
			await(t, "the end of all", func() bool { open, idle := l.upstream.counts("s0"); return open == idle })
		})
	}
}

// A burst of clients that send and go leaves nothing behind: descriptors, room and the module's counts come back.
func TestBurstOfLeaversLeavesNothing(t *testing.T) {
	held := make(chan struct{}, 1000)
	addr := rawServer(t, func(c net.Conn, in *bufio.Reader) {
		if swallow(in) {
			held <- struct{}{}
			_, _ = in.ReadByte()
		}
	})
	c := testConfig(t, knownList(addr))
	c.MaxOpen = 0
	l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 100))
	if err != nil {
		t.Fatal(err)
	}
	module := &guarded{Balancer: l.module.(*policy.Balancer)}
	l.module = module
	runLoop(t, l, addr)
	node, all := serveClients(t, l)
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
		await(t, "the end of all", func() bool {
			open, _ := l.upstream.counts("s0")
			return all.openCount() == 0 && open == 0 && strings.Contains(module.String(), " s0=0/")
		})
		if !l.upstream.memory.empty(t) {
			t.Error("something is left in the room for bodies")
		}
	}
}

// guarded is a module that a test may look into.
type guarded struct {
	mu sync.Mutex
	*policy.Balancer
}

func (g *guarded) Handle(now policy.Time, ev policy.Event) []policy.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Balancer.Handle(now, ev)
}

func (g *guarded) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Balancer.String()
}
