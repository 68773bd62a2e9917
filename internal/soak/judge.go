package soak

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// Class is a request class, as in the nodes' settings and in the checks.
type Class struct {
	Name     string
	Repeat   string // free, guarded or single_shot, as in the settings
	Deadline time.Duration
	Window   time.Duration // in which a guarded request may be repeated
}

// Limits of the rules. They match the settings that the nodes are given and the operators' requirements.
const (
	answerGrace    = 500 * time.Millisecond  // how long after its deadline an answer may arrive
	departureGrace = 100 * time.Millisecond  // how long after its client closed an attempt may begin
	deadlineSlack  = 150 * time.Millisecond  // by which X-Deadline-Ms may exceed the time left
	drainGrace     = 1500 * time.Millisecond // how long a node may send to a leaving server once it counts as informed
	maxUpdateDelay = 6 * time.Second         // after which a node counts as informed of a change of the list in any case
	maxNodeStall   = 150 * time.Millisecond  // longest stall of a node between reading its clock and writing
	badPeerLimit   = 3 * time.Second         // until a malformed or unfinished request has to be closed
	windowSlack    = 50 * time.Millisecond   // how long after its window a repeat may begin
	coldShare      = 0.13                    // fraction of its capacity that a server may get at the beginning of its slow start
	coldDuration   = 8 * time.Second         // length of a slow start
	fallMultiple   = 2.5                     // budget of a server in slow start, as a multiple of its ramped capacity
	budgetWindow   = 3 * time.Second         // window in which that budget is counted
	// checkerSlack allows for scheduling delays of the checker, which shares the machine with all processes.
	checkerSlack = 100 * time.Millisecond
	// closeRaceWindow is how soon after a request the close of its reused connection still counts as a race with it.
	closeRaceWindow = 50 * time.Millisecond
	overlapSlack    = 50 * time.Millisecond // time in which a server notices that an attempt was cancelled
)

// Rules, as named in the findings.
const (
	ruleUnanswered     = "request_unanswered"
	ruleLate           = "answer_late"
	ruleConcurrent     = "concurrent_attempts"
	ruleUnsafe         = "unsafe_repeat"
	ruleWindow         = "repeat_outside_window"
	ruleDeparture      = "attempt_after_departure"
	ruleDeadline       = "deadline_overstated"
	ruleLeaving        = "send_to_leaving_server"
	ruleSlowStart      = "slow_start_budget"
	ruleBadPeer        = "bad_peer_kept"
	ruleRefused        = "refused_after_effect"
	ruleWrongAnswer    = "wrong_answer"
	ruleUnknownRequest = "unknown_request"
	ruleCrash          = "crash"
	ruleNotReady       = "not_ready"
	ruleNotEnded       = "not_ended"
	ruleStandby        = "standby"
	ruleLimits         = "limits"
)

// Finding is one violation of a rule.
type Finding struct {
	Rule   string        `json:"rule"`
	ID     string        `json:"id,omitempty"`
	Node   int           `json:"node"`
	At     time.Duration `json:"at"` // since the run began
	Detail string        `json:"detail"`
}

// request is what the checker knows of a client's request.
type request struct {
	id        string
	class     Class
	node      int
	sent      time.Time // when its last byte was written; zero if it was not written in full
	abandoned time.Time // when the client closed or cancelled; zero if it did not
	attempts  []*attempt
	answered  bool
	status    int // of its answer
}

// attempt is an attempt that a server received in full.
type attempt struct {
	server         int
	began          time.Time     // when its first byte arrived
	ended          time.Time     // zero while it is outstanding
	statedDeadline time.Duration // its X-Deadline-Ms
	notRun         bool          // the server answered X-Not-Run
	request        *request
}

// Checker records what clients, servers and discovery observe, and reports violations of the rules. Its methods are safe
// for concurrent use.
type Checker struct {
	startTime time.Time
	hedging   bool

	mu                sync.Mutex
	requests          map[string]*request
	findings          []Finding
	counts            Counts
	leavingSince      map[int]time.Time            // by server: since when the registry lists it as draining, or no longer lists it
	leaveDelivered    map[int]map[int]time.Time    // by server and node: when the registry wrote the change to the node
	nodeStartTimes    map[int]time.Time            // by node: when its current process started
	outage            struct{ from, to time.Time } // of the registry, the last one; to is zero while it lasts
	coldStarts        map[int]*coldStart           // by server, the last one
	earlierColdStarts []*coldStart                 // earlier ones of servers that have restarted since
}

// Counts are the totals of a run.
type Counts struct {
	Requests    int            `json:"requests"`
	Attempts    int            `json:"attempts"`
	Statuses    map[int]int    `json:"statuses"`
	Abandoned   int            `json:"left"`
	CloseRaces  int            `json:"crossed"` // requests that may have raced with the close of their connection
	LostToKill  int            `json:"died"`    // requests unanswered because their node's process was killed
	BadPeers    int            `json:"bad_peers"`
	Disruptions map[string]int `json:"troubles"`
	// MaxLateness is the most by which an answer exceeded its deadline; negative if none did.
	MaxLateness time.Duration `json:"slowest_beyond_time"`
}

// coldStart is a server's slow start and the requests that it received in it.
type coldStart struct {
	server    int
	began     time.Time
	capacity  float64 // requests a second after the slow start
	sends     []coldSend
	delivered map[int]time.Time // by node: when the registry wrote the start to the node
}

// coldSend is a request that a server received in its slow start.
type coldSend struct {
	at       time.Time
	informed bool // its node had received the list with the start and had had time to act on it
}

// NewChecker returns a Checker for a run that starts now.
func NewChecker(hedging bool) *Checker {
	return &Checker{startTime: time.Now(), hedging: hedging, requests: make(map[string]*request), leavingSince: make(map[int]time.Time),
		leaveDelivered: make(map[int]map[int]time.Time), nodeStartTimes: make(map[int]time.Time), coldStarts: make(map[int]*coldStart),
		counts: Counts{MaxLateness: math.MinInt64, Statuses: make(map[int]int), Disruptions: make(map[string]int)}}
}

func (c *Checker) report(rule string, r *request, node int, format string, args ...any) {
	f := Finding{Rule: rule, Node: node, At: time.Since(c.startTime), Detail: fmt.Sprintf(format, args...)}
	if r != nil {
		f.ID, f.Node = r.id, r.node
	}
	c.findings = append(c.findings, f)
}

// Report records a violation that the caller has detected itself.
func (c *Checker) Report(rule string, node int, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(rule, nil, node, format, args...)
}

// AddRequest records a request that a client is about to write.
func (c *Checker) AddRequest(id string, class Class, node int) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &request{id: id, class: class, node: node}
	c.requests[id] = r
	return r
}

// Sent records that a request's last byte was written.
func (c *Checker) Sent(r *request, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sent = at
	c.counts.Requests++
}

// Abandoned records that the client is about to close its connection before the answer.
func (c *Checker) Abandoned(r *request, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.abandoned = at
	c.counts.Abandoned++
}

// Answered records and checks the final answer; bodyMatches tells whether its body is the one that servers send for this
// request.
func (c *Checker) Answered(r *request, at time.Time, status int, bodyMatches bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Statuses[status]++
	r.answered, r.status = true, status
	c.counts.MaxLateness = max(c.counts.MaxLateness, at.Sub(r.sent)-r.class.Deadline)
	if late := at.Sub(r.sent) - r.class.Deadline; late > answerGrace+checkerSlack {
		c.report(ruleLate, r, 0, "status %d, %v after the deadline", status, late)
	}
	if status == 200 && !bodyMatches {
		c.report(ruleWrongAnswer, r, 0, "the body is not the one that servers send for this request")
	}
	if status == 429 || status == 503 {
		c.checkRefusal(r, status)
	}
}

// checkRefusal reports a 429 or 503 answer to a single_shot request if a server may have run one of its attempts.
func (c *Checker) checkRefusal(r *request, status int) {
	if r.class.Repeat != "single_shot" {
		return
	}
	for _, a := range r.attempts {
		if !a.notRun {
			c.report(ruleRefused, r, 0, "status %d, but server %d may have run it", status, a.server)
			return
		}
	}
}

// Unanswered records that no answer came before the client's wait ended or the connection closed. nodeKilled tells whether
// the node's process was killed meanwhile, which excuses it.
func (c *Checker) Unanswered(r *request, at time.Time, reason string, nodeKilled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if nodeKilled {
		c.counts.LostToKill++
		return
	}
	c.report(ruleUnanswered, r, 0, "%s, %v after its last byte, %d attempts", reason, at.Sub(r.sent), len(r.attempts))
}

// CloseRace counts a request that may have raced with the node's close of its connection, and so may never have been read.
func (c *Checker) CloseRace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.CloseRaces++
}

// BadPeer records whether and after what time the node closed the connection of a peer that sent a malformed or
// unfinished request. nodeKilled excuses any outcome.
func (c *Checker) BadPeer(node int, description string, waited time.Duration, closed, nodeKilled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.BadPeers++
	if !nodeKilled && (!closed || waited > badPeerLimit+checkerSlack) {
		c.report(ruleBadPeer, nil, node, "%s: connection closed: %v, after %v", description, closed, waited)
	}
}

// AttemptBegan records a request that a server has received in full. began is when its first byte arrived, and
// statedDeadline the remaining deadline that the node stated in X-Deadline-Ms.
func (c *Checker) AttemptBegan(id string, server int, began time.Time, statedDeadline time.Duration) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	a := &attempt{server: server, began: began, statedDeadline: statedDeadline}
	r := c.requests[id]
	if r == nil {
		c.report(ruleUnknownRequest, nil, -1, "server %d received id %q, which no client sent", server, id)
		return a
	}
	a.request = r
	c.checkAttempt(r, a)
	r.attempts = append(r.attempts, a)
	if cold := c.coldStarts[server]; cold != nil {
		deliveredAt, delivered := cold.delivered[r.node]
		cold.sends = append(cold.sends, coldSend{began, delivered && began.Sub(deliveredAt) > maxNodeStall+checkerSlack})
	}
	return a
}

// checkAttempt checks a new attempt against the request's client, deadline and earlier attempts and the server's phase.
func (c *Checker) checkAttempt(r *request, a *attempt) {
	if !r.abandoned.IsZero() && a.began.Sub(r.abandoned) > departureGrace+checkerSlack {
		c.report(ruleDeparture, r, 0, "began at server %d, %v after the client closed", a.server, a.began.Sub(r.abandoned))
	}
	if !r.sent.IsZero() {
		if remaining := r.class.Deadline - a.began.Sub(r.sent); a.statedDeadline > remaining+deadlineSlack+checkerSlack/2 {
			c.report(ruleDeadline, r, 0, "server %d was given a deadline of %v, but the client had %v left", a.server, a.statedDeadline, remaining)
		}
	}
	var first *attempt // the first that may have run
	for _, b := range r.attempts {
		if first == nil && !b.notRun {
			first = b
		}
	}
	if first != nil {
		c.checkRepeat(r, a, first)
	}
	if since, leaving := c.leavingSince[a.server]; leaving {
		c.checkLeaving(r, a, since)
	}
}

// checkRepeat checks attempt a of a request that attempt first may have run.
func (c *Checker) checkRepeat(r *request, a, first *attempt) {
	switch r.class.Repeat {
	case "single_shot":
		c.report(ruleUnsafe, r, 0, "at server %d, but server %d may have run it before", a.server, first.server)
	case "guarded":
		if after := a.began.Sub(first.began); after > r.class.Window+windowSlack+maxNodeStall {
			c.report(ruleWindow, r, 0, "at server %d, %v after the first attempt", a.server, after)
		}
	}
}

// checkLeaving reports an attempt at a draining or removed server that began later than the drain grace after the node
// counts as informed of that change. It does once the registry has written the change to it, and at the latest
// maxUpdateDelay after the change, the end of the last outage and the start of the node's process, whichever is last.
// During an outage, only the write counts.
func (c *Checker) checkLeaving(r *request, a *attempt, since time.Time) {
	informedAt, informed := c.leaveDelivered[a.server][r.node]
	if down := c.outage; down.from.IsZero() || !down.to.IsZero() {
		latest := slices.MaxFunc([]time.Time{since, down.to, c.nodeStartTimes[r.node]}, time.Time.Compare).Add(maxUpdateDelay)
		if !informed || latest.Before(informedAt) {
			informedAt, informed = latest, true
		}
	}
	if after := a.began.Sub(informedAt); informed && after > drainGrace+maxNodeStall+checkerSlack {
		c.report(ruleLeaving, r, 0, "server %d, %v after the node counts as informed", a.server, after)
	}
}

// AttemptEnded records that a server has answered an attempt, or noticed that it was cancelled. notRun tells whether the
// answer said that the request was not run. Without hedging, it reports later attempts that overlap this one.
func (c *Checker) AttemptEnded(a *attempt, at time.Time, notRun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.ended.IsZero() {
		return
	}
	a.ended, a.notRun = at, notRun
	if c.hedging || a.request == nil {
		return
	}
	for _, b := range a.request.attempts {
		if b != a && b.began.After(a.began) && at.Sub(b.began) > overlapSlack {
			c.report(ruleConcurrent, a.request, 0, "at server %d, while the attempt at server %d was outstanding for another %v", b.server, a.server,
				at.Sub(b.began))
		}
	}
}

// ServerLeaving records that the registry lists a server as draining or has removed it.
func (c *Checker) ServerLeaving(server int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, leaving := c.leavingSince[server]; !leaving { // a server that drains before its removal has been leaving since its drain
		c.leavingSince[server] = at
	}
}

// ServerReturned records that the registry lists a server as up again.
func (c *Checker) ServerReturned(server int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leavingSince, server)
	delete(c.leaveDelivered, server)
}

// LeaveDelivered records that the registry wrote to a node that a server is leaving.
func (c *Checker) LeaveDelivered(node, server int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, leaving := c.leavingSince[server]; !leaving {
		return
	}
	if c.leaveDelivered[server] == nil {
		c.leaveDelivered[server] = make(map[int]time.Time)
	}
	if _, delivered := c.leaveDelivered[server][node]; !delivered {
		c.leaveDelivered[server][node] = at
	}
}

// StartDelivered records that the registry wrote to a node that a server has started.
func (c *Checker) StartDelivered(node, server int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cold := c.coldStarts[server]
	if cold == nil {
		return
	}
	if _, delivered := cold.delivered[node]; !delivered {
		cold.delivered[node] = at
	}
}

// NodeStarted records a node's new process, to which the registry has written nothing yet.
func (c *Checker) NodeStarted(node int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodeStartTimes[node] = at
	for _, nodes := range c.leaveDelivered {
		delete(nodes, node)
	}
	for _, cold := range c.coldStarts {
		delete(cold.delivered, node)
	}
}

// RegistryOutage records the start (down) or the end of an outage of the registry.
func (c *Checker) RegistryOutage(down bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if down {
		c.outage.from, c.outage.to = at, time.Time{}
	} else {
		c.outage.to = at
	}
}

// ColdStart records that a server has restarted. capacity is in requests a second after its slow start.
func (c *Checker) ColdStart(server int, capacity float64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.coldStarts[server]; previous != nil {
		c.earlierColdStarts = append(c.earlierColdStarts, previous)
	}
	c.coldStarts[server] = &coldStart{server: server, began: at, capacity: capacity, delivered: make(map[int]time.Time)}
}

// budget returns how many requests the settings allow a server in slow start in the window that ends at end, with the
// requirements' allowance for random variation.
func (cold *coldStart) budget(end time.Time) float64 {
	const steps = 20
	sum := 0.0
	for i := range steps {
		age := end.Add(-budgetWindow + budgetWindow*time.Duration(i)/steps).Sub(cold.began)
		sum += min(1, coldShare+(1-coldShare)*max(0, age.Seconds())/coldDuration.Seconds())
	}
	n := fallMultiple * cold.capacity * budgetWindow.Seconds() * sum / steps
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// overBudget returns the first window in which the server received more than its budget, with more than two thirds of
// the requests from nodes that had received the start (STANDING).
func (cold *coldStart) overBudget() (at time.Time, sent int, budget float64, found bool) {
	slices.SortFunc(cold.sends, func(a, b coldSend) int { return a.at.Compare(b.at) })
	first, informed := 0, 0
	for i, send := range cold.sends {
		if send.informed {
			informed++
		}
		for ; cold.sends[first].at.Before(send.at.Add(-budgetWindow)); first++ {
			if cold.sends[first].informed {
				informed--
			}
		}
		if send.at.Sub(cold.began) > coldDuration {
			break
		}
		if n := i - first + 1; float64(n) > cold.budget(send.at) && 3*informed > 2*n {
			return send.at, n, cold.budget(send.at), true
		}
	}
	return time.Time{}, 0, 0, false
}

// Finish runs the checks that need the whole run, and returns all findings and totals.
func (c *Checker) Finish() ([]Finding, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cold := range c.coldStarts {
		c.earlierColdStarts = append(c.earlierColdStarts, cold)
	}
	c.coldStarts = make(map[int]*coldStart)
	for _, cold := range c.earlierColdStarts {
		if at, sent, budget, found := cold.overBudget(); found {
			c.report(ruleSlowStart, nil, -1, "server %d received %d requests in the %v up to %v after its start, %.1f allowed", cold.server, sent,
				budgetWindow, at.Sub(cold.began), budget)
		}
	}
	c.earlierColdStarts = nil
	return c.findings, c.counts
}

// servedFraction returns the fraction of answered requests with status 200.
func (c *Checker) servedFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := 0
	for _, n := range c.counts.Statuses {
		answered += n
	}
	return float64(c.counts.Statuses[200]) / float64(max(1, answered))
}

// CountDisruption counts a disruption that was injected.
func (c *Checker) CountDisruption(kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Disruptions[string(kind)]++
}
