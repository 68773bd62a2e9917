package node

import (
	"context"
	"log/slog"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// attempt is one attempt of a request at a server, as the loop records it.
type attempt struct {
	server   string
	location serverLocation
	sentAt   policy.Time
	cancel   context.CancelFunc
	ended    bool // its outcome is known
	code     policy.Code
	took     time.Duration // for the log
}

// serverLocation is the zone and cell of a server. The servers of a cell, of a zone or of the whole site, depending on the
// request's class, form a group that shares duplicate detection: a repeat of a request that one of them received is
// dropped by the others.
type serverLocation struct {
	zone string
	cell int64
}

// outcome returns the name of the attempt's outcome, or "out" while it is in progress.
func (a attempt) outcome() string {
	if !a.ended {
		return "out"
	}
	return a.code.String()
}

// startAttempt starts an attempt of a request in its own goroutine, or skips it if a rule forbids it.
func (l *loop) startAttempt(ctx context.Context, a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		slog.Error("decision module requested an attempt for a request that is not open")
		return
	}
	n := len(r.attempts)
	if denied := l.checkAttempt(r, a, now); denied != invariant.None {
		l.skipAttempt(r, a, now, denied)
		return
	}
	if !r.beginAttempt() { // its handler has responded, or its client has left
		l.skipAttempt(r, a, now, invariant.AttemptAfterAnswer)
		return
	}
	if n == 0 {
		l.metrics.holdTime.WithLabelValues(heldUntilSent).Observe((now - r.arrivedAt).Seconds())
	}
	r.pendingAttempts++
	deadline := r.deadline
	if a.Until > 0 {
		deadline = min(deadline, a.Until)
	}
	var beginBy time.Time
	if a.By > 0 {
		beginBy = l.clock.toTime(a.By)
	}
	if n > 0 {
		l.metrics.retries.WithLabelValues(r.attempts[n-1].outcome()).Inc()
	}
	ctx, cancel := context.WithCancel(ctx)
	l.lastSent[a.Server] = sentRequest{a.ID, now}
	r.attempts = append(r.attempts, attempt{server: a.Server, location: l.locationOf(a.Server), sentAt: now, cancel: cancel})
	l.runningAttempts.Go(func() {
		defer cancel()
		l.upstream.sendAttempt(ctx, a.Server, r.clientRequest, attemptParams{
			deadline:       l.clock.toTime(deadline),
			clientDeadline: l.clock.toTime(r.countsFrom(l.clock) + r.clientTimeout),
			beginBy:        beginBy,
			requestCtx:     r.ctx,
			uploadDeadline: func() time.Time { return l.clock.toTime(r.deadlineNow(l.clock)) },
			onEnd:          func(e attemptResult) { l.send(attemptEnd{r, n, e}) },
		})
	})
}

// checkAttempt returns the rule that an attempt requested by the decision module would violate, or invariant.None.
func (l *loop) checkAttempt(r *request, a policy.Action, now policy.Time) invariant.Rule {
	class := l.classes[r.req.Class]
	return invariant.MayAttempt(invariant.Attempt{
		Now: now, Deadline: r.deadline, Answered: r.ended, ClientLeft: r.ctx.Err() != nil,
		// The forwarded part of a large body is no longer in memory: no concurrent or later attempt can send it.
		BodySpent:   r.bodyRest != nil && (r.bodyRest.forwarded.Load() || r.pendingAttempts > 0),
		MaxAttempts: l.allowed.MaxAttempts, Hedging: l.allowed.Hedge, Repeat: class.Repeat, Window: class.Window,
		Prior: l.priorAttempts(r, class, a.Server),
	})
}

// priorAttempts returns the facts about a request's attempts so far that the rules need, for a new attempt at the given
// server.
func (l *loop) priorAttempts(r *request, class policy.Class, server string) []invariant.PriorAttempt {
	if len(r.attempts) == 0 {
		return nil
	}
	location := l.locationOf(server)
	prior := make([]invariant.PriorAttempt, len(r.attempts))
	for i, a := range r.attempts {
		prior[i] = invariant.PriorAttempt{Sent: a.sentAt, InFlight: !a.ended, MayHaveRun: !a.ended || !a.code.NotRun(),
			SameGroup: sameGroup(class.Group, a.location, location)}
	}
	return prior
}

// locationOf returns the location of a listed server, or the zero location for any other.
func (l *loop) locationOf(server string) serverLocation {
	m := l.members[server]
	return serverLocation{m.Zone, m.Cell}
}

// sameGroup reports whether servers at two locations are in the same group for the given kind of group.
func sameGroup(kind policy.Group, a, b serverLocation) bool {
	switch kind {
	case policy.GroupAll:
		return true
	case policy.GroupZone:
		return a.zone == b.zone
	}
	return a.cell == b.cell
}

// skipAttempt records that an attempt was not made, so that its outcome is reported to the decision module. A violation of
// a rule that the module checks itself is logged. The other rules can deny an attempt without a fault in the module,
// since the response or the deadline may come between its decision and the attempt.
func (l *loop) skipAttempt(r *request, a policy.Action, now policy.Time, denied invariant.Rule) {
	switch denied {
	case invariant.ConcurrentAttempts, invariant.UnsafeRepeat, invariant.RepeatOutsideWindow:
		l.monitor.RecordUnexpectedDenial(denied, a.ID, "server", a.Server, "attempts", r.history())
	default:
		l.monitor.RecordDenial(denied)
	}
	n := len(r.attempts)
	r.pendingAttempts++
	r.attempts = append(r.attempts, attempt{server: a.Server, sentAt: now, cancel: func() {}, ended: true, code: policy.NotSent})
	l.skippedOutcomes = append(l.skippedOutcomes, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: policy.NotSent})
}
