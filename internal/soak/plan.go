// Package soak runs many real node processes on loopback under overlapping disruptions, generated from a seed, and checks
// what their clients, servers and discovery observe against the rules that nodes have to keep. Read Plan first, then
// Execute in run.go, which runs it, and Checker in judge.go, which checks the rules.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of disruption: an injected fault, an operator's action or a client's misbehaviour.
type Kind string

// The kinds of disruptions, by what they affect.
const (
	NodeTerm           Kind = "term"            // SIGTERM; a new process starts after the old one has ended
	NodeKill           Kind = "kill"            // SIGKILL; a new process starts at once
	NodeReload         Kind = "reload"          // the discovery address changes; SIGHUP up to three times in a row
	NodePause          Kind = "pause"           // SIGSTOP for up to 0.15 s, several times
	NodeUpgrade        Kind = "upgrade"         // a second process takes over
	NodeStandby        Kind = "standby"         // operators put it into standby for a while
	LogClosed          Kind = "log-closed"      // the reader of standard error closes the pipe
	LogStalled         Kind = "log-stalled"     // the reader of standard error stops reading
	ServerHang         Kind = "hang"            // requests are never answered
	ServerReset        Kind = "reset"           // connections are reset under requests
	ServerResetIdle    Kind = "forget"          // idle connections are reset
	ServerDoubleAnswer Kind = "twice"           // a second answer follows right after the first
	ServerEndless      Kind = "endless"         // answers never end
	ServerSmallWrites  Kind = "pieces"          // answers arrive in small writes, some without a length
	ServerErrors       Kind = "errors"          // answers are errors and refusals
	ServerLate         Kind = "late"            // answers are delayed
	ServerDrain        Kind = "drain"           // listed as draining, then up again
	ServerRemove       Kind = "remove"          // removed from the list, then listed again
	ServerCold         Kind = "cold"            // restarts and is in slow start
	RegistryDown       Kind = "registry-down"   // calls are reset
	RegistrySilent     Kind = "registry-silent" // calls are never answered
	RegistrySlow       Kind = "registry-slow"   // answers are delayed
	RegistryReset      Kind = "registry-reset"  // open watches are reset once
	ClientsLeave       Kind = "leave"           // clients close before the answer
	ClientsFlood       Kind = "flood"           // clients send many more requests after one, then close
	ClientsStall       Kind = "stop-midway"     // clients stop in the middle of a request and keep the connection open
	ClientsSlow        Kind = "slow-clients"    // clients send requests in small writes
	ClientsIdle        Kind = "idle-clients"    // idle connections use up the descriptors
	ClientsPipeline    Kind = "pipeline"        // clients pipeline many requests
	SystemCallFaults   Kind = "system-calls"    // system calls of some nodes fail at random throughout the run
	WallClockSteps     Kind = "wall-steps"      // some nodes' wall clocks are stepped, by seconds or by an hour
)

// Kinds lists all kinds of disruptions.
var Kinds = []Kind{NodeTerm, NodeKill, NodeReload, NodePause, NodeUpgrade, NodeStandby, LogClosed, LogStalled, ServerHang, ServerReset,
	ServerResetIdle, ServerDoubleAnswer, ServerEndless, ServerSmallWrites, ServerErrors, ServerLate, ServerDrain, ServerRemove, ServerCold,
	RegistryDown, RegistrySilent, RegistrySlow, RegistryReset, ClientsLeave, ClientsFlood, ClientsStall, ClientsSlow, ClientsIdle,
	ClientsPipeline, SystemCallFaults, WallClockSteps}

// targetType returns what a kind's targets are: "nodes", "servers", or the empty string if it has none.
func (k Kind) targetType() string {
	switch k {
	case NodeTerm, NodeKill, NodeReload, NodePause, NodeUpgrade, NodeStandby, LogClosed, LogStalled, ClientsFlood, ClientsStall, ClientsIdle,
		ClientsPipeline:
		return "nodes"
	case ServerHang, ServerReset, ServerResetIdle, ServerDoubleAnswer, ServerEndless, ServerSmallWrites, ServerErrors, ServerLate, ServerDrain,
		ServerRemove, ServerCold:
		return "servers"
	}
	return ""
}

// Disruption is one disruption of a plan.
type Disruption struct {
	Kind     Kind          `json:"kind"`
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Targets  []int         `json:"targets,omitempty"` // numbers of nodes or servers, see targetType
}

// String describes the disruption in one line, for logs and printed plans.
func (d Disruption) String() string {
	return fmt.Sprintf("%s at %v for %v on %v", d.Kind, d.At.Round(time.Millisecond), d.Duration.Round(time.Millisecond), d.Targets)
}

// Options are the parameters of a run's plan.
type Options struct {
	Seed          uint64
	Duration      time.Duration
	Nodes         int
	Servers       int
	Kinds         []Kind  // the kinds to inject; empty: all
	Overload      bool    // servers get more requests than they can serve in time, and releases run throughout
	CPUShare      float64 // fraction of a core that each node gets in an overload; 0: random
	NoDisruptions bool    // an overload without disruptions
}

// Plan describes the load and the disruptions of a run. The same options, seed included, give the same plan.
type Plan struct {
	Seed        uint64        `json:"seed"`
	Duration    time.Duration `json:"duration"`
	Nodes       int           `json:"nodes"`
	Servers     int           `json:"servers"`
	Subscribe   bool          `json:"subscribe"` // nodes get the list in registry mode "subscribe"
	Hedging     bool          `json:"hedging"`   // two attempts of a request may be outstanding at once
	Rate        float64       `json:"rate"`      // requests a second to each node
	Disruptions []Disruption  `json:"troubles"`
	Overload    *Overload     `json:"overload,omitempty"`
	// NodeFaults are the faultpoint settings of the nodes whose system calls fail or whose clocks are stepped, by node.
	NodeFaults map[int]string `json:"faults,omitempty"`
}

const (
	quietStart    = 3 * time.Second // before the first disruption
	quietEnd      = 6 * time.Second // at the end of a run: no burst begins in it, and no disruption lasts into its second half
	burstInterval = 3 * time.Second // mean time from the middle of a burst's span to the start of the next burst
	burstSpan     = 2 * time.Second // in which the disruptions of a burst start
	quietPeriod   = time.Minute     // without bursts, at most once in a run of longRun or more
	longRun       = 3 * time.Minute
	minFullPlan   = 40 * time.Second // shortest run whose plan always has a drain and a slow start
	maxNodes      = 200
	maxServers    = 3200 // each server has its own listener
)

// NewPlan generates the plan of a run from its seed. Errors name the invalid option.
func NewPlan(o Options) (Plan, error) {
	switch {
	case o.Nodes < 1 || o.Nodes > maxNodes:
		return Plan{}, fmt.Errorf("nodes: want 1 to %d, got %d", maxNodes, o.Nodes)
	case o.Servers < 2 || o.Servers > maxServers:
		return Plan{}, fmt.Errorf("servers: want 2 to %d, got %d", maxServers, o.Servers)
	case o.CPUShare < 0 || o.CPUShare > 1:
		return Plan{}, fmt.Errorf("core: want 0 to 1, got %v", o.CPUShare)
	case o.Duration < quietStart+quietEnd:
		return Plan{}, fmt.Errorf("duration: want %v or more, got %v", quietStart+quietEnd, o.Duration)
	}
	kinds := o.Kinds
	if len(kinds) == 0 {
		kinds = Kinds
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	p := Plan{Seed: o.Seed, Duration: o.Duration, Nodes: o.Nodes, Servers: o.Servers, Subscribe: rng.IntN(2) == 0,
		Hedging: rng.IntN(4) == 0, Rate: 10 + 10*rng.Float64()}
	if o.Overload {
		// A separate generator makes the overload the same for every number of servers.
		p.Rate = overloadRate
		p.Overload = newOverload(rand.New(rand.NewPCG(o.Seed, 2)), o, p.Rate)
		if o.NoDisruptions {
			return p, nil
		}
	}
	kinds = p.chooseNodeFaults(rng, kinds)
	if len(kinds) == 0 {
		return p, nil
	}
	quiet := o.Duration >= longRun
	for at := quietStart; at < o.Duration-quietEnd; {
		if quiet && rng.IntN(4) == 0 {
			at += quietPeriod
			quiet = false
			continue
		}
		for range 2 + rng.IntN(2) {
			d := p.newDisruption(rng, kinds[rng.IntN(len(kinds))], at+time.Duration(rng.Float64()*float64(burstSpan)))
			if d.At+d.Duration < o.Duration-quietEnd/2 {
				p.Disruptions = append(p.Disruptions, d)
			}
		}
		at += burstSpan/2 + time.Duration(rng.ExpFloat64()*float64(burstInterval))
	}
	p.addRequired(rng, kinds)
	slices.SortStableFunc(p.Disruptions, func(a, b Disruption) int { return int(a.At - b.At) })
	return p, nil
}

// addRequired adds a drain and a slow start to a plan of minFullPlan or longer, where it has none.
func (p *Plan) addRequired(rng *rand.Rand, kinds []Kind) {
	if p.Duration < minFullPlan {
		return
	}
	for _, kind := range []Kind{ServerDrain, ServerCold} {
		planned := slices.ContainsFunc(p.Disruptions, func(d Disruption) bool { return d.Kind == kind })
		if !planned && slices.Contains(kinds, kind) {
			p.Disruptions = append(p.Disruptions, p.newDisruption(rng, kind, p.Duration/4+time.Duration(rng.Float64()*float64(p.Duration/4))))
		}
	}
}

// chooseNodeFaults chooses the nodes whose system calls fail or whose wall clocks are stepped, and returns the other kinds.
func (p *Plan) chooseNodeFaults(rng *rand.Rand, kinds []Kind) []Kind {
	p.NodeFaults = make(map[int]string)
	for node := range p.Nodes {
		spec := fmt.Sprintf("seed=%d", rng.Uint64()%1000)
		faulty := false
		if slices.Contains(kinds, SystemCallFaults) && rng.IntN(4) == 0 {
			faulty = true
			spec += ",accept=0.05,dial=0.05,read=0.05,write=0.02,config=0.5,folder=0.3"
		}
		if slices.Contains(kinds, WallClockSteps) && rng.IntN(4) == 0 {
			faulty = true
			step := []time.Duration{-time.Hour, -4 * time.Second, 4 * time.Second, time.Hour}[rng.IntN(4)]
			spec += fmt.Sprintf(",step=%v@%v", step, time.Duration(rng.Float64()*float64(p.Duration)).Round(time.Millisecond))
		}
		if faulty {
			p.NodeFaults[node] = spec
		}
	}
	return slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return k == SystemCallFaults || k == WallClockSteps })
}

// newDisruption returns a disruption of a kind that starts at the given time, with a random duration and targets.
func (p *Plan) newDisruption(rng *rand.Rand, kind Kind, at time.Duration) Disruption {
	d := Disruption{Kind: kind, At: at, Duration: time.Second + time.Duration(rng.Float64()*float64(4*time.Second))}
	var count, maxTargets int
	switch kind.targetType() {
	case "nodes":
		count, maxTargets = p.Nodes, max(1, p.Nodes/4)
	case "servers":
		count, maxTargets = p.Servers, max(1, p.Servers/3)
	default:
		return d
	}
	d.Targets = rng.Perm(count)[:1+rng.IntN(maxTargets)]
	slices.Sort(d.Targets)
	return d
}

// Affects reports whether the plan has a disruption of one of the kinds on a target.
func (p Plan) Affects(target int, kinds ...Kind) bool {
	for _, d := range p.Disruptions {
		if slices.Contains(kinds, d.Kind) && slices.Contains(d.Targets, target) {
			return true
		}
	}
	return false
}

// ParseKinds parses a comma-separated list of kinds.
func ParseKinds(text string) ([]Kind, error) {
	if text == "" {
		return nil, nil
	}
	var kinds []Kind
	for _, word := range strings.Split(text, ",") {
		kind := Kind(strings.TrimSpace(word))
		if !slices.Contains(Kinds, kind) {
			return nil, fmt.Errorf("faults: unknown kind %q; want one of %v", kind, Kinds)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}
