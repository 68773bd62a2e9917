package node

import (
	"sync/atomic"
	"time"
)

// Shedding by the loop's own lag. A node that gets more than it can work through, whatever the cause, turns new
// requests away as soon as they wait for longer than shedTarget all the time, and not only once their time is up. The
// rule is that of CoDel (Nichols and Jacobson, 2012, RFC 8289) as servers use it for requests: a standing queue is told from
// a burst by the least time that anything waited in an interval. Every request that waited too long is refused then.
const (
	// shedTarget is how long a request may wait for the loop while there is a standing queue.
	shedTarget = 20 * time.Millisecond
	// shedInterval is how long all requests must have waited for longer than that before any is turned away. A process that is
	// held up for 0.15 s (STANDING) and goes on has no standing queue: it works off what came meanwhile.
	shedInterval = 100 * time.Millisecond
	// shedFor is how long new requests are refused without waiting for the loop after the last that waited too long.
	shedFor = 50 * time.Millisecond
)

// shedder decides which requests are turned away for the loop's lag. The loop tells it how long each has waited; any
// goroutine may ask.
type shedder struct {
	above     time.Time    // when requests began to wait too long without a break; zero: the last one did not
	until     atomic.Int64 // up to when new ones are refused, in nanoseconds since origin
	origin    time.Time
	atArrival atomic.Int64 // requests refused without waiting for the loop, since the last summary
}

// Reasons for which the node refuses requests by itself, in the log and as labels of wayhold_refusals_total.
const (
	shedForLag    = "loop lag"            // it waited for the loop for too long
	shedAtArrival = "loop lag at arrival" // others before it had
	shedForTime   = "loop late"           // its time was up before the loop had an answer
	endedByStop   = "stopping"            // the process ends
)

func newShedder() *shedder { return &shedder{origin: time.Now()} }

// took notes that the loop has taken a request up at a moment, which had waited for so long. It reports whether that is to be
// turned away.
func (s *shedder) took(now time.Time, waited time.Duration) bool {
	if waited <= shedTarget {
		s.above = time.Time{}
		return false
	}
	if s.above.IsZero() {
		s.above = now
		return false
	}
	if now.Sub(s.above) < shedInterval {
		return false
	}
	s.until.Store(int64(now.Add(shedFor).Sub(s.origin)))
	return true
}

// refuses tells whether a request that comes now is turned away at once, the oldest that waits having been handed in
// then (zero: none waits). It would stand behind others that are too late already.
func (s *shedder) refuses(now, oldest time.Time) bool {
	return !oldest.IsZero() && now.Sub(oldest) > shedTarget && int64(now.Sub(s.origin)) < s.until.Load()
}
