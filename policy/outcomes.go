package policy

import (
	"slices"
	"time"
)

// Outcomes: what the end of an attempt says about its server and its class.

func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		r.streaming = true
		b.cancel(r, e.Attempt)
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return // late or duplicate
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.notRun = true, e.Code.NotRun()
	r.inFlight--
	a.server.noteConnUse(b.now)
	a.server.inFlight--
	a.server.updateAbandoned(r, a, e.Code)
	b.recordLoadReport(a.server, e.Report)
	r.updateFirstRun()
	b.observe(r, a, e)
	b.updateStatus(a.server)
	if !a.server.delisted {
		b.markUsed(a.server)
	}
	switch {
	case e.Ended || r.ended || e.Code == OK:
		b.end(r)
	case r.inFlight > 0: // another attempt may still answer
	case e.Code == NotSent || b.now >= r.deadline || r.streaming ||
		r.firstRun != nil && r.class.Repeat == Never:
		b.giveUp(r, e.Code.String())
	default:
		b.dispatch(r)
	}
}

// updateAbandoned keeps an attempt that was given up in the count of those outstanding at s. Servers start attempts in
// order, so an answer shows that all those sent before it were started, and abandoned ones of them no longer count.
func (s *server) updateAbandoned(r *request, a *attempt, code Code) {
	switch code {
	case TimedOut, Cancelled:
		s.abandoned = append(s.abandoned, abandonedAttempt{sent: a.sent, until: a.sent + r.class.Deadline})
	case OK:
		s.abandoned = slices.DeleteFunc(s.abandoned, func(other abandonedAttempt) bool { return other.sent <= a.sent })
	}
}

// updateFirstRun finds the first attempt of r that may have run; one without an outcome may have.
func (r *request) updateFirstRun() {
	r.firstRun = nil
	for i := range r.attempts {
		if !r.attempts[i].notRun {
			r.firstRun = &r.attempts[i]
			return
		}
	}
}

// observe updates latency, threshold and health from an outcome.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	s, c := a.server, r.class
	if a.trial {
		s.health.trialPending = false
	}
	switch e.Code {
	case NotSent:
		return
	case ConnectFailed:
		if s.Availability != Running { // this node cancelled the connect, or the process has ended
			return
		}
	case Cancelled:
		// This node cancelled the attempt, which says nothing about the server. But a trial that needed a hedge has
		// failed.
		if !a.trial {
			return
		}
	case OK, ServerError, Full:
		s.lastAnswer = b.now
	}
	if e.Code != ConnectFailed && b.recordIdleLoss(a, e.Code == TimedOut || e.Code == Reset) {
		return
	}
	b.updateThreshold(s, c, e.Code, e.Latency)
	if e.Code == OK || e.Code == TimedOut {
		s.meanLatency += latencyGain * (e.Latency.Seconds() - s.meanLatency)
	}
	if e.Code == OK {
		b.decayedAnswerRate, b.answerRateAt = b.answerRate()+1/answerRateWindow.Seconds(), b.now
		c.updateTailLatency(e.Latency)
	}
	b.updateBreaker(a, e.Code)
}

// updateTailLatency updates the estimate of the tailQuantile of the latency of a class.
func (c *class) updateTailLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	c.tailLatency = min(c.Aim, c.tailLatency+time.Duration(tailStep*step*float64(c.tailLatency)))
}
