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

// exchange is one attempt on its connection: the request is written and the response read.
type exchange struct {
	*upstream
	conn          *serverConn
	clientRequest *clientRequest
	params        attemptParams
	attemptTimer  *time.Timer
	uploadTime    time.Duration
	surplusBytes  bool // there were surplus bytes behind the response
	reader        *bufio.Reader
	limitedSource io.LimitedReader // under reader: bounds the size of a head or of a body
	response      *http.Response
}

// releaseReader returns the buffered reader to its pool.
func (t *exchange) releaseReader() {
	t.reader.Reset(nil)
	t.readerPool.Put(t.reader)
	t.reader = nil
}

// roundTrip writes the request and reads the response. The server can't have run the request before its last byte is
// written.
func (t *exchange) roundTrip(ctx context.Context) (r attemptResult, reusable bool) {
	early, err := false, error(nil)
	if t.clientRequest.bodyRest == nil {
		err = t.writeRequest(ctx)
	} else {
		early, err = t.streamRequest(ctx)
	}
	if err != nil && !early {
		code := classifyError(ctx, err, false)
		if t.clientRequest.bodyRest != nil && t.clientRequest.bodyRest.failure() != nil {
			code = policy.Cancelled // the client failed, not the server
		}
		return attemptResult{code: code, err: err}, false
	}
	t.reader = t.readerPool.Get().(*bufio.Reader)
	r, reusable = t.readResponse(ctx)
	if early { // whatever the response, the server did not get the whole request
		r.answer.discard()
		r.answer, reusable = answer{}, false
		if r.code != policy.Full {
			r.code = policy.ConnectFailed
		}
	}
	if r.answer.stream == nil {
		t.releaseReader()
	}
	return r, reusable
}

// writeRequest sends a request whose body is completely in memory.
func (t *exchange) writeRequest(ctx context.Context) error {
	buf := t.bufferPool.Get().(*bytes.Buffer)
	defer t.bufferPool.Put(buf)
	buf.Reset()
	if err := t.newServerRequest(t.clientRequest).Write(buf); err != nil {
		return err
	}
	_, err := writeWithRetry(t.conn, buf.Bytes())
	return err
}

// streamRequest forwards a request while its body arrives. If the server responds before the end, most likely with a
// refusal, the rest of the body is not sent and early is true.
func (t *exchange) streamRequest(ctx context.Context) (early bool, err error) {
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- t.newServerRequest(t.clientRequest).Write(stallWriter{t.conn.TCPConn}) }()
	answered := make(chan struct{})
	go func() { // consumes nothing, and ends at the latest with the connection
		defer close(answered)
		t.conn.waitReadable()
	}()
	select {
	case err = <-done:
	case <-answered:
		// The writer may have sent the last byte without having returned yet, and a request sent completely may have run.
		if !t.clientRequest.bodyRest.isComplete() {
			t.clientRequest.bodyRest.stop()
			_ = t.conn.SetWriteDeadline(time.Unix(1, 0))
		}
		err = <-done
		early = err != nil
	}
	if err != nil {
		if early && ctx.Err() == nil {
			t.attemptTimer.Reset(earlyResponseTimeout)
		}
		return early && ctx.Err() == nil, err
	}
	if err := t.conn.SetWriteDeadline(time.Time{}); err != nil {
		return false, err
	}
	t.uploadTime = time.Since(began)
	t.params.onUploaded(t.uploadTime)
	t.attemptTimer.Reset(time.Until(t.params.deadline.Add(t.uploadTime)))
	<-answered
	return false, nil
}

// waitReadable waits until there is something to read or the connection has ended.
func (c *serverConn) waitReadable() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // an error shows up again at the next read
		_, err := peekSocket(int(fd))
		return err != syscall.EAGAIN
	})
}

// stallWriter is a writer that fails once the peer accepts nothing for stallTimeout.
type stallWriter struct{ *net.TCPConn }

func (w stallWriter) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		_ = w.SetWriteDeadline(time.Now().Add(stallTimeout))
		m, err = w.TCPConn.Write(p[n:min(len(p), n+pieceSize)])
		n += m
	}
	return n, err
}

// stallReader is a size- and rate-limited reader that fails once the peer sends nothing for stallTimeout.
type stallReader struct {
	conn      *net.TCPConn
	source    io.Reader
	remaining int64
	flow      rateLimiter
}

func (r *stallReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMalformed
	}
	r.flow.wait()
	_ = r.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := r.source.Read(p)
	r.remaining -= int64(n)
	r.flow.add(n)
	return n, err
}

// readResponse reads a response with limits on its head and body; reusable reports whether the connection can serve
// another request. A small response is read completely; the rest of a large one is left to the handler that streams it
// to the client. A response that contradicts its framing is malformed: surplus bytes that don't begin a further response
// may belong to its body.
func (t *exchange) readResponse(ctx context.Context) (r attemptResult, reusable bool) {
	fail := func(err error) (attemptResult, bool) {
		return attemptResult{code: classifyError(ctx, err, true), err: responseError(err, t.limitedSource.N == 0)}, false
	}
	t.limitedSource.R = t.conn
	t.reader.Reset(&t.limitedSource)
	var err error
	for i := 0; ; i++ {
		t.limitedSource.N = maxHeaderBytes
		t.response, err = http.ReadResponse(t.reader, &http.Request{Method: t.clientRequest.method})
		if err != nil {
			return t.readFailure(ctx, err)
		}
		if t.response.StatusCode >= 200 {
			break
		}
		if i == maxInterimResponses || t.response.StatusCode < 100 || t.response.StatusCode == http.StatusSwitchingProtocols {
			return fail(errMalformed)
		}
	}
	if t.response.ContentLength > maxBodySize {
		return fail(errMalformed)
	}
	r = attemptResult{code: policy.ServerError, report: parseLoadReport(t.response.Header.Get("X-Load"), t.reportNames)}
	switch t.response.StatusCode {
	case http.StatusOK:
		r.code = policy.OK
		r.answer = answer{status: http.StatusOK, contentType: t.response.Header.Get("Content-Type")}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if t.response.Header.Get("X-Not-Run") == "1" { // without this header the request may have run
			r.code = policy.Full
		}
	}
	if err := t.readBody(ctx, &r); err != nil {
		r.answer.reserved.release()
		return t.readFailure(ctx, err)
	}
	if r.answer.stream != nil {
		return r, false
	}
	if n := t.reader.Buffered(); n > 0 {
		t.response.Close = true
		t.surplusBytes = true
		if surplus, _ := t.reader.Peek(min(n, len(statusLinePrefix))); string(surplus) != statusLinePrefix[:len(surplus)] {
			r.answer.reserved.release()
			return fail(errMalformed)
		}
	}
	return r, !t.response.Close
}

// readFailure returns the result of an attempt whose response could not be read completely.
func (t *exchange) readFailure(ctx context.Context, err error) (attemptResult, bool) {
	err = responseError(err, t.limitedSource.N == 0)
	return attemptResult{code: classifyError(ctx, err, true), err: err}, false
}

// readBody reads a response's body, or only the beginning of a large one. A body is large if its declared length exceeds
// maxSmallBody, or if more than that arrives.
func (t *exchange) readBody(ctx context.Context, r *attemptResult) (err error) {
	length := t.response.ContentLength
	if r.code != policy.OK { // the client doesn't get it
		t.limitedSource.N = maxFramingFactor * maxSmallBody
		n, err := io.Copy(io.Discard, io.LimitReader(t.response.Body, maxSmallBody+1))
		t.response.Close = t.response.Close || n > maxSmallBody
		return err
	}
	a := &r.answer
	large := length > maxSmallBody
	if large {
		a.reserved, err = reserve(ctx, t.memory.largeAnswers, pieceSize)
	} else if length != 0 {
		heldBytes := length
		if heldBytes < 0 {
			heldBytes = maxSmallBody + 1
		}
		if a.reserved, err = reserve(ctx, t.memory.answers, heldBytes); err != nil {
			return err
		}
		t.limitedSource.N = maxFramingFactor * maxSmallBody
		a.body, err = io.ReadAll(io.LimitReader(t.response.Body, heldBytes))
		large = len(a.body) > maxSmallBody
		a.reserved.resize(int64(len(a.body)))
	}
	if err == nil && large {
		t.limitedSource.N = maxFramingFactor * maxBodySize
		a.stream = &download{length: length, ended: make(chan error, 1),
			rest: &stallReader{conn: t.conn.TCPConn, source: t.response.Body, remaining: maxBodySize - int64(len(a.body)),
				flow: rateLimiter{rate: t.memory.bodyRate}}}
	}
	return err
}

// statusLinePrefix is the beginning of each HTTP/1 response.
const statusLinePrefix = "HTTP/1."

// responseError returns err for a connection that broke, and errMalformed for a response that is invalid or too long.
func responseError(err error, tooLong bool) error {
	if ne := net.Error(nil); errors.As(err, &ne) || !tooLong && errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errMalformed
}

// classifyError returns the outcome of an attempt without a usable response. A request whose last byte was never written
// can't have run, even if the attempt timed out; in case of doubt it may have run.
func classifyError(ctx context.Context, err error, mayRun bool) policy.Code {
	timeUp := errors.Is(context.Cause(ctx), errAttemptTimedOut)
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

// newServerRequest creates the request that is sent to the server for x.
func (t *exchange) newServerRequest(x *clientRequest) *http.Request {
	target := *x.url
	target.Scheme, target.Host = "http", t.conn.pool.addr
	req := &http.Request{Method: x.method, URL: &target, Host: x.host, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: make(http.Header)}
	req.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	req.Header.Set("X-Request-Id", x.req.ID)
	for name, v := range map[string]string{"Idempotency-Key": x.idempotencyKey, "Content-Type": x.contentType} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(t.announcedWaitMs(x), 10))
	switch {
	case x.bodyRest != nil:
		body := io.MultiReader(bytes.NewReader(x.body), bodyRest{x})
		if x.length >= 0 { // otherwise net/http reads on to find the end, which may block until the response has arrived
			body = io.LimitReader(body, x.length)
		}
		req.Body, req.ContentLength = io.NopCloser(body), x.length
	case len(x.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return req
}

// announcedWaitMs returns the value of X-Deadline-Ms: the time until the attempt's deadline, and no more than the rules
// allow for the client's remaining wait.
func (t *exchange) announcedWaitMs(x *clientRequest) int64 {
	announced := time.Until(t.params.deadline)
	if t.params.clientDeadline.IsZero() {
		return max(1, announced.Milliseconds())
	}
	if broken := invariant.MaySendTimeLeft(announced, time.Until(t.params.clientDeadline)); broken != invariant.None {
		t.monitor.DenyUnexpected(broken, x.req.ID, "told", announced)
		announced = time.Until(t.params.clientDeadline)
	}
	return max(1, announced.Milliseconds())
}

// bodyRest reads the part of a large body that is not in memory yet. The first read releases the part that is.
type bodyRest struct{ request *clientRequest }

func (g bodyRest) Read(p []byte) (int, error) {
	if !g.request.bodyRest.forwarded.Swap(true) {
		g.request.body = nil
		g.request.reserved.resize(pieceSize)
	}
	return g.request.bodyRest.Read(p)
}

// maxReportValue exceeds every plausible value of a load report.
const maxReportValue = 1e9

// parseLoadReport parses `name=value,name=value` and returns the values in the order of names. It returns nil if there is
// no report, or if any part of it is missing or invalid, since the rest can't be trusted then either.
func parseLoadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	byName := make(map[string]float64)
	for _, pair := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
		n, err := strconv.ParseFloat(v, 64)
		if _, duplicate := byName[name]; duplicate || err != nil || !(n >= 0 && n <= maxReportValue) {
			return nil
		}
		byName[name] = n
	}
	values := make([]float64, len(names))
	for i, name := range names {
		n, ok := byName[name]
		if !ok {
			return nil
		}
		values[i] = n
	}
	return values
}
