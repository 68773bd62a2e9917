package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// rules are those of the findings, each once.
func rules(findings []Finding) []string {
	var all []string
	for _, f := range findings {
		if !slices.Contains(all, f.Rule) {
			all = append(all, f.Rule)
		}
	}
	return all
}

// Each rule that a node breaks is found by its name, and what keeps to it just so is not.
func TestJudgeFindsEachRule(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	get, mark, bill := classes[0], classes[1], classes[2]
	send := func(j *Judge, class Class) *request {
		r := j.Begin("r1", class, 3)
		j.Sent(r, now)
		return r
	}
	try := func(j *Judge, server int, began, ended time.Duration, notRun bool) {
		j.AttemptEnded(j.AttemptBegan("r1", server, at(began), -time.Hour), at(ended), notRun) // whatever it tells
	}
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		play func(j *Judge)
		want string // the rule; empty: none
	}{
		"a plain request": {func(j *Judge) {
			r := send(j, bill)
			j.AttemptEnded(j.AttemptBegan("r1", 0, at(ms), bill.Deadline+deadlineSlack), at(9*ms), false)
			j.Answered(r, at(10*ms), 200, true)
		}, ""},
		"an answer in its grace":  {func(j *Judge) { j.Answered(send(j, get), at(get.Deadline+answerGrace), 504, false) }, ""},
		"a late answer":           {func(j *Judge) { j.Answered(send(j, get), at(get.Deadline+answerGrace+2*judgeSlack), 504, false) }, ruleLate},
		"no answer":               {func(j *Judge) { j.Unanswered(send(j, get), at(5*time.Second), "none", false) }, ruleUnanswered},
		"no answer from the dead": {func(j *Judge) { j.Unanswered(send(j, get), at(5*time.Second), "none", true) }, ""},
		"somebody else's answer":  {func(j *Judge) { j.Answered(send(j, get), at(ms), 200, false) }, ruleWrongAnswer},
		"a request of its own":    {func(j *Judge) { j.AttemptBegan("r2", 0, now, 0) }, ruleStranger},
		"a second attempt beside the first": {func(j *Judge) {
			send(j, get)
			a := j.AttemptBegan("r1", 0, at(ms), 0)
			try(j, 1, 100*ms, 110*ms, false)
			j.AttemptEnded(a, at(300*ms), false)
		}, ruleConcurrent},
		"a second attempt as the first is given up": {func(j *Judge) {
			send(j, get)
			a := j.AttemptBegan("r1", 0, at(ms), 0)
			b := j.AttemptBegan("r1", 1, at(100*ms), 0)
			j.AttemptEnded(a, at(100*ms+overlapSlack), false)
			j.AttemptEnded(b, at(200*ms), false)
		}, ""},
		"an unsafe repeat":             {func(j *Judge) { send(j, bill); try(j, 0, ms, 2*ms, false); try(j, 1, 3*ms, 4*ms, false) }, ruleUnsafe},
		"an unsafe repeat that is not": {func(j *Judge) { send(j, bill); try(j, 0, ms, 2*ms, true); try(j, 1, 3*ms, 4*ms, false) }, ""},
		"a keyed repeat": {func(j *Judge) {
			send(j, mark)
			try(j, 0, ms, 2*ms, false)
			try(j, 1, mark.Window, mark.Window+ms, false)
		}, ""},
		"a keyed repeat after its window": {func(j *Judge) {
			send(j, mark)
			try(j, 0, ms, 2*ms, false)
			try(j, 1, mark.Window+time.Second, mark.Window+time.Second, false)
		}, ruleWindow},
		"an attempt for one who has just left": {func(j *Judge) { j.Left(send(j, get), at(ms)); try(j, 0, departureGrace, 200*ms, false) }, ""},
		"an attempt for one who has left":      {func(j *Judge) { j.Left(send(j, get), at(ms)); try(j, 0, 300*ms, 300*ms, false) }, ruleDeparture},
		"too much time told": {func(j *Judge) {
			send(j, get)
			j.AttemptBegan("r1", 0, at(get.Deadline/2), get.Deadline/2+deadlineSlack+judgeSlack)
		}, ruleDeadline},
		"a send to a draining server of which it was told": {func(j *Judge) {
			j.ServerLeaves(0, at(-4*time.Second))
			j.Told(3, 0, at(-3*time.Second))
			send(j, get)
			try(j, 0, ms, 2*ms, false)
		}, ruleLeaving},
		"a send to a draining server in its grace": {func(j *Judge) {
			j.ServerLeaves(0, at(-4*time.Second))
			j.Told(3, 0, at(-time.Second))
			send(j, get)
			try(j, 0, ms, 2*ms, false)
		}, ""},
		"a send to a draining server that nobody told of": {func(j *Judge) {
			j.ServerLeaves(0, at(-newsLatest-2*time.Second))
			send(j, get)
			try(j, 0, ms, 2*ms, false)
		}, ruleLeaving},
		"the same after an outage": {func(j *Judge) {
			j.Outage(true, at(-newsLatest-3*time.Second))
			j.ServerLeaves(0, at(-newsLatest-2*time.Second))
			j.Outage(false, at(-newsLatest))
			send(j, get)
			try(j, 0, ms, 2*ms, false)
		}, ""},
		"a send to a server that came back": {func(j *Judge) {
			j.ServerLeaves(0, at(-time.Hour))
			j.ServerReturns(0)
			send(j, get)
			try(j, 0, ms, 2*ms, false)
		}, ""},
		"a refusal of what may have run":      {func(j *Judge) { r := send(j, bill); try(j, 0, ms, 2*ms, false); j.Answered(r, at(3*ms), 503, false) }, ruleRefused},
		"a refusal of what never ran":         {func(j *Judge) { r := send(j, bill); try(j, 0, ms, 2*ms, true); j.Answered(r, at(3*ms), 503, false) }, ""},
		"a bad peer in time":                  {func(j *Judge) { j.BadPeer(1, "half", badPeerLimit, true, false) }, ""},
		"a bad peer that stays":               {func(j *Judge) { j.BadPeer(1, "half", 2*badPeerLimit, false, false) }, ruleBadPeer},
		"a slow start":                        {func(j *Judge) { sendCold(j, now, 30, true) }, ""},
		"a server pushed over":                {func(j *Judge) { sendCold(j, now, 200, true) }, ruleSlowStart},
		"one pushed over by who was not told": {func(j *Judge) { sendCold(j, now, 200, false) }, ""},
	} {
		j := NewJudge(false)
		c.play(j)
		findings, _ := j.Close()
		got := rules(findings)
		if c.want == "" && len(got) > 0 || c.want != "" && !slices.Equal(got, []string{c.want}) {
			t.Errorf("%s: found %v, want %q", name, findings, c.want)
		}
	}
}

// sendCold sends a server requests in the first second of its slow start.
func sendCold(j *Judge, now time.Time, count int, told bool) {
	j.ColdStart(0, warmCapacity, now)
	if told {
		j.ToldStart(1, 0, now.Add(-time.Second))
	}
	for i := range count {
		id := fmt.Sprint("c", i)
		j.Sent(j.Begin(id, classes[0], 1), now)
		began := now.Add(time.Duration(i) * time.Second / time.Duration(count))
		j.AttemptEnded(j.AttemptBegan(id, 0, began, 0), began, false)
	}
}

// The same options draw the same plan, and another seed another.
func TestPlansAreDrawnBySeed(t *testing.T) {
	o := Options{Seed: 7, Duration: time.Minute, Nodes: 24, Servers: 10}
	first, err := Draw(o)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Draw(o)
	if fmt.Sprint(first) != fmt.Sprint(again) {
		t.Error("a seed draws two plans")
	}
	o.Seed = 8
	if other, _ := Draw(o); fmt.Sprint(first.Troubles) == fmt.Sprint(other.Troubles) {
		t.Error("two seeds draw one plan")
	}
	struck, overlaps := map[Kind]bool{}, 0
	for o.Seed = range 20 {
		p, err := Draw(o)
		if err != nil {
			t.Fatal(err)
		}
		if len(p.Faults) == 0 {
			t.Errorf("seed %d: no node's system calls fail, and no wall clock is stepped", o.Seed)
		}
		for i, a := range p.Troubles {
			struck[a.Kind] = true
			if i > 0 && a.At < p.Troubles[i-1].At+p.Troubles[i-1].For {
				overlaps++
			}
			if a.At < calmStart || a.At+a.For > o.Duration || len(a.Targets) == 0 && a.Kind.strikes() != "" {
				t.Errorf("seed %d: %v", o.Seed, a)
			}
		}
	}
	if len(struck) != len(Kinds)-2 || overlaps < 100 {
		t.Errorf("20 seeds strike with %d of %d kinds, and %d troubles overlap", len(struck), len(Kinds), overlaps)
	}
	for name, bad := range map[string]Options{"nodes": {Duration: time.Minute, Servers: 10}, "servers": {Duration: time.Minute, Nodes: 1},
		"duration": {Nodes: 1, Servers: 2}} {
		if _, err := Draw(bad); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if _, err := ParseKinds("term,nothing"); err == nil {
		t.Error("an unknown kind is taken")
	}
}

// An overload is the same at each number of servers but for these, and what nodes needed is held against the table.
func TestOverloadsAreComparedBySize(t *testing.T) {
	o := Options{Seed: 7, Duration: time.Minute, Nodes: 3, Servers: 3200, Overload: true, Calm: true}
	large, err := Draw(o)
	if err != nil {
		t.Fatal(err)
	}
	o.Servers = 200
	usual, err := Draw(o)
	if err != nil {
		t.Fatal(err)
	}
	if *large.Overload != *usual.Overload || large.Rate != usual.Rate || large.Subscribe != usual.Subscribe {
		t.Errorf("other overloads at two sizes: %+v, %+v", large, usual)
	}
	needs := usage{ProcessorTime: time.Second, MemoryKB: 20 << 10, Descriptors: 100, Opened: 100, ListBytes: 1 << 20, Served: 0.5}
	was, is := Result{Plan: usual, Usage: needs}, Result{Plan: large, Usage: needs}
	if lines, broken := Growth(was, is); broken {
		t.Errorf("the same needs are held to be too much: %q", lines)
	}
	for what, change := range map[string]func(*usage){
		"processor":   func(u *usage) { u.ProcessorTime = 1520 * time.Millisecond },
		"memory":      func(u *usage) { u.MemoryKB = 52 << 10 },
		"descriptors": func(u *usage) { u.Descriptors = 241 },
		"connections": func(u *usage) { u.Opened = 291 },
		"lists":       func(u *usage) { u.ListBytes = 3.7 * (1 << 20) },
		"served":      func(u *usage) { u.Served = 0.42 },
	} {
		is.Usage = needs
		change(&is.Usage)
		if lines, broken := Growth(was, is); !broken {
			t.Errorf("%s: too much is not found: %q", what, lines)
		}
	}
}

// Every plan of some length has a drain and a slow start.
func TestLongPlansHaveADrainAndASlowStart(t *testing.T) {
	for seed := range uint64(100) {
		p, err := Draw(Options{Seed: seed, Duration: leastRun, Nodes: 24, Servers: 10})
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range []Kind{ServerDrain, ServerCold} {
			if !slices.ContainsFunc(p.Troubles, func(t Trouble) bool { return t.Kind == kind }) {
				t.Errorf("seed %d has no %s", seed, kind)
			}
		}
	}
}

// Overloads come with all troubles that there are, and some of their nodes with failing system calls and stepped clocks.
func TestOverloadsComeWithAllTroubles(t *testing.T) {
	struck, faulty := map[Kind]bool{}, 0
	for seed := range uint64(20) {
		p, err := Draw(Options{Seed: seed, Duration: time.Minute, Nodes: 3, Servers: 3200, Overload: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, trouble := range p.Troubles {
			struck[trouble.Kind] = true
		}
		faulty += len(p.Faults)
	}
	if len(struck) != len(Kinds)-2 || faulty < 10 || faulty > 50 {
		t.Errorf("20 overloads strike with %d of %d kinds, and %d of their 60 nodes have faults", len(struck), len(Kinds), faulty)
	}
}
