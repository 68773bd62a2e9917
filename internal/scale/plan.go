// Package scale measures nodes in fleets that are too large to run completely on one machine. It runs stand-ins for
// discovery and the transcribers, a few real nodes in a process each, and hollow nodes, which have no client sockets
// and share processes. Read Plan first, then Execute in run.go and World in world.go.
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

// Plan lists the steps of a scale run. Plans are TOML files.
type Plan struct {
	Name  string `toml:"name"`
	Seed  uint64 `toml:"seed"`
	Steps []Step `toml:"step"`
}

// Step describes a fleet size and the load, changes and faults that nodes face at it.
type Step struct {
	Name string `toml:"name"`

	// The fleet's size. Nodes is the number that every node is configured with; of these, only Hollow and Real run.
	Nodes        int `toml:"nodes"`
	Hollow       int `toml:"hollow"`
	PerProcess   int `toml:"hollow_per_process"` // 0: all hollow nodes share one process
	Real         int `toml:"real"`
	Services     int `toml:"services"`
	Transcribers int `toml:"transcribers"`
	Tenants      int `toml:"tenants"`
	Zones        int `toml:"zones"`

	RequestRate float64 `toml:"requests_per_second"` // at each real node, in the loaded period
	ChangeRate  float64 `toml:"changes_per_second"`  // changes of the discovery list

	// The two periods of a step, in this order. The list changes in both.
	Quiet  Duration `toml:"quiet"`  // without requests
	Loaded Duration `toml:"loaded"` // with requests

	Discovery DiscoveryLimits `toml:"discovery"`
	Faults    []Fault         `toml:"fault"`
}

// DiscoveryLimits limits the throughput of the stand-in for discovery.
type DiscoveryLimits struct {
	CallsPerSecond float64  `toml:"calls_per_second"` // calls are served one by one at this rate; 0: no limit
	QueueLimit     Duration `toml:"queue_limit"`      // calls that wait in the queue for longer fail with 503; 0: no limit
}

// Fault is a failure injected at a time counted from the start of the quiet period.
type Fault struct {
	At   Duration  `toml:"at"`
	Kind FaultKind `toml:"kind"`
	For  Duration  `toml:"for"`  // duration of an outage of discovery or a zone
	Over Duration  `toml:"over"` // time over which a zone's entries leave, and later return, one by one; 0: in one change
	Part float64   `toml:"part"` // fraction of the nodes that a restart wave restarts
}

// FaultKind names a kind of injected failure.
type FaultKind string

// The kinds of faults.
const (
	RestartWave     FaultKind = "restart-wave"     // nodes stop and start again, all at once
	DiscoverySilent FaultKind = "discovery-silent" // calls and watches get no response
	DiscoveryGone   FaultKind = "discovery-gone"   // connections are reset and new ones refused
	ZoneLost        FaultKind = "zone-lost"        // the last zone's entries leave the list and later return as restarted
)

// Duration is a time.Duration that is encoded as text in the format of time.ParseDuration, such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText parses text such as "250ms".
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText returns the text that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Upper bounds for plans, as all processes run on one machine.
const (
	maxSteps         = 64
	maxFaults        = 64 // per step
	maxRealNodes     = 200
	maxHollowNodes   = 5_000
	maxNodeProcesses = 200 // per step: one per real node, and those that hollow nodes share
	maxTranscribers  = 200_000
	maxTenants       = 1_000_000
	maxNodes         = 100_000
	maxZones         = 1_000
	maxRate          = 100_000 // per second
	maxStepDuration  = 5 * time.Minute
	defaultPeriod    = 10 * time.Second // quiet and loaded, if the plan omits them
)

// LoadPlan reads a plan, fills in defaults and validates it. An error is one line that names the field as in the
// file; steps and faults are numbered from 0.
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
		return Plan{}, planDecodeError(err)
	}
	var present struct { // which fields the file sets: a zero may be explicit
		Seed  *uint64 `toml:"seed"`
		Steps []struct {
			Zones  *int      `toml:"zones"`
			Quiet  *Duration `toml:"quiet"`
			Loaded *Duration `toml:"loaded"`
		} `toml:"step"`
	}
	if err := toml.Unmarshal(raw, &present); err != nil {
		return Plan{}, planDecodeError(err)
	}
	if present.Seed == nil {
		p.Seed = 1
	}
	for i, given := range present.Steps {
		s := &p.Steps[i]
		if given.Zones == nil {
			s.Zones = 1
		}
		if given.Quiet == nil {
			s.Quiet.Duration = defaultPeriod
		}
		if given.Loaded == nil {
			s.Loaded.Duration = defaultPeriod
		}
	}
	return p, p.validate()
}

// planDecodeError converts an error of the TOML decoder into a single line.
func planDecodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		e := &unknown.Errors[0]
		row, _ := e.Position()
		return fmt.Errorf("line %d: %s: unknown field", row, strings.Join(e.Key(), "."))
	}
	message := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\n", " "), "toml: ")
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return errors.New(message)
	}
	row, _ := decodeErr.Position()
	if key := strings.Join(decodeErr.Key(), "."); key != "" {
		return fmt.Errorf("line %d: %s: %s", row, key, message)
	}
	return fmt.Errorf("line %d: %s", row, message)
}

// fieldChecker keeps the error of the first field that is out of its range.
type fieldChecker struct{ err error }

func (c *fieldChecker) fail(field, want string, got any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: want %s, got %v", field, want, got)
	}
}

func (c *fieldChecker) checkInt(field string, got, minimum, maximum int) {
	switch {
	case got < minimum:
		c.fail(field, fmt.Sprintf("%d or more", minimum), got)
	case got > maximum:
		c.fail(field, fmt.Sprintf("%d or less", maximum), got)
	}
}

func (c *fieldChecker) checkRate(field string, got float64) {
	if !(got >= 0 && got <= maxRate) {
		c.fail(field, fmt.Sprintf("0 to %d a second", maxRate), got)
	}
}

func (c *fieldChecker) checkDuration(field string, got Duration, minimum, maximum time.Duration) {
	if got.Duration < minimum || got.Duration > maximum {
		c.fail(field, fmt.Sprintf("%v to %v", minimum, maximum), got)
	}
}

func (p Plan) validate() error {
	var checker fieldChecker
	if n := len(p.Steps); n < 1 || n > maxSteps {
		checker.fail("step", fmt.Sprintf("1 to %d of them", maxSteps), n)
	}
	for i, s := range p.Steps {
		s.validate(fmt.Sprintf("step[%d].", i), &checker)
	}
	return checker.err
}

func (s Step) validate(prefix string, checker *fieldChecker) {
	checker.checkInt(prefix+"nodes", s.Nodes, 1, maxNodes)
	checker.checkInt(prefix+"hollow", s.Hollow, 0, maxHollowNodes)
	checker.checkInt(prefix+"hollow_per_process", s.PerProcess, 0, math.MaxInt32)
	checker.checkInt(prefix+"real", s.Real, 0, maxRealNodes)
	if n := s.Hollow + s.Real; n < 1 || n > s.Nodes {
		checker.fail(prefix+"hollow", fmt.Sprintf("1 to %d (nodes) together with real", s.Nodes), n)
	}
	if n := s.processCount(); n > maxNodeProcesses {
		checker.fail(prefix+"hollow_per_process", fmt.Sprintf("%d processes or less", maxNodeProcesses), n)
	}
	checker.checkInt(prefix+"services", s.Services, 1, maxTranscribers)
	checker.checkInt(prefix+"transcribers", s.Transcribers, 1, maxTranscribers)
	if s.Transcribers < s.Services {
		checker.fail(prefix+"transcribers", fmt.Sprintf("%d (services) or more", s.Services), s.Transcribers)
	}
	checker.checkInt(prefix+"tenants", s.Tenants, 1, maxTenants)
	checker.checkInt(prefix+"zones", s.Zones, 1, maxZones)
	checker.checkRate(prefix+"requests_per_second", s.RequestRate)
	checker.checkRate(prefix+"changes_per_second", s.ChangeRate)
	checker.checkDuration(prefix+"quiet", s.Quiet, 0, maxStepDuration)
	checker.checkDuration(prefix+"loaded", s.Loaded, 0, maxStepDuration)
	total := s.Quiet.Duration + s.Loaded.Duration
	if total <= 0 || total > maxStepDuration {
		checker.fail(prefix+"loaded", fmt.Sprintf("more than 0s and %v at most together with quiet", maxStepDuration), total)
	}
	checker.checkRate(prefix+"discovery.calls_per_second", s.Discovery.CallsPerSecond)
	checker.checkDuration(prefix+"discovery.queue_limit", s.Discovery.QueueLimit, 0, maxStepDuration)
	if len(s.Faults) > maxFaults {
		checker.fail(prefix+"fault", fmt.Sprintf("%d or less", maxFaults), len(s.Faults))
	}
	for i, f := range s.Faults {
		f.validate(fmt.Sprintf("%sfault[%d].", prefix, i), total, checker)
	}
}

// processCount returns the number of processes that a step starts for its nodes.
func (s Step) processCount() int {
	switch {
	case s.Hollow == 0:
		return s.Real
	case s.PerProcess == 0:
		return s.Real + 1
	}
	return s.Real + (s.Hollow+s.PerProcess-1)/s.PerProcess
}

func (f Fault) validate(prefix string, total time.Duration, checker *fieldChecker) {
	checker.checkDuration(prefix+"at", f.At, 0, total)
	switch f.Kind {
	case RestartWave:
		if !(f.Part > 0 && f.Part <= 1) {
			checker.fail(prefix+"part", "more than 0 and 1 at most", f.Part)
		}
	case DiscoverySilent, DiscoveryGone, ZoneLost:
		checker.checkDuration(prefix+"for", f.For, time.Millisecond, total)
		checker.checkDuration(prefix+"over", f.Over, 0, f.For.Duration)
	default:
		checker.fail(prefix+"kind", fmt.Sprintf("%s, %s, %s or %s", RestartWave, DiscoverySilent, DiscoveryGone, ZoneLost),
			fmt.Sprintf("%q", f.Kind))
	}
}
