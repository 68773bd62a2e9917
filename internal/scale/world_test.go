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

var testStep = Step{Nodes: 7, Services: 5, Transcribers: 43, Tenants: 200, Zones: 3}

func newTestWorld(seed uint64) *World {
	w := NewWorld(testStep, seed, 9000)
	w.Now = func() time.Time { return time.UnixMilli(12345) }
	return w
}

func TestWorldIsDeterministic(t *testing.T) {
	a, b, other := newTestWorld(3), newTestWorld(3), newTestWorld(4)
	if !reflect.DeepEqual(a.Members(), b.Members()) {
		t.Error("members differ")
	}
	if reflect.DeepEqual(a.Members(), other.Members()) {
		t.Error("different seeds give the same members")
	}
	ra, rb := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
	for range 50 {
		if x, y := a.NextChange(ra), b.NextChange(rb); !reflect.DeepEqual(x, y) {
			t.Fatalf("changes differ: %v and %v", x, y)
		}
		ca, ta := a.DrawRequest(ra)
		if cb, tb := b.DrawRequest(rb); ca != cb || ta != tb {
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

func TestWorldMembersHaveDistinctIDsAndAddresses(t *testing.T) {
	w := newTestWorld(1)
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

func TestNodeLoadsWorldConfig(t *testing.T) {
	w := newTestWorld(1)
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
		s.Allowed.MaxAttempts != 2 || s.Allowed.ConnIdle != transcriberIdleTimeout || s.Rules.DrainGrace != 2*time.Second {
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
	sum, largest := 0.0, 0.0
	for _, tenant := range s.Tenants {
		if tenant.Quota <= 0 {
			t.Errorf("tenant %s has the quota %v", tenant.Name, tenant.Quota)
		}
		sum += tenant.Quota
		largest = max(largest, tenant.Quota)
	}
	if mean := sum / 200; math.Abs(mean-1.4) > 0.001 || largest < 3*mean {
		t.Errorf("quotas: mean %v, largest %v", mean, largest)
	}
	settings, err := w.Settings(4)
	if err != nil || !bytes.Contains(raw, settings) {
		t.Errorf("Settings differs from the settings in Config: %v", err)
	}
	for _, bad := range []int{-1, 7} {
		if _, err := w.Settings(bad); err == nil || !strings.HasPrefix(err.Error(), "node: want 0 to 6") {
			t.Errorf("node %d: %v", bad, err)
		}
	}
}

func TestNodesSpreadEvenlyOverZones(t *testing.T) {
	w := newTestWorld(1)
	count := map[string]int{}
	for i := range testStep.Nodes {
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

func TestNextChangeDrainsRestoresAndReplaces(t *testing.T) {
	w := newTestWorld(1)
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
		restored := w.NextChange(rng)
		want := drained[0]
		want.Phase, want.UpSinceMS = "up", 12345
		if len(restored) != 1 || restored[0] != want {
			t.Fatalf("want %v, got %v", want, restored)
		}
		list[want.ID] = want
		replaced := w.NextChange(rng)
		if len(replaced) != 2 || replaced[0].Phase != "removed" || list[replaced[0].ID].Phase != "up" {
			t.Fatalf("want a replacement, got %v", replaced)
		}
		added := replaced[1]
		if _, known := list[added.ID]; known {
			t.Fatalf("the id %s is not new", added.ID)
		}
		wantAdded := list[replaced[0].ID]
		wantAdded.ID, wantAdded.UpSinceMS = added.ID, 12345
		if added != wantAdded {
			t.Fatalf("want %v, got %v", wantAdded, added)
		}
		delete(list, replaced[0].ID)
		list[added.ID] = added
	}
	if len(list) != 43 || !reflect.DeepEqual(start, w.Members()) {
		t.Error("NextChange modified the initial list or the number of members")
	}
}

func TestDrawRequestFollowsQuotas(t *testing.T) {
	w := newTestWorld(1)
	rng := rand.New(rand.NewPCG(1, 1))
	const draws = 20_000
	largest, quota := "", 0.0
	for i, previous := 0, 0.0; i < len(w.cumulativeTenantRates); i++ {
		if q := w.cumulativeTenantRates[i] - previous; q > quota {
			largest, quota = tenantName(i), q
		}
		previous = w.cumulativeTenantRates[i]
	}
	hits, classes := 0, map[string]int{}
	for range draws {
		class, tenant := w.DrawRequest(rng)
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

func TestWorldAtTargetSize(t *testing.T) {
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
		t.Errorf("%d distinct ids and addresses, want 78000", len(seen))
	}
}

func BenchmarkWorldAtTargetSize(b *testing.B) {
	for b.Loop() {
		w := NewWorld(Step{Nodes: 2500, Services: 1300, Transcribers: 39_000, Tenants: 130_000, Zones: 18}, 1, 20_000)
		raw, err := w.Config(0, "127.0.0.1:1", "127.0.0.1:2", 192)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(raw)))
	}
}

// The last zone's entries can be removed and restored one by one or together. Restored ones have a new start time.
func TestLastZoneRemovedAndRestored(t *testing.T) {
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
		for phase, step := range map[string]func(int) []Entry{phaseRemoved: w.removeLastZone, phaseUp: w.restoreLastZone} {
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
