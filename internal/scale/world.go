package scale

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the settings (in the units of the simulator's first message) that a world's nodes are told.
const (
	tenantMeanRate  = 1.4  // requests a second
	nodeSockets     = 1024 // DEPLOY: at most, on scored days
	transcriberIdle = 10 * time.Second
	zoneCells       = 4
)

const settingsEnd = `"registryMode":"subscribe",` +
	`"limits":{"maxAttempts":2,"retryAfter":true,"cancelling":true,"connIdle":10000,"maxRetryAfter":30000},` +
	`"guarantees":{"graceToAnswer":50,"drainGrace":2000,"cold":10000,"coldShare":0.2,"fallMultiple":2,` +
	`"overloadFor":1000,"mustAskIn":10000}}`

// firstAddress begins the loopback addresses of transcribers, 127.64.0.0/10, one for each.
var firstAddress = netip.AddrFrom4([4]byte{127, 64, 0, 1})

// Entry is one transcriber in discovery's form (PROTOCOL, Discovery). UpSinceMS is Unix time in
// milliseconds; 0 means long ago.
type Entry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int64   `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// Phases of an entry (PROTOCOL, Discovery); a removed one is told among changes only.
const (
	phaseUp       = "up"
	phaseDraining = "draining"
	phaseRemoved  = "removed"
)

// World is what the nodes of a step are told of: transcribers, services and tenants, the same for the same
// step, seed and port. All but NextChange may be called at the same time.
type World struct {
	Step Step
	Seed uint64
	Now  func() time.Time // for up_since_ms of changed entries, the one thing that the seed doesn't settle

	start        []Entry
	serviceLoads []float64 // running sums
	tenantLoads  []float64 // running sums of requests a second
	tail         func() []byte
	known        func() ([]byte, error)

	lastZone []int // indexes into current of the last zone's entries, whose places and zones stay

	// What NextChange has made of it.
	current  []Entry
	changing int // index into current of the entry that changed last
	made     uint32
	turn     int
}

// NewWorld makes the world of a step, one that LoadPlan let pass, whose transcribers all listen at the port.
func NewWorld(s Step, seed uint64, port int) *World {
	w := &World{Step: s, Seed: seed, Now: time.Now}
	rng := rand.New(rand.NewPCG(seed, 1))
	loads := make([]float64, s.Services)
	for i := range loads {
		loads[i] = math.Exp(rng.NormFloat64() / 2) // most services within a factor of three of the mean
	}
	w.serviceLoads = runningSums(loads)
	quotas := make([]float64, s.Tenants)
	for i := range quotas {
		quotas[i] = math.Min(math.Pow(1-rng.Float64(), -1/1.5), 1000) // Pareto, index 1.5
	}
	w.tenantLoads = runningSums(quotas)
	scale := tenantMeanRate * float64(s.Tenants) / w.tenantLoads[s.Tenants-1]
	for i := range w.tenantLoads {
		w.tenantLoads[i] *= scale
	}
	w.start = w.transcribers(loads, rng, port)
	w.current = slices.Clone(w.start)
	last := zoneName(s.Zones - 1)
	for i, e := range w.start {
		if e.Locality == last {
			w.lastZone = append(w.lastZone, i)
		}
	}
	w.tail = sync.OnceValue(w.settingsTail)
	w.known = sync.OnceValues(func() ([]byte, error) {
		return json.Marshal(memberList{Revision: 1, Complete: true, Members: w.start})
	})
	return w
}

// memberList is discovery's answer: the whole list, or changes of it.
type memberList struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

// transcribers gives each service one, and deals out the rest in proportion to the services' loads.
func (w *World) transcribers(loads []float64, rng *rand.Rand, port int) []Entry {
	s := w.Step
	counts := make([]int, s.Services)
	rest := s.Transcribers
	for i, load := range loads {
		counts[i] = 1 + int(float64(s.Transcribers-s.Services)*load/w.serviceLoads[s.Services-1])
		rest -= counts[i]
	}
	all := make([]Entry, 0, s.Transcribers)
	addr := firstAddress
	for i := range counts {
		if i < rest { // left over by rounding down
			counts[i]++
		}
		for j := range counts[i] {
			zone := (i + j) % s.Zones
			all = append(all, Entry{ID: w.newID(), HostPort: netip.AddrPortFrom(addr, uint16(port)).String(),
				Locality: zoneName(zone), Flavor: kindName(i), Cell: int64(zone*zoneCells + rng.IntN(zoneCells)),
				Phase: phaseUp, Size: 1})
			addr = addr.Next()
		}
	}
	return all
}

// newID gives out each of 2^32 ids once, in an order that has nothing to do with services.
func (w *World) newID() string {
	id := fmt.Sprintf("s-%08x", w.made*2654435761^uint32(w.Seed))
	w.made++
	return id
}

func zoneName(i int) string    { return fmt.Sprintf("z%02d", i+1) }
func kindName(i int) string    { return fmt.Sprintf("k-%04d", i+1) }
func serviceName(i int) string { return fmt.Sprintf("svc-%04d", i+1) }
func tenantName(i int) string  { return fmt.Sprintf("t-%06d", i+1) }

func runningSums(parts []float64) []float64 {
	all, sum := make([]float64, len(parts)), 0.0
	for i, p := range parts {
		sum += p
		all[i] = sum
	}
	return all
}

// drawIndex chooses an index in proportion to the parts that the sums were made of.
func drawIndex(runningSums []float64, rng *rand.Rand) int {
	at := rng.Float64() * runningSums[len(runningSums)-1]
	return min(sort.Search(len(runningSums), func(i int) bool { return runningSums[i] > at }), len(runningSums)-1)
}

// Members is the list at the start, which is revision 1. It is not to be written to.
func (w *World) Members() []Entry { return w.start }

// Settings is the settings object (PROTOCOL) as JSON for the node with that number, from 0.
func (w *World) Settings(node int) ([]byte, error) {
	if node < 0 || node >= w.Step.Nodes {
		return nil, fmt.Errorf("node: want 0 to %d, got %d", w.Step.Nodes-1, node)
	}
	tail := w.tail()
	all := make([]byte, 0, len(tail)+128)
	return append(w.appendHead(all, node), tail...), nil
}

// appendHead writes the part of the settings that differs from node to node.
func (w *World) appendHead(to []byte, node int) []byte {
	return fmt.Appendf(to, `{"position":%d,"groupSize":%d,"zone":%q,`, node, w.Step.Nodes,
		zoneName(node%w.Step.Zones))
}

func (w *World) settingsTail() []byte {
	all := make([]byte, 0, 160*w.Step.Services+48*w.Step.Tenants+1024)
	all = append(all, `"services":[`...)
	for i := range w.Step.Services {
		all = fmt.Appendf(all, `{"name":%q,"aim":250,"deadline":1000,"repeat":"free","lateWorth":0.5,"value":1,"servedOn":[%q]},`,
			serviceName(i), kindName(i))
	}
	all = append(all[:len(all)-1], `],"tenants":[`...)
	before := 0.0
	for i, sum := range w.tenantLoads {
		all = append(append(all, `{"name":"`...), tenantName(i)...)
		all = strconv.AppendFloat(append(all, `","quotaRps":`...), sum-before, 'f', 6, 64)
		all = append(all, `},`...)
		before = sum
	}
	return append(append(all[:len(all)-1], `],`...), settingsEnd...)
}

// Config is the whole configuration file of a node (DEPLOY, What a node is told). Memory is in MB.
func (w *World) Config(node int, listen, discovery string, memoryMB int) ([]byte, error) {
	if node < 0 || node >= w.Step.Nodes {
		return nil, fmt.Errorf("node: want 0 to %d, got %d", w.Step.Nodes-1, node)
	}
	known, err := w.known()
	if err != nil {
		return nil, err
	}
	tail := w.tail()
	all := make([]byte, 0, len(known)+len(tail)+1024)
	all = fmt.Appendf(all, `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%016x",`+
		`"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":`, node, listen, discovery,
		rand.NewPCG(w.Seed, uint64(node)).Uint64(), memoryMB, nodeSockets)
	all = append(append(all, known...), `,"settings":`...)
	all = append(w.appendHead(all, node), tail...)
	return append(all, '}'), nil
}

// NextChange changes the list and returns the entries to tell of. By turns a transcriber drains, the same
// one comes up again, and one is replaced: removed, and a new id comes at its address. It is for one caller
// at a time.
func (w *World) NextChange(rng *rand.Rand) []Entry {
	turn := w.turn
	w.turn = (turn + 1) % 3
	if turn != 1 {
		w.changing = rng.IntN(len(w.current))
	}
	e := &w.current[w.changing]
	if turn == 0 {
		e.Phase = phaseDraining
		return []Entry{*e}
	}
	old := *e
	e.Phase, e.UpSinceMS = phaseUp, w.Now().UnixMilli()
	if turn == 1 {
		return []Entry{*e}
	}
	old.Phase = phaseRemoved
	e.ID = w.newID()
	return []Entry{old, *e}
}

func (w *World) lastZoneSize() int { return len(w.lastZone) }

// loseLastZone returns the last zone's i-th entry as removed, or all of them for -1. It and restoreLastZone are for
// the caller of NextChange, which meanwhile may bring single ones back.
func (w *World) loseLastZone(i int) []Entry {
	return w.ofLastZone(i, func(e *Entry) Entry {
		gone := *e
		gone.Phase = phaseRemoved
		return gone
	})
}

// restoreLastZone returns them as started anew.
func (w *World) restoreLastZone(i int) []Entry {
	now := w.Now().UnixMilli()
	return w.ofLastZone(i, func(e *Entry) Entry {
		e.Phase, e.UpSinceMS = phaseUp, now
		return *e
	})
}

func (w *World) ofLastZone(i int, as func(*Entry) Entry) []Entry {
	if i >= 0 {
		return []Entry{as(&w.current[w.lastZone[i]])}
	}
	all := make([]Entry, 0, len(w.lastZone))
	for _, index := range w.lastZone {
		all = append(all, as(&w.current[index]))
	}
	return all
}

// Request chooses a class, in proportion to uneven loads, and a tenant, in proportion to the quotas.
func (w *World) Request(rng *rand.Rand) (class, tenant string) {
	return serviceName(drawIndex(w.serviceLoads, rng)), tenantName(drawIndex(w.tenantLoads, rng))
}
