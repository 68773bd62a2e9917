package scale

import (
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/wire"
)

var worldStep = Step{Nodes: 7, Services: 5, Transcribers: 43, Tenants: 200, Zones: 3}

func smallWorld(seed uint64) *World {
	w := NewWorld(worldStep, seed, 9000)
	w.Now = func() time.Time { return time.UnixMilli(12345) }
	return w
}

func TestAWorldIsMadeOfItsStepAndSeedAlone(t *testing.T) {
	a, b, other := smallWorld(3), smallWorld(3), smallWorld(4)
	if !reflect.DeepEqual(a.Members(), b.Members()) {
		t.Error("members differ")
	}
	if reflect.DeepEqual(a.Members(), other.Members()) {
		t.Error("the seed changes nothing")
	}
	ra, rb := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
	for range 50 {
		if x, y := a.NextChange(ra), b.NextChange(rb); !reflect.DeepEqual(x, y) {
			t.Fatalf("changes differ: %v and %v", x, y)
		}
		ca, ta := a.Request(ra)
		if cb, tb := b.Request(rb); ca != cb || ta != tb {
			t.Fatal("requests differ")
		}
	}
	ja, err := a.Config(2, "127.0.0.1:1", "127.0.0.1:2", 192)
	if err != nil {
		t.Fatal(err)
	}
	if jb, _ := b.Config(2, "127.0.0.1:1", "127.0.0.1:2", 192); !bytes.Equal(ja, jb) {
		t.Error("configurations differ")
	}
}

func TestEachTranscriberHasItsIdAddressAndServicesKind(t *testing.T) {
	w := smallWorld(1)
	ids, addrs, kinds, zones := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range w.Members() {
		ids[e.ID]++
		addrs[e.HostPort]++
		kinds[e.Flavor]++
		zones[e.Locality]++
	}
	if len(ids) != 43 || len(addrs) != 43 || len(kinds) != 5 || len(zones) != 3 {
		t.Fatalf("ids %d, addresses %d, kinds %d, zones %d", len(ids), len(addrs), len(kinds), len(zones))
	}
	if first := w.Members()[0].HostPort; first != "127.64.0.1:9000" {
		t.Errorf("the first address is %s", first)
	}
}

func TestANodeTakesItsConfiguration(t *testing.T) {
	w := smallWorld(1)
	raw, err := w.Config(4, "127.0.0.1:7001", "127.0.0.1:7002", 192)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := node.LoadConfig(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return file
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n4" || c.Listen != "127.0.0.1:7001" || c.Discovery != "127.0.0.1:7002" || c.MemoryMB != 192 ||
		c.Sockets != 1024 || c.Known.Revision != 1 || !c.Known.Complete || len(c.Known.Members) != 43 {
		t.Errorf("got %+v", c)
	}
	s := c.Settings
	if s.Node != 4 || s.Nodes != 7 || s.Zone != "z02" || !s.Subscribe || len(s.Classes) != 5 || len(s.Tenants) != 200 ||
		s.Allowed.MaxAttempts != 2 || s.Allowed.ConnIdle != transcriberIdle || s.Rules.DrainGrace != 2*time.Second {
		t.Errorf("got node %d of %d in %s, %+v, %+v", s.Node, s.Nodes, s.Zone, s.Allowed, s.Rules)
	}
	kinds := map[string]bool{}
	for _, e := range w.Members() {
		kinds[e.Flavor] = true
	}
	for _, class := range s.Classes {
		if len(class.Kinds) != 1 || !kinds[class.Kinds[0]] {
			t.Errorf("%s is served on %v", class.Name, class.Kinds)
		}
	}
	sum, most := 0.0, 0.0
	for _, tenant := range s.Tenants {
		if tenant.Quota <= 0 {
			t.Errorf("tenant %s has the quota %v", tenant.Name, tenant.Quota)
		}
		sum += tenant.Quota
		most = max(most, tenant.Quota)
	}
	if mean := sum / 200; math.Abs(mean-1.4) > 0.001 || most < 3*mean {
		t.Errorf("quotas: mean %v, largest %v", mean, most)
	}
	alone, err := w.Settings(4)
	if err != nil || !bytes.Contains(raw, alone) {
		t.Errorf("the settings alone are others: %v", err)
	}
	for _, bad := range []int{-1, 7} {
		if _, err := w.Settings(bad); err == nil || !strings.HasPrefix(err.Error(), "node: want 0 to 6") {
			t.Errorf("node %d: %v", bad, err)
		}
	}
}

func TestNodesAreDealtOutEvenlyOverZones(t *testing.T) {
	w := smallWorld(1)
	count := map[string]int{}
	for i := range worldStep.Nodes {
		raw, err := w.Settings(i)
		if err != nil {
			t.Fatal(err)
		}
		s, _, err := wire.DecodeSettings(json.NewDecoder(bytes.NewReader(raw)))
		if err != nil {
			t.Fatal(err)
		}
		count[s.Zone]++
	}
	if count["z01"] != 3 || count["z02"] != 2 || count["z03"] != 2 {
		t.Errorf("got %v", count)
	}
}

func TestChangesDrainBringBackAndReplaceByTurns(t *testing.T) {
	w := smallWorld(1)
	rng := rand.New(rand.NewPCG(1, 1))
	list := map[string]Entry{}
	for _, e := range w.Members() {
		list[e.ID] = e
	}
	start := append([]Entry(nil), w.Members()...)
	for range 200 {
		drained := w.NextChange(rng)
		if len(drained) != 1 || drained[0].Phase != "draining" || list[drained[0].ID].Phase != "up" {
			t.Fatalf("want a drain, got %v", drained)
		}
		back := w.NextChange(rng)
		want := drained[0]
		want.Phase, want.UpSinceMS = "up", 12345
		if len(back) != 1 || back[0] != want {
			t.Fatalf("want %v, got %v", want, back)
		}
		list[want.ID] = want
		swap := w.NextChange(rng)
		if len(swap) != 2 || swap[0].Phase != "removed" || list[swap[0].ID].Phase != "up" {
			t.Fatalf("want a replacement, got %v", swap)
		}
		next := swap[1]
		if _, known := list[next.ID]; known {
			t.Fatalf("the id %s is not new", next.ID)
		}
		same := list[swap[0].ID]
		same.ID, same.UpSinceMS = next.ID, 12345
		if next != same {
			t.Fatalf("want %v, got %v", same, next)
		}
		delete(list, swap[0].ID)
		list[next.ID] = next
	}
	if len(list) != 43 || !reflect.DeepEqual(start, w.Members()) {
		t.Error("the list at the start has changed")
	}
}

func TestRequestsFollowTheQuotas(t *testing.T) {
	w := smallWorld(1)
	rng := rand.New(rand.NewPCG(1, 1))
	const draws = 20_000
	largest, quota := "", 0.0
	for i, before := 0, 0.0; i < len(w.tenantLoads); i++ {
		if q := w.tenantLoads[i] - before; q > quota {
			largest, quota = tenantName(i), q
		}
		before = w.tenantLoads[i]
	}
	hits, classes := 0, map[string]int{}
	for range draws {
		class, tenant := w.Request(rng)
		classes[class]++
		if tenant == largest {
			hits++
		}
	}
	want := draws * quota / (1.4 * 200)
	if math.Abs(float64(hits)-want) > 5*math.Sqrt(want) || len(classes) != 5 {
		t.Errorf("the largest tenant: want about %.0f, got %d; classes %v", want, hits, classes)
	}
}

func TestAWorldOfTheTargetsSizeHasGoodSettingsAndDistinctTranscribers(t *testing.T) {
	w := NewWorld(Step{Nodes: 2500, Services: 1300, Transcribers: 39_000, Tenants: 130_000, Zones: 18}, 1, 20_000)
	raw, err := w.Settings(2499)
	if err != nil || !json.Valid(raw) {
		t.Fatalf("settings of %d bytes: %v", len(raw), err)
	}
	seen := map[string]bool{}
	for _, e := range w.Members() {
		seen[e.ID], seen[e.HostPort] = true, true
	}
	if len(seen) != 78_000 {
		t.Errorf("%d ids and addresses", len(seen))
	}
}

func BenchmarkWorldOfTheTargetsSize(b *testing.B) {
	for b.Loop() {
		w := NewWorld(Step{Nodes: 2500, Services: 1300, Transcribers: 39_000, Tenants: 130_000, Zones: 18}, 1, 20_000)
		raw, err := w.Config(0, "127.0.0.1:1", "127.0.0.1:2", 192)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(raw)))
	}
}

// A lost zone's entries go one by one or together, all of them, and come back as started anew.
func TestLastZoneGoesAndComesBack(t *testing.T) {
	s := Step{Nodes: 6, Services: 7, Transcribers: 40, Tenants: 5, Zones: 3}
	for _, together := range []bool{true, false} {
		w := NewWorld(s, 1, 9000)
		w.Now = func() time.Time { return time.UnixMilli(1234) }
		collect := func(step func(int) []Entry) (all []Entry) {
			if together {
				return step(-1)
			}
			for i := range w.lastZoneSize() {
				one := step(i)
				if len(one) != 1 {
					t.Fatalf("entry %d: %d entries", i, len(one))
				}
				all = append(all, one...)
			}
			return all
		}
		want := make(map[string]bool)
		for _, e := range w.Members() {
			if e.Locality == "z03" {
				want[e.ID] = true
			}
		}
		for phase, step := range map[string]func(int) []Entry{phaseRemoved: w.loseLastZone, phaseUp: w.restoreLastZone} {
			got := collect(step)
			if len(got) != len(want) || len(want) == 0 {
				t.Errorf("%s: %d entries, want %d", phase, len(got), len(want))
			}
			for _, e := range got {
				if !want[e.ID] || e.Phase != phase || phase == phaseUp && e.UpSinceMS != 1234 {
					t.Errorf("%s: %+v", phase, e)
				}
			}
		}
	}
}
