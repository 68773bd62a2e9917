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
	moduleSpan    = 2 * time.Second       // of each cost
	moduleLeast   = 3                     // times, though it takes longer
	moduleMost    = 20_000                // requests; they are drawn beforehand
	moduleGap     = 14 * time.Millisecond // of virtual time between operations, where the step has no request rate
	moduleOrigin  = 24 * time.Hour        // as of a node's clock, so that servers are warm
	moduleLatency = 5 * time.Millisecond
)

// ModuleResult is what the decision module costs in this process, without sockets, at the step's size.
type ModuleResult struct {
	Servers  int      `json:"servers"`
	Classes  int      `json:"classes"`
	Tenants  int      `json:"tenants"`
	New      *float64 `json:"new_ms,omitempty"`   // of the settings, with the first list
	Heap     *float64 `json:"heap_mib,omitempty"` // after a collection; the settings are not its own
	Entry    *OpCost  `json:"one_changed_entry,omitempty"`
	Whole    *OpCost  `json:"whole_list,omitempty"`
	Request  *OpCost  `json:"request_and_outcome,omitempty"`
	Admitted *float64 `json:"requests_admitted_part,omitempty"` // a refused request costs less
}

// OpCost is of one operation, timed many times.
type OpCost struct {
	Micros *Spread `json:"us,omitempty"`
	Bytes  float64 `json:"bytes_allocated"` // for each
}

// host drives a module in virtual time.
type host struct {
	module *policy.Balancer
	now    policy.Time
	due    moduleTimers
}

type moduleTimer struct {
	at    policy.Time
	token uint64
}

type moduleTimers []moduleTimer

func (t moduleTimers) Len() int           { return len(t) }
func (t moduleTimers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t moduleTimers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *moduleTimers) Push(x any)        { *t = append(*t, x.(moduleTimer)) }

func (t *moduleTimers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// handle hands the module an event, and returns whether it calls for sending, and where to.
func (h *host) handle(ev policy.Event) (server string, sent bool) {
	for _, a := range h.module.Handle(h.now, ev) {
		switch a.Kind {
		case policy.Send:
			server, sent = a.Server, true
		case policy.SetTimer:
			heap.Push(&h.due, moduleTimer{h.now + a.Wait, a.Token})
		}
	}
	return server, sent
}

// advance goes to a later time, by way of the timers that come due.
func (h *host) advance(to policy.Time) {
	for len(h.due) > 0 && h.due[0].at <= to {
		t := heap.Pop(&h.due).(moduleTimer)
		h.now = max(h.now, t.at)
		h.handle(policy.Timer{Token: t.token})
	}
	h.now = to
}

// request hands in a request and the good outcome of its attempt, and returns whether it was admitted.
func (h *host) request(r policy.Request) bool {
	server, sent := h.handle(r)
	if sent {
		h.handle(policy.Outcome{ID: r.ID, Server: server, Code: policy.OK, Latency: moduleLatency, Ended: true})
	}
	return sent
}

func settingsOf(w *World, node int) (policy.Settings, error) {
	raw, err := w.Settings(node)
	if err != nil {
		return policy.Settings{}, err
	}
	set, _, err := wire.DecodeSettings(json.NewDecoder(bytes.NewReader(raw)))
	if err != nil {
		return policy.Settings{}, fmt.Errorf("settings.%w", err)
	}
	return set, nil
}

func membersOf(entries []Entry) []policy.Member {
	phases := map[string]policy.Availability{phaseDraining: policy.Draining, phaseRemoved: policy.Removed}
	all := make([]policy.Member, len(entries))
	for i, e := range entries {
		all[i] = policy.Member{Server: e.ID, Zone: e.Locality, Kind: e.Flavor, Cell: e.Cell, Weight: e.Size,
			Availability: phases[e.Phase]}
	}
	return all
}

// measureModule times the module of node 0.
func measureModule(ctx context.Context, w *World, set policy.Settings, seed uint64) (*ModuleResult, error) {
	members := membersOf(w.Members())
	res := &ModuleResult{Servers: len(members), Classes: len(set.Classes), Tenants: len(set.Tenants)}
	before, _ := heapAndRSS()
	began := time.Now()
	module, err := policy.New(set, moduleOrigin, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	h := &host{module: module, now: moduleOrigin}
	h.handle(policy.MemberList{Kind: policy.ListReplace, Members: members})
	res.New = ptr(round(time.Since(began).Seconds() * 1e3))
	after, _ := heapAndRSS()
	if after > before { // else it is too little to be seen
		res.Heap = ptr(round(float64(after-before) / (1 << 20)))
	}
	gap := moduleGap
	if w.Step.RequestRate > 0 {
		gap = time.Duration(float64(time.Second) / w.Step.RequestRate)
	}

	rng := rand.New(rand.NewPCG(seed, 3))
	changing := make([]int, moduleMost/2)
	for i := range changing {
		changing[i] = rng.IntN(len(members))
	}
	res.Entry = timeOps(ctx, moduleMost, func(i int) {
		one := []policy.Member{members[changing[i/2]]}
		if i%2 == 0 {
			one[0].Availability = policy.Draining
		}
		h.advance(h.now + gap)
		h.handle(policy.MemberList{Kind: policy.ListUpdate, Members: one})
	})
	res.Whole = timeOps(ctx, moduleMost, func(int) {
		h.advance(h.now + gap)
		h.handle(policy.MemberList{Kind: policy.ListReplace, Members: members})
	})
	requests, admitted, asked := make([]policy.Request, moduleMost), 0, 0
	for i := range requests {
		class, tenant := w.DrawRequest(rng)
		requests[i] = policy.Request{ID: strconv.Itoa(i), Class: class, Tenant: tenant, ExpiresIn: time.Second}
	}
	res.Request = timeOps(ctx, moduleMost, func(i int) {
		h.advance(h.now + gap)
		asked++
		if h.request(requests[i]) {
			admitted++
		}
	})
	if asked > 0 {
		res.Admitted = ptr(round(float64(admitted) / float64(asked)))
	}
	return res, context.Cause(ctx)
}

// timeOps times an operation for moduleSpan, but moduleLeast times at least and no more often than most.
func timeOps(ctx context.Context, most int, op func(i int)) *OpCost {
	nanos := hdrhistogram.New(1, 1e12, 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, n := time.Now(), 0
	for last := began; n < most && (n < moduleLeast || last.Sub(began) < moduleSpan) && ctx.Err() == nil; n++ {
		op(n)
		now := time.Now()
		record(nanos, now.Sub(last).Nanoseconds())
		last = now
	}
	runtime.ReadMemStats(&after)
	if n == 0 {
		return nil
	}
	return &OpCost{Micros: spread(nanos, 1e-3), Bytes: round(float64(after.TotalAlloc-before.TotalAlloc) / float64(n))}
}
