package policy

import (
	"time"
)

// Attempts: sending, retries, hedged requests, and giving up.

const (
	giveUpRetryAfter  = time.Second           // Retry-After of a request that is given up: the shortest that a rate limit gives
	fullRetryCost     = 0.15                  // fraction of an attempt charged for a retry after a full answer, where servers shed early
	queuePollInterval = 20 * time.Millisecond // between checks of queued requests
	tailQuantile      = 0.95                  // latency quantile of a class after which its attempts are checked
	tailStep          = 0.1                   // relative step of the estimate of that quantile
	tailMargin        = 1.2                   // multiple of the estimate after which an attempt is slow and may be hedged
	latencyGain       = 0.2                   // weight of one answer in the mean latency of a server
	answerRateWindow  = 3 * time.Second       // time constant of the answer rate: spans a few answers even at low traffic

	queueToken, listToken, slowCheckToken = 1, 2, 8 // timer tokens; each class adds its index to the last
)

var defaultAttemptBudget = AttemptBudget{MinExtra: 20, ExtraShare: 0.2, Span: 10 * time.Second} // where the settings have none

// dispatch sends r to a server, queues it if one may still become available, or gives it up.
func (b *Balancer) dispatch(r *request) {
	switch {
	case b.exhausted(r):
		b.giveUp(r, "no attempts left")
	case b.trySend(r):
	case r.firstRun == nil && b.now+queuePollInterval < r.refuseAt:
		b.enqueue(r)
	default:
		b.giveUp(r, "no server has room")
	}
}

// exhausted reports whether r must not be sent any more, even where there is room.
func (b *Balancer) exhausted(r *request) bool {
	return b.limitReached(r) || len(r.attempts) > 0 && !b.withinAttemptBudget()
}

// trySend sends r to a server if one is available.
func (b *Balancer) trySend(r *request) bool {
	s := b.pickTrial(r)
	trial, room := s != nil, false
	if !trial {
		s, room = b.pick(r)
	}
	if !trial && !r.wasQueued { // each request counts once, however long it is queued
		b.adjustPace(room)
	}
	if s == nil {
		return false
	}
	b.send(r, s, trial)
	return true
}

// limitReached reports whether r has used up its attempts or its time, after which an answer is worth nothing.
func (b *Balancer) limitReached(r *request) bool {
	return len(r.attempts) >= max(1, b.settings.Allowed.MaxAttempts) || b.now >= r.usefulUntil
}

// withinAttemptBudget enforces rule 6 (attempt budget): attempts beyond the first of each request stay within the
// attempt budget of the settings, or the default one, so that they don't amplify an overload. The count is exact over
// the sliding span, and errs on the strict side at its edges.
func (b *Balancer) withinAttemptBudget() bool {
	from := b.now - b.attemptBudget.Span
	b.recentRequests, b.recentExtra = dropBefore(b.recentRequests, from+1), dropBefore(b.recentExtra, from)
	return float64(len(b.recentExtra)+1) <= b.attemptBudget.MinExtra+b.attemptBudget.ExtraShare*float64(len(b.recentRequests))-1e-9 // tolerance for rounding
}

// chargeExtraAttempt charges another attempt of r to the attempt budget: fullRetryCost where servers shed early, nothing
// of r may have run and the settings have no budget, else a whole attempt.
func (b *Balancer) chargeExtraAttempt(r *request) {
	b.uncountedExtra++
	if b.settings.Rules.AttemptBudget == nil && r.firstRun == nil && b.serversShedEarly() {
		b.uncountedExtra -= 1 - fullRetryCost
	}
	if b.uncountedExtra >= 1 {
		b.uncountedExtra--
		b.recentExtra = append(b.recentExtra, b.now)
	}
}

func (b *Balancer) send(r *request, s *server, trial bool) {
	if len(r.attempts) > 0 {
		b.chargeExtraAttempt(r)
	}
	idle := b.prepareConn(s)
	a := Action{Kind: Send, ID: r.id, Server: s.Server, Until: r.usefulUntil}
	if r.firstRun != nil && r.class.Repeat == Guarded { // the window may end while a connection is being set up
		a.By = r.firstRun.sent + r.class.Window
	}
	b.emit(a)
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now, trial: trial, idleOctave: idle})
	r.inFlight++
	if s.inFlight == 0 {
		s.busySince = b.now
	}
	s.inFlight++
	s.noteConnUse(b.now)
	b.markUsed(s)
	s.lastSend = b.now
	s.cold.tokens--
	b.updateStatus(s)
	r.updateFirstRun()
	b.scheduleSlowCheck(r)
}

// scheduleSlowCheck schedules a check of the newest attempt of r for the time from which it counts as slow. That delay
// is about the same for all attempts of a class, so one timer per class is enough.
func (b *Balancer) scheduleSlowCheck(r *request) {
	if c := r.class; c.index >= 0 {
		due := b.now + time.Duration(tailMargin*float64(c.tailLatency))
		c.slowChecks = append(c.slowChecks, slowCheck{r, len(r.attempts) - 1, due})
		b.setSlowCheckTimer(c)
	}
}

// setSlowCheckTimer sets the timer of a class for the first of its slowChecks, unless it is set.
func (b *Balancer) setSlowCheckTimer(c *class) {
	if !c.slowCheckTimerSet && len(c.slowChecks) > 0 {
		c.slowCheckTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: max(time.Millisecond, c.slowChecks[0].due-b.now),
			Token: slowCheckToken + uint64(c.index)})
	}
}

func (b *Balancer) onTimer(token uint64) {
	switch {
	case token == queueToken:
		b.queueTimerSet = false
		b.dispatchQueued()
	case token == listToken:
		b.requestList()
	case token >= slowCheckToken && token < slowCheckToken+uint64(len(b.classList)):
		b.checkSlowAttempts(b.classList[token-slowCheckToken])
	}
}

// checkSlowAttempts checks the attempts of a class that are slow by now. If the server has answered nothing since such
// an attempt was sent, that counts as a failure of the server, and the request is hedged if it may run twice.
func (b *Balancer) checkSlowAttempts(c *class) {
	c.slowCheckTimerSet = false
	for len(c.slowChecks) > 0 && c.slowChecks[0].due <= b.now {
		check := c.slowChecks[0]
		c.slowChecks[0] = slowCheck{}
		c.slowChecks = c.slowChecks[1:]
		a := &check.req.attempts[check.attempt]
		if a.ended || a.server.lastAnswer >= a.sent {
			// If the server answers other requests, this request is heavy, and a hedge would be as heavy.
			continue
		}
		if a.idleOctave == 0 {
			b.recordFailure(a.server, silenceWeight, TimedOut)
		}
		if !check.req.ended && !check.req.streaming && check.req.inFlight == 1 {
			b.hedge(check.req)
		}
	}
	b.setSlowCheckTimer(c)
}

// hedge sends a hedge of r, which is another attempt while one is in flight, if its class, the settings and the
// attempt budget allow one.
func (b *Balancer) hedge(r *request) {
	if r.class.Repeat == Never || !b.settings.Allowed.Hedge || !b.withinAttemptBudget() || b.limitReached(r) {
		return
	}
	if s, room := b.pick(r); s != nil && room {
		b.send(r, s, false)
	}
}

// giveUp ends r without an answer of a server: refused where the client may safely retry, else failed. The reason is
// for the log.
func (b *Balancer) giveUp(r *request, reason string) {
	if r.inFlight > 0 {
		return // another attempt is still in flight and may answer
	}
	if r.firstRun == nil || r.class.Repeat == Free || r.class.Repeat == Guarded && r.class.Group == GroupAll {
		b.refuse(r, giveUpRetryAfter, reason)
		return
	}
	b.emit(Action{Kind: Fail, ID: r.id, Text: reason})
	b.end(r)
}

func (b *Balancer) refuse(r *request, wait time.Duration, reason string) {
	b.emit(Action{Kind: Refuse, ID: r.id, Wait: wait, Text: reason})
	b.end(r)
}

// end marks r as answered and cancels its attempts in flight; r is kept until they have ended.
func (b *Balancer) end(r *request) {
	if !r.ended {
		r.ended = true
		b.queue.remove(r)
		b.cancel(r, -1)
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

// cancel cancels all attempts of r in flight, except one.
func (b *Balancer) cancel(r *request, except int) {
	for i := range r.attempts {
		if i != except && !r.attempts[i].ended && b.settings.Allowed.Cancel {
			b.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
}
