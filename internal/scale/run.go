package scale

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltward/policy"
)

const (
	startAllowance = 2 * time.Minute // of a step, beside its parts
	nodeAllowance  = time.Second     // of a step for each node that it starts
	restFor        = time.Second     // after the last node has asked discovery, before the quiet part
	settleFor      = 5 * time.Second // after the last change, for it to be in force everywhere
	lookEvery      = 50 * time.Millisecond
	weighEvery     = 250 * time.Millisecond
	memoryPart     = 0.5                  // of the machine, for a step's processes
	workMean       = 5 * time.Millisecond // of a request at a transcriber
)

// Options are what a run is told beside its plan.
type Options struct {
	NodeBinary string   // the built node
	Program    string   // this program, which children are started from
	Steps      []string // names of those to run; empty: all
	Seed       uint64   // 0: the plan's
	Repeat     int      // how often the whole plan is run
	MemoryMB   int      // the memory limit that nodes are told
}

// Execute runs the plan at path. With an error, the result holds what was measured until then.
func Execute(ctx context.Context, path string, o Options) (Result, error) {
	plan, err := LoadPlan(path)
	if err != nil {
		return Result{}, err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	if o.Seed == 0 {
		o.Seed = plan.Seed
	}
	steps, err := chosen(plan.Steps, o.Steps)
	if err != nil {
		return Result{}, err
	}
	limit := time.Duration(0)
	for _, s := range steps {
		limit += stepLimit(s) * time.Duration(max(1, o.Repeat))
		if s.Real > 0 {
			if _, err := os.Stat(o.NodeBinary); err != nil {
				return Result{}, fmt.Errorf("node binary: %w", err)
			}
		}
	}
	ctx, cancel := context.WithTimeoutCause(ctx, limit, fmt.Errorf("the run took longer than %v", limit))
	defer cancel()
	res := newResult(plan.Name, o.Seed)
	res.PlanHash = fmt.Sprintf("%x", sha256.Sum256(raw))
	var failed error
	for i := range max(1, o.Repeat) {
		run := Run{Began: time.Now().UTC().Truncate(time.Second), LoadAvg: loadAverage()}
		began := time.Now()
		for _, s := range steps {
			slog.Info("step", "run", i+1, "name", s.Name, "nodes", s.Nodes, "hollow", s.Hollow, "real", s.Real)
			sr, err := runStep(ctx, s, o)
			if err != nil {
				slog.Error("step", "name", s.Name, "err", err)
				sr.Error, failed = err.Error(), errors.Join(failed, fmt.Errorf("step %s: %w", s.Name, err))
			}
			run.Steps = append(run.Steps, sr)
			if ctx.Err() != nil {
				break
			}
		}
		run.Seconds = round(time.Since(began).Seconds())
		res.Runs = append(res.Runs, run)
		if ctx.Err() != nil {
			break
		}
	}
	return res, failed
}

// chosen returns the steps with these names, in the plan's order.
func chosen(steps []Step, names []string) ([]Step, error) {
	for _, name := range names {
		if !slices.ContainsFunc(steps, func(s Step) bool { return s.Name == name }) {
			return nil, fmt.Errorf("step %q: not in the plan", name)
		}
	}
	if len(names) == 0 {
		return steps, nil
	}
	return slices.DeleteFunc(slices.Clone(steps), func(s Step) bool { return !slices.Contains(names, s.Name) }), nil
}

func stepLimit(s Step) time.Duration {
	return startAllowance + time.Duration(s.Real+s.Hollow)*nodeAllowance + 2*s.Quiet.Duration + 2*s.Loaded.Duration
}

// stepRun is one step as it runs.
type stepRun struct {
	Step
	o      Options
	world  *World
	set    policy.Settings
	temp   string
	cancel context.CancelCauseFunc
	res    *StepResult

	registry, transcribers *child
	addresses              []string
	real                   []*realNode
	hollow                 []*child
	groups                 []int // hollow nodes of each process

	mu       sync.Mutex
	children []*child
	again    *hdrhistogram.Histogram // from a restart to ready, in microseconds
	faulty   int                     // changes that faults have made
}

// snapshot is what has been spent and sent up to a time.
type snapshot struct {
	at       time.Time
	real     time.Duration // CPU of all real nodes
	hollow   time.Duration // CPU of all processes of hollow nodes
	registry RegistryCost
	logs     int64 // bytes, of hollow nodes
}

func runStep(ctx context.Context, s Step, o Options) (res StepResult, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, stepLimit(s), fmt.Errorf("the step took longer than %v", stepLimit(s)))
	defer cancel()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	res = StepResult{Name: s.Name, Size: Size{Nodes: s.Nodes, Hollow: s.Hollow, Real: s.Real, Services: s.Services,
		Transcribers: s.Transcribers, Tenants: s.Tenants, RequestRate: s.RequestRate, ChangeRate: s.ChangeRate,
		NodeMemoryMB: o.MemoryMB}}
	for _, f := range s.Faults {
		res.Faults = append(res.Faults, f.text())
	}
	r := &stepRun{Step: s, o: o, cancel: fail, res: &res, again: histogram()}
	if s.Hollow > 0 {
		each := s.PerProcess
		if each == 0 {
			each = s.Hollow
		}
		for left := s.Hollow; left > 0; left -= each {
			r.groups = append(r.groups, min(left, each))
		}
	}
	if n := s.Real + len(r.groups) + 2; n > maxChildren {
		return res, fmt.Errorf("processes: want %d or fewer, got %d", maxChildren, n)
	}
	port, err := FreeLoopbackPort()
	if err != nil {
		return res, err
	}
	r.world = NewWorld(s, o.Seed, port)
	if r.set, err = settingsOf(r.world, 0); err != nil {
		return res, err
	}
	if res.Module, err = measureModule(ctx, r.world, r.set, o.Seed); err != nil {
		return res, err
	}
	if r.temp, err = os.MkdirTemp("", "scalerun-"); err != nil {
		return res, err
	}
	defer os.RemoveAll(r.temp)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer fail(nil)
	defer r.end()
	watch.Go(func() { r.weigh(ctx) })
	if err = r.start(ctx, port); err == nil {
		err = r.measure(ctx)
	}
	if err != nil && context.Cause(ctx) != nil { // what came after is but a consequence
		err = context.Cause(ctx)
	}
	return res, err
}

func (f Fault) text() string {
	switch f.Kind {
	case RestartWave:
		return fmt.Sprintf("%s of %g of the nodes at %v", f.Kind, f.Part, f.At.Duration)
	case ZoneLost:
		return fmt.Sprintf("%s over %v and back after %v at %v", f.Kind, f.Over.Duration, f.For.Duration, f.At.Duration)
	}
	return fmt.Sprintf("%s for %v at %v", f.Kind, f.For.Duration, f.At.Duration)
}

func (r *stepRun) child(kind string) (*child, error) {
	c, err := startChild(r.o.Program, kind)
	if err == nil {
		r.mu.Lock()
		r.children = append(r.children, c)
		r.mu.Unlock()
	}
	return c, err
}

// end ends all processes, each by its own id.
func (r *stepRun) end() {
	var all sync.WaitGroup
	for _, n := range r.real {
		all.Go(n.kill)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.children {
		all.Go(c.end)
	}
	all.Wait()
}

// weigh stops the step when its processes hold too much memory.
func (r *stepRun) weigh(ctx context.Context) {
	total, err := memTotal()
	if err != nil {
		r.cancel(err)
		return
	}
	look := time.NewTicker(weighEvery)
	defer look.Stop()
	for {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
		var sum int64
		for _, pid := range r.pids() {
			if rss, err := memoryOf(pid, "VmRSS"); err == nil { // else it has just ended
				sum += rss
			}
		}
		if float64(sum) > memoryPart*float64(total) {
			r.cancel(fmt.Errorf("the step's processes hold %d MiB, more than half of the machine's memory", sum>>20))
		}
	}
}

func (r *stepRun) pids() (all []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.children {
		all = append(all, c.pid())
	}
	for _, n := range r.real {
		if pid := n.pid(); pid != 0 {
			all = append(all, pid)
		}
	}
	return all
}

// start starts the stand-ins, then the real nodes one after the other, then the hollow ones.
func (r *stepRun) start(ctx context.Context, port int) (err error) {
	if r.registry, err = r.child("registry"); err != nil {
		return err
	}
	err = r.registry.call(ctx, "Child.Start", RegistryArgs{r.Step, r.o.Seed, port, max(1, r.Real+len(r.groups))}, &r.addresses)
	if err != nil {
		return err
	}
	if r.loads() {
		if r.transcribers, err = r.child("transcribers"); err != nil {
			return err
		}
		if err := r.transcribers.call(ctx, "Child.Start", TranscribersArgs{r.Step, r.o.Seed, port, workMean}, nil); err != nil {
			return err
		}
	}
	if r.Real > 0 {
		r.res.Real = &KindResult{Nodes: r.Real, Processes: r.Real}
		if err := r.startReal(ctx); err != nil {
			return err
		}
	}
	if r.Hollow == 0 {
		return nil
	}
	r.res.Hollow = &KindResult{Nodes: r.Hollow, Processes: len(r.groups)}
	first := r.Real
	for i, n := range r.groups {
		c, err := r.child("hollow")
		if err != nil {
			return err
		}
		r.hollow = append(r.hollow, c)
		args := HollowArgs{Step: r.Step, Seed: r.o.Seed, Port: port, First: first, Count: n,
			Discovery: r.addresses[r.Real+i], MemoryMB: r.o.MemoryMB}
		if err := c.call(ctx, "Child.Start", args, nil); err != nil {
			return err
		}
		first += n
	}
	return nil
}

func (r *stepRun) startReal(ctx context.Context) error {
	ready, cpu, logs := histogram(), histogram(), histogram()
	for i := range r.Real {
		n, err := newRealNode(r.o.NodeBinary, r.temp, r.world, i, r.addresses[i], r.o.MemoryMB)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.real = append(r.real, n)
		r.mu.Unlock()
		began := time.Now()
		if err := n.start(r.temp); err != nil {
			return err
		}
		if err := n.awaitReady(ctx); err != nil {
			return err
		}
		record(ready, time.Since(began).Microseconds())
		if spent, err := n.cpu(); err == nil {
			record(cpu, spent.Microseconds())
		}
		record(logs, n.log.Load())
	}
	r.res.Real.StartToReady, r.res.Real.StartCPU, r.res.Real.StartLog = spread(ready, 1e-3), spread(cpu, 1e-3), spread(logs, 1)
	return nil
}

func (r *stepRun) loads() bool { return r.Real > 0 && r.RequestRate > 0 && r.Loaded.Duration > 0 }

// measure goes through the parts of the step.
func (r *stepRun) measure(ctx context.Context) (err error) {
	if err := r.awaitNodes(ctx); err != nil {
		return err
	}
	s0, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	if err := r.registry.call(ctx, "Child.ChangeFor", r.changing(), nil); err != nil {
		return err
	}
	var faults sync.WaitGroup
	defer func() {
		if err != nil { // no more faults
			r.cancel(err)
		}
		faults.Wait()
	}()
	for _, f := range r.Faults {
		faults.Go(func() {
			if sleep(ctx, time.Until(s0.at.Add(f.At.Duration))) != nil {
				return
			}
			slog.Info("fault", "kind", f.Kind)
			if err := r.carryOut(ctx, f); err != nil {
				r.cancel(fmt.Errorf("fault %s: %w", f.Kind, err))
			}
		})
	}
	if err := sleep(ctx, time.Until(s0.at.Add(r.Quiet.Duration))); err != nil {
		return err
	}
	s1, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	r.quiet(s0, s1)
	s2 := s1
	if r.Loaded.Duration > 0 {
		l := &load{added: histogram()}
		var clients sync.WaitGroup
		if r.loads() {
			r.sendLoad(ctx, l, &clients)
		}
		err := sleep(ctx, time.Until(s1.at.Add(r.Loaded.Duration)))
		if err == nil {
			s2, err = r.snapshot(ctx)
		}
		clients.Wait()
		if err != nil {
			return err
		}
		r.loaded(ctx, l, s0, s1, s2)
	}
	faults.Wait()
	if err := r.settle(ctx, s0, s1, s2); err != nil {
		return err
	}
	for _, n := range r.real {
		if err := n.crashed(); err != nil {
			return err
		}
	}
	return r.endOfStep(ctx)
}

func (r *stepRun) changing() ChangeArgs {
	return ChangeArgs{Rate: r.ChangeRate, For: r.Quiet.Duration + r.Loaded.Duration}
}

// awaitNodes waits until each node has a list in force and has asked discovery, and rests.
func (r *stepRun) awaitNodes(ctx context.Context) error {
	for {
		var c RegistryCost
		if err := r.registry.call(ctx, "Child.Cost", struct{}{}, &c); err != nil {
			return err
		}
		asked := len(c.Stats) >= r.Real+len(r.groups)
		for i, s := range c.Stats {
			want := 1
			if i >= r.Real && i-r.Real < len(r.groups) {
				want = r.groups[i-r.Real]
			}
			// Calls alone would not do: some nodes have made two while others wait for their turn to begin.
			asked = asked && (s.WatchCalls+s.WholeCalls >= int64(want) && s.Open >= int64(want) || r.Real+len(r.groups) == 0)
		}
		inForce, err := r.inForceEverywhere(ctx, 0)
		if err != nil {
			return err
		}
		if asked && inForce {
			return sleep(ctx, restFor)
		}
		if err := sleep(ctx, lookEvery); err != nil {
			return err
		}
	}
}

// inForceEverywhere tells whether every node has a list of this revision or a newer one in force.
func (r *stepRun) inForceEverywhere(ctx context.Context, revision int64) (bool, error) {
	for _, n := range r.real {
		if n.seen.count() == 0 || n.seen.last() < revision {
			return false, nil
		}
	}
	for i, c := range r.hollow {
		var cost HollowCost
		if err := c.call(ctx, "Child.Cost", revision, &cost); err != nil {
			return false, err
		}
		if cost.Ready < r.groups[i] {
			return false, nil
		}
	}
	return true, nil
}

func (r *stepRun) snapshot(ctx context.Context) (s snapshot, err error) {
	s.at = time.Now()
	for _, n := range r.real {
		cpu, err := n.cpu()
		if err != nil {
			return s, err
		}
		s.real += cpu
	}
	for _, c := range r.hollow {
		var cost HollowCost
		if err := c.call(ctx, "Child.Cost", int64(0), &cost); err != nil {
			return s, err
		}
		s.hollow += cost.CPU
		s.logs += cost.Log
	}
	err = r.registry.call(ctx, "Child.Cost", struct{}{}, &s.registry)
	return s, err
}

// quiet notes the quiet part's figures.
func (r *stepRun) quiet(from, to snapshot) {
	seconds := to.at.Sub(from.at).Seconds()
	if seconds <= 0 || r.Quiet.Duration <= 0 {
		return
	}
	if k := r.res.Real; k != nil {
		k.Quiet = part(from, to, r.Real, 0, r.Real)
		k.ControlCPU = ptr(round((to.real - from.real).Seconds() / seconds / float64(r.Real)))
		k.Quiet.CPU = k.ControlCPU
		resting := histogram()
		for _, n := range r.real {
			if rss, err := n.memory("VmRSS"); err == nil {
				record(resting, rss>>10)
			}
		}
		k.Resting = spread(resting, 1./(1<<10))
	}
	if k := r.res.Hollow; k != nil {
		k.Quiet = part(from, to, r.Hollow, r.Real, len(r.addresses))
		k.ControlCPU = ptr(round((to.hollow - from.hollow).Seconds() / seconds / float64(r.Hollow)))
		k.Quiet.CPU = k.ControlCPU
	}
	cpu := (to.registry.CPU - from.registry.CPU).Seconds()
	r.res.Registry = &RegistryResult{CPU: ptr(round(cpu / seconds))}
	if n := r.Real + r.Hollow; n > 0 {
		r.res.Registry.NodeCPU = ptr(round(cpu / seconds / float64(n)))
	}
	if n := r.ChangeRate * r.Quiet.Seconds(); n >= 1 {
		r.res.Registry.ChangeCPU = ptr(round(cpu / n * 1e3))
	}
}

// part sums up the listeners from first to before end, for each of n nodes.
func part(from, to snapshot, n, first, end int) *PartResult {
	var d RegistryStats
	for i := first; i < end; i++ {
		a, b := from.registry.Stats[i], to.registry.Stats[i]
		d.BytesIn += b.BytesIn - a.BytesIn
		d.BytesOut += b.BytesOut - a.BytesOut
		d.DeltaBytes += b.DeltaBytes - a.DeltaBytes
		d.WholeBytes += b.WholeBytes - a.WholeBytes
		d.Connections += b.Connections - a.Connections
		d.WatchCalls += b.WatchCalls - a.WatchCalls
		d.WholeCalls += b.WholeCalls - a.WholeCalls
		d.Deltas += b.Deltas - a.Deltas
		d.EmptyDeltas += b.EmptyDeltas - a.EmptyDeltas
		d.WholeLists += b.WholeLists - a.WholeLists
		d.Failures += b.Failures - a.Failures
	}
	seconds := to.at.Sub(from.at).Seconds()
	each := func(v int64) float64 { return round(float64(v) / float64(n) / seconds) }
	return &PartResult{Seconds: round(seconds), BytesIn: each(d.BytesOut), BytesOut: each(d.BytesIn),
		DeltaBytes: each(d.DeltaBytes), WholeBytes: each(d.WholeBytes), Connections: each(d.Connections),
		WatchCalls: each(d.WatchCalls), WholeCalls: each(d.WholeCalls), Deltas: each(d.Deltas),
		EmptyDeltas: each(d.EmptyDeltas), WholeLists: each(d.WholeLists), Failures: each(d.Failures)}
}

// sendLoad starts the clients of all real nodes.
func (r *stepRun) sendLoad(ctx context.Context, l *load, clients *sync.WaitGroup) {
	deadlines := make(map[string]time.Duration)
	for _, c := range r.set.Classes {
		deadlines[c.Name] = c.Deadline
	}
	for i, n := range r.real {
		clients.Go(func() {
			l.loadNode(ctx, n.listen, r.world.Request, deadlines, r.RequestRate, r.Loaded.Duration, r.o.Seed+uint64(i))
		})
	}
}

// loaded notes the loaded part's figures.
func (r *stepRun) loaded(ctx context.Context, l *load, s0, s1, s2 snapshot) {
	seconds, quiet := s2.at.Sub(s1.at).Seconds(), s1.at.Sub(s0.at).Seconds()
	if k := r.res.Real; k != nil {
		k.Loaded = part(s1, s2, r.Real, 0, r.Real)
		k.Loaded.CPU = ptr(round((s2.real - s1.real).Seconds() / seconds / float64(r.Real)))
		if l.sum.Sent > 0 && r.Quiet.Duration > 0 {
			extra := (s2.real - s1.real).Seconds() - (s1.real-s0.real).Seconds()*seconds/quiet
			k.RequestCPU = ptr(round(extra / float64(l.sum.Sent) * 1e3))
		}
	}
	if k := r.res.Hollow; k != nil {
		k.Loaded = part(s1, s2, r.Hollow, r.Real, len(r.addresses))
		k.Loaded.CPU = ptr(round((s2.hollow - s1.hollow).Seconds() / seconds / float64(r.Hollow)))
	}
	if !r.loads() {
		return
	}
	r.res.Load = &l.sum
	if r.RequestRate*float64(r.Real) <= tenantMeanRate*float64(r.Tenants) {
		l.sum.RefusedWithin = &l.sum.Refused
	}
	l.sum.Added = spread(l.added, 1e-3)
	var st TranscriberStats
	if err := r.transcribers.call(ctx, "Child.Stats", struct{}{}, &st); err == nil {
		l.sum.Transcribers = &st.Requests
	}
}

// settle waits for the last change, and notes how long the changes of each part took.
func (r *stepRun) settle(ctx context.Context, s0, s1, s2 snapshot) error {
	var changes []revisionAt
	for { // the last of them may be late where the machine is busy
		if err := r.registry.call(ctx, "Child.Changes", struct{}{}, &changes); err != nil {
			return err
		}
		if len(changes) >= r.changing().count()+r.faulty {
			break
		}
		if err := sleep(ctx, lookEvery); err != nil {
			return err
		}
	}
	if len(changes) > 0 {
		last := changes[len(changes)-1]
		late := time.Unix(0, last.At)
		if now := time.Now(); now.After(late) {
			late = now
		}
		for late = late.Add(settleFor); time.Now().Before(late); {
			done, err := r.inForceEverywhere(ctx, last.Revision)
			if err != nil {
				return err
			}
			if done {
				break
			}
			if err := sleep(ctx, lookEvery); err != nil {
				return err
			}
		}
	}
	n := slices.IndexFunc(changes, func(c revisionAt) bool { return c.At >= s1.at.UnixNano() })
	if n < 0 {
		n = len(changes)
	}
	for _, p := range []struct {
		changes []revisionAt
		of      func(*KindResult) *PartResult
	}{
		{changes[:n], func(k *KindResult) *PartResult { return k.Quiet }},
		{changes[n:], func(k *KindResult) *PartResult { return k.Loaded }},
	} {
		if k := r.res.Real; k != nil && p.of(k) != nil && len(p.changes) > 0 {
			h, never := histogram(), int64(0)
			for _, node := range r.real {
				never += node.seen.delays(p.changes, h)
			}
			p.of(k).Changes, p.of(k).InForce, p.of(k).NotInForce = len(p.changes), spread(h, 1e-3), &never
		}
		if k := r.res.Hollow; k != nil && p.of(k) != nil && len(p.changes) > 0 {
			h, never := histogram(), int64(0)
			for _, c := range r.hollow {
				var reply DelaysReply
				if err := c.call(ctx, "Child.Delays", p.changes, &reply); err != nil {
					return err
				}
				one, err := hdrhistogram.Decode(reply.Delays)
				if err != nil {
					return fmt.Errorf("hollow: delays: %w", err)
				}
				h.Merge(one)
				never += reply.Never
			}
			p.of(k).Changes, p.of(k).InForce, p.of(k).NotInForce = len(p.changes), spread(h, 1e-3), &never
		}
	}
	return nil
}

// endOfStep notes what can be read once all else is measured.
func (r *stepRun) endOfStep(ctx context.Context) error {
	if k := r.res.Real; k != nil {
		peak, logs := histogram(), int64(0)
		for _, n := range r.real {
			logs += n.log.Load()
			if hwm, err := n.memory("VmHWM"); err == nil {
				record(peak, hwm>>10)
			}
		}
		k.Peak, k.LogBytes = spread(peak, 1./(1<<10)), ptr(round(float64(logs)/float64(r.Real)))
		r.mu.Lock()
		k.AgainToReady = spread(r.again, 1e-3)
		r.mu.Unlock()
	}
	if k := r.res.Hollow; k != nil {
		var sum HollowCost
		for _, c := range r.hollow {
			var memory, cost HollowCost
			if err := c.call(ctx, "Child.Cost", int64(0), &cost); err != nil {
				return err
			}
			if err := c.call(ctx, "Child.Memory", struct{}{}, &memory); err != nil {
				return err
			}
			sum.Log += cost.Log
			sum.Heap += memory.Heap
			sum.RSS += memory.RSS
		}
		each := func(v int64, unit float64) *float64 { return ptr(round(float64(v) * unit / float64(r.Hollow))) }
		k.Memory, k.Heap, k.LogBytes = each(sum.RSS, 1./(1<<20)), each(sum.Heap, 1./(1<<20)), each(sum.Log, 1)
	}
	return nil
}

// carryOut makes something go wrong.
func (r *stepRun) carryOut(ctx context.Context, f Fault) error {
	if f.Kind != RestartWave {
		changes := 0
		err := r.registry.call(ctx, "Child.Fail", f, &changes)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faulty += changes
		return err
	}
	failed := make(chan error, len(r.real)+len(r.hollow))
	for _, c := range r.hollow {
		go func() { failed <- c.call(ctx, "Child.Restart", f.Part, nil) }()
	}
	some := r.real[:wave(f.Part, len(r.real))]
	for _, n := range some {
		go func() {
			n.kill()
			began := time.Now()
			err := n.start(r.temp)
			if err == nil {
				err = n.awaitReady(ctx)
			}
			if err == nil {
				r.mu.Lock()
				record(r.again, time.Since(began).Microseconds())
				r.mu.Unlock()
			}
			failed <- err
		}()
	}
	var err error
	for range len(r.hollow) + len(some) {
		err = errors.Join(err, <-failed)
	}
	return err
}

// sleep waits for d, or for ctx.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
