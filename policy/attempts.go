package policy

import (
	"time"
)

// Attempts: sending, retries, hedged requests, and giving up.

const (
	giveUpRetryAfter  = time.Second           // Retry-After of a request that is given up: the shortest of the buckets'
	fullRetryCost     = 0.15                  // of an attempt, charged after a full answer where servers shed early
	queuePollInterval = 20 * time.Millisecond // between checks of queued requests
	tailQuantile      = 0.95                  // latency quantile of a class after which its attempts are checked
	tailStep          = 0.1                   // relative step of the estimate of it
	tailMargin        = 1.2                   // times the estimate, an attempt counts as slow and may be hedged
	latencyGain       = 0.2                   // weight of one answer in the mean latency of a server
	answerRateWindow  = 3 * time.Second       // time constant of the answer rate: covers a few even at a quiet node

	queueToken, listToken, watchToken = 1, 2, 8 // of timers; those of the classes count up from the last
)

var defaultBudget = AttemptBudget{MinExtra: 20, ExtraShare: 0.2, Span: 10 * time.Second} // where the settings have none

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
	return b.limitReached(r) || len(r.attempts) > 0 && !b.withinRetryBudget()
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

// withinRetryBudget enforces rule 6: attempts beyond the first of each request stay within the retry budget of the
// settings, or the default one, so that they don't amplify an overload. The count is exact over the sliding span, and
// errs on the strict side at its edges.
func (b *Balancer) withinRetryBudget() bool {
	from := b.now - b.attemptBudget.Span
	b.recentRequests, b.recentExtra = dropBefore(b.recentRequests, from+1), dropBefore(b.recentExtra, from)
	return float64(len(b.recentExtra)+1) <= b.attemptBudget.MinExtra+b.attemptBudget.ExtraShare*float64(len(b.recentRequests))-1e-9 // tolerance for rounding
}

// chargeRetry charges another attempt of r to the retry budget: fullRetryCost where servers shed early, nothing of r
// may have run and the settings have no budget, else a whole attempt.
func (b *Balancer) chargeRetry(r *request) {
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
		b.chargeRetry(r)
	}
	idle := b.prepareConn(s)
	a := Action{Kind: Send, ID: r.id, Server: s.Server, Until: r.usefulUntil}
	if r.firstRun != nil && r.class.Repeat == Guarded { // the window may end while a connection is being set up
		a.By = r.firstRun.sent + r.class.Window
	}
	b.emit(a)
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now, trial: trial, idleOctave: idle})
	r.openAttempts++
	if s.inflight == 0 {
		s.busySince = b.now
	}
	s.inflight++
	s.noteConnUse(b.now)
	b.markUsed(s)
	s.lastSend = b.now
	s.cold.tokens--
	b.updateStatus(s)
	r.updateRanOn()
	b.watch(r)
}

// watch queues the newest attempt of r for a check when it is slow. All attempts of a class wait for about as long, so
// one timer serves them all.
func (b *Balancer) watch(r *request) {
	if c := r.class; c.index >= 0 {
		due := b.now + time.Duration(tailMargin*float64(c.tailLatency))
		c.watched = append(c.watched, slowCheck{r, len(r.attempts) - 1, due})
		b.armWatchTimer(c)
	}
}

// armWatchTimer sets the timer of a class for the first of its watched attempts.
func (b *Balancer) armWatchTimer(c *class) {
	if !c.watchTimerSet && len(c.watched) > 0 {
		c.watchTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: max(time.Millisecond, c.watched[0].due-b.now),
			Token: watchToken + uint64(c.index)})
	}
}

func (b *Balancer) onTimer(token uint64) {
	switch {
	case token == queueToken:
		b.queueTimerSet = false
		b.dispatchQueued()
	case token == listToken:
		b.requestList()
	case token >= watchToken && token < watchToken+uint64(len(b.classList)):
		b.checkSlowAttempts(b.classList[token-watchToken])
	}
}

// checkSlowAttempts looks at the attempts of a class that have been in flight for long: a failure is counted against a
// server that has been silent since, and a request that may run twice is hedged.
func (b *Balancer) checkSlowAttempts(c *class) {
	c.watchTimerSet = false
	for len(c.watched) > 0 && c.watched[0].due <= b.now {
		w := c.watched[0]
		c.watched[0] = slowCheck{}
		c.watched = c.watched[1:]
		a := &w.req.attempts[w.attempt]
		if a.ended || a.server.lastAnswer >= a.sent {
			// The server answers others, so this request is heavy, and its second copy would be as heavy.
			continue
		}
		if a.idleOctave == 0 {
			b.recordFailure(a.server, silenceWeight, TimedOut)
		}
		if !w.req.ended && !w.req.streaming && w.req.openAttempts == 1 {
			b.hedge(w.req)
		}
	}
	b.armWatchTimer(c)
}

// hedge sends a second copy of r if its class, the settings and the retry budget allow one.
func (b *Balancer) hedge(r *request) {
	if r.class.Repeat == Never || !b.settings.Allowed.Hedge || !b.withinRetryBudget() || b.limitReached(r) {
		return
	}
	if s, room := b.pick(r); s != nil && room {
		b.send(r, s, false)
	}
}

// giveUp ends r without an answer of a server: refused where the client may safely retry, else failed. The reason is
// for the log.
func (b *Balancer) giveUp(r *request, reason string) {
	if r.openAttempts > 0 {
		return // a copy is still in flight and may answer
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

// end marks r as answered and cancels its copies; r is kept until they have ended.
func (b *Balancer) end(r *request) {
	if !r.ended {
		r.ended = true
		b.queue.remove(r)
		b.cancel(r, -1)
	}
	if r.openAttempts == 0 {
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
