package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldServerSim simulates nodes that share servers, one of them cold.
type coldServerSim struct {
	settings      Settings
	rng           *rand.Rand
	nodes         []*Balancer
	now           time.Duration
	tasks         simTaskHeap
	coldSendTimes []time.Duration // times of the sends to the cold server
	warmSends     int             // number of sends to the warm servers
	requestCount  int
	loadReports   bool
	capacity      float64 // of a warm server of size 1, in requests a second
	sizes         map[string]float64
	coldFails     bool // the cold server fails all its requests
}

type simTask struct {
	dueAt time.Duration
	run   func()
}

type simTaskHeap []simTask

func (q simTaskHeap) Len() int           { return len(q) }
func (q simTaskHeap) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }
func (q simTaskHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simTaskHeap) Push(x any)        { *q = append(*q, x.(simTask)) }
func (q *simTaskHeap) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func (s *coldServerSim) schedule(delay time.Duration, do func()) {
	heap.Push(&s.tasks, simTask{s.now + delay, do})
}

// run runs the tasks that are due until the given time.
func (s *coldServerSim) run(until time.Duration) {
	for len(s.tasks) > 0 && s.tasks[0].dueAt <= until {
		next := heap.Pop(&s.tasks).(simTask)
		s.now = next.dueAt
		next.run()
	}
	s.now = until
}

const coldServerID = "s99"

// deliver passes an event to one process of a node and carries out the resulting actions. A replaced process gets
// no new requests, but still its outcomes and timers.
func (s *coldServerSim) deliver(b *Balancer, ev Event) {
	for _, a := range append([]Action(nil), b.Handle(s.now, ev)...) {
		switch a.Kind {
		case SetTimer:
			s.schedule(a.Wait, func() { s.deliver(b, Timer{Token: a.Token}) })
		case Send:
			if a.Server == coldServerID {
				s.coldSendTimes = append(s.coldSendTimes, s.now)
			} else {
				s.warmSends++
			}
			attemptIndex := len(b.requests[a.ID].attempts) - 1
			latency := 80*time.Millisecond + time.Duration(s.rng.IntN(40))*time.Millisecond
			s.schedule(latency, func() {
				result := Outcome{ID: a.ID, Server: a.Server, Attempt: attemptIndex, Code: OK, Ended: true, Latency: latency}
				if s.loadReports {
					result.Report = []float64{0.7, 0.7 * s.capacity * s.sizes[a.Server]}
				}
				if a.Server == coldServerID && s.coldFails {
					result.Code, result.Ended = ServerError, false
				}
				s.deliver(b, result)
			})
		}
	}
}

// allowedRequests returns how many requests the settings allow in the window that ends at end, for a server
// that started at started.
func (s *coldServerSim) allowedRequests(started, end time.Duration) float64 {
	set, sum := s.settings.Rules, 0.0
	const steps = 20
	for i := range steps {
		age := end - set.OverloadFor + set.OverloadFor*time.Duration(i)/steps - started
		fraction := min(1, set.ColdShare+(1-set.ColdShare)*max(0, age.Seconds())/set.ColdFor.Seconds())
		sum += fraction / steps
	}
	return set.OverloadMultiple * sum * s.capacity * set.OverloadFor.Seconds()
}

// withRandomMargin returns the operators' limit on the requests to a cold server in a window: the number that
// the settings allow, plus a margin for random variation.
func withRandomMargin(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// In every window of OverloadFor, all nodes together send a cold server no more than N + 2 sqrt(N) + 2
// requests, or N + 3 sqrt(N) + 3 for N under 30, where N is what the settings allow in that window. This holds
// for any number of nodes and uneven traffic, whether nodes learn of the server at once or one after another,
// restart with fresh budgets, run two processes each for a while, receive no requests for a while, or send
// trials after the server failed. In the undisturbed scenario, "", the server must also get a useful number of
// requests.
func TestColdServerLoadFromAllNodes(t *testing.T) {
	for _, rate := range []float64{40, 6} { // capacity of each server, in requests a second
		t.Run(fmt.Sprint(rate), func(t *testing.T) { testColdServerLoad(t, rate, 1, []int{1, 2, 20, 30, 300}) })
	}
}

// Guards against a small cold server that falls over because it gets a share of what the mean server serves, although the
// list tells that most others are far larger. The limit on its load is the same.
func TestSmallColdServerAmongLargeOnes(t *testing.T) {
	testColdServerLoad(t, 6, 16, []int{2, 24, 100})
}

// testColdServerLoad checks the load of a cold server of size 1 among warm servers, every second of which has largeSize and
// the others size 1. capacity is that of a warm server of size 1, in requests a second.
func testColdServerLoad(t *testing.T, capacity, largeSize float64, nodeCounts []int) {
	const warmServers = 20 // number of servers besides the cold one
	membersWithCold := func(up Time) []Member {
		all := members(warmServers)
		for i := 0; i < warmServers; i += 2 {
			all[i].Weight = largeSize
		}
		return append(all, Member{Server: coldServerID, Zone: "a", Kind: all[0].Kind, OnlineSince: up, Weight: 1})
	}
	sizes, totalSize := make(map[string]float64), 0.0
	for _, m := range membersWithCold(1)[:warmServers] {
		sizes[m.Server] = m.Weight
		totalSize += m.Weight
	}
	sizes[coldServerID] = 1
	for _, nodes := range nodeCounts {
		for _, uneven := range []bool{false, true} {
			for _, reports := range []bool{false, true} {
				for _, scenario := range []string{"", "one after another", "restarts", "two processes", "fails", "a lull"} {
					t.Run(fmt.Sprintf("%d nodes, uneven %v, reports %v, %s", nodes, uneven, reports, scenario), func(t *testing.T) {
						for seed := range uint64(1) {
							set := testSettings(nodes)
							set.Rules.ColdShare, set.Rules.ColdFor = 0.13, 24*time.Second
							set.Rules.OverloadMultiple, set.Rules.OverloadFor = 2.5, 3*time.Second
							set.Report, set.Tenants = []string{"util", "qps"}, nil
							sim := &coldServerSim{settings: set, rng: rand.New(rand.NewPCG(seed, uint64(nodes))), loadReports: reports,
								capacity: capacity, sizes: sizes, coldFails: scenario == "fails", now: time.Minute}
							const started, ends = 63 * time.Second, 87 * time.Second // the cold server is warm at the end
							newProcess := func(i int, list []Member) *Balancer {
								set := sim.settings
								set.Node = i
								b, err := New(set, sim.now, sim.rng.Uint64())
								if err != nil {
									t.Fatal(err)
								}
								sim.deliver(b, MemberList{Kind: ListRestored, Members: list})
								return b
							}
							warmMembers := membersWithCold(1)[:warmServers]
							weights, sum := make([]float64, nodes), 0.0
							for i := range nodes {
								sim.nodes = append(sim.nodes, newProcess(i, warmMembers))
								if weights[i] = 1; uneven {
									weights[i] = 0.2 + 4*math.Pow(sim.rng.Float64(), 4)
								}
								sum += weights[i]
							}
							// Poisson arrivals at each node, at 0.7 of the total capacity of the warm servers.
							for i := range nodes {
								mean := 0.7 * totalSize * capacity * weights[i] / sum
								var arrive func()
								arrive = func() {
									sim.requestCount++
									lull := scenario == "a lull" && sim.now > started && sim.now < started+8*time.Second
									if !lull {
										sim.deliver(sim.nodes[i], Request{ID: fmt.Sprint(sim.requestCount), Class: "free", Tenant: "t", ExpiresIn: time.Second})
									}
									sim.schedule(time.Duration(sim.rng.ExpFloat64()/mean*float64(time.Second)), arrive)
								}
								sim.schedule(time.Duration(sim.rng.ExpFloat64()/mean*float64(time.Second)), arrive)
								listDelay := started - sim.now
								if scenario == "one after another" {
									listDelay += time.Duration(sim.rng.Float64() * float64(6*time.Second))
								}
								sim.schedule(listDelay, func() {
									sim.deliver(sim.nodes[i], MemberList{Kind: ListUpdate, Members: membersWithCold(started)[warmServers:]})
								})
								switch scenario {
								case "restarts": // of each node, twice, without its earlier state
									for _, wait := range []time.Duration{2 * time.Second, 5 * time.Second} {
										sim.schedule(listDelay+wait+time.Duration(sim.rng.Float64()*float64(time.Second)), func() {
											sim.nodes[i] = newProcess(i, membersWithCold(started))
										})
									}
								case "two processes":
									sim.schedule(listDelay+2*time.Second, func() {
										oldProcess := sim.nodes[i]
										sim.deliver(oldProcess, ProcessCount{N: 2})
										successor, err := New(oldProcess.settings, sim.now, sim.rng.Uint64())
										if err != nil {
											t.Fatal(err)
										}
										successor.Restore(sim.now, oldProcess.Snapshot(sim.now), 0)
										sim.deliver(successor, ProcessCount{N: 2})
										sim.deliver(successor, MemberList{Kind: ListRestored, Members: membersWithCold(started)})
										turns := 0 // new requests reach the two processes in turn for a while
										sim.nodes[i] = successor
										var alternate func()
										alternate = func() {
											if turns++; turns > 100 {
												sim.deliver(successor, ProcessCount{N: 1})
												sim.nodes[i] = successor
												return
											}
											sim.nodes[i] = []*Balancer{oldProcess, successor}[turns%2]
											sim.schedule(40*time.Millisecond, alternate)
										}
										alternate()
									})
								}
							}
							sim.run(ends)
							maxRatio, maxRatioAt, firstInWindow := 0.0, time.Duration(0), 0
							for i, at := range sim.coldSendTimes {
								for sim.coldSendTimes[firstInWindow] <= at-set.Rules.OverloadFor {
									firstInWindow++
								}
								if ratio := float64(i-firstInWindow+1) / withRandomMargin(sim.allowedRequests(started, at)); ratio > maxRatio {
									maxRatio, maxRatioAt = ratio, at-started
								}
							}
							if maxRatio > 1 {
								t.Errorf("seed %d: %.2f of the limit in the window that ends %v after the server's start", seed, maxRatio, maxRatioAt)
							}
							if minSends := 0.2 * capacity * (ends - started).Seconds() * 0.3; scenario == "" && float64(len(sim.coldSendTimes)) < minSends {
								t.Errorf("seed %d: only %d requests went to the cold server", seed, len(sim.coldSendTimes))
							}
							t.Logf("seed %d: at most %.2f of the limit, %v after the server's start; %d requests to it, %d to others", seed, maxRatio, maxRatioAt, len(sim.coldSendTimes), sim.warmSends)
						}
					})
				}
			}
		}
	}
}

// While a node runs two processes during an upgrade, they together send a cold server no more than one
// process would.
func TestTwoProcessesShareOneColdBudget(t *testing.T) {
	const started = time.Minute
	countSends := func(processes int) (n int) {
		set := testSettings(2)
		set.Rules.ColdFor = 24 * time.Second
		list := []Member{{Server: coldServerID, Zone: "a", OnlineSince: started, Weight: 1}}
		var balancers []*Balancer
		for range processes {
			b := newTestBalancer(t, set, nil)
			b.warmRates[""] = 50
			b.Handle(started, ProcessCount{N: processes})
			b.Handle(started, MemberList{Kind: ListReplace, Members: list})
			b.servers[coldServerID].cold.tokens = 0
			b.servers[coldServerID].threshold = 1000
			balancers = append(balancers, b)
		}
		for i := range 2000 { // 100 a second, at each process in turn
			now := started + time.Duration(i)*10*ms
			id := fmt.Sprint(i)
			for _, a := range actionsOfKind(balancers[i%processes].Handle(now, newRequest(id, "free")), Send) {
				n++
				balancers[i%processes].Handle(now, newOutcome(a.ID, 0, a.Server, OK, ms))
			}
		}
		return n
	}
	one, two := countSends(1), countSends(2)
	if one < 50 || float64(two) > 1.05*float64(one) || float64(two) < 0.9*float64(one) {
		t.Errorf("two processes send %d requests, one process sends %d", two, one)
	}
}
