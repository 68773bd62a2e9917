package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldFleet is many instances in front of the same servers, one of which is cold, on one clock.
type coldFleet struct {
	set      Settings
	rng      *rand.Rand
	nodes    []*Balancer
	now      time.Duration
	queue    fleetEvents
	sends    []time.Duration // to the cold server
	other    int             // to all others
	n        int
	reports  bool
	capacity float64 // requests a second of a warm server
	failing  bool    // the cold server fails all that it gets
}

type fleetEvent struct {
	at time.Duration
	do func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int           { return len(q) }
func (q fleetEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q fleetEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func (f *coldFleet) later(d time.Duration, do func()) { heap.Push(&f.queue, fleetEvent{f.now + d, do}) }

func (f *coldFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

const coldName = "s99"

// tell gives a process an event and plays what it wants done. A process that has been replaced is told no more.
func (f *coldFleet) tell(b *Balancer, ev Event) {
	for _, a := range append([]Action(nil), b.Handle(f.now, ev)...) {
		switch a.Kind {
		case SetTimer:
			f.later(a.Wait, func() { f.tell(b, Timer{Token: a.Token}) })
		case Send:
			if a.Server == coldName {
				f.sends = append(f.sends, f.now)
			} else {
				f.other++
			}
			n := len(b.requests[a.ID].attempts) - 1
			latency := 80*time.Millisecond + time.Duration(f.rng.IntN(40))*time.Millisecond
			f.later(latency, func() {
				o := Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: OK, Ended: true, Latency: latency}
				if f.reports {
					o.Report = []float64{0.7, 0.7 * f.capacity}
				}
				if a.Server == coldName && f.failing {
					o.Code, o.Ended = ServerError, false
				}
				f.tell(b, o)
			})
		}
	}
}

// allowed is what the settings allow a server that started at a time, over a window that ends now.
func (f *coldFleet) allowed(started, end time.Duration) float64 {
	set, sum := f.set.Rules, 0.0
	const steps = 20
	for i := range steps {
		age := end - set.OverloadFor + set.OverloadFor*time.Duration(i)/steps - started
		part := min(1, set.ColdShare+(1-set.ColdShare)*max(0, age.Seconds())/set.ColdFor.Seconds())
		sum += part / steps
	}
	return set.OverloadMultiple * sum * f.capacity * set.OverloadFor.Seconds()
}

// withChance is how many requests a cold server gets at most in a window in which the settings allow it n (terms).
func withChance(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// In each window that the settings name, all instances together send a cold server no more than N + 2 sqrt(N) + 2
// requests (of N under 30, N + 3 sqrt(N) + 3), N being what the settings allow it then: however many they are and however uneven their traffic, whether
// they learn of it at once or one after another, start anew with fresh budgets, run two processes each for a while, or
// try it out after it failed. And it is used all the same.
func TestColdServersUnderTheWholeFleet(t *testing.T) {
	for _, rate := range []float64{40, 6} { // requests a second that each server takes
		t.Run(fmt.Sprint(rate), func(t *testing.T) { testColdServers(t, rate) })
	}
}

func testColdServers(t *testing.T, rate float64) {
	const warm = 20 // servers beside the cold one
	lists := func(up Time) []Member {
		all := members(warm)
		return append(all, Member{Server: coldName, Zone: "a", Kind: all[0].Kind, OnlineSince: up, Weight: 1})
	}
	for _, nodes := range []int{1, 2, 20, 30, 300} {
		for _, uneven := range []bool{false, true} {
			for _, reports := range []bool{false, true} {
				for _, what := range []string{"", "one after another", "restarts", "two processes", "fails", "a lull"} {
					t.Run(fmt.Sprintf("%d nodes, uneven %v, reports %v, %s", nodes, uneven, reports, what), func(t *testing.T) {
						for seed := range uint64(1) {
							set := site(nodes)
							set.Rules.ColdShare, set.Rules.ColdFor = 0.13, 24*time.Second
							set.Rules.OverloadMultiple, set.Rules.OverloadFor = 2.5, 3*time.Second
							set.Report, set.Tenants = []string{"util", "qps"}, nil
							f := &coldFleet{set: set, rng: rand.New(rand.NewPCG(seed, uint64(nodes))), reports: reports,
								capacity: rate, failing: what == "fails", now: time.Minute}
							const started, ends = 63 * time.Second, 87 * time.Second // by then it is warm
							open := func(i int, list []Member) *Balancer {
								set := f.set
								set.Node = i
								b, err := New(set, f.now, f.rng.Uint64())
								if err != nil {
									t.Fatal(err)
								}
								f.tell(b, MemberList{Kind: ListRestored, Members: list})
								return b
							}
							old := lists(1)[:warm]
							weights, sum := make([]float64, nodes), 0.0
							for i := range nodes {
								f.nodes = append(f.nodes, open(i, old))
								if weights[i] = 1; uneven {
									weights[i] = 0.2 + 4*math.Pow(f.rng.Float64(), 4)
								}
								sum += weights[i]
							}
							// Poisson arrivals at each, seven tenths of what the servers take.
							for i := range nodes {
								mean := 0.7 * warm * rate * weights[i] / sum
								var arrive func()
								arrive = func() {
									f.n++
									lull := what == "a lull" && f.now > started && f.now < started+8*time.Second
									if !lull {
										f.tell(f.nodes[i], Request{ID: fmt.Sprint(f.n), Class: "free", Tenant: "t", ExpiresIn: time.Second})
									}
									f.later(time.Duration(f.rng.ExpFloat64()/mean*float64(time.Second)), arrive)
								}
								f.later(time.Duration(f.rng.ExpFloat64()/mean*float64(time.Second)), arrive)
								hear := started - f.now
								if what == "one after another" {
									hear += time.Duration(f.rng.Float64() * float64(6*time.Second))
								}
								f.later(hear, func() {
									f.tell(f.nodes[i], MemberList{Kind: ListUpdate, Members: lists(started)[warm:]})
								})
								switch what {
								case "restarts": // each node twice, and anew
									for _, after := range []time.Duration{2 * time.Second, 5 * time.Second} {
										f.later(hear+after+time.Duration(f.rng.Float64()*float64(time.Second)), func() {
											f.nodes[i] = open(i, lists(started))
										})
									}
								case "two processes":
									f.later(hear+2*time.Second, func() {
										before := f.nodes[i]
										f.tell(before, ProcessCount{N: 2})
										after, err := New(before.settings, f.now, f.rng.Uint64())
										if err != nil {
											t.Fatal(err)
										}
										after.Restore(f.now, before.Snapshot(f.now), 0)
										f.tell(after, ProcessCount{N: 2})
										f.tell(after, MemberList{Kind: ListRestored, Members: lists(started)})
										turn := 0 // clients come to both for a while
										f.nodes[i] = after
										var share func()
										share = func() {
											if turn++; turn > 100 {
												f.tell(after, ProcessCount{N: 1})
												f.nodes[i] = after
												return
											}
											f.nodes[i] = []*Balancer{before, after}[turn%2]
											f.later(40*time.Millisecond, share)
										}
										share()
									})
								}
							}
							f.run(ends)
							worst, worstAt, in := 0.0, time.Duration(0), 0
							for i, at := range f.sends {
								for f.sends[in] <= at-set.Rules.OverloadFor {
									in++
								}
								if over := float64(i-in+1) / withChance(f.allowed(started, at)); over > worst {
									worst, worstAt = over, at-started
								}
							}
							if worst > 1 {
								t.Errorf("seed %d: %.2f of what is allowed in the window that ends %v after the start", seed, worst, worstAt)
							}
							if least := 0.2 * rate * (ends - started).Seconds() * 0.3; what == "" && float64(len(f.sends)) < least {
								t.Errorf("seed %d: %d requests in all, it is hardly used", seed, len(f.sends))
							}
							t.Logf("seed %d: at most %.2f of what is allowed, %v after the start; %d to it, %d to others", seed, worst, worstAt, len(f.sends), f.other)
						}
					})
				}
			}
		}
	}
}

// The two processes of a node in an upgrade together send a cold server no more than one process would.
func TestTwoProcessesShareOnePartOfAColdServer(t *testing.T) {
	const up = time.Minute
	sent := func(processes int) (n int) {
		set := site(2)
		set.Rules.ColdFor = 24 * time.Second
		list := []Member{{Server: coldName, Zone: "a", OnlineSince: up, Weight: 1}}
		var all []*Balancer
		for range processes {
			b := start(t, set, nil)
			b.warmRates[""] = 50
			b.Handle(up, ProcessCount{N: processes})
			b.Handle(up, MemberList{Kind: ListReplace, Members: list})
			b.servers[coldName].cold.tokens = 0
			b.servers[coldName].threshold = 1000
			all = append(all, b)
		}
		for i := range 2000 { // a hundred a second, at each in turn
			now := up + time.Duration(i)*10*ms
			id := fmt.Sprint(i)
			for _, a := range of(all[i%processes].Handle(now, ask(id, "free")), Send) {
				n++
				all[i%processes].Handle(now, outcome(a.ID, 0, a.Server, OK, ms))
			}
		}
		return n
	}
	one, two := sent(1), sent(2)
	if one < 50 || float64(two) > 1.05*float64(one) || float64(two) < 0.9*float64(one) {
		t.Errorf("two processes send %d requests, one sends %d", two, one)
	}
}
