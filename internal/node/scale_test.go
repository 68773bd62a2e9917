package node

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// many is how many servers, and how many nodes, the operators may have at least.
const many = 1024

func manyMembers(n int) []discovery.Member {
	all := make([]discovery.Member, n)
	for i := range all {
		all[i] = discovery.Member{Addr: fmt.Sprintf("127.1.%d.%d:9000", i/256, i%256), Member: policy.Member{
			Server: fmt.Sprintf("s-%08x", i*2654435761%(1<<32)), Zone: string(rune('a' + i%3)), Kind: "k", Cell: int64(i / 8), Weight: 1}}
	}
	return all
}

// What many servers and tenants leave to a successor is written and read whole.
func TestManyServersAreHandedOver(t *testing.T) {
	l := manyLoop(t, many)
	l.handleList(t.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: manyMembers(many), Revision: 5}})
	for i := range many {
		l.module.Handle(l.clock.now(), policy.Request{ID: fmt.Sprint("r", i), Class: "read", Tenant: fmt.Sprint("tenant ", i), ExpiresIn: time.Second})
	}
	h, err := join(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer h.leave()
	now := time.Now()
	left := snapshot{Saved: now, Revision: l.listRevision, Members: slices.Collect(maps.Values(l.members)),
		Policy: l.module.(*policy.Balancer).Snapshot(l.clock.now())}
	if err := h.writeSnapshot(left); err != nil {
		t.Fatal(err)
	}
	got, err := h.readSnapshot(h.id, now)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Members) != many || len(got.Policy.Servers) != many || len(got.Policy.Buckets) < many {
		t.Errorf("%d members, %d servers and %d buckets are handed over, want %d of each", len(got.Members),
			len(got.Policy.Servers), len(got.Policy.Buckets), many)
	}
}

// A server in the place of another, at its address, and all of them at once.
func TestManyServersChangePlaces(t *testing.T) {
	l := manyLoop(t, many)
	old, next := manyMembers(many), manyMembers(2 * many)[many:]
	for i := range next {
		next[i].Addr, next[i].UpSince = old[many-1-i].Addr, 1
	}
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListReplace, Members: old})
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: next})
	for _, m := range old {
		if l.upstream.pools[m.Server] != nil {
			t.Fatalf("%s is still at an address that another has", m.Server)
		}
	}
	for _, m := range next {
		if p := l.upstream.pools[m.Server]; p == nil || p.addr != m.Addr {
			t.Fatalf("%s is not at %s", m.Server, m.Addr)
		}
	}
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: old}) // late, of those that started before
	if len(l.upstream.pools) != many || len(l.upstream.serverByAddr) != many {
		t.Errorf("%d pools at %d addresses, want %d", len(l.upstream.pools), len(l.upstream.serverByAddr), many)
	}
}

// Sweeps and evictions go through the pools that have idle connections, however many servers there are, and through
// all of these.
func TestOnlyPoolsThatRestAreLookedAt(t *testing.T) {
	l := manyLoop(t, many)
	u, list, rng := l.upstream, manyMembers(many), rand.New(rand.NewPCG(1, 2))
	u.applyNewestList(discovery.Update{Kind: policy.ListReplace, Members: list})
	u.maxOpen = 40
	evicted, swept := 0, 0
	for i := range 5000 {
		id := list[rng.IntN(len(list))].Server
		switch p := u.pools[id]; rng.IntN(20) {
		case 0:
			u.closeIdle(id)
		case 1: // its process is another from now on
			for j := range list {
				if list[j].Server == id {
					list[j].UpSince++
					u.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: list[j : j+1]})
				}
			}
		case 2:
			if i%10 == 0 {
				before := u.openConns
				u.sweep(time.Now())
				swept += before - u.openConns
			}
		case 3:
			_, _, _, _ = u.reserveConn(id)
			u.openConns = 0 // as if what it reserved had ended
			for _, p := range u.pools {
				u.openConns += len(p.idle)
			}
		default:
			if u.openConns >= u.maxOpen {
				oldest := time.Now()
				for _, p := range u.pools {
					for _, c := range p.idle {
						if c.lastUsed.Before(oldest) {
							oldest = c.lastUsed
						}
					}
				}
				before := u.openConns
				if !u.evict() || u.openConns != before-1 {
					t.Fatal("nothing was evicted")
				}
				for _, p := range u.idlePools {
					if !p.idle[0].lastUsed.After(oldest) {
						t.Fatal("another one than the oldest was evicted")
					}
				}
				evicted++
			}
			u.addOpen(1)
			u.release(&serverConn{TCPConn: new(net.TCPConn), pool: p}, id, true)
		}
		resting := 0
		for _, p := range u.pools {
			if len(p.idle) > 0 {
				resting++
				if p.heapPosition == 0 || u.idlePools[p.heapPosition-1] != p {
					t.Fatalf("step %d: a pool that rests is not looked at", i)
				}
			}
		}
		if len(u.idlePools) != resting {
			t.Fatalf("step %d: %d pools are looked at, %d rest", i, len(u.idlePools), resting)
		}
	}
	if evicted < 100 || swept < 100 {
		t.Errorf("%d were evicted and %d swept", evicted, swept)
	}
}

func BenchmarkSweep(b *testing.B) {
	l := manyLoop(b, 2500)
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListReplace, Members: manyMembers(39_000)})
	for b.Loop() {
		l.upstream.sweep(time.Now())
	}
}

func BenchmarkLists(b *testing.B) {
	for _, n := range []int{many / 4, many} {
		b.Run(fmt.Sprint("replace ", n), func(b *testing.B) {
			l := manyLoop(b, n)
			lists := [2]discovery.Update{{Kind: policy.ListReplace, Members: manyMembers(n)}, {Kind: policy.ListReplace, Members: manyMembers(2 * n)[n:]}}
			for i := 0; b.Loop(); i++ {
				l.handleList(b.Context(), receivedUpdate{Update: lists[i%2]})
			}
		})
		b.Run(fmt.Sprint("one drains ", n), func(b *testing.B) {
			l := manyLoop(b, n)
			l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: manyMembers(n)}})
			for i := 0; b.Loop(); i++ {
				m := manyMembers(1)
				m[0].Availability = policy.Availability(i % 2)
				l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListUpdate, Members: m}})
			}
		})
		b.Run(fmt.Sprint("word to a successor ", n), func(b *testing.B) {
			l := manyLoop(b, n)
			l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: manyMembers(n)}})
			for b.Loop() {
				left := snapshot{Members: manyMembers(n), Policy: l.module.(*policy.Balancer).Snapshot(l.clock.now())}
				raw, err := encodeSnapshot(left)
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(raw)))
			}
		})
		b.Run(fmt.Sprint("request ", n), func(b *testing.B) {
			l := manyLoop(b, n)
			l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: manyMembers(n)}})
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("r", i)
				now := l.clock.now()
				for _, a := range l.module.Handle(now, policy.Request{ID: id, Class: "read", Tenant: "t", ExpiresIn: time.Second}) {
					if a.Kind == policy.Send {
						l.module.Handle(now, policy.Outcome{ID: id, Server: a.Server, Code: policy.OK, Latency: time.Millisecond})
					}
				}
			}
		})
	}
}

func manyLoop(tb testing.TB, nodes int) *loop {
	tb.Helper()
	c, err := ParseConfig([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f",
		"limits":{"cores":1,"memory_mb":32,"sockets":256},"known":{"revision":1,"members":[]},"settings":%s}`, testSettings)))
	if err != nil {
		tb.Fatal(err)
	}
	c.Settings.Node, c.Settings.Nodes = nodes-1, nodes
	l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 100))
	if err != nil {
		tb.Fatal(err)
	}
	return l
}
