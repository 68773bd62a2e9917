package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

func testUpstream(t *testing.T, addrs ...string) *upstream {
	t.Helper()
	c := testConfig(t, knownList(addrs...))
	u := newUpstream(c, 100)
	u.applyNewestList(discovery.Update{Kind: policy.ListRestored, Members: c.Known.Members})
	t.Cleanup(u.close)
	return u
}

func ended(t *testing.T, u *upstream, x *clientRequest) attemptResult {
	t.Helper()
	return attemptAt(t.Context(), u, "s0", x, time.Now().Add(long))
}

// attemptAt makes one attempt, and takes in all of its answer; one whose rest breaks off has failed.
func attemptAt(ctx context.Context, u *upstream, id string, x *clientRequest, until time.Time) (r attemptResult) {
	u.sendAttempt(ctx, id, x, attemptParams{deadline: until, clientGone: context.Background(), onUploaded: func(time.Duration) {}, onEnd: func(e attemptResult) {
		if r = e; r.answer.stream == nil {
			r.answer.reserved.release()
			return
		}
		rest, err := io.ReadAll(r.answer.stream.rest)
		if r.answer.body = append(r.answer.body, rest...); err != nil {
			r.code, r.err = policy.ServerError, err
		}
		r.answer.reserved.release()
		r.answer.stream.end(err)
	}})
	return r
}

func (u *upstream) counts(id string) (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		idle = len(p.idle)
	}
	return u.openConns, idle
}

// Only "full" with X-Not-Run, and what never got its last byte written, has not run for certain.
func TestOutcomeOfEachAnswer(t *testing.T) {
	big := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBodySize+1)
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		answer string
		want   policy.Code
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 503 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Full},
		{"HTTP/1.1 504 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Full},
		{"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 302 F\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 204 N\r\n\r\n", policy.ServerError},
		{big + "ok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.Reset},     // ends early
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + good, policy.OK}, // a second copy behind
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses) + good, policy.OK},
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses+1) + good, policy.ServerError},
		{"HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n" + good, policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more", policy.ServerError}, // the length is too small
		{"HTTP/1.1 200 OK\r\n\r\nok", policy.OK},                                         // ends with the connection
		{"HTTP/1.1 304 N\r\nContent-Length: 9\r\n\r\n", policy.ServerError},              // has no body
		{"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes), policy.ServerError},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", policy.OK},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", policy.ServerError},
		{"\x00\x01\xff noise\r\n\r\n", policy.ServerError},
		{"nonsense\r\n\r\n", policy.ServerError},
		{"", policy.Reset},
	} {
		var sent atomic.Int32
		addr := rawServer(t, func(c2 net.Conn, r *bufio.Reader) {
			if swallow(r) {
				sent.Add(1)
				_, _ = io.WriteString(c2, c.answer)
			}
		})
		r := ended(t, testUpstream(t, addr), testClientRequest(http.MethodGet, "r1", ""))
		if r.code != c.want || sent.Load() != 1 {
			t.Errorf("%.60q: code %v after %d requests, want %v after 1", c.answer, r.code, sent.Load(), c.want)
		}
		if c.want == policy.OK && string(r.answer.body) != "ok" {
			t.Errorf("%.60q: body %q", c.answer, r.answer.body)
		}
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	u := testUpstream(t, addr)
	if r := ended(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.ConnectFailed {
		t.Errorf("code %v", r.code)
	}
	if open, _ := u.counts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

// http.Transport would send either of these again by itself.
func TestBrokenReusedConnectionIsNotSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests, conns atomic.Int32
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for swallow(r) {
				if requests.Add(1) > 1 {
					return // breaks the connection under the second
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		u := testUpstream(t, addr)
		if r := ended(t, u, testClientRequest(method, "r1", "")); r.code != policy.OK {
			t.Fatalf("%s: first code %v", method, r.code)
		}
		time.Sleep(2 * reuseDelay)
		if r := ended(t, u, testClientRequest(method, "r2", "")); r.code != policy.Reset {
			t.Errorf("%s: code %v, want a reset", method, r.code)
		}
		if conns.Load() != 1 || requests.Load() != 2 {
			t.Errorf("%s: %d connections, %d requests; want 1 and 2", method, conns.Load(), requests.Load())
		}
	}
}

// A request of which the server takes a part only can't have run.
func TestUnwrittenLastByteNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	u := testUpstream(t, ln.Addr().String())
	tcp, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// Nothing can be written on it any more, though it looks quiet.
	if err := tcp.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	p := u.pools["s0"]
	u.setIdle(p, []*serverConn{{TCPConn: tcp.(*net.TCPConn), pool: p, lastUsed: time.Now().Add(-time.Second)}})
	u.openConns = 1
	if r := ended(t, u, testClientRequest(http.MethodPost, "r1", "body")); r.code != policy.ConnectFailed {
		t.Errorf("code %v, want could not connect", r.code)
	}
	if open, _ := u.counts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

func TestTimeOutAndCancelCloseTheConnection(t *testing.T) {
	for want, left := range map[policy.Code]time.Duration{policy.TimedOut: 2 * time.Second, policy.Cancelled: long} {
		got, closed := make(chan struct{}), make(chan struct{})
		addr := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
			swallow(r)
			close(got)
			_, _ = r.ReadByte() // returns when the node closes
			close(closed)
		})
		u := testUpstream(t, addr)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		until := time.Now().Add(left)
		done := make(chan attemptResult, 1)
		go func() { done <- attemptAt(ctx, u, "s0", testClientRequest(http.MethodGet, "r1", ""), until) }()
		receive(t, "the request", got)
		if want == policy.Cancelled {
			cancel()
		}
		if r := receive(t, "the outcome", done); r.code != want {
			t.Errorf("code %v, want %v", r.code, want)
		}
		receive(t, "the close", closed)
		if open, idle := u.counts("s0"); open != 0 || idle != 0 {
			t.Errorf("%d open, %d idle", open, idle)
		}
	}
}

// What the server gets is the client's request, with nothing of the machine's own about it.
func TestRequestGoesOnUnchanged(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:9")
	got := make(chan *http.Request, 1)
	var body atomic.Value
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body.Store(string(b))
		got <- r
	})
	r := ended(t, testUpstream(t, addr), testClientRequest(http.MethodPost, "r1", "hello"))
	if r.code != policy.OK {
		t.Fatalf("code %v", r.code)
	}
	req := <-got
	if req.Method != "POST" || req.RequestURI != "/api?q=a%20b" || req.Host != "origin.svc" || body.Load() != "hello" {
		t.Errorf("got %s %s of %s with %q", req.Method, req.RequestURI, req.Host, body.Load())
	}
	if req.Header.Get("X-Request-Id") != "r1" || req.Header.Get("Idempotency-Key") != "k-r1" ||
		req.Header.Get("X-Deadline-Ms") == "" || req.Header.Get("Accept-Encoding") != "" || req.UserAgent() != "" {
		t.Errorf("header %v", req.Header)
	}
}

func TestConnectionsAreReusedUntilIdle(t *testing.T) {
	var conns atomic.Int32
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for swallow(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	u := testUpstream(t, addr)
	for i := range 3 {
		ended(t, u, testClientRequest(http.MethodGet, fmt.Sprint("r", i), ""))
		time.Sleep(2 * reuseDelay)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three requests in turn", n)
	}
	u.sweep(time.Now().Add(u.idleTimeout - time.Second))
	if _, idle := u.counts("s0"); idle != 1 {
		t.Errorf("%d idle connections before their time is up, want 1", idle)
	}
	u.sweep(time.Now().Add(u.idleTimeout + time.Second))
	if open, idle := u.counts("s0"); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after the sweep", open, idle)
	}
	if u.idleTimeout > 30*time.Second {
		t.Errorf("idle connections are kept for %v, too near the settings' 60 s", u.idleTimeout)
	}
}

// A connection that the server closed while it was idle is not written to.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		if swallow(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	u := testUpstream(t, addr)
	ended(t, u, testClientRequest(http.MethodGet, "r1", ""))
	await(t, "the close to be noticed", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		idle := u.pools["s0"].idle
		return len(idle) == 0 || !isIdle(u.pools["s0"].idle[0].TCPConn)
	})
	if r := ended(t, u, testClientRequest(http.MethodGet, "r2", "")); r.code != policy.OK {
		t.Errorf("code %v", r.code)
	}
}

func TestDescriptorsBindConnections(t *testing.T) {
	hold := make(chan struct{})
	slow := httpServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	fast := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testUpstream(t, fast, slow)
	u.maxOpen = 1
	if r := ended(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.OK {
		t.Fatalf("code %v", r.code)
	}
	// The idle connection to the first server makes room for one to the second.
	done := make(chan attemptResult, 1)
	go func() {
		done <- attemptAt(t.Context(), u, "s1", testClientRequest(http.MethodGet, "r2", ""), time.Now().Add(long))
	}()
	await(t, "the eviction", func() bool { open, idle := u.counts("s0"); return open == 1 && idle == 0 })
	if r := ended(t, u, testClientRequest(http.MethodGet, "r3", "")); r.code != policy.NotSent {
		t.Errorf("code %v beyond the limit, want none that blames the server", r.code)
	}
	close(hold)
	if r := receive(t, "the slow answer", done); r.code != policy.OK {
		t.Errorf("code %v", r.code)
	}
}

// What was open to a server's former process, or address, is given up.
func TestListChangesDropIdleConnections(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	base := members(t, addr)[0]
	restarted, removed := base, base
	restarted.UpSince = 5
	removed.Availability = policy.Removed
	for name, c := range map[string]struct {
		n    discovery.Update
		want int
	}{
		"same":      {discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{base}}, 1},
		"restarted": {discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{restarted}}, 0},
		"removed":   {discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{removed}}, 0},
		"no news":   {discovery.Update{Kind: policy.ListUpdate}, 1},
		"missing":   {discovery.Update{Kind: policy.ListReplace}, 0},
	} {
		u := testUpstream(t, addr)
		ended(t, u, testClientRequest(http.MethodGet, "r1", ""))
		u.applyNewestList(c.n)
		if open, _ := u.counts("s0"); open != c.want {
			t.Errorf("%s: %d open, want %d", name, open, c.want)
		}
	}
}

func TestReadsLoadReports(t *testing.T) {
	names := []string{"util", "queue"}
	if got := parseLoadReport("inflight=7, queue=2,util=0.61", names); got[0] != 0.61 || got[1] != 2 {
		t.Errorf("got %v", got)
	}
	for _, text := range []string{"", "util=x,,=", "util=0.5", "util=NaN,queue=1", "util=Inf,queue=1",
		"util=0.5,queue=-1", "util=0.5,queue=1e300", "util=0.5,util=0.6,queue=1", "util=0.5,queue=1,x=?"} {
		if got := parseLoadReport(text, names); got != nil {
			t.Errorf("%q: got %v, want none", text, got)
		}
	}
}

// What comes behind an answer, at once or later, is nobody's: the connection is not used again.
func TestWhatNobodyAskedForCondemnsTheConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	for _, behind := range []string{answer + "x", "noise"} {
		release, conns := make(chan struct{}), atomic.Int32{}
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			n := conns.Add(1)
			for swallow(r) {
				_, _ = fmt.Fprint(c, answer, n)
				if n == 1 {
					<-release
					_, _ = io.WriteString(c, behind)
				}
			}
		})
		u := testUpstream(t, addr)
		if r := ended(t, u, testClientRequest(http.MethodGet, "r1", "")); string(r.answer.body) != "1" {
			t.Fatalf("first answer %q, code %v", r.answer.body, r.code)
		}
		close(release)
		await(t, "what nobody asked for", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return !isIdle(u.pools["s0"].idle[0].TCPConn)
		})
		time.Sleep(2 * reuseDelay)
		if r := ended(t, u, testClientRequest(http.MethodGet, "r2", "")); string(r.answer.body) != "2" {
			t.Errorf("%q behind: answer %q, code %v", behind, r.answer.body, r.code)
		}
		if open, idle := u.counts("s0"); open != 1 || idle != 1 {
			t.Errorf("%q behind: %d open, %d idle", behind, open, idle)
		}
	}
}

// An answer that keeps coming ends the attempt and its connection, not when the server ends it.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "HTTP/1.1 200 OK\r\nX: ", ""} {
		closed := make(chan struct{})
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			defer close(closed)
			swallow(r)
			_, err := io.WriteString(c, head)
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("x", 1000))
			}
		})
		u := testUpstream(t, addr)
		if r := ended(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.ServerError {
			t.Errorf("%q: code %v", head, r.code)
		}
		receive(t, "the end of the connection", closed)
	}
}

// A new server may be at the address of one that has gone before the list says so.
func TestAddressBelongsToTheNewestServer(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testUpstream(t, addr)
	next := members(t, addr)[0]
	next.Server, next.UpSince = "s1", 5
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{next}})
	late := members(t, addr)[0]
	late.Availability = policy.Draining
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{late}}) // of the old one, and late
	if r := ended(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.ConnectFailed {
		t.Errorf("to the old server: code %v", r.code)
	}
	if r := attemptAt(t.Context(), u, "s1", testClientRequest(http.MethodGet, "r2", ""), time.Now().Add(long)); r.code != policy.OK {
		t.Errorf("to the new server: code %v", r.code)
	}
}

// An attempt that was given its server before the server began to leave sends nothing there afterwards,
// whether it has not begun, is still dialling, or its connection comes up at that moment. It can't have run,
// so another server may have it.
func TestNothingIsSentToAServerThatBeganToLeave(t *testing.T) {
	heard := make(chan struct{}, 10)
	addr := httpServer(t, func(w http.ResponseWriter, _ *http.Request) { heard <- struct{}{} })
	for what, end := range map[string]discovery.Update{
		"drains":      {Kind: policy.ListUpdate, Members: []discovery.Member{phased(t, addr, policy.Draining)}},
		"is removed":  {Kind: policy.ListUpdate, Members: []discovery.Member{phased(t, addr, policy.Removed)}},
		"is missing":  {Kind: policy.ListReplace},
		"starts anew": {Kind: policy.ListUpdate, Members: []discovery.Member{{Member: phased(t, addr, policy.Running).Member, Addr: addr, UpSince: 5}}},
	} {
		for _, heeds := range []bool{true, false} { // whether the dial ends when it is called off
			u := testUpstream(t, addr)
			dials := make(chan struct{})
			u.dial = func(ctx context.Context, network, to string) (net.Conn, error) {
				close(dials)
				<-ctx.Done()
				if heeds {
					return nil, ctx.Err()
				}
				return net.Dial(network, to)
			}
			ends := make(chan attemptResult, 1)
			go func() { ends <- ended(t, u, testClientRequest(http.MethodGet, "a", "")) }()
			receive(t, "the dial", dials)
			u.applyNewestList(end)
			if r := receive(t, "the attempt's end", ends); r.code != policy.ConnectFailed || r.err != errServerLeaving {
				t.Errorf("%s while dialling: %v, %v", what, r.code, r.err)
			}
			if open, _ := u.counts("s0"); open != 0 {
				t.Errorf("%s while dialling: %d connections are left", what, open)
			}
		}
	}
	u := testUpstream(t, addr)
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{phased(t, addr, policy.Draining)}})
	if r := ended(t, u, testClientRequest(http.MethodGet, "b", "")); r.code != policy.ConnectFailed || r.err != errServerLeaving || r.opened {
		t.Errorf("draining already: %v, %v, opened %v", r.code, r.err, r.opened)
	}
	if len(heard) > 0 {
		t.Error("a request reached the server")
	}
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{phased(t, addr, policy.Running)}})
	if r := ended(t, u, testClientRequest(http.MethodGet, "c", "")); r.code != policy.OK {
		t.Errorf("up again: %v, %v", r.code, r.err)
	}
}

// What a server has got already it finishes, also after it began to leave.
func TestLeavingServersFinishWhatTheyHave(t *testing.T) {
	began, finish := make(chan struct{}, 1), make(chan struct{})
	addr := httpServer(t, func(w http.ResponseWriter, _ *http.Request) { began <- struct{}{}; <-finish })
	u := testUpstream(t, addr)
	ends := make(chan attemptResult, 1)
	go func() { ends <- ended(t, u, testClientRequest(http.MethodGet, "a", "")) }()
	receive(t, "the request", began)
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{phased(t, addr, policy.Draining)}})
	close(finish)
	if r := receive(t, "the attempt's end", ends); r.code != policy.OK {
		t.Errorf("%v, %v", r.code, r.err)
	}
}

// phased is the first server of testUpstream in another phase.
func phased(t *testing.T, addr string, phase policy.Availability) discovery.Member {
	m := members(t, addr)[0]
	m.Availability = phase
	return m
}

// A reset is no end of an answer, whatever of it has come: that of one without a length, in the middle of its head, or
// behind bytes that would do as a whole one. The attempt may have run, and its connection is not used again.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	for _, part := range []string{"", "HTT", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("ok", maxSmallBody),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"} {
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			if swallow(r) {
				_, _ = io.WriteString(c, part)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		u := testUpstream(t, addr)
		ending := make(chan attemptResult, 1)
		go func() { ending <- ended(t, u, testClientRequest(http.MethodGet, "r1", "")) }()
		if r := receive(t, "the outcome", ending); r.code != policy.Reset && r.code != policy.ServerError {
			t.Errorf("%.40q: code %v, want one that fails and may have run", part, r.code)
		}
		await(t, "the end of the connection", func() bool { open, _ := u.counts("s0"); return open == 0 })
	}
}

// A second answer may come some milliseconds after the first, and would be taken for the next one's: of the idle
// connections one that rested for long goes before one used a moment ago, and that is better than a new one, but for
// one that has only just answered.
func TestConnectionsRestForSecondAnswers(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		ago  []time.Duration // the last used at the end
		want int
	}{
		{nil, -1},
		{[]time.Duration{time.Millisecond}, -1},
		{[]time.Duration{5 * time.Millisecond}, 0},
		{[]time.Duration{9 * time.Millisecond, 5 * time.Millisecond, time.Millisecond}, 1},
		{[]time.Duration{time.Second, 20 * time.Millisecond, 9 * time.Millisecond, 5 * time.Millisecond}, 1},
		{[]time.Duration{time.Second, 20 * time.Millisecond}, 1},
	} {
		p := &connPool{}
		for _, ago := range c.ago {
			p.idle = append(p.idle, &serverConn{lastUsed: now.Add(-ago)})
		}
		if got := p.reusableIndex(now); got != c.want {
			t.Errorf("idle for %v: number %d goes first, want %d", c.ago, got, c.want)
		}
	}
}

// What this machine lacks for a moment as a connection is made is not held against the server: the dial is tried again,
// and where the lack lasts, the attempt was not made.
func TestOwnLackIsNoServersFault(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	for _, code := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.EINTR} {
		for _, lasts := range []bool{false, true} {
			u := testUpstream(t, addr)
			dial, failed := u.dial, 0
			u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if failed++; lasts || failed <= 2 {
					return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", code)}
				}
				return dial(ctx, network, addr)
			}
			want := policy.OK
			if lasts {
				want = policy.NotSent
			}
			if got := ended(t, u, testClientRequest(http.MethodGet, "r1", "")); got.code != want {
				t.Errorf("%v, lasting %v: %v, want %v", code, lasts, got.code, want)
			}
			if open, idle := u.counts("s0"); open != idle {
				t.Errorf("%v, lasting %v: %d connections open, %d idle", code, lasts, open, idle)
			}
		}
	}
}

// A server that once sent what nobody had asked for may do so again, a little later: its connections rest for longer
// before they are used again, or the stray answer would be taken for the next request's.
func TestConnectionsRestForLongerAtServersThatSendUnasked(t *testing.T) {
	var accepted atomic.Int32
	addr := rawServer(t, func(c net.Conn, in *bufio.Reader) {
		stray := accepted.Add(1) == 1
		for swallow(in) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if stray {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	u := testUpstream(t, addr)
	request := func(id string) {
		t.Helper()
		if r := ended(t, u, testClientRequest(http.MethodGet, id, "")); r.code != policy.OK {
			t.Fatal(r.code, r.err)
		}
	}
	restedFor := func(d time.Duration) {
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, c := range u.pools["s0"].idle {
			c.lastUsed = time.Now().Add(-d)
		}
	}
	request("r1") // behind it comes the stray answer, at once or later
	await(t, "the stray answer to be noticed", func() bool {
		u.sweep(time.Now())
		_, idle := u.counts("s0")
		return idle == 0
	})
	request("r2")
	restedFor(preferredReuseDelay)
	request("r3")
	if n := accepted.Load(); n != 3 {
		t.Errorf("%d connections, want a third, for the second rested for %v only", n, preferredReuseDelay)
	}
	restedFor(time.Second)
	request("r4")
	if n := accepted.Load(); n != 3 {
		t.Errorf("%d connections; one that has rested for long is not used again", n)
	}
}

// A connection on which nothing was written after all has been idle for as long as before: its server counts so.
func TestUnwrittenConnectionStaysAsIdleAsItWas(t *testing.T) {
	u := testUpstream(t, httpServer(t, func(http.ResponseWriter, *http.Request) {}))
	if r := ended(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.OK {
		t.Fatal(r.code, r.err)
	}
	used := time.Now().Add(-u.idleTimeout / 2)
	u.mu.Lock()
	u.pools["s0"].idle[0].lastUsed = used
	u.mu.Unlock()
	left, leave := context.WithCancel(t.Context())
	leave()
	var got attemptResult
	u.sendAttempt(t.Context(), "s0", testClientRequest(http.MethodGet, "r2", ""), attemptParams{deadline: time.Now().Add(long), clientGone: left,
		onUploaded: func(time.Duration) {}, onEnd: func(r attemptResult) { got = r }})
	if got.code != policy.Cancelled {
		t.Errorf("an attempt whose client has left: %v, %v", got.code, got.err)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if idle := u.pools["s0"].idle; len(idle) != 1 || !idle[0].lastUsed.Equal(used) || idle[0].requests != 1 {
		t.Errorf("%d connections idle, the first used %v later, %d uses", len(idle), idle[0].lastUsed.Sub(used), idle[0].requests)
	}
}
