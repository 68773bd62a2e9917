package policy

import (
	"strings"
	"testing"
	"time"
)

// A successor continues with the state of the previous process: bucket levels, thresholds and the used budget of cold
// servers are not reset. The state of an earlier process of a server is discarded, and the two processes' clocks may
// have different origins.
func TestSuccessorContinuesWithRestoredState(t *testing.T) {
	list := members(3)
	list[1].OnlineSince = time.Second
	list[2].OnlineSince = time.Second
	old := newTestBalancer(t, testSettings(2), list)
	now := 2 * time.Second
	old.now = now
	for range 40 {
		old.admit("u", "free")
	}
	if ok, _ := old.admit("u", "free"); ok {
		t.Fatal("the bucket should be empty")
	}
	old.servers["s00"].threshold, old.servers["s00"].thresholdCut = 7.5, true
	old.servers["s01"].cold.tokens, old.servers["s02"].cold.tokens = -2, -2
	old.warmRates["k1"] = 44
	m := old.Snapshot(now)

	const origin = time.Hour // on the new process's clock, when the old one's shows 2 s
	list[1].OnlineSince += origin - now
	list[2].OnlineSince = origin // restarted
	next, err := New(testSettings(2), origin, 1)
	if err != nil {
		t.Fatal(err)
	}
	next.Restore(origin+10*ms, m, 10*ms)
	next.Handle(origin+10*ms, MemberList{Kind: ListRestored, Members: list})
	if ok, _ := next.admit("u", "free"); ok {
		t.Error("a tenant got a new burst")
	}
	if s := next.servers["s00"]; s.threshold != 7.5 || !s.thresholdCut {
		t.Errorf("threshold %v, thresholdCut %v, want 7.5 and true", s.threshold, s.thresholdCut)
	}
	if got := next.servers["s01"].cold.tokens; got != -2 {
		t.Errorf("the cold server's budget is %v, want -2", got)
	}
	if got := next.servers["s02"].cold.tokens; got < 0 {
		t.Errorf("a restarted server has its old process's budget, %v", got)
	}
	if next.warmRates["k1"] != 44 {
		t.Errorf("warm rates %v, want 44 for k1", next.warmRates)
	}
}

// A server that the old process ejected stays ejected for the rest of its time, and needs a trial before it is used.
// All ejections are ignored if they exceed the limit to which a process keeps by itself, maxEjectedFraction.
func TestSuccessorKeepsEjections(t *testing.T) {
	for ejected, want := range map[int]int{0: 0, 1: 1, 2: 2, 3: 0} {
		old := newTestBalancer(t, testSettings(2), members(5))
		for i := range ejected {
			s := old.packingOrder()[i]
			old.eject(s, i == 0)
			old.eject(s, i == 0)
			s.health.score = 0.6
		}
		m := old.Snapshot(old.now + 400*ms)
		next, err := New(testSettings(2), time.Hour, 1)
		if err != nil {
			t.Fatal(err)
		}
		next.Restore(time.Hour, m, 100*ms)
		next.Handle(time.Hour, MemberList{Kind: ListRestored, Members: members(5)})
		if next.fleet.ejectedCount != want {
			t.Errorf("%d ejected: %d after the restore, want %d", ejected, next.fleet.ejectedCount, want)
			continue
		}
		for i := range want {
			was, h := old.packingOrder()[i].health, next.servers[old.packingOrder()[i].Server].health
			rest := was.ejectedUntil - old.now - 500*ms
			if !h.ejected || h.hung != was.hung || h.ejections != was.ejections || h.ejectedUntil != time.Hour+rest || h.score != 0.6 {
				t.Errorf("%d ejected: the breaker is %+v, was %+v; want it ejected for %v more", ejected, h, was, rest)
			}
			if to := sentTo(t, next.Handle(time.Hour+ms, newRequest(string(rune('a'+i)), "free"))); to == old.packingOrder()[i].Server {
				t.Errorf("%d ejected: %s gets a request", ejected, to)
			}
		}
	}
}

// An empty Memory changes nothing, and impossible values in one are ignored or limited.
func TestRestoreOfEmptyOrInvalidMemory(t *testing.T) {
	for _, m := range []Memory{{}, {Pace: -1, Busy: 9, Rates: map[string]float64{"k0": -1},
		Buckets: []BucketMemory{{Tenant: "t", Tokens: -5, Age: -time.Hour}, {Tenant: "t", Class: "x", Tokens: 1 << 60}},
		Servers: []ServerMemory{{Server: "s00", Threshold: -1, Latency: -1, Takes: -1, ColdLevel: 100}}}} {
		b, err := New(testSettings(2), time.Hour, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Restore(time.Hour, m, -time.Second)
		b.Handle(time.Hour, MemberList{Kind: ListRestored, Members: members(3)})
		s := b.servers["s00"]
		if b.pace != 1 || s.threshold != b.initialThreshold(s) || s.coldCapacity != 0 || len(b.warmRates) != 0 {
			t.Errorf("pace %v, threshold %v, cold capacity %v, warm rates %v, want the initial state", b.pace, s.threshold, s.coldCapacity, b.warmRates)
		}
		b.Handle(time.Hour+time.Second, Request{ID: "r", Class: "free", Tenant: "t", ExpiresIn: time.Second})
		if b.servers["s00"].inFlight != 1 {
			t.Error("a request was not sent")
		}
	}
}

// Nodes that start together request the list at different times. A successor requests it at once: it starts alone, and
// must learn of drains as soon as the previous process would have.
func TestSuccessorRequestsListAtOnce(t *testing.T) {
	set := testSettings(48)
	set.Subscribe = true
	list := members(3)
	for _, m := range []Memory{{}, newTestBalancer(t, set, list).Snapshot(time.Second)} {
		b, err := New(set, time.Hour, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Restore(time.Hour, m, 0)
		acts := b.Handle(time.Hour, MemberList{Kind: ListRestored, Members: list})
		requested, deferred := len(actionsOfKind(acts, WatchList)), len(actionsOfKind(acts, SetTimer))
		if isSuccessor := len(m.Servers) > 0; (requested == 1) != isSuccessor || (deferred == 1) == isSuccessor {
			t.Errorf("with %d servers in the snapshot: %d list requests, %d timers", len(m.Servers), requested, deferred)
		}
	}
}

// The log line names every server of a small fleet. Of a large one it names at most maxLoggedServers, those that are in
// use or ejected, and visits few others.
func TestLogLineOfManyServersIsBounded(t *testing.T) {
	small := newTestBalancer(t, testSettings(1), members(maxLoggedServers))
	if got := small.String(); strings.Count(got, "=0/") != maxLoggedServers || strings.Contains(got, "left_out") {
		t.Errorf("with %d servers: %s", maxLoggedServers, got)
	}
	b := newTestBalancer(t, testSettings(1), members(39000))
	b.now = time.Hour
	if got := b.String(); !strings.HasSuffix(got, " extra=0 left_out=39000 idle=39000 out=0") {
		t.Errorf("with an idle fleet: %s", got)
	}
	b.packingOrder()[10000].inFlight, b.packingOrder()[10000].lastSend = 2, b.now
	b.setEjected(b.packingOrder()[20000], true)
	b.packingOrder()[30000].lastAnswer = b.now - recentlyUsedFor
	b.packingOrder()[30001].lastAnswer = b.now - recentlyUsedFor - 1
	for _, i := range []int{30001, 30000, 10000} {
		b.markUsed(b.packingOrder()[i])
	}
	got := b.String()
	for i, want := range map[int]string{10000: "=2/6.0 ", 20000: "=0/6.0/out ", 30000: "=0/6.0 "} {
		if !strings.Contains(got, " "+b.packingOrder()[i].Server+want) {
			t.Errorf("server %d is missing: %s", i, got)
		}
	}
	if !strings.HasSuffix(got, " left_out=38997 idle=38997 out=0") {
		t.Errorf("the line ends with %q", got[max(0, len(got)-80):])
	}
	for _, s := range b.packingOrder() {
		b.setEjected(s, true)
	}
	visited := *b.visits
	got = b.String()
	visited = *b.visits - visited
	t.Logf("writing the line visits %d entries", visited)
	if visited > 4*maxLoggedServers {
		t.Errorf("writing the line visits %d entries", visited)
	}
	if n := strings.Count(got, "/out"); n != maxLoggedServers || len(got) > 30*maxLoggedServers {
		t.Errorf("%d servers in %d bytes, want %d", n, len(got), maxLoggedServers)
	}
	if !strings.HasSuffix(got, " left_out=38800 idle=0 out=38800") {
		t.Errorf("the line ends with %q", got[max(0, len(got)-80):])
	}
}
