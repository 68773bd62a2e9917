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

// The state that the decisions keep; no decisions here.

// Balancer is one node's decisions. It isn't safe for concurrent use. Make one with New.
type Balancer struct {
	set        Settings
	now        Time
	rng        *rand.Rand
	out        []Action
	classes    map[string]*class
	tenants    map[string]Limit
	ranked     []*class // in the order of the settings
	other      *Limit   // for tenants without a quota; nil: no limit
	buckets    map[bucketKey]*bucket
	lookedAt   bucketRing
	pace       float64 // scale of all bucket rates
	trust      float64 // scale of the thresholds of servers that other nodes mostly use
	ease       float64 // scale of what this node may have out where nodes are many, by late answers
	fullPart   float64 // part of full answers among the bad ones lately
	bad        float64 // part of bad answers lately
	blame      float64 // part of its weight that an error or a reset has, as others have them too
	lost       float64 // part of time-outs among all but full answers lately
	refused    bool    // a bucket refused since the last choice
	processes  int     // of this node
	trials     float64 // bad trials of ejected servers that may yet be made
	servers    map[string]*server
	reqs       map[string]*request
	queue      requestQueue // of those that wait for a usable server
	queueTimer bool         // the hold timer is set
	budget     Budget       // of attempts beyond the first of each request
	owed       float64      // part of an attempt not yet booked
	took       []Time       // requests taken in the span of the budget of attempts, oldest first
	extra      []Time       // attempts beyond a request's first in it
	done       float64      // answers a second, as of doneAt
	doneAt     Time
	rates      map[string]float64      // requests a second that warm servers of each kind serve, by their reports
	busy       float64                 // part of their cores that servers use lately, by their reports
	restored   map[string]ServerMemory // by the process before, of servers not listed yet
	succeeds   bool                    // a process of this node came before, and was alive at the start
	silent     [6]float64              // part of sends unanswered, by how long the connection was idle, in octaves
	longest    time.Duration           // deadline of any class
	used       list.List               // of the *server that were ever sent anything, the last used in front
	index
}

// class is a request class with what was learned of it.
type class struct {
	Class
	open      *pool // the servers that it may be sent to
	index     int
	firstWait time.Duration // how long the last first try would wait
	tail      time.Duration // estimate of a high quantile of its latency
	watched   []watch       // attempts to look at when they are slow, oldest first
	armed     bool          // the timer for the head of watched is set
}

// server is one listed server as this node sees it.
type server struct {
	Member
	indexed
	hash          uint64
	inflight      int            // this node's attempts out
	lateResponses []lateResponse // attempts given up that it may still work on
	threshold     float64        // packing threshold, in attempts in flight
	own           bool           // of this node's zone, when it last came into service
	felt          bool           // the threshold was cut at least once
	used          []Time         // when so many connections were last in use
	usedAt        *list.Element  // among those used; nil: it was sent nothing
	lastSend      Time
	takes         float64 // requests a second that it takes while cold, by its last report; 0 if not known
	lastDone      Time    // when it last answered anything
	busyFrom      Time    // since when attempts have been out all the time
	latency       float64 // mean latency of its answers, in seconds
	faults        float64 // part of errors and resets among its outcomes lately
	health        health
	cold          coldBudget
}

// request is one client request until its answer is given and its attempts are over.
type request struct {
	id       string
	class    *class
	deadline Time
	worthTo  Time   // later answers earn nothing
	giveUp   Time   // when it is refused if still held
	key      uint64 // hash of what the request is about; 0 for none
	attempts []attempt
	pending  int
	ranOn    *attempt // the first attempt that may have run
	ended    bool     // the final answer is given
	stream   bool     // the answer has begun
	queued   bool     // it waited for a server at least once
	entry    queuedRequest
}

// lateResponse is an attempt that was given up.
type lateResponse struct{ sent, until Time }

type attempt struct {
	server *server
	sent   Time
	over   bool
	notRun bool // an outcome proved that it never ran
	trial  bool
	idle   int // octave of the time that its connection was idle; 0 for one in use
}

// watch is one attempt to look at when it has been out for long.
type watch struct {
	req     *request
	attempt int
	due     Time
}

// health is the state of one server's circuit breaker.
type health struct {
	score    float64
	out      bool // ejected, or half-open once until has passed
	hung     bool // ejected for silence, not for what it answered
	until    Time
	times    int // ejections in a row
	trials   int // good trials in a row
	trialOut bool
}

// coldBudget is a token bucket in fractions, which fills as fast as this node may send.
type coldBudget struct {
	tokens float64
	last   Time
	rate   float64 // requests a second, as of then; 0 if not known yet
}

// track moves the part of hits lately by one more.
func track(part *float64, gain float64, hit bool) {
	*part -= gain * *part
	if hit {
		*part += gain
	}
}

// since drops the times before from, which come first.
func since(times []Time, from Time) []Time {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// hash is the same at every node.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// seconds turns a number of seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	mostTold = 200             // servers in the log's line; where there are more, those that matter and no more than these
	usedFor  = 5 * time.Second // after its last answer a server matters, which is as often as the line is written
)

// String tells what the decisions go by, in one line for the log: bucket pace, the parts that errors are
// weighed by, and for each server in service its attempts out, threshold and breaker. Of many servers it tells
// only those that have attempts out, answered lately or are ejected, and how many it leaves out.
func (b *Balancer) String() string {
	var t strings.Builder
	fmt.Fprintf(&t, "pace=%.2f bad=%.2f full=%.2f lost=%.2f blame=%.2f held=%d extra=%d", b.pace, b.bad,
		b.fullPart, b.lost, b.blame, b.queue.len(), len(b.extra))
	told, busy := b.notable()
	out := b.fleet.ejected
	for _, s := range told {
		fmt.Fprintf(&t, " %s=%d/%.1f", s.Server, s.inflight, b.limit(s))
		if s.health.out {
			t.WriteString("/out")
			out--
		}
	}
	if left := b.fleet.len() - len(told); left > 0 {
		fmt.Fprintf(&t, " left_out=%d idle=%d out=%d", left, left-out-busy, out)
	}
	return t.String()
}

// notable returns the servers that the log is told of, in packing order, and how many more are in use and not ejected. It looks at
// no more of them than were in use lately, and than are told.
func (b *Balancer) notable() (told []*server, more int) {
	if b.fleet.len() <= mostTold {
		return slices.Collect(b.walk(&b.fleet)), 0
	}
	for e := b.used.Front(); e != nil; e = e.Next() {
		s := e.Value.(*server)
		recent := b.now-max(s.lastSend, s.lastDone) <= usedFor
		switch {
		case !recent && b.now-s.lastSend > b.longest: // as are all behind it, and they have no attempts out
			return b.withEjected(told), more
		case !s.in || s.health.out || s.inflight == 0 && (s.lastDone == 0 || b.now-s.lastDone > usedFor):
		case len(told) < mostTold:
			told = append(told, s)
		default:
			more++
		}
	}
	return b.withEjected(told), more
}

// withEjected adds ejected servers while there is room, and sorts all by the packing order.
func (b *Balancer) withEjected(told []*server) []*server {
	for _, p := range []*part{&b.fleet.own, &b.fleet.others} {
		for i := range p.ejected {
			p.ejected[i].each(nil, func(s *server) bool {
				if len(told) < mostTold {
					told = append(told, s)
				}
				return len(told) < mostTold
			})
		}
	}
	slices.SortFunc(told, b.packed)
	return told
}

// touch notes that s is in use.
func (b *Balancer) touch(s *server) {
	if s.usedAt == nil {
		s.usedAt = b.used.PushFront(s)
	} else {
		b.used.MoveToFront(s.usedAt)
	}
}

// doneRate is how many answers a second came lately.
func (b *Balancer) doneRate() float64 {
	return b.done * math.Exp(-(b.now-b.doneAt).Seconds()/doneSpan.Seconds())
}

// fault tells whether an attempt ended by an error, or by a connection that broke or never came up.
func (c Code) fault() bool { return c == ServerError || c == Reset || c == ConnectFailed }

// Memory is what one process of a node tells the next, for both are one node: ages in place of times,
// as their clocks differ. The zero Memory tells nothing.
type Memory struct {
	Pace, Busy float64
	Rates      map[string]float64
	Buckets    []BucketMemory
	Servers    []ServerMemory
}

// BucketMemory is one bucket's level.
type BucketMemory struct {
	Tenant, Class string
	Tokens        int64
	Age           time.Duration // since tokens were last added
}

// ServerMemory is what was learned of one process of a server.
type ServerMemory struct {
	Server           string
	Up               time.Duration // since it started; 0 for long ago
	Threshold        float64
	Felt             bool
	Latency, Faults  float64
	Takes, ColdLevel float64 // of a cold server, and its budget's level
	// Of its breaker: the score, and of one that is out, why, for how much longer, and how often in a row.
	Score     float64
	Out, Hung bool
	Rest      time.Duration
	Times     int
}

// Snapshot is what a successor of this node should know.
func (b *Balancer) Snapshot(now Time) Memory {
	m := Memory{Pace: b.pace, Busy: b.busy, Rates: maps.Clone(b.rates), Buckets: b.snapshotBuckets(now)}
	for s := range b.walk(&b.fleet) {
		l := ServerMemory{Server: s.Server, Threshold: s.threshold, Felt: s.felt, Latency: s.latency,
			Faults: s.faults, Takes: s.takes, ColdLevel: s.cold.tokens, Score: s.health.score,
			Out: s.health.out, Hung: s.health.hung, Rest: s.health.until - now, Times: s.health.times}
		if s.OnlineSince > 0 {
			l.Up = now - s.OnlineSince
		}
		m.Servers = append(m.Servers, l)
	}
	return m
}

// Restore takes over what another process of this node remembered a while ago; figures that can't be are
// left out. Of the servers, it counts when the list names them.
func (b *Balancer) Restore(now Time, m Memory, ago time.Duration) {
	if m.Pace > 0 {
		b.pace = min(paceMost, max(paceLeast, m.Pace))
	}
	b.busy = min(1, max(0, m.Busy))
	for kind, rate := range m.Rates {
		if rate > 0 {
			b.rates[kind] = rate
		}
	}
	for _, k := range m.Buckets {
		l, key, ok := b.limitFor(k.Tenant, k.Class)
		if ok && key == (bucketKey{k.Tenant, k.Class}) && b.mayOwn(key) {
			b.keep(key, min(l.Burst, max(0, k.Tokens)), now-max(0, k.Age)-max(0, ago))
		}
	}
	b.succeeds = len(m.Servers) > 0
	b.restored = make(map[string]ServerMemory, len(m.Servers))
	out := 0
	for _, s := range m.Servers {
		if s.Out {
			out++
		}
	}
	for _, s := range m.Servers {
		s.Out = s.Out && float64(out) <= maxEjected*float64(len(m.Servers)) // no process takes more out itself
		s.Rest -= max(0, ago)
		if s.Up > 0 {
			s.Up = now - s.Up - max(0, ago)
		}
		b.restored[s.Server] = s
	}
}

// sameStart is how far two processes' reckonings of a server's start may differ: clocks are read at
// different moments, and starts in milliseconds.
const sameStart = 500 * time.Millisecond

// restore gives a server that is new to this process what another knew of it, once.
func (b *Balancer) restore(s *server) {
	m, ok := b.restored[s.Server]
	delete(b.restored, s.Server)
	if !ok || (m.Up == 0) != (s.OnlineSince == 0) || (s.OnlineSince-m.Up).Abs() > sameStart {
		return
	}
	if m.Threshold > 0 && m.Latency > 0 {
		s.threshold, s.felt, s.latency = m.Threshold, m.Felt, m.Latency
		s.faults = min(1, max(0, m.Faults))
	}
	s.health.score = min(1, max(0, m.Score))
	if m.Out { // its trials begin anew
		s.health = health{score: s.health.score, out: true, hung: m.Hung, times: max(0, m.Times),
			until: b.now + min(ejectMost, max(0, m.Rest))}
	}
	s.takes = max(0, m.Takes)
	s.cold.tokens = min(0, m.ColdLevel) // what the other may still send counts too
}
