package node

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// refuse answers that the request isn't served, and when to retry if wait is given. If an earlier attempt may have had an
// effect, a refusal would promise too much, and the client gets a 502.
func (l *loop) refuse(r *request, wait time.Duration, why string) {
	class := l.classes[r.req.Class]
	if denied := invariant.MayRefuse(class.Repeat, class.Group, l.priorAttempts(r, class, "")); denied != invariant.None {
		l.monitor.RecordUnexpectedDenial(denied, r.req.ID, "why", why, "attempts", r.history())
		l.answer(r, answer{status: http.StatusBadGateway}, why)
		l.dropIfDone(r)
		return
	}
	a := answer{status: http.StatusServiceUnavailable}
	if wait > 0 && l.allowed.RetryAfter {
		a = answer{status: http.StatusTooManyRequests, retryAfter: wait}
	}
	l.answer(r, a, why)
	l.dropIfDone(r)
}

// answer sends the client its only answer; later answers are dropped. by is logged as what ended the request.
func (l *loop) answer(r *request, a answer, by string) {
	if r.ended {
		return
	}
	l.markEnded(r)
	if !r.claim(answeredByLoop) { // the handler answered first, and its event has not been handled yet
		a.discard()
		l.recordHandlerEnd(r)
		return
	}
	now := l.clock.now()
	if broken := invariant.CheckAnswerTime(now, r.deadlineNow(l.clock)+r.margin()); broken != invariant.None {
		l.monitor.RecordViolation(broken, r.req.ID, "after", now-r.arrivedAt, "waits", r.clientTimeout, "by", by)
	}
	l.requestLog.recordEnd(now, r, a, by)
	r.reply <- a
}

// recordHandlerEnd records the end of a request that its handler has ended.
func (l *loop) recordHandlerEnd(r *request) {
	if r.currentState() == clientLeft {
		l.requestLog.recordEnd(l.clock.now(), r, answer{}, "client left")
		return
	}
	by := reasonLoopLate
	if l.stopping {
		by = reasonStopping
	}
	l.requestLog.recordEnd(l.clock.now(), r, r.handlerAnswer(), by)
}

// fail answers the client when the module hasn't answered in time.
func (l *loop) fail(ctx context.Context, r *request, status int, by string) {
	l.answerForModule(ctx, r, answer{status: status}, by)
}

// stopRequest ends an open request when the process ends. A request that was never attempted is refused.
func (l *loop) stopRequest(ctx context.Context, r *request) {
	a := answer{status: http.StatusBadGateway}
	if r.currentState() == requestOpen { // only the loop begins attempts
		a = nodeRefusal()
	}
	l.answerForModule(ctx, r, a, reasonStopping)
}

// answerForModule answers the client instead of the module, and informs the module.
func (l *loop) answerForModule(ctx context.Context, r *request, a answer, by string) {
	l.answer(r, a, by)
	l.notifyModule(ctx, policy.ClientGone{ID: r.req.ID})
	l.dropIfDone(r)
}

// markEnded marks r as answered or abandoned by its client, whichever is first.
func (l *loop) markEnded(r *request) {
	r.ended = true
	l.unanswered--
	if r.deadlineTimer.heapPosition >= 0 { // otherwise the timer would keep the request in memory until a deadline that may be far off
		heap.Remove(&l.timers, r.deadlineTimer.heapPosition)
	}
}

// dropIfDone forgets a request that has ended and has no attempt under way.
func (l *loop) dropIfDone(r *request) {
	if r.ended && r.pendingAttempts == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
		r.cancel()
	}
}
