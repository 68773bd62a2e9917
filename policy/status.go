package policy

import (
	"math"
)

// Server status, from which the indexes find the servers that can take a request. It follows from the
// server's own state and the time: updateStatus must be called after every change of a server's
// outstanding attempts, of its health, of its threshold and of whether it is in service.

const (
	farFuture = Time(math.MaxInt64)
	// rotationPerEvent is how many servers of the rotation each event reevaluates. The outcomes of other servers
	// move the times at which their statuses change, so these times are recomputed in turn.
	rotationPerEvent = 2
	// maxReevaluationsPerEvent bounds the due status changes that each event applies: slow starts of a whole zone may
	// end at the same moment. The other servers keep their status until the next events.
	maxReevaluationsPerEvent = 128
)

// status is the state of a server as indexed.
type status struct {
	keys            treeKeys
	cold            bool    // in slow start
	ejected         bool    // ejected by its circuit breaker
	trialAt         float64 // time from which an ejected server may be tried; absent: not for now
	warmOutstanding int     // its part of serverIndex.warmOutstanding
	warmServers     int     // its part of serverIndex.warmServers
	reevaluateAt    Time    // when the status changes without an event
	inRotation      bool    // it may change earlier, by outcomes of other servers
}

// outOfService is the status of a server that is not in service.
var outOfService = status{keys: allAbsent, trialAt: absent, reevaluateAt: farFuture}

// statusOf computes the status of s.
func (b *Balancer) statusOf(s *server) status {
	st := outOfService
	if !s.inService {
		return st
	}
	outstanding := b.outstanding(s)
	for _, a := range s.abandoned {
		st.reevaluateAt = min(st.reevaluateAt, a.until)
	}
	admits := true
	if st.cold = b.rampFraction(s) < 1; st.cold {
		st.inRotation = true
		if at := s.OnlineSince + b.settings.Rules.ColdFor; at >= s.OnlineSince { // no overflow for a start time far ahead
			st.reevaluateAt = min(st.reevaluateAt, at)
		}
		if admits = b.coldBudgetAllows(s); !admits {
			st.reevaluateAt = min(st.reevaluateAt, b.now+b.coldWait(s))
		}
	}
	if st.ejected = s.health.ejected; st.ejected {
		if admits && !s.health.trialPending {
			st.trialAt = float64(s.health.ejectedUntil)
		}
		return st
	}
	if !st.cold {
		st.warmOutstanding, st.warmServers = outstanding, 1
	}
	if admits && s.threshold > 0 {
		b.fillKeys(s, outstanding, &st)
	}
	return st
}

// fillKeys computes the tree keys of a server that may be used.
func (b *Balancer) fillKeys(s *server, outstanding int, st *status) {
	if s.inFlight > 0 {
		at := b.hungAt(s)
		if b.now > at {
			return
		}
		st.reevaluateAt = min(st.reevaluateAt, at+1)
	}
	st.keys[loadKey] = float64(outstanding+1) / s.threshold
	if at := b.nextSendAt(s); outstanding == 0 && b.now < at {
		st.reevaluateAt, st.inRotation = min(st.reevaluateAt, at), st.inRotation || b.serversShared()
		return
	}
	st.keys[roomKey] = float64(outstanding) / s.threshold
}

// updateStatus recomputes the status of s and updates the indexes.
func (b *Balancer) updateStatus(s *server) {
	*b.visits++
	was, now := s.status, b.statusOf(s)
	if was == now {
		return
	}
	s.status = now
	b.warmOutstanding += now.warmOutstanding - was.warmOutstanding
	b.warmServers += now.warmServers - was.warmServers
	if was.reevaluateAt != now.reevaluateAt {
		b.reevaluationHeap.set(s, now.reevaluateAt < farFuture)
	}
	if was.inRotation != now.inRotation {
		b.setInRotation(s, now.inRotation)
	}
	if was.keys == now.keys && was.cold == now.cold && was.ejected == now.ejected && was.trialAt == now.trialAt {
		return
	}
	for _, p := range s.group.pools {
		p.setOf(s).update(s, was, now)
	}
}

// updateDueStatuses applies the status changes that are due, and reevaluates some servers of the rotation.
func (b *Balancer) updateDueStatuses() {
	for updated := 0; updated < maxReevaluationsPerEvent && len(b.reevaluationHeap.servers) > 0 && b.reevaluationHeap.servers[0].status.reevaluateAt <= b.now; updated++ {
		b.updateStatus(b.reevaluationHeap.servers[0])
	}
	for range min(rotationPerEvent, len(b.rotation)) {
		b.rotationCursor = (b.rotationCursor + 1) % len(b.rotation)
		if b.updateStatus(b.rotation[b.rotationCursor]); len(b.rotation) == 0 {
			return
		}
	}
}

// setInRotation adds s to the rotation, or removes it.
func (b *Balancer) setInRotation(s *server, in bool) {
	if in {
		b.rotation = append(b.rotation, s)
		s.rotationPosition = len(b.rotation)
		return
	}
	last := b.rotation[len(b.rotation)-1]
	b.rotation[s.rotationPosition-1], last.rotationPosition = last, s.rotationPosition
	b.rotation[len(b.rotation)-1] = nil
	b.rotation, s.rotationPosition = b.rotation[:len(b.rotation)-1], 0
}

// warmLoad returns the outstanding attempts of warm servers that are not ejected, and the number of these servers.
func (b *Balancer) warmLoad() (outstanding, servers int) { return b.warmOutstanding, b.warmServers }
