package node

import (
	"sync/atomic"
	"time"
)

// Load shedding by the event loop's lag. An overloaded node, whatever the cause, refuses new requests once all of them
// have waited longer than shedTarget for the loop, instead of letting them wait until their deadlines. The rule follows
// CoDel (Nichols and Jacobson, 2012, RFC 8289) as servers use it for requests: the minimum queueing delay over an interval
// distinguishes a standing queue from a burst. While there is a standing queue, every request that waited too long is
// refused.
const (
	// shedTarget is the longest acceptable wait of a request for the loop while there is a standing queue.
	shedTarget = 20 * time.Millisecond
	// shedInterval is how long all requests must have waited longer than shedTarget before any is refused. A process that
	// was suspended for 0.15 s (STANDING) has no standing queue when it continues: it handles what arrived in the meantime.
	shedInterval = 100 * time.Millisecond
	// shedDuration is how long new requests are refused on arrival after the loop last refused one that waited too long.
	shedDuration = 50 * time.Millisecond
)

// shedder decides which requests are refused because of the loop's lag. The loop reports each request's wait to observe;
// any goroutine may call shouldRefuse.
type shedder struct {
	aboveSince       time.Time    // since when all requests have waited too long; zero: the last one has not
	refuseUntil      atomic.Int64 // until when requests are refused on arrival, in nanoseconds since origin
	origin           time.Time
	refusedAtArrival atomic.Int64 // requests refused on arrival since the last summary
}

// Reasons for refusals without the decision module, in the log and as labels of wayhold_refusals_total.
const (
	reasonLoopLag          = "loop lag"            // the request waited too long for the loop
	reasonLoopLagAtArrival = "loop lag at arrival" // earlier requests had waited too long
	reasonLoopLate         = "loop late"           // the request timed out before the loop responded
	reasonStopping         = "stopping"            // the process is shutting down
)

func newShedder() *shedder { return &shedder{origin: time.Now()} }

// observe records that the loop took a request from the queue at now, after it had waited there for the given time, and
// reports whether to refuse it.
func (s *shedder) observe(now time.Time, waited time.Duration) bool {
	if waited <= shedTarget {
		s.aboveSince = time.Time{}
		return false
	}
	if s.aboveSince.IsZero() {
		s.aboveSince = now
		return false
	}
	if now.Sub(s.aboveSince) < shedInterval {
		return false
	}
	s.refuseUntil.Store(int64(now.Add(shedDuration).Sub(s.origin)))
	return true
}

// shouldRefuse reports whether to refuse a request on arrival, given when the oldest waiting request was queued (zero: none
// waits). The request would queue behind others that are too late already.
func (s *shedder) shouldRefuse(now, oldest time.Time) bool {
	return !oldest.IsZero() && now.Sub(oldest) > shedTarget && int64(now.Sub(s.origin)) < s.refuseUntil.Load()
}
