package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// Overload describes the load of a run in which servers get more requests than they can serve in time.
type Overload struct {
	// GroupSize is the group size in the nodes' settings. The run starts only a few nodes of such a group.
	GroupSize int `json:"group"`
	// ServiceTime is the time that a server takes for a request. If it exceeds the classes' aim, every answer misses the aim.
	ServiceTime time.Duration `json:"work"`
	// Capacity is how many requests a second all servers together accept, whatever their number. They refuse the rest with
	// X-Not-Run.
	Capacity float64 `json:"takes"`
	// CPUShare is the fraction of a core that each node gets, by stopping and continuing it; 1 does not throttle it.
	CPUShare float64 `json:"core"`
	// ReleaseFraction is the fraction of the servers that each step of a release replaces.
	ReleaseFraction float64 `json:"release_part"`
}

const (
	overloadGroupSize   = 300
	overloadRate        = 60.0                   // requests a second to each node
	capacityBurst       = 20                     // requests above the rate that the servers accept at once
	overloadFactor      = 2.5                    // requested rate, as a multiple of the servers' capacity
	slowServiceTime     = 900 * time.Millisecond // longer than every aim
	overloadAim         = 300 * time.Millisecond // of every class
	releaseStepInterval = 900 * time.Millisecond // between two steps of a release
	releaseInterval     = 20 * time.Second       // between two releases
	releaseFraction     = 0.12                   // of the servers, in each step
	throttlePeriod      = 30 * time.Millisecond  // in each of which a throttled node is stopped and continued once
	minCPUShare         = 0.05                   // lower bound of a random CPU share
	maxCPUShare         = 0.5                    // upper bound of a random CPU share
	retryFraction       = 0.7                    // fraction of the requests whose clients retry
	maxTries            = 4                      // limit of the tries of a client's request, the first included
	minRequestDeadline  = 100 * time.Millisecond // shortest deadline of a request; with less left, its client does not retry
	maxBackoff          = 100 * time.Millisecond // longest pause between two tries
	retryHeader         = "X-Retry: 1\r\n"
)

// overloadClasses are the classes of an overloaded run. A client's deadline covers all its tries.
var overloadClasses = []Class{
	{Name: "get", Repeat: "free", Deadline: time.Second},
	{Name: "mark", Repeat: "guarded", Deadline: 600 * time.Millisecond, Window: 2 * time.Second},
	{Name: "bill", Repeat: "single_shot", Deadline: time.Second},
}

// longestDeadline is the longest deadline of a plan's classes, capped as the platform does at a planned restart (PROTOCOL).
func (p Plan) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.classes() {
		longest = max(longest, c.Deadline)
	}
	return min(longest, longestDeadlineCap)
}

// newOverload generates an overload.
func newOverload(rng *rand.Rand, o Options, rate float64) *Overload {
	overload := &Overload{GroupSize: overloadGroupSize, ReleaseFraction: releaseFraction, ServiceTime: meanServiceTime}
	if rng.IntN(2) == 0 { // in half of the plans every answer misses the aim, in the others only the capacity falls short
		overload.ServiceTime = slowServiceTime
	}
	overload.Capacity = rate * float64(o.Nodes) / overloadFactor
	overload.CPUShare = minCPUShare + (maxCPUShare-minCPUShare)*rng.Float64()
	if o.CPUShare > 0 {
		overload.CPUShare = min(1, o.CPUShare)
	}
	return overload
}

// classes returns the request classes of a plan.
func (p Plan) classes() []Class {
	if p.Overload != nil {
		return overloadClasses
	}
	return defaultClasses
}

// groupSize returns the group size in the nodes' settings.
func (p Plan) groupSize() int {
	if p.Overload != nil {
		return max(p.Nodes, p.Overload.GroupSize)
	}
	return p.Nodes
}

// throttle limits a node's processes to a share of a core with SIGSTOP and SIGCONT until ctx ends. Stops stay below 0.15 s
// (maxNodeStall).
func (r *Run) throttle(ctx context.Context, n *node, share float64) {
	running := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		p := n.process()
		n.signal(p, syscall.SIGSTOP)
		r.sleep(ctx, throttlePeriod-running)
		n.signal(p, syscall.SIGCONT)
		r.sleep(ctx, running)
	}
}

// sleep waits for d or until ctx ends.
func (r *Run) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// releaseRepeatedly runs one release after another until ctx ends.
func (r *Run) releaseRepeatedly(ctx context.Context) {
	for r.sleep(ctx, quietStart); ctx.Err() == nil; r.sleep(ctx, releaseInterval) {
		r.release(ctx)
	}
}

// release restarts all servers in steps: a fraction of them drains, is removed in the next step, and is up again in slow
// start in the one after.
func (r *Run) release(ctx context.Context) {
	step := max(1, int(r.plan.Overload.ReleaseFraction*float64(len(r.servers))))
	for first := 0; first < len(r.servers)+2*step && ctx.Err() == nil; first += step {
		now := time.Now()
		phases := make(map[int]string)
		r.setStepPhase(phases, first, step, phaseDraining)
		r.setStepPhase(phases, first-step, step, phaseRemoved)
		for _, s := range r.setStepPhase(phases, first-2*step, step, phaseUp) {
			r.checker.ColdStart(s, warmCapacity, now)
		}
		r.registry.setPhases(phases, now.UnixMilli())
		r.sleep(ctx, releaseStepInterval)
	}
}

// setStepPhase sets the phase of the servers of one step of a release in phases, and returns these servers.
func (r *Run) setStepPhase(phases map[int]string, first, step int, phase string) (servers []int) {
	for s := max(0, first); s < min(first+step, len(r.servers)); s++ {
		phases[s] = phase
		servers = append(servers, s)
	}
	return servers
}

// requestWithRetries sends a request, and retries it while it is refused, or fails and is free to repeat, until the
// client's deadline or maxTries.
func (p *clientPool) requestWithRetries(n *node) {
	class := p.randomClass()
	began := time.Now()
	for i := range maxTries {
		remaining := class.Deadline - time.Since(began)
		if remaining < minRequestDeadline {
			return
		}
		status := p.requestOnce(n, class, remaining, i > 0)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests &&
			(class.Repeat != "free" || status == http.StatusOK || status == 0) {
			return
		}
		time.Sleep(time.Duration(p.randomFloat() * float64(maxBackoff)))
	}
}

// requestOnce sends one try of a request, and returns the status of the answer, or 0 if there was none.
func (p *clientPool) requestOnce(n *node, class Class, timeout time.Duration, retry bool) int {
	c, err := p.getConn(n)
	if c == nil || err != nil {
		return 0
	}
	class.Deadline = timeout.Truncate(time.Millisecond)
	r, text := p.newRequest(n, class, retry)
	if !p.writeRequest(c, text) {
		c.Close()
		return 0
	}
	sent := time.Now()
	p.checker.Sent(r, sent)
	c.uses++
	if p.readAnswer(n, c, r, sent) {
		p.putConn(n, c)
	} else {
		c.Close()
	}
	return p.checker.status(r)
}

// status returns the status of a request's answer, or 0 if there was none.
func (c *Checker) status(r *request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.status
}

// usage is the resource usage of a run's nodes, for the comparison of runs with different numbers of servers.
type usage struct {
	ProcessorTime time.Duration `json:"processor_time"` // mean per node
	MemoryKB      int64         `json:"memory_kb"`      // maximum over the nodes
	Descriptors   int           `json:"descriptors"`    // maximum over the nodes
	Opened        float64       `json:"opened"`         // connections to servers, mean per node
	ListBytes     float64       `json:"list_bytes"`     // from discovery, mean per node
	Served        float64       `json:"served"`         // fraction of the answered requests with status 200
}

// usageLimit is one row of the operators' table of limits (STANDING, fleets with up to sixteen times the transcribers).
type usageLimit struct {
	name               string
	factor             float64 // of the usage with the usual number of servers
	offset             float64 // added to that
	perThousandServers float64 // added for each thousand servers
	value              func(usage) float64
}

var usageLimits = []usageLimit{
	{"CPU seconds", 1.4, 0.02, 0.03, func(u usage) float64 { return u.ProcessorTime.Seconds() }},
	{"peak memory in MB", 1.5, 8, 4, func(u usage) float64 { return float64(u.MemoryKB) / 1024 }},
	{"descriptors", 2, 40, 0, func(u usage) float64 { return float64(u.Descriptors) }},
	{"connections opened to servers", 2.5, 40, 0, func(u usage) float64 { return u.Opened }},
	{"KB of server lists", 2, 64, 500, func(u usage) float64 { return u.ListBytes / 1024 }},
}

// minServedRatio is the lower limit of the served fraction with many servers, divided by that with the usual number.
const minServedRatio = 0.85

// CompareUsage compares the nodes' usage in a run with many servers with that in the same run with the usual number, and
// returns one line per limit. exceeded tells whether a limit was exceeded.
func CompareUsage(usual, large Result) (lines []string, exceeded bool) {
	for _, l := range usageLimits {
		usualValue, largeValue := l.value(usual.Usage), l.value(large.Usage)
		limit := l.factor*usualValue + l.offset + l.perThousandServers*float64(large.Plan.Servers)/1000
		verdict := "kept"
		if largeValue > limit {
			verdict, exceeded = "BROKEN", true
		}
		lines = append(lines, fmt.Sprintf("%s: %.2f at %d servers, %.2f at %d, at most %.2f: %s", l.name, usualValue, usual.Plan.Servers, largeValue,
			large.Plan.Servers, limit, verdict))
	}
	verdict := "kept"
	if large.Usage.Served < minServedRatio*usual.Usage.Served {
		verdict, exceeded = "BROKEN", true
	}
	return append(lines, fmt.Sprintf("fraction served: %.3f and %.3f, at least %.3f: %s", usual.Usage.Served, large.Usage.Served,
		minServedRatio*usual.Usage.Served, verdict)), exceeded
}

// measureUsage reads the nodes' resource usage, before their processes end.
func (r *Run) measureUsage() usage {
	var u usage
	for _, n := range r.nodes {
		p := n.process()
		u.ProcessorTime += p.processorTime() / time.Duration(len(r.nodes))
		u.MemoryKB = max(u.MemoryKB, p.memoryKB("VmHWM"))
		u.Opened += p.metric("wayhold_server_connections_opened_total") / float64(len(r.nodes))
	}
	r.mu.Lock()
	u.Descriptors = r.maxDescriptors
	r.mu.Unlock()
	u.ListBytes = float64(r.registry.bytesWritten.Load()) / float64(len(r.nodes))
	u.Served = r.checker.servedFraction()
	return u
}
