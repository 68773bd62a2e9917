package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// memberJSON returns a member of a list in discovery's JSON format.
func memberJSON(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q,"up_since_ms":0}`, id, phase)
}

// deltaJSON returns a delta of a list in discovery's JSON format.
func deltaJSON(revision int, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, revision, strings.Join(entries, ","))
}

// fakeDiscovery is a discovery server that runs on a test's clock. It handles calls one at a time, rejects those that
// would wait too long, and can fail in each way that the protocol describes.
type fakeDiscovery struct {
	list         string        // members of the full list, and of the delta that each watch gets
	callDuration time.Duration // processing time of a call; a call that continues a watch takes none
	// maxQueueWait is how long a call may wait for its turn; one that would wait longer is rejected with 503.
	maxQueueWait time.Duration
	faultFor     func(n int) string // the fault of call n; "" means none
	down         bool               // refuses all connections
	refusedAddrs map[string]bool    // addresses that refuse connections

	handlers     sync.WaitGroup
	mu           sync.Mutex
	calls        []time.Time
	queries      []string
	revision     int
	changed      chan struct{}
	silenced     chan struct{}
	disconnected chan struct{}
	nextFree     time.Time
	deliveredAt  map[string]time.Time // by node: when the update counts as delivered, even if the call for it failed
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	fake := &fakeDiscovery{revision: 7, maxQueueWait: 2 * time.Second, changed: make(chan struct{}), silenced: make(chan struct{}), disconnected: make(chan struct{}), deliveredAt: map[string]time.Time{},
		faultFor: func(int) string { return "" }, list: memberJSON("s0", "up") + "," + memberJSON("s1", "up"), refusedAddrs: map[string]bool{}}
	t.Cleanup(fake.handlers.Wait)
	return fake
}

// updateList replaces the list and answers every watch with it.
func (fake *fakeDiscovery) updateList(list string) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.list = list
	fake.revision++
	close(fake.changed)
	fake.changed = make(chan struct{})
}

// silenceWatches leaves all open watches without an answer for good; new calls are answered.
func (fake *fakeDiscovery) silenceWatches() {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	close(fake.silenced)
	fake.silenced = make(chan struct{})
}

// resetWatches closes the connections of all open watches.
func (fake *fakeDiscovery) resetWatches() {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	close(fake.disconnected)
	fake.disconnected = make(chan struct{})
}

// dial returns a dialer for one node, whose connections are served in memory.
func (fake *fakeDiscovery) dial(node string) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, addr string) (net.Conn, error) {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		if fake.down || fake.refusedAddrs[addr] {
			return nil, errors.New("connection refused")
		}
		client, server := net.Pipe()
		fake.handlers.Go(func() { fake.serveConn(node, server) })
		return client, nil
	}
}

func (fake *fakeDiscovery) serveConn(node string, c net.Conn) {
	defer c.Close()
	in, last := bufio.NewReader(c), time.Time{}
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !fake.handleCall(node, c, in, req, time.Since(last) <= 200*time.Millisecond) {
			return
		}
		last = time.Now()
	}
}

// handleCall answers one call, and reports whether the connection can be used again.
func (fake *fakeDiscovery) handleCall(node string, c net.Conn, in *bufio.Reader, req *http.Request, continuesWatch bool) bool {
	q, calledAt := req.URL.Query(), time.Now()
	index, _ := strconv.Atoi(q.Get("index"))
	ms, _ := strconv.Atoi(q.Get("wait"))
	wait := time.Duration(ms) * time.Millisecond
	fake.mu.Lock()
	fake.calls, fake.queries = append(fake.calls, calledAt), append(fake.queries, req.URL.RawQuery)
	n, servedAt, faultFor := len(fake.calls), calledAt, fake.faultFor
	if !continuesWatch {
		if servedAt = fake.nextFree; servedAt.Before(calledAt) {
			servedAt = calledAt
		}
		if servedAt = servedAt.Add(fake.callDuration); servedAt.Sub(calledAt) > fake.maxQueueWait {
			fake.mu.Unlock()
			return fake.respond(c, 503, "")
		}
		fake.nextFree = servedAt
	}
	fake.mu.Unlock()
	time.Sleep(time.Until(servedAt))

	hang := func(deliveredAt time.Time) bool {
		fake.mu.Lock()
		if fake.deliveredAt[node].IsZero() {
			fake.deliveredAt[node] = deliveredAt
		}
		fake.mu.Unlock()
		_, _ = in.ReadByte() // until the node closes the connection
		return false
	}
	// without an answer, an update counts as delivered 6 s later
	hangUndelivered := func() bool { return hang(time.Now().Add(6 * time.Second)) }
	fault := faultFor(n)
	switch fault {
	case "silent":
		return hangUndelivered()
	case "silent in its head":
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConte"))
		return hang(time.Now())
	case "silent in its body":
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":8,"))
		return hang(time.Now())
	case "trickling":
		deliveredAt := time.Now()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"))
		for err := error(nil); err == nil; time.Sleep(100 * time.Millisecond) {
			_, err = c.Write([]byte(" "))
		}
		return hang(deliveredAt)
	case "reset":
		return false
	case "no HTTP":
		_, _ = c.Write([]byte("PTTH/7 quux\r\n\r\n"))
		return hang(time.Now())
	case "malformed":
		fake.markDelivered(node)
		return fake.respond(c, 200, `{"revision":8,"complete":false,"members":[{"id":`)
	case "bad entry":
		fake.markDelivered(node)
		return fake.respond(c, 200, deltaJSON(8, memberJSON("s0", "gone fishing")))
	case "a part":
		fake.markDelivered(node)
		return fake.respond(c, 200, deltaJSON(8, memberJSON("s0", "draining")))
	case "503":
		return fake.respond(c, 503, "")
	case "queued":
		time.Sleep(2 * time.Second)
		return fake.respond(c, 503, "")
	case "late":
		time.Sleep(wait + 450*time.Millisecond)
	}
	end := time.NewTimer(time.Until(calledAt.Add(wait)))
	defer end.Stop()
	for timedOut := !q.Has("index"); ; {
		fake.mu.Lock()
		changed, silenced, disconnected, revision, list := fake.changed, fake.silenced, fake.disconnected, fake.revision, fake.list
		fake.mu.Unlock()
		switch {
		case !q.Has("index"):
			return fake.respond(c, 200, fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, list))
		case revision > index:
			return fake.respond(c, 200, deltaJSON(revision, list))
		case timedOut:
			return fake.respond(c, 200, deltaJSON(revision))
		}
		select {
		case <-changed:
		case <-silenced:
			return hangUndelivered()
		case <-disconnected:
			return false
		case <-end.C:
			timedOut = true
		}
	}
}

// markDelivered records that the update counts as delivered to a node from now on, unless it did already.
func (fake *fakeDiscovery) markDelivered(node string) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.deliveredAt[node].IsZero() {
		fake.deliveredAt[node] = time.Now()
	}
}

func (fake *fakeDiscovery) respond(c net.Conn, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

// deliveryTime returns when the update counts as delivered to a node, or zero.
func (fake *fakeDiscovery) deliveryTime(node string) time.Time {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.deliveredAt[node]
}

// callCount returns the number of calls so far.
func (fake *fakeDiscovery) callCount() int {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return len(fake.calls)
}

const drainGrace = time.Second // of the rule on drains, in these tests

// startListNode runs the event loop, decision module and discovery client of a node, and nothing else of it.
func startListNode(t *testing.T, fake *fakeDiscovery, n, nodes int, subscribe bool, seed uint64) *loop {
	t.Helper()
	c := testConfig(t, memberListJSON("127.0.0.1:9", "127.0.0.1:10"))
	c.Seed, c.Discovery = seed, "old:1"
	set := &c.Settings
	set.Node, set.Nodes, set.Subscribe = n, nodes, subscribe
	set.Rules.DrainGrace, set.Rules.ListRefreshWithin = drainGrace, 10*time.Second
	l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
	if err != nil {
		t.Fatal(err)
	}
	config := c.discoveryConfig()
	config.Dial = fake.dial(fmt.Sprint(n))
	l.discovery = discovery.New(config, func(u discovery.Update) { l.send(u) })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.run(ctx, c.Known) })
	wg.Go(func() { l.discovery.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return l
}

// knowsDrain reports whether the node knows that s0 is draining or gone.
func knowsDrain(l *loop) bool {
	for _, m := range l.snapshot().Members {
		if m.Server == "s0" {
			return m.Availability != policy.Running
		}
	}
	return true
}

// forEachListMode runs a test with a list that is fetched on the module's request, and with a pushed list, which the node
// always watches.
func forEachListMode(t *testing.T, test func(t *testing.T, subscribe bool)) {
	for name, subscribe := range map[string]bool{"on request": true, "pushed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Nanosecond) // the race detector ends the program if a bubble's first timer is due at once
				test(t, subscribe)
			})
		})
	}
}

// All open watches of a fleet stop getting answers together, right after a change answered all of them, and a server
// begins to drain. By the time that the drain counts as delivered and the grace is over, each node must have given its
// watch up, been served by a discovery server that handles calls one at a time, and updated its loop.
func TestDrainsReachFleetAfterSilentWatches(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, maxFleetSize} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(nodes, " nodes ", seed), func(t *testing.T) {
				forEachListMode(t, func(t *testing.T, subscribe bool) {
					fake := newFakeDiscovery(t)
					fake.callDuration = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes)) // the processing time observed on the operators' bench
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, startListNode(t, fake, n, nodes, subscribe, seed))
					}
					time.Sleep(20 * time.Second)
					fake.updateList(memberJSON("s1", "up"))
					time.Sleep(50 * time.Millisecond)
					fake.silenceWatches()
					before := fake.callCount()
					time.Sleep(500 * time.Millisecond)
					fake.updateList(memberJSON("s0", "draining"))
					synctest.Wait()
					late, due, order := 0, make([]time.Time, nodes), make([]int, nodes)
					for n := range fleet {
						deliveredAt := fake.deliveryTime(fmt.Sprint(n))
						if deliveredAt.IsZero() {
							t.Fatalf("node %d had no watch", n)
						}
						due[n], order[n] = deliveredAt.Add(drainGrace), n
					}
					slices.SortFunc(order, func(x, y int) int { return due[x].Compare(due[y]) })
					for _, n := range order {
						time.Sleep(time.Until(due[n]))
						if !knowsDrain(fleet[n]) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes learn too late that a server is draining", late)
					}
					// Each gives one watch up, checks that discovery is reachable, and watches again.
					if calls := fake.callCount() - before; calls > 5*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
				})
			})
		}
	}
}

// All open watches of a fleet are reset together, and a server begins to drain right after. The drain counts as delivered
// 6 s later, even if the settings allow more time between requests for updates, and though discovery can't answer all nodes
// at once.
func TestDrainsReachFleetAfterResetWatches(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, maxFleetSize} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(nodes, " nodes ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					time.Sleep(time.Nanosecond)
					fake := newFakeDiscovery(t)
					fake.callDuration = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes))
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, startListNode(t, fake, n, nodes, true, seed))
					}
					time.Sleep(20 * time.Second)
					fake.updateList(memberJSON("s1", "up"))
					time.Sleep(50 * time.Millisecond)
					fake.resetWatches()
					before := fake.callCount()
					time.Sleep(500 * time.Millisecond)
					fake.updateList(memberJSON("s0", "draining"))
					time.Sleep(6*time.Second + drainGrace)
					late := 0
					for _, l := range fleet {
						if !knowsDrain(l) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes learn too late that a server is draining", late)
					}
					if calls := fake.callCount() - before; calls > 7*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
				})
			})
		}
	}
}

// All nodes of a fleet are moved to another discovery address at the same moment, and its list already has a draining server.
func TestDrainsReachFleetAfterMove(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, maxFleetSize} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(nodes, " nodes ", seed), func(t *testing.T) {
				forEachListMode(t, func(t *testing.T, subscribe bool) {
					fake := newFakeDiscovery(t)
					fake.callDuration = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes))
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, startListNode(t, fake, n, nodes, subscribe, seed))
					}
					time.Sleep(20 * time.Second)
					fake.mu.Lock()
					fake.list, fake.revision = memberJSON("s0", "draining")+","+memberJSON("s1", "up"), 3
					fake.mu.Unlock()
					before := fake.callCount()
					for _, l := range fleet {
						l.discovery.Move("new:1")
					}
					time.Sleep(4*time.Second + drainGrace)
					late := 0
					for _, l := range fleet {
						if !knowsDrain(l) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes learn too late that a server is draining", late)
					}
					if calls := fake.callCount() - before; calls > 4*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
				})
			})
		}
	}
}

// A call fails in each possible way, as the first call or later, once or twice in a row, and a server begins to drain during
// it. The node must know of the drain before the grace is over, even if the answer is missing, late, incomplete or invalid.
func TestDrainsReachNodeDespiteFailedCalls(t *testing.T) {
	for _, fault := range []string{"silent", "silent in its head", "silent in its body", "trickling", "reset", "no HTTP",
		"malformed", "bad entry", "503", "queued", "late"} {
		for _, nodes := range []int{2, 350} {
			for _, first := range []int{1, 4} {
				for _, times := range []int{1, 2} {
					t.Run(fmt.Sprintf("%s, call %d, %d times, %d nodes", fault, first, times, nodes), func(t *testing.T) {
						forEachListMode(t, func(t *testing.T, subscribe bool) {
							if fault == "queued" && !subscribe {
								return // an update of a pushed list counts as delivered at once, so no call may wait in a queue
							}
							for seed := range uint64(10) {
								fake, begun := newFakeDiscovery(t), make(chan struct{})
								fake.faultFor = func(n int) string {
									if n < first || n >= first+times {
										return ""
									}
									if n == first {
										fake.updateList(memberJSON("s0", "draining"))
										close(begun)
									}
									return fault
								}
								l := startListNode(t, fake, 0, nodes, subscribe, seed)
								<-begun
								drained := time.Now()
								synctest.Wait()
								deliveredAt := fake.deliveryTime("0")
								if fault == "late" { // it counts as delivered when the answer is written
									deliveredAt = drained.Add(10 * time.Second)
								}
								if strings.Contains(fault, " in its ") || fault == "trickling" && times > 1 {
									deliveredAt = drained.Add(6 * time.Second) // the answer was not written completely
								}
								if deliveredAt.IsZero() { // the node has no watch, and no answer has begun
									if deliveredAt = drained; subscribe {
										deliveredAt = deliveredAt.Add(6 * time.Second)
									}
								}
								time.Sleep(time.Until(deliveredAt.Add(drainGrace)))
								if !knowsDrain(l) {
									t.Errorf("seed %d: the drain is not known %v after its delivery; calls at %v", seed, drainGrace, callLog(fake, drained))
								}
							}
						})
					})
				}
			}
		}
	}
}

// callLog lists the calls with their times relative to from.
func callLog(fake *fakeDiscovery, from time.Time) string {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	var b strings.Builder
	for i, at := range fake.calls {
		fmt.Fprintf(&b, "%v?%s ", at.Sub(from), fake.queries[i])
	}
	return b.String()
}

// After a move (SIGHUP) an update counts as delivered 4 s later, whatever the state of the node: its watch may get no answer,
// the old address may be down and in backoff, or the first call to the new address may fail.
func TestDrainsReachNodeAfterMove(t *testing.T) {
	for _, before := range []string{"", "silent", "down"} {
		for _, answer := range []string{"", "silent", "malformed", "a part", "503", "reset", "trickling"} {
			t.Run(fmt.Sprintf("%q then %q", before, answer), func(t *testing.T) {
				forEachListMode(t, func(t *testing.T, subscribe bool) {
					for seed := range uint64(10) {
						fake := newFakeDiscovery(t)
						l := startListNode(t, fake, 0, 350, subscribe, seed)
						time.Sleep(15 * time.Second)
						switch before {
						case "silent":
							fake.silenceWatches()
						case "down":
							fake.mu.Lock()
							fake.refusedAddrs["old:1"] = true
							fake.mu.Unlock()
							fake.updateList(memberJSON("s1", "up")) // answers the watch; the next call fails
							time.Sleep(20 * time.Second)
						}
						time.Sleep(time.Duration(seed) * 300 * time.Millisecond)
						fake.mu.Lock()
						fake.list = memberJSON("s0", "draining") + "," + memberJSON("s1", "up")
						fake.revision = 3 // the new address numbers its revisions independently
						n := len(fake.calls)
						fake.faultFor = func(call int) string {
							if call == n+1 {
								return answer
							}
							return ""
						}
						fake.mu.Unlock()
						l.discovery.Move("new:1")
						moved := time.Now()
						time.Sleep(4*time.Second + drainGrace)
						if !knowsDrain(l) {
							t.Errorf("seed %d: the drain is not known; calls at %v", seed, callLog(fake, moved))
						}
					}
				})
			})
		}
	}
}

// Discovery is unavailable for some seconds, and a server begins to drain before it returns. Drains on pushed lists must
// be known within the grace after discovery is reachable again, and 6 s later on requested lists or if the first call gets
// no answer. That holds whether discovery refused connections, reset them or answered 503 in the outage, and also if the
// first call after its return fails.
func TestDrainsReachNodeAfterOutage(t *testing.T) {
	for _, outage := range []string{"refused", "503", "reset"} {
		for _, atReturn := range []string{"", "503", "reset", "silent"} {
			for _, nodes := range []int{2, maxFleetSize} {
				t.Run(fmt.Sprintf("%s then %q, %d nodes", outage, atReturn, nodes), func(t *testing.T) {
					forEachListMode(t, func(t *testing.T, subscribe bool) {
						for seed := range uint64(10) {
							fake := newFakeDiscovery(t)
							l := startListNode(t, fake, 0, nodes, subscribe, seed)
							time.Sleep(15 * time.Second)
							fake.mu.Lock()
							fake.down = outage == "refused"
							fake.faultFor = func(int) string { return outage }
							fake.mu.Unlock()
							if seed%2 == 0 { // ends the watch with an answer, not a reset
								fake.updateList(memberJSON("s1", "up"))
							} else {
								fake.resetWatches()
							}
							time.Sleep(8*time.Second + time.Duration(seed)*100*time.Millisecond)
							fake.updateList(memberJSON("s0", "draining"))
							fake.mu.Lock()
							n := len(fake.calls)
							fake.down = false
							fake.faultFor = func(call int) string {
								if call == n+1 {
									return atReturn
								}
								return ""
							}
							fake.mu.Unlock()
							returned := time.Now()
							grace := drainGrace
							if subscribe || atReturn == "silent" {
								grace += 6 * time.Second
							}
							time.Sleep(grace)
							if !knowsDrain(l) {
								t.Errorf("seed %d: the drain is not known; calls at %v", seed, callLog(fake, returned))
							}
						}
					})
				})
			}
		}
	}
}

// A whole fleet is without discovery for 8 s. It must know of drains in time once discovery is back, without synchronized
// calls.
func TestDrainsReachFleetAfterOutage(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, maxFleetSize} {
		for _, outage := range []string{"refused", "503"} {
			t.Run(fmt.Sprint(nodes, " nodes ", outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					time.Sleep(time.Nanosecond)
					fake := newFakeDiscovery(t)
					fake.callDuration = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes))
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, startListNode(t, fake, n, nodes, true, 1))
					}
					time.Sleep(20 * time.Second)
					fake.mu.Lock()
					fake.down = outage == "refused"
					if !fake.down {
						fake.faultFor = func(int) string { return outage }
					}
					fake.mu.Unlock()
					fake.resetWatches()
					time.Sleep(8 * time.Second)
					fake.updateList(memberJSON("s0", "draining"))
					fake.mu.Lock()
					fake.down, fake.faultFor = false, func(int) string { return "" }
					before, returned := len(fake.calls), time.Now()
					if fake.nextFree.After(returned) {
						fake.nextFree = returned
					}
					fake.mu.Unlock()
					time.Sleep(6*time.Second + drainGrace)
					late := 0
					for _, l := range fleet {
						if !knowsDrain(l) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes learn too late that a server is draining", late)
					}
					calls := fake.callCount() - before
					if calls > 7*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
					fake.mu.Lock()
					defer fake.mu.Unlock()
					for i := before; i+nodes/4 < len(fake.calls); i++ { // a quarter of the nodes within 0.1 s counts as synchronized
						if nodes >= 40 && fake.calls[i+nodes/4].Sub(fake.calls[i]) < 100*time.Millisecond {
							t.Fatalf("%d of %d nodes call discovery within %v", nodes/4, nodes, fake.calls[i+nodes/4].Sub(fake.calls[i]))
						}
					}
				})
			})
		}
	}
}

// maxUpdateRequestDelay is the longest pause before the module requests updates again: 1.5 times a quarter of 6 s.
const maxUpdateRequestDelay = 2250 * time.Millisecond

// With lists on request, the module gets one report that the list is unavailable, soon after an update that failed calls may
// have missed counts as delivered. No call is made until the module requests updates again.
func TestRequestedListsReportFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Nanosecond)
		fake, updates := newFakeDiscovery(t), make(chan discovery.Update, 100)
		fake.faultFor = func(int) string { return "503" }
		c := testConfig(t, memberListJSON("127.0.0.1:9"))
		c.Discovery, c.Settings.Subscribe, c.Settings.Rules.DrainGrace = "old:1", true, drainGrace
		config := c.discoveryConfig()
		config.Dial = fake.dial("0")
		d := discovery.New(config, func(u discovery.Update) { updates <- u })
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { d.Run(ctx) })
		defer wg.Wait()
		defer cancel()
		for range 3 {
			d.RequestUpdates(true)
			began := time.Now()
			if u := <-updates; u.Kind != policy.ListUnavailable {
				t.Fatalf("update %+v, want an unavailable list", u)
			}
			if after := time.Since(began); after > 6*time.Second+drainGrace+time.Second {
				t.Errorf("the module is notified of the failures after %v", after)
			}
			before := fake.callCount()
			time.Sleep(maxUpdateRequestDelay)
			if n := fake.callCount() - before; n > 0 || len(updates) > 0 {
				t.Errorf("%d calls and %d updates before the module requested any", n, len(updates))
			}
		}
		fake.mu.Lock()
		fake.faultFor = func(int) string { return "" }
		fake.mu.Unlock()
		fake.updateList(memberJSON("s1", "up"))
		d.RequestUpdates(true)
		if u := <-updates; u.Kind != policy.ListUpdate || len(u.Members) != 1 {
			t.Errorf("update %+v, want a list update with one member", u)
		}
	})
}

// Updates arrive even if discovery takes long for each call. A node that gave up its calls too early would go back to the end
// of the queue each time.
func TestUpdatesFromSlowDiscovery(t *testing.T) {
	forEachListMode(t, func(t *testing.T, subscribe bool) {
		for _, callDuration := range []time.Duration{1900 * time.Millisecond, 2900 * time.Millisecond, 5 * time.Second} {
			fake := newFakeDiscovery(t)
			fake.callDuration, fake.maxQueueWait = callDuration, 10*time.Second
			l := startListNode(t, fake, 0, 350, subscribe, 1)
			time.Sleep(15 * time.Second)
			fake.silenceWatches()
			fake.updateList(memberJSON("s0", "draining"))
			time.Sleep(40 * time.Second)
			if !knowsDrain(l) {
				t.Errorf("%v per call: the drain is not known 40 s later; calls at %s", callDuration, callLog(fake, time.Now()))
			}
		}
	})
}

// A watch without changes costs one call per 2.6 s on average. It can't wait longer: with a grace of one second, a node that
// gets no answer would then learn of a drain too late.
func TestIdleWatchCallRate(t *testing.T) {
	for nodes, want := range map[int][2]int{1: {330, 360}, 2: {330, 360}, 350: {300, 390}} {
		forEachListMode(t, func(t *testing.T, subscribe bool) {
			fake := newFakeDiscovery(t)
			startListNode(t, fake, 0, nodes, subscribe, 1)
			time.Sleep(15 * time.Minute)
			if n := fake.callCount(); n < want[0] || n > want[1] {
				t.Errorf("%d calls by one of %d nodes in 15 minutes, want %v", n, nodes, want)
			}
		})
	}
}

// Changes in quick succession are batched for 0.1 s. A single change is delivered at once, also right after such a burst.
func TestBurstsOfChangesAreBatched(t *testing.T) {
	forEachListMode(t, func(t *testing.T, subscribe bool) {
		for _, nodes := range []int{1, 350} {
			fake := newFakeDiscovery(t)
			l := startListNode(t, fake, 0, nodes, subscribe, 1)
			time.Sleep(20 * time.Second)
			for _, phase := range []string{"draining", "up", "draining"} { // each one alone
				fake.updateList(memberJSON("s0", phase))
				synctest.Wait()
				if knowsDrain(l) != (phase == "draining") {
					t.Errorf("%d nodes: %s is not known at once", nodes, phase)
				}
				time.Sleep(150 * time.Millisecond)
			}
			before := fake.callCount()
			for i := range 250 {
				fake.updateList(memberJSON("s0", []string{"up", "draining"}[i%2]))
				time.Sleep(4 * time.Millisecond)
			}
			if calls := fake.callCount() - before; calls > 14 || calls < 9 {
				t.Errorf("%d nodes: %d calls in a second of changes", nodes, calls)
			}
			fake.updateList(memberJSON("s0", "up"))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			if knowsDrain(l) {
				t.Errorf("%d nodes: the last change is not known within 0.1 s", nodes)
			}
			time.Sleep(150 * time.Millisecond)
			fake.updateList(memberJSON("s0", "draining"))
			synctest.Wait()
			if !knowsDrain(l) {
				t.Errorf("%d nodes: a change after the burst is not known at once", nodes)
			}
		}
	})
}

// A drain that arrives while changes are batched counts as delivered at once, so it must be known within the grace even if
// the call that would fetch it fails.
func TestDrainsReachNodeWhenBatchedCallFails(t *testing.T) {
	for _, fault := range []string{"503", "reset", "malformed", "no HTTP"} {
		t.Run(fault, func(t *testing.T) {
			forEachListMode(t, func(t *testing.T, subscribe bool) {
				for seed := range uint64(10) {
					fake := newFakeDiscovery(t)
					l := startListNode(t, fake, 0, 350, subscribe, seed)
					time.Sleep(20 * time.Second)
					for range 3 { // each answers a watch; the next call follows at once, except after the last
						fake.updateList(memberJSON("s1", "up"))
						synctest.Wait()
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(40 * time.Millisecond)
					fake.mu.Lock()
					n := len(fake.calls)
					fake.faultFor = func(call int) string {
						if call == n+1 {
							return fault
						}
						return ""
					}
					fake.mu.Unlock()
					fake.updateList(memberJSON("s0", "draining"))
					drained := time.Now()
					time.Sleep(drainGrace)
					if !knowsDrain(l) {
						t.Errorf("seed %d: the drain is not known; calls at %v", seed, callLog(fake, drained))
					}
				}
			})
		})
	}
}
