package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// exchange is one attempt on its connection.
type exchange struct {
	*upstream
	c       *conn
	x       *clientRequest
	host    attemptHost
	limit   *time.Timer
	upload  time.Duration
	unasked bool // bytes came behind the answer
	in      *bufio.Reader
	source  io.LimitedReader // of in: bounds a head, and a body that is held
	resp    *http.Response
}

func (t *exchange) putBack() {
	t.in.Reset(nil)
	t.readers.Put(t.in)
	t.in = nil
}

// roundTrip writes the request and reads its answer. The request can't have run before its last byte is
// written.
func (t *exchange) roundTrip(ctx context.Context) (r result, reusable bool) {
	early, err := false, error(nil)
	if t.x.rest == nil {
		err = t.write(ctx)
	} else {
		early, err = t.stream(ctx)
	}
	if err != nil && !early {
		code := classifyError(ctx, err, false)
		if t.x.rest != nil && t.x.rest.failure() != nil {
			code = policy.Cancelled // by the client, not by the server
		}
		return result{code: code, err: err}, false
	}
	t.in = t.readers.Get().(*bufio.Reader)
	r, reusable = t.read(ctx)
	if early { // whatever it answers, the request did not come whole
		r.answer.drop()
		r.answer, reusable = answer{}, false
		if r.code != policy.Full {
			r.code = policy.ConnectFailed
		}
	}
	if r.answer.more == nil {
		t.putBack()
	}
	return r, reusable
}

// write sends a request that is held whole.
func (t *exchange) write(ctx context.Context) error {
	out := t.writers.Get().(*bytes.Buffer)
	defer t.writers.Put(out)
	out.Reset()
	if err := t.request(t.x).Write(out); err != nil {
		return err
	}
	_, err := writePatiently(t.c, out.Bytes())
	return err
}

// stream sends a request on as its body comes. A server may answer before that: with a refusal, most
// likely, and then the rest is of no use.
func (t *exchange) stream(ctx context.Context) (early bool, err error) {
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- t.request(t.x).Write(stallWriter{t.c.TCPConn}) }()
	answered := make(chan struct{})
	go func() { // reads nothing, and ends with the connection
		defer close(answered)
		t.c.readable()
	}()
	select {
	case err = <-done:
	case <-answered:
		// Between its last byte and the writer's word there may be a moment, and what went out whole may have run.
		if !t.x.rest.whole() {
			t.x.rest.stop()
			_ = t.c.SetWriteDeadline(time.Unix(1, 0))
		}
		err = <-done
		early = err != nil
	}
	if err != nil {
		if early && ctx.Err() == nil {
			t.limit.Reset(earlyAnswer)
		}
		return early && ctx.Err() == nil, err
	}
	if err := t.c.SetWriteDeadline(time.Time{}); err != nil {
		return false, err
	}
	t.upload = time.Since(began)
	t.host.uploaded(t.upload)
	t.limit.Reset(time.Until(t.host.until.Add(t.upload)))
	<-answered
	return false, nil
}

// readable waits until there is something to read, or the connection has ended.
func (c *conn) readable() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // whatever ends it shows at the next read
		_, err := peekSocket(int(fd))
		return err != syscall.EAGAIN
	})
}

// stallWriter writes for as long as the other side goes on reading.
type stallWriter struct{ *net.TCPConn }

func (w stallWriter) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		_ = w.SetWriteDeadline(time.Now().Add(stallLimit))
		m, err = w.TCPConn.Write(p[n:min(len(p), n+pieceSize)])
		n += m
	}
	return n, err
}

// stallReader reads for as long as the other side goes on writing, up to a limit.
type stallReader struct {
	conn *net.TCPConn
	from io.Reader
	left int64
	flow flow
}

func (r *stallReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errMalformed
	}
	r.flow.wait()
	_ = r.conn.SetReadDeadline(time.Now().Add(stallLimit))
	n, err := r.from.Read(p)
	r.left -= int64(n)
	r.flow.add(n)
	return n, err
}

// read takes an answer from the connection, within bounds on its head and its body; reusable tells
// that the connection serves another. A small one is taken whole; of a large one the rest is left to
// whoever passes it on. What doesn't fit its framing is no answer: bytes behind a body that begin no
// answer may be its rest.
func (t *exchange) read(ctx context.Context) (r result, reusable bool) {
	fail := func(err error) (result, bool) {
		return result{code: classifyError(ctx, err, true), err: malformed(err, t.source.N == 0)}, false
	}
	t.source.R = t.c
	t.in.Reset(&t.source)
	var err error
	for i := 0; ; i++ {
		t.source.N = maxHeader
		t.resp, err = http.ReadResponse(t.in, &http.Request{Method: t.x.method})
		if err != nil {
			return t.broke(ctx, err)
		}
		if t.resp.StatusCode >= 200 {
			break
		}
		if i == maxInterim || t.resp.StatusCode < 100 || t.resp.StatusCode == http.StatusSwitchingProtocols {
			return fail(errMalformed)
		}
	}
	if t.resp.ContentLength > maxBody {
		return fail(errMalformed)
	}
	r = result{code: policy.ServerError, report: loadReport(t.resp.Header.Get("X-Load"), t.report)}
	switch t.resp.StatusCode {
	case http.StatusOK:
		r.code = policy.OK
		r.answer = answer{status: http.StatusOK, contentType: t.resp.Header.Get("Content-Type")}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if t.resp.Header.Get("X-Not-Run") == "1" { // without it, it may have run
			r.code = policy.Full
		}
	}
	if err := t.body(ctx, &r); err != nil {
		r.answer.reserved.release()
		return t.broke(ctx, err)
	}
	if r.answer.more != nil {
		return r, false
	}
	if n := t.in.Buffered(); n > 0 {
		t.resp.Close = true
		t.unasked = true
		if behind, _ := t.in.Peek(min(n, len(statusLine))); string(behind) != statusLine[:len(behind)] {
			r.answer.reserved.release()
			return fail(errMalformed)
		}
	}
	return r, !t.resp.Close
}

// broke is the outcome of an answer that did not come whole.
func (t *exchange) broke(ctx context.Context, err error) (result, bool) {
	err = malformed(err, t.source.N == 0)
	return result{code: classifyError(ctx, err, true), err: err}, false
}

// body reads an answer's body, or the beginning of one that is large: its length says so, or more comes
// than is held.
func (t *exchange) body(ctx context.Context, r *result) (err error) {
	length := t.resp.ContentLength
	if r.code != policy.OK { // nobody gets it
		t.source.N = framing * wholeBody
		n, err := io.Copy(io.Discard, io.LimitReader(t.resp.Body, wholeBody+1))
		t.resp.Close = t.resp.Close || n > wholeBody
		return err
	}
	a := &r.answer
	large := length > wholeBody
	if large {
		a.reserved, err = reserve(ctx, t.memory.largeAnswers, pieceSize)
	} else if length != 0 {
		hold := length
		if hold < 0 {
			hold = wholeBody + 1
		}
		if a.reserved, err = reserve(ctx, t.memory.answers, hold); err != nil {
			return err
		}
		t.source.N = framing * wholeBody
		a.body, err = io.ReadAll(io.LimitReader(t.resp.Body, hold))
		large = len(a.body) > wholeBody
		a.reserved.resize(int64(len(a.body)))
	}
	if err == nil && large {
		t.source.N = framing * maxBody
		a.more = &download{length: length, ended: make(chan error, 1),
			rest: &stallReader{conn: t.c.TCPConn, from: t.resp.Body, left: maxBody - int64(len(a.body)),
				flow: flow{rate: t.memory.rate}}}
	}
	return err
}

// statusLine is how an answer begins.
const statusLine = "HTTP/1."

// malformed tells an answer that can't be read, or doesn't end, from a connection that broke.
func malformed(err error, tooLong bool) error {
	if ne := net.Error(nil); errors.As(err, &ne) || !tooLong && errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errMalformed
}

// classifyError names the outcome of an attempt that brought no answer. One whose last byte was never
// written can't have run, also where its time is up; when unsure, it may have run.
func classifyError(ctx context.Context, err error, mayRun bool) policy.Code {
	timeUp := errors.Is(context.Cause(ctx), errTimeUp)
	switch {
	case ctx.Err() != nil && !timeUp:
		return policy.Cancelled
	case !mayRun:
		return policy.ConnectFailed
	case timeUp:
		return policy.TimedOut
	case errors.Is(err, errMalformed):
		return policy.ServerError
	}
	return policy.Reset
}

// request makes the copy of x that a server gets.
func (t *exchange) request(x *clientRequest) *http.Request {
	to := *x.url
	to.Scheme, to.Host = "http", t.c.pool.addr
	req := &http.Request{Method: x.method, URL: &to, Host: x.host, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: make(http.Header)}
	req.Header["User-Agent"] = []string{""} // nothing is added in the client's name
	req.Header.Set("X-Request-Id", x.req.ID)
	for name, v := range map[string]string{"Idempotency-Key": x.key, "Content-Type": x.contentType} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(t.tellWait(x), 10))
	switch {
	case x.rest != nil:
		body := io.MultiReader(bytes.NewReader(x.body), goesOn{x})
		if x.length >= 0 { // net/http looks for more, which may take until the answer has come
			body = io.LimitReader(body, x.length)
		}
		req.Body, req.ContentLength = io.NopCloser(body), x.length
	case len(x.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return req
}

// tellWait is how long the server is told that the client waits, in milliseconds.
func (t *exchange) tellWait(x *clientRequest) int64 {
	told := time.Until(t.host.until)
	if t.host.clientWaits.IsZero() {
		return max(1, told.Milliseconds())
	}
	if broken := invariant.MayTell(told, time.Until(t.host.clientWaits)); broken != invariant.None {
		t.monitor.Misdirected(broken, x.req.ID, "told", told)
		told = time.Until(t.host.clientWaits)
	}
	return max(1, told.Milliseconds())
}

// goesOn is the part of a large body that is not held. Once it is read, none of the body is.
type goesOn struct{ x *clientRequest }

func (g goesOn) Read(p []byte) (int, error) {
	if !g.x.rest.begun.Swap(true) {
		g.x.body = nil
		g.x.reserved.resize(pieceSize)
	}
	return g.x.rest.Read(p)
}

// maxReported is more than any figure of a load report can be.
const maxReported = 1e9

// loadReport reads `name=value,name=value` into the order of names; nil where there is none, or where
// a part of it is missing or makes no sense: the rest is then not to be trusted either.
func loadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	figures := make(map[string]float64)
	for _, pair := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
		n, err := strconv.ParseFloat(v, 64)
		if _, twice := figures[name]; twice || err != nil || !(n >= 0 && n <= maxReported) {
			return nil
		}
		figures[name] = n
	}
	row := make([]float64, len(names))
	for i, name := range names {
		n, ok := figures[name]
		if !ok {
			return nil
		}
		row[i] = n
	}
	return row
}
