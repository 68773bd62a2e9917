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
	sampleEvery  = 500 * time.Millisecond // of memory and descriptors
	progress     = 10 * time.Second
	warmCapacity = 60.0 // requests a second that a server counts as taking, for its slow start
	readyPart    = 0.9  // of the starts that have to be ready in time
	readyIn      = 10 * time.Second
	pauseMost    = 150 * time.Millisecond
	firstNet     = 20 // second number of the nodes' loopback addresses, which runs at once don't share
	nets         = 200
)

// Settings of a run that are not drawn.
type Settings struct {
	Binary  string   // the built node
	Faulty  string   // the same, built with the tag faults
	Dir     string   // for configurations, logs and the nodes' folders
	Env     []string // further environment of the nodes
	Options Options
}

// Result is what a run gave.
type Result struct {
	Plan       Plan             `json:"plan"`
	Took       time.Duration    `json:"took"`
	Counts     Counts           `json:"counts"`
	Findings   []Finding        `json:"findings"`
	Violations map[string]int64 `json:"node_violations"` // by the nodes' own counters, of the processes that lived to the end
	Denials    map[string]int64 `json:"node_denials"`
	MemoryKB   int64            `json:"most_memory_kb"`
	Sockets    int              `json:"most_descriptors"`
	SlowestUp  time.Duration    `json:"slowest_ready"`
	Starts     int              `json:"starts"`
	Usage      usage            `json:"usage"`
}

// Broken tells whether a rule was found broken, by the judge or by a node.
func (r Result) Broken() bool { return len(r.Findings) > 0 || len(r.Violations) > 0 }

// Run is a run that is under way.
type Run struct {
	settings Settings
	plan     Plan
	judge    *Judge
	registry *registry
	servers  []*server
	nodes    []*node
	clients  *clientPool
	ctx      context.Context
	begin    time.Time

	mu       sync.Mutex
	memoryKB int64
	sockets  int
}

// Execute draws the plan, plays it and judges it. An error means that the run itself could not be played.
func Execute(ctx context.Context, s Settings) (Result, error) {
	plan, err := Draw(s.Options)
	if err != nil {
		return Result{}, err
	}
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &Run{settings: s, plan: plan, judge: NewJudge(plan.Hedging), ctx: running, begin: time.Now()}
	r.clients = newClientPool(r.judge, plan.Seed)
	r.clients.classes = plan.classes()
	defer r.close()
	if err := r.open(); err != nil {
		return Result{}, err
	}
	r.play()
	return r.finish(cancel), ctx.Err()
}

// open starts the stand-ins and the nodes, and waits until all nodes are ready.
func (r *Run) open() error {
	var entries []scale.Entry
	takes := rate.NewLimiter(rate.Inf, 0)
	if v := r.plan.Overload; v != nil {
		takes = rate.NewLimiter(rate.Limit(v.Takes), takesBurst)
	}
	for i := range r.plan.Servers {
		s, err := newServer(i, r.judge, r.plan.Seed)
		if err != nil {
			return err
		}
		if v := r.plan.Overload; v != nil {
			s.workTime, s.takes = v.Work, takes
		}
		r.servers = append(r.servers, s)
		entries = append(entries, scale.Entry{ID: fmt.Sprintf("s-%04d", i), HostPort: s.addr(), Locality: "a", Flavor: "k",
			Cell: 1, Phase: phaseUp, Size: 1})
	}
	r.registry = newRegistry(r.judge, entries)
	for i := range r.plan.Nodes {
		if err := r.addNode(i, entries); err != nil {
			return err
		}
	}
	var all sync.WaitGroup
	for _, n := range r.nodes {
		p, err := n.start()
		if err != nil {
			return err
		}
		all.Go(func() { n.awaitReady(p, readyLatest) })
	}
	all.Wait()
	return nil
}

func (r *Run) addNode(number int, entries []scale.Entry) error {
	n := &node{number: number, run: r, dir: filepath.Join(r.settings.Dir, fmt.Sprintf("node-%03d", number)),
		binary: r.settings.Binary, env: r.settings.Env, logPipe: r.plan.Strikes(number, LogClosed, LogStalled)}
	if text, faulty := r.plan.Faults[number]; faulty {
		n.binary = r.settings.Faulty
		n.env = append(slices.Clone(n.env), faultpoint.EnvVar+"="+text)
	}
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return err
	}
	n.host = fmt.Sprintf("127.%d.%d.1", firstNet+r.plan.Seed%nets, number)
	ln, err := net.Listen("tcp", net.JoinHostPort(n.host, "0"))
	if err != nil {
		return err
	}
	defer ln.Close()
	n.listen = ln.Addr().String()
	if r.plan.Strikes(number, NodeUpgrade) { // then the platform holds the clients' listening socket
		if n.held, err = ln.(*net.TCPListener).File(); err != nil {
			return err
		}
	}
	discovery, err := r.registry.port(number)
	if err != nil {
		return err
	}
	n.config = filepath.Join(n.dir, "config.json")
	r.nodes = append(r.nodes, n)
	return writeConfig(n.config, r.config(n, discovery, entries))
}

// config is a node's configuration, in the form of the DEPLOY and WIRE pages.
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
		"name": fmt.Sprintf("n%d", n.number), "listen": n.listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", r.plan.Seed+uint64(n.number)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"known":  map[string]any{"revision": 1, "complete": true, "members": entries},
		"settings": map[string]any{
			"position": n.number, "groupSize": r.plan.group(), "zone": "a", "registryMode": mode, "services": services,
			"tenants": []map[string]any{{"name": "t", "quotaRps": 4 * r.plan.Rate * float64(r.plan.group()), "fraction": 1.0}},
			"limits": map[string]any{"cancelling": true, "connIdle": 3000.0, "connectTimeout": 250.0, "maxAttempts": 3,
				"maxOpen": 1000, "maxRetryAfter": 3000.0, "retryAfter": true, "secondCopies": r.plan.Hedging},
			"guarantees": map[string]any{"cold": ms(coldFor), "coldShare": coldShare, "drainGrace": ms(drainGrace),
				"fallMultiple": fallMultiple, "graceToAnswer": 20.0, "mustAskIn": 10000.0, "overloadFor": ms(fallFor)},
			"report": map[string]any{"fields": []string{"util", "qps"}, "how": "answers"},
		},
	}
}

// play sends the traffic and strikes with the troubles until the plan's time is over.
func (r *Run) play() {
	r.begin = time.Now()
	slog.Info("soak: all nodes are ready", "seed", r.plan.Seed, "nodes", len(r.nodes), "troubles", len(r.plan.Troubles))
	ctx, cancel := context.WithTimeout(r.ctx, r.plan.Duration)
	defer cancel()
	var parts sync.WaitGroup
	for _, n := range r.nodes {
		go n.follow()
		parts.Go(func() { r.traffic(ctx, n) })
	}
	parts.Go(func() { r.sample(ctx) })
	if v := r.plan.Overload; v != nil {
		parts.Go(func() { r.releases(ctx) })
		for _, n := range r.nodes {
			if v.Core < 1 {
				parts.Go(func() { r.slices(ctx, n, v.Core) })
			}
		}
	}
	for _, t := range r.plan.Troubles {
		select {
		case <-time.After(time.Until(r.begin.Add(t.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		r.judge.Struck(t.Kind)
		slog.Debug("soak: trouble", "seed", r.plan.Seed, "what", t.String())
		parts.Go(func() {
			if err := r.strike(t); err != nil {
				slog.Error("soak: a trouble could not be played", "what", t.String(), "err", err)
			}
		})
	}
	parts.Wait()
}

// traffic sends requests to one node, at random times, whatever becomes of those before.
func (r *Run) traffic(ctx context.Context, n *node) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(n.number)))
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		open.Go(func() { r.send(n) }) // where the front sends nobody, on connections that are open
	}
}

// send has a client of a node send one request.
func (r *Run) send(n *node) {
	if r.plan.Overload != nil && r.clients.float() < persistPart {
		r.clients.persist(n)
	} else {
		r.clients.request(n)
	}
}

// sample keeps the most that any process takes.
func (r *Run) sample(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	told := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, n := range r.nodes {
			p := n.process()
			memory, sockets := p.memoryKB("VmRSS"), p.descriptors()
			r.mu.Lock()
			r.memoryKB, r.sockets = max(r.memoryKB, memory), max(r.sockets, sockets)
			r.mu.Unlock()
			if memory > nodeMemoryMB<<10 || sockets > nodeSockets {
				r.judge.Find(ruleLimits, n.number, "%d kB, %d descriptors", memory, sockets)
			}
		}
		if time.Since(told) > progress {
			told = time.Now()
			slog.Info("soak: under way", "seed", r.plan.Seed, "after", time.Since(r.begin).Round(time.Second))
		}
	}
}

// strike plays one trouble to its end.
func (r *Run) strike(t Trouble) error {
	switch t.Kind.strikes() {
	case "nodes":
		var all sync.WaitGroup
		errs := make([]error, len(t.Targets))
		for i, target := range t.Targets {
			all.Go(func() { errs[i] = r.strikeNode(t, r.nodes[target]) })
		}
		all.Wait()
		return errors.Join(errs...)
	case "servers":
		r.strikeServers(t)
		return nil
	}
	switch t.Kind {
	case RegistryDown, RegistryMute, RegistrySlow:
		r.registry.fail(map[Kind]fault{RegistryDown: faultDown, RegistryMute: faultMute, RegistrySlow: faultSlow}[t.Kind])
		r.wait(t.For)
		r.registry.fail(faultNone)
	case RegistryCut:
		r.registry.cutWatches()
	case ClientsLeave:
		r.clients.leave.Store(true)
		r.wait(t.For)
		r.clients.leave.Store(false)
	case ClientsSlow:
		r.clients.slow.Store(true)
		r.wait(t.For)
		r.clients.slow.Store(false)
	}
	return nil
}

func (r *Run) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

func (r *Run) strikeNode(t Trouble, n *node) error {
	p := n.process()
	switch t.Kind {
	case NodeTerm, NodeKill, NodeUpgrade:
		return n.replace(t.Kind)
	case NodeStandby:
		n.standby(p)
	case NodeReload:
		return r.reload(n, p)
	case NodePause:
		for end := time.Now().Add(t.For); time.Now().Before(end); r.wait(2 * pauseMost) {
			n.signal(p, syscall.SIGSTOP)
			time.Sleep(time.Duration(r.clients.float() * float64(pauseMost)))
			n.signal(p, syscall.SIGCONT)
		}
	case LogClosed, LogStalled:
		n.breakLog(p, t.Kind == LogClosed)
	case ClientsFlood, ClientsStop, ClientsQueue:
		play := map[Kind]func(*node){ClientsFlood: r.clients.flood, ClientsStop: r.clients.stop, ClientsQueue: r.clients.queue}
		var all sync.WaitGroup
		for range 6 {
			all.Go(func() { play[t.Kind](n) })
			r.wait(t.For / 6)
		}
		all.Wait()
	case ClientsIdle:
		n.crowded.Store(true)
		r.clients.fill(n, t.For)
		n.crowded.Store(false)
	}
	return nil
}

// reload moves a node's discovery, up to three times in a row; the last address is the one that stays.
func (r *Run) reload(n *node, p *process) error {
	for range 1 + int(r.clients.float()*3) {
		discovery, err := r.registry.port(n.number)
		if err != nil {
			return err
		}
		if err := writeConfig(n.config, r.config(n, discovery, r.registry.known())); err != nil {
			return err
		}
		n.signal(p, syscall.SIGHUP)
		r.wait(time.Duration(r.clients.float() * float64(200*time.Millisecond)))
	}
	return nil
}

func (r *Run) strikeServers(t Trouble) {
	for _, target := range t.Targets {
		s := r.servers[target]
		switch t.Kind {
		case ServerDrain:
			r.registry.change(target, phaseDraining, 0)
		case ServerRemove:
			r.registry.change(target, phaseRemoved, 0)
		case ServerForget:
			s.resetConns(false)
		case ServerCold:
			now := time.Now()
			r.judge.ColdStart(target, warmCapacity, now)
			s.resetConns(true)
			r.registry.change(target, phaseUp, now.UnixMilli())
		default:
			s.kind.Store(t.Kind)
		}
	}
	r.wait(t.For)
	for _, target := range t.Targets {
		switch t.Kind {
		case ServerDrain, ServerRemove:
			r.registry.change(target, phaseUp, 0)
		case ServerForget, ServerCold:
		default:
			r.servers[target].kind.CompareAndSwap(t.Kind, Kind(""))
		}
	}
}

// finish ends all processes and gathers what was found.
func (r *Run) finish(cancel func()) Result {
	res := Result{Plan: r.plan, Violations: make(map[string]int64), Denials: make(map[string]int64)}
	for _, n := range r.nodes {
		violations, denials, err := n.process().counters()
		if err != nil {
			r.judge.Find(ruleNotReady, n.number, "no metrics: %v", err)
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
	res.Usage = r.measure()
	cancel()
	var all sync.WaitGroup
	for _, n := range r.nodes {
		all.Go(func() { n.end(n.process()) })
	}
	all.Wait()
	var readies []time.Duration
	for _, n := range r.nodes {
		n.mu.Lock()
		readies = append(readies, n.readies...)
		n.mu.Unlock()
	}
	slices.Sort(readies)
	if at := int(readyPart * float64(len(readies))); len(readies) > 0 && readies[min(at, len(readies)-1)] > readyIn {
		r.judge.Find(ruleNotReady, -1, "nine in ten starts took %v", readies[at])
	}
	res.Findings, res.Counts = r.judge.Close()
	res.Starts, res.SlowestUp = len(readies), slices.Max(append(readies, 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	res.MemoryKB, res.Sockets, res.Took = r.memoryKB, r.sockets, time.Since(r.begin)
	return res
}

// close ends whatever is still there.
func (r *Run) close() {
	for _, n := range r.nodes {
		if p := n.process(); p != nil {
			select {
			case <-p.ended:
			default:
				n.kill(p)
			}
		}
		if n.held != nil {
			n.held.Close()
		}
	}
	for _, s := range r.servers {
		s.close()
	}
	if r.registry != nil {
		r.registry.close()
	}
}
