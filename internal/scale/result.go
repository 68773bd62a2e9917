package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what the runs of one plan have measured. What was not, or could not be, is absent.
type Result struct {
	Plan     string    `json:"plan"`
	PlanHash string    `json:"plan_sha256"`
	Seed     uint64    `json:"seed"`
	Commit   string    `json:"commit,omitempty"`
	Changed  *bool     `json:"tree_changed,omitempty"` // files differ from the commit, or are not in it
	Began    time.Time `json:"began"`
	Machine  Machine   `json:"machine"`
	Runs     []Run     `json:"runs"`
}

// Machine is where it was measured.
type Machine struct {
	Cores     int     `json:"cores"`
	Model     string  `json:"model,omitempty"`
	MemoryMiB float64 `json:"memory_mib,omitempty"`
	Kernel    string  `json:"kernel,omitempty"`
	Go        string  `json:"go"`
}

// Run is the whole plan, once.
type Run struct {
	Began   time.Time    `json:"began"`
	LoadAvg *float64     `json:"load_average_1m_at_start,omitempty"`
	Seconds float64      `json:"seconds"`
	Steps   []StepResult `json:"steps"`
}

// StepResult is what one step has measured.
type StepResult struct {
	Name     string          `json:"name"`
	Error    string          `json:"error,omitempty"` // that ended the step; its figures are not whole
	Size     Size            `json:"size"`
	Faults   []string        `json:"faults,omitempty"`
	Real     *KindResult     `json:"real,omitempty"`
	Hollow   *KindResult     `json:"hollow,omitempty"`
	Registry *RegistryResult `json:"registry,omitempty"`
	Load     *LoadResult     `json:"load,omitempty"`
	Module   *ModuleResult   `json:"module,omitempty"`
}

// Size is the step's size and rates as planned.
type Size struct {
	Nodes        int     `json:"nodes"`
	Hollow       int     `json:"hollow"`
	Real         int     `json:"real"`
	Services     int     `json:"services"`
	Transcribers int     `json:"transcribers"`
	Tenants      int     `json:"tenants"`
	RequestRate  float64 `json:"requests_per_second_a_real_node"`
	ChangeRate   float64 `json:"changes_per_second"`
	NodeMemoryMB int     `json:"node_memory_limit_mb"`
}

// KindResult is of all real nodes, or of all hollow ones. A hollow node has no client sockets, so its
// figures hold for control alone; hollow nodes of one process share the settings and the known list.
type KindResult struct {
	Nodes     int `json:"nodes"`
	Processes int `json:"processes"`

	// ControlCPU is a node's part of a core over the quiet part.
	ControlCPU *float64 `json:"control_cpu_core_share,omitempty"`
	// RequestCPU is the CPU of the loaded part, less that of the quiet one scaled to its length, for a request sent.
	RequestCPU *float64 `json:"cpu_ms_a_request,omitempty"`

	// Of real nodes, which are started one after the other: until they say that they are ready.
	StartToReady *Spread `json:"start_to_ready_ms,omitempty"`
	StartCPU     *Spread `json:"start_cpu_ms,omitempty"`
	StartLog     *Spread `json:"start_log_bytes,omitempty"`
	// Of real nodes that a wave has started again, all at once.
	AgainToReady *Spread `json:"start_again_to_ready_ms,omitempty"`

	LogBytes *float64 `json:"log_bytes_a_node,omitempty"` // in all
	Peak     *Spread  `json:"peak_memory_mib,omitempty"`  // VmHWM, up to the end of the step
	Resting  *Spread  `json:"resting_memory_mib,omitempty"`
	Memory   *float64 `json:"memory_mib_a_node,omitempty"` // resident, less that before the nodes, in their processes
	Heap     *float64 `json:"heap_mib_a_node,omitempty"`   // as Memory, of the heap after a collection

	Quiet  *PartResult `json:"quiet,omitempty"`
	Loaded *PartResult `json:"loaded,omitempty"`
}

// PartResult is of one part of a step. Rates are for a node and second.
type PartResult struct {
	Seconds     float64  `json:"seconds"`
	CPU         *float64 `json:"cpu_core_share,omitempty"`
	BytesIn     float64  `json:"control_bytes_to_node_per_second"`
	BytesOut    float64  `json:"control_bytes_from_node_per_second"`
	DeltaBytes  float64  `json:"delta_bytes_per_second"`
	WholeBytes  float64  `json:"whole_list_bytes_per_second"`
	Connections float64  `json:"connections_per_second"`
	WatchCalls  float64  `json:"watch_calls_per_second"`
	WholeCalls  float64  `json:"whole_list_calls_per_second"`
	Deltas      float64  `json:"deltas_per_second"`
	EmptyDeltas float64  `json:"empty_deltas_per_second"`
	WholeLists  float64  `json:"whole_lists_per_second"`
	Failures    float64  `json:"failures_per_second"`
	Changes     int      `json:"changes"`
	// Real nodes log the time rounded down to milliseconds, so that theirs are up to 1 ms too short.
	InForce    *Spread `json:"change_to_in_force_ms,omitempty"`   // of every node and change
	NotInForce *int64  `json:"not_in_force_at_the_end,omitempty"` // pairs of node and change, settleFor (5 s) after the last change
}

// RegistryResult is what discovery's stand-in cost, over the quiet part.
type RegistryResult struct {
	CPU       *float64 `json:"cpu_core_share,omitempty"`
	NodeCPU   *float64 `json:"cpu_core_share_a_node,omitempty"`
	ChangeCPU *float64 `json:"cpu_ms_a_change,omitempty"` // all of its CPU, over the changes
}

// LoadResult is what clients saw of real nodes under load. Requests are drawn in proportion to the tenants'
// quotas: where all of them together keep to all quotas together, each tenant keeps to its own in the mean, and
// each refusal is one within the tenant's share.
type LoadResult struct {
	Sent          int64  `json:"requests_sent"`
	Served        int64  `json:"requests_served"`
	Refused       int64  `json:"requests_refused"`
	RefusedWithin *int64 `json:"requests_refused_within_share,omitempty"` // absent: tenants send more than their shares
	Failed        int64  `json:"requests_failed"`
	// Added is the latency at the client, from the planned time of sending, less the transcriber's own time.
	Added        *Spread `json:"added_to_a_request_ms,omitempty"`
	Transcribers *int64  `json:"requests_at_transcribers,omitempty"`
}

// Spread sums up many values. Values are kept to three figures; P99 is there from 100 values on, P999 from 1,000.
type Spread struct {
	Count int64    `json:"count"`
	P50   float64  `json:"p50"`
	P99   *float64 `json:"p99,omitempty"`
	P999  *float64 `json:"p999,omitempty"`
	Max   float64  `json:"max"`
}

// histogram holds whole numbers from 1 to 10^12, to three figures.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 1e12, 3) }

// spread sums up h, whose values are of the given unit; nil where there are none.
func spread(h *hdrhistogram.Histogram, unit float64) *Spread {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	at := func(q float64) float64 { return round(float64(h.ValueAtQuantile(q)) * unit) }
	s := &Spread{Count: h.TotalCount(), P50: at(50), Max: at(100)}
	if s.Count >= 100 {
		s.P99 = ptr(at(99))
	}
	if s.Count >= 1000 {
		s.P999 = ptr(at(99.9))
	}
	return s
}

func record(h *hdrhistogram.Histogram, v int64) { _ = h.RecordValue(min(max(v, 0), 1e12)) }

func ptr[T any](v T) *T { return &v }

// round keeps four figures: more would be noise, and makes results long.
func round(v float64) float64 {
	short, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 4, 64), 64)
	return short
}

// ReadResult reads what WriteResult wrote.
func ReadResult(path string) (Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	var r Result
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return Result{}, fmt.Errorf("%s: not a result: %w", path, err)
	}
	if len(r.Runs) == 0 {
		return Result{}, fmt.Errorf("%s: not a result: runs: missing", path)
	}
	return r, nil
}

// WriteResult writes any result as indented JSON; an empty path is standard output.
func WriteResult(path string, r any) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	raw = append(raw, '\n')
	if path == "" {
		_, err = os.Stdout.Write(raw)
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// newResult notes the commit and the machine.
func newResult(plan string, seed uint64) Result {
	r := Result{Plan: plan, Seed: seed, Began: time.Now().UTC().Truncate(time.Second), Machine: machine()}
	if head, err := exec.Command("git", "rev-parse", "HEAD").Output(); err == nil {
		r.Commit = strings.TrimSpace(string(head))
		if status, err := exec.Command("git", "status", "--porcelain").Output(); err == nil {
			r.Changed = ptr(len(status) > 0)
		}
	}
	return r
}

func machine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	if raw, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		m.Model, _ = field(string(raw), "model name")
	}
	if raw, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		m.Kernel = strings.TrimSpace(string(raw))
	}
	if total, err := memTotal(); err == nil {
		m.MemoryMiB = round(float64(total) / (1 << 20))
	}
	return m
}

// field returns the value of the first line "name : value" or "name: value".
func field(text, name string) (string, bool) {
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		key, value, ok := strings.Cut(lines.Text(), ":")
		if ok && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}
