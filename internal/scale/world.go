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

// Values in the settings and configuration of a world's nodes.
const (
	tenantMeanRate         = 1.4  // requests per second
	nodeSocketLimit        = 1024 // DEPLOY: the maximum on scored days
	transcriberIdleTimeout = 10 * time.Second
	cellsPerZone           = 4
)

// fixedSettings ends every settings object. Its units are those of the simulator's first message; connIdle equals
// transcriberIdleTimeout.
const fixedSettings = `"registryMode":"subscribe",` +
	`"limits":{"maxAttempts":2,"retryAfter":true,"cancelling":true,"connIdle":10000,"maxRetryAfter":30000},` +
	`"guarantees":{"graceToAnswer":50,"drainGrace":2000,"cold":10000,"coldShare":0.2,"fallMultiple":2,` +
	`"overloadFor":1000,"mustAskIn":10000}}`

// firstTranscriberAddress is the first of the transcribers' loopback addresses, one each, in 127.64.0.0/10.
var firstTranscriberAddress = netip.AddrFrom4([4]byte{127, 64, 0, 1})

// Entry is one transcriber in the discovery list (PROTOCOL, Discovery). UpSinceMS is a Unix time in
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

// Phases of an entry (PROTOCOL, Discovery). Removed entries appear only in deltas.
const (
	phaseUp       = "up"
	phaseDraining = "draining"
	phaseRemoved  = "removed"
)

// World generates what the nodes of a step are configured with: transcribers, services and tenants. It is
// deterministic for a given step, seed and port. All methods are safe for concurrent use, except NextChange,
// removeLastZone and restoreLastZone.
type World struct {
	Step Step
	Seed uint64
	Now  func() time.Time // sets up_since_ms of changed entries, the only value that the seed doesn't determine

	initial                []Entry
	cumulativeServiceLoads []float64 // running sums of relative loads
	cumulativeTenantRates  []float64 // running sums of requests per second
	sharedSettings         func() []byte
	initialListJSON        func() ([]byte, error)

	lastZone []int // indexes into current of the last zone's entries; positions and zones never change

	// The state of NextChange.
	current     []Entry
	lastChanged int    // index into current of the entry changed last
	idsIssued   uint32 // ids generated so far
	changeStep  int    // position in the cycle of NextChange: 0 to 2
}

// NewWorld returns the world of a step that LoadPlan has validated. All its transcribers listen on the same port.
func NewWorld(s Step, seed uint64, port int) *World {
	w := &World{Step: s, Seed: seed, Now: time.Now}
	rng := rand.New(rand.NewPCG(seed, 1))
	loads := make([]float64, s.Services)
	for i := range loads {
		loads[i] = math.Exp(rng.NormFloat64() / 2) // log-normal: most services within a factor of three of the mean
	}
	w.cumulativeServiceLoads = cumulativeSums(loads)
	quotas := make([]float64, s.Tenants)
	for i := range quotas {
		quotas[i] = math.Min(math.Pow(1-rng.Float64(), -1/1.5), 1000) // Pareto with index 1.5, at most 1000 times the smallest
	}
	w.cumulativeTenantRates = cumulativeSums(quotas)
	factor := tenantMeanRate * float64(s.Tenants) / w.cumulativeTenantRates[s.Tenants-1]
	for i := range w.cumulativeTenantRates {
		w.cumulativeTenantRates[i] *= factor
	}
	w.initial = w.generateTranscribers(loads, rng, port)
	w.current = slices.Clone(w.initial)
	lastZone := zoneName(s.Zones - 1)
	for i, e := range w.initial {
		if e.Locality == lastZone {
			w.lastZone = append(w.lastZone, i)
		}
	}
	w.sharedSettings = sync.OnceValue(w.encodeSharedSettings)
	w.initialListJSON = sync.OnceValues(func() ([]byte, error) {
		return json.Marshal(memberList{Revision: 1, Complete: true, Members: w.initial})
	})
	return w
}

// memberList is a discovery response: the full list if Complete, otherwise a delta.
type memberList struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

// generateTranscribers assigns one transcriber to each service, and the rest in proportion to the services' loads.
func (w *World) generateTranscribers(loads []float64, rng *rand.Rand, port int) []Entry {
	s := w.Step
	counts := make([]int, s.Services)
	remaining := s.Transcribers
	for i, load := range loads {
		counts[i] = 1 + int(float64(s.Transcribers-s.Services)*load/w.cumulativeServiceLoads[s.Services-1])
		remaining -= counts[i]
	}
	entries := make([]Entry, 0, s.Transcribers)
	addr := firstTranscriberAddress
	for i := range counts {
		if i < remaining { // left over by rounding down
			counts[i]++
		}
		for j := range counts[i] {
			zone := (i + j) % s.Zones
			entries = append(entries, Entry{ID: w.newID(), HostPort: netip.AddrPortFrom(addr, uint16(port)).String(),
				Locality: zoneName(zone), Flavor: kindName(i), Cell: int64(zone*cellsPerZone + rng.IntN(cellsPerZone)),
				Phase: phaseUp, Size: 1})
			addr = addr.Next()
		}
	}
	return entries
}

// newID returns a new id. Ids repeat only after 2^32 calls, because the multiplier is odd. It scatters them, so that
// their order is unrelated to the services.
func (w *World) newID() string {
	id := fmt.Sprintf("s-%08x", w.idsIssued*2654435761^uint32(w.Seed))
	w.idsIssued++
	return id
}

func zoneName(i int) string    { return fmt.Sprintf("z%02d", i+1) }
func kindName(i int) string    { return fmt.Sprintf("k-%04d", i+1) }
func serviceName(i int) string { return fmt.Sprintf("svc-%04d", i+1) }
func tenantName(i int) string  { return fmt.Sprintf("t-%06d", i+1) }

// cumulativeSums returns the running totals of the weights.
func cumulativeSums(weights []float64) []float64 {
	sums, sum := make([]float64, len(weights)), 0.0
	for i, weight := range weights {
		sum += weight
		sums[i] = sum
	}
	return sums
}

// drawIndex draws a random index, weighted by the values whose cumulative sums are given.
func drawIndex(sums []float64, rng *rand.Rand) int {
	target := rng.Float64() * sums[len(sums)-1]
	return min(sort.Search(len(sums), func(i int) bool { return sums[i] > target }), len(sums)-1)
}

// Members returns the initial list, which is revision 1. Callers must not modify it.
func (w *World) Members() []Entry { return w.initial }

// Settings returns the settings object (PROTOCOL) as JSON for a node. Nodes are numbered from 0.
func (w *World) Settings(node int) ([]byte, error) {
	if node < 0 || node >= w.Step.Nodes {
		return nil, fmt.Errorf("node: want 0 to %d, got %d", w.Step.Nodes-1, node)
	}
	shared := w.sharedSettings()
	buf := make([]byte, 0, len(shared)+128)
	return append(w.appendNodeSettings(buf, node), shared...), nil
}

// appendNodeSettings appends the opening part of the settings object, which differs between nodes.
func (w *World) appendNodeSettings(buf []byte, node int) []byte {
	return fmt.Appendf(buf, `{"position":%d,"groupSize":%d,"zone":%q,`, node, w.Step.Nodes,
		zoneName(node%w.Step.Zones))
}

// encodeSharedSettings encodes the rest of the settings object, which is the same for all nodes.
func (w *World) encodeSharedSettings() []byte {
	buf := make([]byte, 0, 160*w.Step.Services+48*w.Step.Tenants+1024)
	buf = append(buf, `"services":[`...)
	for i := range w.Step.Services {
		buf = fmt.Appendf(buf, `{"name":%q,"aim":250,"deadline":1000,"repeat":"free","lateWorth":0.5,"value":1,"servedOn":[%q]},`,
			serviceName(i), kindName(i))
	}
	buf = append(buf[:len(buf)-1], `],"tenants":[`...)
	previous := 0.0
	for i, sum := range w.cumulativeTenantRates {
		buf = append(append(buf, `{"name":"`...), tenantName(i)...)
		buf = strconv.AppendFloat(append(buf, `","quotaRps":`...), sum-previous, 'f', 6, 64)
		buf = append(buf, `},`...)
		previous = sum
	}
	return append(append(buf[:len(buf)-1], `],`...), fixedSettings...)
}

// Config returns the complete configuration file of a node (DEPLOY, What a node is told).
func (w *World) Config(node int, listen, discovery string, memoryMB int) ([]byte, error) {
	if node < 0 || node >= w.Step.Nodes {
		return nil, fmt.Errorf("node: want 0 to %d, got %d", w.Step.Nodes-1, node)
	}
	known, err := w.initialListJSON()
	if err != nil {
		return nil, err
	}
	shared := w.sharedSettings()
	buf := make([]byte, 0, len(known)+len(shared)+1024)
	buf = fmt.Appendf(buf, `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%016x",`+
		`"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":`, node, listen, discovery,
		rand.NewPCG(w.Seed, uint64(node)).Uint64(), memoryMB, nodeSocketLimit)
	buf = append(append(buf, known...), `,"settings":`...)
	buf = append(w.appendNodeSettings(buf, node), shared...)
	return append(buf, '}'), nil
}

// NextChange changes the current list and returns the changed entries. It cycles through three changes: a transcriber
// drains; the same one is up again; one is replaced, which removes its entry and adds one with a new id at the same
// address. It is not safe for concurrent use.
func (w *World) NextChange(rng *rand.Rand) []Entry {
	step := w.changeStep
	w.changeStep = (step + 1) % 3
	if step != 1 {
		w.lastChanged = rng.IntN(len(w.current))
	}
	e := &w.current[w.lastChanged]
	if step == 0 {
		e.Phase = phaseDraining
		return []Entry{*e}
	}
	old := *e
	e.Phase, e.UpSinceMS = phaseUp, w.Now().UnixMilli()
	if step == 1 {
		return []Entry{*e}
	}
	old.Phase = phaseRemoved
	e.ID = w.newID()
	return []Entry{old, *e}
}

func (w *World) lastZoneSize() int { return len(w.lastZone) }

// removeLastZone returns the last zone's i-th entry as removed, or all of its entries for -1. It and restoreLastZone
// must not run concurrently with NextChange. NextChange calls between the two may bring single entries back.
func (w *World) removeLastZone(i int) []Entry {
	return w.updateLastZone(i, func(e *Entry) Entry {
		removed := *e
		removed.Phase = phaseRemoved
		return removed
	})
}

// restoreLastZone returns the last zone's i-th entry, or all for -1, as up and just restarted.
func (w *World) restoreLastZone(i int) []Entry {
	now := w.Now().UnixMilli()
	return w.updateLastZone(i, func(e *Entry) Entry {
		e.Phase, e.UpSinceMS = phaseUp, now
		return *e
	})
}

// updateLastZone applies update to the last zone's i-th current entry, or to all for -1, and returns the results.
func (w *World) updateLastZone(i int, update func(*Entry) Entry) []Entry {
	if i >= 0 {
		return []Entry{update(&w.current[w.lastZone[i]])}
	}
	entries := make([]Entry, 0, len(w.lastZone))
	for _, index := range w.lastZone {
		entries = append(entries, update(&w.current[index]))
	}
	return entries
}

// DrawRequest draws a class, weighted by the services' uneven loads, and a tenant, weighted by the quotas.
func (w *World) DrawRequest(rng *rand.Rand) (class, tenant string) {
	return serviceName(drawIndex(w.cumulativeServiceLoads, rng)), tenantName(drawIndex(w.cumulativeTenantRates, rng))
}
