// Package scale measures nodes at sizes that one machine can hold only in part: stand-ins for discovery
// and transcribers, a few real nodes, and hollow ones that share processes.
package scale

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Plan is what one scale run does, step by step. Plans are TOML files.
type Plan struct {
	Name  string `toml:"name"`
	Seed  uint64 `toml:"seed"`
	Steps []Step `toml:"step"`
}

// Step is one size, and what happens at it.
type Step struct {
	Name string `toml:"name"`

	// The size. Nodes is what every node is told of the fleet; Hollow and Real are how many of them run.
	Nodes        int `toml:"nodes"`
	Hollow       int `toml:"hollow"`
	PerProcess   int `toml:"hollow_per_process"` // 0: all hollow nodes share one
	Real         int `toml:"real"`
	Services     int `toml:"services"`
	Transcribers int `toml:"transcribers"`
	Tenants      int `toml:"tenants"`
	Zones        int `toml:"zones"`

	RequestRate float64 `toml:"requests_per_second"` // at each real node, while under load
	ChangeRate  float64 `toml:"changes_per_second"`  // changed entries of the list

	// The parts of a step, one after the other: changes alone, then changes beside requests.
	Quiet  Duration `toml:"quiet"` // changes and no requests
	Loaded Duration `toml:"loaded"`

	Discovery DiscoveryPlan `toml:"discovery"`
	Faults    []Fault       `toml:"fault"`
}

// DiscoveryPlan is what the stand-in for discovery can do.
type DiscoveryPlan struct {
	CallsPerSecond float64  `toml:"calls_per_second"` // that it serves, in turn; 0: as fast as it can
	QueueLimit     Duration `toml:"queue_limit"`      // a call that waits in the queue for longer fails with 503; 0: none does
}

// Fault is something that goes wrong at a time, counted from the beginning of the step's first part.
type Fault struct {
	At   Duration  `toml:"at"`
	Kind FaultKind `toml:"kind"`
	For  Duration  `toml:"for"`  // how long discovery is silent or gone, or a zone lost
	Over Duration  `toml:"over"` // the time in which a zone's entries go, and come back, one by one; 0: in one change
	Part float64   `toml:"part"` // of the nodes that a wave restarts
}

// FaultKind names what goes wrong.
type FaultKind string

// The faults that a plan may name.
const (
	RestartWave     FaultKind = "restart-wave"     // nodes end and start anew, all at once
	DiscoverySilent FaultKind = "discovery-silent" // calls and watches get no answer
	DiscoveryGone   FaultKind = "discovery-gone"   // connections are reset, new ones refused
	ZoneLost        FaultKind = "zone-lost"        // the list loses the last zone's entries, and gets them back as started anew
)

// Duration is a time.Duration that reads the form of time.ParseDuration, such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText reads text such as "250ms".
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// The most that a plan may ask of one machine.
const (
	maxSteps        = 64
	maxFaults       = 64 // of one step
	maxReal         = 200
	maxHollow       = 5_000
	maxProcesses    = 200 // of one step: a real node each, and those that hollow nodes share
	maxTranscribers = 200_000
	maxTenants      = 1_000_000
	maxNodes        = 100_000
	maxZones        = 1_000
	maxRate         = 100_000 // a second
	maxStepTime     = 5 * time.Minute
	defaultPart     = 10 * time.Second // quiet and loaded, where the plan names none
)

// LoadPlan reads a plan, fills in what it leaves out, and checks it. An error is one line that names the
// field as the file does; steps and faults count from 0.
func LoadPlan(path string) (Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	p, err := parsePlan(raw)
	if err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func parsePlan(raw []byte) (Plan, error) {
	var p Plan
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&p); err != nil {
		return Plan{}, planError(err)
	}
	var given struct { // what is there at all: a zero may be meant
		Seed  *uint64 `toml:"seed"`
		Steps []struct {
			Zones  *int      `toml:"zones"`
			Quiet  *Duration `toml:"quiet"`
			Loaded *Duration `toml:"loaded"`
		} `toml:"step"`
	}
	if err := toml.Unmarshal(raw, &given); err != nil {
		return Plan{}, planError(err)
	}
	if given.Seed == nil {
		p.Seed = 1
	}
	for i, g := range given.Steps {
		s := &p.Steps[i]
		if g.Zones == nil {
			s.Zones = 1
		}
		if g.Quiet == nil {
			s.Quiet.Duration = defaultPart
		}
		if g.Loaded == nil {
			s.Loaded.Duration = defaultPart
		}
	}
	return p, p.check()
}

// planError makes one line of what the TOML reader reports.
func planError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		e := &unknown.Errors[0]
		row, _ := e.Position()
		return fmt.Errorf("line %d: %s: unknown field", row, strings.Join(e.Key(), "."))
	}
	what := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\n", " "), "toml: ")
	var bad *toml.DecodeError
	if !errors.As(err, &bad) {
		return errors.New(what)
	}
	row, _ := bad.Position()
	if key := strings.Join(bad.Key(), "."); key != "" {
		return fmt.Errorf("line %d: %s: %s", row, key, what)
	}
	return fmt.Errorf("line %d: %s", row, what)
}

// bounds keeps the first field that is out of its range.
type planBounds struct{ err error }

func (b *planBounds) fail(field, want string, got any) {
	if b.err == nil {
		b.err = fmt.Errorf("%s: want %s, got %v", field, want, got)
	}
}

func (b *planBounds) whole(field string, got, least, most int) {
	switch {
	case got < least:
		b.fail(field, fmt.Sprintf("%d or more", least), got)
	case got > most:
		b.fail(field, fmt.Sprintf("%d or less", most), got)
	}
}

func (b *planBounds) rate(field string, got float64) {
	if !(got >= 0 && got <= maxRate) {
		b.fail(field, fmt.Sprintf("0 to %d a second", maxRate), got)
	}
}

func (b *planBounds) span(field string, got Duration, least, most time.Duration) {
	if got.Duration < least || got.Duration > most {
		b.fail(field, fmt.Sprintf("%v to %v", least, most), got)
	}
}

func (p Plan) check() error {
	var b planBounds
	if n := len(p.Steps); n < 1 || n > maxSteps {
		b.fail("step", fmt.Sprintf("1 to %d of them", maxSteps), n)
	}
	for i, s := range p.Steps {
		s.check(fmt.Sprintf("step[%d].", i), &b)
	}
	return b.err
}

func (s Step) check(at string, b *planBounds) {
	b.whole(at+"nodes", s.Nodes, 1, maxNodes)
	b.whole(at+"hollow", s.Hollow, 0, maxHollow)
	b.whole(at+"hollow_per_process", s.PerProcess, 0, math.MaxInt32)
	b.whole(at+"real", s.Real, 0, maxReal)
	if n := s.Hollow + s.Real; n < 1 || n > s.Nodes {
		b.fail(at+"hollow", fmt.Sprintf("1 to %d (nodes) together with real", s.Nodes), n)
	}
	if n := s.processes(); n > maxProcesses {
		b.fail(at+"hollow_per_process", fmt.Sprintf("%d processes or less", maxProcesses), n)
	}
	b.whole(at+"services", s.Services, 1, maxTranscribers)
	b.whole(at+"transcribers", s.Transcribers, 1, maxTranscribers)
	if s.Transcribers < s.Services {
		b.fail(at+"transcribers", fmt.Sprintf("%d (services) or more", s.Services), s.Transcribers)
	}
	b.whole(at+"tenants", s.Tenants, 1, maxTenants)
	b.whole(at+"zones", s.Zones, 1, maxZones)
	b.rate(at+"requests_per_second", s.RequestRate)
	b.rate(at+"changes_per_second", s.ChangeRate)
	b.span(at+"quiet", s.Quiet, 0, maxStepTime)
	b.span(at+"loaded", s.Loaded, 0, maxStepTime)
	total := s.Quiet.Duration + s.Loaded.Duration
	if total <= 0 || total > maxStepTime {
		b.fail(at+"loaded", fmt.Sprintf("more than 0s and %v at most together with quiet", maxStepTime), total)
	}
	b.rate(at+"discovery.calls_per_second", s.Discovery.CallsPerSecond)
	b.span(at+"discovery.queue_limit", s.Discovery.QueueLimit, 0, maxStepTime)
	if len(s.Faults) > maxFaults {
		b.fail(at+"fault", fmt.Sprintf("%d or less", maxFaults), len(s.Faults))
	}
	for i, f := range s.Faults {
		f.check(fmt.Sprintf("%sfault[%d].", at, i), total, b)
	}
}

// processes is how many a step starts for its nodes.
func (s Step) processes() int {
	switch {
	case s.Hollow == 0:
		return s.Real
	case s.PerProcess == 0:
		return s.Real + 1
	}
	return s.Real + (s.Hollow+s.PerProcess-1)/s.PerProcess
}

func (f Fault) check(at string, total time.Duration, b *planBounds) {
	b.span(at+"at", f.At, 0, total)
	switch f.Kind {
	case RestartWave:
		if !(f.Part > 0 && f.Part <= 1) {
			b.fail(at+"part", "more than 0 and 1 at most", f.Part)
		}
	case DiscoverySilent, DiscoveryGone, ZoneLost:
		b.span(at+"for", f.For, time.Millisecond, total)
		b.span(at+"over", f.Over, 0, f.For.Duration)
	default:
		b.fail(at+"kind", fmt.Sprintf("%s, %s, %s or %s", RestartWave, DiscoverySilent, DiscoveryGone, ZoneLost),
			fmt.Sprintf("%q", f.Kind))
	}
}
