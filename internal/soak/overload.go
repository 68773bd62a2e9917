package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// Overload is what a plan has beside its troubles where servers get more than they can do in time.
type Overload struct {
	// Group is how many nodes the settings tell of, of which the run plays a few.
	Group int `json:"group"`
	// Work is what a request takes at a server. Where it is longer than the clients' aim, every answer is late.
	Work time.Duration `json:"work"`
	// Takes is how many requests a second all servers take together, whatever their number; they turn others away unseen.
	Takes float64 `json:"takes"`
	// Core is the part of a core that each node gets, in slices; 0: a whole one.
	Core float64 `json:"core"`
	// ReleasePart is the part of the servers that each step of a release replaces.
	ReleasePart float64 `json:"release_part"`
}

const (
	overloadGroup  = 300
	overloadRate   = 60.0                   // requests a second to each node
	takesBurst     = 20                     // requests that they take at once
	overloadFactor = 2.5                    // times what servers take that clients ask for
	slowWork       = 900 * time.Millisecond // longer than any aim
	overloadAim    = 300 * time.Millisecond // of every class
	releaseEvery   = 900 * time.Millisecond // between two steps of a release
	releasesApart  = 20 * time.Second       // between two releases
	releasePart    = 0.12                   // of the servers in each
	slicePeriod    = 30 * time.Millisecond  // in which a node runs once, for its part of a core
	leastCore      = 0.05                   // part of a core
	mostCore       = 0.5                    // part of a core
	persistPart    = 0.7                    // of the requests, whose clients ask again
	retriesMost    = 4                      // tries of a client in all
	leastTry       = 100 * time.Millisecond // that a client waits for a try
	backoffMost    = 100 * time.Millisecond // between two tries
	retryHeader    = "X-Retry: 1\r\n"
)

// overloadClasses are the classes of an overloaded run. A client's time is over all its tries.
var overloadClasses = []Class{
	{Name: "get", Repeat: "free", Deadline: time.Second},
	{Name: "mark", Repeat: "guarded", Deadline: 600 * time.Millisecond, Window: 2 * time.Second},
	{Name: "bill", Repeat: "single_shot", Deadline: time.Second},
}

// longestDeadline is the longest of a plan's classes, as the platform counts it at a planned restart (PROTOCOL).
func (p Plan) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.classes() {
		longest = max(longest, c.Deadline)
	}
	return min(longest, longestSpan)
}

// drawOverload draws an overload.
func drawOverload(rng *rand.Rand, o Options, rate float64) *Overload {
	v := &Overload{Group: overloadGroup, ReleasePart: releasePart, Work: meanWork}
	if rng.IntN(2) == 0 { // answers that all come late, or refusals
		v.Work = slowWork
	}
	v.Takes = rate * float64(o.Nodes) / overloadFactor
	v.Core = leastCore + (mostCore-leastCore)*rng.Float64()
	if o.Core > 0 {
		v.Core = min(1, o.Core)
	}
	return v
}

// classes are the classes of a plan.
func (p Plan) classes() []Class {
	if p.Overload != nil {
		return overloadClasses
	}
	return classes
}

// group is how many nodes the settings tell of.
func (p Plan) group() int {
	if p.Overload != nil {
		return max(p.Nodes, p.Overload.Group)
	}
	return p.Nodes
}

// slices lets a node's processes run for a part of the time only, until ctx ends: less than 0.15 s pass between two turns.
func (r *Run) slices(ctx context.Context, n *node, part float64) {
	run := time.Duration(part * float64(slicePeriod))
	for ctx.Err() == nil {
		p := n.process()
		n.signal(p, syscall.SIGSTOP)
		r.pause(ctx, slicePeriod-run)
		n.signal(p, syscall.SIGCONT)
		r.pause(ctx, run)
	}
}

func (r *Run) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// releases replaces all servers step by step, again and again until ctx ends.
func (r *Run) releases(ctx context.Context) {
	for r.pause(ctx, calmStart); ctx.Err() == nil; r.pause(ctx, releasesApart) {
		r.release(ctx)
	}
}

// release replaces all servers in turn: a part of them drains, is gone with the next step, and is up again and cold with the
// one after.
func (r *Run) release(ctx context.Context) {
	step := max(1, int(r.plan.Overload.ReleasePart*float64(len(r.servers))))
	for at := 0; at < len(r.servers)+2*step && ctx.Err() == nil; at += step {
		now := time.Now()
		news := make(map[int]string)
		r.phase(news, at, step, phaseDraining)
		r.phase(news, at-step, step, phaseRemoved)
		for _, s := range r.phase(news, at-2*step, step, phaseUp) {
			r.judge.ColdStart(s, warmCapacity, now)
		}
		r.registry.changeAll(news, now.UnixMilli())
		r.pause(ctx, releaseEvery)
	}
}

// phase gives the servers of one step of a release a phase, and returns them.
func (r *Run) phase(news map[int]string, at, step int, phase string) (servers []int) {
	for s := max(0, at); s < min(at+step, len(r.servers)); s++ {
		news[s] = phase
		servers = append(servers, s)
	}
	return servers
}

// persist sends one request and, while it is refused or fails where that is harmless, sends it again, until the client's
// time is over.
func (p *clientPool) persist(n *node) {
	class := p.class()
	began := time.Now()
	for try := range retriesMost {
		left := class.Deadline - time.Since(began)
		if left < leastTry {
			return
		}
		status := p.try(n, class, left, try > 0)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests &&
			(class.Repeat != "free" || status == http.StatusOK || status == 0) {
			return
		}
		time.Sleep(time.Duration(p.float() * float64(backoffMost)))
	}
}

// try sends one try of a request, and returns its status; 0: it was not answered.
func (p *clientPool) try(n *node, class Class, waits time.Duration, retry bool) int {
	c, err := p.take(n)
	if c == nil || err != nil {
		return 0
	}
	class.Deadline = waits.Truncate(time.Millisecond)
	r, text := p.begin(n, class, retry)
	if !p.write(c, text) {
		c.Close()
		return 0
	}
	sent := time.Now()
	p.judge.Sent(r, sent)
	c.uses++
	if p.answer(n, c, r, sent) {
		p.putBack(n, c)
	} else {
		c.Close()
	}
	return p.judge.status(r)
}

// status is what a request was answered; 0 if it was not.
func (j *Judge) status(r *request) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return r.status
}

// usage is what a node's processes have needed, for the check of growth.
type usage struct {
	ProcessorTime time.Duration `json:"processor_time"` // of the nodes, each in the mean
	MemoryKB      int64         `json:"memory_kb"`      // the most of any
	Descriptors   int           `json:"descriptors"`    // the most of any
	Opened        float64       `json:"opened"`         // connections to servers of a node, in the mean
	ListBytes     float64       `json:"list_bytes"`     // from discovery to a node, in the mean
	Served        float64       `json:"served"`         // part of the clients' requests, retries belonging to their first
}

// growthLimit is one line of the operators' table (STANDING, fleets with up to sixteen times the transcribers).
type growthLimit struct {
	what     string
	times    float64
	plus     float64
	thousand float64 // more for each thousand servers
	of       func(usage) float64
}

var growthLimits = []growthLimit{
	{"processor seconds", 1.4, 0.02, 0.03, func(u usage) float64 { return u.ProcessorTime.Seconds() }},
	{"peak memory in MB", 1.5, 8, 4, func(u usage) float64 { return float64(u.MemoryKB) / 1024 }},
	{"descriptors", 2, 40, 0, func(u usage) float64 { return float64(u.Descriptors) }},
	{"connections made to servers", 2.5, 40, 0, func(u usage) float64 { return u.Opened }},
	{"KB of lists", 2, 64, 500, func(u usage) float64 { return u.ListBytes / 1024 }},
}

// leastServed is the part of what is served at the usual size that has to be served at a larger one.
const leastServed = 0.85

// Growth compares what nodes needed at a size with the same run at the usual size, line by line.
func Growth(usual, large Result) (lines []string, broken bool) {
	for _, l := range growthLimits {
		was, is := l.of(usual.Usage), l.of(large.Usage)
		most := l.times*was + l.plus + l.thousand*float64(large.Plan.Servers)/1000
		word := "kept"
		if is > most {
			word, broken = "BROKEN", true
		}
		lines = append(lines, fmt.Sprintf("%s: %.2f at %d servers, %.2f at %d, at most %.2f: %s", l.what, was, usual.Plan.Servers, is,
			large.Plan.Servers, most, word))
	}
	word := "kept"
	if large.Usage.Served < leastServed*usual.Usage.Served {
		word, broken = "BROKEN", true
	}
	return append(lines, fmt.Sprintf("part served: %.3f and %.3f, at least %.3f: %s", usual.Usage.Served, large.Usage.Served,
		leastServed*usual.Usage.Served, word)), broken
}

// measure gathers what the nodes have needed, before their processes end.
func (r *Run) measure() usage {
	var u usage
	for _, n := range r.nodes {
		p := n.process()
		u.ProcessorTime += p.processorTime() / time.Duration(len(r.nodes))
		u.MemoryKB = max(u.MemoryKB, p.memoryKB("VmHWM"))
		u.Opened += p.metric("wayhold_server_connections_opened_total") / float64(len(r.nodes))
	}
	r.mu.Lock()
	u.Descriptors = r.sockets
	r.mu.Unlock()
	u.ListBytes = float64(r.registry.written.Load()) / float64(len(r.nodes))
	u.Served = r.judge.servedPart()
	return u
}
