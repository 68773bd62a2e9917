// Package soak runs many real node processes on loopback under overlapping troubles that a seed draws, and judges what
// their clients, servers and discovery saw by the rules that nodes have to keep.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind names a trouble.
type Kind string

// The troubles, by what they strike.
const (
	NodeTerm     Kind = "term"        // SIGTERM; a new process starts once the old one has ended
	NodeKill     Kind = "kill"        // SIGKILL; a new process starts at once
	NodeReload   Kind = "reload"      // discovery moves, SIGHUP up to three times in a row
	NodePause    Kind = "pause"       // SIGSTOP for up to 0.15 s, several times
	NodeUpgrade  Kind = "upgrade"     // a second process takes over
	NodeStandby  Kind = "standby"     // operators send its clients away for a while
	LogClosed    Kind = "log-closed"  // the reader of standard error goes
	LogStalled   Kind = "log-stalled" // it stops reading
	ServerHang   Kind = "hang"        // requests are never answered
	ServerReset  Kind = "reset"       // connections are reset under requests
	ServerForget Kind = "forget"      // connections at rest are reset
	ServerTwice  Kind = "twice"       // a second answer comes right behind the first
	ServerEnd    Kind = "endless"     // answers never end
	ServerPieces Kind = "pieces"      // answers come in pieces, some without a length
	ServerErrors Kind = "errors"      // errors and refusals
	ServerLate   Kind = "late"        // answers come late
	ServerDrain  Kind = "drain"       // listed as draining, then as up again
	ServerRemove Kind = "remove"      // taken off the list, then listed again
	ServerCold   Kind = "cold"        // restarts, and is in slow start
	RegistryDown Kind = "registry-down"
	RegistryMute Kind = "registry-silent"
	RegistrySlow Kind = "registry-slow"
	RegistryCut  Kind = "registry-reset" // open watches are reset once
	ClientsLeave Kind = "leave"          // clients close before their answer
	ClientsFlood Kind = "flood"          // clients send far more behind a request, and go
	ClientsStop  Kind = "stop-midway"    // clients stop in the middle of a request, and stay
	ClientsSlow  Kind = "slow-clients"   // clients write in pieces
	ClientsIdle  Kind = "idle-clients"   // idle connections fill the descriptors
	ClientsQueue Kind = "pipeline"       // clients send many requests at once
	SystemCalls  Kind = "system-calls"   // of some nodes fail now and then, all through the run
	WallSteps    Kind = "wall-steps"     // of some nodes' wall clocks, by seconds or by an hour
)

// Kinds are all troubles.
var Kinds = []Kind{NodeTerm, NodeKill, NodeReload, NodePause, NodeUpgrade, NodeStandby, LogClosed, LogStalled, ServerHang, ServerReset,
	ServerForget, ServerTwice, ServerEnd, ServerPieces, ServerErrors, ServerLate, ServerDrain, ServerRemove, ServerCold,
	RegistryDown, RegistryMute, RegistrySlow, RegistryCut, ClientsLeave, ClientsFlood, ClientsStop, ClientsSlow, ClientsIdle,
	ClientsQueue, SystemCalls, WallSteps}

// strikes tells what a kind's targets are numbers of.
func (k Kind) strikes() string {
	switch k {
	case NodeTerm, NodeKill, NodeReload, NodePause, NodeUpgrade, NodeStandby, LogClosed, LogStalled, ClientsFlood, ClientsStop, ClientsIdle,
		ClientsQueue:
		return "nodes"
	case ServerHang, ServerReset, ServerForget, ServerTwice, ServerEnd, ServerPieces, ServerErrors, ServerLate, ServerDrain,
		ServerRemove, ServerCold:
		return "servers"
	}
	return ""
}

// Trouble is one trouble of a plan.
type Trouble struct {
	Kind    Kind          `json:"kind"`
	At      time.Duration `json:"at"`
	For     time.Duration `json:"for"`
	Targets []int         `json:"targets,omitempty"` // nodes or servers, by what the kind strikes
}

// String is the trouble in one line, for the progress.
func (t Trouble) String() string {
	return fmt.Sprintf("%s at %v for %v on %v", t.Kind, t.At.Round(time.Millisecond), t.For.Round(time.Millisecond), t.Targets)
}

// Options are what a run is asked for.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Nodes    int
	Servers  int
	Faults   []Kind  // the only kinds; empty: all
	Overload bool    // servers get more than they can do in time, and a release goes on all the while
	Core     float64 // part of a core that each node gets in an overload; 0: it is drawn
	Calm     bool    // an overload without troubles
}

// Plan is what a seed draws: the same options draw the same plan.
type Plan struct {
	Seed      uint64        `json:"seed"`
	Duration  time.Duration `json:"duration"`
	Nodes     int           `json:"nodes"`
	Servers   int           `json:"servers"`
	Subscribe bool          `json:"subscribe"` // discovery has to be asked
	Hedging   bool          `json:"hedging"`   // two attempts of a request may be out at once
	Rate      float64       `json:"rate"`      // requests a second to each node
	Troubles  []Trouble     `json:"troubles"`
	Overload  *Overload     `json:"overload,omitempty"`
	// Faults are what the nodes are told whose system calls fail and whose clocks are stepped, by their number.
	Faults map[int]string `json:"faults,omitempty"`
}

const (
	calmStart  = 3 * time.Second // before the first trouble
	calmEnd    = 6 * time.Second // after the last
	groupApart = 3 * time.Second // mean time between the beginnings of two groups of troubles
	groupSpan  = 2 * time.Second // in which the troubles of a group begin
	quietTime  = time.Minute     // before some groups, where a run is long
	longRun    = 3 * time.Minute
	leastRun   = 40 * time.Second // of plans that have a drain and a slow start
	maxNodes   = 200
	maxServers = 3200 // each has a listener of its own
)

// Draw draws the plan of a run. Errors name the option.
func Draw(o Options) (Plan, error) {
	switch {
	case o.Nodes < 1 || o.Nodes > maxNodes:
		return Plan{}, fmt.Errorf("nodes: want 1 to %d, got %d", maxNodes, o.Nodes)
	case o.Servers < 2 || o.Servers > maxServers:
		return Plan{}, fmt.Errorf("servers: want 2 to %d, got %d", maxServers, o.Servers)
	case o.Core < 0 || o.Core > 1:
		return Plan{}, fmt.Errorf("core: want 0 to 1, got %v", o.Core)
	case o.Duration < calmStart+calmEnd:
		return Plan{}, fmt.Errorf("duration: want %v or more, got %v", calmStart+calmEnd, o.Duration)
	}
	kinds := o.Faults
	if len(kinds) == 0 {
		kinds = Kinds
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	p := Plan{Seed: o.Seed, Duration: o.Duration, Nodes: o.Nodes, Servers: o.Servers, Subscribe: rng.IntN(2) == 0,
		Hedging: rng.IntN(4) == 0, Rate: 10 + 10*rng.Float64()}
	if o.Overload {
		// A generator of its own: the plan is the same at each number of servers.
		p.Rate = overloadRate
		p.Overload = drawOverload(rand.New(rand.NewPCG(o.Seed, 2)), o, p.Rate)
		if o.Calm {
			return p, nil
		}
	}
	kinds = p.drawFaults(rng, kinds)
	if len(kinds) == 0 {
		return p, nil
	}
	quiet := o.Duration >= longRun
	for at := calmStart; at < o.Duration-calmEnd; {
		if quiet && rng.IntN(4) == 0 {
			at += quietTime
			quiet = false
			continue
		}
		for range 2 + rng.IntN(2) {
			t := p.draw(rng, kinds[rng.IntN(len(kinds))], at+time.Duration(rng.Float64()*float64(groupSpan)))
			if t.At+t.For < o.Duration-calmEnd/2 {
				p.Troubles = append(p.Troubles, t)
			}
		}
		at += groupSpan/2 + time.Duration(rng.ExpFloat64()*float64(groupApart))
	}
	p.drawLeast(rng, kinds)
	slices.SortStableFunc(p.Troubles, func(a, b Trouble) int { return int(a.At - b.At) })
	return p, nil
}

// drawLeast adds what every plan of some length has: a drain and a slow start.
func (p *Plan) drawLeast(rng *rand.Rand, kinds []Kind) {
	if p.Duration < leastRun {
		return
	}
	for _, kind := range []Kind{ServerDrain, ServerCold} {
		drawn := slices.ContainsFunc(p.Troubles, func(t Trouble) bool { return t.Kind == kind })
		if !drawn && slices.Contains(kinds, kind) {
			p.Troubles = append(p.Troubles, p.draw(rng, kind, p.Duration/4+time.Duration(rng.Float64()*float64(p.Duration/4))))
		}
	}
}

// drawFaults draws the nodes whose system calls fail or whose wall clocks are stepped, and returns the other kinds.
func (p *Plan) drawFaults(rng *rand.Rand, kinds []Kind) []Kind {
	p.Faults = make(map[int]string)
	for node := range p.Nodes {
		text := fmt.Sprintf("seed=%d", rng.Uint64()%1000)
		faulty := false
		if slices.Contains(kinds, SystemCalls) && rng.IntN(4) == 0 {
			faulty = true
			text += ",accept=0.05,dial=0.05,read=0.05,write=0.02,config=0.5,folder=0.3"
		}
		if slices.Contains(kinds, WallSteps) && rng.IntN(4) == 0 {
			faulty = true
			by := []time.Duration{-time.Hour, -4 * time.Second, 4 * time.Second, time.Hour}[rng.IntN(4)]
			text += fmt.Sprintf(",step=%v@%v", by, time.Duration(rng.Float64()*float64(p.Duration)).Round(time.Millisecond))
		}
		if faulty {
			p.Faults[node] = text
		}
	}
	return slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return k == SystemCalls || k == WallSteps })
}

func (p *Plan) draw(rng *rand.Rand, kind Kind, at time.Duration) Trouble {
	t := Trouble{Kind: kind, At: at, For: time.Second + time.Duration(rng.Float64()*float64(4*time.Second))}
	var of, most int
	switch kind.strikes() {
	case "nodes":
		of, most = p.Nodes, max(1, p.Nodes/4)
	case "servers":
		of, most = p.Servers, max(1, p.Servers/3)
	default:
		return t
	}
	t.Targets = rng.Perm(of)[:1+rng.IntN(most)]
	slices.Sort(t.Targets)
	return t
}

// Strikes tells whether the plan has a trouble of a kind on a target.
func (p Plan) Strikes(target int, kinds ...Kind) bool {
	for _, t := range p.Troubles {
		if slices.Contains(kinds, t.Kind) && slices.Contains(t.Targets, target) {
			return true
		}
	}
	return false
}

// ParseKinds reads a list of kinds, separated by commas.
func ParseKinds(text string) ([]Kind, error) {
	if text == "" {
		return nil, nil
	}
	var kinds []Kind
	for _, word := range strings.Split(text, ",") {
		kind := Kind(strings.TrimSpace(word))
		if !slices.Contains(Kinds, kind) {
			return nil, fmt.Errorf("faults: unknown %q; there are %v", kind, Kinds)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}
