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

// Result holds the measurements of all runs of a plan. Values that were not or could not be measured are absent.
type Result struct {
	Plan        string    `json:"plan"`
	PlanHash    string    `json:"plan_sha256"`
	Seed        uint64    `json:"seed"`
	Commit      string    `json:"commit,omitempty"`
	TreeChanged *bool     `json:"tree_changed,omitempty"` // the work tree has modified or untracked files
	StartedAt   time.Time `json:"began"`
	Machine     Machine   `json:"machine"`
	Runs        []Run     `json:"runs"`
}

// Machine describes the machine that a result was measured on.
type Machine struct {
	Cores     int     `json:"cores"`
	Model     string  `json:"model,omitempty"`
	MemoryMiB float64 `json:"memory_mib,omitempty"`
	Kernel    string  `json:"kernel,omitempty"`
	Go        string  `json:"go"`
}

// Run holds the measurements of one execution of the whole plan.
type Run struct {
	StartedAt time.Time    `json:"began"`
	LoadAvg   *float64     `json:"load_average_1m_at_start,omitempty"`
	Seconds   float64      `json:"seconds"`
	Steps     []StepResult `json:"steps"`
}

// StepResult holds the measurements of one step.
type StepResult struct {
	Name     string          `json:"name"`
	Error    string          `json:"error,omitempty"` // why the step was aborted; the measurements are then incomplete
	Size     Size            `json:"size"`
	Faults   []string        `json:"faults,omitempty"`
	Real     *NodeKindResult `json:"real,omitempty"`
	Hollow   *NodeKindResult `json:"hollow,omitempty"`
	Registry *RegistryResult `json:"registry,omitempty"`
	Load     *LoadResult     `json:"load,omitempty"`
	Module   *ModuleResult   `json:"module,omitempty"`
}

// Size holds a step's planned size and rates.
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

// NodeKindResult holds the measurements of all real nodes or of all hollow ones. A hollow node has no client sockets,
// so its values cover control traffic only. Hollow nodes of one process share the settings and the known list.
type NodeKindResult struct {
	Nodes     int `json:"nodes"`
	Processes int `json:"processes"`

	// ControlCPU is the mean fraction of a core that a node uses in the quiet period.
	ControlCPU *float64 `json:"control_cpu_core_share,omitempty"`
	// CPUPerRequest is the CPU time of the loaded period minus that of the quiet period scaled to the same length,
	// divided by the requests sent.
	CPUPerRequest *float64 `json:"cpu_ms_a_request,omitempty"`

	// Real nodes only: time, CPU time and bytes logged from a process's start until it reports ready. The nodes are
	// started one after another.
	StartToReady  *Summary `json:"start_to_ready_ms,omitempty"`
	StartCPU      *Summary `json:"start_cpu_ms,omitempty"`
	StartLogBytes *Summary `json:"start_log_bytes,omitempty"`
	// Real nodes only: time from the start to ready in a restart wave, in which nodes start at the same time.
	RestartToReady *Summary `json:"start_again_to_ready_ms,omitempty"`

	LogBytesPerNode *float64 `json:"log_bytes_a_node,omitempty"`   // over the whole step
	PeakMemory      *Summary `json:"peak_memory_mib,omitempty"`    // VmHWM at the end of the step
	RestingMemory   *Summary `json:"resting_memory_mib,omitempty"` // VmRSS at the end of the quiet period
	MemoryPerNode   *float64 `json:"memory_mib_a_node,omitempty"`  // resident, minus that before the nodes were started
	HeapPerNode     *float64 `json:"heap_mib_a_node,omitempty"`    // as MemoryPerNode, but heap after a garbage collection

	Quiet  *PeriodResult `json:"quiet,omitempty"`
	Loaded *PeriodResult `json:"loaded,omitempty"`
}

// PeriodResult holds the measurements of one period of a step. Rates are means per node and second.
type PeriodResult struct {
	Seconds       float64  `json:"seconds"`
	CPU           *float64 `json:"cpu_core_share,omitempty"`
	BytesIn       float64  `json:"control_bytes_to_node_per_second"`
	BytesOut      float64  `json:"control_bytes_from_node_per_second"`
	DeltaBytes    float64  `json:"delta_bytes_per_second"`
	FullListBytes float64  `json:"whole_list_bytes_per_second"`
	Connections   float64  `json:"connections_per_second"`
	WatchCalls    float64  `json:"watch_calls_per_second"`
	FullListCalls float64  `json:"whole_list_calls_per_second"`
	Deltas        float64  `json:"deltas_per_second"`
	EmptyDeltas   float64  `json:"empty_deltas_per_second"`
	FullLists     float64  `json:"whole_lists_per_second"`
	Failures      float64  `json:"failures_per_second"`
	Changes       int      `json:"changes"`
	// Real nodes log times rounded down to milliseconds, so their delays are up to 1 ms too short.
	InForce    *Summary `json:"change_to_in_force_ms,omitempty"`   // one value per node and change
	NotInForce *int64   `json:"not_in_force_at_the_end,omitempty"` // pairs of a node and a change not in force there 5 s after the last change
}

// RegistryResult holds the CPU use of the stand-in for discovery in the quiet period.
type RegistryResult struct {
	CPU          *float64 `json:"cpu_core_share,omitempty"`
	CPUPerNode   *float64 `json:"cpu_core_share_a_node,omitempty"`
	CPUPerChange *float64 `json:"cpu_ms_a_change,omitempty"` // total CPU time divided by the number of changes
}

// LoadResult holds what clients of the real nodes measured under load. The tenants' request rates are in proportion to
// their quotas. If the total rate is at most the sum of the quotas, each tenant therefore stays within its quota on
// average, and RefusedWithinShare counts every refused request.
type LoadResult struct {
	Sent               int64  `json:"requests_sent"`
	Served             int64  `json:"requests_served"`
	Refused            int64  `json:"requests_refused"`
	RefusedWithinShare *int64 `json:"requests_refused_within_share,omitempty"` // absent if the total rate exceeds the sum of the quotas
	Failed             int64  `json:"requests_failed"`
	// AddedLatency is the latency that the client sees, from the planned send time, minus the transcriber's
	// processing time.
	AddedLatency   *Summary `json:"added_to_a_request_ms,omitempty"`
	AtTranscribers *int64   `json:"requests_at_transcribers,omitempty"` // attempts that transcribers received
}

// Summary holds the quantiles of a set of values to three significant digits. P99 is present from 100 values on, P999
// from 1,000.
type Summary struct {
	Count int64    `json:"count"`
	P50   float64  `json:"p50"`
	P99   *float64 `json:"p99,omitempty"`
	P999  *float64 `json:"p999,omitempty"`
	Max   float64  `json:"max"`
}

// newHistogram returns a histogram of integers from 1 to 10^12 with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 1e12, 3) }

// summarize returns the quantiles of h multiplied by unit, or nil if h is empty.
func summarize(h *hdrhistogram.Histogram, unit float64) *Summary {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	quantile := func(q float64) float64 { return roundSignificant(float64(h.ValueAtQuantile(q)) * unit) }
	s := &Summary{Count: h.TotalCount(), P50: quantile(50), Max: quantile(100)}
	if s.Count >= 100 {
		s.P99 = ptr(quantile(99))
	}
	if s.Count >= 1000 {
		s.P999 = ptr(quantile(99.9))
	}
	return s
}

// recordValue records v, limited to the histogram's range.
func recordValue(h *hdrhistogram.Histogram, v int64) { _ = h.RecordValue(min(max(v, 0), 1e12)) }

func ptr[T any](v T) *T { return &v }

// roundSignificant rounds to four significant digits. More would be noise and would make results long.
func roundSignificant(v float64) float64 {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 4, 64), 64)
	return rounded
}

// ReadResult reads a Result that WriteResult has written.
func ReadResult(path string) (Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	var r Result
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return Result{}, fmt.Errorf("%s: not a result: %w", path, err)
	}
	if len(r.Runs) == 0 {
		return Result{}, fmt.Errorf("%s: not a result: runs: missing", path)
	}
	return r, nil
}

// WriteResult writes a result of any type as indented JSON to path, or to standard output if path is empty.
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

// newResult returns a result with the commit and the machine filled in.
func newResult(plan string, seed uint64) Result {
	r := Result{Plan: plan, Seed: seed, StartedAt: time.Now().UTC().Truncate(time.Second), Machine: detectMachine()}
	if commit, err := exec.Command("git", "rev-parse", "HEAD").Output(); err == nil {
		r.Commit = strings.TrimSpace(string(commit))
		if status, err := exec.Command("git", "status", "--porcelain").Output(); err == nil {
			r.TreeChanged = ptr(len(status) > 0)
		}
	}
	return r
}

func detectMachine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	if raw, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		m.Model, _ = procField(string(raw), "model name")
	}
	if raw, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		m.Kernel = strings.TrimSpace(string(raw))
	}
	if total, err := totalMemory(); err == nil {
		m.MemoryMiB = roundSignificant(float64(total) / (1 << 20))
	}
	return m
}

// procField returns the value of the first line of the form "name : value" or "name: value".
func procField(text, name string) (string, bool) {
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		key, value, ok := strings.Cut(scanner.Text(), ":")
		if ok && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}
