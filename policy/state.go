package policy

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// The state of a node; this file makes no decisions.

// Balancer makes the decisions of one node. It isn't safe for concurrent use. Create it with New.
type Balancer struct {
	settings             Settings
	now                  Time
	rng                  *rand.Rand
	actions              []Action
	classes              map[string]*class
	tenants              map[string]Limit
	classList            []*class // in the order of the settings
	defaultLimit         *Limit   // for tenants without a quota; nil: no limit
	buckets              map[bucketKey]*bucket
	evictionRing         bucketRing
	pace                 float64 // factor on all bucket rates
	sharedThresholdScale float64 // factor on the thresholds of servers that get most of their work from other nodes
	fairShareScale       float64 // factor on this node's share of outstanding attempts (see atFairShare)
	fullFraction         float64 // recent fraction of full answers among the bad ones
	badFraction          float64 // recent fraction of bad answers
	faultWeight          float64 // weight of an error or a reset; below 1 if other servers have them too
	timeoutFraction      float64 // recent fraction of timeouts among all answers but full ones
	bucketRefused        bool    // a bucket refused a request since the last adjustPace
	processCount         int     // number of processes of this node
	trialBudget          float64 // number of trials of ejected servers that may still fail; each request adds trialFraction
	servers              map[string]*server
	requests             map[string]*request
	queue                requestQueue  // requests that wait for a server
	queueTimerSet        bool          // the timer of the queue is set
	attemptBudget        AttemptBudget // for attempts beyond the first of each request
	uncountedExtra       float64       // fraction of an extra attempt that is not in recentExtra yet
	recentRequests       []Time        // arrivals of requests within the span of attemptBudget, oldest first
	recentExtra          []Time        // attempts beyond the first of a request within that span
	decayedAnswerRate    float64       // answers per second, as of answerRateAt
	answerRateAt         Time
	warmRates            map[string]float64      // requests per second that the mean warm server of each kind serves, from load reports
	warmSizeRates        map[string]float64      // the same for a server of size 1, by the sizes in the list
	coreUse              float64                 // recent fraction of the servers' cores in use, from load reports
	unclaimedMemory      map[string]ServerMemory // from the previous process, for servers that are not listed yet
	isSuccessor          bool                    // this process took over from one that was alive at its start
	lossByIdleTime       [6]float64              // fraction of lost sends, by idleOctave
	maxDeadline          time.Duration           // longest deadline of any class
	recentlyUsed         list.List               // every *server that was ever sent an attempt, most recently used first
	serverIndex
}

// class is a request class with its learned state.
type class struct {
	Class
	eligible          *pool // servers that it may be sent to
	index             int
	lastFirstTryWait  time.Duration // how long the client of the last first try would wait
	tailLatency       time.Duration // estimate of a high latency quantile
	slowChecks        []slowCheck   // checks of attempts for slowness, oldest first
	slowCheckTimerSet bool          // the timer for the first of slowChecks is set
}

// server is a listed server as this node sees it.
type server struct {
	Member
	indexEntry
	size             float64 // the largest weight that the list has given it, since some weights fall with the load; 1 if it gives none
	hash             uint64
	inFlight         int                // this node's attempts in flight
	abandoned        []abandonedAttempt // attempts given up that the server may still work on
	threshold        float64            // packing threshold, in attempts in flight
	inOwnZone        bool               // in this node's zone, as of when it last entered service
	thresholdCut     bool               // the threshold was lowered at least once
	connLastUsed     []Time             // entry i: when i+1 connections were last in use at once
	recentlyUsedElem *list.Element      // entry in Balancer.recentlyUsed; nil: it was sent nothing
	lastSend         Time
	coldCapacity     float64 // requests per second that it can take while cold, from its last load report; 0 if unknown
	lastAnswer       Time    // when it last gave any answer
	busySince        Time    // since when it has always had attempts in flight
	meanLatency      float64 // mean, in seconds
	faultRate        float64 // recent fraction of errors and resets among its outcomes
	health           health
	cold             coldBudget
}

// request is a client request, kept until it is answered and its attempts have ended.
type request struct {
	id          string
	class       *class
	deadline    Time
	usefulUntil Time   // answers after this have no worth
	refuseAt    Time   // when it is refused if it is still queued
	keyHash     uint64 // hash of the request's key; 0 for none
	attempts    []attempt
	inFlight    int
	firstRun    *attempt // the first attempt that may have run
	ended       bool     // the final answer is given
	streaming   bool     // the answer has begun
	wasQueued   bool     // it was queued at least once
	queueEntry  queueEntry
}

// abandonedAttempt is an attempt that was given up and that the server may work on until the given time.
type abandonedAttempt struct{ sent, until Time }

type attempt struct {
	server     *server
	sent       Time
	ended      bool
	notRun     bool // the outcome proved that it never ran
	trial      bool
	idleOctave int // octave of the connection's idle time; 0 for one in use
}

// slowCheck is a check, due at the given time, whether an attempt is still in flight.
type slowCheck struct {
	req     *request
	attempt int
	due     Time
}

// health is the state of a server's circuit breaker.
type health struct {
	score        float64
	ejected      bool // ejected, or half-open after ejectedUntil
	hung         bool // ejected for not answering, not for its answers
	ejectedUntil Time
	ejections    int // consecutive ejections
	goodTrials   int // consecutive successful trials
	trialPending bool
}

// coldBudget is a token bucket with fractional tokens, refilled at the rate at which this node may send to
// the server.
type coldBudget struct {
	tokens     float64
	lastRefill Time
	rate       float64 // requests per second, as of then; 0 if not known yet
}

// updateAverage adds a sample to an exponentially weighted fraction of hits.
func updateAverage(average *float64, weight float64, hit bool) {
	*average -= weight * *average
	if hit {
		*average += weight
	}
}

// dropBefore removes the leading times that are before from.
func dropBefore(times []Time, from Time) []Time {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// hash returns the same value on every node.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	maxLoggedServers = 200             // most servers in the log line; of a larger fleet, only those that matter
	recentlyUsedFor  = 5 * time.Second // how long a server matters after its last answer: the interval of the log line
)

// String returns the state behind the decisions in one line for the log: the bucket pace, the rates that
// failures are weighed by, and for each server in service its attempts in flight, scaled threshold and breaker.
// Of many servers it names only those that have attempts in flight, answered recently or are ejected, and it
// counts the others.
func (b *Balancer) String() string {
	var t strings.Builder
	fmt.Fprintf(&t, "pace=%.2f bad=%.2f full=%.2f lost=%.2f blame=%.2f held=%d extra=%d", b.pace, b.badFraction,
		b.fullFraction, b.timeoutFraction, b.faultWeight, b.queue.len(), len(b.recentExtra))
	listed, otherBusy := b.loggedServers()
	ejected := b.fleet.ejectedCount
	for _, s := range listed {
		fmt.Fprintf(&t, " %s=%d/%.1f", s.Server, s.inFlight, b.scaledThreshold(s))
		if s.health.ejected {
			t.WriteString("/out")
			ejected--
		}
	}
	if omitted := b.fleet.len() - len(listed); omitted > 0 {
		fmt.Fprintf(&t, " left_out=%d idle=%d out=%d", omitted, omitted-ejected-otherBusy, ejected)
	}
	return t.String()
}

// loggedServers returns the servers for the log line in packing order, and how many more are in use and not
// ejected. It visits only recently used servers and those that it returns.
func (b *Balancer) loggedServers() (listed []*server, otherBusy int) {
	if b.fleet.len() <= maxLoggedServers {
		return slices.Collect(b.walk(&b.fleet)), 0
	}
	for e := b.recentlyUsed.Front(); e != nil; e = e.Next() {
		s := e.Value.(*server)
		recent := b.now-max(s.lastSend, s.lastAnswer) <= recentlyUsedFor
		switch {
		case !recent && b.now-s.lastSend > b.maxDeadline: // so are all that follow, and they have no attempts in flight
			return b.withEjected(listed), otherBusy
		case !s.inService || s.health.ejected || s.inFlight == 0 && (s.lastAnswer == 0 || b.now-s.lastAnswer > recentlyUsedFor):
		case len(listed) < maxLoggedServers:
			listed = append(listed, s)
		default:
			otherBusy++
		}
	}
	return b.withEjected(listed), otherBusy
}

// withEjected adds ejected servers up to maxLoggedServers, and sorts all by packing order.
func (b *Balancer) withEjected(listed []*server) []*server {
	for _, p := range []*serverSet{&b.fleet.ownZone, &b.fleet.otherZones} {
		for i := range p.ejected {
			p.ejected[i].each(nil, func(s *server) bool {
				if len(listed) < maxLoggedServers {
					listed = append(listed, s)
				}
				return len(listed) < maxLoggedServers
			})
		}
	}
	slices.SortFunc(listed, b.comparePacking)
	return listed
}

// markUsed records that s is in use.
func (b *Balancer) markUsed(s *server) {
	if s.recentlyUsedElem == nil {
		s.recentlyUsedElem = b.recentlyUsed.PushFront(s)
	} else {
		b.recentlyUsed.MoveToFront(s.recentlyUsedElem)
	}
}

// answerRate returns the recent number of answers per second.
func (b *Balancer) answerRate() float64 {
	return b.decayedAnswerRate * math.Exp(-(b.now-b.answerRateAt).Seconds()/answerRateWindow.Seconds())
}

// isFault reports whether an attempt ended by an error, or by a connection that broke or was never
// established.
func (c Code) isFault() bool { return c == ServerError || c == Reset || c == ConnectFailed }

// Memory is the state that one process of a node hands over to the next, which continues as the same node. It
// has ages in place of times, since the processes' clocks differ. The zero Memory is empty.
type Memory struct {
	Pace, Busy float64            // the pace, and the fraction of the servers' cores in use
	Rates      map[string]float64 // requests per second that the mean warm server of each kind serves
	SizeRates  map[string]float64 // the same for a server of size 1
	Buckets    []BucketMemory
	Servers    []ServerMemory
}

// BucketMemory is the level of one bucket.
type BucketMemory struct {
	Tenant, Class string
	Tokens        int64
	Age           time.Duration // since tokens were last added
}

// ServerMemory is what was learned about one process of a server.
type ServerMemory struct {
	Server           string
	Up               time.Duration // since its start; 0: long ago
	Threshold        float64
	Felt             bool    // the threshold was lowered at least once
	Latency, Faults  float64 // mean latency in seconds, and fault rate
	Takes, ColdLevel float64 // of a cold server: its capacity, and the level of its budget
	// The breaker: its score and, if the server is ejected, the reason, the time that is left, and the number
	// of consecutive ejections.
	Score     float64
	Out, Hung bool
	Rest      time.Duration
	Times     int
}

// Snapshot returns what a successor of this process should know.
func (b *Balancer) Snapshot(now Time) Memory {
	m := Memory{Pace: b.pace, Busy: b.coreUse, Rates: maps.Clone(b.warmRates), SizeRates: maps.Clone(b.warmSizeRates), Buckets: b.snapshotBuckets(now)}
	for s := range b.walk(&b.fleet) {
		l := ServerMemory{Server: s.Server, Threshold: s.threshold, Felt: s.thresholdCut, Latency: s.meanLatency,
			Faults: s.faultRate, Takes: s.coldCapacity, ColdLevel: s.cold.tokens, Score: s.health.score,
			Out: s.health.ejected, Hung: s.health.hung, Rest: s.health.ejectedUntil - now, Times: s.health.ejections}
		if s.OnlineSince > 0 {
			l.Up = now - s.OnlineSince
		}
		m.Servers = append(m.Servers, l)
	}
	return m
}

// Restore takes over the state that another process of this node recorded the given time ago; impossible
// values are ignored or limited. The state of a server applies once the list names it.
func (b *Balancer) Restore(now Time, m Memory, age time.Duration) {
	if m.Pace > 0 {
		b.pace = min(maxPace, max(minPace, m.Pace))
	}
	b.coreUse = min(1, max(0, m.Busy))
	restoreRates(b.warmRates, m.Rates)
	restoreRates(b.warmSizeRates, m.SizeRates)
	for _, k := range m.Buckets {
		l, key, ok := b.limitFor(k.Tenant, k.Class)
		if ok && key == (bucketKey{k.Tenant, k.Class}) && b.mayKeepBucket(key) {
			b.setBucket(key, min(l.Burst, max(0, k.Tokens)), now-max(0, k.Age)-max(0, age))
		}
	}
	b.isSuccessor = len(m.Servers) > 0
	b.unclaimedMemory = make(map[string]ServerMemory, len(m.Servers))
	ejected := 0
	for _, s := range m.Servers {
		if s.Out {
			ejected++
		}
	}
	for _, s := range m.Servers {
		s.Out = s.Out && float64(ejected) <= maxEjectedFraction*float64(len(m.Servers)) // a process itself ejects no more
		s.Rest -= max(0, age)
		if s.Up > 0 {
			s.Up = now - s.Up - max(0, age) // in unclaimedMemory: the time of the start
		}
		b.unclaimedMemory[s.Server] = s
	}
}

// restoreRates takes over the rates above 0.
func restoreRates(rates, recorded map[string]float64) {
	for kind, rate := range recorded {
		if rate > 0 {
			rates[kind] = rate
		}
	}
}

// startTolerance is how much two processes' times of a server's start may differ: clocks are read at
// different moments, and start times are in milliseconds.
const startTolerance = 500 * time.Millisecond

// restoreServer gives a server that is new to this process what the previous one knew of it, once.
func (b *Balancer) restoreServer(s *server) {
	m, ok := b.unclaimedMemory[s.Server]
	delete(b.unclaimedMemory, s.Server)
	if !ok || (m.Up == 0) != (s.OnlineSince == 0) || (s.OnlineSince-m.Up).Abs() > startTolerance {
		return
	}
	if m.Threshold > 0 && m.Latency > 0 {
		s.threshold, s.thresholdCut, s.meanLatency = m.Threshold, m.Felt, m.Latency
		s.faultRate = min(1, max(0, m.Faults))
	}
	s.health.score = min(1, max(0, m.Score))
	if m.Out { // its trials start over
		s.health = health{score: s.health.score, ejected: true, hung: m.Hung, ejections: max(0, m.Times),
			ejectedUntil: b.now + min(maxEjectionTime, max(0, m.Rest))}
	}
	s.coldCapacity = max(0, m.Takes)
	s.cold.tokens = min(0, m.ColdLevel) // never above 0, since the other process may still send
}
