package node

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cobaltward/internal/discovery"
)

// shared is what the two processes of a node divide while there are two: each works within its own part, so
// that together they stay within the node's limits.
type shared struct {
	*handover
	loop    *loop
	life    *lifecycle
	clients *clients
	up      *upstream

	clientSockets, serverSockets int // of a process that is alone
	ownSockets                   int // what each needs for itself

	heard     int64 // the revision of its list that was last taken over
	halved    bool
	wrote     time.Time
	writeTook time.Duration // the last snapshot, with its way to the file
	failing   bool          // the last write did
}

// joinLater enters the folder once it works again, and shares the limits from then on. Until then the process holds to
// those of one that is alone.
func (s *shared) joinLater(ctx context.Context, dir string, joined *atomic.Pointer[handover]) {
	tick := time.NewTicker(snapshotEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		h, err := join(dir)
		if err != nil {
			continue
		}
		defer h.leave()
		slog.Info("handover: joined late", "before", h.before)
		s.handover = h
		joined.Store(h)
		s.life.follow(h.noteStandby)
		s.run(ctx)
		return
	}
}

// run keeps to the limits, and leaves word for a successor, until ctx ends.
func (s *shared) run(ctx context.Context) {
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	for {
		s.step(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *shared) step(now time.Time) {
	next, before := s.succeeded(), s.beforeLives()
	s.noteAgain()
	s.halve(before || next)
	switch {
	case before:
		old, err := s.read(s.before, now)
		if err != nil { // its word counts once it has one
			old.Clients, old.Servers = s.clientSockets/2, s.serverSockets/2
		} else if old.Revision != s.heard { // what it was told, this node was told
			s.heard = old.Revision
			s.loop.send(restoredSnapshot{discovery.List{Revision: old.Revision, Complete: true, Members: old.Members}})
		}
		s.clients.bound(max(leastOfEach, s.clientSockets-old.Clients-s.ownSockets/2))
		s.up.bound(max(leastOfEach, s.serverSockets-old.Servers-s.ownSockets/2))
	case next:
		s.giveWay()
	default:
		s.clients.bound(s.clientSockets)
		s.up.bound(s.serverSockets)
	}
	if next || now.Sub(s.wrote) >= s.writeAfter() {
		s.wrote = now
		defer func() { s.writeTook = time.Since(now) }()
		if err := s.write(s.snapshot(now)); err != nil {
			if !s.failing {
				slog.Warn("handover: nothing is left to a successor", "err", err)
			}
			s.failing = true
		} else {
			s.failing = false
		}
	}
}

// writeAfter is how long after a snapshot the next one is written: the more servers and tenants there are, the longer one takes, and
// all together may take a small part of the time. A snapshot is of use for snapshotFor.
func (s *shared) writeAfter() time.Duration {
	return min(snapshotFor/2, max(snapshotEvery, snapshotApart*s.writeTook))
}

// giveWay keeps an old process to what it has open: to half until it is told to end, and from then on
// to what its clients still need.
func (s *shared) giveWay() {
	clients, servers := s.clientSockets/2, s.serverSockets/2
	if s.life.phase() == closing {
		clients, servers = 0, 0
	}
	open := s.clients.left()
	s.clients.bound(max(clients, open))
	s.up.bound(max(servers, open+leastOfEach))
}

// halve divides the heap while there are two processes.
func (s *shared) halve(two bool) {
	if two == s.halved {
		return
	}
	s.halved = two
	limit, n := debug.SetMemoryLimit(-1), 1
	if two {
		limit /= 2
		n = 2
	} else {
		limit *= 2
	}
	s.loop.send(processes(n))
	debug.SetMemoryLimit(limit)
	slog.Info("handover", "two_processes", two, "heap_limit", limit)
}

func (s *shared) snapshot(now time.Time) snapshot {
	l := s.loop.snapshot()
	l.Saved, l.Standby = now, s.life.phase() == standby
	l.Clients, l.Servers = s.clients.bounded(), s.up.bounded()
	return l
}
