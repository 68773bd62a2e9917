package node

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cobaltward/internal/discovery"
)

// sharedLimits divides the node's limits between its two processes during a handover, so that both together stay within
// them.
type sharedLimits struct {
	*handover
	loop      *loop
	lifecycle *lifecycle
	clients   *clientListener
	upstream  *upstream

	clientSockets, serverSockets int // limits of a process that runs alone
	reservedSockets              int // descriptors that each process needs for itself

	predecessorRevision int64 // list revision last taken over from the predecessor
	heapHalved          bool
	lastWrite           time.Time
	writeDuration       time.Duration // time to collect and write the last snapshot
	writeFailing        bool          // the last write failed
}

// joinLater retries joining the handover folder, and then calls run. Until it has joined, the process uses the limits of a
// process that runs alone.
func (s *sharedLimits) joinLater(ctx context.Context, dir string, joined *atomic.Pointer[handover]) {
	tick := time.NewTicker(snapshotInterval)
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
		slog.Info("handover: joined late", "before", h.predecessor)
		s.handover = h
		joined.Store(h)
		s.lifecycle.setStandbyRecorder(h.recordStandby)
		s.run(ctx)
		return
	}
}

// run adjusts the limits and writes snapshots for a successor until ctx ends.
func (s *sharedLimits) run(ctx context.Context) {
	tick := time.NewTicker(processCheckInterval)
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

// step looks for the other process, sets the limits accordingly, and writes a snapshot when one is due.
func (s *sharedLimits) step(now time.Time) {
	hasSuccessor, hasPredecessor := s.hasSuccessor(), s.predecessorAlive()
	s.retryStandby()
	_ = s.keepSharedIDs(s.loop) // logged at the start; tried again at the next step
	s.adjustHeapLimit(hasPredecessor || hasSuccessor)
	switch {
	case hasPredecessor:
		predecessor, err := s.readSnapshot(s.predecessor, now)
		if err != nil { // assume half until its snapshot can be read
			predecessor.Clients, predecessor.Servers = s.clientSockets/2, s.serverSockets/2
		} else if predecessor.Revision != s.predecessorRevision { // apply the list that the predecessor received
			s.predecessorRevision = predecessor.Revision
			s.loop.send(predecessorList{discovery.List{Revision: predecessor.Revision, Complete: true, Members: predecessor.Members}})
		}
		s.clients.setBaseLimit(max(minConnsPerSide, s.clientSockets-predecessor.Clients-s.reservedSockets/2))
		s.upstream.setMaxOpenConns(max(minConnsPerSide, s.serverSockets-predecessor.Servers-s.reservedSockets/2))
	case hasSuccessor:
		s.limitAsPredecessor()
	default:
		s.clients.setBaseLimit(s.clientSockets)
		s.upstream.setMaxOpenConns(s.serverSockets)
	}
	if hasSuccessor || now.Sub(s.lastWrite) >= s.writeInterval() {
		s.lastWrite = now
		defer func() { s.writeDuration = time.Since(now) }()
		if err := s.writeSnapshot(s.snapshot(now)); err != nil {
			if !s.writeFailing {
				slog.Warn("handover: writing the snapshot for a successor failed", "err", err)
			}
			s.writeFailing = true
		} else {
			s.writeFailing = false
		}
	}
}

// writeInterval returns the time between two snapshots. With many servers and tenants a snapshot takes long to write, so the
// interval grows with that time, and snapshots use only a small fraction of the CPU. It stays below maxSnapshotAge, after
// which a snapshot expires.
func (s *sharedLimits) writeInterval() time.Duration {
	return min(maxSnapshotAge/2, max(snapshotInterval, snapshotCostFactor*s.writeDuration))
}

// limitAsPredecessor sets the limits of this process while it has a successor: to half of each until it begins to close,
// then to 0, but never below its open client connections and the server connections that these need.
func (s *sharedLimits) limitAsPredecessor() {
	clients, servers := s.clientSockets/2, s.serverSockets/2
	if s.lifecycle.phase() == closing {
		clients, servers = 0, 0
	}
	open := s.clients.openCount()
	s.clients.setBaseLimit(max(clients, open))
	s.upstream.setMaxOpenConns(max(servers, open+minConnsPerSide))
}

// adjustHeapLimit halves the heap limit while there are two processes, restores it afterwards, and notifies the loop of the
// number of processes.
func (s *sharedLimits) adjustHeapLimit(twoProcesses bool) {
	if twoProcesses == s.heapHalved {
		return
	}
	s.heapHalved = twoProcesses
	limit, n := debug.SetMemoryLimit(-1), 1
	if twoProcesses {
		limit /= 2
		n = 2
	} else {
		limit *= 2
	}
	s.loop.send(processCount(n))
	debug.SetMemoryLimit(limit)
	slog.Info("handover", "two_processes", twoProcesses, "heap_limit", limit)
}

// snapshot returns what a successor takes over.
func (s *sharedLimits) snapshot(now time.Time) snapshot {
	state := s.loop.snapshot()
	state.Saved, state.Standby = now, s.lifecycle.phase() == standby
	state.Clients, state.Servers = s.clients.currentBaseLimit(), s.upstream.openConnLimit()
	return state
}
