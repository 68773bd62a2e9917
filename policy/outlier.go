package policy

import (
	"time"
)

// Outlier detection: ejection of servers, and half-open trials.

const (
	failWeight    = 0.3             // of one failure in the score: two in a row eject, a lone one doesn't
	silenceWeight = 0.15            // of an attempt out for long at a silent server: it may just be heavy
	fullWeight    = 0.2             // of a full answer: a server that keeps giving those needs a rest
	failLimit     = 0.5             // score that ejects
	ejectFirst    = time.Second     // first ejection, doubled each time
	ejectMost     = 8 * time.Second // up to this
	maxEjected    = 0.4             // part of the fleet; when more seems broken, the cause isn't the servers
	trialsNeeded  = 3               // good trials in a row: half of them pass at a server that fails half
	trialShare    = 0.05            // of a node's requests may go to bad trials: all nodes' together would keep
	trialMost     = trialsNeeded    // many servers jammed, and cost most requests their time
)

// judge moves the breaker of an attempt's server by its outcome.
func (b *Balancer) judge(a *attempt, code Code) {
	s, h := a.server, &a.server.health
	switch {
	case h.out && a.trial && code == OK:
		b.trials = min(trialMost, b.trials+1) // it cost nobody anything
		if h.trials++; h.hung || h.trials >= trialsNeeded {
			b.setOut(s, false)
			*h, s.threshold = health{}, b.start(s)
		}
	case h.out && a.trial: // full too: a hung server turns away what it has no room for
		if code.fault() && b.blame < 1 { // it may be well, so it is not put off for longer each time
			h.times = 0
		}
		b.eject(s, code == TimedOut)
	case code == OK:
		h.score -= failWeight * b.blame * h.score
	case code == Full && b.shedEarly():
	case code == Full:
		b.recordFailure(s, fullWeight, code)
	case code.fault():
		b.recordFailure(s, failWeight*b.blame, code)
	case s.lastDone < a.sent: // a server that answers others isn't hung
		b.recordFailure(s, failWeight, code)
	}
}

// recordFailure counts a failure, or a silence, against a server.
func (b *Balancer) recordFailure(s *server, weight float64, code Code) {
	h := &s.health
	h.score += weight * (1 - h.score)
	if !h.out && h.score > failLimit && b.mayEject(s) {
		b.eject(s, code == TimedOut)
	}
}

// mayEject keeps the cap on ejections for each class by itself: the few servers that one may be bound
// to are not all taken out while the fleet as a whole looks well.
func (b *Balancer) mayEject(s *server) bool {
	for _, p := range s.group.pools {
		if p.named && float64(p.ejected+1) > maxEjected*float64(p.len()) {
			return false
		}
	}
	return true
}

// eject takes s out of service for a while, longer each time. One that was merely silent is most often
// back soon, and its first answer shows it: it is tried as soon each time, and once.
func (b *Balancer) eject(s *server, hung bool) {
	h := &s.health
	if hung {
		h.times = 0
	}
	span := min(ejectMost, ejectFirst<<min(h.times, 10))
	h.hung, h.until, h.trials, h.times = hung, b.now+span, 0, h.times+1
	b.setOut(s, true)
}

// trial returns an ejected server whose time is up, if r can safely try it out: of the classes that
// the server is open to, one that may be repeated most freely. A class that isn't in the settings makes no
// trials where each that is has servers of its own.
func (b *Balancer) trial(r *request) *server {
	open := r.class.open
	if !open.named || open.ejected == 0 || len(r.attempts) > 0 || b.trials < 1 {
		return nil
	}
	s := b.firstReady(&open.own, b.fleet.own.first, r.class.Repeat)
	if s == nil {
		s = b.firstReady(&open.others, b.fleet.others.first, r.class.Repeat)
	}
	if s != nil {
		s.health.trialOut = true
		b.trials--
	}
	return s
}

// firstReady is the first ejected server in packing order that may be tried by now with a request that may be repeated
// as freely as given; nil if there is none.
func (b *Balancer) firstReady(p *part, from *server, repeat Repeat) (first *server) {
	for level := range repeat + 1 {
		s := p.ejected[level].first(from, readyKey, float64(b.now))
		if s != nil && (first == nil || b.packed(s, first) < 0) {
			first = s
		}
	}
	return first
}
