package node

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// largeBody returns n bytes of a body whose content depends on the position, so that lost or misplaced pieces are detected.
func largeBody(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i>>16 ^ i>>8 ^ i)
	}
	return p
}

// isUnused reports whether nothing of the budgets is reserved.
func (b *memoryBudget) isUnused(t *testing.T) bool {
	t.Helper()
	for _, s := range []interface {
		TryAcquire(int64) bool
		Release(int64)
	}{b.requests, b.answers, b.largeRequests, b.largeAnswers, b.heldRequests} {
		if !s.TryAcquire(minBudget) {
			return false
		}
		s.Release(minBudget)
	}
	return true
}

// Large bodies are forwarded unmodified in both directions, with a length or chunked, by a node that has memory for pieces
// of them only.
func TestLargeBodiesAreForwardedBothWays(t *testing.T) {
	response := largeBody(5 << 20)
	addr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		n, err := io.Copy(sum, r.Body)
		if err != nil {
			return
		}
		w.Header().Set("X-Got", "")
		if r.URL.Query().Get("told") != "" {
			w.Header().Set("Content-Length", fmt.Sprint(len(response)+100))
		}
		fmt.Fprintf(w, "%-100s", fmt.Sprintf("%d %x", n, sum.Sum(nil)))
		_, _ = w.Write(response)
	})
	c := testConfig(t, memberListJSON(addr))
	c.MemoryMB = 1
	node, _ := startNode(t, c)
	for _, lengthKnown := range []bool{true, false} {
		for _, size := range []int{maxSmallBody - 1, maxSmallBody, maxSmallBody + 1, maxSmallBody + 2, 3 << 20} {
			body := largeBody(size)
			req := newRequest(t, node, "POST", "pay", fmt.Sprintf("r-%d-%v", size, lengthKnown), "x")
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
			if !lengthKnown {
				req.ContentLength = -1
			} else {
				req.URL.RawQuery = "told=1"
			}
			resp, got := doRequest(t, req)
			want := fmt.Sprintf("%-100s%s", fmt.Sprintf("%d %x", size, sha256.Sum256(body)), response)
			if resp.StatusCode != 200 || got != want {
				t.Errorf("%d bytes, length known %v: %d, %d bytes that begin with %.80q", size, lengthKnown, resp.StatusCode, len(got), got)
			}
		}
	}
}

// A response that is truncated while it is streamed to the client is truncated for the client too, so that it can't be
// mistaken for a complete one, and the request is not attempted again. A response that is truncated before streaming
// begins counts as no response.
func TestTruncatedLargeResponse(t *testing.T) {
	var attempts atomic.Int32
	sent := maxSmallBody + 9
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if !discardRequest(r) {
			return
		}
		attempts.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*sent, largeBody(sent))
	})
	chunked := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if !discardRequest(r) {
			return
		}
		attempts.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", 2*sent, largeBody(sent))
	})
	for _, server := range []string{addr, chunked} {
		attempts.Store(0)
		node, stop := startNode(t, testConfig(t, memberListJSON(server)))
		resp, err := http.DefaultClient.Do(newRequest(t, node, "GET", "read", "r1", ""))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 || err == nil || !bytes.Equal(got, largeBody(sent)[:len(got)]) || attempts.Load() != 1 {
			t.Errorf("%d, %d bytes, %v after %d attempts; want a truncated 200 after one", resp.StatusCode,
				len(got), err, attempts.Load())
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	}
}

// The timeout of an attempt doesn't apply once its response is being streamed, and the result is reported when streaming
// begins.
func TestStreamedResponseHasNoTimeout(t *testing.T) {
	sendRest := make(chan struct{})
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 3*maxSmallBody)
			_, _ = c.Write(largeBody(3 * maxSmallBody)[:maxSmallBody])
			<-sendRest
			_, _ = c.Write(largeBody(3 * maxSmallBody)[maxSmallBody:])
		}
	})
	u := testUpstream(t, addr)
	deadline := time.Now().Add(2 * time.Second)
	var got []byte
	u.sendAttempt(t.Context(), "s0", testClientRequest(http.MethodGet, "r1", ""), attemptParams{deadline: deadline, requestCtx: t.Context(), onEnd: func(r attemptResult) {
		if r.code != policy.OK || r.answer.stream == nil {
			t.Errorf("code %v", r.code)
			return
		}
		go func() {
			time.Sleep(time.Until(deadline.Add(time.Millisecond)))
			close(sendRest)
			rest, err := io.ReadAll(r.answer.stream.rest)
			got = append(r.answer.body, rest...)
			r.answer.reserved.release()
			r.answer.stream.end(err)
		}()
	}})
	if !bytes.Equal(got, largeBody(3*maxSmallBody)) {
		t.Errorf("%d bytes received", len(got))
	}
	if open, idle := u.connCounts("s0"); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle; want the connection to be reusable", open, idle)
	}
	if !u.memory.isUnused(t) {
		t.Error("memory is still reserved")
	}
}

// newStreamedRequest returns a large request whose body continues with what a reader returns.
func newStreamedRequest(t *testing.T, id string, rest io.Reader, length int64) *clientRequest {
	x := testClientRequest(http.MethodPost, id, string(largeBody(maxSmallBody)))
	x.bodyRest, x.length = newUpload(noopDeadlineWriter{}, nil, rest, 0, bodyRatePerCore), length
	return x
}

// noopDeadlineWriter is a ResponseWriter that accepts read deadlines and ignores them.
type noopDeadlineWriter struct{ http.ResponseWriter }

func (noopDeadlineWriter) SetReadDeadline(time.Time) error { return nil }

// A large body can be sent again while all that was read of it is still held, and not later. A request that was not sent
// completely has not run.
func TestLargeBodyIsResentOnlyWhileHeld(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	var complete atomic.Int32
	resetting := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, r, 2*maxSmallBody) // more than the node holds
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	healthy := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if discardRequest(r) {
			complete.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for _, c := range []struct {
		servers  []string
		want     []string
		status   int
		complete int32
	}{
		{[]string{closed.Addr().String(), healthy}, []string{"0 connect failed", "1 ok"}, 200, 1},
		{[]string{resetting, healthy}, []string{"0 connect failed", "1 moot"}, 503, 0},
	} {
		complete.Store(0)
		var outcomes []string
		l, _ := startLoop(t, c.servers[0], func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return sendActions(e.ID, 1)
			case policy.Outcome:
				outcomes = append(outcomes, fmt.Sprint(e.Attempt, " ", e.Code))
				if e.Code == policy.ConnectFailed {
					return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s1"}}
				}
				if e.Code == policy.NotSent {
					return []policy.Action{{Kind: policy.Refuse, ID: e.ID}}
				}
			}
			return nil
		})
		l.send(discovery.Update{Kind: policy.ListReplace, Members: testMembers(t, c.servers...), Revision: 1})
		x := newStreamedRequest(t, "r1", bytes.NewReader(largeBody(4<<20)), maxSmallBody+4<<20)
		x.arrivedAt, x.clientTimeout = l.clock.now(), testTimeout
		l.send(arrival{x})
		a := receive(t, "the answer", x.reply)
		l.snapshot() // the loop has handled all earlier events
		if a.status != c.status || fmt.Sprint(outcomes) != fmt.Sprint(c.want) || complete.Load() != c.complete {
			t.Errorf("%d, outcomes %q, %d complete; want %d, %q, %d", a.status, outcomes, complete.Load(), c.status, c.want, c.complete)
		}
	}
}

// A server that refuses a request before it has received the complete body has not run it. The rest is not sent, and the
// attempt ends although the client sends nothing: its connection must not be touched for that.
func TestEarlyRefusalStopsUpload(t *testing.T) {
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.Peek(1)
		_, _ = io.WriteString(c, "HTTP/1.1 503 F\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		_, _ = r.ReadByte()
		_, _ = io.Copy(io.Discard, r)
	})
	rest, client := io.Pipe()
	defer client.Close()
	u := testUpstream(t, addr)
	x := newStreamedRequest(t, "r1", rest, 8<<20)
	done := make(chan attemptResult, 1)
	go func() { done <- runAttemptOn(t.Context(), u, "s0", x, time.Now().Add(testTimeout)) }()
	if r := receive(t, "the outcome", done); r.code != policy.Full {
		t.Errorf("code %v, want full", r.code)
	}
	if open, _ := u.connCounts("s0"); open != 0 {
		t.Errorf("%d connections are still open", open)
	}
	if err := x.bodyRest.failure(); err != nil {
		t.Errorf("the upload failed with %v, although its client did nothing wrong", err)
	}
}

// A response that arrives as soon as the last byte was sent is not an early one, even if the writing goroutine has not
// reported its end yet: the request ran.
func TestResponseRightAfterBody(t *testing.T) {
	const rest = 128 << 10
	for _, length := range []int64{maxSmallBody + rest, -1} {
		for range 10 {
			addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
				if discardRequest(r) {
					_, _ = io.WriteString(c, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
				}
			})
			x := newStreamedRequest(t, "r1", bytes.NewReader(largeBody(rest)), length)
			x.bodyRest.limiter.rate = 4 << 20 // so that the read that finds the end is delayed
			r := runAttemptOn(t.Context(), testUpstream(t, addr), "s0", x, time.Now().Add(testTimeout))
			if r.code != policy.ServerError {
				t.Fatalf("length %d: %v, %v; want an error that may have run", length, r.code, r.err)
			}
		}
	}
}

// A body that the client truncates is not counted against the server, and the request has not run.
func TestBrokenUploadIsClientFault(t *testing.T) {
	var complete atomic.Int32
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if discardRequest(r) {
			complete.Add(1)
		}
	})
	x := newStreamedRequest(t, "r1", io.MultiReader(bytes.NewReader(largeBody(1<<20)), failingReader{}), -1)
	r := runAttemptOn(t.Context(), testUpstream(t, addr), "s0", x, time.Now().Add(testTimeout))
	if r.code != policy.Cancelled || complete.Load() != 0 {
		t.Errorf("code %v, %d complete requests", r.code, complete.Load())
	}
	select {
	case <-x.bodyRest.failed:
	default:
		t.Error("the truncated body was not reported")
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// slowReader returns at most chunkSize bytes per read, each time after the interval, until none remain.
type slowReader struct {
	interval  time.Duration
	chunkSize int
	remaining int
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	time.Sleep(r.interval)
	n := min(r.chunkSize, r.remaining, len(p))
	r.remaining -= n
	return n, nil
}

// Bodies may arrive as slowly as 64 kB/s, in pieces of any size. Slower ones are cut off in time. The time in which the
// node itself does not read is not counted.
func TestMinimumBodyRate(t *testing.T) {
	for name, c := range map[string]struct {
		reader  slowReader
		elapsed time.Duration // since the head began to arrive
		pause   time.Duration // of the node before each read
		want    error
		within  time.Duration
	}{
		"64 kB/s, single bytes":     {slowReader{time.Second / 64000, 1, 100 << 10}, 2 * time.Second, 0, nil, testTimeout},
		"64 kB/s, large pieces":     {slowReader{time.Second / 2, 32000, 2 << 20}, 2 * time.Second, 0, nil, 3 * testTimeout},
		"back-pressure":             {slowReader{time.Second / 4, 16 << 10, 1 << 20}, 2 * time.Second, time.Second, nil, 3 * testTimeout},
		"trickle":                   {slowReader{100 * time.Millisecond, 1, 1 << 20}, 0, 0, errTooSlow, 3 * time.Second},
		"trickle after a slow head": {slowReader{100 * time.Millisecond, 1, 1 << 20}, 2 * time.Second, 0, errTooSlow, time.Second},
		"frequent trickle":          {slowReader{5 * time.Millisecond, 1, 1 << 20}, 0, 0, errTooSlow, 3 * time.Second},
		"above the size limit":      {slowReader{0, 1 << 20, maxBodySize + 1}, 0, 0, errTooLarge, 1100 * time.Millisecond},
		"at the size limit":         {slowReader{0, 1 << 20, maxBodySize}, 0, 0, nil, 1100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			u := newUpload(noopDeadlineWriter{}, nil, &c.reader, c.elapsed, bodyRatePerCore)
			var err error
			for p := make([]byte, 1<<20); err == nil; {
				time.Sleep(c.pause)
				_, err = u.Read(p)
			}
			if c.want == nil && err != io.EOF || c.want != nil && !errors.Is(err, c.want) || time.Since(began) > c.within {
				t.Errorf("%s: %v after %v, want %v within %v", name, err, time.Since(began), c.want, c.within)
			}
			if u.isComplete() != (c.want == nil) || (u.failure() != nil) != (c.want != nil) {
				t.Errorf("%s: complete %v, failure %v", name, u.isComplete(), u.failure())
			}
		})
	}
}

// The rate of one body is limited by its share of the processor, however fast it arrives.
func TestLargeBodyRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		u := newUpload(noopDeadlineWriter{}, nil, &slowReader{0, 1 << 20, maxBodySize}, 0, bodyRatePerCore/4)
		if n, err := io.Copy(io.Discard, u); n != maxBodySize || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
		if took := time.Since(began); took < 3900*time.Millisecond || took > 4100*time.Millisecond {
			t.Errorf("took %v, want 4 s", took)
		}
	})
}

// Slow large bodies that have used up their budget don't block small ones, and another large body waits for memory.
func TestMemoryBudgets(t *testing.T) {
	budget := newMemoryBudget(1, 1)
	var reservations []*reservation
	for range minBudget / maxSmallBody {
		res, err := reserve(t.Context(), budget.largeRequests, maxSmallBody)
		if err != nil {
			t.Fatal(err)
		}
		reservations = append(reservations, res)
	}
	small, err := reserve(t.Context(), budget.requests, maxSmallBody)
	if err != nil {
		t.Fatal(err)
	}
	small.release()
	waiting := make(chan *reservation, 1)
	go func() {
		res, _ := reserve(t.Context(), budget.largeRequests, maxSmallBody)
		waiting <- res
	}()
	reservations[0].resize(pieceSize)
	reservations[1].resize(pieceSize)
	reservations[1].resize(maxSmallBody) // resize never grows a reservation
	receive(t, "the reservation", waiting).release()
	for _, res := range reservations {
		res.release()
		res.release()
	}
	(*reservation)(nil).release()
	if !budget.isUnused(t) {
		t.Error("memory is still reserved")
	}
}

// All unambiguous forms of HTTP/1.1 requests are served, pipelined ones too.
func TestHTTPRequestForms(t *testing.T) {
	addr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "<%s %s %s>", r.Header.Get("X-Request-Id"), r.RequestURI, body)
	})
	node, _ := startNode(t, testConfig(t, memberListJSON(addr)))
	request := func(method, target, class, id, rest string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n%s",
			method, target, id, class, rest)
	}
	chunks := "3;name=\"v;x\"\r\nsum\r\n1;a\r\n!\r\n0\r\nX-Trailer: x\r\n\r\n"
	for name, c := range map[string]struct{ raw, want string }{
		"chunks with extensions and trailers": {request("POST", "/api?a=1", "pay", "a", "Connection: close\r\ntransfer-encoding: Chunked\r\n\r\n"+chunks),
			"<a /api?a=1 sum!>"},
		"expectation": {request("POST", "/api", "pay", "b", "Connection: close\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nsum"),
			"HTTP/1.1 100 Continue\r\n\r\n;<b /api sum>"},
		"absolute form": {request("GET", "http://origin.svc/api/x?q=%20", "read", "c", "Connection: close\r\n\r\n"), "<c /api/x?q=%20 >"},
		"pipelined": {request("GET", "/1", "read", "d", "\r\n") + request("POST", "/2", "pay", "e", "Content-Length: 3\r\n\r\nsum") +
			request("GET", "/3", "read", "f", "Connection: close\r\n\r\n"), "<d /1 >;<e /2 sum>;<f /3 >"},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			conn, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			raw := strings.NewReplacer("Request-Id: ", fmt.Sprintf("Request-Id: %d-", size)).Replace(c.raw)
			for rest := raw; rest != ""; {
				n := min(size, len(rest))
				_, _ = io.WriteString(conn, rest[:n])
				rest = rest[n:]
			}
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			got, err := io.ReadAll(conn)
			conn.Close()
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			offset := 0
			for _, want := range strings.Split(c.want, ";") {
				want = strings.Replace(want, "<", fmt.Sprintf("<%d-", size), 1)
				i := strings.Index(string(got[offset:]), want)
				if i < 0 {
					t.Errorf("%s, in pieces of %d: %q, want %q after the earlier responses", name, size, got, want)
					break
				}
				offset += i + len(want)
			}
		}
	}
}

// A head from which two implementations could derive different ends of the body (request smuggling) reaches no server, and
// neither does anything that follows it.
func TestAmbiguousHeadsReachNoServer(t *testing.T) {
	var reached atomic.Int32
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			reached.Add(1)
		}
	})
	node, _ := startNode(t, testConfig(t, memberListJSON(addr)))
	head := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: outer\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
	hidden := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: inner\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"
	for name, raw := range map[string]string{
		"length beside a coding":       head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"coding beside a length":       head + "transfer-encoding: chunked\r\nCONTENT-LENGTH: 0\r\n\r\n0\r\n\r\n" + hidden,
		"a bare line feed":             head + "X: y\nContent-Length: 0\r\n\r\n" + hidden,
		"bare line feeds":              strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 0\n\n" + hidden,
		"a bare end of the head":       head + "Content-Length: 0\r\n\n" + hidden,
		"lengths that differ":          head + "Content-Length: 0\r\nContent-Length: 3\r\n\r\n" + hidden,
		"a list of lengths":            head + "Content-Length: 0, 3\r\n\r\n" + hidden,
		"a signed length":              head + "Content-Length: +0\r\n\r\n" + hidden,
		"a bad chunk size":             head + "Transfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n" + hidden,
		"a chunk size too large":       head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nx\r\n0\r\n\r\n" + hidden,
		"a chunk longer than its size": head + "Transfer-Encoding: chunked\r\n\r\n1\r\nxyz\r\n0\r\n\r\n" + hidden,
		"two codings":                  head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
		"a space before a colon":       head + "Content-Length : 3\r\n\r\n" + hidden,
		"a bad chunk after 128 kB":     head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\nzz\r\n", 2*maxSmallBody, largeBody(2*maxSmallBody)) + hidden,
		"an ambiguous second one":      strings.Replace(hidden, "inner", "first", 1) + head + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		reached.Store(0)
		conn, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		got, err := io.ReadAll(conn)
		conn.Close()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%s: the connection stays open", name)
		}
		wantReached := int32(0)
		if strings.HasPrefix(name, "an ambiguous second") {
			wantReached = 1
			got = bytes.TrimPrefix(got, got[:max(0, bytes.LastIndex(got, []byte("HTTP/1.1 ")))])
		}
		if !bytes.HasPrefix(got, []byte("HTTP/1.1 4")) && !bytes.HasPrefix(got, []byte("HTTP/1.1 501")) ||
			bytes.Count(got, []byte("HTTP/1.")) != 1 || reached.Load() != wantReached {
			t.Errorf("%s: answered %.200q, %d reached the server", name, got, reached.Load())
		}
	}
}

// The same heads and violations are found however a connection's bytes are split, and each head is delivered separately.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nPOST /\nTransfer-Encoding: x\r\nContent-length:1\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\n\n\r\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, raw []byte, cut uint8) {
		scanHeads := func(size int) (all []string) {
			var scanner headScanner
			head := []byte{}
			for rest := raw; len(rest) > 0; {
				p := rest[:min(size, len(rest))]
				before := scanner.headCount
				n := scanner.scan(p)
				if n <= 0 || n > len(p) {
					t.Fatalf("scan delivers %d of %d bytes", n, len(p))
				}
				head, rest = append(head, p[:n]...), rest[n:]
				if scanner.headCount != before { // empty lines before a head belong to it, and none of them ends it
					if trimmed := strings.TrimLeft(string(head), "\r\n"); !strings.HasSuffix(trimmed, "\n\n") && !strings.HasSuffix(trimmed, "\n\r\n") {
						t.Fatalf("%q is no head", head)
					}
					all = append(all, fmt.Sprintf("%q %+v", head, scanner.violations))
					head = nil
				}
			}
			return all
		}
		if whole, parts := scanHeads(len(raw)+1), scanHeads(int(cut)+1); fmt.Sprint(whole) != fmt.Sprint(parts) {
			t.Errorf("in one piece: %v, in pieces of %d: %v", whole, cut+1, parts)
		}
	})
}

// A client that has shut down its sending side counts as disconnected: it gets no response.
func TestDisconnectedClientGetsNoResponse(t *testing.T) {
	hold := make(chan struct{})
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	defer close(hold)
	node, _ := startNode(t, testConfig(t, memberListJSON(addr)))
	conn, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := newRequest(t, node, "GET", "read", "r1", "").Write(conn); err != nil {
		t.Fatal(err)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if got, _ := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("received %q, want no response", got)
	}
}

// While there is memory, a large body is buffered completely before it is sent: it occupies no server while it arrives, and
// can be sent again if the first server can't be reached. Without memory it is streamed.
func TestLargeBodyIsHeldWhileMemoryLasts(t *testing.T) {
	const size = maxHeldBody
	body := largeBody(size)
	for _, hasMemory := range []bool{true, false} {
		started, received := make(chan struct{}, 1), make(chan int64, 1)
		addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := r.Peek(1); err != nil {
				return
			}
			started <- struct{}{}
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, req.Body)
			received <- n
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		l, _ := startLoop(t, addr, sendOnce)
		if !hasMemory {
			res := tryReserve(l.upstream.memory.heldRequests, bodyBudget(64))
			if res == nil {
				t.Fatal("no memory at the start")
			}
			defer res.release()
		}
		node := startHTTPServer(t, newServer(testConfig(t, memberListJSON(addr)), l).ServeHTTP)
		bodyReader, bodyWriter := io.Pipe()
		req := newRequest(t, node, "POST", "pay", "r1", "x")
		req.Body, req.ContentLength = bodyReader, size
		answered := make(chan int, 1)
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				answered <- 0
				return
			}
			resp.Body.Close()
			answered <- resp.StatusCode
		}()
		_, _ = bodyWriter.Write(body[:size-1])
		if !hasMemory {
			receive(t, "the beginning of a streamed body", started)
		}
		select {
		case <-started:
			t.Error("a held body was sent before it was complete")
		default:
		}
		_, _ = bodyWriter.Write(body[size-1:])
		bodyWriter.Close()
		if n := receive(t, "the body", received); n != size {
			t.Errorf("memory %v: %d bytes", hasMemory, n)
		}
		if status := receive(t, "the answer", answered); status != 200 {
			t.Errorf("memory %v: %d", hasMemory, status)
		}
	}
}

// A request for whose body there is no memory, since other bodies use it all, is refused before its deadline: its client
// has sent it completely, so it must get a final answer.
func TestBodyWithoutMemoryIsRefusedInTime(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {
		t.Error("a request whose body got no memory reached a server")
	})
	up := testUpstream(t, addr)
	l, err := newLoop(testConfig(t, memberListJSON(addr)), clock{start: time.Now()}, up)
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, l, addr)
	node, _ := serveClients(t, l)
	exhaustRequestMemory(t, up.memory)
	for _, length := range []int{100, maxSmallBody + 1, 400 << 10, 1 << 20} {
		expectRefusal(t, postBody(t, node, length, 200*time.Millisecond))
	}
}

// When the process shuts down, requests whose bodies wait for memory are refused at once, since the connections are closed
// soon after.
func TestBodyWithoutMemoryIsRefusedAtShutdown(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {
		t.Error("a request whose body got no memory reached a server")
	})
	up := testUpstream(t, addr)
	c := testConfig(t, memberListJSON(addr))
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Deadline = time.Hour
	}
	l, err := newLoop(c, clock{start: time.Now()}, up)
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, l, addr)
	s := newServer(c, l)
	node, _ := serveClientsWith(t, s)
	exhaustRequestMemory(t, up.memory)
	smallConn, largeConn := postBody(t, node, 100, time.Hour), postBody(t, node, maxSmallBody+1, time.Hour)
	s.endOpenRequests()
	expectRefusal(t, smallConn)
	expectRefusal(t, largeConn)
}

// exhaustRequestMemory reserves all memory for request bodies until the test ends.
func exhaustRequestMemory(t *testing.T, budget *memoryBudget) {
	t.Helper()
	t.Cleanup(holdRequestMemory(budget))
}

// postBody sends a request with a body of the given length and the client timeout on a new connection.
func postBody(t *testing.T, node string, length int, clientTimeout time.Duration) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout / 3))
	if _, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: pay\r\nX-Tenant: t\r\n"+
		"X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", length, clientTimeout.Milliseconds(), length, strings.Repeat("x", length)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// expectRefusal expects a refusal with a Retry-After header.
func expectRefusal(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v, %v; want a refusal with Retry-After", resp, err)
	}
}
