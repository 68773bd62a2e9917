package policy

import (
	"math"
)

// The status of servers, by which the indexes find those that can take a request. It follows from a server's own state
// and the time: refresh has to follow each change of what a server holds, of its health, its threshold and its place.

const (
	never = Time(math.MaxInt64)
	// ringLooks is how many servers of the ring each event looks at. Their times come from figures that
	// other servers' outcomes move, and are put right in turn.
	ringLooks = 2
	// mostWakes is how many servers each event looks at whose time has come. Slow starts of a whole zone may end in one
	// moment; the others count as they did until the next events.
	mostWakes = 128
)

// status is what the indexes know of a server.
type status struct {
	keys  treeKeys
	cold  bool    // it is in slow start
	out   bool    // it is ejected
	ready float64 // the time from which an ejected one may be tried
	adds  int     // its part of crowdOut,
	one   int     // and of crowdOf
	wake  Time    // from when on this may be otherwise, though nothing happens
	ring  bool    // or before, by what is learned from others
}

// noStatus is of a server that is not in service.
var noStatus = status{keys: allAbsent, ready: absent, wake: never}

// statusOf works out the status of s.
func (b *Balancer) statusOf(s *server) status {
	st := noStatus
	if !s.in {
		return st
	}
	holds := b.holds(s)
	for _, late := range s.lateResponses {
		st.wake = min(st.wake, late.until)
	}
	admits := true
	if st.cold = b.ramp(s) < 1; st.cold {
		st.ring = true
		if at := s.OnlineSince + b.set.Rules.ColdFor; at >= s.OnlineSince { // a start far ahead must not wrap around
			st.wake = min(st.wake, at)
		}
		if admits = b.coldRoom(s); !admits {
			st.wake = min(st.wake, b.now+b.coldWait(s))
		}
	}
	if st.out = s.health.out; st.out {
		if admits && !s.health.trialOut {
			st.ready = float64(s.health.until)
		}
		return st
	}
	if !st.cold {
		st.adds, st.one = holds, 1
	}
	if admits && s.threshold > 0 {
		b.fillKeys(s, holds, &st)
	}
	return st
}

// fillKeys fills in the keys of a server that may be used.
func (b *Balancer) fillKeys(s *server, holds int, st *status) {
	if s.inflight > 0 {
		at := b.hungAt(s)
		if b.now > at {
			return
		}
		st.wake = min(st.wake, at+1)
	}
	st.keys[loadKey] = float64(holds+1) / s.threshold
	if at := b.pacedUntil(s); holds == 0 && b.now < at {
		st.wake, st.ring = min(st.wake, at), st.ring || b.scaled()
		return
	}
	st.keys[roomKey] = float64(holds) / s.threshold
}

// refresh brings the indexes up to date with s.
func (b *Balancer) refresh(s *server) {
	*b.visits++
	was, now := s.status, b.statusOf(s)
	if was == now {
		return
	}
	s.status = now
	b.crowdOut += now.adds - was.adds
	b.crowdOf += now.one - was.one
	if was.wake != now.wake {
		b.wakes.set(s, now.wake < never)
	}
	if was.ring != now.ring {
		b.enterRing(s, now.ring)
	}
	if was.keys == now.keys && was.cold == now.cold && was.out == now.out && was.ready == now.ready {
		return
	}
	for _, p := range s.group.pools {
		p.part(s).update(s, was, now)
	}
}

// advance brings the indexes up to date with the time.
func (b *Balancer) advance() {
	for looked := 0; looked < mostWakes && len(b.wakes.servers) > 0 && b.wakes.servers[0].status.wake <= b.now; looked++ {
		b.refresh(b.wakes.servers[0])
	}
	for range min(ringLooks, len(b.ring)) {
		b.hand = (b.hand + 1) % len(b.ring)
		if b.refresh(b.ring[b.hand]); len(b.ring) == 0 {
			return
		}
	}
}

// enterRing puts s into the ring, or takes it out.
func (b *Balancer) enterRing(s *server, in bool) {
	if in {
		b.ring = append(b.ring, s)
		s.ringAt = len(b.ring)
		return
	}
	last := b.ring[len(b.ring)-1]
	b.ring[s.ringAt-1], last.ringAt = last, s.ringAt
	b.ring[len(b.ring)-1] = nil
	b.ring, s.ringAt = b.ring[:len(b.ring)-1], 0
}

// crowd is how many attempts the servers that count hold by now, and how many these servers are.
func (b *Balancer) crowd() (out, of int) { return b.crowdOut, b.crowdOf }
