package policy

import (
	"math"
	"slices"
	"time"
)

// Routing: fills servers in packing order, each up to a learned threshold (see DESIGN).

const (
	maxUnstaggeredNodes   = 3          // more would overload the first server, so each starts its walk elsewhere
	initialCapacity       = 6.0        // attempts that all nodes together first allow a server, at least one each
	initialCapacityRemote = 1.0        // where keys have preferred servers: the same for a server of another zone,
	initialCapacityShared = 3.0        // and for one that all nodes of its zone share by key
	minThresholdFraction  = 0.7        // lower bound of a threshold, as a fraction of a node's even share of initialCapacity
	thresholdIncrease     = 0.05       // attempts added by a good answer; against slowDecrease, one answer in six may be slow
	slowDecrease          = 0.25       // attempts that a slow answer removes
	scaleIncrease         = 0.02       // relative step by which a good answer raises sharedThresholdScale or fairShareScale
	scaleDecrease         = 0.1        // and by which a bad one lowers it: against scaleIncrease, one in six may be bad
	maxSharedScale        = 8.0        // upper bound of sharedThresholdScale, which starts at 1; 20 was no better
	failureDecrease       = 0.3        // attempts that a full answer or a failure removes
	faultGain             = 0.05       // weight of one outcome in a server's fault rate
	commonFaultRate       = 0.08       // fault rate of the median server from which faults say nothing about a single one,
	minFaultWeight        = 0.25       // and the weight that each fault keeps then
	shedEarlyMinFull      = 0.2        // fraction of full answers among bad ones at which servers count as shedding early
	shedEarlyMaxTimeouts  = 0.1        // fraction of timeouts among other answers below which they do
	fullGain, badGain     = 0.02, 0.01 // weight of one answer in these fractions, and in that of bad answers
	hungGapMultiple       = 5.0        // mean intervals between answers after which a silent server counts as hung
	coreUseGain           = 0.05       // weight of one load report in the mean core use of the servers
	highCoreUse           = 0.7        // fraction of the servers' cores in use from which a node sends them less,
	fullCoreUse           = 0.95       // down to no more than the servers process at once
	minFairShareScale     = 0.05       // lower bound of the factor by which late answers reduce a node's fair share
	overcommitFactor      = 2.0        // multiple of its scaled threshold to which the least loaded server is filled; more would only be late
	slowFraction          = 0.4        // fraction of the aim at which an answer indicates overload; later, queues build up
	keyCandidates         = 3          // servers in each zone that keep a key warm
)

// pick chooses a server: a candidate for the key of r with room, then the first server in packing order that is below
// its threshold, else the least loaded one; nil if none may be used. room reports whether there is free capacity: it is
// also true if the threshold of the least loaded server was never lowered, as its capacity isn't known yet.
func (b *Balancer) pick(r *request) (s *server, room bool) {
	p := b.eligiblePool(r)
	if p == nil {
		return nil, false
	}
	for _, s := range b.hashCandidates(r) {
		if s != nil && b.usable(r, s) && b.hasRoom(s) {
			return s, true
		}
	}
	defer p.excludeTried(r.attempts)()
	// Cold servers come before others: few nodes reach a given one in their walks, but each has a share of its budget.
	if s := b.firstWithRoom(p, (*serverSet).coldTree); s != nil {
		return s, true
	}
	if b.atFairShare() {
		return nil, false
	}
	if s := b.firstWithRoom(p, (*serverSet).servingTree); s != nil {
		return s, true
	}
	least := b.leastLoaded(p)
	if least != nil && b.utilization(least) > overcommitFactor && !b.serversShedEarly() {
		return nil, !least.thresholdCut
	}
	return least, least != nil && !least.thresholdCut
}

// eligiblePool returns the servers that r may be sent to, including those that it was already sent to; nil for none.
// It enforces rule 2 (no duplicate effects) by the scope that repeatScope returns.
func (b *Balancer) eligiblePool(r *request) *pool {
	eligible := r.class.eligible
	switch b.repeatScope(r) {
	case scopeAll:
		return eligible
	case scopeZone:
		return eligible.zonePools[r.firstRun.server.Zone]
	case scopeCell:
		return eligible.cellPools[r.firstRun.server.Cell]
	}
	return nil
}

// scope is how far from the server that may have run a request it may be sent.
type scope int

const (
	scopeNone scope = iota
	scopeCell
	scopeZone
	scopeAll
)

// repeatScope returns where r may be sent, given which of its attempts may have run. It alone decides what rule 2 (no
// duplicate effects) allows.
func (b *Balancer) repeatScope(r *request) scope {
	switch {
	case r.firstRun == nil || r.class.Repeat == Free:
		return scopeAll
	case r.class.Repeat != Guarded || b.now >= r.firstRun.sent+r.class.Window:
		return scopeNone
	case r.class.Group == GroupAll:
		return scopeAll
	case r.class.Group == GroupZone:
		return scopeZone
	}
	return scopeCell
}

// excludeTried hides the servers of attempts from searches in p until restore is called.
func (p *pool) excludeTried(attempts []attempt) (restore func()) {
	if len(attempts) == 0 {
		return func() {}
	}
	setHidden := func(hidden bool) {
		for i := range attempts {
			s := attempts[i].server
			if !s.inService {
				continue
			}
			keys := s.status.keys
			if hidden {
				keys = allAbsent
			}
			set := p.setOf(s)
			set.serving.set(s, keys)
			if s.status.cold {
				set.cold.set(s, keys)
			}
		}
	}
	setHidden(true)
	return func() { setHidden(false) }
}

func (p *serverSet) coldTree() *orderTree    { return &p.cold }
func (p *serverSet) servingTree() *orderTree { return &p.serving }

// firstWithRoom returns the first server with room in packing order, in the trees that the given function selects; nil
// if there is none.
func (b *Balancer) firstWithRoom(p *pool, tree func(*serverSet) *orderTree) *server {
	maxLoad := math.Nextafter(b.thresholdScale(), 0) // strictly below the threshold
	if s := tree(&p.ownZone).first(b.fleet.ownZone.walkStart, roomKey, maxLoad); s != nil {
		return s
	}
	return tree(&p.otherZones).first(b.fleet.otherZones.walkStart, roomKey, maxLoad)
}

// leastLoaded returns the least loaded server, of several the first in packing order; nil if none can be sent anything
// now.
func (b *Balancer) leastLoaded(p *pool) *server {
	own := p.ownZone.serving.minServer(b.fleet.ownZone.walkStart, loadKey)
	others := p.otherZones.serving.minServer(b.fleet.otherZones.walkStart, loadKey)
	if own == nil || others != nil && others.status.keys[loadKey] < own.status.keys[loadKey] {
		return others
	}
	return own
}

// hashCandidates returns the servers that all nodes of a zone try first, in this order, for the key of r. A server that
// served a key lately serves it with less work; as all nodes agree on several servers, hot keys and those of a lost
// server stay warm. Rendezvous hashing leaves the other keys in place when servers come and go.
func (b *Balancer) hashCandidates(r *request) (best [keyCandidates]*server) {
	if r.keyHash == 0 {
		return best
	}
	return r.class.eligible.ownZone.keys.candidates(r.keyHash)
}

// isHung reports whether s has been silent for longer than chance is likely to explain: with n requests of a given mean
// latency in flight, answers come n times as often. It may recover at any moment and so isn't ejected for that, but
// attempts sent to it meanwhile only queue up there and are answered late.
func (b *Balancer) isHung(s *server) bool { return s.inFlight > 0 && b.now > b.hungAt(s) }

// hungAt returns the time after which s counts as hung if it has attempts in flight and answers none before.
func (b *Balancer) hungAt(s *server) Time {
	gap := seconds(hungGapMultiple * s.meanLatency / float64(max(1, b.outstanding(s))))
	return max(s.lastAnswer, s.busySince) + gap
}

// initialThreshold returns the threshold at which this node starts with s.
func (b *Balancer) initialThreshold(s *server) float64 {
	switch {
	case !b.staggered():
		return max(1, initialCapacity/float64(b.settings.Nodes))
	case !b.settings.WarmKeys:
		return 1
	case s.inOwnZone:
		return min(1, initialCapacityShared*float64(len(b.serversByZone))/float64(b.settings.Nodes))
	default:
		return min(1, initialCapacityRemote/float64(b.settings.Nodes))
	}
}

// oversubscribed reports whether there are more nodes than attempts that a server processes at once.
func (b *Balancer) oversubscribed() bool {
	return !b.settings.WarmKeys && float64(b.settings.Nodes) > initialCapacity
}

// atFairShare reports whether this node has used its even share of the attempts that all nodes together may have
// outstanding. With many nodes, a threshold of one each is no bound: the nodes whose walks reach a server overfill it
// long before outcomes show it to any of them. While servers have spare cores, the share is overcommitFactor times what they process
// at once, so that a random peak at one node causes no refusals. Cold servers don't count: they have a budget of their
// own and keep their requests for long.
func (b *Balancer) atFairShare() bool {
	if !b.oversubscribed() {
		return false
	}
	outstanding, warmServers := b.warmLoad()
	spare := min(1, max(0, (fullCoreUse-b.coreUse)/(fullCoreUse-highCoreUse)))
	return float64(outstanding) >= max(1, b.fairShareScale*(1+spare*(overcommitFactor-1))*initialCapacity*float64(warmServers)/float64(b.settings.Nodes))
}

// utilization returns the outstanding attempts of s, and one more, as a multiple of its scaled threshold. By the number
// of attempts alone, servers filled by other nodes would look idle.
func (b *Balancer) utilization(s *server) float64 {
	return float64(b.outstanding(s)+1) / b.scaledThreshold(s)
}

// outstanding returns how many of this node's attempts s still has: those in flight and those given up that it may
// still work on, since a timeout frees nothing there. The latter count until s answers an attempt sent later, or until
// their deadline.
func (b *Balancer) outstanding(s *server) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedAttempt) bool { return a.until <= b.now })
	return s.inFlight + len(s.abandoned)
}

// scaledThreshold returns the threshold of s times thresholdScale.
func (b *Balancer) scaledThreshold(s *server) float64 { return s.threshold * b.thresholdScale() }

// thresholdScale returns the factor on all thresholds. Shared servers have a common one, learned from the answers of all
// of them, since a node sees too little of each to learn its threshold in time.
func (b *Balancer) thresholdScale() float64 {
	if b.serversShared() {
		return b.sharedThresholdScale
	}
	return 1
}

// serversShared reports whether servers get most of their work from other nodes, as the preferred servers of keys for
// all of them.
func (b *Balancer) serversShared() bool { return b.staggered() && b.settings.WarmKeys }

// hasRoom reports whether s is below its scaled threshold and not hung. One below 1 is enforced by spacing sends in
// time.
func (b *Balancer) hasRoom(s *server) bool {
	return float64(b.outstanding(s)) < b.scaledThreshold(s) && !b.isHung(s) && b.now >= b.nextSendAt(s)
}

// nextSendAt returns when a server without attempts may get one, where its scaled threshold is below 1.
func (b *Balancer) nextSendAt(s *server) Time {
	threshold := b.scaledThreshold(s)
	if threshold >= 1 {
		return 0
	}
	return s.lastSend + seconds(s.meanLatency*(1/threshold-1))
}

// usable reports whether r may go to s now: s isn't ejected, maySendTo allows it and, if s is cold, so does its budget.
func (b *Balancer) usable(r *request, s *server) bool {
	return !s.health.ejected && b.maySendTo(r, s) && b.coldBudgetAllows(s)
}

// permits enforces rule 5 (placement): a class bound to zones or kinds of server is sent nowhere else.
func (c *class) permits(s *server) bool {
	return (len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone))
}

// maySendTo enforces rule 2 (no duplicate effects) and rule 5 (placement). It also keeps a request from being sent to a
// server twice.
func (b *Balancer) maySendTo(r *request, s *server) bool {
	if !r.class.permits(s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	switch b.repeatScope(r) {
	case scopeAll:
		return true
	case scopeZone:
		return s.Zone == r.firstRun.server.Zone
	case scopeCell:
		return s.Cell == r.firstRun.server.Cell
	}
	return false
}

// serversShedEarly reports whether servers reject work before it waits too long. A full answer is then cheap and safe:
// the node sends requests beyond overcommitFactor, doesn't lower bucket rates below the shares, and ejects no server for
// full answers. This is for load spikes that leave every threshold low although there is room. It could do harm where
// servers are overloaded all the same, so timeouts end it, and late answers still count.
func (b *Balancer) serversShedEarly() bool {
	return b.fullFraction >= shedEarlyMinFull && b.timeoutFraction < shedEarlyMaxTimeouts
}

// updateThreshold moves the threshold of s by one outcome, and the statistics that depend on it. Steps shrink with a
// threshold below one, so that at any size it settles where thresholdIncrease/(thresholdIncrease+slowDecrease) of the
// answers are slow.
func (b *Balancer) updateThreshold(s *server, c *class, code Code, latency time.Duration) {
	step, fault := 0.0, code.isFault()
	updateAverage(&s.faultRate, faultGain, fault)
	b.rankFaults(s)
	switch {
	case fault:
		b.updateFaultWeight()
		step = -failureDecrease * b.faultWeight
	case code != OK:
		step = -failureDecrease
	case latency > seconds(slowFraction*c.Aim.Seconds()):
		step = -slowDecrease
	case float64(s.inFlight+1) >= b.scaledThreshold(s): // a good answer while the threshold limited sends
		step = thresholdIncrease
	}
	bad := step <= -slowDecrease                                 // not a fault that all servers have, as faultWeight reduces its step
	if bad && (code != Full || s.health.score < silenceWeight) { // not the full answers of a hung server
		updateAverage(&b.fullFraction, fullGain, code == Full)
	}
	updateAverage(&b.badFraction, badGain, bad && (code != OK || latency > c.Aim))
	if code != Full {
		updateAverage(&b.timeoutFraction, badGain, code == TimedOut)
	}
	if b.serversShared() && step > 0 {
		b.sharedThresholdScale = min(maxSharedScale, b.sharedThresholdScale*(1+scaleIncrease))
	} else if b.serversShared() && bad && code != Full {
		b.sharedThresholdScale = max(1, b.sharedThresholdScale*(1-scaleDecrease))
	}
	if code == TimedOut || code == OK && latency > c.Aim { // servers have more work than they can finish in time
		b.fairShareScale = max(minFairShareScale, b.fairShareScale*(1-scaleDecrease))
	} else if code == OK {
		b.fairShareScale = min(1, b.fairShareScale*(1+scaleIncrease))
	}
	s.thresholdCut = s.thresholdCut || bad
	minThreshold := minThresholdFraction * min(b.initialThreshold(s), initialCapacity/float64(b.settings.Nodes))
	s.threshold = max(minThreshold, s.threshold+step*min(1, s.threshold))
}

// updateFaultWeight weighs faults by the fault rate of the median server: those that all servers have in common are no
// sign of a bad server. At full weight they would lower every threshold to its minimum, and eject servers at random.
func (b *Balancer) updateFaultWeight() {
	if s := b.medianByFaults(); s != nil {
		b.faultWeight = max(minFaultWeight, 1-s.faultRate/commonFaultRate)
	}
}
