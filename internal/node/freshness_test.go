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

// entry is one of a list in discovery's form, and delta what changed.
func entry(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q,"up_since_ms":0}`, id, phase)
}

func delta(revision int, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, revision, strings.Join(entries, ","))
}

// registry is discovery on a test's clock. It handles calls in turn, turns away those that would wait for
// too long, and can go wrong in the ways that the protocol tells of.
type registry struct {
	list string        // the whole list, or what each watch is told of
	each time.Duration // that a call takes; one that goes on with a watch takes none
	// patience is how long a call waits at most; those that would wait for longer are turned away.
	patience time.Duration
	spoil    func(n int) string
	down     bool
	gone     map[string]bool // addresses where nobody is

	serving  sync.WaitGroup
	mu       sync.Mutex
	calls    []time.Time
	queries  []string
	revision int
	changed  chan struct{}
	hush     chan struct{}
	cut      chan struct{}
	free     time.Time
	told     map[string]time.Time // by node: when news counts as told for its watch fell silent
}

func newRegistry(t *testing.T) *registry {
	r := &registry{revision: 7, patience: 2 * time.Second, changed: make(chan struct{}), hush: make(chan struct{}), cut: make(chan struct{}), told: map[string]time.Time{},
		spoil: func(int) string { return "" }, list: entry("s0", "up") + "," + entry("s1", "up"), gone: map[string]bool{}}
	t.Cleanup(r.serving.Wait)
	return r
}

// change makes the list news to every watch.
func (r *registry) change(list string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	r.revision++
	close(r.changed)
	r.changed = make(chan struct{})
}

// silence makes all open watches fall silent for good; new calls are answered.
func (r *registry) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.hush)
	r.hush = make(chan struct{})
}

// reset breaks all open watches.
func (r *registry) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.cut)
	r.cut = make(chan struct{})
}

func (r *registry) dial(node string) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, addr string) (net.Conn, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.down || r.gone[addr] {
			return nil, errors.New("connection refused")
		}
		client, server := net.Pipe()
		r.serving.Go(func() { r.serve(node, server) })
		return client, nil
	}
}

func (r *registry) serve(node string, c net.Conn) {
	defer c.Close()
	in, last := bufio.NewReader(c), time.Time{}
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !r.call(node, c, in, req, time.Since(last) <= 200*time.Millisecond) {
			return
		}
		last = time.Now()
	}
}

// call answers one call, and reports false where the connection is of no more use.
func (r *registry) call(node string, c net.Conn, in *bufio.Reader, req *http.Request, goesOn bool) bool {
	q, asked := req.URL.Query(), time.Now()
	index, _ := strconv.Atoi(q.Get("index"))
	ms, _ := strconv.Atoi(q.Get("wait"))
	wait := time.Duration(ms) * time.Millisecond
	r.mu.Lock()
	r.calls, r.queries = append(r.calls, asked), append(r.queries, req.URL.RawQuery)
	n, turn, spoil := len(r.calls), asked, r.spoil
	if !goesOn {
		if turn = r.free; turn.Before(asked) {
			turn = asked
		}
		if turn = turn.Add(r.each); turn.Sub(asked) > r.patience {
			r.mu.Unlock()
			return r.write(c, 503, "")
		}
		r.free = turn
	}
	r.mu.Unlock()
	time.Sleep(time.Until(turn))

	silent := func(told time.Time) bool {
		r.mu.Lock()
		if r.told[node].IsZero() {
			r.told[node] = told
		}
		r.mu.Unlock()
		_, _ = in.ReadByte() // until the node hangs up
		return false
	}
	fellSilent := func() bool { return silent(time.Now().Add(6 * time.Second)) }
	how := spoil(n)
	switch how {
	case "silent":
		return fellSilent()
	case "silent in its head":
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConte"))
		return silent(time.Now())
	case "silent in its body":
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":8,"))
		return silent(time.Now())
	case "trickling":
		told := time.Now()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"))
		for err := error(nil); err == nil; time.Sleep(100 * time.Millisecond) {
			_, err = c.Write([]byte(" "))
		}
		return silent(told)
	case "reset":
		return false
	case "no HTTP":
		_, _ = c.Write([]byte("PTTH/7 quux\r\n\r\n"))
		return silent(time.Now())
	case "malformed":
		r.noteTold(node)
		return r.write(c, 200, `{"revision":8,"complete":false,"members":[{"id":`)
	case "bad entry":
		r.noteTold(node)
		return r.write(c, 200, delta(8, entry("s0", "gone fishing")))
	case "a part":
		r.noteTold(node)
		return r.write(c, 200, delta(8, entry("s0", "draining")))
	case "503":
		return r.write(c, 503, "")
	case "queued":
		time.Sleep(2 * time.Second)
		return r.write(c, 503, "")
	case "late":
		time.Sleep(wait + 450*time.Millisecond)
	}
	end := time.NewTimer(time.Until(asked.Add(wait)))
	defer end.Stop()
	for over := !q.Has("index"); ; {
		r.mu.Lock()
		changed, hush, cut, revision, list := r.changed, r.hush, r.cut, r.revision, r.list
		r.mu.Unlock()
		switch {
		case !q.Has("index"):
			return r.write(c, 200, fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, list))
		case revision > index:
			return r.write(c, 200, delta(revision, list))
		case over:
			return r.write(c, 200, delta(revision))
		}
		select {
		case <-changed:
		case <-hush:
			return fellSilent()
		case <-cut:
			return false
		case <-end.C:
			over = true
		}
	}
}

func (r *registry) noteTold(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told[node].IsZero() {
		r.told[node] = time.Now()
	}
}

func (r *registry) write(c net.Conn, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

func (r *registry) toldAt(node string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.told[node]
}

func (r *registry) asked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

const drainGrace = time.Second // in these tests

// follower runs a node's loop, module and discovery, and nothing else of it.
func follower(t *testing.T, r *registry, n, nodes int, subscribe bool, seed uint64) *loop {
	t.Helper()
	c := testConfig(t, knownList("127.0.0.1:9", "127.0.0.1:10"))
	c.Seed, c.Discovery = seed, "old:1"
	set := &c.Settings
	set.Node, set.Nodes, set.Subscribe = n, nodes, subscribe
	set.Rules.DrainGrace, set.Rules.ListRefreshWithin = drainGrace, 10*time.Second
	l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
	if err != nil {
		t.Fatal(err)
	}
	follow := c.discoveryConfig()
	follow.Dial = r.dial(fmt.Sprint(n))
	l.discovery = discovery.New(follow, func(n discovery.Update) { l.send(n) })
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { l.run(ctx, c.Known) })
	parts.Go(func() { l.discovery.Run(ctx) })
	t.Cleanup(func() { cancel(); parts.Wait() })
	return l
}

// drains tells whether the node knows that s0 is leaving.
func drains(l *loop) bool {
	for _, m := range l.snapshot().Members {
		if m.Server == "s0" {
			return m.Availability != policy.Running
		}
	}
	return true
}

func modes(t *testing.T, test func(t *testing.T, subscribe bool)) {
	for name, subscribe := range map[string]bool{"asked": true, "pushed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Nanosecond) // the race detector ends the program where a bubble's first timer is due at once
				test(t, subscribe)
			})
		})
	}
}

// All open watches of a fleet fall silent together, right after a change has answered them together, and
// servers drain. By the time that counts as told and the grace is over, each node has to have given its
// watch up, been served by a discovery that handles calls in turn, and told its loop.
func TestFleetHearsOfDrainsAfterSilentWatches(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, largestFleet} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(nodes, " nodes ", seed), func(t *testing.T) {
				modes(t, func(t *testing.T, subscribe bool) {
					r := newRegistry(t)
					r.each = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes)) // as the operators' bench was seen to
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, follower(t, r, n, nodes, subscribe, seed))
					}
					time.Sleep(20 * time.Second)
					r.change(entry("s1", "up"))
					time.Sleep(50 * time.Millisecond)
					r.silence()
					before := r.asked()
					time.Sleep(500 * time.Millisecond)
					r.change(entry("s0", "draining"))
					synctest.Wait()
					late, due, order := 0, make([]time.Time, nodes), make([]int, nodes)
					for n := range fleet {
						told := r.toldAt(fmt.Sprint(n))
						if told.IsZero() {
							t.Fatalf("node %d had no watch", n)
						}
						due[n], order[n] = told.Add(drainGrace), n
					}
					slices.SortFunc(order, func(x, y int) int { return due[x].Compare(due[y]) })
					for _, n := range order {
						time.Sleep(time.Until(due[n]))
						if !drains(fleet[n]) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes hear too late that a server drains", late)
					}
					// Each gives one watch up, makes sure that it is heard, and watches again.
					if calls := r.asked() - before; calls > 5*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
				})
			})
		}
	}
}

// All open watches of a fleet are reset together, and servers drain right after. That counts as told 6 s later,
// whatever the settings give for asking; discovery can't answer all at once.
func TestFleetHearsOfDrainsAfterResetWatches(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, largestFleet} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(nodes, " nodes ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					time.Sleep(time.Nanosecond)
					r := newRegistry(t)
					r.each = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes))
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, follower(t, r, n, nodes, true, seed))
					}
					time.Sleep(20 * time.Second)
					r.change(entry("s1", "up"))
					time.Sleep(50 * time.Millisecond)
					r.reset()
					before := r.asked()
					time.Sleep(500 * time.Millisecond)
					r.change(entry("s0", "draining"))
					time.Sleep(6*time.Second + drainGrace)
					late := 0
					for _, l := range fleet {
						if !drains(l) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes hear too late that a server drains", late)
					}
					if calls := r.asked() - before; calls > 7*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
				})
			})
		}
	}
}

// All nodes of a fleet are moved to another address in the same moment, and servers have begun to drain there.
func TestFleetHearsOfDrainsAfterAMove(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, largestFleet} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(nodes, " nodes ", seed), func(t *testing.T) {
				modes(t, func(t *testing.T, subscribe bool) {
					r := newRegistry(t)
					r.each = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes))
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, follower(t, r, n, nodes, subscribe, seed))
					}
					time.Sleep(20 * time.Second)
					r.mu.Lock()
					r.list, r.revision = entry("s0", "draining")+","+entry("s1", "up"), 3
					r.mu.Unlock()
					before := r.asked()
					for _, l := range fleet {
						l.discovery.Move("new:1")
					}
					time.Sleep(4*time.Second + drainGrace)
					late := 0
					for _, l := range fleet {
						if !drains(l) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes hear too late that a server drains", late)
					}
					if calls := r.asked() - before; calls > 4*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
				})
			})
		}
	}
}

// Each way in which a call can go wrong, at the start and later, once and twice in a row: a drain that it
// hides, wholly or in part, is known before the grace is over.
func TestDrainsAreHeardPastBrokenCalls(t *testing.T) {
	for _, how := range []string{"silent", "silent in its head", "silent in its body", "trickling", "reset", "no HTTP",
		"malformed", "bad entry", "503", "queued", "late"} {
		for _, nodes := range []int{2, 350} {
			for _, first := range []int{1, 4} {
				for _, times := range []int{1, 2} {
					t.Run(fmt.Sprintf("%s, call %d, %d times, %d nodes", how, first, times, nodes), func(t *testing.T) {
						modes(t, func(t *testing.T, subscribe bool) {
							if how == "queued" && !subscribe {
								return // what a pushed list's agent has counts at once: none may wait in a queue
							}
							for seed := range uint64(10) {
								r, begun := newRegistry(t), make(chan struct{})
								r.spoil = func(n int) string {
									if n < first || n >= first+times {
										return ""
									}
									if n == first {
										r.change(entry("s0", "draining"))
										close(begun)
									}
									return how
								}
								l := follower(t, r, 0, nodes, subscribe, seed)
								<-begun
								drained := time.Now()
								synctest.Wait()
								told := r.toldAt("0")
								if how == "late" { // told as it is written
									told = drained.Add(10 * time.Second)
								}
								if strings.Contains(how, " in its ") || how == "trickling" && times > 1 {
									told = drained.Add(6 * time.Second) // it was not written whole
								}
								if told.IsZero() { // the node has no watch, and no answer had begun
									if told = drained; subscribe {
										told = told.Add(6 * time.Second)
									}
								}
								time.Sleep(time.Until(told.Add(drainGrace)))
								if !drains(l) {
									t.Errorf("seed %d: the drain is not known %v after it was told; calls at %v", seed, drainGrace, ago(r, drained))
								}
							}
						})
					})
				}
			}
		}
	}
}

// ago tells when the calls came.
func ago(r *registry, from time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for i, at := range r.calls {
		fmt.Fprintf(&b, "%v?%s ", at.Sub(from), r.queries[i])
	}
	return b.String()
}

// After SIGHUP news counts 4 s later, whatever the node was about: a silent watch, an old address that was
// down and is left alone for a while, a first answer that goes wrong.
func TestMovedNodesHearInTime(t *testing.T) {
	for _, before := range []string{"", "silent", "down"} {
		for _, answer := range []string{"", "silent", "malformed", "a part", "503", "reset", "trickling"} {
			t.Run(fmt.Sprintf("%q then %q", before, answer), func(t *testing.T) {
				modes(t, func(t *testing.T, subscribe bool) {
					for seed := range uint64(10) {
						r := newRegistry(t)
						l := follower(t, r, 0, 350, subscribe, seed)
						time.Sleep(15 * time.Second)
						switch before {
						case "silent":
							r.silence()
						case "down":
							r.mu.Lock()
							r.gone["old:1"] = true
							r.mu.Unlock()
							r.change(entry("s1", "up")) // answers the watch, and the next call fails
							time.Sleep(20 * time.Second)
						}
						time.Sleep(time.Duration(seed) * 300 * time.Millisecond)
						r.mu.Lock()
						r.list = entry("s0", "draining") + "," + entry("s1", "up")
						r.revision = 3 // of the new address
						n := len(r.calls)
						r.spoil = func(call int) string {
							if call == n+1 {
								return answer
							}
							return ""
						}
						r.mu.Unlock()
						l.discovery.Move("new:1")
						moved := time.Now()
						time.Sleep(4*time.Second + drainGrace)
						if !drains(l) {
							t.Errorf("seed %d: the drain is not known; calls at %v", seed, ago(r, moved))
						}
					}
				})
			})
		}
	}
}

// Discovery is down for some seconds and back, and servers drain while it is away or at its return. Pushed lists
// are heard at once, and those that are asked for within 6 s of the moment from which discovery can be reached,
// whether it refused connections meanwhile or answered that it is overbooked, and with some calls at its return
// turned away, reset or lost.
func TestDrainsAreHeardAsDiscoveryComesBack(t *testing.T) {
	for _, away := range []string{"refused", "503", "reset"} {
		for _, back := range []string{"", "503", "reset", "silent"} {
			for _, nodes := range []int{2, largestFleet} {
				t.Run(fmt.Sprintf("%s then %q, %d nodes", away, back, nodes), func(t *testing.T) {
					modes(t, func(t *testing.T, subscribe bool) {
						for seed := range uint64(10) {
							r := newRegistry(t)
							l := follower(t, r, 0, nodes, subscribe, seed)
							time.Sleep(15 * time.Second)
							r.mu.Lock()
							r.down = away == "refused"
							r.spoil = func(int) string { return away }
							r.mu.Unlock()
							if seed%2 == 0 { // it answers the watch
								r.change(entry("s1", "up"))
							} else {
								r.reset()
							}
							time.Sleep(8*time.Second + time.Duration(seed)*100*time.Millisecond)
							r.change(entry("s0", "draining"))
							r.mu.Lock()
							n := len(r.calls)
							r.down = false
							r.spoil = func(call int) string {
								if call == n+1 {
									return back
								}
								return ""
							}
							r.mu.Unlock()
							returned := time.Now()
							grace := drainGrace
							if subscribe || back == "silent" {
								grace += 6 * time.Second
							}
							time.Sleep(grace)
							if !drains(l) {
								t.Errorf("seed %d: the drain is not known; calls at %v", seed, ago(r, returned))
							}
						}
					})
				})
			}
		}
	}
}

// A whole fleet without discovery for 8 s hears of drains in time once it is back, and its calls don't come in step.
func TestFleetHearsOfDrainsAsDiscoveryComesBack(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 40, largestFleet} {
		for _, away := range []string{"refused", "503"} {
			t.Run(fmt.Sprint(nodes, " nodes ", away), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					time.Sleep(time.Nanosecond)
					r := newRegistry(t)
					r.each = min(355*time.Millisecond, 5*time.Second/time.Duration(nodes))
					var fleet []*loop
					for n := range nodes {
						fleet = append(fleet, follower(t, r, n, nodes, true, 1))
					}
					time.Sleep(20 * time.Second)
					r.mu.Lock()
					r.down = away == "refused"
					if !r.down {
						r.spoil = func(int) string { return away }
					}
					r.mu.Unlock()
					r.reset()
					time.Sleep(8 * time.Second)
					r.change(entry("s0", "draining"))
					r.mu.Lock()
					r.down, r.spoil = false, func(int) string { return "" }
					before, free := len(r.calls), time.Now()
					if r.free.After(free) {
						r.free = free
					}
					r.mu.Unlock()
					time.Sleep(6*time.Second + drainGrace)
					late := 0
					for _, l := range fleet {
						if !drains(l) {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%d nodes hear too late that a server drains", late)
					}
					calls := r.asked() - before
					if calls > 7*nodes {
						t.Errorf("%d calls by %d nodes meanwhile", calls, nodes)
					}
					r.mu.Lock()
					defer r.mu.Unlock()
					for i := before; i+nodes/4 < len(r.calls); i++ { // a quarter of them in a tenth of a second is in step
						if nodes >= 40 && r.calls[i+nodes/4].Sub(r.calls[i]) < 100*time.Millisecond {
							t.Fatalf("%d of %d nodes call within %v", nodes/4, nodes, r.calls[i+nodes/4].Sub(r.calls[i]))
						}
					}
				})
			})
		}
	}
}

// longestModulePause is the longest time after which the module asks again: 1.5 times a quarter of 6 s.
const longestModulePause = 2250 * time.Millisecond

// Where lists are asked for, the module says when, once news that calls may have missed has counted as told in
// vain; it hears of that once, and no call goes out for as long as it may take to ask.
func TestAskedListsTellFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Nanosecond)
		r, told := newRegistry(t), make(chan discovery.Update, 100)
		r.spoil = func(int) string { return "503" }
		c := testConfig(t, knownList("127.0.0.1:9"))
		c.Discovery, c.Settings.Subscribe, c.Settings.Rules.DrainGrace = "old:1", true, drainGrace
		follow := c.discoveryConfig()
		follow.Dial = r.dial("0")
		d := discovery.New(follow, func(n discovery.Update) { told <- n })
		ctx, cancel := context.WithCancel(t.Context())
		var parts sync.WaitGroup
		parts.Go(func() { d.Run(ctx) })
		defer parts.Wait()
		defer cancel()
		for range 3 {
			d.RequestUpdates(true)
			began := time.Now()
			if n := <-told; n.Kind != policy.ListUnavailable {
				t.Fatalf("news %+v", n)
			}
			if after := time.Since(began); after > 6*time.Second+drainGrace+time.Second {
				t.Errorf("the module hears of failures after %v", after)
			}
			before := r.asked()
			time.Sleep(longestModulePause)
			if n := r.asked() - before; n > 0 || len(told) > 0 {
				t.Errorf("%d calls and %d news before the module asked", n, len(told))
			}
		}
		r.mu.Lock()
		r.spoil = func(int) string { return "" }
		r.mu.Unlock()
		r.change(entry("s1", "up"))
		d.RequestUpdates(true)
		if n := <-told; n.Kind != policy.ListUpdate || len(n.Members) != 1 {
			t.Errorf("news %+v", n)
		}
	})
}

// A discovery that takes long for each call is heard all the same, for calls are not given up in its queue
// time and again.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	modes(t, func(t *testing.T, subscribe bool) {
		for _, each := range []time.Duration{1900 * time.Millisecond, 2900 * time.Millisecond, 5 * time.Second} {
			r := newRegistry(t)
			r.each, r.patience = each, 10*time.Second
			l := follower(t, r, 0, 350, subscribe, 1)
			time.Sleep(15 * time.Second)
			r.silence()
			r.change(entry("s0", "draining"))
			time.Sleep(40 * time.Second)
			if !drains(l) {
				t.Errorf("%v a call: the drain is not known 40 s later; calls at %s", each, ago(r, time.Now()))
			}
		}
	})
}

// A watch that nothing happens on costs one call in 2.6 s on average, the most that silent ones leave room for
// with a grace of a second.
func TestQuietWatchesCostFewCalls(t *testing.T) {
	for nodes, want := range map[int][2]int{1: {330, 360}, 2: {330, 360}, 350: {300, 390}} {
		modes(t, func(t *testing.T, subscribe bool) {
			r := newRegistry(t)
			follower(t, r, 0, nodes, subscribe, 1)
			time.Sleep(15 * time.Minute)
			if n := r.asked(); n < want[0] || n > want[1] {
				t.Errorf("%d calls of one of %d nodes in a quarter of an hour, want %v", n, nodes, want)
			}
		})
	}
}

// Changes that come faster than calls are worth gather for a tenth of a second; one by itself is heard at once, also
// right after such a burst.
func TestBurstsOfChangesGather(t *testing.T) {
	modes(t, func(t *testing.T, subscribe bool) {
		for _, nodes := range []int{1, 350} {
			r := newRegistry(t)
			l := follower(t, r, 0, nodes, subscribe, 1)
			time.Sleep(20 * time.Second)
			for _, phase := range []string{"draining", "up", "draining"} { // each by itself
				r.change(entry("s0", phase))
				synctest.Wait()
				if drains(l) != (phase == "draining") {
					t.Errorf("%d nodes: %s is not heard at once", nodes, phase)
				}
				time.Sleep(150 * time.Millisecond)
			}
			before := r.asked()
			for i := range 250 {
				r.change(entry("s0", []string{"up", "draining"}[i%2]))
				time.Sleep(4 * time.Millisecond)
			}
			if calls := r.asked() - before; calls > 14 || calls < 9 {
				t.Errorf("%d nodes: %d calls in a second of changes", nodes, calls)
			}
			r.change(entry("s0", "up"))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			if drains(l) {
				t.Errorf("%d nodes: the last change is not heard within a tenth of a second", nodes)
			}
			time.Sleep(150 * time.Millisecond)
			r.change(entry("s0", "draining"))
			synctest.Wait()
			if !drains(l) {
				t.Errorf("%d nodes: a change after the burst is not heard at once", nodes)
			}
		}
	})
}

// A drain that comes while changes gather counts as told at once, and is heard within the grace where the call that
// would have told it goes wrong.
func TestDrainsAreHeardPastAGatheringThatFails(t *testing.T) {
	for _, how := range []string{"503", "reset", "malformed", "no HTTP"} {
		t.Run(how, func(t *testing.T) {
			modes(t, func(t *testing.T, subscribe bool) {
				for seed := range uint64(10) {
					r := newRegistry(t)
					l := follower(t, r, 0, 350, subscribe, seed)
					time.Sleep(20 * time.Second)
					for range 3 { // each answers a watch, and the next comes at once but for the last
						r.change(entry("s1", "up"))
						synctest.Wait()
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(40 * time.Millisecond)
					r.mu.Lock()
					n := len(r.calls)
					r.spoil = func(call int) string {
						if call == n+1 {
							return how
						}
						return ""
					}
					r.mu.Unlock()
					r.change(entry("s0", "draining"))
					drained := time.Now()
					time.Sleep(drainGrace)
					if !drains(l) {
						t.Errorf("seed %d: the drain is not known; calls at %v", seed, ago(r, drained))
					}
				}
			})
		})
	}
}
