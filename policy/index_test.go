package policy

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// order is all servers in service in packing order.
func (b *Balancer) order() []*server { return slices.Collect(b.walk(&b.fleet)) }

// checkIndexes holds the indexes against plain walks of all servers. It says what it met.
func checkIndexes(t *testing.T, b *Balancer, met map[string]int) {
	t.Helper()
	var own, others []*server
	zones := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		if s.in != (s.Availability == Running) {
			t.Errorf("%s is in service: %v, but %v", id, s.in, s.Availability)
		}
		if s.Availability != Running {
			continue
		}
		if zones[s.Zone]++; s.Zone == b.set.Zone {
			own = append(own, s)
		} else {
			others = append(others, s)
		}
	}
	known := map[string]*server{}
	for _, s := range b.roll {
		if !s.gone {
			known[s.Server] = s
		}
	}
	if !maps.Equal(known, b.servers) || len(b.roll) > 2*len(b.servers)+65 {
		t.Errorf("%d on the roll, %d of them listed, want %d", len(b.roll), len(known), len(b.servers))
	}
	if !maps.Equal(zones, b.zones) {
		t.Errorf("servers by zone %v, want %v", b.zones, zones)
	}
	if b.set.Nodes > manyNodes { // each node begins elsewhere
		_, at := math.Modf(float64(b.set.Node) / math.Phi)
		for _, part := range []*[]*server{&own, &others} {
			k := int(at * float64(len(*part)))
			*part = slices.Concat((*part)[k:], (*part)[:k])
		}
	}
	order := slices.Concat(own, others)
	safest := make(map[*server]Repeat)
	for _, c := range append(b.ranked, &class{index: -1, open: &b.fleet}) {
		var open []*server
		zoned, ejected := 0, 0
		for i, s := range order {
			if !c.permits(s) {
				continue
			}
			open = append(open, s)
			if i < len(own) {
				zoned++
			}
			if s.health.out {
				ejected++
			}
			if c.index >= 0 {
				safest[s] = max(safest[s], c.Repeat)
			}
		}
		if got := slices.Collect(b.walk(c.open)); !slices.Equal(got, open) || c.open.len() != len(open) {
			t.Errorf("class %q: another order, of %d servers, want %d", c.Name, len(got), len(open))
		}
		if got := slices.Collect(b.walkOwn(c.open)); !slices.Equal(got, open[:zoned]) {
			t.Errorf("class %q: %d servers of the own zone, want %d", c.Name, len(got), zoned)
		}
		if c.open.ejected != ejected {
			t.Errorf("class %q: %d ejected, want %d", c.Name, c.open.ejected, ejected)
		}
		met["ejected"] += ejected
	}
	out, warm := 0, 0
	var parts []float64
	for _, s := range order {
		if s.group.safest != safest[s] {
			t.Errorf("%s: the safest class may be repeated %v, want %v", s.Server, s.group.safest, safest[s])
		}
		if b.ramp(s) >= 1 && !s.health.out {
			warm++
			out += s.inflight
			for _, g := range s.lateResponses {
				if g.until > b.now {
					out++
					met["lateResponses"]++
				}
			}
		}
		if s.lastDone > 0 {
			parts = append(parts, s.faults)
		}
	}
	if gotOut, got := b.crowd(); b.many() && (gotOut != out || got != warm) {
		t.Errorf("%d attempts at %d warm servers, want %d at %d", gotOut, got, out, warm)
	}
	met["cold"] += len(order) - warm
	switch m := b.median(); {
	case len(parts) == 0:
		if m != nil {
			t.Errorf("the median server is %s, but none answered", m.Server)
		}
	default:
		slices.Sort(parts)
		if want := parts[(len(parts)-1)/2]; m == nil || m.faults != want {
			t.Errorf("the median part of faults is not %v", want)
		} else if want > 0 {
			met["faults"]++
		}
	}
}

func TestIndexesAgreeWithPlainWalks(t *testing.T) {
	met := map[string]int{}
	for seed := range uint64(goldenWorlds) {
		g := newGolden(seed)
		g.check = func(g *golden) {
			if every := 1 + len(g.list)*len(g.set.Classes)/200; g.n%every == 0 {
				checkIndexes(t, g.b, met)
			}
			if t.Failed() {
				t.Fatalf("seed %d, after %d events", seed, g.n)
			}
		}
		g.play(200)
	}
	for _, what := range []string{"ejected", "lateResponses", "cold", "faults"} {
		if met[what] < 100 {
			t.Errorf("%s met only %d times", what, met[what])
		}
	}
	t.Log(met)
}

// A part keeps the order and the place that its walks begin at, as thousands come and go in any order.
func TestPartsKeepTheirOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := part{visits: new(int)}
	all := map[string]*server{}
	for i := range 20_000 {
		id := fmt.Sprint(rng.IntN(4000))
		if grow := i/5000%2 == 0; all[id] == nil && (grow || rng.IntN(4) == 0) {
			all[id] = &server{Member: Member{Server: id}}
			p.insert(all[id])
		} else if all[id] != nil && (!grow || rng.IntN(4) == 0) {
			p.remove(all[id])
			delete(all, id)
		}
		k := int(0.618 * float64(p.n))
		if p.turn(k); i%100 != 0 {
			continue
		}
		ids := slices.Sorted(maps.Keys(all))
		ids = slices.Concat(ids[k:], ids[:k])
		var got []string
		p.walk(p.first, func(s *server) bool { got = append(got, s.Server); return true })
		if !slices.Equal(got, ids) || p.n != len(ids) {
			t.Fatalf("after %d changes: %d servers in another order than %d wanted", i, len(got), len(ids))
		}
		for _, chunk := range p.chunks {
			if len(chunk) == 0 || len(chunk) > chunkMost {
				t.Fatalf("after %d changes: a chunk of %d", i, len(chunk))
			}
		}
	}
	if n := len(p.chunks); n < 3 {
		t.Errorf("only %d chunks", n)
	}
}
