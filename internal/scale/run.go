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
	startAllowance      = 2 * time.Minute // part of a step's timeout, in addition to its measured parts
	nodeAllowance       = time.Second     // part of a step's timeout for each node it starts
	quietStartDelay     = time.Second     // pause between the last node's first discovery call and the quiet period
	convergenceTimeout  = 5 * time.Second // how long the last change may take to be in force at every node
	pollInterval        = 50 * time.Millisecond
	memoryCheckInterval = 250 * time.Millisecond
	maxMemoryFraction   = 0.5                  // fraction of the machine's memory that a step's processes may use
	meanProcessingTime  = 5 * time.Millisecond // of a request at a transcriber
)

// Options are the settings of a run that are not part of its plan.
type Options struct {
	NodeBinary string   // path of the node's executable
	Program    string   // path of this program's executable, from which child processes are started
	Steps      []string // names of the steps to run; all if empty
	Seed       uint64   // the plan's seed if 0
	Repeat     int      // number of times the whole plan is run
	MemoryMB   int      // memory limit in the configuration of each node
}

// Execute runs the plan at path. If it returns an error, the result holds what was measured before it.
func Execute(ctx context.Context, path string, options Options) (Result, error) {
	plan, err := LoadPlan(path)
	if err != nil {
		return Result{}, err
	}
	planText, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	if options.Seed == 0 {
		options.Seed = plan.Seed
	}
	steps, err := selectSteps(plan.Steps, options.Steps)
	if err != nil {
		return Result{}, err
	}
	timeout := time.Duration(0)
	for _, step := range steps {
		timeout += stepTimeout(step) * time.Duration(max(1, options.Repeat))
		if step.Real > 0 {
			if _, err := os.Stat(options.NodeBinary); err != nil {
				return Result{}, fmt.Errorf("node binary: %w", err)
			}
		}
	}
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, fmt.Errorf("the run took longer than %v", timeout))
	defer cancel()
	result := newResult(plan.Name, options.Seed)
	result.PlanHash = fmt.Sprintf("%x", sha256.Sum256(planText))
	var stepErrors error
	for i := range max(1, options.Repeat) {
		run := Run{StartedAt: time.Now().UTC().Truncate(time.Second), LoadAvg: loadAverage()}
		began := time.Now()
		for _, step := range steps {
			slog.Info("step", "run", i+1, "name", step.Name, "nodes", step.Nodes, "hollow", step.Hollow, "real", step.Real)
			stepResult, err := runStep(ctx, step, options)
			if err != nil {
				slog.Error("step", "name", step.Name, "err", err)
				stepResult.Error, stepErrors = err.Error(), errors.Join(stepErrors, fmt.Errorf("step %s: %w", step.Name, err))
			}
			run.Steps = append(run.Steps, stepResult)
			if ctx.Err() != nil {
				break
			}
		}
		run.Seconds = roundSignificant(time.Since(began).Seconds())
		result.Runs = append(result.Runs, run)
		if ctx.Err() != nil {
			break
		}
	}
	return result, stepErrors
}

// selectSteps returns the steps with the given names in the plan's order, or all steps if there are no names.
func selectSteps(steps []Step, names []string) ([]Step, error) {
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

// stepTimeout returns the timeout of a step.
func stepTimeout(s Step) time.Duration {
	return startAllowance + time.Duration(s.Real+s.Hollow)*nodeAllowance + 2*s.Quiet.Duration + 2*s.Loaded.Duration
}

// stepRun holds the state of a running step.
type stepRun struct {
	Step
	options  Options
	world    *World
	settings policy.Settings
	tempDir  string
	cancel   context.CancelCauseFunc
	result   *StepResult

	registry, transcribers *child
	registryAddresses      []string
	realNodes              []*realNode
	hollowProcesses        []*child
	hollowCounts           []int // number of hollow nodes in each process

	mu             sync.Mutex
	children       []*child
	restartToReady *hdrhistogram.Histogram // time from restart to readiness, in microseconds
	faultChanges   int                     // number of list changes made by faults
}

// usageSnapshot holds the cumulative resource use at a point in time.
type usageSnapshot struct {
	at             time.Time
	realCPU        time.Duration // CPU time of all real nodes
	hollowCPU      time.Duration // CPU time of all processes that run hollow nodes
	registry       RegistryCost
	hollowLogBytes int64 // bytes logged by hollow nodes
}

// runStep starts the processes of a step, measures it, and stops them. The result holds what was measured, also if
// there is an error.
func runStep(ctx context.Context, step Step, options Options) (result StepResult, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, stepTimeout(step),
		fmt.Errorf("the step took longer than %v", stepTimeout(step)))
	defer cancel()
	ctx, cancelStep := context.WithCancelCause(ctx)
	defer cancelStep(nil)
	result = StepResult{Name: step.Name, Size: Size{Nodes: step.Nodes, Hollow: step.Hollow, Real: step.Real,
		Services: step.Services, Transcribers: step.Transcribers, Tenants: step.Tenants, RequestRate: step.RequestRate, ChangeRate: step.ChangeRate,
		NodeMemoryMB: options.MemoryMB}}
	for _, fault := range step.Faults {
		result.Faults = append(result.Faults, fault.description())
	}
	r := &stepRun{Step: step, options: options, cancel: cancelStep, result: &result, restartToReady: newHistogram()}
	if step.Hollow > 0 {
		perProcess := step.PerProcess
		if perProcess == 0 {
			perProcess = step.Hollow
		}
		for remaining := step.Hollow; remaining > 0; remaining -= perProcess {
			r.hollowCounts = append(r.hollowCounts, min(remaining, perProcess))
		}
	}
	if n := step.Real + len(r.hollowCounts) + 2; n > maxStepProcesses {
		return result, fmt.Errorf("processes: want %d or fewer, got %d", maxStepProcesses, n)
	}
	port, err := FreeLoopbackPort()
	if err != nil {
		return result, err
	}
	r.world = NewWorld(step, options.Seed, port)
	if r.settings, err = nodeSettings(r.world, 0); err != nil {
		return result, err
	}
	if result.Module, err = measureModule(ctx, r.world, r.settings, options.Seed); err != nil {
		return result, err
	}
	if r.tempDir, err = os.MkdirTemp("", "scalerun-"); err != nil {
		return result, err
	}
	defer os.RemoveAll(r.tempDir)
	var monitor sync.WaitGroup
	defer monitor.Wait()
	defer cancelStep(nil) // ends the monitor
	defer r.stopProcesses()
	monitor.Go(func() { r.enforceMemoryLimit(ctx) })
	if err = r.startProcesses(ctx, port); err == nil {
		err = r.measure(ctx)
	}
	if err != nil && context.Cause(ctx) != nil { // err is only a consequence of the cancellation
		err = context.Cause(ctx)
	}
	return result, err
}

// description describes the fault in a step's result.
func (f Fault) description() string {
	switch f.Kind {
	case RestartWave:
		return fmt.Sprintf("%s of %g of the nodes at %v", f.Kind, f.Part, f.At.Duration)
	case ZoneLost:
		return fmt.Sprintf("%s over %v and back after %v at %v", f.Kind, f.Over.Duration, f.For.Duration, f.At.Duration)
	}
	return fmt.Sprintf("%s for %v at %v", f.Kind, f.For.Duration, f.At.Duration)
}

// addChild starts a child process of this kind and registers it, so that stopProcesses stops it and
// enforceMemoryLimit counts its memory.
func (r *stepRun) addChild(kind string) (*child, error) {
	process, err := startChild(r.options.Program, kind)
	if err == nil {
		r.mu.Lock()
		r.children = append(r.children, process)
		r.mu.Unlock()
	}
	return process, err
}

// stopProcesses stops every process that the step has started, each by its process ID, and waits for them.
func (r *stepRun) stopProcesses() {
	var stops sync.WaitGroup
	for _, n := range r.realNodes {
		stops.Go(n.kill)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.children {
		stops.Go(c.stop)
	}
	stops.Wait()
}

// enforceMemoryLimit cancels the step when the resident memory of its processes exceeds maxMemoryFraction of the
// machine's memory.
func (r *stepRun) enforceMemoryLimit(ctx context.Context) {
	total, err := totalMemory()
	if err != nil {
		r.cancel(err)
		return
	}
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var resident int64
		for _, pid := range r.pids() {
			if rss, err := processMemory(pid, "VmRSS"); err == nil { // an error means that the process has just ended
				resident += rss
			}
		}
		if float64(resident) > maxMemoryFraction*float64(total) {
			r.cancel(fmt.Errorf("the step's processes hold %d MiB, more than half of the machine's memory", resident>>20))
		}
	}
}

// pids returns the IDs of the running processes.
func (r *stepRun) pids() (ids []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.children {
		ids = append(ids, c.pid())
	}
	for _, n := range r.realNodes {
		if pid := n.pid(); pid != 0 {
			ids = append(ids, pid)
		}
	}
	return ids
}

// startProcesses starts the stand-ins, then the real nodes one after another, then the hollow nodes.
func (r *stepRun) startProcesses(ctx context.Context, port int) (err error) {
	if r.registry, err = r.addChild("registry"); err != nil {
		return err
	}
	err = r.registry.call(ctx, "Child.Start",
		RegistryArgs{r.Step, r.options.Seed, port, max(1, r.Real+len(r.hollowCounts))}, &r.registryAddresses)
	if err != nil {
		return err
	}
	if r.sendsRequests() {
		if r.transcribers, err = r.addChild("transcribers"); err != nil {
			return err
		}
		if err := r.transcribers.call(ctx, "Child.Start",
			TranscribersArgs{r.Step, r.options.Seed, port, meanProcessingTime}, nil); err != nil {
			return err
		}
	}
	if r.Real > 0 {
		r.result.Real = &NodeKindResult{Nodes: r.Real, Processes: r.Real}
		if err := r.startRealNodes(ctx); err != nil {
			return err
		}
	}
	if r.Hollow == 0 {
		return nil
	}
	r.result.Hollow = &NodeKindResult{Nodes: r.Hollow, Processes: len(r.hollowCounts)}
	first := r.Real
	for i, n := range r.hollowCounts {
		c, err := r.addChild("hollow")
		if err != nil {
			return err
		}
		r.hollowProcesses = append(r.hollowProcesses, c)
		args := HollowArgs{Step: r.Step, Seed: r.options.Seed, Port: port, First: first, Count: n,
			Discovery: r.registryAddresses[r.Real+i], MemoryMB: r.options.MemoryMB}
		if err := c.call(ctx, "Child.Start", args, nil); err != nil {
			return err
		}
		first += n
	}
	return nil
}

// startRealNodes starts the real nodes one after another, each once the one before is ready, and records the cost of
// their start.
func (r *stepRun) startRealNodes(ctx context.Context) error {
	ready, cpu, logs := newHistogram(), newHistogram(), newHistogram()
	for i := range r.Real {
		n, err := newRealNode(r.options.NodeBinary, r.tempDir, r.world, i, r.registryAddresses[i], r.options.MemoryMB)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.realNodes = append(r.realNodes, n)
		r.mu.Unlock()
		began := time.Now()
		if err := n.start(r.tempDir); err != nil {
			return err
		}
		if err := n.awaitReady(ctx); err != nil {
			return err
		}
		recordValue(ready, time.Since(began).Microseconds())
		if spent, err := n.cpuTime(); err == nil {
			recordValue(cpu, spent.Microseconds())
		}
		recordValue(logs, n.logBytes.Load())
	}
	r.result.Real.StartToReady, r.result.Real.StartCPU, r.result.Real.StartLogBytes =
		summarize(ready, 1e-3), summarize(cpu, 1e-3), summarize(logs, 1)
	return nil
}

// sendsRequests reports whether the step sends requests.
func (r *stepRun) sendsRequests() bool {
	return r.Real > 0 && r.RequestRate > 0 && r.Loaded.Duration > 0
}

// measure runs the quiet period and the loaded period of the step, with its faults, and records the results.
func (r *stepRun) measure(ctx context.Context) (err error) {
	if err := r.awaitNodes(ctx); err != nil {
		return err
	}
	atStart, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := r.registry.call(ctx, "Child.ChangeFor", r.changeArgs(), nil); err != nil {
		return err
	}
	var faults sync.WaitGroup
	defer func() {
		if err != nil { // start no further faults
			r.cancel(err)
		}
		faults.Wait()
	}()
	for _, fault := range r.Faults {
		faults.Go(func() {
			if sleep(ctx, time.Until(atStart.at.Add(fault.At.Duration))) != nil {
				return
			}
			slog.Info("fault", "kind", fault.Kind)
			if err := r.injectFault(ctx, fault); err != nil {
				r.cancel(fmt.Errorf("fault %s: %w", fault.Kind, err))
			}
		})
	}
	if err := sleep(ctx, time.Until(atStart.at.Add(r.Quiet.Duration))); err != nil {
		return err
	}
	afterQuiet, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	r.recordQuietPeriod(atStart, afterQuiet)
	afterLoad := afterQuiet
	if r.Loaded.Duration > 0 {
		generator := &loadGenerator{addedLatency: newHistogram()}
		var clients sync.WaitGroup
		if r.sendsRequests() {
			r.startClients(ctx, generator, &clients)
		}
		err := sleep(ctx, time.Until(afterQuiet.at.Add(r.Loaded.Duration)))
		if err == nil {
			afterLoad, err = r.takeSnapshot(ctx)
		}
		clients.Wait()
		if err != nil {
			return err
		}
		r.recordLoadedPeriod(ctx, generator, atStart, afterQuiet, afterLoad)
	}
	faults.Wait()
	if err := r.recordPropagation(ctx, atStart, afterQuiet, afterLoad); err != nil {
		return err
	}
	for _, n := range r.realNodes {
		if err := n.unexpectedExit(); err != nil {
			return err
		}
	}
	return r.recordTotals(ctx)
}

// changeArgs returns the changes that the registry makes during the step.
func (r *stepRun) changeArgs() ChangeArgs {
	return ChangeArgs{Rate: r.ChangeRate, For: r.Quiet.Duration + r.Loaded.Duration}
}

// awaitNodes waits until every node has a list in force and has called discovery, and then for quietStartDelay.
func (r *stepRun) awaitNodes(ctx context.Context) error {
	for {
		var cost RegistryCost
		if err := r.registry.call(ctx, "Child.Cost", struct{}{}, &cost); err != nil {
			return err
		}
		called := len(cost.Stats) >= r.Real+len(r.hollowCounts)
		for i, stats := range cost.Stats {
			want := 1
			if i >= r.Real && i-r.Real < len(r.hollowCounts) {
				want = r.hollowCounts[i-r.Real]
			}
			// The number of calls does not suffice: a node may have made two while another has yet to start. So each
			// node must also have a connection open.
			called = called && (stats.WatchCalls+stats.FullListCalls >= int64(want) &&
				stats.Open >= int64(want) || r.Real+len(r.hollowCounts) == 0)
		}
		inForce, err := r.inForceEverywhere(ctx, 0)
		if err != nil {
			return err
		}
		if called && inForce {
			return sleep(ctx, quietStartDelay)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// inForceEverywhere reports whether every node has a list of this revision or a later one in force.
func (r *stepRun) inForceEverywhere(ctx context.Context, revision int64) (bool, error) {
	for _, n := range r.realNodes {
		if n.history.count() == 0 || n.history.lastRevision() < revision {
			return false, nil
		}
	}
	for i, c := range r.hollowProcesses {
		var cost HollowCost
		if err := c.call(ctx, "Child.Cost", revision, &cost); err != nil {
			return false, err
		}
		if cost.Ready < r.hollowCounts[i] {
			return false, nil
		}
	}
	return true, nil
}

// takeSnapshot reads the resource use of all nodes and of the registry.
func (r *stepRun) takeSnapshot(ctx context.Context) (s usageSnapshot, err error) {
	s.at = time.Now()
	for _, n := range r.realNodes {
		cpu, err := n.cpuTime()
		if err != nil {
			return s, err
		}
		s.realCPU += cpu
	}
	for _, c := range r.hollowProcesses {
		var cost HollowCost
		if err := c.call(ctx, "Child.Cost", int64(0), &cost); err != nil {
			return s, err
		}
		s.hollowCPU += cost.CPU
		s.hollowLogBytes += cost.Log
	}
	err = r.registry.call(ctx, "Child.Cost", struct{}{}, &s.registry)
	return s, err
}

// recordQuietPeriod computes the results of the quiet period.
func (r *stepRun) recordQuietPeriod(from, to usageSnapshot) {
	seconds := to.at.Sub(from.at).Seconds()
	if seconds <= 0 || r.Quiet.Duration <= 0 {
		return
	}
	if k := r.result.Real; k != nil {
		k.Quiet = newPeriodResult(from, to, r.Real, 0, r.Real)
		k.ControlCPU = ptr(roundSignificant((to.realCPU - from.realCPU).Seconds() / seconds / float64(r.Real)))
		k.Quiet.CPU = k.ControlCPU
		resting := newHistogram()
		for _, n := range r.realNodes {
			if rss, err := n.memory("VmRSS"); err == nil {
				recordValue(resting, rss>>10)
			}
		}
		k.RestingMemory = summarize(resting, 1./(1<<10))
	}
	if k := r.result.Hollow; k != nil {
		k.Quiet = newPeriodResult(from, to, r.Hollow, r.Real, len(r.registryAddresses))
		k.ControlCPU = ptr(roundSignificant((to.hollowCPU - from.hollowCPU).Seconds() / seconds / float64(r.Hollow)))
		k.Quiet.CPU = k.ControlCPU
	}
	cpu := (to.registry.CPU - from.registry.CPU).Seconds()
	r.result.Registry = &RegistryResult{CPU: ptr(roundSignificant(cpu / seconds))}
	if n := r.Real + r.Hollow; n > 0 {
		r.result.Registry.CPUPerNode = ptr(roundSignificant(cpu / seconds / float64(n)))
	}
	if n := r.ChangeRate * r.Quiet.Seconds(); n >= 1 {
		r.result.Registry.CPUPerChange = ptr(roundSignificant(cpu / n * 1e3))
	}
}

// newPeriodResult sums the traffic at the listeners from first up to, but not including, end. It returns the rates per
// second for each of the n nodes behind them. Bytes into a node are those that the registry sent.
func newPeriodResult(from, to usageSnapshot, n, first, end int) *PeriodResult {
	var total RegistryStats
	for i := first; i < end; i++ {
		a, b := from.registry.Stats[i], to.registry.Stats[i]
		total.BytesIn += b.BytesIn - a.BytesIn
		total.BytesOut += b.BytesOut - a.BytesOut
		total.DeltaBytes += b.DeltaBytes - a.DeltaBytes
		total.FullListBytes += b.FullListBytes - a.FullListBytes
		total.Connections += b.Connections - a.Connections
		total.WatchCalls += b.WatchCalls - a.WatchCalls
		total.FullListCalls += b.FullListCalls - a.FullListCalls
		total.Deltas += b.Deltas - a.Deltas
		total.EmptyDeltas += b.EmptyDeltas - a.EmptyDeltas
		total.FullLists += b.FullLists - a.FullLists
		total.Failures += b.Failures - a.Failures
	}
	seconds := to.at.Sub(from.at).Seconds()
	rate := func(v int64) float64 { return roundSignificant(float64(v) / float64(n) / seconds) }
	return &PeriodResult{Seconds: roundSignificant(seconds), BytesIn: rate(total.BytesOut), BytesOut: rate(total.BytesIn),
		DeltaBytes: rate(total.DeltaBytes), FullListBytes: rate(total.FullListBytes), Connections: rate(total.Connections),
		WatchCalls: rate(total.WatchCalls), FullListCalls: rate(total.FullListCalls), Deltas: rate(total.Deltas),
		EmptyDeltas: rate(total.EmptyDeltas), FullLists: rate(total.FullLists), Failures: rate(total.Failures)}
}

// startClients starts sending requests to every real node.
func (r *stepRun) startClients(ctx context.Context, generator *loadGenerator, clients *sync.WaitGroup) {
	deadlines := make(map[string]time.Duration)
	for _, c := range r.settings.Classes {
		deadlines[c.Name] = c.Deadline
	}
	for i, n := range r.realNodes {
		clients.Go(func() {
			generator.sendRequests(ctx, n.listen, r.world.DrawRequest, deadlines,
				r.RequestRate, r.Loaded.Duration, r.options.Seed+uint64(i))
		})
	}
}

// recordLoadedPeriod computes the results of the loaded period.
func (r *stepRun) recordLoadedPeriod(ctx context.Context, generator *loadGenerator,
	atStart, afterQuiet, afterLoad usageSnapshot) {
	seconds, quiet := afterLoad.at.Sub(afterQuiet.at).Seconds(), afterQuiet.at.Sub(atStart.at).Seconds()
	if k := r.result.Real; k != nil {
		k.Loaded = newPeriodResult(afterQuiet, afterLoad, r.Real, 0, r.Real)
		k.Loaded.CPU = ptr(roundSignificant((afterLoad.realCPU - afterQuiet.realCPU).Seconds() / seconds / float64(r.Real)))
		if generator.result.Sent > 0 && r.Quiet.Duration > 0 {
			extra := (afterLoad.realCPU - afterQuiet.realCPU).Seconds() -
				(afterQuiet.realCPU-atStart.realCPU).Seconds()*seconds/quiet
			k.CPUPerRequest = ptr(roundSignificant(extra / float64(generator.result.Sent) * 1e3))
		}
	}
	if k := r.result.Hollow; k != nil {
		k.Loaded = newPeriodResult(afterQuiet, afterLoad, r.Hollow, r.Real, len(r.registryAddresses))
		k.Loaded.CPU = ptr(roundSignificant((afterLoad.hollowCPU - afterQuiet.hollowCPU).Seconds() / seconds / float64(r.Hollow)))
	}
	if !r.sendsRequests() {
		return
	}
	r.result.Load = &generator.result
	if r.RequestRate*float64(r.Real) <= tenantMeanRate*float64(r.Tenants) {
		generator.result.RefusedWithinShare = &generator.result.Refused
	}
	generator.result.AddedLatency = summarize(generator.addedLatency, 1e-3)
	var stats TranscriberStats
	if err := r.transcribers.call(ctx, "Child.Stats", struct{}{}, &stats); err == nil {
		generator.result.AtTranscribers = &stats.Requests
	}
}

// recordPropagation waits until the last change is in force at every node, for at most convergenceTimeout, and
// records how long the changes of each period took to be in force.
func (r *stepRun) recordPropagation(ctx context.Context, atStart, afterQuiet, afterLoad usageSnapshot) error {
	var changes []revisionTime
	for { // on a busy machine, the last changes may be made late
		if err := r.registry.call(ctx, "Child.Changes", struct{}{}, &changes); err != nil {
			return err
		}
		if len(changes) >= r.changeArgs().count()+r.faultChanges {
			break
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	if len(changes) > 0 {
		last := changes[len(changes)-1]
		deadline := time.Unix(0, last.At)
		if now := time.Now(); now.After(deadline) {
			deadline = now
		}
		for deadline = deadline.Add(convergenceTimeout); time.Now().Before(deadline); {
			done, err := r.inForceEverywhere(ctx, last.Revision)
			if err != nil {
				return err
			}
			if done {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	firstLoaded := slices.IndexFunc(changes, func(c revisionTime) bool { return c.At >= afterQuiet.at.UnixNano() })
	if firstLoaded < 0 {
		firstLoaded = len(changes)
	}
	for _, p := range []struct {
		changes []revisionTime
		result  func(*NodeKindResult) *PeriodResult
	}{
		{changes[:firstLoaded], func(k *NodeKindResult) *PeriodResult { return k.Quiet }},
		{changes[firstLoaded:], func(k *NodeKindResult) *PeriodResult { return k.Loaded }},
	} {
		if k := r.result.Real; k != nil && p.result(k) != nil && len(p.changes) > 0 {
			h, notInForce := newHistogram(), int64(0)
			for _, node := range r.realNodes {
				notInForce += node.history.recordDelays(p.changes, h)
			}
			p.result(k).Changes, p.result(k).InForce, p.result(k).NotInForce = len(p.changes), summarize(h, 1e-3), &notInForce
		}
		if k := r.result.Hollow; k != nil && p.result(k) != nil && len(p.changes) > 0 {
			h, notInForce := newHistogram(), int64(0)
			for _, c := range r.hollowProcesses {
				var reply DelaysReply
				if err := c.call(ctx, "Child.Delays", p.changes, &reply); err != nil {
					return err
				}
				delays, err := hdrhistogram.Decode(reply.Delays)
				if err != nil {
					return fmt.Errorf("hollow: delays: %w", err)
				}
				h.Merge(delays)
				notInForce += reply.Never
			}
			p.result(k).Changes, p.result(k).InForce, p.result(k).NotInForce = len(p.changes), summarize(h, 1e-3), &notInForce
		}
	}
	return nil
}

// recordTotals records what is read only at the end of the step: peak memory, bytes logged, restart times and the
// memory of the hollow nodes.
func (r *stepRun) recordTotals(ctx context.Context) error {
	if k := r.result.Real; k != nil {
		peak, logBytes := newHistogram(), int64(0)
		for _, n := range r.realNodes {
			logBytes += n.logBytes.Load()
			if hwm, err := n.memory("VmHWM"); err == nil {
				recordValue(peak, hwm>>10)
			}
		}
		k.PeakMemory, k.LogBytesPerNode = summarize(peak, 1./(1<<10)), ptr(roundSignificant(float64(logBytes)/float64(r.Real)))
		r.mu.Lock()
		k.RestartToReady = summarize(r.restartToReady, 1e-3)
		r.mu.Unlock()
	}
	if k := r.result.Hollow; k != nil {
		var sum HollowCost
		for _, c := range r.hollowProcesses {
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
		perNode := func(v int64, unit float64) *float64 {
			return ptr(roundSignificant(float64(v) * unit / float64(r.Hollow)))
		}
		k.MemoryPerNode, k.HeapPerNode, k.LogBytesPerNode = perNode(sum.RSS, 1./(1<<20)), perNode(sum.Heap, 1./(1<<20)), perNode(sum.Log, 1)
	}
	return nil
}

// injectFault carries out a fault. For a restart wave, it returns once the restarted real nodes are ready.
func (r *stepRun) injectFault(ctx context.Context, fault Fault) error {
	if fault.Kind != RestartWave {
		changes := 0
		err := r.registry.call(ctx, "Child.Fail", fault, &changes)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faultChanges += changes
		return err
	}
	results := make(chan error, len(r.realNodes)+len(r.hollowProcesses))
	for _, c := range r.hollowProcesses {
		go func() { results <- c.call(ctx, "Child.Restart", fault.Part, nil) }()
	}
	restarted := r.realNodes[:waveSize(fault.Part, len(r.realNodes))]
	for _, n := range restarted {
		go func() {
			n.kill()
			began := time.Now()
			err := n.start(r.tempDir)
			if err == nil {
				err = n.awaitReady(ctx)
			}
			if err == nil {
				r.mu.Lock()
				recordValue(r.restartToReady, time.Since(began).Microseconds())
				r.mu.Unlock()
			}
			results <- err
		}()
	}
	var err error
	for range len(r.hollowProcesses) + len(restarted) {
		err = errors.Join(err, <-results)
	}
	return err
}

// sleep waits for d, or until ctx ends, in which case it returns the cause.
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
