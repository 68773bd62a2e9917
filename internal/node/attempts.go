package node

import (
	"context"
	"log/slog"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

type attempt struct {
	server string
	group  serverGroup
	sent   policy.Time
	cancel context.CancelFunc
	over   bool // it has its outcome
	code   policy.Code
	took   time.Duration // for the log
}

// serverGroup is what decides which other servers drop the repeats of what a server was sent.
type serverGroup struct {
	zone string
	cell int64
}

// outcome names how an attempt ended; "out" where it hasn't.
func (a attempt) outcome() string {
	if !a.over {
		return "out"
	}
	return a.code.String()
}

// attempt sends a request out, unless it is too late or too often for that: then it is skipped.
func (l *loop) attempt(ctx context.Context, a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		slog.Error("the module sends a request that is not open")
		return
	}
	n := len(r.attempts)
	if denied := l.mayAttempt(r, a, now); denied != invariant.None {
		l.skip(r, a, now, denied)
		return
	}
	if !r.try() { // its handler has answered, or its client has left
		l.skip(r, a, now, invariant.AttemptAfterAnswer)
		return
	}
	if n == 0 {
		l.metrics.heldTime.WithLabelValues(heldUntilSent).Observe((now - r.came).Seconds())
	}
	r.pending++
	until := r.deadline
	if a.Until > 0 {
		until = min(until, a.Until)
	}
	var by time.Time
	if a.By > 0 {
		by = l.clock.at(a.By)
	}
	if n > 0 {
		l.metrics.retries.WithLabelValues(r.attempts[n-1].outcome()).Inc()
	}
	ctx, cancel := context.WithCancel(ctx)
	l.lastSent[a.Server] = sending{a.ID, now}
	r.attempts = append(r.attempts, attempt{server: a.Server, group: l.groupOf(a.Server), sent: now, cancel: cancel})
	l.attempts.Go(func() {
		defer cancel()
		l.up.attempt(ctx, a.Server, r.clientRequest, attemptHost{
			until:       l.clock.at(until),
			clientWaits: l.clock.at(r.came + r.clientWaits),
			by:          by,
			left:        r.left,
			uploaded: func(took time.Duration) {
				r.postpone(l.clock, took)
				l.send(uploaded{r, took})
			},
			end: func(e result) { l.send(ending{r, n, e}) },
		})
	})
}

// mayAttempt puts the facts of an attempt that the module wants before the rules.
func (l *loop) mayAttempt(r *request, a policy.Action, now policy.Time) invariant.Rule {
	class := l.classes[r.req.Class]
	return invariant.MayAttempt(invariant.Attempt{
		Now: now, Deadline: r.deadline, Answered: r.ended, ClientLeft: r.left.Err() != nil,
		// Of a large body, what has gone on is not held any more: no attempt beside or after that.
		BodySpent:   r.rest != nil && (r.rest.begun.Load() || r.pending > 0),
		MaxAttempts: l.allowed.MaxAttempts, Hedging: l.allowed.Hedge, Repeat: class.Repeat, Window: class.Window,
		Prior: l.prior(r, class, a.Server),
	})
}

// prior tells the rules of a request's attempts so far, as seen from a further one at the given server.
func (l *loop) prior(r *request, class policy.Class, server string) []invariant.PriorAttempt {
	if len(r.attempts) == 0 {
		return nil
	}
	group := l.groupOf(server)
	prior := make([]invariant.PriorAttempt, len(r.attempts))
	for i, a := range r.attempts {
		prior[i] = invariant.PriorAttempt{Sent: a.sent, Out: !a.over, MayHaveRun: !a.over || !a.code.NotRun(),
			SameGroup: sameGroup(class.Group, a.group, group)}
	}
	return prior
}

// groupOf is the group of a listed server; of one that isn't, none.
func (l *loop) groupOf(server string) serverGroup {
	m := l.members[server]
	return serverGroup{m.Zone, m.Cell}
}

func sameGroup(by policy.Group, a, b serverGroup) bool {
	switch by {
	case policy.GroupAll:
		return true
	case policy.GroupZone:
		return a.zone == b.zone
	}
	return a.cell == b.cell
}

// skip tells the module that an attempt was not made. Some of these it can't know better: an answer or the deadline may
// come between its decision and this.
func (l *loop) skip(r *request, a policy.Action, now policy.Time, denied invariant.Rule) {
	switch denied {
	case invariant.ConcurrentAttempts, invariant.UnsafeRepeat, invariant.RepeatOutsideWindow:
		l.monitor.Misdirected(denied, a.ID, "server", a.Server, "attempts", r.history())
	default:
		l.monitor.Deny(denied)
	}
	n := len(r.attempts)
	r.pending++
	r.attempts = append(r.attempts, attempt{server: a.Server, sent: now, cancel: func() {}, over: true, code: policy.NotSent})
	l.skipped = append(l.skipped, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: policy.NotSent})
}
