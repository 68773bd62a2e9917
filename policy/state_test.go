package policy

import (
	"strings"
	"testing"
	"time"
)

// A process that takes over goes on where the one before it stood: bucket levels, thresholds and what a
// cold server was sent are not granted anew. What is remembered of another process of a server is not
// believed, and clocks of different origins do not matter.
func TestSuccessorGoesOnWhereTheOldOneStood(t *testing.T) {
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

	const origin = time.Hour // of the new process's clock, at the moment at which the old one's shows 2 s
	list[1].OnlineSince += origin - now
	list[2].OnlineSince = origin // started anew
	next, err := New(testSettings(2), origin, 1)
	if err != nil {
		t.Fatal(err)
	}
	next.Restore(origin+10*ms, m, 10*ms)
	next.Handle(origin+10*ms, MemberList{Kind: ListRestored, Members: list})
	if ok, _ := next.admit("u", "free"); ok {
		t.Error("a tenant was handed a fresh burst")
	}
	if s := next.servers["s00"]; s.threshold != 7.5 || !s.thresholdCut {
		t.Errorf("threshold %v, felt %v", s.threshold, s.thresholdCut)
	}
	if got := next.servers["s01"].cold.tokens; got != -2 {
		t.Errorf("the cold server's budget is at %v, want -2", got)
	}
	if got := next.servers["s02"].cold.tokens; got < 0 {
		t.Errorf("a new process of a server has the old one's budget, %v", got)
	}
	if next.warmRates["k1"] != 44 {
		t.Errorf("rates %v", next.warmRates)
	}
}

// A server that the old process had taken out of service stays out for the rest of that time, and is tried
// before it is used; but not where more are out than any process takes out by itself.
func TestSuccessorKeepsBreakers(t *testing.T) {
	for out, want := range map[int]int{0: 0, 1: 1, 2: 2, 3: 0} {
		old := newTestBalancer(t, testSettings(2), members(5))
		for i := range out {
			s := old.order()[i]
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
			t.Errorf("%d were out: %d still are, want %d", out, next.fleet.ejectedCount, want)
			continue
		}
		for i := range want {
			was, h := old.order()[i].health, next.servers[old.order()[i].Server].health
			rest := was.ejectedUntil - old.now - 500*ms
			if !h.ejected || h.hung != was.hung || h.ejections != was.ejections || h.ejectedUntil != time.Hour+rest || h.score != 0.6 {
				t.Errorf("%d were out: the breaker is %+v, was %+v; want %v more", out, h, was, rest)
			}
			if to := sentTo(t, next.Handle(time.Hour+ms, newRequest(string(rune('a'+i)), "free"))); to == old.order()[i].Server {
				t.Errorf("%d were out: %s is used", out, to)
			}
		}
	}
}

// Nothing remembered changes nothing, and what makes no sense does no harm.
func TestRecallOfNothing(t *testing.T) {
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
			t.Errorf("pace %v, threshold %v, takes %v, rates %v", b.pace, s.threshold, s.coldCapacity, b.warmRates)
		}
		b.Handle(time.Hour+time.Second, Request{ID: "r", Class: "free", Tenant: "t", ExpiresIn: time.Second})
		if b.servers["s00"].inflight != 1 {
			t.Error("a request was not sent")
		}
	}
}

// Nodes that start together ask for the list at different times, but one that takes over does so alone, and
// has to hear of drains as soon as the process before it would have.
func TestSuccessorAsksAtOnce(t *testing.T) {
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
		asked, later := len(actionsOfKind(acts, WatchList)), len(actionsOfKind(acts, SetTimer))
		if succeeds := len(m.Servers) > 0; (asked == 1) != succeeds || (later == 1) == succeeds {
			t.Errorf("with %d servers remembered: %d calls, %d timers", len(m.Servers), asked, later)
		}
	}
}

// The log's line names every server of a small fleet, and of a large one those that matter.
func TestLogLineOfManyServersIsBounded(t *testing.T) {
	small := newTestBalancer(t, testSettings(1), members(maxLoggedServers))
	if got := small.String(); strings.Count(got, "=0/") != maxLoggedServers || strings.Contains(got, "left_out") {
		t.Errorf("of %d servers: %s", maxLoggedServers, got)
	}
	b := newTestBalancer(t, testSettings(1), members(39000))
	b.now = time.Hour
	if got := b.String(); !strings.HasSuffix(got, " extra=0 left_out=39000 idle=39000 out=0") {
		t.Errorf("with nothing to do: %s", got)
	}
	b.order()[10000].inflight, b.order()[10000].lastSend = 2, b.now
	b.setEjected(b.order()[20000], true)
	b.order()[30000].lastAnswer = b.now - recentlyUsedFor
	b.order()[30001].lastAnswer = b.now - recentlyUsedFor - 1
	for _, i := range []int{30001, 30000, 10000} {
		b.markUsed(b.order()[i])
	}
	got := b.String()
	for i, want := range map[int]string{10000: "=2/6.0 ", 20000: "=0/6.0/out ", 30000: "=0/6.0 "} {
		if !strings.Contains(got, " "+b.order()[i].Server+want) {
			t.Errorf("server %d is left out: %s", i, got)
		}
	}
	if !strings.HasSuffix(got, " left_out=38997 idle=38997 out=0") {
		t.Errorf("the end is %q", got[max(0, len(got)-80):])
	}
	for _, s := range b.order() {
		b.setEjected(s, true)
	}
	looked := *b.visits
	got = b.String()
	looked = *b.visits - looked
	t.Logf("the line looks at %d entries", looked)
	if looked > 4*maxLoggedServers {
		t.Errorf("the line looks at %d entries", looked)
	}
	if n := strings.Count(got, "/out"); n != maxLoggedServers || len(got) > 30*maxLoggedServers {
		t.Errorf("%d servers in %d bytes, want %d", n, len(got), maxLoggedServers)
	}
	if !strings.HasSuffix(got, " left_out=38800 idle=0 out=38800") {
		t.Errorf("the end is %q", got[max(0, len(got)-80):])
	}
}
