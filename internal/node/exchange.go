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
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// exchange is one attempt on its connection: it writes the request and reads the response.
type exchange struct {
	*upstream
	conn          *serverConn
	clientRequest *clientRequest
	params        attemptParams
	attemptTimer  *time.Timer
	timerStopped  bool        // the time limit of the attempt no longer applies
	held          *heldAnswer // reads an answer of unknown length; nil: there is none
	uploadTime    time.Duration
	surplusBytes  bool // there were surplus bytes after the response
	reader        *bufio.Reader
	limitedSource io.LimitedReader // the source of reader, which limits the size of a head or of a body
	response      *http.Response
}

// releaseReader returns the buffered reader to its pool. If a read is still under way, nobody wants the rest of the answer, and
// it closes the connection.
func (e *exchange) releaseReader() {
	if e.held != nil && e.held.isReading() {
		e.conn.Close()
		e.held.awaitRead()
	}
	e.reader.Reset(nil)
	e.readerPool.Put(e.reader)
	e.reader = nil
}

// roundTrip writes the request and reads the response. The server can't have run the request before its last byte is
// written.
func (e *exchange) roundTrip(ctx context.Context) (r attemptResult, reusable bool) {
	early, err := false, error(nil)
	if e.clientRequest.bodyRest == nil {
		err = e.writeRequest(ctx)
	} else {
		early, err = e.streamRequest(ctx)
	}
	if err != nil && !early {
		code := classifyError(ctx, err, false)
		if rest := e.clientRequest.bodyRest; rest != nil && (rest.failure() != nil || e.clientRequest.ctx.Err() != nil) {
			code = policy.Cancelled // the client failed or needs no answer any more; the server did not fail
		} else if errors.Is(err, errUnseenDeparture) {
			code = policy.NotSent
		}
		return attemptResult{code: code, err: err}, false
	}
	e.reader = e.readerPool.Get().(*bufio.Reader)
	r, reusable = e.readResponse(ctx)
	if early { // whatever the response says, the server did not receive the whole request
		r.answer.discard()
		r.answer, reusable = answer{}, false
		if r.code != policy.Full {
			r.code = policy.ConnectFailed
		}
	}
	if r.answer.stream == nil {
		e.releaseReader()
	}
	return r, reusable
}

// writeRequest sends a request whose body is completely in memory.
func (e *exchange) writeRequest(ctx context.Context) error {
	buf := e.bufferPool.Get().(*bytes.Buffer)
	defer e.bufferPool.Put(buf)
	buf.Reset()
	if err := e.newServerRequest(e.clientRequest, nil).Write(buf); err != nil {
		return err
	}
	_, err := writeWithRetry(e.conn, buf.Bytes())
	return err
}

// stallReader is a size- and rate-limited reader that fails once the peer sends nothing for stallTimeout.
type stallReader struct {
	conn      *net.TCPConn
	source    io.Reader
	remaining int64
	limiter   rateLimiter
}

func (r *stallReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMalformed
	}
	r.limiter.wait()
	_ = r.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := r.source.Read(p)
	r.remaining -= int64(n)
	r.limiter.add(n)
	return n, err
}

// readResponse reads a response with limits on its head and body; reusable reports whether the connection can serve
// another request. A small response is read completely; the rest of a large one is left to the handler that streams it
// to the client. If the response is followed by surplus bytes that don't begin another response, its declared length may
// be wrong and the bytes may belong to its body, so it counts as malformed.
func (e *exchange) readResponse(ctx context.Context) (r attemptResult, reusable bool) {
	fail := func(err error) (attemptResult, bool) {
		return attemptResult{code: classifyError(ctx, err, true), err: responseError(err, e.limitedSource.N == 0)}, false
	}
	e.limitedSource.R = e.conn
	e.reader.Reset(&e.limitedSource)
	var err error
	for i := 0; ; i++ {
		e.limitedSource.N = maxHeaderBytes
		e.response, err = http.ReadResponse(e.reader, &http.Request{Method: e.clientRequest.method})
		if err != nil {
			return e.readFailure(ctx, err)
		}
		if e.response.StatusCode >= 200 {
			break
		}
		if i == maxInterimResponses || e.response.StatusCode < 100 || e.response.StatusCode == http.StatusSwitchingProtocols {
			return fail(errMalformed)
		}
	}
	if e.response.ContentLength > maxBodySize {
		return fail(errMalformed)
	}
	r = attemptResult{code: policy.ServerError, report: parseLoadReport(e.response.Header.Get("X-Load"), e.reportNames)}
	switch e.response.StatusCode {
	case http.StatusOK:
		r.code = policy.OK
		r.answer = answer{status: http.StatusOK, contentType: e.response.Header.Get("Content-Type")}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if e.response.Header.Get("X-Not-Run") == "1" { // without this header the request may have run
			r.code = policy.Full
		}
	}
	if err := e.readBody(ctx, &r); err != nil {
		r.answer.reserved.release()
		return e.readFailure(ctx, err)
	}
	if r.answer.stream != nil {
		return r, false
	}
	if n := e.reader.Buffered(); n > 0 {
		e.response.Close = true
		e.surplusBytes = true
		if surplus, _ := e.reader.Peek(min(n, len(statusLinePrefix))); string(surplus) != statusLinePrefix[:len(surplus)] {
			r.answer.reserved.release()
			return fail(errMalformed)
		}
	}
	return r, !e.response.Close
}

// readFailure returns the result of an attempt whose response could not be read completely.
func (e *exchange) readFailure(ctx context.Context, err error) (attemptResult, bool) {
	err = responseError(err, e.limitedSource.N == 0)
	return attemptResult{code: classifyError(ctx, err, true), err: err}, false
}

// readBody reads a response's body, or only the beginning of a large one. A body is large if its declared length exceeds
// maxSmallBody, or if more than that arrives, or if its length is unknown and it takes longer than maxAnswerHold.
func (e *exchange) readBody(ctx context.Context, r *attemptResult) (err error) {
	length := e.response.ContentLength
	if r.code != policy.OK { // the client doesn't receive this body
		e.limitedSource.N = maxFramingFactor * maxSmallBody
		n, err := io.Copy(io.Discard, io.LimitReader(e.response.Body, maxSmallBody+1))
		e.response.Close = e.response.Close || n > maxSmallBody
		return err
	}
	a := &r.answer
	switch {
	case length < 0:
		return e.readBodyOfUnknownLength(ctx, a)
	case length > maxSmallBody:
		if a.reserved, err = reserve(ctx, e.memory.largeAnswers, pieceSize); err == nil {
			e.limitedSource.N = maxFramingFactor * maxBodySize
			e.streamBody(a, e.response.Body)
		}
	case length > 0:
		if a.reserved, err = reserve(ctx, e.memory.answers, length); err == nil {
			e.limitedSource.N = maxFramingFactor * maxSmallBody
			a.body, err = io.ReadAll(io.LimitReader(e.response.Body, length))
			a.reserved.resize(int64(len(a.body)))
		}
	}
	return err
}

// readBodyOfUnknownLength reads a body that ends within maxAnswerHold and is small, and the beginning of any other. The time
// limit of the attempt ends with the answer's head: the server has begun to give an answer, which may be large.
func (e *exchange) readBodyOfUnknownLength(ctx context.Context, a *answer) (err error) {
	if a.reserved, err = reserve(ctx, e.memory.answers, maxSmallBody+heldPieceSize); err != nil {
		return err
	}
	e.timerStopped = e.attemptTimer.Stop()
	e.limitedSource.N = maxFramingFactor * maxBodySize
	e.held = &heldAnswer{source: e.bodyReader()}
	holdFor := min(maxAnswerHold, time.Until(e.answerDeadline()))
	body, whole, err := e.held.readUntil(time.Now().Add(holdFor), maxSmallBody)
	a.body = body
	if err != nil || whole {
		a.reserved.resize(int64(len(body)))
		return err
	}
	a.reserved.resize(max(pieceSize, int64(len(body))))
	e.streamBody(a, e.held)
	return nil
}

// streamBody leaves the rest of a body, which comes from the given source, to the handler.
func (e *exchange) streamBody(a *answer, rest io.Reader) {
	a.stream = &download{length: e.response.ContentLength, ended: make(chan error, 1),
		rest: &stallReader{conn: e.conn.TCPConn, source: rest, remaining: maxBodySize - int64(len(a.body)),
			limiter: rateLimiter{rate: e.memory.bodyRate}}}
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

// classifyError returns the outcome of an attempt without a usable response. If mayHaveRun is false, the last byte of the
// request was never written, so the server can't have run it, even if the attempt timed out.
func classifyError(ctx context.Context, err error, mayHaveRun bool) policy.Code {
	timeUp := errors.Is(context.Cause(ctx), errAttemptTimedOut)
	switch {
	case ctx.Err() != nil && !timeUp:
		return policy.Cancelled
	case !mayHaveRun:
		return policy.ConnectFailed
	case timeUp:
		return policy.TimedOut
	case errors.Is(err, errMalformed):
		return policy.ServerError
	}
	return policy.Reset
}

// newServerRequest returns the request to send to the server for x. rest is the part of a large body that is not in memory.
func (e *exchange) newServerRequest(x *clientRequest, rest io.Reader) *http.Request {
	target := *x.url
	target.Scheme, target.Host = "http", e.conn.pool.addr
	req := &http.Request{Method: x.method, URL: &target, Host: x.host, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: make(http.Header)}
	req.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	req.Header.Set("X-Request-Id", x.req.ID)
	for name, v := range map[string]string{"Idempotency-Key": x.idempotencyKey, "Content-Type": x.contentType} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(e.deadlineHeaderMs(x), 10))
	switch {
	case x.bodyRest != nil:
		body := io.MultiReader(bytes.NewReader(x.body), rest)
		if x.length >= 0 { // otherwise net/http tries to read past the end, which may block until the response has arrived
			body = io.LimitReader(body, x.length)
		}
		req.Body, req.ContentLength = io.NopCloser(body), x.length
	case len(x.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return req
}

// deadlineHeaderMs returns the value of X-Deadline-Ms: the time until the attempt's deadline, limited to what the rules
// allow for the time until the client's deadline.
func (e *exchange) deadlineHeaderMs(x *clientRequest) int64 {
	remaining := time.Until(e.params.deadline)
	if e.params.clientDeadline.IsZero() {
		return max(1, remaining.Milliseconds())
	}
	if broken := invariant.MaySendTimeLeft(remaining, time.Until(e.params.clientDeadline)); broken != invariant.None {
		e.monitor.RecordUnexpectedDenial(broken, x.req.ID, "told", remaining)
		remaining = time.Until(e.params.clientDeadline)
	}
	return max(1, remaining.Milliseconds())
}

// maxReportValue is the largest valid value in a load report; every plausible value is far smaller.
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
