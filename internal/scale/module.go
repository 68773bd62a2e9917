package scale

import (
	"bytes"
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltward/internal/wire"
	"cobaltward/policy"
)

const (
	benchDuration     = 2 * time.Second       // measuring time per kind of operation
	minBenchOps       = 3                     // run at least this often, even if that takes longer than benchDuration
	maxBenchOps       = 20_000                // requests are generated before the timing starts, so their number is bounded
	defaultOpInterval = 14 * time.Millisecond // virtual time between operations if the step has no request rate
	virtualStart      = 24 * time.Hour        // initial clock of the module, late enough that servers are past their slow start
	attemptLatency    = 5 * time.Millisecond
)

// ModuleResult holds the cost of the decision module at the step's size, measured in this process without sockets.
type ModuleResult struct {
	Servers          int      `json:"servers"`
	Classes          int      `json:"classes"`
	Tenants          int      `json:"tenants"`
	SetupMillis      *float64 `json:"new_ms,omitempty"`                 // creating the module from its settings and applying the first list
	HeapMiB          *float64 `json:"heap_mib,omitempty"`               // heap growth from this after a garbage collection, without the settings
	EntryChange      *OpCost  `json:"one_changed_entry,omitempty"`      // a list update with one entry
	FullList         *OpCost  `json:"whole_list,omitempty"`             // a full list
	Request          *OpCost  `json:"request_and_outcome,omitempty"`    // a request and, if it is admitted, its outcome
	AdmittedFraction *float64 `json:"requests_admitted_part,omitempty"` // refused requests cost less
}

// OpCost holds the time and the allocations of one operation, measured over many runs of it.
type OpCost struct {
	Micros     *Summary `json:"us,omitempty"`
	BytesPerOp float64  `json:"bytes_allocated"` // mean per operation
}

// moduleDriver feeds events to a module in virtual time.
type moduleDriver struct {
	module *policy.Balancer
	now    policy.Time
	timers timerHeap
}

type moduleTimer struct {
	dueAt policy.Time
	token uint64
}

type timerHeap []moduleTimer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].dueAt < t[j].dueAt }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(moduleTimer)) }

func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// handle passes an event to the module and registers the timers that it sets. It returns whether the module sends
// an attempt, and to which server.
func (d *moduleDriver) handle(event policy.Event) (server string, sent bool) {
	for _, action := range d.module.Handle(d.now, event) {
		switch action.Kind {
		case policy.Send:
			server, sent = action.Server, true
		case policy.SetTimer:
			heap.Push(&d.timers, moduleTimer{d.now + action.Wait, action.Token})
		}
	}
	return server, sent
}

// advanceTo moves the clock to a later time and fires the timers that come due on the way.
func (d *moduleDriver) advanceTo(to policy.Time) {
	for len(d.timers) > 0 && d.timers[0].dueAt <= to {
		t := heap.Pop(&d.timers).(moduleTimer)
		d.now = max(d.now, t.dueAt)
		d.handle(policy.Timer{Token: t.token})
	}
	d.now = to
}

// serveRequest passes in a request and, if it is admitted, a successful outcome of its attempt. It returns whether it
// was admitted.
func (d *moduleDriver) serveRequest(r policy.Request) bool {
	server, sent := d.handle(r)
	if sent {
		d.handle(policy.Outcome{ID: r.ID, Server: server, Code: policy.OK, Latency: attemptLatency, Ended: true})
	}
	return sent
}

func nodeSettings(w *World, node int) (policy.Settings, error) {
	raw, err := w.Settings(node)
	if err != nil {
		return policy.Settings{}, err
	}
	settings, _, err := wire.DecodeSettings(json.NewDecoder(bytes.NewReader(raw)))
	if err != nil {
		return policy.Settings{}, fmt.Errorf("settings.%w", err)
	}
	return settings, nil
}

func policyMembers(entries []Entry) []policy.Member {
	availability := map[string]policy.Availability{phaseDraining: policy.Draining, phaseRemoved: policy.Removed}
	members := make([]policy.Member, len(entries))
	for i, e := range entries {
		members[i] = policy.Member{Server: e.ID, Zone: e.Locality, Kind: e.Flavor, Cell: e.Cell, Weight: e.Size,
			Availability: availability[e.Phase]}
	}
	return members
}

// measureModule measures the decision module with the settings of one node and the world's initial list.
func measureModule(ctx context.Context, w *World, settings policy.Settings, seed uint64) (*ModuleResult, error) {
	members := policyMembers(w.Members())
	result := &ModuleResult{Servers: len(members), Classes: len(settings.Classes), Tenants: len(settings.Tenants)}
	heapBefore, _ := heapAndRSS()
	startTime := time.Now()
	module, err := policy.New(settings, virtualStart, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	driver := &moduleDriver{module: module, now: virtualStart}
	driver.handle(policy.MemberList{Kind: policy.ListReplace, Members: members})
	result.SetupMillis = ptr(roundSignificant(time.Since(startTime).Seconds() * 1e3))
	heapAfter, _ := heapAndRSS()
	if heapAfter > heapBefore { // otherwise the module's heap is too small to measure
		result.HeapMiB = ptr(roundSignificant(float64(heapAfter-heapBefore) / (1 << 20)))
	}
	interval := defaultOpInterval
	if w.Step.RequestRate > 0 {
		interval = time.Duration(float64(time.Second) / w.Step.RequestRate)
	}

	rng := rand.New(rand.NewPCG(seed, 3))
	changedIndexes := make([]int, maxBenchOps/2)
	for i := range changedIndexes {
		changedIndexes[i] = rng.IntN(len(members))
	}
	result.EntryChange = timeOps(ctx, maxBenchOps, func(i int) {
		update := []policy.Member{members[changedIndexes[i/2]]}
		if i%2 == 0 {
			update[0].Availability = policy.Draining
		}
		driver.advanceTo(driver.now + interval)
		driver.handle(policy.MemberList{Kind: policy.ListUpdate, Members: update})
	})
	result.FullList = timeOps(ctx, maxBenchOps, func(int) {
		driver.advanceTo(driver.now + interval)
		driver.handle(policy.MemberList{Kind: policy.ListReplace, Members: members})
	})
	requests, admitted, issued := make([]policy.Request, maxBenchOps), 0, 0
	for i := range requests {
		class, tenant := w.DrawRequest(rng)
		requests[i] = policy.Request{ID: strconv.Itoa(i), Class: class, Tenant: tenant, ExpiresIn: time.Second}
	}
	result.Request = timeOps(ctx, maxBenchOps, func(i int) {
		driver.advanceTo(driver.now + interval)
		issued++
		if driver.serveRequest(requests[i]) {
			admitted++
		}
	})
	if issued > 0 {
		result.AdmittedFraction = ptr(roundSignificant(float64(admitted) / float64(issued)))
	}
	return result, context.Cause(ctx)
}

// timeOps times an operation for benchDuration, with at least minBenchOps and at most maxOps runs.
func timeOps(ctx context.Context, maxOps int, op func(i int)) *OpCost {
	durations := hdrhistogram.New(1, 1e12, 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	startTime, n := time.Now(), 0
	for last := startTime; n < maxOps && (n < minBenchOps || last.Sub(startTime) < benchDuration) && ctx.Err() == nil; n++ {
		op(n)
		now := time.Now()
		recordValue(durations, now.Sub(last).Nanoseconds())
		last = now
	}
	runtime.ReadMemStats(&after)
	if n == 0 {
		return nil
	}
	return &OpCost{Micros: summarize(durations, 1e-3), BytesPerOp: roundSignificant(float64(after.TotalAlloc-before.TotalAlloc) / float64(n))}
}
