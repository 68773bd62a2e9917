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

	"golang.org/x/sync/semaphore"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// large is a body that nobody holds whole, and of which each place is told from the others.
func large(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i>>16 ^ i>>8 ^ i)
	}
	return p
}

// empty tells whether nobody holds a part of the budget.
func (b *memoryBudget) empty(t *testing.T) bool {
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

// Large bodies go both ways as they are, in whatever framing, while the node has room for pieces only.
func TestLargeBodiesPassBothWays(t *testing.T) {
	answer := large(5 << 20)
	addr := httpServer(t, func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		n, err := io.Copy(sum, r.Body)
		if err != nil {
			return
		}
		w.Header().Set("X-Got", "")
		if r.URL.Query().Get("told") != "" {
			w.Header().Set("Content-Length", fmt.Sprint(len(answer)+100))
		}
		fmt.Fprintf(w, "%-100s", fmt.Sprintf("%d %x", n, sum.Sum(nil)))
		_, _ = w.Write(answer)
	})
	c := testConfig(t, knownList(addr))
	c.MemoryMB = 1
	node, _ := startNode(t, c)
	for _, told := range []bool{true, false} {
		for _, size := range []int{maxSmallBody - 1, maxSmallBody, maxSmallBody + 1, maxSmallBody + 2, 3 << 20} {
			body := large(size)
			req := newRequest(t, node, "POST", "pay", fmt.Sprintf("r-%d-%v", size, told), "x")
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
			if !told {
				req.ContentLength = -1
			} else {
				req.URL.RawQuery = "told=1"
			}
			resp, got := do(t, req)
			want := fmt.Sprintf("%-100s%s", fmt.Sprintf("%d %x", size, sha256.Sum256(body)), answer)
			if resp.StatusCode != 200 || got != want {
				t.Errorf("%d bytes, told %v: %d, %d bytes that begin with %.80q", size, told, resp.StatusCode, len(got), got)
			}
		}
	}
}

// An answer that breaks off once it is being passed on breaks off at the client too, and one that breaks
// off before that is none at all.
func TestBrokenLargeAnswerIsToldApart(t *testing.T) {
	var attempts atomic.Int32
	cut := maxSmallBody + 9
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		if !swallow(r) {
			return
		}
		attempts.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*cut, large(cut))
	})
	chunked := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		if !swallow(r) {
			return
		}
		attempts.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", 2*cut, large(cut))
	})
	for _, server := range []string{addr, chunked} {
		attempts.Store(0)
		node, stop := startNode(t, testConfig(t, knownList(server)))
		resp, err := http.DefaultClient.Do(newRequest(t, node, "GET", "read", "r1", ""))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 || err == nil || !bytes.Equal(got, large(cut)[:len(got)]) || attempts.Load() != 1 {
			t.Errorf("%d, %d bytes, %v after %d attempts; want 200 that breaks off, after one", resp.StatusCode,
				len(got), err, attempts.Load())
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	}
}

// Time no longer ends an attempt whose answer is being passed on, and the module hears of it as it begins.
func TestBegunAnswerIsNotCutOff(t *testing.T) {
	more := make(chan struct{})
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for swallow(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 3*maxSmallBody)
			_, _ = c.Write(large(3 * maxSmallBody)[:maxSmallBody])
			<-more
			_, _ = c.Write(large(3 * maxSmallBody)[maxSmallBody:])
		}
	})
	u := testUpstream(t, addr)
	until := time.Now().Add(2 * time.Second)
	var got []byte
	u.sendAttempt(t.Context(), "s0", testClientRequest(http.MethodGet, "r1", ""), attemptParams{deadline: until, clientGone: t.Context(), onEnd: func(r attemptResult) {
		if r.code != policy.OK || r.answer.stream == nil {
			t.Errorf("code %v", r.code)
			return
		}
		go func() {
			time.Sleep(time.Until(until.Add(time.Millisecond)))
			close(more)
			rest, err := io.ReadAll(r.answer.stream.rest)
			got = append(r.answer.body, rest...)
			r.answer.reserved.release()
			r.answer.stream.end(err)
		}()
	}})
	if !bytes.Equal(got, large(3*maxSmallBody)) {
		t.Errorf("%d bytes came", len(got))
	}
	if open, idle := u.counts("s0"); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle: the connection serves another request", open, idle)
	}
	if !u.memory.empty(t) {
		t.Error("room is left taken")
	}
}

// streamed is a large request whose rest comes from a reader.
func streamed(t *testing.T, id string, rest io.Reader, length int64) *clientRequest {
	x := testClientRequest(http.MethodPost, id, string(large(maxSmallBody)))
	x.bodyRest, x.length = newUpload(deadlines{}, nil, rest, 0, bodyRatePerCore), length
	return x
}

// deadlines is a ResponseWriter that takes deadlines and does nothing with them.
type deadlines struct{ http.ResponseWriter }

func (deadlines) SetReadDeadline(time.Time) error { return nil }

// A large body goes out again for as long as all of it is held, and not later; what did not go out whole
// has never run.
func TestLargeBodyIsSentOnce(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	var whole atomic.Int32
	cutter := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, r, 2*maxSmallBody) // more than the node holds
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	good := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		if swallow(r) {
			whole.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for _, c := range []struct {
		servers []string
		want    []string
		status  int
		whole   int32
	}{
		{[]string{closed.Addr().String(), good}, []string{"0 connect failed", "1 ok"}, 200, 1},
		{[]string{cutter, good}, []string{"0 connect failed", "1 moot"}, 503, 0},
	} {
		whole.Store(0)
		var outcomes []string
		l, _ := startLoop(t, c.servers[0], func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return sends(e.ID, 1)
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
		l.send(discovery.Update{Kind: policy.ListReplace, Members: members(t, c.servers...), Revision: 1})
		x := streamed(t, "r1", bytes.NewReader(large(4<<20)), maxSmallBody+4<<20)
		x.arrivedAt, x.clientTimeout = l.clock.now(), long
		l.send(arrival{x})
		a := receive(t, "the answer", x.reply)
		l.snapshot() // the loop has gone through what came before
		if a.status != c.status || fmt.Sprint(outcomes) != fmt.Sprint(c.want) || whole.Load() != c.whole {
			t.Errorf("%d, outcomes %q, %d whole; want %d, %q, %d", a.status, outcomes, whole.Load(), c.status, c.want, c.whole)
		}
	}
}

// A server that refuses before it has the whole body has not run it, and the rest is not sent.
func TestEarlyRefusalEndsTheUpload(t *testing.T) {
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.Peek(1)
		_, _ = io.WriteString(c, "HTTP/1.1 503 F\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		_, _ = r.ReadByte()
		_, _ = io.Copy(io.Discard, r)
	})
	blocked, unblock := io.Pipe()
	u := testUpstream(t, addr)
	x := streamed(t, "r1", blocked, 8<<20)
	done := make(chan attemptResult, 1)
	go func() { done <- attemptAt(t.Context(), u, "s0", x, time.Now().Add(long)) }()
	await(t, "the end of what is wanted", func() bool {
		x.bodyRest.mu.Lock()
		defer x.bodyRest.mu.Unlock()
		return x.bodyRest.stopped
	})
	unblock.CloseWithError(errStopped) // as the deadline does on a connection
	if r := receive(t, "the outcome", done); r.code != policy.Full {
		t.Errorf("code %v, want full", r.code)
	}
	if open, _ := u.counts("s0"); open != 0 {
		t.Errorf("%d connections are still open", open)
	}
}

// An answer that comes as soon as the last byte is out is no early one, though the writer has not said yet
// that it is done: the request ran.
func TestAnswerOnTheHeelsOfTheBody(t *testing.T) {
	const rest = 128 << 10
	for _, length := range []int64{maxSmallBody + rest, -1} {
		for range 10 {
			addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
				if swallow(r) {
					_, _ = io.WriteString(c, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
				}
			})
			x := streamed(t, "r1", bytes.NewReader(large(rest)), length)
			x.bodyRest.limiter.rate = 4 << 20 // so that one more look for the end takes a while
			r := attemptAt(t.Context(), testUpstream(t, addr), "s0", x, time.Now().Add(long))
			if r.code != policy.ServerError {
				t.Fatalf("length %d: %v, %v; want an error that may have run", length, r.code, r.err)
			}
		}
	}
}

// A client that breaks its own body off is not the server's fault, and its request never ran.
func TestBrokenUploadIsTheClients(t *testing.T) {
	var whole atomic.Int32
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		if swallow(r) {
			whole.Add(1)
		}
	})
	x := streamed(t, "r1", io.MultiReader(bytes.NewReader(large(1<<20)), brokenReader{}), -1)
	r := attemptAt(t.Context(), testUpstream(t, addr), "s0", x, time.Now().Add(long))
	if r.code != policy.Cancelled || whole.Load() != 0 {
		t.Errorf("code %v, %d whole requests", r.code, whole.Load())
	}
	select {
	case <-x.bodyRest.failed:
	default:
		t.Error("nobody is told that the client's body broke off")
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// slowReader gives so many bytes each time it has waited.
type slowReader struct {
	wait  time.Duration
	bytes int
	left  int
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.EOF
	}
	time.Sleep(r.wait)
	n := min(r.bytes, r.left, len(p))
	r.left -= n
	return n, nil
}

// Bodies may come as slowly as 64 kB a second, in pieces of any size; what comes slower is ended in time,
// and the time in which the node itself does not read counts for nothing.
func TestPaceOfBodies(t *testing.T) {
	for name, c := range map[string]struct {
		from  slowReader
		ago   time.Duration
		pause time.Duration // of the node before each read
		want  error
		by    time.Duration
	}{
		"64 kB/s, a byte at a time": {slowReader{time.Second / 64000, 1, 100 << 10}, 2 * time.Second, 0, nil, long},
		"64 kB/s, in large pieces":  {slowReader{time.Second / 2, 32000, 2 << 20}, 2 * time.Second, 0, nil, 3 * long},
		"back-pressure":             {slowReader{time.Second / 4, 16 << 10, 1 << 20}, 2 * time.Second, time.Second, nil, 3 * long},
		"dribble":                   {slowReader{100 * time.Millisecond, 1, 1 << 20}, 0, 0, errTooSlow, 3 * time.Second},
		"dribble after a slow head": {slowReader{100 * time.Millisecond, 1, 1 << 20}, 2 * time.Second, 0, errTooSlow, time.Second},
		"dribble often":             {slowReader{5 * time.Millisecond, 1, 1 << 20}, 0, 0, errTooSlow, 3 * time.Second},
		"more than there may be":    {slowReader{0, 1 << 20, maxBodySize + 1}, 0, 0, errTooLarge, 1100 * time.Millisecond},
		"as much as there may be":   {slowReader{0, 1 << 20, maxBodySize}, 0, 0, nil, 1100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			u := newUpload(deadlines{}, nil, &c.from, c.ago, bodyRatePerCore)
			var err error
			for p := make([]byte, 1<<20); err == nil; {
				time.Sleep(c.pause)
				_, err = u.Read(p)
			}
			if c.want == nil && err != io.EOF || c.want != nil && !errors.Is(err, c.want) || time.Since(began) > c.by {
				t.Errorf("%s: %v after %v, want %v within %v", name, err, time.Since(began), c.want, c.by)
			}
			if u.isComplete() != (c.want == nil) || (u.failure() != nil) != (c.want != nil) {
				t.Errorf("%s: whole %v, failure %v", name, u.isComplete(), u.failure())
			}
		})
	}
}

// One body takes no more than its part of the processor, however fast it comes.
func TestLargeBodyIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		u := newUpload(deadlines{}, nil, &slowReader{0, 1 << 20, maxBodySize}, 0, bodyRatePerCore/4)
		if n, err := io.Copy(io.Discard, u); n != maxBodySize || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
		if took := time.Since(began); took < 3900*time.Millisecond || took > 4100*time.Millisecond {
			t.Errorf("took %v, want 4 s", took)
		}
	})
}

// Slow large bodies that have all their room keep no small one out, and who has none waits for it.
func TestRoomIsSharedOut(t *testing.T) {
	r := newMemoryBudget(1, 1)
	var held []*reservation
	for range minBudget / maxSmallBody {
		c, err := reserve(t.Context(), r.largeRequests, maxSmallBody)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	small, err := reserve(t.Context(), r.requests, maxSmallBody)
	if err != nil {
		t.Fatal(err)
	}
	small.release()
	next := make(chan *reservation, 1)
	go func() {
		c, _ := reserve(t.Context(), r.largeRequests, maxSmallBody)
		next <- c
	}()
	held[0].resize(pieceSize)
	held[1].resize(pieceSize)
	held[1].resize(maxSmallBody) // it doesn't grow again
	receive(t, "room", next).release()
	for _, c := range held {
		c.release()
		c.release()
	}
	(*reservation)(nil).release()
	if !r.empty(t) {
		t.Error("room is left taken")
	}
}

// All forms of HTTP/1.1 that say plainly what they mean are served, also one behind another.
func TestFormsOfRequests(t *testing.T) {
	addr := httpServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "<%s %s %s>", r.Header.Get("X-Request-Id"), r.RequestURI, body)
	})
	node, _ := startNode(t, testConfig(t, knownList(addr)))
	request := func(method, target, class, id, more string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n%s",
			method, target, id, class, more)
	}
	chunks := "3;name=\"v;x\"\r\nsum\r\n1;a\r\n!\r\n0\r\nX-Trailer: x\r\n\r\n"
	for name, c := range map[string]struct{ raw, want string }{
		"chunks with extensions and trailers": {request("POST", "/api?a=1", "pay", "a", "Connection: close\r\ntransfer-encoding: Chunked\r\n\r\n"+chunks),
			"<a /api?a=1 sum!>"},
		"expectation": {request("POST", "/api", "pay", "b", "Connection: close\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nsum"),
			"HTTP/1.1 100 Continue\r\n\r\n;<b /api sum>"},
		"absolute form": {request("GET", "http://origin.svc/api/x?q=%20", "read", "c", "Connection: close\r\n\r\n"), "<c /api/x?q=%20 >"},
		"one behind another": {request("GET", "/1", "read", "d", "\r\n") + request("POST", "/2", "pay", "e", "Content-Length: 3\r\n\r\nsum") +
			request("GET", "/3", "read", "f", "Connection: close\r\n\r\n"), "<d /1 >;<e /2 sum>;<f /3 >"},
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			conn, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			raw := strings.NewReplacer("Request-Id: ", fmt.Sprintf("Request-Id: %d-", piece)).Replace(c.raw)
			for rest := raw; rest != ""; {
				n := min(piece, len(rest))
				_, _ = io.WriteString(conn, rest[:n])
				rest = rest[n:]
			}
			_ = conn.SetReadDeadline(time.Now().Add(long))
			got, err := io.ReadAll(conn)
			conn.Close()
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			at := 0
			for _, want := range strings.Split(c.want, ";") {
				want = strings.Replace(want, "<", fmt.Sprintf("<%d-", piece), 1)
				i := strings.Index(string(got[at:]), want)
				if i < 0 {
					t.Errorf("%s, in pieces of %d: %q, want %q behind what came first", name, piece, got, want)
					break
				}
				at += i + len(want)
			}
		}
	}
}

// What one side might take for a body and another for a request reaches no server, and nothing behind it.
func TestAmbiguousHeadsReachNoServer(t *testing.T) {
	var reached atomic.Int32
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			reached.Add(1)
		}
	})
	node, _ := startNode(t, testConfig(t, knownList(addr)))
	head := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: outer\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
	hidden := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: inner\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"
	for name, raw := range map[string]string{
		"length beside a coding":  head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"coding beside a length":  head + "transfer-encoding: chunked\r\nCONTENT-LENGTH: 0\r\n\r\n0\r\n\r\n" + hidden,
		"a bare line feed":        head + "X: y\nContent-Length: 0\r\n\r\n" + hidden,
		"bare line feeds":         strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 0\n\n" + hidden,
		"a bare end of the head":  head + "Content-Length: 0\r\n\n" + hidden,
		"lengths that differ":     head + "Content-Length: 0\r\nContent-Length: 3\r\n\r\n" + hidden,
		"a list of lengths":       head + "Content-Length: 0, 3\r\n\r\n" + hidden,
		"a signed length":         head + "Content-Length: +0\r\n\r\n" + hidden,
		"a bad chunk size":        head + "Transfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n" + hidden,
		"a chunk size too large":  head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nx\r\n0\r\n\r\n" + hidden,
		"a chunk that is longer":  head + "Transfer-Encoding: chunked\r\n\r\n1\r\nxyz\r\n0\r\n\r\n" + hidden,
		"two codings":             head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
		"a space before a colon":  head + "Content-Length : 3\r\n\r\n" + hidden,
		"a bad chunk far behind":  head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\nzz\r\n", 2*maxSmallBody, large(2*maxSmallBody)) + hidden,
		"an ambiguous second one": strings.Replace(hidden, "inner", "first", 1) + head + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		reached.Store(0)
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, raw)
		_ = c.SetReadDeadline(time.Now().Add(long))
		got, err := io.ReadAll(c)
		c.Close()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%s: the connection stays open", name)
		}
		first := int32(0)
		if strings.HasPrefix(name, "an ambiguous second") {
			first = 1
			got = bytes.TrimPrefix(got, got[:max(0, bytes.LastIndex(got, []byte("HTTP/1.1 ")))])
		}
		if !bytes.HasPrefix(got, []byte("HTTP/1.1 4")) && !bytes.HasPrefix(got, []byte("HTTP/1.1 501")) ||
			bytes.Count(got, []byte("HTTP/1.")) != 1 || reached.Load() != first {
			t.Errorf("%s: answered %.200q, %d reached the server", name, got, reached.Load())
		}
	}
}

// However a connection's bytes are cut, the same heads and violations are seen, each by itself.
func FuzzHeadWatch(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nPOST /\nTransfer-Encoding: x\r\nContent-length:1\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\n\n\r\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, raw []byte, cut uint8) {
		heads := func(step int) (all []string) {
			var w headScanner
			head := []byte{}
			for rest := raw; len(rest) > 0; {
				p := rest[:min(step, len(rest))]
				before := w.headCount
				n := w.scan(p)
				if n <= 0 || n > len(p) {
					t.Fatalf("lets %d of %d through", n, len(p))
				}
				head, rest = append(head, p[:n]...), rest[n:]
				if w.headCount != before { // empty lines ahead of it belong to it, and none of them ends it
					if end := strings.TrimLeft(string(head), "\r\n"); !strings.HasSuffix(end, "\n\n") && !strings.HasSuffix(end, "\n\r\n") {
						t.Fatalf("%q is no head", head)
					}
					all = append(all, fmt.Sprintf("%q %+v", head, w.violations))
					head = nil
				}
			}
			return all
		}
		if whole, parts := heads(len(raw)+1), heads(int(cut)+1); fmt.Sprint(whole) != fmt.Sprint(parts) {
			t.Errorf("whole: %v, in parts of %d: %v", whole, cut+1, parts)
		}
	})
}

// A client that ended its sending has left; it is not told that its request was served.
func TestWhoLeavesIsNotToldOfSuccess(t *testing.T) {
	hold := make(chan struct{})
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	defer close(hold)
	node, _ := startNode(t, testConfig(t, knownList(addr)))
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := newRequest(t, node, "GET", "read", "r1", "").Write(c); err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(long))
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("told %q", got)
	}
}

// While there is room, a large body is held whole: it takes up no server while it comes, and is sent again
// where the first server can't be reached any more. Without room it goes on as it comes.
func TestLargeBodyIsHeldWhileThereIsRoom(t *testing.T) {
	const size = maxHeldBody
	body := large(size)
	for _, room := range []bool{true, false} {
		begun, whole := make(chan struct{}, 1), make(chan int64, 1)
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := r.Peek(1); err != nil {
				return
			}
			begun <- struct{}{}
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, req.Body)
			whole <- n
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		l, _ := startLoop(t, addr, sendEach)
		if !room {
			c := tryReserve(l.upstream.memory.heldRequests, int64(budgetFraction*64*(1<<20)))
			if c == nil {
				t.Fatal("no room from the start")
			}
			defer c.release()
		}
		node := httpServer(t, newServer(testConfig(t, knownList(addr)), l).ServeHTTP)
		from, to := io.Pipe()
		req := newRequest(t, node, "POST", "pay", "r1", "x")
		req.Body, req.ContentLength = from, size
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
		_, _ = to.Write(body[:size-1])
		if !room {
			receive(t, "the beginning of a body that isn't held", begun)
		}
		select {
		case <-begun:
			t.Error("a body that is held went on before it was whole")
		default:
		}
		_, _ = to.Write(body[size-1:])
		to.Close()
		if n := receive(t, "the body", whole); n != size {
			t.Errorf("room %v: %d bytes", room, n)
		}
		if status := receive(t, "the answer", answered); status != 200 {
			t.Errorf("room %v: %d", room, status)
		}
	}
}

// A request whose body finds no room, for others hold it all, is refused by the end of its time: it has been written
// whole to a connection of the node's, and is owed its final answer.
func TestBodyWithoutRoomIsRefusedInTime(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) { t.Error("a request without room reaches a server") })
	up := testUpstream(t, addr)
	l, err := newLoop(testConfig(t, knownList(addr)), clock{start: time.Now()}, up)
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, l, addr)
	node, _ := serveClients(t, l)
	takeAllMemory(t, up.memory)
	for _, length := range []int{100, maxSmallBody + 1} {
		expectRefusal(t, postBody(t, node, length, 200*time.Millisecond))
	}
}

// As the process ends, bodies that wait for room are refused at once: the connections are cut soon after.
func TestBodyWithoutRoomIsRefusedAtTheEnd(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) { t.Error("a request without room reaches a server") })
	up := testUpstream(t, addr)
	c := testConfig(t, knownList(addr))
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Deadline = time.Hour
	}
	l, err := newLoop(c, clock{start: time.Now()}, up)
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, l, addr)
	s := newServer(c, l)
	node, _ := serveClientsOf(t, s)
	takeAllMemory(t, up.memory)
	small, large := postBody(t, node, 100, time.Hour), postBody(t, node, maxSmallBody+1, time.Hour)
	s.endOpenRequests()
	expectRefusal(t, small)
	expectRefusal(t, large)
}

// takeAllMemory leaves no room for bodies of requests until the test ends.
func takeAllMemory(t *testing.T, room *memoryBudget) {
	t.Helper()
	for _, part := range []*semaphore.Weighted{room.requests, room.largeRequests, room.heldRequests} {
		all := int64(0)
		for part.TryAcquire(1 << 10) {
			all += 1 << 10
		}
		t.Cleanup(func() { part.Release(all) })
	}
}

// postBody sends a request with a body on a new connection, whose client waits for so long.
func postBody(t *testing.T, node string, length int, waits time.Duration) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(long / 3))
	if _, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: pay\r\nX-Tenant: t\r\n"+
		"X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", length, waits.Milliseconds(), length, strings.Repeat("x", length)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// expectRefusal wants a refusal that says when to come back.
func expectRefusal(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v, %v; want a refusal that says when to come back", resp, err)
	}
}
