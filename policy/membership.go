package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Membership: following the list of servers.

const (
	newsLatest = 6 * time.Second       // whatever discovery has to tell counts as told by then
	askPart    = 4                     // of that, the mean wait before the list is asked for again
	askApart   = 50 * time.Millisecond // mean time between two nodes' first calls: all may start at once
)

// askWithin is how soon the list has to be heard where there is no news of it.
func (b *Balancer) askWithin() time.Duration {
	if within := b.set.Rules.AskWithin; within > 0 {
		return min(newsLatest, within)
	}
	return newsLatest
}

func (b *Balancer) askList() { b.do(Action{Kind: WatchList, On: true}) }

// askLater asks for the list at a random time in the given span from now, so that nodes don't ask in step:
// discovery serves few calls at a time, and those that wait too long fail and come again.
func (b *Balancer) askLater(from, span time.Duration) {
	b.do(Action{Kind: SetTimer, Wait: from + time.Duration(b.rng.Float64()*float64(span)), Token: listToken})
}

func (b *Balancer) onList(e MemberList) {
	switch {
	case e.Kind == ListUnavailable:
		mean := b.askWithin() / askPart // each time: discovery may be back any moment, and it counts from then
		b.askLater(mean/2, mean)
		return
	case e.Kind == ListRestored && b.set.Subscribe:
		if b.set.Nodes <= manyNodes || b.succeeds { // one that takes over does so alone
			b.askList()
		} else {
			// By the time that it counts, the last answer has come.
			b.askLater(0, min(b.askWithin()*2/3, time.Duration(b.set.Nodes)*askApart))
		}
	}
	whole := e.Kind != ListUpdate
	if whole {
		b.startRoll(len(e.Members))
	}
	var entering []*server
	for _, m := range e.Members {
		if s := b.listed(m); s != nil {
			entering = append(entering, s)
		}
	}
	if whole { // what a full list lacks is gone
		for _, s := range b.endRoll() {
			b.drop(s)
		}
	}
	b.reorder(entering)
	b.release()
}

// listed takes over one entry of the list. It returns the server if that has to find its place anew.
func (b *Balancer) listed(m Member) *server {
	s := b.find(m.Server)
	if m.Availability == Removed {
		if s != nil {
			b.drop(s)
		}
		return nil
	}
	if s == nil || s.OnlineSince != m.OnlineSince { // new, or a new process: forget the old one
		if s != nil {
			b.forget(s)
		}
		s = &server{latency: b.set.Classes[0].Aim.Seconds() / 4, hash: hash(m.Server)}
		s.status = noStatus
		// A random part of a token, so that nodes who hear of a cold server together don't all send.
		s.cold = coldBudget{tokens: b.rng.Float64(), last: b.now}
		b.servers[m.Server] = s
	} else if _, told := b.restored[m.Server]; s.Member == m && !told {
		b.enrol(s)
		return nil
	}
	b.enrol(s)
	b.leave(s)
	s.Member = m
	old := s.group
	s.group = b.groupOf(s)
	if old != nil {
		b.quit(old)
	}
	s.Kind, s.Zone = s.group.kind, s.group.zone // one string for all of a group
	b.restore(s)
	return s
}

// drop forgets a server that is gone; attempts that are out there still end.
func (b *Balancer) drop(s *server) {
	b.forget(s)
	s.Availability = Removed
}

// reorder brings servers to their places in the packing order: own zone first, since crossing costs, then
// by id, each part from where this node's walk begins. Draining servers are left out at once, well within
// the grace of the third rule. New ones draw their start in packing order, once all have a place.
func (b *Balancer) reorder(entering []*server) {
	slices.SortFunc(entering, func(x, y *server) int { return cmp.Compare(x.Server, y.Server) })
	var fresh []*server
	for _, s := range entering {
		if s.in || s.gone || s.Availability != Running { // listed more than once
			continue
		}
		b.enter(s)
		if s.threshold == 0 {
			fresh = append(fresh, s)
		}
	}
	b.fleet.own.turn(b.stagger(b.fleet.own.serving.len()))
	b.fleet.others.turn(b.stagger(b.fleet.others.serving.len()))
	slices.SortFunc(fresh, b.packed)
	for _, s := range fresh {
		s.threshold = b.start(s)
		s.lastSend = b.now - seconds(b.rng.Float64()*s.latency/s.threshold)
		b.refresh(s)
	}
}

func (b *Balancer) staggered() bool { return b.set.Nodes > manyNodes }

// stagger is where in a part of n servers this node's walk begins: at its own place, where nodes are many.
// Steps of the golden ratio lie evenly whichever of the nodes share a zone.
func (b *Balancer) stagger(n int) int {
	if !b.staggered() {
		return 0
	}
	_, at := math.Modf(float64(b.set.Node) / math.Phi)
	return int(at * float64(n))
}
