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

// revisionAt says that a list of this revision was in force, or had been made, at that Unix time in nanoseconds.
type revisionAt struct{ Revision, At int64 }

// logPrecision is that of the times in a node's log, which are rounded down.
const logPrecision = time.Millisecond

// sightings are the lists in force at one node, one after the other, over all its starts.
type sightings struct {
	mu  sync.Mutex
	all []revisionAt
}

func (s *sightings) add(r revisionAt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, r)
}

func (s *sightings) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// last is the newest revision in force; 0 before the first.
func (s *sightings) last() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) == 0 {
		return 0
	}
	return s.all[len(s.all)-1].Revision
}

// delays records, in microseconds, how long each change took to be in force here, and returns how many never
// were. Both changes and sightings are in the order of their times.
func (s *sightings) delays(changes []revisionAt, h *hdrhistogram.Histogram) (never int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for _, c := range changes {
		for from < len(s.all) && s.all[from].At < c.At-int64(logPrecision) {
			from++
		}
		i := slices.IndexFunc(s.all[from:], func(r revisionAt) bool { return r.Revision >= c.Revision })
		if i < 0 {
			never++
			continue
		}
		record(h, max(0, s.all[from+i].At-c.At)/int64(time.Microsecond))
	}
	return never
}

// HollowArgs says which nodes a process holds: Count of them from First on, in one world.
type HollowArgs struct {
	Step         Step
	Seed         uint64
	Port         int
	First, Count int
	Discovery    string
	MemoryMB     int
}

// HollowCost is what a process of hollow nodes has spent and holds.
type HollowCost struct {
	CPU   time.Duration // of the process
	Log   int64         // bytes
	Heap  int64         // bytes after a collection, less those before the nodes
	RSS   int64         // bytes, less those before the nodes
	Ready int           // nodes at which a list is in force that isn't older than asked for
}

// DelaysReply is how long changes took to be in force, for each node and change.
type DelaysReply struct {
	Delays []byte // an encoded histogram, in microseconds
	Never  int64
}

// hollowService holds hollow nodes. They share the settings and the known list, and so these count as there
// before the nodes.
type hollowService struct {
	log       atomic.Int64
	mu        sync.Mutex
	nodes     []*hollowNode
	heap, rss int64 // before the nodes
}

type hollowNode struct {
	config node.Config
	seen   sightings
	stop   context.CancelFunc
	ended  chan struct{}
}

func newHollowService() *hollowService {
	s := &hollowService{}
	slog.SetDefault(slog.New(slog.NewTextHandler(counter{io.Discard, &s.log}, nil)))
	return s
}

// counter counts the bytes that are written.
type counter struct {
	io.Writer
	n *atomic.Int64
}

func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Writer.Write(p)
}

// Start parses the configuration and starts the nodes.
func (s *hollowService) Start(a HollowArgs, _ *struct{}) error {
	w := NewWorld(a.Step, a.Seed, a.Port)
	raw, err := w.Config(a.First, "127.0.0.1:1", a.Discovery, a.MemoryMB)
	if err != nil {
		return err
	}
	c, err := node.ParseConfig(raw)
	if err != nil {
		return err
	}
	w, raw = nil, nil
	s.heap, s.rss = heapAndRSS()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := a.First; i < a.First+a.Count; i++ {
		n := &hollowNode{config: c}
		n.config.Name, n.config.Seed = fmt.Sprint("n", i), a.Seed+uint64(i)
		n.config.Settings.Node, n.config.Settings.Zone = i, zoneName(i%a.Step.Zones)
		s.nodes = append(s.nodes, n)
		n.start()
	}
	return nil
}

func (n *hollowNode) start() {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	n.stop, n.ended = stop, ended
	go func() {
		defer close(ended)
		err := node.RunHollow(ctx, n.config, func(revision int64, at time.Time) {
			n.seen.add(revisionAt{revision, at.UnixNano()})
		})
		if err != nil && ctx.Err() == nil {
			slog.New(slog.NewTextHandler(os.Stderr, nil)).Error("hollow node", "name", n.config.Name, "err", err)
		}
	}()
}

// Restart ends the first part of the nodes, all at once, and starts them anew.
func (s *hollowService) Restart(part float64, _ *struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	some := s.nodes[:wave(part, len(s.nodes))]
	for _, n := range some {
		n.stop()
	}
	for _, n := range some {
		<-n.ended
		n.start()
	}
	return nil
}

// Cost tells what the nodes have cost so far; Ready counts those at revision or later.
func (s *hollowService) Cost(revision int64, c *HollowCost) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.CPU, c.Log = ownCPU(), s.log.Load()
	for _, n := range s.nodes {
		if n.seen.count() > 0 && n.seen.last() >= revision {
			c.Ready++
		}
	}
	return nil
}

// Memory tells what the nodes hold by now, beyond what was there before them.
func (s *hollowService) Memory(_ struct{}, c *HollowCost) error {
	rss, err := memoryOf(os.Getpid(), "VmRSS")
	if err != nil {
		return err
	}
	heap, _ := heapAndRSS()
	c.Heap, c.RSS = heap-s.heap, rss-s.rss
	return nil
}

// Delays tells how long the changes took to be in force at the nodes.
func (s *hollowService) Delays(changes []revisionAt, r *DelaysReply) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := histogram()
	for _, n := range s.nodes {
		r.Never += n.seen.delays(changes, h)
	}
	r.Delays, err = h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return err
}

// heapAndRSS collects garbage, hands the memory back, and returns what is left in bytes.
func heapAndRSS() (heap, rss int64) {
	runtime.GC() // what pools and finalizers keep goes with the second
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	rss, _ = memoryOf(os.Getpid(), "VmRSS")
	return int64(m.HeapAlloc), rss
}

// wave is how many of n nodes a part of them is: one at least, where there is a part.
func wave(part float64, n int) int {
	if part <= 0 {
		return 0
	}
	return min(n, max(1, int(part*float64(n)+0.5)))
}

// RegistryArgs starts discovery's stand-in.
type RegistryArgs struct {
	Step      Step
	Seed      uint64
	Port      int
	Listeners int
}

// ChangeArgs has the list changed at even intervals for a time.
type ChangeArgs struct {
	Rate float64 // a second
	For  time.Duration
}

func (a ChangeArgs) count() int { return int(a.Rate * a.For.Seconds()) }

// registryService is discovery's stand-in, and makes the changes.
type registryService struct {
	mu      sync.Mutex
	world   *World
	reg     *Registry
	rng     *rand.Rand
	changes []revisionAt
}

// Start answers with the addresses of the listeners.
func (s *registryService) Start(a RegistryArgs, addresses *[]string) (err error) {
	s.world = NewWorld(a.Step, a.Seed, a.Port)
	s.rng = rand.New(rand.NewPCG(a.Seed, 1))
	s.reg, err = StartRegistry(RegistryConfig{Listeners: a.Listeners, Plan: a.Step.Discovery, Members: s.world.Members()})
	if err != nil {
		return err
	}
	*addresses = s.reg.Addresses()
	return nil
}

// ChangeFor answers at once, and makes the changes beside other calls.
func (s *registryService) ChangeFor(a ChangeArgs, _ *struct{}) error {
	go func() {
		begin := time.Now()
		for i := range a.count() {
			time.Sleep(time.Until(begin.Add(time.Duration((float64(i) + 0.5) / a.Rate * float64(time.Second)))))
			s.change(func() []Entry { return s.world.NextChange(s.rng) })
		}
	}()
	return nil
}

// change makes one change of what next returns.
func (s *registryService) change(next func() []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, at := s.reg.Change(next())
	s.changes = append(s.changes, revisionAt{revision, at.UnixNano()})
}

// Changes answers with the changes made since the start.
func (s *registryService) Changes(_ struct{}, all *[]revisionAt) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*all = slices.SortedStableFunc(slices.Values(s.changes), func(a, b revisionAt) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// RegistryCost is what discovery's stand-in has spent and sent.
type RegistryCost struct {
	CPU   time.Duration // of the process
	Stats []RegistryStats
}

// Cost answers with a set of figures for each listener.
func (s *registryService) Cost(_ struct{}, c *RegistryCost) error {
	c.CPU, c.Stats = ownCPU(), s.reg.Stats()
	return nil
}

// Fail carries out a fault of discovery, or a zone's loss: that takes until it is back, and answers with how many
// changes it made.
func (s *registryService) Fail(f Fault, changes *int) error {
	switch f.Kind {
	case ZoneLost:
		begin := time.Now()
		*changes = s.moveZone(begin, f.Over.Duration, s.world.loseLastZone)
		*changes += s.moveZone(begin.Add(f.For.Duration), f.Over.Duration, s.world.restoreLastZone)
	case DiscoverySilent:
		go s.reg.Silence(f.For.Duration)
	case DiscoveryGone:
		go s.reg.Gone(f.For.Duration)
	}
	return nil
}

// moveZone makes each entry that step returns a change, evenly over a time; or all of them one change. It returns
// how many changes it made.
func (s *registryService) moveZone(begin time.Time, over time.Duration, step func(i int) []Entry) int {
	n := 1
	if over > 0 {
		n = s.world.lastZoneSize()
	}
	for i := range n {
		time.Sleep(time.Until(begin.Add(over * time.Duration(i) / time.Duration(n))))
		s.change(func() []Entry {
			if over > 0 {
				return step(i)
			}
			return step(-1)
		})
	}
	return n
}

// TranscribersArgs starts the stand-ins for transcribers.
type TranscribersArgs struct {
	Step Step
	Seed uint64
	Port int
	Work time.Duration
}

type transcribersService struct{ all *Transcribers }

// Start has the transcribers of the list listen.
func (s *transcribersService) Start(a TranscribersArgs, _ *struct{}) (err error) {
	w := NewWorld(a.Step, a.Seed, a.Port)
	s.all, err = StartTranscribers(TranscribersConfig{Members: w.Members(), Work: a.Work, Seed: a.Seed})
	return err
}

// Stats answers with their figures.
func (s *transcribersService) Stats(_ struct{}, st *TranscriberStats) error {
	*st = s.all.Stats()
	return nil
}
