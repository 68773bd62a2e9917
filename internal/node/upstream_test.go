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

// testUpstream returns an upstream for servers s0, s1, ... at the addresses.
func testUpstream(t *testing.T, addrs ...string) *upstream {
	t.Helper()
	c := testConfig(t, memberListJSON(addrs...))
	u := newUpstream(c, 100)
	u.applyNewestList(discovery.Update{Kind: policy.ListRestored, Members: c.Known.Members})
	t.Cleanup(u.close)
	return u
}

// runAttempt sends one attempt to server s0 and waits for its result.
func runAttempt(t *testing.T, u *upstream, x *clientRequest) attemptResult {
	t.Helper()
	return runAttemptOn(t.Context(), u, "s0", x, time.Now().Add(testTimeout))
}

// runAttemptOn sends one attempt to a server and reads its complete response. If the response is truncated, the attempt
// has failed.
func runAttemptOn(ctx context.Context, u *upstream, serverID string, x *clientRequest, deadline time.Time) (r attemptResult) {
	u.sendAttempt(ctx, serverID, x, attemptParams{deadline: deadline, requestCtx: context.Background(),
		uploadDeadline: func() time.Time { return deadline }, onEnd: func(e attemptResult) {
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

// connCounts returns the number of open connections to all servers, and of idle ones to one server.
func (u *upstream) connCounts(serverID string) (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[serverID]; p != nil {
		idle = len(p.idle)
	}
	return u.openConns, idle
}

// A request is certain not to have run only if the server answered 503 or 504 with X-Not-Run, or if the last byte of the
// request was never written.
func TestAttemptOutcomes(t *testing.T) {
	big := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBodySize+1)
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		response string
		want     policy.Code
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
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.Reset},     // truncated
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + good, policy.OK}, // followed by a duplicate response
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses) + good, policy.OK},
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses+1) + good, policy.ServerError},
		{"HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n" + good, policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more", policy.ServerError}, // the length is too small
		{"HTTP/1.1 200 OK\r\n\r\nok", policy.OK},                                         // delimited by the end of the connection
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
		var received atomic.Int32
		addr := startTCPServer(t, func(conn net.Conn, r *bufio.Reader) {
			if discardRequest(r) {
				received.Add(1)
				_, _ = io.WriteString(conn, c.response)
			}
		})
		r := runAttempt(t, testUpstream(t, addr), testClientRequest(http.MethodGet, "r1", ""))
		if r.code != c.want || received.Load() != 1 {
			t.Errorf("%.60q: code %v after %d requests, want %v after 1", c.response, r.code, received.Load(), c.want)
		}
		if c.want == policy.OK && string(r.answer.body) != "ok" {
			t.Errorf("%.60q: body %q", c.response, r.answer.body)
		}
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	u := testUpstream(t, addr)
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.ConnectFailed {
		t.Errorf("code %v", r.code)
	}
	if open, _ := u.connCounts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

// A request whose reused connection breaks must not be sent again unless the decision module requests it. http.Transport
// would retry both the GET and the POST on its own.
func TestRequestOnBrokenReusedConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests, conns atomic.Int32
		addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for discardRequest(r) {
				if requests.Add(1) > 1 {
					return // closes the connection during the second request
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		u := testUpstream(t, addr)
		if r := runAttempt(t, u, testClientRequest(method, "r1", "")); r.code != policy.OK {
			t.Fatalf("%s: first code %v", method, r.code)
		}
		time.Sleep(2 * reuseDelay)
		if r := runAttempt(t, u, testClientRequest(method, "r2", "")); r.code != policy.Reset {
			t.Errorf("%s: code %v, want a reset", method, r.code)
		}
		if conns.Load() != 1 || requests.Load() != 2 {
			t.Errorf("%s: %d connections, %d requests; want 1 and 2", method, conns.Load(), requests.Load())
		}
	}
}

// A request that was written only in part can't have run.
func TestIncompleteWriteIsConnectFailed(t *testing.T) {
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
	// Writes to it fail, though it looks idle.
	if err := tcp.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	p := u.pools["s0"]
	u.setIdle(p, []*serverConn{{TCPConn: tcp.(*net.TCPConn), pool: p, lastUsed: time.Now().Add(-time.Second)}})
	u.openConns = 1
	if r := runAttempt(t, u, testClientRequest(http.MethodPost, "r1", "body")); r.code != policy.ConnectFailed {
		t.Errorf("code %v, want connect failed", r.code)
	}
	if open, _ := u.connCounts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

func TestTimeoutAndCancelCloseConnection(t *testing.T) {
	for want, timeout := range map[policy.Code]time.Duration{policy.TimedOut: 2 * time.Second, policy.Cancelled: testTimeout} {
		received, closed := make(chan struct{}), make(chan struct{})
		addr := startTCPServer(t, func(_ net.Conn, r *bufio.Reader) {
			discardRequest(r)
			close(received)
			_, _ = r.ReadByte() // returns when the node closes
			close(closed)
		})
		u := testUpstream(t, addr)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		deadline := time.Now().Add(timeout)
		done := make(chan attemptResult, 1)
		go func() { done <- runAttemptOn(ctx, u, "s0", testClientRequest(http.MethodGet, "r1", ""), deadline) }()
		receive(t, "the request", received)
		if want == policy.Cancelled {
			cancel()
		}
		if r := receive(t, "the outcome", done); r.code != want {
			t.Errorf("code %v, want %v", r.code, want)
		}
		receive(t, "the close", closed)
		if open, idle := u.connCounts("s0"); open != 0 || idle != 0 {
			t.Errorf("%d open, %d idle", open, idle)
		}
	}
}

// The server receives the client's request unmodified. Settings of the machine, such as HTTP_PROXY, have no influence on it.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:9")
	got := make(chan *http.Request, 1)
	var body atomic.Value
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body.Store(string(b))
		got <- r
	})
	r := runAttempt(t, testUpstream(t, addr), testClientRequest(http.MethodPost, "r1", "hello"))
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

func TestConnectionsAreReusedUntilIdleTimeout(t *testing.T) {
	var conns atomic.Int32
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for discardRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	u := testUpstream(t, addr)
	for i := range 3 {
		runAttempt(t, u, testClientRequest(http.MethodGet, fmt.Sprint("r", i), ""))
		time.Sleep(2 * reuseDelay)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three consecutive requests", n)
	}
	u.sweep(time.Now().Add(u.idleTimeout - time.Second))
	if _, idle := u.connCounts("s0"); idle != 1 {
		t.Errorf("%d idle connections before the idle timeout, want 1", idle)
	}
	u.sweep(time.Now().Add(u.idleTimeout + time.Second))
	if open, idle := u.connCounts("s0"); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after the sweep", open, idle)
	}
	if u.idleTimeout > 30*time.Second {
		t.Errorf("idle connections are kept for %v, too close to the configured 60 s", u.idleTimeout)
	}
}

// No request is written to a connection that the server closed while it was idle.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if discardRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	u := testUpstream(t, addr)
	runAttempt(t, u, testClientRequest(http.MethodGet, "r1", ""))
	await(t, "the close to be noticed", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		idle := u.pools["s0"].idle
		return len(idle) == 0 || !isIdle(u.pools["s0"].idle[0].TCPConn)
	})
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r2", "")); r.code != policy.OK {
		t.Errorf("code %v", r.code)
	}
}

func TestOpenConnectionsAreLimited(t *testing.T) {
	hold := make(chan struct{})
	slow := startHTTPServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	fast := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testUpstream(t, fast, slow)
	u.maxOpenConns = 1
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.OK {
		t.Fatalf("code %v", r.code)
	}
	// The idle connection to the first server is evicted for one to the second.
	done := make(chan attemptResult, 1)
	go func() {
		done <- runAttemptOn(t.Context(), u, "s1", testClientRequest(http.MethodGet, "r2", ""), time.Now().Add(testTimeout))
	}()
	await(t, "the eviction", func() bool { open, idle := u.connCounts("s0"); return open == 1 && idle == 0 })
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r3", "")); r.code != policy.NotSent {
		t.Errorf("code %v beyond the limit, want one that is not counted against the server", r.code)
	}
	close(hold)
	if r := receive(t, "the slow response", done); r.code != policy.OK {
		t.Errorf("code %v", r.code)
	}
}

// Idle connections to a server's previous process or address are closed.
func TestListChangesDropIdleConnections(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	base := testMembers(t, addr)[0]
	restarted, removed := base, base
	restarted.UpSince = 5
	removed.Availability = policy.Removed
	for name, c := range map[string]struct {
		update discovery.Update
		want   int
	}{
		"same":      {discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{base}}, 1},
		"restarted": {discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{restarted}}, 0},
		"removed":   {discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{removed}}, 0},
		"unchanged": {discovery.Update{Kind: policy.ListUpdate}, 1},
		"missing":   {discovery.Update{Kind: policy.ListReplace}, 0},
	} {
		u := testUpstream(t, addr)
		runAttempt(t, u, testClientRequest(http.MethodGet, "r1", ""))
		u.applyNewestList(c.update)
		if open, _ := u.connCounts("s0"); open != c.want {
			t.Errorf("%s: %d open, want %d", name, open, c.want)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
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

// Bytes after the end of a response, whether they arrive at once or later, belong to no request: the connection is not
// used again.
func TestUnsolicitedBytesRetireConnection(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	for _, unsolicited := range []string{response + "x", "noise"} {
		release, conns := make(chan struct{}), atomic.Int32{}
		addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
			number := conns.Add(1)
			for discardRequest(r) {
				_, _ = fmt.Fprint(c, response, number)
				if number == 1 {
					<-release
					_, _ = io.WriteString(c, unsolicited)
				}
			}
		})
		u := testUpstream(t, addr)
		if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); string(r.answer.body) != "1" {
			t.Fatalf("first response %q, code %v", r.answer.body, r.code)
		}
		close(release)
		await(t, "the unsolicited bytes", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return !isIdle(u.pools["s0"].idle[0].TCPConn)
		})
		time.Sleep(2 * reuseDelay)
		if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r2", "")); string(r.answer.body) != "2" {
			t.Errorf("unsolicited %q: response %q, code %v", unsolicited, r.answer.body, r.code)
		}
		if open, idle := u.connCounts("s0"); open != 1 || idle != 1 {
			t.Errorf("unsolicited %q: %d open, %d idle", unsolicited, open, idle)
		}
	}
}

// An attempt whose response exceeds the limits ends at once and closes its connection, without waiting for the server to
// finish.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "HTTP/1.1 200 OK\r\nX: ", ""} {
		closed := make(chan struct{})
		addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
			defer close(closed)
			discardRequest(r)
			_, err := io.WriteString(c, head)
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("x", 1000))
			}
		})
		u := testUpstream(t, addr)
		if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.ServerError {
			t.Errorf("%q: code %v", head, r.code)
		}
		receive(t, "the end of the connection", closed)
	}
}

// A new server may take over the address of another one before the list reports that the other one has gone.
func TestAddressBelongsToTheNewestServer(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testUpstream(t, addr)
	newer := testMembers(t, addr)[0]
	newer.Server, newer.UpSince = "s1", 5
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{newer}})
	outdated := testMembers(t, addr)[0]
	outdated.Availability = policy.Draining
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{outdated}}) // a late update about the old server
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.ConnectFailed {
		t.Errorf("to the old server: code %v", r.code)
	}
	if r := runAttemptOn(t.Context(), u, "s1", testClientRequest(http.MethodGet, "r2", ""), time.Now().Add(testTimeout)); r.code != policy.OK {
		t.Errorf("to the new server: code %v", r.code)
	}
}

// An attempt whose server leaves or begins to drain before anything was sent sends nothing to it, whether the attempt has
// not begun, is still dialling, or gets its connection at that moment. The request can't have run, so it may be sent to
// another server.
func TestNothingIsSentToLeavingServer(t *testing.T) {
	received := make(chan struct{}, 10)
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { received <- struct{}{} })
	for name, update := range map[string]discovery.Update{
		"drains":     {Kind: policy.ListUpdate, Members: []discovery.Member{memberWithAvailability(t, addr, policy.Draining)}},
		"is removed": {Kind: policy.ListUpdate, Members: []discovery.Member{memberWithAvailability(t, addr, policy.Removed)}},
		"is missing": {Kind: policy.ListReplace},
		"restarts":   {Kind: policy.ListUpdate, Members: []discovery.Member{{Member: memberWithAvailability(t, addr, policy.Running).Member, Addr: addr, UpSince: 5}}},
	} {
		for _, cancellable := range []bool{true, false} { // whether the dial returns when its context is cancelled
			u := testUpstream(t, addr)
			dials := make(chan struct{})
			u.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				close(dials)
				<-ctx.Done()
				if cancellable {
					return nil, ctx.Err()
				}
				return net.Dial(network, address)
			}
			result := make(chan attemptResult, 1)
			go func() { result <- runAttempt(t, u, testClientRequest(http.MethodGet, "a", "")) }()
			receive(t, "the dial", dials)
			u.applyNewestList(update)
			if r := receive(t, "the attempt's end", result); r.code != policy.ConnectFailed || r.err != errServerLeaving {
				t.Errorf("%s while dialling: %v, %v", name, r.code, r.err)
			}
			if open, _ := u.connCounts("s0"); open != 0 {
				t.Errorf("%s while dialling: %d connections are still counted", name, open)
			}
		}
	}
	u := testUpstream(t, addr)
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{memberWithAvailability(t, addr, policy.Draining)}})
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "b", "")); r.code != policy.ConnectFailed || r.err != errServerLeaving || r.opened {
		t.Errorf("draining already: %v, %v, opened %v", r.code, r.err, r.opened)
	}
	if len(received) > 0 {
		t.Error("a request reached the server")
	}
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{memberWithAvailability(t, addr, policy.Running)}})
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "c", "")); r.code != policy.OK {
		t.Errorf("up again: %v, %v", r.code, r.err)
	}
}

// A server may finish the requests that it received before it began to drain.
func TestLeavingServersFinishRequestsInFlight(t *testing.T) {
	began, finish := make(chan struct{}, 1), make(chan struct{})
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { began <- struct{}{}; <-finish })
	u := testUpstream(t, addr)
	result := make(chan attemptResult, 1)
	go func() { result <- runAttempt(t, u, testClientRequest(http.MethodGet, "a", "")) }()
	receive(t, "the request", began)
	u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{memberWithAvailability(t, addr, policy.Draining)}})
	close(finish)
	if r := receive(t, "the attempt's end", result); r.code != policy.OK {
		t.Errorf("%v, %v", r.code, r.err)
	}
}

// memberWithAvailability returns the first server of testUpstream with another availability.
func memberWithAvailability(t *testing.T, addr string, availability policy.Availability) discovery.Member {
	m := testMembers(t, addr)[0]
	m.Availability = availability
	return m
}

// A connection reset never counts as the regular end of a response: neither within its head, nor for a response without a
// length, nor after bytes that would make a complete response. The attempt may have run, and its connection is not used
// again.
func TestResetDoesNotEndResponse(t *testing.T) {
	for _, partial := range []string{"", "HTT", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("ok", maxSmallBody),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"} {
		addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
			if discardRequest(r) {
				_, _ = io.WriteString(c, partial)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		u := testUpstream(t, addr)
		result := make(chan attemptResult, 1)
		go func() { result <- runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")) }()
		if r := receive(t, "the outcome", result); r.code != policy.Reset && r.code != policy.ServerError {
			t.Errorf("%.40q: code %v, want one of a failure that may have run", partial, r.code)
		}
		await(t, "the end of the connection", func() bool { open, _ := u.connCounts("s0"); return open == 0 })
	}
}

// A duplicate response may arrive some milliseconds after the first one, and would be taken for the response to the next
// request. So a connection that has been idle for long is preferred to a recently used one, a recently used one to a new
// one, and a connection that delivered a response a moment ago is not used at all.
func TestReuseDelayAfterResponse(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		idleTimes []time.Duration // the most recently used one last
		want      int
	}{
		{nil, -1},
		{[]time.Duration{time.Millisecond}, -1},
		{[]time.Duration{5 * time.Millisecond}, 0},
		{[]time.Duration{9 * time.Millisecond, 5 * time.Millisecond, time.Millisecond}, 1},
		{[]time.Duration{time.Second, 20 * time.Millisecond, 9 * time.Millisecond, 5 * time.Millisecond}, 1},
		{[]time.Duration{time.Second, 20 * time.Millisecond}, 1},
	} {
		p := &connPool{}
		for _, idleTime := range c.idleTimes {
			p.idle = append(p.idle, &serverConn{lastUsed: now.Add(-idleTime)})
		}
		if got := p.reusableIndex(now); got != c.want {
			t.Errorf("idle for %v: index %d is used first, want %d", c.idleTimes, got, c.want)
		}
	}
}

// A dial that fails for a temporary shortage of local resources is not counted against the server: it is retried, and if
// the shortage persists, the attempt is reported as not sent.
func TestLocalResourceShortageIsNotServerFault(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	for _, code := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.EINTR} {
		for _, persistent := range []bool{false, true} {
			u := testUpstream(t, addr)
			dial, dials := u.dial, 0
			u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if dials++; persistent || dials <= 2 {
					return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", code)}
				}
				return dial(ctx, network, addr)
			}
			want := policy.OK
			if persistent {
				want = policy.NotSent
			}
			if got := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); got.code != want {
				t.Errorf("%v, persistent %v: %v, want %v", code, persistent, got.code, want)
			}
			if open, idle := u.connCounts("s0"); open != idle {
				t.Errorf("%v, persistent %v: %d connections open, %d idle", code, persistent, open, idle)
			}
		}
	}
}

// A server that sent an unsolicited response may send another one, some time after the regular one. Its connections stay
// unused for longer, or the unsolicited response would be taken for the response to the next request.
func TestReuseDelayAfterUnsolicitedBytes(t *testing.T) {
	var accepted atomic.Int32
	addr := startTCPServer(t, func(c net.Conn, in *bufio.Reader) {
		sendUnsolicited := accepted.Add(1) == 1
		for discardRequest(in) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if sendUnsolicited {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	u := testUpstream(t, addr)
	request := func(id string) {
		t.Helper()
		if r := runAttempt(t, u, testClientRequest(http.MethodGet, id, "")); r.code != policy.OK {
			t.Fatal(r.code, r.err)
		}
	}
	setIdleTime := func(d time.Duration) {
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, c := range u.pools["s0"].idle {
			c.lastUsed = time.Now().Add(-d)
		}
	}
	request("r1") // the unsolicited response follows, at once or later
	await(t, "the unsolicited response to be noticed", func() bool {
		u.sweep(time.Now())
		_, idle := u.connCounts("s0")
		return idle == 0
	})
	request("r2")
	setIdleTime(preferredReuseDelay)
	request("r3")
	if n := accepted.Load(); n != 3 {
		t.Errorf("%d connections, want a third, since the second was idle for %v only", n, preferredReuseDelay)
	}
	setIdleTime(time.Second)
	request("r4")
	if n := accepted.Load(); n != 3 {
		t.Errorf("%d connections; one that was idle for long was not reused", n)
	}
}

// A connection that was acquired but not written to keeps its idle time, since its server counts from the last use too.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	u := testUpstream(t, startHTTPServer(t, func(http.ResponseWriter, *http.Request) {}))
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.OK {
		t.Fatal(r.code, r.err)
	}
	lastUse := time.Now().Add(-u.idleTimeout / 2)
	u.mu.Lock()
	u.pools["s0"].idle[0].lastUsed = lastUse
	u.mu.Unlock()
	clientGone, disconnect := context.WithCancel(t.Context())
	disconnect()
	var result attemptResult
	u.sendAttempt(t.Context(), "s0", testClientRequest(http.MethodGet, "r2", ""), attemptParams{deadline: time.Now().Add(testTimeout), requestCtx: clientGone,
		onEnd: func(r attemptResult) { result = r }})
	if result.code != policy.Cancelled {
		t.Errorf("an attempt whose client has left: %v, %v", result.code, result.err)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if idle := u.pools["s0"].idle; len(idle) != 1 || !idle[0].lastUsed.Equal(lastUse) || idle[0].requests != 1 {
		t.Errorf("%d connections idle, the first used %v later, %d uses", len(idle), idle[0].lastUsed.Sub(lastUse), idle[0].requests)
	}
}
