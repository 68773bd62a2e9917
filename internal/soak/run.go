package soak

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"cobaltward/internal/faultpoint"
	"cobaltward/internal/scale"
)

const (
	sampleInterval   = 500 * time.Millisecond // of memory and open descriptors
	progressInterval = 10 * time.Second       // between log messages on progress
	warmCapacity     = 60.0                   // assumed capacity of a server after its slow start, in requests a second
	readyFraction    = 0.9                    // fraction of the starts that have to be ready within readyWithin
	readyWithin      = 10 * time.Second
	maxNodePause     = 150 * time.Millisecond // longest SIGSTOP of a node
	firstSubnet      = 20                     // second octet of the nodes' loopback addresses, so that parallel runs use different ones
	subnetCount      = 200
)

// Settings are the parameters of Execute. Options alone determine the plan.
type Settings struct {
	Binary       string   // path of the node binary
	FaultyBinary string   // path of the node binary built with the tag faults
	Dir          string   // for configurations, logs and the nodes' directories
	Env          []string // additional environment variables of the nodes
	Options      Options
}

// Result is the outcome of a run.
type Result struct {
	Plan           Plan             `json:"plan"`
	Elapsed        time.Duration    `json:"took"`
	Counts         Counts           `json:"counts"`
	Findings       []Finding        `json:"findings"`
	Violations     map[string]int64 `json:"node_violations"` // from the nodes' own counters, of the processes running at the end
	Denials        map[string]int64 `json:"node_denials"`
	MaxMemoryKB    int64            `json:"most_memory_kb"`
	MaxDescriptors int              `json:"most_descriptors"`
	SlowestStart   time.Duration    `json:"slowest_ready"`
	Starts         int              `json:"starts"`
	Usage          usage            `json:"usage"`
}

// Failed reports whether the checker or a node found a violation of a rule.
func (r Result) Failed() bool { return len(r.Findings) > 0 || len(r.Violations) > 0 }

// Run is a run in progress.
type Run struct {
	settings  Settings
	plan      Plan
	checker   *Checker
	registry  *registry
	servers   []*server
	nodes     []*node
	clients   *clientPool
	ctx       context.Context
	startTime time.Time

	mu             sync.Mutex
	maxMemoryKB    int64
	maxDescriptors int
}

// Execute generates the plan, runs it and checks the rules. An error means that the run itself failed.
func Execute(ctx context.Context, s Settings) (Result, error) {
	plan, err := NewPlan(s.Options)
	if err != nil {
		return Result{}, err
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &Run{settings: s, plan: plan, checker: NewChecker(plan.Hedging), ctx: runCtx, startTime: time.Now()}
	r.clients = newClientPool(r.checker, plan.Seed)
	r.clients.classes = plan.classes()
	defer r.cleanUp()
	if err := r.setUp(); err != nil {
		return Result{}, err
	}
	r.runPlan()
	return r.finish(cancel), ctx.Err()
}

// setUp starts the servers, the registry and the nodes, and waits until all nodes are ready.
func (r *Run) setUp() error {
	var entries []scale.Entry
	capacityLimiter := rate.NewLimiter(rate.Inf, 0)
	if overload := r.plan.Overload; overload != nil {
		capacityLimiter = rate.NewLimiter(rate.Limit(overload.Capacity), capacityBurst)
	}
	for i := range r.plan.Servers {
		s, err := newServer(i, r.checker, r.plan.Seed)
		if err != nil {
			return err
		}
		if overload := r.plan.Overload; overload != nil {
			s.serviceTime, s.capacityLimiter = overload.ServiceTime, capacityLimiter
		}
		r.servers = append(r.servers, s)
		entries = append(entries, scale.Entry{ID: fmt.Sprintf("s-%04d", i), HostPort: s.addr(), Locality: "a", Flavor: "k",
			Cell: 1, Phase: phaseUp, Size: 1})
	}
	r.registry = newRegistry(r.checker, entries)
	for i := range r.plan.Nodes {
		if err := r.addNode(i, entries); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		p, err := n.start()
		if err != nil {
			return err
		}
		wg.Go(func() { n.awaitReady(p, readyTimeout) })
	}
	wg.Wait()
	return nil
}

// addNode prepares a node: its directory, listening address and configuration.
func (r *Run) addNode(number int, entries []scale.Entry) error {
	n := &node{number: number, run: r, dir: filepath.Join(r.settings.Dir, fmt.Sprintf("node-%03d", number)),
		binary: r.settings.Binary, env: r.settings.Env, logPipe: r.plan.Affects(number, LogClosed, LogStalled)}
	if spec, faulty := r.plan.NodeFaults[number]; faulty {
		n.binary = r.settings.FaultyBinary
		n.env = append(slices.Clone(n.env), faultpoint.EnvVar+"="+spec)
	}
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return err
	}
	n.host = fmt.Sprintf("127.%d.%d.1", firstSubnet+r.plan.Seed%subnetCount, number)
	ln, err := net.Listen("tcp", net.JoinHostPort(n.host, "0"))
	if err != nil {
		return err
	}
	defer ln.Close()
	n.listenAddr = ln.Addr().String()
	if r.plan.Affects(number, NodeUpgrade) { // for an upgrade, the platform holds the clients' listening socket
		if n.heldListener, err = ln.(*net.TCPListener).File(); err != nil {
			return err
		}
	}
	discovery, err := r.registry.addListener(number)
	if err != nil {
		return err
	}
	n.configPath = filepath.Join(n.dir, "config.json")
	r.nodes = append(r.nodes, n)
	return writeConfig(n.configPath, r.config(n, discovery, entries))
}

// config returns a node's configuration, in the format of the DEPLOY and WIRE pages.
func (r *Run) config(n *node, discovery string, entries []scale.Entry) map[string]any {
	ms := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
	var services []map[string]any
	for _, c := range r.plan.classes() {
		aim := c.Deadline
		if r.plan.Overload != nil {
			aim = min(aim, overloadAim)
		}
		services = append(services, map[string]any{"name": c.Name, "aim": ms(aim), "deadline": ms(c.Deadline),
			"repeat": c.Repeat, "group": "all", "window": ms(c.Window), "value": 1.0})
	}
	mode := "automatic"
	if r.plan.Subscribe {
		mode = "subscribe"
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", n.number), "listen": n.listenAddr, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", r.plan.Seed+uint64(n.number)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"known":  map[string]any{"revision": 1, "complete": true, "members": entries},
		"settings": map[string]any{
			"position": n.number, "groupSize": r.plan.groupSize(), "zone": "a", "registryMode": mode, "services": services,
			"tenants": []map[string]any{{"name": "t", "quotaRps": 4 * r.plan.Rate * float64(r.plan.groupSize()), "fraction": 1.0}},
			"limits": map[string]any{"cancelling": true, "connIdle": 3000.0, "connectTimeout": 250.0, "maxAttempts": 3,
				"maxOpen": 1000, "maxRetryAfter": 3000.0, "retryAfter": true, "secondCopies": r.plan.Hedging},
			"guarantees": map[string]any{"cold": ms(coldDuration), "coldShare": coldShare, "drainGrace": ms(drainGrace),
				"fallMultiple": fallMultiple, "graceToAnswer": 20.0, "mustAskIn": 10000.0, "overloadFor": ms(budgetWindow)},
			"report": map[string]any{"fields": []string{"util", "qps"}, "how": "answers"},
		},
	}
}

// runPlan generates the load and injects the disruptions until the plan's duration is over.
func (r *Run) runPlan() {
	r.startTime = time.Now()
	slog.Info("soak: all nodes are ready", "seed", r.plan.Seed, "nodes", len(r.nodes), "troubles", len(r.plan.Disruptions))
	ctx, cancel := context.WithTimeout(r.ctx, r.plan.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		go n.pollReadiness()
		wg.Go(func() { r.generateLoad(ctx, n) })
	}
	wg.Go(func() { r.sampleUsage(ctx) })
	if overload := r.plan.Overload; overload != nil {
		wg.Go(func() { r.releaseRepeatedly(ctx) })
		for _, n := range r.nodes {
			if overload.CPUShare < 1 {
				wg.Go(func() { r.throttle(ctx, n, overload.CPUShare) })
			}
		}
	}
	for _, d := range r.plan.Disruptions {
		select {
		case <-time.After(time.Until(r.startTime.Add(d.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		r.checker.CountDisruption(d.Kind)
		slog.Debug("soak: disruption", "seed", r.plan.Seed, "what", d.String())
		wg.Go(func() {
			if err := r.disrupt(d); err != nil {
				slog.Error("soak: disruption failed", "what", d.String(), "err", err)
			}
		})
	}
	wg.Wait()
}

// generateLoad sends requests to one node at random times, regardless of the outcome of earlier ones (open loop).
func (r *Run) generateLoad(ctx context.Context, n *node) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(n.number)))
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		wg.Go(func() { r.send(n) }) // on idle connections only, while the front opens no new ones to the node
	}
}

// send sends one request to a node; in an overload, some clients retry.
func (r *Run) send(n *node) {
	if r.plan.Overload != nil && r.clients.randomFloat() < retryFraction {
		r.clients.requestWithRetries(n)
	} else {
		r.clients.sendRequest(n)
	}
}

// sampleUsage records the maximum memory and descriptors of all processes, and reports those above the nodes' limits.
func (r *Run) sampleUsage(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	lastProgress := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, n := range r.nodes {
			p := n.process()
			memory, descriptors := p.memoryKB("VmRSS"), p.descriptors()
			r.mu.Lock()
			r.maxMemoryKB, r.maxDescriptors = max(r.maxMemoryKB, memory), max(r.maxDescriptors, descriptors)
			r.mu.Unlock()
			if memory > nodeMemoryMB<<10 || descriptors > nodeSockets {
				r.checker.Report(ruleLimits, n.number, "%d kB, %d descriptors", memory, descriptors)
			}
		}
		if time.Since(lastProgress) > progressInterval {
			lastProgress = time.Now()
			slog.Info("soak: in progress", "seed", r.plan.Seed, "after", time.Since(r.startTime).Round(time.Second))
		}
	}
}

// disrupt carries out one disruption, and returns when it has ended.
func (r *Run) disrupt(d Disruption) error {
	switch d.Kind.targetType() {
	case "nodes":
		var wg sync.WaitGroup
		errs := make([]error, len(d.Targets))
		for i, target := range d.Targets {
			wg.Go(func() { errs[i] = r.disruptNode(d, r.nodes[target]) })
		}
		wg.Wait()
		return errors.Join(errs...)
	case "servers":
		r.disruptServers(d)
		return nil
	}
	switch d.Kind {
	case RegistryDown, RegistrySilent, RegistrySlow:
		r.registry.setFault(map[Kind]registryFault{RegistryDown: faultDown, RegistrySilent: faultSilent, RegistrySlow: faultSlow}[d.Kind])
		r.wait(d.Duration)
		r.registry.setFault(faultNone)
	case RegistryReset:
		r.registry.resetWatches()
	case ClientsLeave:
		r.clients.leaveEarly.Store(true)
		r.wait(d.Duration)
		r.clients.leaveEarly.Store(false)
	case ClientsSlow:
		r.clients.slowWrites.Store(true)
		r.wait(d.Duration)
		r.clients.slowWrites.Store(false)
	}
	return nil
}

// wait waits for d or until the run ends.
func (r *Run) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// disruptNode carries out a disruption on one node.
func (r *Run) disruptNode(d Disruption, n *node) error {
	p := n.process()
	switch d.Kind {
	case NodeTerm, NodeKill, NodeUpgrade:
		return n.replace(d.Kind)
	case NodeStandby:
		n.cycleStandby(p)
	case NodeReload:
		return r.reload(n, p)
	case NodePause:
		for end := time.Now().Add(d.Duration); time.Now().Before(end); r.wait(2 * maxNodePause) {
			n.signal(p, syscall.SIGSTOP)
			time.Sleep(time.Duration(r.clients.randomFloat() * float64(maxNodePause)))
			n.signal(p, syscall.SIGCONT)
		}
	case LogClosed, LogStalled:
		n.stopLogReader(p, d.Kind == LogClosed)
	case ClientsFlood, ClientsStall, ClientsPipeline:
		misbehave := map[Kind]func(*node){ClientsFlood: r.clients.flood, ClientsStall: r.clients.stall, ClientsPipeline: r.clients.pipeline}
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() { misbehave[d.Kind](n) })
			r.wait(d.Duration / 6)
		}
		wg.Wait()
	case ClientsIdle:
		n.outOfDescriptors.Store(true)
		r.clients.openIdleConns(n, d.Duration)
		n.outOfDescriptors.Store(false)
	}
	return nil
}

// reload changes a node's discovery address and sends SIGHUP, up to three times in a row. The last address stays.
func (r *Run) reload(n *node, p *process) error {
	for range 1 + int(r.clients.randomFloat()*3) {
		discovery, err := r.registry.addListener(n.number)
		if err != nil {
			return err
		}
		if err := writeConfig(n.configPath, r.config(n, discovery, r.registry.currentEntries())); err != nil {
			return err
		}
		n.signal(p, syscall.SIGHUP)
		r.wait(time.Duration(r.clients.randomFloat() * float64(200*time.Millisecond)))
	}
	return nil
}

// disruptServers carries out a disruption on its servers, and restores them where the disruption has a duration.
func (r *Run) disruptServers(d Disruption) {
	for _, target := range d.Targets {
		s := r.servers[target]
		switch d.Kind {
		case ServerDrain:
			r.registry.setPhase(target, phaseDraining, 0)
		case ServerRemove:
			r.registry.setPhase(target, phaseRemoved, 0)
		case ServerResetIdle:
			s.resetConns(false)
		case ServerCold:
			now := time.Now()
			r.checker.ColdStart(target, warmCapacity, now)
			s.resetConns(true)
			r.registry.setPhase(target, phaseUp, now.UnixMilli())
		default:
			s.disruption.Store(d.Kind)
		}
	}
	r.wait(d.Duration)
	for _, target := range d.Targets {
		switch d.Kind {
		case ServerDrain, ServerRemove:
			r.registry.setPhase(target, phaseUp, 0)
		case ServerResetIdle, ServerCold:
		default:
			r.servers[target].disruption.CompareAndSwap(d.Kind, Kind(""))
		}
	}
}

// finish reads the nodes' counters, stops all processes and returns the result.
func (r *Run) finish(cancel func()) Result {
	res := Result{Plan: r.plan, Violations: make(map[string]int64), Denials: make(map[string]int64)}
	for _, n := range r.nodes {
		violations, denials, err := n.process().ruleCounters()
		if err != nil {
			r.checker.Report(ruleNotReady, n.number, "no metrics: %v", err)
		}
		for name, count := range violations {
			if count > 0 {
				res.Violations[name] += count
			}
		}
		for name, count := range denials {
			if count > 0 {
				res.Denials[name] += count
			}
		}
	}
	res.Usage = r.measureUsage()
	cancel()
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		wg.Go(func() { n.terminate(n.process()) })
	}
	wg.Wait()
	var readyTimes []time.Duration
	for _, n := range r.nodes {
		n.mu.Lock()
		readyTimes = append(readyTimes, n.readyTimes...)
		n.mu.Unlock()
	}
	slices.Sort(readyTimes)
	if rank := int(readyFraction * float64(len(readyTimes))); len(readyTimes) > 0 && readyTimes[min(rank, len(readyTimes)-1)] > readyWithin {
		r.checker.Report(ruleNotReady, -1, "the 90th percentile of the times to readiness is %v", readyTimes[rank])
	}
	res.Findings, res.Counts = r.checker.Finish()
	res.Starts, res.SlowestStart = len(readyTimes), slices.Max(append(readyTimes, 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	res.MaxMemoryKB, res.MaxDescriptors, res.Elapsed = r.maxMemoryKB, r.maxDescriptors, time.Since(r.startTime)
	return res
}

// cleanUp kills the processes still running and closes the servers and the registry.
func (r *Run) cleanUp() {
	for _, n := range r.nodes {
		if p := n.process(); p != nil {
			select {
			case <-p.ended:
			default:
				n.kill(p)
			}
		}
		if n.heldListener != nil {
			n.heldListener.Close()
		}
	}
	for _, s := range r.servers {
		s.close()
	}
	if r.registry != nil {
		r.registry.close()
	}
}
