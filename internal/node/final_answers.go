package node

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

func (l *loop) refuse(r *request, wait time.Duration, why string) {
	class := l.classes[r.req.Class]
	if denied := invariant.MayRefuse(class.Repeat, class.Group, l.prior(r, class, "")); denied != invariant.None {
		l.monitor.Misdirected(denied, r.req.ID, "why", why, "attempts", r.history())
		l.answer(r, answer{status: http.StatusBadGateway}, why)
		l.drop(r)
		return
	}
	a := answer{status: http.StatusServiceUnavailable}
	if wait > 0 && l.allowed.RetryAfter {
		a = answer{status: http.StatusTooManyRequests, retryAfter: wait}
	}
	l.answer(r, a, why)
	l.drop(r)
}

// answer gives the client its one answer; whatever comes later is not passed on. The log is told who
// ended the request, or why.
func (l *loop) answer(r *request, a answer, by string) {
	if r.ended {
		return
	}
	l.settle(r)
	if !r.claim(answeredByLoop) { // its handler was first; the event that says so has not been taken up
		a.drop()
		l.traceHandlersEnd(r)
		return
	}
	now := l.clock.now()
	if broken := invariant.InTime(now, r.deadline+r.margin()); broken != invariant.None {
		l.monitor.Violation(broken, r.req.ID, "after", now-r.came, "waits", r.clientWaits, "by", by)
	}
	l.trace.answered(now, r, a, by)
	r.reply <- a
}

// traceHandlersEnd notes the end of a request that its handler has ended.
func (l *loop) traceHandlersEnd(r *request) {
	if r.currentState() == clientLeft {
		l.trace.answered(l.clock.now(), r, answer{}, "client left")
		return
	}
	by := shedForTime
	if l.stopping {
		by = endedByStop
	}
	l.trace.answered(l.clock.now(), r, r.handlersAnswer(), by)
}

// fail gives the client its one answer where the module has none in time.
func (l *loop) fail(ctx context.Context, r *request, status int, by string) {
	l.overrule(ctx, r, answer{status: status}, by)
}

// stop ends a request that is open as the process ends. One that was never tried is refused.
func (l *loop) stop(ctx context.Context, r *request) {
	a := answer{status: http.StatusBadGateway}
	if r.currentState() == requestOpen { // and the loop alone tries
		a = ownRefusal()
	}
	l.overrule(ctx, r, a, endedByStop)
}

// overrule gives the client its one answer in the module's place, and tells the module so.
func (l *loop) overrule(ctx context.Context, r *request, a answer, by string) {
	l.answer(r, a, by)
	l.tell(ctx, policy.Lapsed{ID: r.req.ID})
	l.drop(r)
}

// settle marks r as answered, or given up by its client: the first to do so wins.
func (l *loop) settle(r *request) {
	r.ended = true
	l.owed--
	if r.backstop.at >= 0 { // else it would keep the request until a deadline that may be far off
		heap.Remove(&l.timers, r.backstop.at)
	}
}

// drop forgets a request that is answered and has no attempt out.
func (l *loop) drop(r *request) {
	if r.ended && r.pending == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
		r.leave()
	}
}
