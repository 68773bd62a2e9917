package node

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// phase is a phase in the life of a node's process.
type phase int32

// The phases, in the order in which most processes go through them. The front, here and throughout this package, is the
// load balancer that distributes the clients over the nodes; it sends new clients only to nodes whose /health/ready
// reports that they are ready.
const (
	starting phase = iota // no servers are known yet
	active
	standby // the front sends clients to other nodes; the process keeps running and may become active again
	leaving // the process is to stop; connections are still accepted and served as before
	closing // no new connections are accepted, and answers close their connections
)

func (p phase) String() string {
	return [...]string{"starting", "active", "standby", "leaving", "closing"}[p]
}

const (
	// standbyNotice is how long a node in standby still serves as before: the front checks readiness ten times a second,
	// and then takes 0.2 s to stop sending new clients.
	standbyNotice = 600 * time.Millisecond
	// closeIdleInterval is the interval at which idle connections are closed while clients are being drained.
	closeIdleInterval = 100 * time.Millisecond
)

var errStopping = errors.New("this process is ending, and takes no clients again")

// lifecycle alone decides whether the node is ready and when client connections are closed. SIGTERM and the operators'
// standby have the same effect: the node reports that it isn't ready, and serves as before until the front has noticed.
// From then on responses close their connections, and connections without a request are closed.
type lifecycle struct {
	current          atomic.Int32 // a phase
	closeAfterAnswer atomic.Bool  // responses close their connections
	// closeIdle closes client connections that have no request.
	closeIdle func(time.Time)
	// recordStandby is called when standby begins and ends; may be nil.
	recordStandby func(on bool)

	mu           sync.Mutex
	serversKnown bool // the starting phase has ended, so activate returns to active
	generation   int  // incremented when draining begins or ends; timers of older generations do nothing
}

func (l *lifecycle) phase() phase { return phase(l.current.Load()) }

// ready reports whether the front may send new clients.
func (l *lifecycle) ready() bool { return l.phase() == active }

// closesAfterAnswer reports whether a response closes its connection.
func (l *lifecycle) closesAfterAnswer() bool { return l.closeAfterAnswer.Load() }

func (l *lifecycle) setPhase(p phase) {
	if old := phase(l.current.Swap(int32(p))); old != p {
		slog.Info("phase", "now", p, "before", old)
	}
}

// markServersKnown records that the servers are known, which ends the starting phase.
func (l *lifecycle) markServersKnown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serversKnown = true
	if l.phase() == starting {
		l.setPhase(active)
	}
}

// enterStandby begins to drain clients. It has no effect in standby, or if the process is stopping.
func (l *lifecycle) enterStandby() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase() < standby {
		l.setPhase(standby)
		l.notifyStandby(true)
		l.drainClients(standbyNotice)
	}
}

// setStandbyRecorder sets recordStandby, and calls it at once if the node is in standby already.
func (l *lifecycle) setStandbyRecorder(recordStandby func(on bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordStandby = recordStandby
	if l.phase() == standby {
		l.notifyStandby(true)
	}
}

func (l *lifecycle) notifyStandby(on bool) {
	if l.recordStandby != nil {
		l.recordStandby(on)
	}
}

// activate ends standby.
func (l *lifecycle) activate() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.phase() > standby:
		return errStopping
	case l.phase() < standby:
		return nil
	}
	l.generation++
	l.closeAfterAnswer.Store(false)
	l.notifyStandby(false)
	if l.serversKnown {
		l.setPhase(active)
	} else {
		l.setPhase(starting)
	}
	return nil
}

// beginLeaving begins the shutdown. Clients are served as before for the given time, unless they are being drained
// already.
func (l *lifecycle) beginLeaving(notice time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.phase()
	l.setPhase(leaving)
	if previous != standby {
		l.drainClients(notice)
	}
}

// beginClosing begins the second part of the shutdown, in which no new clients are accepted.
func (l *lifecycle) beginClosing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setPhase(closing)
	l.drainClients(0)
}

// drainClients begins to close client connections after the given time, and continues until the generation changes.
func (l *lifecycle) drainClients(after time.Duration) {
	l.generation++
	generation := l.generation
	if after <= 0 {
		l.closeAfterAnswer.Store(true)
	}
	time.AfterFunc(after, func() { l.closeIdleLoop(generation) })
}

func (l *lifecycle) closeIdleLoop(generation int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if generation != l.generation {
		return
	}
	l.closeAfterAnswer.Store(true)
	if l.closeIdle != nil {
		l.closeIdle(time.Now())
	}
	time.AfterFunc(closeIdleInterval, func() { l.closeIdleLoop(generation) })
}

// stopDraining stops closing client connections.
func (l *lifecycle) stopDraining() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
}
