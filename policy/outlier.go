package policy

import (
	"time"
)

// Outlier detection: ejection of servers, and half-open trials.

const (
	failWeight         = 0.3             // of one failure in the score: two in a row eject, a single one doesn't
	silenceWeight      = 0.15            // of a slow attempt at a silent server: the request may just be heavy
	fullWeight         = 0.2             // of a full answer: a server that keeps giving those needs a rest
	ejectScore         = 0.5             // score above which a server is ejected
	baseEjectionTime   = time.Second     // first ejection, doubled each time
	maxEjectionTime    = 8 * time.Second // longest ejection
	maxEjectedFraction = 0.4             // of the servers open to a class; if more seem bad, the cause isn't the servers
	trialsNeeded       = 3               // successes in a row to end an ejection: a server that fails half of its requests passes half of the trials
	// trialFraction is the fraction of a node's requests that failed trials may use. Without a bound, the trials of all
	// nodes together would keep many servers overloaded and cost most requests their time.
	trialFraction  = 0.05
	maxTrialBudget = trialsNeeded // upper bound of Balancer.trialBudget
)

// updateBreaker updates the circuit breaker of an attempt's server by the outcome.
func (b *Balancer) updateBreaker(a *attempt, code Code) {
	s, h := a.server, &a.server.health
	switch {
	case h.ejected && a.trial && code == OK:
		b.trialBudget = min(maxTrialBudget, b.trialBudget+1) // a successful trial cost nothing, so the budget gets it back
		if h.goodTrials++; h.hung || h.goodTrials >= trialsNeeded {
			b.setEjected(s, false)
			*h, s.threshold = health{}, b.initialThreshold(s)
		}
	case h.ejected && a.trial: // a full answer fails the trial too: a hung server rejects what it has no room for
		if code.isFault() && b.faultWeight < 1 { // the server may be healthy, so its ejections don't get longer
			h.ejections = 0
		}
		b.eject(s, code == TimedOut)
	case code == OK:
		h.score -= failWeight * b.faultWeight * h.score
	case code == Full && b.serversShedEarly():
	case code == Full:
		b.recordFailure(s, fullWeight, code)
	case code.isFault():
		b.recordFailure(s, failWeight*b.faultWeight, code)
	case s.lastAnswer < a.sent: // a server that answers others isn't hung
		b.recordFailure(s, failWeight, code)
	}
}

// recordFailure counts a failure or a silence against a server, and ejects it if there were too many.
func (b *Balancer) recordFailure(s *server, weight float64, code Code) {
	h := &s.health
	h.score += weight * (1 - h.score)
	if !h.ejected && h.score > ejectScore && b.mayEject(s) {
		b.eject(s, code == TimedOut)
	}
}

// mayEject applies maxEjectedFraction to the servers of each class separately, so that the few that a class may be bound
// to are not all ejected while the fleet as a whole looks healthy.
func (b *Balancer) mayEject(s *server) bool {
	for _, p := range s.group.pools {
		if p.hasClasses && float64(p.ejectedCount+1) > maxEjectedFraction*float64(p.len()) {
			return false
		}
	}
	return true
}

// eject stops requests to s for a while, longer each time; trials then show whether it works again. A hung server, which
// was merely silent, usually recovers soon, and its first answer shows it: its ejections don't get longer, and one
// successful trial ends them.
func (b *Balancer) eject(s *server, hung bool) {
	h := &s.health
	if hung {
		h.ejections = 0
	}
	duration := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.hung, h.ejectedUntil, h.goodTrials, h.ejections = hung, b.now+duration, 0, h.ejections+1
	b.setEjected(s, true)
}

// pickTrial returns an ejected server that is due for a trial, if r can safely make it: of the classes that may use the
// server, that of r must be one with the fewest limits on repeats. Requests of a class that isn't in the settings make no
// trials if every class in the settings is bound to kinds or zones.
func (b *Balancer) pickTrial(r *request) *server {
	p := r.class.eligible
	if !p.hasClasses || p.ejectedCount == 0 || len(r.attempts) > 0 || b.trialBudget < 1 {
		return nil
	}
	s := b.firstTrialDue(&p.ownZone, b.fleet.ownZone.walkStart, r.class.Repeat)
	if s == nil {
		s = b.firstTrialDue(&p.otherZones, b.fleet.otherZones.walkStart, r.class.Repeat)
	}
	if s != nil {
		s.health.trialPending = true
		b.trialBudget--
	}
	return s
}

// firstTrialDue returns the first ejected server in packing order that is due for a trial, and that a request with this
// Repeat may try; nil if there is none.
func (b *Balancer) firstTrialDue(p *serverSet, start *server, repeat Repeat) (first *server) {
	for level := range repeat + 1 {
		s := p.ejected[level].first(start, trialAtKey, float64(b.now))
		if s != nil && (first == nil || b.comparePacking(s, first) < 0) {
			first = s
		}
	}
	return first
}
