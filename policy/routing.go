package policy

import (
	"math"
	"slices"
	"time"
)

// Routing: packing in id order under a learned threshold (DESIGN).

const (
	manyNodes         = 3          // nodes; more would jam the first server, so each walks from elsewhere
	startFew          = 6.0        // attempts first trusted to a server by all nodes, one each at least
	startOthers       = 1.0        // where keys have homes, to one of another zone by all nodes together,
	startShared       = 3.0        // and to one that all nodes of a zone share by key
	leastPart         = 0.7        // part of a node's even part of startFew below which no threshold falls
	thresholdGrow     = 0.05       // attempts a good answer adds; against slowCut, a sixth may be slow
	slowCut           = 0.25       // attempts a slow answer takes off
	trustGrow         = 0.02       // part by which a good answer raises the trust in shared servers
	trustCut          = 0.1        // and a bad one lowers it: against trustGrow, a sixth may be bad
	trustMost         = 8.0        // times the first trust; 20 was no better
	failureCut        = 0.3        // attempts a full answer or a failure takes off
	faultGain         = 0.05       // weight of one outcome in a server's part of faults
	faultCommon       = 0.08       // part at every other server from which faults tell nothing,
	blameLeast        = 0.25       // so that each counts for so much less
	fullEnough        = 0.2        // part of full answers among bad ones from which servers shed early
	lostMost          = 0.1        // part of the other answers that may time out there
	fullGain, badGain = 0.02, 0.01 // weight of one answer in these parts, and in that of bad answers
	stallTimes        = 5.0        // mean gaps between its answers from which a silent server is stalled
	busyGain          = 0.05       // weight of one report in how busy the servers are
	busyFrom          = 0.7        // part of the servers' cores in use from which a node keeps to less,
	busyFull          = 0.95       // down to no more than the servers take at once
	easeLeast         = 0.05       // part of that below which late answers make no node have less out
	crowdLimit        = 2.0        // times its limit, the least busy is filled; more would only be late
	slowPart          = 0.4        // part of the aim from which an answer tells of a crowd; later, queues jam
	keyCandidates     = 3          // servers that keep a key warm in each zone
)

// pick chooses a server: the first ready one in id order that holds fewer of this node's attempts
// than its threshold, else the least busy; nil where none may be used. Room is also reported where
// the least busy was never cut: what it takes is not known yet.
func (b *Balancer) pick(r *request) (s *server, room bool) {
	p := b.openTo(r)
	if p == nil {
		return nil, false
	}
	for _, s := range b.hashCandidates(r) {
		if s != nil && b.usable(r, s) && b.hasRoom(s) {
			return s, true
		}
	}
	defer p.hide(r.attempts)()
	// Few of many walks reach a cold server, but all nodes have a part in its budget.
	if s := b.firstWithRoom(p, (*part).coldTree); s != nil {
		return s, true
	}
	if b.crowded() {
		return nil, false
	}
	if s := b.firstWithRoom(p, (*part).servingTree); s != nil {
		return s, true
	}
	least := b.leastBusy(p)
	if least != nil && b.utilization(least) > crowdLimit && !b.shedEarly() {
		return nil, !least.felt
	}
	return least, least != nil && !least.felt
}

// openTo is the servers that r may be sent to, but for those that it was sent to; nil for none. It guards the second
// rule: what may have run only goes where repeats are dropped.
func (b *Balancer) openTo(r *request) *pool {
	open := r.class.open
	switch b.repeatsWithin(r) {
	case withinAll:
		return open
	case withinZone:
		return open.zones[r.ranOn.server.Zone]
	case withinCell:
		return open.cells[r.ranOn.server.Cell]
	}
	return nil
}

// reach is how far from the server that may have run it a request may go.
type reach int

const (
	nowhere reach = iota
	withinCell
	withinZone
	withinAll
)

// repeatsWithin tells where r may be sent by what may have run of it: the second rule in one place.
func (b *Balancer) repeatsWithin(r *request) reach {
	switch {
	case r.ranOn == nil || r.class.Repeat == Free:
		return withinAll
	case r.class.Repeat != Guarded || b.now >= r.ranOn.sent+r.class.Window:
		return nowhere
	case r.class.Group == GroupAll:
		return withinAll
	case r.class.Group == GroupZone:
		return withinZone
	}
	return withinCell
}

// hide keeps the servers of attempts from being found in p, until what it returns is called.
func (p *pool) hide(attempts []attempt) (restore func()) {
	if len(attempts) == 0 {
		return func() {}
	}
	set := func(hidden bool) {
		for i := range attempts {
			s := attempts[i].server
			if !s.in {
				continue
			}
			keys := s.status.keys
			if hidden {
				keys = allAbsent
			}
			part := p.part(s)
			part.serving.set(s, keys)
			if s.status.cold {
				part.cold.set(s, keys)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

func (p *part) coldTree() *orderTree    { return &p.cold }
func (p *part) servingTree() *orderTree { return &p.serving }

// firstWithRoom is the first server with room in packing order, of one kind of tree; nil if there is none.
func (b *Balancer) firstWithRoom(p *pool, tree func(*part) *orderTree) *server {
	most := math.Nextafter(b.scale(), 0) // under the threshold
	if s := tree(&p.own).first(b.fleet.own.first, roomKey, most); s != nil {
		return s
	}
	return tree(&p.others).first(b.fleet.others.first, roomKey, most)
}

// leastBusy is the least busy server, of several the first in packing order; nil if all are hung or out of use.
func (b *Balancer) leastBusy(p *pool) *server {
	own := p.own.serving.least(b.fleet.own.first, loadKey)
	others := p.others.serving.least(b.fleet.others.first, loadKey)
	if own == nil || others != nil && others.status.keys[loadKey] < own.status.keys[loadKey] {
		return others
	}
	return own
}

// hashCandidates are the servers that all nodes of a zone try first, in turn, for a key that a server serves
// with less work if it met it lately: hot keys and those of a lost server stay warm. Rendezvous hashing
// keeps them where they are as servers come and go.
func (b *Balancer) hashCandidates(r *request) (best [keyCandidates]*server) {
	if r.key == 0 {
		return best
	}
	return r.class.open.own.keys.candidates(r.key)
}

// isHung tells whether s has been silent for so long that chance hardly explains it: with n requests of a
// mean latency, answers come n times as often. It may be back any moment, so it isn't ejected for that;
// but what is sent meanwhile piles up, and all of it is late.
func (b *Balancer) isHung(s *server) bool { return s.inflight > 0 && b.now > b.hungAt(s) }

// hungAt is the time after which s counts as hung, if it answers nothing more and has attempts out.
func (b *Balancer) hungAt(s *server) Time {
	gap := seconds(stallTimes * s.latency / float64(max(1, b.holds(s))))
	return max(s.lastDone, s.busyFrom) + gap
}

// start is what s is first trusted with by this node.
func (b *Balancer) start(s *server) float64 {
	switch {
	case !b.staggered():
		return max(1, startFew/float64(b.set.Nodes))
	case !b.set.WarmKeys:
		return 1
	case s.own:
		return min(1, startShared*float64(len(b.zones))/float64(b.set.Nodes))
	default:
		return min(1, startOthers/float64(b.set.Nodes))
	}
}

// many tells whether nodes outnumber the attempts that a server takes.
func (b *Balancer) many() bool { return !b.set.WarmKeys && float64(b.set.Nodes) > startFew }

// crowded tells whether this node has its even part of what all nodes may have out together. For many, a
// threshold of one each is no bound: those whose walks reach a server fill it by far, long before the
// outcomes tell any of them. While servers have spare cores, the part is crowdLimit times what they take
// at once, so that chance at one node refuses nothing. Cold servers have a budget of their own, and keep
// what they have for long.
func (b *Balancer) crowded() bool {
	if !b.many() {
		return false
	}
	out, warm := b.crowd()
	spare := min(1, max(0, (busyFull-b.busy)/(busyFull-busyFrom)))
	return float64(out) >= max(1, b.ease*(1+spare*(crowdLimit-1))*startFew*float64(warm)/float64(b.set.Nodes))
}

// utilization sets attempts in flight against what s was seen to take, lest one that others fill look idle.
func (b *Balancer) utilization(s *server) float64 { return float64(b.holds(s)+1) / b.limit(s) }

// holds is how many of this node's attempts s still has: those out, and those given up that it may yet
// work on, for a time-out frees nothing there. Until it answers one sent later, they wait or run.
func (b *Balancer) holds(s *server) int {
	s.lateResponses = slices.DeleteFunc(s.lateResponses, func(g lateResponse) bool { return g.until <= b.now })
	return s.inflight + len(s.lateResponses)
}

// limit is the threshold of s, for shared servers scaled by the trust in all such: a node sees too
// little of each to learn its threshold in time.
func (b *Balancer) limit(s *server) float64 { return s.threshold * b.scale() }

// scale is what thresholds are multiplied by.
func (b *Balancer) scale() float64 {
	if b.scaled() {
		return b.trust
	}
	return 1
}

// scaled tells whether other nodes send servers most of their work: they are the homes of keys for all.
func (b *Balancer) scaled() bool { return b.staggered() && b.set.WarmKeys }

// hasRoom tells whether a server is under its threshold. A threshold under one is kept in time.
func (b *Balancer) hasRoom(s *server) bool {
	return float64(b.holds(s)) < b.limit(s) && !b.isHung(s) && b.now >= b.pacedUntil(s)
}

// pacedUntil is when a server without attempts may have one, by a threshold under one.
func (b *Balancer) pacedUntil(s *server) Time {
	limit := b.limit(s)
	if limit >= 1 {
		return 0
	}
	return s.lastSend + seconds(s.latency*(1/limit-1))
}

// usable tells whether r may go to s now: s is in service, the rules allow it, and, if cold, it has room.
func (b *Balancer) usable(r *request, s *server) bool {
	return !s.health.out && b.mayRun(r, s) && b.coldRoom(s)
}

// permits guards the fifth rule: a class bound to zones or kinds of server goes nowhere else.
func (c *class) permits(s *server) bool {
	return (len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone))
}

// mayRun guards the fifth rule, and the second: what may have run only goes where repeats are dropped.
func (b *Balancer) mayRun(r *request, s *server) bool {
	if !r.class.permits(s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	switch b.repeatsWithin(r) {
	case withinAll:
		return true
	case withinZone:
		return s.Zone == r.ranOn.server.Zone
	case withinCell:
		return s.Cell == r.ranOn.server.Cell
	}
	return false
}

// shedEarly tells whether servers turn work away before it waits too long. Then a full answer is cheap
// and safe, and the node offers requests past the crowd limit, keeps bucket rates at the shares and
// ejects nobody for full answers. It guards against shocks that leave every threshold low while there
// is room; it could do harm where they jam all the same, so time-outs end it, and late answers count.
func (b *Balancer) shedEarly() bool { return b.fullPart >= fullEnough && b.lost < lostMost }

// learn moves the threshold of s by one outcome. Steps shrink with a threshold under one, so that it
// settles where thresholdGrow/(thresholdGrow+slowCut) of the answers are slow, at any size.
func (b *Balancer) learn(s *server, c *class, code Code, latency time.Duration) {
	step, fault := 0.0, code.fault()
	track(&s.faults, faultGain, fault)
	b.rank(s)
	switch {
	case fault:
		b.compare()
		step = -failureCut * b.blame
	case code != OK:
		step = -failureCut
	case latency > seconds(slowPart*c.Aim.Seconds()):
		step = -slowCut
	case float64(s.inflight+1) >= b.limit(s): // answered well, and the threshold was felt
		step = thresholdGrow
	}
	bad := step <= -slowCut                                      // not what all servers have alike
	if bad && (code != Full || s.health.score < silenceWeight) { // a hung server fills up too
		track(&b.fullPart, fullGain, code == Full)
	}
	track(&b.bad, badGain, bad && (code != OK || latency > c.Aim))
	if code != Full {
		track(&b.lost, badGain, code == TimedOut)
	}
	if b.scaled() && step > 0 {
		b.trust = min(trustMost, b.trust*(1+trustGrow))
	} else if b.scaled() && bad && code != Full {
		b.trust = max(1, b.trust*(1-trustCut))
	}
	if code == TimedOut || code == OK && latency > c.Aim { // servers have more than they can do in time
		b.ease = max(easeLeast, b.ease*(1-trustCut))
	} else if code == OK {
		b.ease = min(1, b.ease*(1+trustGrow))
	}
	s.felt = s.felt || bad
	least := leastPart * min(b.start(s), startFew/float64(b.set.Nodes))
	s.threshold = max(least, s.threshold+step*min(1, s.threshold))
}

// compare sets faults against the median server's: what all have alike, none of them is to blame for.
// Unweighed it would close one threshold after the other, and eject at random.
func (b *Balancer) compare() {
	if s := b.median(); s != nil {
		b.blame = max(blameLeast, 1-s.faults/faultCommon)
	}
}
