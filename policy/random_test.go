package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// randomRun sends random valid events to one node and checks the rules that a node can keep by itself: exactly one
// final answer, in time; no forbidden repeat or refusal; no late send to a draining server; placement; and the attempt
// budget. It tracks the state itself and shares no code with the decisions.
type randomRun struct {
	t             *testing.T
	rng           *rand.Rand
	settings      Settings
	balancer      *Balancer
	now           Time
	listed        map[string]Member
	drainingSince map[string]Time // when a server was listed as draining, also after its removal
	requests      map[string]*trackedRequest
	requestCount  int
	tasks         []scheduledTask // pending outcomes, timers and probe results
	log           []string
	// On average, five in failureDenominator attempts fail; the others take less than maxLatencyMs. Requests arrive on
	// one step in arrivalInterval.
	failureDenominator, maxLatencyMs, arrivalInterval int

	requestTimes      []Time // arrivals of all requests
	extraAttemptTimes []Time // times of all attempts beyond a request's first
}

// trackedRequest is a request as the test tracks it.
type trackedRequest struct {
	Request
	class    Class
	deadline Time
	attempts []trackedAttempt
	ended    bool
}

// trackedAttempt is an attempt as the test tracks it, with its server as listed at the time.
type trackedAttempt struct {
	server Member
	sent   Time
	ended  bool
	notRun bool
}

// scheduledTask is a callback that runs at a simulated time.
type scheduledTask struct {
	dueAt Time
	run   func()
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings([]int{1, 3, 12, 60}[seed%4])
	set.Node = rng.IntN(set.Nodes)
	set.Subscribe, set.WarmKeys = seed%5 == 0, seed%3 == 0
	set.Allowed.Probe, set.Report = seed%2 == 0, []string{"inflight"}
	set.Allowed.Cancel, set.Allowed.Hedge = seed%7 != 0, seed%6 != 0
	if seed%8 == 0 {
		set.Tenants = nil
	}
	if seed%2 == 1 {
		set.Rules.AttemptBudget = &AttemptBudget{MinExtra: float64(rng.IntN(3)), ExtraShare: 0.05, Span: 5 * time.Second}
	}
	for i := range set.Classes { // windows shorter than the time in which a request may still be repeated
		set.Classes[i].Window = time.Duration(20+rng.IntN(150)) * ms
	}
	switch seed % 3 {
	case 1:
		set.Classes[seed%5].Kinds = []string{"k1", "k2"}
	case 2:
		set.Classes[seed%5].Zones = []string{"b"}
		set.Classes[(seed+1)%5].Kinds = []string{"k0"}
	}
	b, err := New(set, 0, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &randomRun{t: t, rng: rng, settings: set, balancer: b, listed: map[string]Member{}, drainingSince: map[string]Time{}, requests: map[string]*trackedRequest{},
		failureDenominator: []int{8, 20, 60}[seed/3%3], maxLatencyMs: []int{300, 50}[seed/2%2], arrivalInterval: []int{1, 8}[seed/4%2]}
	for _, m := range members(1 + rng.IntN(9)) {
		if rng.IntN(4) == 0 {
			m.OnlineSince = 1
		}
		w.listed[m.Server] = m
	}
	w.deliver(MemberList{Kind: ListRestored, Members: w.fullList()})
	return w
}

func (w *randomRun) fullList() []Member {
	var out []Member
	for i := range 10 {
		if m, ok := w.listed[fmt.Sprintf("s%02d", i)]; ok {
			out = append(out, m)
		}
	}
	return out
}

func (w *randomRun) schedule(d time.Duration, do func()) {
	w.tasks = append(w.tasks, scheduledTask{w.now + d, do})
}

func (w *randomRun) deliver(ev Event) {
	for _, a := range slices.Clone(w.balancer.Handle(w.now, ev)) {
		w.log = append(w.log, fmt.Sprintf("%v %+v", w.now, a))
		w.perform(a)
	}
}

func (w *randomRun) perform(a Action) {
	req := w.requests[a.ID]
	switch a.Kind {
	case Send:
		w.handleSend(req, a)
	case Refuse, Fail:
		w.handleAnswer(req, a)
	case Cancel:
		if !w.settings.Allowed.Cancel || a.Attempt >= len(req.attempts) {
			w.t.Errorf("cancel of an unknown attempt, or cancelling is not allowed: %+v", a)
		}
	case SetTimer:
		w.schedule(max(a.Wait, ms), func() { w.deliver(Timer{Token: a.Token}) })
	case Probe:
		code, load := OK, float64(w.rng.IntN(6))
		if !w.settings.Allowed.Probe {
			w.t.Errorf("probe though probes are not allowed")
		}
		if w.rng.IntN(3) > 0 {
			w.schedule(ms*time.Duration(w.rng.IntN(30)), func() {
				w.deliver(ProbeResult{Server: a.Server, Code: code, Report: []float64{load}})
			})
		}
	case WatchList:
		if w.rng.IntN(2) == 0 {
			w.schedule(ms, func() { w.deliver(MemberList{Kind: ListUnavailable}) })
		}
	}
}

// handleSend checks an attempt against the rules and schedules its outcome.
func (w *randomRun) handleSend(req *trackedRequest, a Action) {
	m, listed := w.listed[a.Server]
	if since, ok := w.drainingSince[a.Server]; ok && w.now > since+w.settings.Rules.DrainGrace {
		w.t.Errorf("%s has been draining or removed since %v, but gets an attempt at %v", a.Server, since, w.now)
	}
	if !listed && w.drainingSince[a.Server] == 0 {
		w.t.Errorf("unknown server %q", a.Server)
	}
	if req == nil || req.ended || w.now >= req.deadline {
		w.t.Fatalf("attempt for a request that has ended or expired: %+v", a)
	}
	open := 0
	for _, earlier := range req.attempts {
		if !earlier.ended {
			open++
		}
		if earlier.notRun {
			continue
		}
		switch req.class.Repeat {
		case Never:
			w.t.Errorf("%s sent again though it may have run", req.class.Name)
		case Guarded:
			group := req.class.Group
			if w.now > earlier.sent+req.class.Window || group == GroupZone && m.Zone != earlier.server.Zone ||
				group == GroupCell && m.Cell != earlier.server.Cell {
				w.t.Errorf("%s sent again outside its group or window", req.class.Name)
			}
		}
	}
	if open > 0 && !w.settings.Allowed.Hedge || len(req.attempts) >= w.settings.Allowed.MaxAttempts {
		w.t.Errorf("a hedge that is not allowed, or too many attempts: %+v", a)
	}
	if c := req.class; len(c.Kinds) > 0 && !slices.Contains(c.Kinds, m.Kind) ||
		len(c.Zones) > 0 && !slices.Contains(c.Zones, m.Zone) {
		w.t.Errorf("%s sent to %s of kind %s in zone %s", c.Name, a.Server, m.Kind, m.Zone)
	}
	if len(req.attempts) > 0 {
		w.checkAttemptBudget()
	}
	n := len(req.attempts)
	req.attempts = append(req.attempts, trackedAttempt{server: m, sent: w.now})
	until := req.deadline
	if a.Until > 0 {
		until = min(until, a.Until)
	}
	code, latency := OK, time.Duration(w.rng.IntN(w.maxLatencyMs))*ms
	if w.rng.IntN(w.failureDenominator) < 5 {
		code = []Code{ServerError, Full, ConnectFailed, Reset, TimedOut}[w.rng.IntN(5)]
	}
	if code == TimedOut || w.now+latency > until {
		code, latency = TimedOut, until-w.now
	}
	w.schedule(latency, func() {
		req.attempts[n].ended, req.attempts[n].notRun = true, code.NotRun()
		if code == OK {
			req.ended = true
		}
		ev := Outcome{ID: req.ID, Attempt: n, Server: a.Server, Code: code, Latency: latency, Ended: req.ended}
		w.deliver(ev)
		if w.rng.IntN(20) == 0 {
			w.deliver(ev) // a duplicate
		}
	})
}

// checkAttemptBudget records an extra attempt and checks the attempt budget by its own count.
func (w *randomRun) checkAttemptBudget() {
	w.extraAttemptTimes = append(w.extraAttemptTimes, w.now)
	budget := w.settings.Rules.AttemptBudget
	if budget == nil {
		return
	}
	within := func(times []Time) (n int) {
		for _, at := range times {
			if at > w.now-budget.Span {
				n++
			}
		}
		return n
	}
	if n, maxExtra := within(w.extraAttemptTimes), budget.MinExtra+budget.ExtraShare*float64(within(w.requestTimes)); float64(n) > maxExtra {
		w.t.Errorf("%d attempts beyond the first in %v, want at most %v", n, budget.Span, maxExtra)
	}
}

// handleAnswer checks a final answer: there is only one, and a refusal only if a retry is safe.
func (w *randomRun) handleAnswer(req *trackedRequest, a Action) {
	if req == nil || req.ended {
		w.t.Fatalf("a second answer, or one to an unknown request: %+v", a)
	}
	req.ended = true
	for _, earlier := range req.attempts {
		safe := req.class.Repeat == Free || req.class.Repeat == Guarded && req.class.Group == GroupAll
		if a.Kind == Refuse && !earlier.notRun && !safe {
			w.t.Errorf("%s refused though it may have run", req.class.Name)
		}
	}
}

func (w *randomRun) step() {
	w.now += time.Duration(1+w.rng.IntN(4)) * ms
	stall := w.rng.IntN(400) == 0 // the node is stalled, then handles everything that came meanwhile at once
	if stall {
		w.now += time.Duration(w.rng.IntN(900)) * ms
	}
	due := w.tasks
	w.tasks = nil
	slices.SortStableFunc(due, func(x, y scheduledTask) int { return int(x.dueAt - y.dueAt) })
	for _, next := range due {
		if next.dueAt > w.now {
			w.tasks = append(w.tasks, next)
			continue
		}
		next.run()
	}
	for id, req := range w.requests { // the map order is irrelevant: requests are only checked and deleted
		if !req.ended && w.now > req.deadline+5*ms && !stall {
			w.t.Fatalf("%s (class %s) got no answer in time", id, req.class.Name)
		}
		if req.ended && w.now > req.deadline+time.Second {
			delete(w.requests, id)
		}
	}
	switch w.rng.IntN(60) {
	case 0:
		w.changeServer()
	case 1:
		w.deliver(Timer{Token: w.rng.Uint64()})
		w.deliver(ClientGone{ID: "nobody"})
		w.deliver(Outcome{ID: "nobody", Server: "nowhere"})
		w.deliver(ProbeResult{Server: "nowhere"})
		w.deliver(PeerMessage{From: 99, Body: "\x00"})
	}
	if w.rng.IntN(w.arrivalInterval) == 0 {
		for range w.rng.IntN(3) {
			w.sendRequest()
		}
	}
}

func (w *randomRun) sendRequest() {
	w.requestCount++
	c := Class{Name: "stranger"}
	if w.rng.IntN(10) > 0 {
		c = w.settings.Classes[w.rng.IntN(len(w.settings.Classes))]
	}
	r := Request{ID: fmt.Sprint("r", w.requestCount), Class: c.Name, Tenant: []string{"t", "t", "u", "?", ""}[w.rng.IntN(5)],
		ExpiresIn: time.Duration(1+w.rng.IntN(600)) * ms, Key: fmt.Sprint(w.rng.IntN(30))}
	req := &trackedRequest{Request: r, class: c, deadline: w.now + r.ExpiresIn}
	w.requests[r.ID] = req
	w.requestTimes = append(w.requestTimes, w.now)
	w.deliver(r)
	if !req.ended && w.rng.IntN(40) == 0 {
		w.schedule(ms, func() {
			if !req.ended {
				req.ended = true
				w.deliver(ClientGone{ID: r.ID})
			}
		})
	}
}

// changeServer drains, removes, restarts or adds a server, and sends the change as an update or as a full list.
func (w *randomRun) changeServer() {
	id := fmt.Sprintf("s%02d", w.rng.IntN(10))
	m, listed := w.listed[id]
	switch {
	case !listed:
		m = members(10)[w.rng.IntN(10)]
		m.OnlineSince = w.now
		w.listed[m.Server] = m
		delete(w.drainingSince, m.Server)
	case w.rng.IntN(3) == 0:
		m.OnlineSince, m.Availability = w.now, Running
		w.listed[id] = m
		delete(w.drainingSince, id)
	case m.Availability == Running:
		m.Availability = Draining
		w.listed[id] = m
		w.drainingSince[id] = w.now
	default:
		m.Availability = Removed
		delete(w.listed, id)
	}
	if w.rng.IntN(2) == 0 {
		w.deliver(MemberList{Kind: ListUpdate, Members: []Member{m}})
		return
	}
	w.deliver(MemberList{Kind: ListReplace, Members: w.fullList()})
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(40) {
		w := newRandomRun(t, seed)
		for range 1500 {
			w.step()
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		w := newRandomRun(t, 12)
		for range 800 {
			w.step()
		}
		return w.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same events led to different actions")
	}
}

// The state of a request must be deleted once the request has ended.
func TestEndedRequestsAreDeleted(t *testing.T) {
	w := newRandomRun(t, 4)
	for range 3000 {
		w.step()
	}
	if n := len(w.balancer.requests); n > 600 {
		t.Errorf("%d requests still stored, want at most 600", n)
	}
}
