// Package node runs the decision module on real sockets. It makes no routing decisions itself: it passes events to a
// policy.Balancer and carries out the actions that the Balancer returns.
//
// Read loop.go first (the event loop, which owns the Balancer), then server.go (requests from clients), upstream.go
// (connections and attempts to servers) and lifecycle.go (readiness, standby and shutdown).
package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/internal/faultpoint"
	"cobaltward/internal/field"
	"cobaltward/internal/wire"
	"cobaltward/policy"
)

// Config is a node's configuration at its start.
type Config struct {
	Name      string
	Listen    string // the only address for clients
	Operator  string // the admin address; empty: no admin listener
	Discovery string
	Seed      uint64
	Cores     float64
	MemoryMB  int64
	Sockets   int
	Known     discovery.List // the servers as this node last knew them, perhaps out of date
	Handover  string         // the folder shared by an old and a new process of this node; empty: none
	Settings  policy.Settings
	// LogDropped returns the number of log lines that were dropped; nil: not counted.
	LogDropped func() int64

	// Settings that apply to the node and not to the module.
	MaxOpen        int           // maximum of unanswered requests; 0: no limit
	ConnectTimeout time.Duration // for a new connection to a server
}

// discoveryConfig returns the configuration of the node's discovery client.
func (c Config) discoveryConfig() discovery.Config {
	return discovery.Config{Addr: c.Discovery, Subscribe: c.Settings.Subscribe, Revision: c.Known.Revision,
		Node: c.Settings.Node, Nodes: c.Settings.Nodes, Seed: c.Seed,
		DrainGrace: c.Settings.Rules.DrainGrace, ListRefreshWithin: c.Settings.Rules.ListRefreshWithin,
		MaxListSize: c.MemoryMB << 20 / listSizeDivisor}
}

// listSizeDivisor limits the text of a server list to this part of the node's memory. A decoded entry takes about as
// many bytes as its text, and while a complete list is being decoded there are two lists in memory plus the growing slice
// of the new one: a longer text would exhaust the memory.
const listSizeDivisor = 4

// minSockets is the least number of file descriptors that a node can work with: a few for itself, and some each for
// clients and servers.
const minSockets = 64

// defaultConnectTimeout applies if the settings don't set connectTimeout.
const defaultConnectTimeout = 250 * time.Millisecond

// LoadConfig reads the file that ROUTER_CONFIG names. The other ROUTER_ variables, if set, override the file. Errors name
// the field.
func LoadConfig(getenv func(string) string) (Config, error) {
	c, err := readConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	for name, target := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
		"ROUTER_OPERATOR": &c.Operator,
	} {
		if v := getenv(name); v != "" {
			*target = v
		}
	}
	if err := field.CheckAddress(c.Listen); err != nil {
		return Config{}, fmt.Errorf("configuration: listen: %w", err)
	}
	if err := field.CheckAddress(c.Discovery); err != nil {
		return Config{}, fmt.Errorf("configuration: discovery: %w", err)
	}
	if c.Operator == "" {
		return c, nil
	}
	if err := field.CheckAddress(c.Operator); err != nil {
		return Config{}, fmt.Errorf("configuration: operator: %w", err)
	}
	return c, nil
}

// ReloadDiscovery reads the file again and returns its discovery address, the only setting that may change while a node
// runs. ROUTER_DISCOVERY holds the value at the start, so here the file overrides it.
func ReloadDiscovery(getenv func(string) string) (string, error) {
	c, err := readConfig(getenv)
	if err != nil {
		return "", err
	}
	if err := field.CheckAddress(c.Discovery); err != nil {
		return "", fmt.Errorf("configuration: discovery: %w", err)
	}
	return c.Discovery, nil
}

func readConfig(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set")
	}
	if err := faultpoint.Fail(faultpoint.Config); err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	f, err := os.Open(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	defer f.Close()
	c, err := DecodeConfig(f)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// ParseConfig decodes the text of a configuration file. Errors name the field.
func ParseConfig(raw []byte) (Config, error) { return DecodeConfig(bytes.NewReader(raw)) }

// DecodeConfig is ParseConfig for a stream. The text may be many times larger than the decoded result, so it is read once
// and only one entry of it is buffered at a time.
func DecodeConfig(file io.Reader) (Config, error) {
	var c Config
	var seedText string
	var limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}
	var known, settings bool
	var nodeSettings []byte // the text of the settings that wire.DecodeSettings doesn't decode
	decoder := json.NewDecoder(file)
	err := field.DecodeObject(decoder, func(key string) (err error) {
		switch strings.ToLower(key) { // case-insensitive, as in json.Unmarshal
		case "name":
			return field.Decode(decoder, key, &c.Name)
		case "listen":
			return field.Decode(decoder, key, &c.Listen)
		case "discovery":
			return field.Decode(decoder, key, &c.Discovery)
		case "operator":
			return field.Decode(decoder, key, &c.Operator)
		case "seed":
			return field.Decode(decoder, key, &seedText)
		case "limits":
			return field.Decode(decoder, key, &limits)
		case "known":
			known = true
			if c.Known, err = discovery.DecodeList(decoder); err != nil {
				return fmt.Errorf("known: %w", err)
			}
			return nil
		case "settings":
			settings = true
			if c.Settings, nodeSettings, err = wire.DecodeSettings(decoder); err != nil {
				return fmt.Errorf("settings.%w", err)
			}
			return nil
		}
		return field.Decode(decoder, key, new(json.RawMessage))
	})
	if err == nil {
		err = field.ExpectEOF(decoder)
	}
	if err != nil {
		return Config{}, err
	}
	if c.Seed, err = strconv.ParseUint(seedText, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: want up to 16 hexadecimal digits, got %q", seedText)
	}
	switch l := limits; {
	case !(l.Cores > 0) || l.Cores > 1024:
		return Config{}, fmt.Errorf("limits.cores: want more than 0, got %v", l.Cores)
	case !(l.MemoryMB >= 1) || l.MemoryMB > math.MaxInt32:
		return Config{}, fmt.Errorf("limits.memory_mb: want 1 or more, got %v", l.MemoryMB)
	case l.Sockets < minSockets:
		return Config{}, fmt.Errorf("limits.sockets: want %d or more, got %d", minSockets, l.Sockets)
	case !known:
		return Config{}, errors.New("known: missing")
	case !settings:
		return Config{}, errors.New("settings: missing")
	}
	c.Cores, c.MemoryMB, c.Sockets = limits.Cores, int64(limits.MemoryMB), limits.Sockets
	if err := c.Settings.Validate(); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := decodeNodeLimits(nodeSettings, &c); err != nil {
		return Config{}, err
	}
	return c, nil
}

// decodeNodeLimits decodes the settings that apply to the node and not to the module.
func decodeNodeLimits(nodeSettings []byte, c *Config) error {
	var s struct {
		Limits struct {
			MaxOpen        float64 `json:"maxOpen"`
			ConnectTimeout float64 `json:"connectTimeout"`
		} `json:"limits"`
	}
	if err := field.Unmarshal(nodeSettings, &s); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	switch l := s.Limits; {
	case l.MaxOpen < 0 || l.MaxOpen > math.MaxInt32:
		return fmt.Errorf("settings.limits.maxOpen: want 0 or more, got %v", l.MaxOpen)
	case l.ConnectTimeout < 0 || l.ConnectTimeout > math.MaxInt32:
		return fmt.Errorf("settings.limits.connectTimeout: want 0 or more, got %v", l.ConnectTimeout)
	}
	c.MaxOpen, c.ConnectTimeout = int(s.Limits.MaxOpen), millis(s.Limits.ConnectTimeout)
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
