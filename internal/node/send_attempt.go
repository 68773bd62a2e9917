package node

import (
	"context"
	"errors"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	code       policy.Code
	answer     answer // for OK
	report     []float64
	uploadTime time.Duration // time to forward a large body, not included in the server's latency

	// For the log.
	opened       bool          // the attempt opened a new connection, or tried to
	connRequests int           // requests that the connection had served before
	connIdle     time.Duration // time since the last of them
	err          error         // the underlying error
}

// attemptParams are the limits of an attempt and the callbacks that it reports to.
type attemptParams struct {
	deadline       time.Time           // when the attempt times out; extended by the time that a large body takes to forward
	beginBy        time.Time           // latest time to send the first byte; zero: no limit
	clientDeadline time.Time           // when the client stops waiting; zero: not known yet
	requestCtx     context.Context     // done when the client has left or has its response; no attempt may begin after that
	uploadDeadline func() time.Time    // when a request with a large body is to be given up, as known now; later while its client sends
	onEnd          func(attemptResult) // called once: at the end of the attempt, or when the beginning of a large response has been read
}

var errAttemptTimedOut = errors.New("attempt timed out")

// sendAttempt sends x to the server once and waits for the response until the attempt times out or ctx ends. Either closes
// the connection, so that the server can detect that the response is no longer needed. sendAttempt reports the result to
// the callbacks, and returns once the last byte of a response has been forwarded.
func (u *upstream) sendAttempt(ctx context.Context, id string, x *clientRequest, params attemptParams) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attemptTimer := time.AfterFunc(time.Until(params.deadline), func() { cancel(errAttemptTimedOut) })
	defer attemptTimer.Stop()
	if x.bodyRest != nil {
		attemptTimer.Stop() // streamRequest restarts it, or makes it fire
	}
	beginCtx, cancelBegin := ctx, context.CancelFunc(func() {})
	if !params.beginBy.IsZero() {
		beginCtx, cancelBegin = context.WithDeadlineCause(ctx, params.beginBy, errRepeatWindowOver)
	}
	c, err := u.acquire(beginCtx, params.requestCtx, id)
	stopCause := context.Cause(beginCtx)
	cancelBegin()
	denied := u.checkWrite(c, x, params, err, stopCause)
	if denied != invariant.None {
		u.monitor.RecordDenial(denied)
	}
	if err == nil && denied != invariant.None {
		u.returnUnused(c, id)
	}
	if stopCause != nil {
		err = stopCause
	}
	switch {
	case denied == invariant.AttemptAfterDeparture:
		params.onEnd(attemptResult{code: policy.Cancelled, err: errClientLeft})
		return
	case denied == invariant.SendToLeavingServer && err == nil:
		err = errServerLeaving
	case denied == invariant.AttemptAfterDeadline && err == nil: // this process was late, which must not count against the server
		params.onEnd(attemptResult{code: policy.NotSent, err: errAttemptTimedOut})
		return
	}
	switch {
	case (errors.Is(err, errNoSockets) || errors.Is(err, errRepeatWindowOver)) && ctx.Err() == nil:
		params.onEnd(attemptResult{code: policy.NotSent}) // nothing was sent, which must not count against the server
		return
	case err != nil:
		params.onEnd(attemptResult{code: classifyError(ctx, err, false), opened: !errors.Is(err, errUnknownServer) && !errors.Is(err, errServerLeaving), err: err})
		return
	}
	connRequests, connIdle := c.requests, time.Duration(0)
	if connRequests > 0 {
		connIdle = time.Since(c.lastUsed)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	e := &exchange{upstream: u, conn: c, clientRequest: x, params: params, attemptTimer: attemptTimer}
	r, reusable := e.roundTrip(ctx)
	r.opened, r.connRequests, r.connIdle, r.uploadTime = connRequests == 0, connRequests, connIdle, e.uploadTime
	if e.surplusBytes {
		u.mu.Lock()
		u.recordUnsolicited(c.pool, time.Now())
		u.mu.Unlock()
	}
	stream := r.answer.stream
	if stream == nil {
		u.release(c, id, stop() && reusable)
		params.onEnd(r)
		return
	}
	if !e.timerStopped && !attemptTimer.Stop() { // it timed out just before
		r.answer.discard()
		r.answer, r.code = answer{}, policy.TimedOut
	} // otherwise the rest of the response is not subject to the timeout
	params.onEnd(r)
	r = attemptResult{} // the handler drops the beginning of the response once it is written
	err = <-stream.ended
	reusable = err == nil && !e.response.Close && e.reader.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil
	e.releaseReader()
	u.release(c, id, stop() && reusable)
}

// checkWrite returns the rule that writing the first byte of an attempt would violate now, or invariant.None.
func (u *upstream) checkWrite(c *serverConn, x *clientRequest, params attemptParams, acquireErr, stopCause error) invariant.Rule {
	return invariant.MayWrite(invariant.Write{
		ClientLeft:    params.requestCtx.Err() != nil || x.client.presence() != clientPresent,
		ServerUnknown: errors.Is(acquireErr, errUnknownServer),
		ServerLeaving: errors.Is(acquireErr, errServerLeaving) || c != nil && u.isLeaving(c.pool),
		WindowOver:    errors.Is(stopCause, errRepeatWindowOver),
		TimeUp: stopCause != nil && !errors.Is(stopCause, errRepeatWindowOver) ||
			x.bodyRest == nil && invariant.TimeUp(time.Until(params.deadline)),
	})
}
