package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ruleNames returns the distinct rules of the findings.
func ruleNames(findings []Finding) []string {
	var names []string
	for _, f := range findings {
		if !slices.Contains(names, f.Rule) {
			names = append(names, f.Rule)
		}
	}
	return names
}

// Checks that each violation is reported under its own rule, and that behaviour just within a limit is not reported.
func TestCheckerReportsEachRule(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	get, mark, bill := defaultClasses[0], defaultClasses[1], defaultClasses[2]
	send := func(c *Checker, class Class) *request {
		r := c.AddRequest("r1", class, 3)
		c.Sent(r, now)
		return r
	}
	runAttempt := func(c *Checker, server int, began, ended time.Duration, notRun bool) {
		c.AttemptEnded(c.AttemptBegan("r1", server, at(began), -time.Hour), at(ended), notRun) // no stated deadline is too long
	}
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		run  func(c *Checker)
		want string // the rule reported; empty for none
	}{
		"plain request": {func(c *Checker) {
			r := send(c, bill)
			c.AttemptEnded(c.AttemptBegan("r1", 0, at(ms), bill.Deadline+deadlineSlack), at(9*ms), false)
			c.Answered(r, at(10*ms), 200, true)
		}, ""},
		"answer within the grace after its deadline": {func(c *Checker) { c.Answered(send(c, get), at(get.Deadline+answerGrace), 504, false) }, ""},
		"answer after the grace":                     {func(c *Checker) { c.Answered(send(c, get), at(get.Deadline+answerGrace+2*checkerSlack), 504, false) }, ruleLate},
		"no answer":                                  {func(c *Checker) { c.Unanswered(send(c, get), at(5*time.Second), "none", false) }, ruleUnanswered},
		"no answer from a killed node":               {func(c *Checker) { c.Unanswered(send(c, get), at(5*time.Second), "none", true) }, ""},
		"body of another request's answer":           {func(c *Checker) { c.Answered(send(c, get), at(ms), 200, false) }, ruleWrongAnswer},
		"request that no client sent":                {func(c *Checker) { c.AttemptBegan("r2", 0, now, 0) }, ruleUnknownRequest},
		"second attempt while the first is outstanding": {func(c *Checker) {
			send(c, get)
			a := c.AttemptBegan("r1", 0, at(ms), 0)
			runAttempt(c, 1, 100*ms, 110*ms, false)
			c.AttemptEnded(a, at(300*ms), false)
		}, ruleConcurrent},
		"second attempt as the first is cancelled": {func(c *Checker) {
			send(c, get)
			a := c.AttemptBegan("r1", 0, at(ms), 0)
			b := c.AttemptBegan("r1", 1, at(100*ms), 0)
			c.AttemptEnded(a, at(100*ms+overlapSlack), false)
			c.AttemptEnded(b, at(200*ms), false)
		}, ""},
		"repeat of a single_shot request that may have run": {func(c *Checker) {
			send(c, bill)
			runAttempt(c, 0, ms, 2*ms, false)
			runAttempt(c, 1, 3*ms, 4*ms, false)
		}, ruleUnsafe},
		"repeat of a single_shot request that was not run": {func(c *Checker) { send(c, bill); runAttempt(c, 0, ms, 2*ms, true); runAttempt(c, 1, 3*ms, 4*ms, false) }, ""},
		"repeat of a guarded request within its window": {func(c *Checker) {
			send(c, mark)
			runAttempt(c, 0, ms, 2*ms, false)
			runAttempt(c, 1, mark.Window, mark.Window+ms, false)
		}, ""},
		"repeat of a guarded request after its window": {func(c *Checker) {
			send(c, mark)
			runAttempt(c, 0, ms, 2*ms, false)
			runAttempt(c, 1, mark.Window+time.Second, mark.Window+time.Second, false)
		}, ruleWindow},
		"attempt within the grace after the client closed": {func(c *Checker) { c.Abandoned(send(c, get), at(ms)); runAttempt(c, 0, departureGrace, 200*ms, false) }, ""},
		"attempt long after the client closed":             {func(c *Checker) { c.Abandoned(send(c, get), at(ms)); runAttempt(c, 0, 300*ms, 300*ms, false) }, ruleDeparture},
		"stated deadline longer than the time left": {func(c *Checker) {
			send(c, get)
			c.AttemptBegan("r1", 0, at(get.Deadline/2), get.Deadline/2+deadlineSlack+checkerSlack)
		}, ruleDeadline},
		"send to a draining server long after the node was informed": {func(c *Checker) {
			c.ServerLeaving(0, at(-4*time.Second))
			c.LeaveDelivered(3, 0, at(-3*time.Second))
			send(c, get)
			runAttempt(c, 0, ms, 2*ms, false)
		}, ruleLeaving},
		"send to a draining server within the grace": {func(c *Checker) {
			c.ServerLeaving(0, at(-4*time.Second))
			c.LeaveDelivered(3, 0, at(-time.Second))
			send(c, get)
			runAttempt(c, 0, ms, 2*ms, false)
		}, ""},
		"send to a draining server whose drain was never delivered": {func(c *Checker) {
			c.ServerLeaving(0, at(-maxUpdateDelay-2*time.Second))
			send(c, get)
			runAttempt(c, 0, ms, 2*ms, false)
		}, ruleLeaving},
		"send to a draining server soon after a registry outage": {func(c *Checker) {
			c.RegistryOutage(true, at(-maxUpdateDelay-3*time.Second))
			c.ServerLeaving(0, at(-maxUpdateDelay-2*time.Second))
			c.RegistryOutage(false, at(-maxUpdateDelay))
			send(c, get)
			runAttempt(c, 0, ms, 2*ms, false)
		}, ""},
		"send to a server that is up again": {func(c *Checker) {
			c.ServerLeaving(0, at(-time.Hour))
			c.ServerReturned(0)
			send(c, get)
			runAttempt(c, 0, ms, 2*ms, false)
		}, ""},
		"refusal of a single_shot request that may have run": {func(c *Checker) {
			r := send(c, bill)
			runAttempt(c, 0, ms, 2*ms, false)
			c.Answered(r, at(3*ms), 503, false)
		}, ruleRefused},
		"refusal of a single_shot request that was not run": {func(c *Checker) {
			r := send(c, bill)
			runAttempt(c, 0, ms, 2*ms, true)
			c.Answered(r, at(3*ms), 503, false)
		}, ""},
		"bad peer closed at the limit":                  {func(c *Checker) { c.BadPeer(1, "half", badPeerLimit, true, false) }, ""},
		"bad peer not closed":                           {func(c *Checker) { c.BadPeer(1, "half", 2*badPeerLimit, false, false) }, ruleBadPeer},
		"slow start within its budget":                  {func(c *Checker) { sendDuringSlowStart(c, now, 30, true) }, ""},
		"slow start over its budget":                    {func(c *Checker) { sendDuringSlowStart(c, now, 200, true) }, ruleSlowStart},
		"slow start over its budget, node not informed": {func(c *Checker) { sendDuringSlowStart(c, now, 200, false) }, ""},
	} {
		c := NewChecker(false)
		tc.run(c)
		findings, _ := c.Finish()
		got := ruleNames(findings)
		if tc.want == "" && len(got) > 0 || tc.want != "" && !slices.Equal(got, []string{tc.want}) {
			t.Errorf("%s: findings %v, want rule %q", name, findings, tc.want)
		}
	}
}

// sendDuringSlowStart sends a server count requests, evenly over the first second of its slow start. informed tells whether
// the node had received the start.
func sendDuringSlowStart(c *Checker, now time.Time, count int, informed bool) {
	c.ColdStart(0, warmCapacity, now)
	if informed {
		c.StartDelivered(1, 0, now.Add(-time.Second))
	}
	for i := range count {
		id := fmt.Sprint("c", i)
		c.Sent(c.AddRequest(id, defaultClasses[0], 1), now)
		began := now.Add(time.Duration(i) * time.Second / time.Duration(count))
		c.AttemptEnded(c.AttemptBegan(id, 0, began, 0), began, false)
	}
}

// Checks that the same options give the same plan and another seed another one, that plans stay within their duration and
// cover all kinds with overlaps, and that invalid options are rejected.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	o := Options{Seed: 7, Duration: time.Minute, Nodes: 24, Servers: 10}
	first, err := NewPlan(o)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := NewPlan(o)
	if fmt.Sprint(first) != fmt.Sprint(again) {
		t.Error("the same seed gives different plans")
	}
	o.Seed = 8
	if other, _ := NewPlan(o); fmt.Sprint(first.Disruptions) == fmt.Sprint(other.Disruptions) {
		t.Error("different seeds give the same disruptions")
	}
	seen, overlaps := map[Kind]bool{}, 0
	for o.Seed = range 20 {
		p, err := NewPlan(o)
		if err != nil {
			t.Fatal(err)
		}
		if len(p.NodeFaults) == 0 {
			t.Errorf("seed %d: no node with failing system calls or a stepped wall clock", o.Seed)
		}
		for i, a := range p.Disruptions {
			seen[a.Kind] = true
			if i > 0 && a.At < p.Disruptions[i-1].At+p.Disruptions[i-1].Duration {
				overlaps++
			}
			if a.At < quietStart || a.At+a.Duration > o.Duration || len(a.Targets) == 0 && a.Kind.targetType() != "" {
				t.Errorf("seed %d: disruption starts too early, ends after the run or has no targets: %v", o.Seed, a)
			}
		}
	}
	if len(seen) != len(Kinds)-2 || overlaps < 100 {
		t.Errorf("20 seeds have %d of %d kinds and %d overlapping disruptions", len(seen), len(Kinds), overlaps)
	}
	for option, invalid := range map[string]Options{"nodes": {Duration: time.Minute, Servers: 10}, "servers": {Duration: time.Minute, Nodes: 1},
		"duration": {Nodes: 1, Servers: 2}} {
		if _, err := NewPlan(invalid); err == nil {
			t.Errorf("%s: invalid option accepted", option)
		}
	}
	if _, err := ParseKinds("term,nothing"); err == nil {
		t.Error("unknown kind accepted")
	}
}

// Checks that an overload does not depend on the number of servers, and that CompareUsage reports usage above each limit.
func TestCompareUsageBySize(t *testing.T) {
	o := Options{Seed: 7, Duration: time.Minute, Nodes: 3, Servers: 3200, Overload: true, NoDisruptions: true}
	large, err := NewPlan(o)
	if err != nil {
		t.Fatal(err)
	}
	o.Servers = 200
	usual, err := NewPlan(o)
	if err != nil {
		t.Fatal(err)
	}
	if *large.Overload != *usual.Overload || large.Rate != usual.Rate || large.Subscribe != usual.Subscribe {
		t.Errorf("overloads differ between two numbers of servers: %+v, %+v", large, usual)
	}
	base := usage{ProcessorTime: time.Second, MemoryKB: 20 << 10, Descriptors: 100, Opened: 100, ListBytes: 1 << 20, Served: 0.5}
	usualResult, largeResult := Result{Plan: usual, Usage: base}, Result{Plan: large, Usage: base}
	if lines, broken := CompareUsage(usualResult, largeResult); broken {
		t.Errorf("equal usage reported as too much: %q", lines)
	}
	for resource, change := range map[string]func(*usage){
		"processor":   func(u *usage) { u.ProcessorTime = 1520 * time.Millisecond },
		"memory":      func(u *usage) { u.MemoryKB = 52 << 10 },
		"descriptors": func(u *usage) { u.Descriptors = 241 },
		"connections": func(u *usage) { u.Opened = 291 },
		"lists":       func(u *usage) { u.ListBytes = 3.7 * (1 << 20) },
		"served":      func(u *usage) { u.Served = 0.42 },
	} {
		largeResult.Usage = base
		change(&largeResult.Usage)
		if lines, broken := CompareUsage(usualResult, largeResult); !broken {
			t.Errorf("%s: usage above the limit not reported: %q", resource, lines)
		}
	}
}

// Checks that every plan of minFullPlan or longer has a drain and a slow start.
func TestLongPlansHaveADrainAndASlowStart(t *testing.T) {
	for seed := range uint64(100) {
		p, err := NewPlan(Options{Seed: seed, Duration: minFullPlan, Nodes: 24, Servers: 10})
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range []Kind{ServerDrain, ServerCold} {
			if !slices.ContainsFunc(p.Disruptions, func(d Disruption) bool { return d.Kind == kind }) {
				t.Errorf("seed %d has no %s", seed, kind)
			}
		}
	}
}

// Checks that overload plans include all kinds of disruptions, and some nodes with failing system calls or stepped clocks.
func TestOverloadPlansHaveAllDisruptions(t *testing.T) {
	seen, faulty := map[Kind]bool{}, 0
	for seed := range uint64(20) {
		p, err := NewPlan(Options{Seed: seed, Duration: time.Minute, Nodes: 3, Servers: 3200, Overload: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range p.Disruptions {
			seen[d.Kind] = true
		}
		faulty += len(p.NodeFaults)
	}
	if len(seen) != len(Kinds)-2 || faulty < 10 || faulty > 50 {
		t.Errorf("20 overloads have %d of %d kinds, and %d of their 60 nodes have faults", len(seen), len(Kinds), faulty)
	}
}
