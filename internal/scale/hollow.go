package scale

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltward/internal/node"
)

// revisionTime is a revision of the list and the Unix time in nanoseconds at which it came into force or was made.
type revisionTime struct{ Revision, At int64 }

// logPrecision is the precision of the times in a node's log, which are rounded down.
const logPrecision = time.Millisecond

// revisionHistory holds the revisions that were in force at one node, in order of time, across its restarts.
type revisionHistory struct {
	mu      sync.Mutex
	entries []revisionTime
}

func (s *revisionHistory) add(r revisionTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, r)
}

func (s *revisionHistory) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// lastRevision returns the revision that came into force last, or 0 if there is none yet.
func (s *revisionHistory) lastRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) == 0 {
		return 0
	}
	return s.entries[len(s.entries)-1].Revision
}

// recordDelays records, in microseconds, how long each change took to be in force at the node, and returns how many
// changes never were. Both changes and the history are in order of time.
func (s *revisionHistory) recordDelays(changes []revisionTime, h *hdrhistogram.Histogram) (notInForce int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for _, c := range changes {
		for from < len(s.entries) && s.entries[from].At < c.At-int64(logPrecision) {
			from++
		}
		i := slices.IndexFunc(s.entries[from:], func(r revisionTime) bool { return r.Revision >= c.Revision })
		if i < 0 {
			notInForce++
			continue
		}
		recordValue(h, max(0, s.entries[from+i].At-c.At)/int64(time.Microsecond))
	}
	return notInForce
}

// HollowArgs tells a process which hollow nodes to run: Count nodes of the world, beginning with number First.
type HollowArgs struct {
	Step         Step
	Seed         uint64
	Port         int
	First, Count int
	Discovery    string
	MemoryMB     int
}

// HollowCost is the resource use of a process that runs hollow nodes.
type HollowCost struct {
	CPU   time.Duration // CPU time of the process
	Log   int64         // bytes logged
	Heap  int64         // heap after a garbage collection, less the heap before the nodes were started, in bytes
	RSS   int64         // resident memory, less that before the nodes were started, in bytes
	Ready int           // number of nodes with a list of the requested revision or a later one in force
}

// DelaysReply tells how long changes took to be in force, over all pairs of a node and a change.
type DelaysReply struct {
	Delays []byte // encoded histogram, in microseconds
	Never  int64  // number of pairs where the change never was in force
}

// hollowService runs hollow nodes in this process and answers the parent's calls. The nodes share the settings and
// the known list. Both are loaded before baseHeap and baseRSS are read, so the nodes' measured memory excludes them.
type hollowService struct {
	logBytes          atomic.Int64
	mu                sync.Mutex
	nodes             []*hollowNode
	baseHeap, baseRSS int64 // bytes before the nodes were started
}

// hollowNode is a node without client sockets, across its restarts.
type hollowNode struct {
	config  node.Config
	history revisionHistory
	stop    context.CancelFunc
	exited  chan struct{}
}

// newHollowService replaces the default logger by one that only counts the bytes logged.
func newHollowService() *hollowService {
	s := &hollowService{}
	slog.SetDefault(slog.New(slog.NewTextHandler(countingWriter{io.Discard, &s.logBytes}, nil)))
	return s
}

// countingWriter counts the bytes written to it.
type countingWriter struct {
	io.Writer
	total *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	c.total.Add(int64(len(p)))
	return c.Writer.Write(p)
}

// Start parses the configuration and starts the nodes.
func (s *hollowService) Start(args HollowArgs, _ *struct{}) error {
	world := NewWorld(args.Step, args.Seed, args.Port)
	raw, err := world.Config(args.First, "127.0.0.1:1", args.Discovery, args.MemoryMB)
	if err != nil {
		return err
	}
	config, err := node.ParseConfig(raw)
	if err != nil {
		return err
	}
	world, raw = nil, nil // not needed any more, so heapAndRSS can free them
	s.baseHeap, s.baseRSS = heapAndRSS()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := args.First; i < args.First+args.Count; i++ {
		hollow := &hollowNode{config: config}
		hollow.config.Name, hollow.config.Seed = fmt.Sprint("n", i), args.Seed+uint64(i)
		hollow.config.Settings.Node, hollow.config.Settings.Zone = i, zoneName(i%args.Step.Zones)
		s.nodes = append(s.nodes, hollow)
		hollow.start()
	}
	return nil
}

func (n *hollowNode) start() {
	ctx, stop := context.WithCancel(context.Background())
	exited := make(chan struct{})
	n.stop, n.exited = stop, exited
	go func() {
		defer close(exited)
		err := node.RunHollow(ctx, n.config, func(revision int64, at time.Time) {
			n.history.add(revisionTime{revision, at.UnixNano()})
		})
		if err != nil && ctx.Err() == nil {
			slog.New(slog.NewTextHandler(os.Stderr, nil)).Error("hollow node failed", "name", n.config.Name, "err", err)
		}
	}()
}

// Restart stops the given fraction of the nodes, the first ones, at the same time, and starts them again.
func (s *hollowService) Restart(fraction float64, _ *struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted := s.nodes[:waveSize(fraction, len(s.nodes))]
	for _, n := range restarted {
		n.stop()
	}
	for _, n := range restarted {
		<-n.exited
		n.start()
	}
	return nil
}

// Cost reports the CPU time and the bytes logged so far. Ready counts the nodes that have a list of the given revision
// or a later one in force.
func (s *hollowService) Cost(revision int64, cost *HollowCost) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost.CPU, cost.Log = ownCPUTime(), s.logBytes.Load()
	for _, n := range s.nodes {
		if n.history.count() > 0 && n.history.lastRevision() >= revision {
			cost.Ready++
		}
	}
	return nil
}

// Memory reports how much the process's memory has grown since before the nodes were started.
func (s *hollowService) Memory(_ struct{}, cost *HollowCost) error {
	rss, err := processMemory(os.Getpid(), "VmRSS")
	if err != nil {
		return err
	}
	heap, _ := heapAndRSS()
	cost.Heap, cost.RSS = heap-s.baseHeap, rss-s.baseRSS
	return nil
}

// Delays reports how long the changes took to be in force at the nodes.
func (s *hollowService) Delays(changes []revisionTime, reply *DelaysReply) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := newHistogram()
	for _, n := range s.nodes {
		reply.Never += n.history.recordDelays(changes, h)
	}
	reply.Delays, err = h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return err
}

// heapAndRSS collects garbage, returns free memory to the operating system, and returns the sizes that remain, in
// bytes.
func heapAndRSS() (heap, rss int64) {
	runtime.GC() // FreeOSMemory collects again, which frees what pools and finalizers keep through the first collection
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	rss, _ = processMemory(os.Getpid(), "VmRSS")
	return int64(m.HeapAlloc), rss
}

// waveSize returns how many of n nodes a restart wave of the given fraction restarts: at least one if the fraction is
// above 0 and there are nodes.
func waveSize(fraction float64, n int) int {
	if fraction <= 0 {
		return 0
	}
	return min(n, max(1, int(fraction*float64(n)+0.5)))
}

// RegistryArgs are the parameters of the stand-in for discovery.
type RegistryArgs struct {
	Step      Step
	Seed      uint64
	Port      int
	Listeners int
}

// ChangeArgs asks for changes of the list at even intervals over a period.
type ChangeArgs struct {
	Rate float64 // changes per second
	For  time.Duration
}

// count returns the number of changes.
func (a ChangeArgs) count() int { return int(a.Rate * a.For.Seconds()) }

// registryService runs the stand-in for discovery, changes its list, and answers the parent's calls.
type registryService struct {
	mu       sync.Mutex
	world    *World
	registry *Registry
	rng      *rand.Rand
	changes  []revisionTime
}

// Start starts the stand-in and returns the addresses of its listeners.
func (s *registryService) Start(args RegistryArgs, addresses *[]string) (err error) {
	s.world = NewWorld(args.Step, args.Seed, args.Port)
	s.rng = rand.New(rand.NewPCG(args.Seed, 1))
	s.registry, err = StartRegistry(RegistryConfig{Listeners: args.Listeners, Limits: args.Step.Discovery,
		Members: s.world.Members()})
	if err != nil {
		return err
	}
	*addresses = s.registry.Addresses()
	return nil
}

// ChangeFor returns at once and makes the changes in the background.
func (s *registryService) ChangeFor(args ChangeArgs, _ *struct{}) error {
	go func() {
		begin := time.Now()
		for i := range args.count() {
			time.Sleep(time.Until(begin.Add(time.Duration((float64(i) + 0.5) / args.Rate * float64(time.Second)))))
			s.applyChange(func() []Entry { return s.world.NextChange(s.rng) })
		}
	}()
	return nil
}

// applyChange applies the entries that next returns to the list as one change, and records it.
func (s *registryService) applyChange(next func() []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, at := s.registry.Change(next())
	s.changes = append(s.changes, revisionTime{revision, at.UnixNano()})
}

// Changes returns the changes made since the start, in order of time.
func (s *registryService) Changes(_ struct{}, all *[]revisionTime) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*all = slices.SortedStableFunc(slices.Values(s.changes), func(a, b revisionTime) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// RegistryCost is the resource use of the stand-in for discovery.
type RegistryCost struct {
	CPU   time.Duration // CPU time of the process
	Stats []RegistryStats
}

// Cost reports the CPU time of the process and the totals of each listener.
func (s *registryService) Cost(_ struct{}, cost *RegistryCost) error {
	cost.CPU, cost.Stats = ownCPUTime(), s.registry.Stats()
	return nil
}

// Fail injects a fault. A fault of discovery runs in the background, and Fail returns at once. For the loss of a zone,
// it returns once the zone is back, with the number of list changes made.
func (s *registryService) Fail(fault Fault, changes *int) error {
	switch fault.Kind {
	case ZoneLost:
		begin := time.Now()
		*changes = s.applyZoneChanges(begin, fault.Over.Duration, s.world.removeLastZone)
		*changes += s.applyZoneChanges(begin.Add(fault.For.Duration), fault.Over.Duration, s.world.restoreLastZone)
	case DiscoverySilent:
		go s.registry.Silence(fault.For.Duration)
	case DiscoveryGone:
		go s.registry.TakeDown(fault.For.Duration)
	}
	return nil
}

// applyZoneChanges changes the entries of the last zone one by one, at even intervals over the given duration, or all
// of them in one change if the duration is 0. The function change returns the changed i-th entry of the zone, or all
// for -1. applyZoneChanges returns the number of changes made.
func (s *registryService) applyZoneChanges(begin time.Time, duration time.Duration, change func(i int) []Entry) int {
	n := 1
	if duration > 0 {
		n = s.world.lastZoneSize()
	}
	for i := range n {
		time.Sleep(time.Until(begin.Add(duration * time.Duration(i) / time.Duration(n))))
		s.applyChange(func() []Entry {
			if duration > 0 {
				return change(i)
			}
			return change(-1)
		})
	}
	return n
}

// TranscribersArgs are the parameters of the stand-ins for transcribers.
type TranscribersArgs struct {
	Step Step
	Seed uint64
	Port int
	Work time.Duration // mean processing time of a request
}

// transcribersService runs the stand-ins for transcribers and answers the parent's calls.
type transcribersService struct{ transcribers *Transcribers }

// Start starts the stand-ins for all transcribers in the list.
func (s *transcribersService) Start(args TranscribersArgs, _ *struct{}) (err error) {
	world := NewWorld(args.Step, args.Seed, args.Port)
	s.transcribers, err = StartTranscribers(TranscribersConfig{Members: world.Members(), MeanProcessingTime: args.Work, Seed: args.Seed})
	return err
}

// Stats returns the totals of the stand-ins.
func (s *transcribersService) Stats(_ struct{}, stats *TranscriberStats) error {
	*stats = s.transcribers.Stats()
	return nil
}
