package node

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// phase is where a node's process stands in its life.
type phase int32

// The phases, in the order in which most processes go through them.
const (
	starting phase = iota // the servers are not known yet
	active
	standby // clients are sent away, but the process runs on and may become active again
	leaving // the process was told to end; who is here is still served as before
	closing // nobody new is taken in, and answers end their connections
)

func (p phase) String() string {
	return [...]string{"starting", "active", "standby", "leaving", "closing"}[p]
}

const (
	// noticeFor is how long a node in standby still serves as before: the front asks ten times a second
	// and then takes 0.2 s to send nobody new.
	noticeFor = 600 * time.Millisecond
	// hangUpEvery is the time between two looks for connections to close while clients are sent away.
	hangUpEvery = 100 * time.Millisecond
)

var errEnding = errors.New("this process is ending, and takes no clients again")

// lifecycle is the one owner of readiness, and of when the clients' connections are ended. SIGTERM and
// the operators' standby go the same way: the node says that it isn't ready and serves as before while
// the front takes notice; from then on answers end their connections, and those without a request are
// closed.
type lifecycle struct {
	now    atomic.Int32 // the phase
	hangUp atomic.Bool  // answers end their connections
	// closeIdle closes client connections that are without a request.
	closeIdle func(time.Time)
	// noteStandby is told when standby begins and ends; nil: nobody need know.
	noteStandby func(on bool)

	mu     sync.Mutex
	loaded bool // the servers are known
	turn   int  // the last time that clients began to be sent away, or taken again; older timers do nothing
}

func (l *lifecycle) phase() phase { return phase(l.now.Load()) }

// ready tells whether the front may send clients.
func (l *lifecycle) ready() bool { return l.phase() == active }

// endsConnections tells whether an answer is to be its connection's last.
func (l *lifecycle) endsConnections() bool { return l.hangUp.Load() }

func (l *lifecycle) enter(p phase) {
	if old := phase(l.now.Swap(int32(p))); old != p {
		slog.Info("phase", "now", p, "before", old)
	}
}

// load notes that the servers are known, with which the start ends.
func (l *lifecycle) load() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded = true
	if l.phase() == starting {
		l.enter(active)
	}
}

// standBy sends clients away. It may be said again, and a process that ends does so anyway.
func (l *lifecycle) standBy() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase() < standby {
		l.enter(standby)
		l.note(true)
		l.sendAway(noticeFor)
	}
}

// follow has noteStandby told from now on, and at once of a standby that began before.
func (l *lifecycle) follow(noteStandby func(on bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteStandby = noteStandby
	if l.phase() == standby {
		l.note(true)
	}
}

func (l *lifecycle) note(on bool) {
	if l.noteStandby != nil {
		l.noteStandby(on)
	}
}

// activate takes clients again.
func (l *lifecycle) activate() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.phase() > standby:
		return errEnding
	case l.phase() < standby:
		return nil
	}
	l.turn++
	l.hangUp.Store(false)
	l.note(false)
	if l.loaded {
		l.enter(active)
	} else {
		l.enter(starting)
	}
	return nil
}

// leave begins the end: clients are served as before for the given time, unless they were being sent
// away already.
func (l *lifecycle) leave(notice time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.phase()
	l.enter(leaving)
	if was != standby {
		l.sendAway(notice)
	}
}

// close is the end's second part: from here on nobody new is taken in.
func (l *lifecycle) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(closing)
	l.sendAway(0)
}

// sendAway ends the clients' connections after a while, and goes on doing so until a newer turn.
func (l *lifecycle) sendAway(after time.Duration) {
	l.turn++
	turn := l.turn
	if after <= 0 {
		l.hangUp.Store(true)
	}
	time.AfterFunc(after, func() { l.sweep(turn) })
}

func (l *lifecycle) sweep(turn int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if turn != l.turn {
		return
	}
	l.hangUp.Store(true)
	if l.closeIdle != nil {
		l.closeIdle(time.Now())
	}
	time.AfterFunc(hangUpEvery, func() { l.sweep(turn) })
}

// end stops the sweeps.
func (l *lifecycle) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn++
}
