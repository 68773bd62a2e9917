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
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// gatedRawConn pauses the first Read just before it polls the socket.
type gatedRawConn struct {
	syscall.RawConn
	entered, proceed chan struct{}
	once             sync.Once
}

func (g *gatedRawConn) Read(f func(uintptr) bool) error {
	return g.RawConn.Read(func(fd uintptr) bool {
		g.once.Do(func() { close(g.entered) })
		<-g.proceed
		return f(fd)
	})
}

// An idle connection is closed at the moment when its reader polls the socket. The reader waits for the listener's mutex,
// and the close for the reader: this must not deadlock, and the reader must get no data.
func TestCloseDuringRead(t *testing.T) {
	for name, closes := range map[string]func(*clientListener){
		"evict":        func(l *clientListener) { l.evict() },
		"closeIdle":    func(l *clientListener) { l.mu.Unlock(); l.closeIdle(time.Now().Add(time.Hour)); l.mu.Lock() },
		"reclaim":      func(l *clientListener) { l.baseLimit = 0; l.mu.Unlock(); l.reclaim(); l.mu.Lock() },
		"setBaseLimit": func(l *clientListener) { l.mu.Unlock(); l.setBaseLimit(0); l.mu.Lock() },
	} {
		t.Run(name, func(t *testing.T) {
			l, dial := testClientListener(t, 10)
			client, conn := dial()
			raw := &gatedRawConn{RawConn: conn.raw, entered: make(chan struct{}), proceed: make(chan struct{})}
			conn.raw = raw
			type outcome struct {
				n   int
				err error
			}
			read, closed := make(chan outcome, 1), make(chan struct{})
			go func() {
				n, err := conn.Read(make([]byte, 100))
				read <- outcome{n, err}
			}()
			<-raw.entered
			l.mu.Lock()
			close(raw.proceed)
			go func() {
				closes(l)
				l.mu.Unlock()
				close(closed)
			}()
			receive(t, "the close", closed)
			if o := receive(t, "the reader", read); o.n != 0 || o.err == nil {
				t.Errorf("the reader got %d bytes, %v", o.n, o.err)
			}
			if n, err := client.Read(make([]byte, 1)); n != 0 || err != io.EOF {
				t.Errorf("the client got %d bytes, %v; want EOF", n, err)
			}
			if l.openCount() != 0 {
				t.Errorf("%d connections are still open", l.openCount())
			}
		})
	}
}

// Data that arrives after tryUnregister has succeeded is not read, even before the connection is actually closed.
func TestNothingIsReadAfterTryClose(t *testing.T) {
	l, dial := testClientListener(t, 10)
	client, conn := dial()
	l.mu.Lock()
	if !conn.tryUnregister() {
		t.Fatal("tryUnregister failed for an idle connection")
	}
	l.mu.Unlock()
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	await(t, "the request", func() bool { return hasUnread(conn.TCPConn) })
	if n, err := conn.Read(make([]byte, 100)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v; want an error", n, err)
	}
}

// Data that arrives right after a response that closes its connection must not cause a reset: the client reads the
// response and EOF, and may keep sending until then.
func TestResponseSurvivesDataArrivingAtClose(t *testing.T) {
	l, dial := testClientListener(t, 10)
	l.lingerTime = testTimeout
	client, conn := dial()
	sendAndRead(t, client, conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := io.WriteString(conn, "answer"); err != nil {
		t.Fatal(err)
	}
	conn.markAnswered()
	closed := make(chan error, 1)
	go func() { closed <- conn.Close() }()
	if got, err := io.ReadAll(client); string(got) != "answer" || err != nil {
		t.Fatalf("the client got %q, %v", got, err)
	}
	for range 2 { // the first write would trigger a reset, and the second one would fail because of it
		if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatalf("the connection was reset: %v", err)
		}
	}
	client.Close()
	receive(t, "the close", closed)
}

// Requests that arrive after the node has ended the open ones, just before it exits, are refused and not forwarded.
func TestRequestsAfterFinishAreRefused(t *testing.T) {
	got := make(chan string, 10)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Request-Id") })
	l, module := startLoop(t, addr, sendOnce)
	l.send(finish{})
	if a := receive(t, "a response", l.sendArrival("r1", testTimeout).reply); a.status != http.StatusServiceUnavailable {
		t.Errorf("%+v, want a refusal", a)
	}
	if module.expectEvents(t, "list 2"); len(got) > 0 {
		t.Error("the request was forwarded")
	}
}

// blockingListener is a listener whose Accept blocks until it is closed.
type blockingListener struct{ closed chan struct{} }

func (l blockingListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l blockingListener) Close() error              { close(l.closed); return nil }
func (l blockingListener) Addr() net.Addr            { return &net.TCPAddr{} }

// A connection may be accepted just as the listener closes, and not be counted yet. So the drain must not end before the
// accept loop has returned.
func TestDrainWaitsForTheAcceptLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig(t, memberListJSON())
		l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
		if err != nil {
			t.Fatal(err)
		}
		s := newServer(c, l)
		defer s.lifecycle.stopDraining()
		acceptResult, ended := make(chan error), make(chan struct{})
		go func() {
			s.drain(c, newClientListener(blockingListener{make(chan struct{})}, 10), acceptResult, false)
			close(ended)
		}()
		time.Sleep(time.Hour)
		select {
		case <-ended:
			t.Fatal("the drain ended while a connection might still have been accepted")
		default:
		}
		acceptResult <- http.ErrServerClosed
		<-ended
	})
}

// A node with short deadlines still accepts clients for as long as the front may send any, and has time to answer them
// before it may be killed.
func TestDrainTimingWithShortDeadlines(t *testing.T) {
	for _, deadline := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := testConfig(t, memberListJSON())
			for i := range c.Settings.Classes {
				c.Settings.Classes[i].Deadline = deadline
			}
			l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			loopStopped := make(chan struct{})
			go func() { l.run(ctx, c.Known); close(loopStopped) }()
			defer func() { cancel(); <-loopStopped }()
			s := newServer(c, l)
			defer s.lifecycle.stopDraining()
			listener := blockingListener{make(chan struct{})}
			clients := newClientListener(listener, 10)
			clients.open = 1 // a connection that is never closed
			acceptResult, start, ended := make(chan error, 1), time.Now(), make(chan struct{})
			acceptResult <- http.ErrServerClosed
			go func() { s.drain(c, clients, acceptResult, false); close(ended) }()
			<-listener.closed
			if d := time.Since(start); d < 400*time.Millisecond {
				t.Errorf("deadlines of %v: the listener was closed after %v, want 400ms at least", deadline, d)
			}
			<-ended
			if d, killed := time.Since(start), min(deadline, 3*time.Second)+700*time.Millisecond; d > killed-200*time.Millisecond {
				t.Errorf("deadlines of %v: the drain ended after %v, but the node may be killed at %v", deadline, d, killed)
			}
		})
	}
}

// A request with an idempotency key may be sent again only within a window. A connection that is established after the
// window carries nothing, and the decision module is notified that the attempt was not sent.
func TestConnectionEstablishedAfterRetryWindow(t *testing.T) {
	for _, established := range []bool{false, true} {
		got := make(chan string, 10)
		addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Request-Id") })
		var l *loop
		dialReplaced := make(chan struct{})
		l, module := startLoop(t, addr, func(now policy.Time, ev policy.Event) []policy.Action {
			if e, ok := ev.(policy.Request); ok {
				<-dialReplaced
				return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s0", By: now + time.Millisecond}}
			}
			return nil
		})
		dial := l.upstream.dial
		l.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(context.WithoutCancel(ctx), network, addr)
			<-ctx.Done()
			if !established {
				c.Close()
				return nil, context.Cause(ctx)
			}
			return c, err
		}
		close(dialReplaced)
		l.sendArrival("r1", testTimeout)
		module.expectEvents(t, "list 2", "request r1", fmt.Sprintf("outcome r1 0 code %d ended false", policy.NotSent))
		if len(got) > 0 {
			t.Errorf("the request was sent (connection established %v)", established)
		}
		if open, idle := l.upstream.connCounts("s0"); open != idle {
			t.Errorf("%d connections open, %d idle", open, idle)
		}
	}
}

// Operators begin or end standby just as a new process of the node starts, before the old one has written its next
// snapshot. The new process must follow the change that was confirmed to them, not the outdated snapshot.
func TestStandbyDuringTakeover(t *testing.T) {
	dir := t.TempDir()
	h, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer h.leave()
	life := &lifecycle{recordStandby: h.recordStandby}
	defer life.stopDraining()
	life.markServersKnown()
	for _, on := range []bool{true, false, true} {
		if err := h.writeSnapshot(snapshot{Saved: time.Now(), Standby: !on}); err != nil { // outdated
			t.Fatal(err)
		}
		if on {
			life.enterStandby()
		} else if err := life.activate(); err != nil {
			t.Fatal(err)
		}
		c := testConfig(t, memberListJSON())
		c.Handover = dir
		next, saved := takeOver(&c)
		if next == nil || saved.Standby != on {
			t.Errorf("the new process read standby %v from the old one, want %v", saved.Standby, on)
		}
		next.leave()
	}
}

// SIGTERM arrives while one request is partially sent by its client, one waits for its server, and one has a partial
// response. Each gets its complete response, and then its connection is closed.
func TestShutdownAnswersRequestsAtEachStage(t *testing.T) {
	got, proceed := make(chan string, 10), make(chan struct{})
	addr := startTCPServer(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		head, rest := "", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nyes!"
		if req.Header.Get("X-Request-Id") == "half-answered" {
			head, rest = rest[:len(rest)-2], rest[len(rest)-2:]
		}
		_, _ = io.WriteString(c, head)
		got <- req.Header.Get("X-Request-Id")
		<-proceed
		_, _ = io.WriteString(c, rest)
	})
	node, stop := startNode(t, testConfig(t, memberListJSON(addr)))
	send := func(id string) (c net.Conn, rest string) {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		text := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + strings.ReplaceAll(id, " ", "-") +
			"\r\nX-Class: pay\r\nX-Deadline-Ms: 8000\r\nContent-Length: 3\r\n\r\nsum"
		if id == "half written" {
			text, rest = text[:len(text)-2], text[len(text)-2:]
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		return c, rest
	}
	conns := map[string]net.Conn{}
	rest := ""
	for _, id := range []string{"out", "half answered", "half written"} {
		c, unsent := send(id)
		if conns[id] = c; unsent != "" {
			rest = unsent
			continue
		}
		receive(t, "the request", got)
	}
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	await(t, "the node to report that it isn't ready", func() bool {
		resp, err := http.Get("http://" + node + readyPath)
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode != http.StatusOK
	})
	if _, err := io.WriteString(conns["half written"], rest); err != nil {
		t.Fatal(err)
	}
	receive(t, "the request that was half written", got)
	close(proceed)
	for id, c := range conns {
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK || string(body) != "yes!" || err != nil {
			t.Errorf("%s: %d %q, %v", id, resp.StatusCode, body, err)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%s: after the response %v, want EOF", id, err)
		}
	}
	if err := receive(t, "the node to stop", ended); err != nil {
		t.Error(err)
	}
}
