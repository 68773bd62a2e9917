package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Membership: following the list of servers.

const (
	maxUpdateDelay   = 6 * time.Second       // a change counts as known to the node this long after discovery has it
	listRetryDivisor = 4                     // the mean wait for a retry is the time limit divided by this
	firstCallSpacing = 50 * time.Millisecond // mean spacing of the nodes' first calls, since all nodes may start at once
)

// listRefreshWithin returns how soon the node must have the list while discovery sends nothing.
func (b *Balancer) listRefreshWithin() time.Duration {
	if within := b.settings.Rules.ListRefreshWithin; within > 0 {
		return min(maxUpdateDelay, within)
	}
	return maxUpdateDelay
}

func (b *Balancer) requestList() { b.emit(Action{Kind: WatchList, On: true}) }

// requestListLater asks for the list after from and a random part of span, so that nodes don't ask in step:
// discovery serves few calls at a time, and those that wait too long fail and are repeated.
func (b *Balancer) requestListLater(from, span time.Duration) {
	b.emit(Action{Kind: SetTimer, Wait: from + time.Duration(b.rng.Float64()*float64(span)), Token: listToken})
}

func (b *Balancer) onList(e MemberList) {
	switch {
	case e.Kind == ListUnavailable:
		// The same mean after each failure: discovery may be back any moment, and the time limit counts from
		// then.
		mean := b.listRefreshWithin() / listRetryDivisor
		b.requestListLater(mean/2, mean)
		return
	case e.Kind == ListRestored && b.settings.Subscribe:
		if b.settings.Nodes <= maxUnstaggeredNodes || b.isSuccessor { // a process that takes over starts alone
			b.requestList()
		} else {
			// The last node's call is answered before the time limit.
			b.requestListLater(0, min(b.listRefreshWithin()*2/3, time.Duration(b.settings.Nodes)*firstCallSpacing))
		}
	}
	full := e.Kind != ListUpdate
	if full {
		b.beginFullList(len(e.Members))
	}
	var toPlace []*server
	for _, m := range e.Members {
		if s := b.applyMember(m); s != nil {
			toPlace = append(toPlace, s)
		}
	}
	if full { // servers that a full list lacks are removed
		for _, s := range b.endFullList() {
			b.removeServer(s)
		}
	}
	b.placeServers(toPlace)
	b.dispatchQueued()
}

// applyMember applies one entry of the list. It returns the server if that must be placed anew.
func (b *Balancer) applyMember(m Member) *server {
	s := b.findListed(m.Server)
	if m.Availability == Removed {
		if s != nil {
			b.removeServer(s)
		}
		return nil
	}
	if s == nil || s.OnlineSince != m.OnlineSince { // new, or a new process: discard the state of the old one
		if s != nil {
			b.deleteServer(s)
		}
		s = &server{meanLatency: b.settings.Classes[0].Aim.Seconds() / 4, hash: hash(m.Server)}
		s.status = outOfService
		// A random part of a token, so that nodes that learn of a cold server together don't all send at
		// once.
		s.cold = coldBudget{tokens: b.rng.Float64(), lastRefill: b.now}
		b.servers[m.Server] = s
	} else if _, remembered := b.unclaimedMemory[m.Server]; s.Member == m && !remembered {
		b.markListed(s)
		return nil
	}
	b.markListed(s)
	b.leaveService(s)
	s.Member = m
	if m.Weight > 0 {
		s.size = max(s.size, m.Weight)
	} else if s.size == 0 {
		s.size = 1
	}
	old := s.group
	s.group = b.joinGroup(s)
	if old != nil {
		b.leaveGroup(old)
	}
	s.Kind, s.Zone = s.group.kind, s.group.zone // share one string within a group
	b.restoreServer(s)
	return s
}

// removeServer removes a server that left the list; its attempts in flight still end.
func (b *Balancer) removeServer(s *server) {
	b.deleteServer(s)
	s.Availability = Removed
}

// placeServers puts servers into the packing order: own zone first, since crossing zones costs, then by id,
// each set from where this node's walk begins. Draining servers are left out at once, well within the drain
// grace of rule 3 (graceful drain). New servers draw their random initial state in packing order, once all
// are placed.
func (b *Balancer) placeServers(toPlace []*server) {
	slices.SortFunc(toPlace, func(x, y *server) int { return cmp.Compare(x.Server, y.Server) })
	var newServers []*server
	for _, s := range toPlace {
		if s.inService || s.delisted || s.Availability != Running { // the list names some servers more than once
			continue
		}
		b.enterService(s)
		if s.threshold == 0 {
			newServers = append(newServers, s)
		}
	}
	b.fleet.ownZone.setWalkStart(b.walkOffset(b.fleet.ownZone.serving.len()))
	b.fleet.otherZones.setWalkStart(b.walkOffset(b.fleet.otherZones.serving.len()))
	slices.SortFunc(newServers, b.comparePacking)
	for _, s := range newServers {
		s.threshold = b.initialThreshold(s)
		s.lastSend = b.now - seconds(b.rng.Float64()*s.meanLatency/s.threshold)
		b.updateStatus(s)
	}
}

func (b *Balancer) staggered() bool { return b.settings.Nodes > maxUnstaggeredNodes }

// walkOffset returns where in a set of n servers this node's walk begins: at a position of its own if there
// are many nodes, else at 0. Multiples of the golden ratio are evenly spread for any subset of the nodes that
// share a zone.
func (b *Balancer) walkOffset(n int) int {
	if !b.staggered() {
		return 0
	}
	_, at := math.Modf(float64(b.settings.Node) / math.Phi)
	return int(at * float64(n))
}
