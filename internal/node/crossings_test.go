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

// gatedRaw holds up a reader that is about to look for what has come.
type gatedRaw struct {
	syscall.RawConn
	entered, proceed chan struct{}
	once             sync.Once
}

func (g *gatedRaw) Read(f func(uintptr) bool) error {
	return g.RawConn.Read(func(fd uintptr) bool {
		g.once.Do(func() { close(g.entered) })
		<-g.proceed
		return f(fd)
	})
}

// A resting connection is closed in the very moment in which its reader looks for what has come. The reader waits
// for the mutex of all connections, and the close for the reader; neither may wait for ever, and what comes then
// is not read.
func TestCloseMeetsTheReader(t *testing.T) {
	for name, closes := range map[string]func(*clientListener){
		"for room":           func(l *clientListener) { l.evict() },
		"as it is sent away": func(l *clientListener) { l.mu.Unlock(); l.closeIdle(time.Now().Add(time.Hour)); l.mu.Lock() },
		"for a server":       func(l *clientListener) { l.baseLimit = 0; l.mu.Unlock(); l.reclaim(); l.mu.Lock() },
		"as two share":       func(l *clientListener) { l.mu.Unlock(); l.setBaseLimit(0); l.mu.Lock() },
	} {
		t.Run(name, func(t *testing.T) {
			l, dial := testClients(t, 10)
			theirs, ours := dial()
			raw := &gatedRaw{RawConn: ours.raw, entered: make(chan struct{}), proceed: make(chan struct{})}
			ours.raw = raw
			type outcome struct {
				n   int
				err error
			}
			read, closed := make(chan outcome, 1), make(chan struct{})
			go func() {
				n, err := ours.Read(make([]byte, 100))
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
			if n, err := theirs.Read(make([]byte, 1)); n != 0 || err != io.EOF {
				t.Errorf("the client got %d bytes, %v; want the end", n, err)
			}
			if l.openCount() != 0 {
				t.Errorf("%d connections are left", l.openCount())
			}
		})
	}
}

// What comes once the node has made up its mind to close a connection is not read, though the close takes a while.
func TestNothingIsReadOnceGivenUp(t *testing.T) {
	l, dial := testClients(t, 10)
	theirs, ours := dial()
	l.mu.Lock()
	if !ours.tryClose() {
		t.Fatal("a resting connection is not given up")
	}
	l.mu.Unlock()
	if _, err := io.WriteString(theirs, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	await(t, "the request", func() bool { return hasUnread(ours.TCPConn) })
	if n, err := ours.Read(make([]byte, 100)); n != 0 || err == nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// Bytes that arrive right after an answer that ends its connection don't reset it: the client reads the answer
// and the end, and may go on sending until it has seen that.
func TestAnswerOutlivesWhatArrivesAtTheClose(t *testing.T) {
	l, dial := testClients(t, 10)
	l.lingerTime = long
	theirs, ours := dial()
	says(t, theirs, ours, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := io.WriteString(ours, "answer"); err != nil {
		t.Fatal(err)
	}
	ours.markAnswered()
	closed := make(chan error, 1)
	go func() { closed <- ours.Close() }()
	if got, err := io.ReadAll(theirs); string(got) != "answer" || err != nil {
		t.Fatalf("the client got %q, %v", got, err)
	}
	for range 2 { // the first would call forth a reset, which the second would meet
		if _, err := io.WriteString(theirs, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatalf("the connection was reset: %v", err)
		}
	}
	theirs.Close()
	receive(t, "the close", closed)
}

// What arrives once the node has failed what was open, just before its end, is refused and not sent on.
func TestNothingBeginsAfterTheFinish(t *testing.T) {
	got := make(chan string, 10)
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Request-Id") })
	l, module := startLoop(t, addr, sendEach)
	l.send(finish{})
	if a := receive(t, "an answer", l.arriveNow("r1", long).reply); a.status != http.StatusServiceUnavailable {
		t.Errorf("%+v, want a refusal", a)
	}
	if module.has(t, "list 2"); len(got) > 0 {
		t.Error("it was sent on")
	}
}

// silentListener has nobody to accept.
type silentListener struct{ closed chan struct{} }

func (l silentListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l silentListener) Close() error              { close(l.closed); return nil }
func (l silentListener) Addr() net.Addr            { return &net.TCPAddr{} }

// The last connection may have been accepted as the listener closes, and not be counted yet. The node doesn't end
// before whoever accepts has said that there are no more.
func TestEndWaitsForTheLastToBeAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig(t, knownList())
		l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
		if err != nil {
			t.Fatal(err)
		}
		s := newServer(c, l)
		defer s.lifecycle.stopDraining()
		accepts, ended := make(chan error), make(chan struct{})
		go func() {
			s.drain(c, newClients(silentListener{make(chan struct{})}, 10), accepts, false)
			close(ended)
		}()
		time.Sleep(time.Hour)
		select {
		case <-ended:
			t.Fatal("the node ended while a connection might still have been accepted")
		default:
		}
		accepts <- http.ErrServerClosed
		<-ended
	})
}

// A node with short deadlines still takes in who comes for as long as the front may send clients, and has time
// to answer them before it may be killed.
func TestShortDeadlinesLeaveTimeToLeave(t *testing.T) {
	for _, deadline := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := testConfig(t, knownList())
			for i := range c.Settings.Classes {
				c.Settings.Classes[i].Deadline = deadline
			}
			l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			loopEnd := make(chan struct{})
			go func() { l.run(ctx, c.Known); close(loopEnd) }()
			defer func() { cancel(); <-loopEnd }()
			s := newServer(c, l)
			defer s.lifecycle.stopDraining()
			silent := silentListener{make(chan struct{})}
			clients := newClients(silent, 10)
			clients.open = 1 // one that never ends
			accepts, began, ended := make(chan error, 1), time.Now(), make(chan struct{})
			accepts <- http.ErrServerClosed
			go func() { s.drain(c, clients, accepts, false); close(ended) }()
			<-silent.closed
			if d := time.Since(began); d < 400*time.Millisecond {
				t.Errorf("deadlines of %v: nobody is taken in after %v", deadline, d)
			}
			<-ended
			if d, killed := time.Since(began), min(deadline, 3*time.Second)+700*time.Millisecond; d > killed-200*time.Millisecond {
				t.Errorf("deadlines of %v: it ends after %v, and may be killed at %v", deadline, d, killed)
			}
		})
	}
}

// A keyed request may only be sent again for a while. A connection that comes up after that carries nothing, and the
// module is told that the attempt was not made.
func TestConnectionThatComesUpAfterTheWindow(t *testing.T) {
	for _, comes := range []bool{false, true} {
		got := make(chan string, 10)
		addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Request-Id") })
		var l *loop
		set := make(chan struct{})
		l, module := startLoop(t, addr, func(now policy.Time, ev policy.Event) []policy.Action {
			if e, ok := ev.(policy.Request); ok {
				<-set
				return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s0", By: now + time.Millisecond}}
			}
			return nil
		})
		dial := l.upstream.dial
		l.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(context.WithoutCancel(ctx), network, addr)
			<-ctx.Done()
			if !comes {
				c.Close()
				return nil, context.Cause(ctx)
			}
			return c, err
		}
		close(set)
		l.arriveNow("r1", long)
		module.has(t, "list 2", "request r1", fmt.Sprintf("outcome r1 0 code %d ended false", policy.NotSent))
		if len(got) > 0 {
			t.Errorf("it was sent on (the connection comes up %v)", comes)
		}
		if open, idle := l.upstream.counts("s0"); open != idle {
			t.Errorf("%d connections open, %d idle", open, idle)
		}
	}
}

// Operators take a node out of service, or back in, just as a new process of it is started, before the old one has
// written the rest of its word anew. The new one goes by what they were told is done.
func TestStandbyMeetsATakeover(t *testing.T) {
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
		if err := h.writeSnapshot(snapshot{Saved: time.Now(), Standby: !on}); err != nil { // as it was before
			t.Fatal(err)
		}
		if on {
			life.enterStandby()
		} else if err := life.activate(); err != nil {
			t.Fatal(err)
		}
		c := testConfig(t, knownList())
		c.Handover = dir
		next, old := takeOver(&c)
		if next == nil || old.Standby != on {
			t.Errorf("the new process takes the old one to be in standby: %v, want %v", old.Standby, on)
		}
		next.leave()
	}
}

// SIGTERM meets requests at each stage: half written by its client, out at a server, half answered by it. Each is
// answered whole, and its connection ends with that.
func TestStopMeetsRequestsAtEachStage(t *testing.T) {
	got, proceed := make(chan string, 10), make(chan struct{})
	addr := rawServer(t, func(c net.Conn, in *bufio.Reader) {
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
	node, stop := startNode(t, testConfig(t, knownList(addr)))
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
		c, more := send(id)
		if conns[id] = c; more != "" {
			rest = more
			continue
		}
		receive(t, "the request", got)
	}
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	await(t, "the node to say that it isn't ready", func() bool {
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
			t.Errorf("%s: behind the answer %v, want the end", id, err)
		}
	}
	if err := receive(t, "the node's end", ended); err != nil {
		t.Error(err)
	}
}
