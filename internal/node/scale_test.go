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

// largeSiteSize is a number of servers, and of nodes, that must be supported.
const largeSiteSize = 1024

// generateMembers returns n servers with distinct ids and addresses, spread over zones and cells.
func generateMembers(n int) []discovery.Member {
	all := make([]discovery.Member, n)
	for i := range all {
		all[i] = discovery.Member{Addr: fmt.Sprintf("127.1.%d.%d:9000", i/256, i%256), Member: policy.Member{
			Server: fmt.Sprintf("s-%08x", i*2654435761%(1<<32)), Zone: string(rune('a' + i%3)), Kind: "k", Cell: int64(i / 8), Weight: 1}}
	}
	return all
}

// A snapshot with many servers and tenants is written and read completely.
func TestSnapshotOfManyServers(t *testing.T) {
	l := largeSiteLoop(t, largeSiteSize)
	l.handleList(t.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: generateMembers(largeSiteSize), Revision: 5}})
	for i := range largeSiteSize {
		l.module.Handle(l.clock.now(), policy.Request{ID: fmt.Sprint("r", i), Class: "read", Tenant: fmt.Sprint("tenant ", i), ExpiresIn: time.Second})
	}
	h, err := join(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer h.leave()
	now := time.Now()
	saved := snapshot{Saved: now, Revision: l.listRevision, Members: slices.Collect(maps.Values(l.members)),
		Policy: l.module.(*policy.Balancer).Snapshot(l.clock.now())}
	if err := h.writeSnapshot(saved); err != nil {
		t.Fatal(err)
	}
	got, err := h.readSnapshot(h.id, now)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Members) != largeSiteSize || len(got.Policy.Servers) != largeSiteSize || len(got.Policy.Buckets) < largeSiteSize {
		t.Errorf("the snapshot has %d members, %d servers and %d buckets, want %d of each", len(got.Members),
			len(got.Policy.Servers), len(got.Policy.Buckets), largeSiteSize)
	}
}

// All servers are replaced at once, each by a new one at the address of another.
func TestManyServersSwapAddresses(t *testing.T) {
	l := largeSiteLoop(t, largeSiteSize)
	old, next := generateMembers(largeSiteSize), generateMembers(2 * largeSiteSize)[largeSiteSize:]
	for i := range next {
		next[i].Addr, next[i].UpSince = old[largeSiteSize-1-i].Addr, 1
	}
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListReplace, Members: old})
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: next})
	for _, m := range old {
		if l.upstream.pools[m.Server] != nil {
			t.Fatalf("%s still has a pool at an address that now belongs to another server", m.Server)
		}
	}
	for _, m := range next {
		if p := l.upstream.pools[m.Server]; p == nil || p.addr != m.Addr {
			t.Fatalf("%s has no pool at %s", m.Server, m.Addr)
		}
	}
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListUpdate, Members: old}) // a late update about servers that started earlier
	if len(l.upstream.pools) != largeSiteSize || len(l.upstream.serverByAddr) != largeSiteSize {
		t.Errorf("%d pools at %d addresses, want %d", len(l.upstream.pools), len(l.upstream.serverByAddr), largeSiteSize)
	}
}

// Sweeps and evictions visit exactly the pools that have idle connections, however many servers there are.
func TestIdlePoolsMatchPools(t *testing.T) {
	l := largeSiteLoop(t, largeSiteSize)
	u, list, rng := l.upstream, generateMembers(largeSiteSize), rand.New(rand.NewPCG(1, 2))
	u.applyNewestList(discovery.Update{Kind: policy.ListReplace, Members: list})
	u.maxOpenConns = 40
	evicted, swept := 0, 0
	for i := range 5000 {
		id := list[rng.IntN(len(list))].Server
		switch p := u.pools[id]; rng.IntN(20) {
		case 0:
			u.closeIdle(id)
		case 1: // the server has restarted
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
			u.openConns = 0 // as if the reserved connections had been closed
			for _, p := range u.pools {
				u.openConns += len(p.idle)
			}
		default:
			if u.openConns >= u.maxOpenConns {
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
						t.Fatal("the evicted connection was not the oldest")
					}
				}
				evicted++
			}
			u.addOpen(1)
			u.release(&serverConn{TCPConn: new(net.TCPConn), pool: p}, id, true)
		}
		idlePools := 0
		for _, p := range u.pools {
			if len(p.idle) > 0 {
				idlePools++
				if p.heapPosition == 0 || u.idlePools[p.heapPosition-1] != p {
					t.Fatalf("step %d: a pool with idle connections is not in idlePools", i)
				}
			}
		}
		if len(u.idlePools) != idlePools {
			t.Fatalf("step %d: %d pools in idlePools, %d have idle connections", i, len(u.idlePools), idlePools)
		}
	}
	if evicted < 100 || swept < 100 {
		t.Errorf("%d connections were evicted and %d swept, want at least 100 of each", evicted, swept)
	}
}

func BenchmarkSweep(b *testing.B) {
	l := largeSiteLoop(b, 2500)
	l.upstream.applyNewestList(discovery.Update{Kind: policy.ListReplace, Members: generateMembers(39_000)})
	for b.Loop() {
		l.upstream.sweep(time.Now())
	}
}

func BenchmarkLists(b *testing.B) {
	for _, n := range []int{largeSiteSize / 4, largeSiteSize} {
		b.Run(fmt.Sprint("replace ", n), func(b *testing.B) {
			l := largeSiteLoop(b, n)
			lists := [2]discovery.Update{{Kind: policy.ListReplace, Members: generateMembers(n)}, {Kind: policy.ListReplace, Members: generateMembers(2 * n)[n:]}}
			for i := 0; b.Loop(); i++ {
				l.handleList(b.Context(), receivedUpdate{Update: lists[i%2]})
			}
		})
		b.Run(fmt.Sprint("drain ", n), func(b *testing.B) {
			l := largeSiteLoop(b, n)
			l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: generateMembers(n)}})
			for i := 0; b.Loop(); i++ {
				m := generateMembers(1)
				m[0].Availability = policy.Availability(i % 2)
				l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListUpdate, Members: m}})
			}
		})
		b.Run(fmt.Sprint("snapshot ", n), func(b *testing.B) {
			l := largeSiteLoop(b, n)
			l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: generateMembers(n)}})
			for b.Loop() {
				saved := snapshot{Members: generateMembers(n), Policy: l.module.(*policy.Balancer).Snapshot(l.clock.now())}
				raw, err := encodeSnapshot(saved)
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(raw)))
			}
		})
		b.Run(fmt.Sprint("request ", n), func(b *testing.B) {
			l := largeSiteLoop(b, n)
			l.handleList(b.Context(), receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: generateMembers(n)}})
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

// largeSiteLoop returns the loop of one node of a site with the given number of nodes. The loop isn't run.
func largeSiteLoop(tb testing.TB, nodes int) *loop {
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
