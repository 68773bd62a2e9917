// Package scale measures nodes at sizes that one machine can hold only in part: stand-ins for discovery
// and transcribers, a few real nodes, and hollow ones that share processes.
package scale

import "time"

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
	For  Duration  `toml:"for"`  // how long discovery is silent or gone
	Part float64   `toml:"part"` // of the nodes that a wave restarts
}

// FaultKind names what goes wrong.
type FaultKind string

// The faults that a plan may name.
const (
	RestartWave     FaultKind = "restart-wave"     // nodes end and start anew, all at once
	DiscoverySilent FaultKind = "discovery-silent" // calls and watches get no answer
	DiscoveryGone   FaultKind = "discovery-gone"   // connections are reset, new ones refused
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
