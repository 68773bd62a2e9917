package scale

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestParseInForceReadsRevisionAndTime(t *testing.T) {
	at := time.Date(2026, 12, 2, 4, 11, 15, 123e6, time.UTC).UnixNano()
	for line, want := range map[string]revisionTime{
		`time=2026-12-02T04:11:15.123Z level=INFO msg="list: in force" revision=42 entries=1`:      {42, at},
		`time=2026-12-02T05:11:15.123+01:00 level=INFO msg="list: in force" entries=1 revision=42`: {42, at},
		`time=2026-12-02T04:11:15.123Z level=INFO msg="list: servers leave" revision=42`:           {},
		`time=2026-12-02T04:11:15.123Z level=INFO msg="list: in force" revision=`:                  {},
		`time=then level=INFO msg="list: in force" revision=42`:                                    {},
		``: {},
	} {
		got, ok := parseInForce([]byte(line + "\n"))
		if got != want || ok != (want != revisionTime{}) {
			t.Errorf("%q: got %v, %t, want %v", line, got, ok, want)
		}
	}
}

func TestDelayEndsAtFirstListWithTheChange(t *testing.T) {
	const ms = int64(time.Millisecond)
	s := revisionHistory{entries: []revisionTime{{1, 0}, {3, 30 * ms}, {1, 50 * ms}, {4, 70 * ms}}} // the node restarted at 50 ms
	h := newHistogram()
	notInForce := s.recordDelays([]revisionTime{{2, 10 * ms}, {3, 29 * ms}, {4, 40 * ms}, {5, 60 * ms}}, h)
	if notInForce != 1 || h.TotalCount() != 3 {
		t.Fatalf("got %d changes in force and %d never in force, want 3 and 1", h.TotalCount(), notInForce)
	}
	for at, want := range map[float64]int64{1: 1_000, 50: 20_000, 100: 30_000} {
		if got := h.ValueAtQuantile(at); !h.ValuesAreEquivalent(got, want) {
			t.Errorf("percentile %g: got %d us, want %d", at, got, want)
		}
	}
}

func TestDelayAllowsForRoundedLogTime(t *testing.T) {
	s := revisionHistory{entries: []revisionTime{{2, 5_000_000}}}
	h := newHistogram()
	if notInForce := s.recordDelays([]revisionTime{{2, 5_900_000}}, h); notInForce != 0 || h.TotalCount() != 1 || h.Max() != 0 {
		t.Errorf("got %d changes never in force and %d recorded, want 0 and 1, without delay", notInForce, h.TotalCount())
	}
}

func TestParseKBReturnsBytes(t *testing.T) {
	const status = "Name:\twayhold\nVmHWM:\t   25780 kB\nVmRSS:\t   14112 kB\nThreads:\t9\n"
	if n, err := parseKB(status, "VmHWM"); n != 25780<<10 || err != nil {
		t.Errorf("got %d, %v, want %d", n, err, 25780<<10)
	}
	for _, name := range []string{"VmSwap", "Name"} {
		if _, err := parseKB(status, name); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got error %v, want one that names the field", name, err)
		}
	}
}

func TestCPUTimeOfProcess(t *testing.T) {
	if own, err := processCPUTime(os.Getpid()); err != nil || own <= 0 {
		t.Errorf("got %v, %v, want a CPU time above 0", own, err)
	}
	if _, err := processCPUTime(1 << 22); err == nil { // above the highest process ID of the kernel
		t.Error("got a CPU time for a process that does not exist")
	}
}

func TestPartRatesArePerNodeAndSecond(t *testing.T) {
	at := time.Unix(100, 0)
	from := usageSnapshot{at: at, registry: RegistryCost{Stats: make([]RegistryStats, 3)}}
	to := usageSnapshot{at: at.Add(2 * time.Second), registry: RegistryCost{Stats: []RegistryStats{
		{BytesOut: 1 << 40}, {BytesOut: 600, BytesIn: 60, Deltas: 6}, {BytesOut: 200, BytesIn: 20, Failures: 2}}}}
	got := newPeriodResult(from, to, 4, 1, 3)
	want := &PeriodResult{Seconds: 2, BytesIn: 100, BytesOut: 10, Deltas: 0.75, Failures: 0.25}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestSelectStepsKeepsPlanOrder(t *testing.T) {
	all := []Step{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	got, err := selectSteps(all, []string{"c", "a"})
	if err != nil || len(got) != 2 || got[0].Name != "a" || got[1].Name != "c" {
		t.Errorf("got %v, %v, want steps a and c", got, err)
	}
	if _, err := selectSteps(all, []string{"d"}); err == nil || !strings.Contains(err.Error(), `"d"`) {
		t.Errorf("got error %v, want one that names the step", err)
	}
}

func TestWaveSizeIsAtLeastOne(t *testing.T) {
	for _, c := range []struct {
		part    float64
		n, want int
	}{{0, 5, 0}, {0.01, 5, 1}, {0.5, 5, 3}, {1, 5, 5}, {0.5, 0, 0}} {
		if got := waveSize(c.part, c.n); got != c.want {
			t.Errorf("%g of %d: got %d, want %d", c.part, c.n, got, c.want)
		}
	}
}

func TestSharesDependOnlyOnSeed(t *testing.T) {
	one, err := simulateShareCase(300, 8, 3, 7)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := simulateShareCase(300, 8, 3, 7); err != nil || again != one {
		t.Errorf("second run with the same seed: got %+v, %v, want %+v", again, err, one)
	}
	if one.Requests == 0 || one.Admitted == 0 || one.Admitted > one.Requests {
		t.Errorf("%d of %d requests admitted, want some and no more than were made", one.Admitted, one.Requests)
	}
	if other, err := simulateShareCase(300, 8, 3, 8); err != nil || other == one {
		t.Errorf("another seed: got %+v, %v, want a different result", other, err)
	}
}

func fixedResult() Result {
	at := time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC)
	step := func(cpu float64) StepResult {
		return StepResult{Name: "one", Size: Size{Nodes: 300, Real: 1, Hollow: 20, ChangeRate: 2},
			Faults:   []string{"discovery-gone for 1s at 2s"},
			Real:     &NodeKindResult{Nodes: 1, Processes: 1, ControlCPU: ptr(cpu), Quiet: &PeriodResult{Seconds: 2, BytesIn: 1234, NotInForce: ptr(int64(0))}},
			Hollow:   &NodeKindResult{Nodes: 20, Processes: 1, HeapPerNode: ptr(0.5)},
			Registry: &RegistryResult{CPU: ptr(0.25)}}
	}
	broken := step(0.09)
	broken.Error = "node: not ready"
	return Result{Plan: "fixed", Seed: 3, Commit: "abc", TreeChanged: ptr(true), StartedAt: at,
		Machine: Machine{Cores: 8, Model: "M", MemoryMiB: 1024, Kernel: "6", Go: "go1"},
		Runs: []Run{{StartedAt: at, LoadAvg: ptr(0.5), Seconds: 10, Steps: []StepResult{step(0.03)}},
			{StartedAt: at, Seconds: 10, Steps: []StepResult{step(0.01)}}, {StartedAt: at, Seconds: 11, Steps: []StepResult{broken}}}}
}

const fixedReport = `plan fixed, seed 3, commit abc (tree changed), 2026-12-02T04:00:00Z, 3 run(s)
machine: 8 cores M, 1024 MiB, kernel 6, go1
run 1: 2026-12-02T04:00:00Z, 10 s, load average 0.50 at the start
run 2: 2026-12-02T04:00:00Z, 10 s
run 3: 2026-12-02T04:00:00Z, 11 s
figures: median (least..most) over runs
`

func TestReportGivesMedianAndRangeOverRuns(t *testing.T) {
	var out strings.Builder
	if err := Report(&out, fixedResult()); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), fixedReport) {
		t.Errorf("got report\n%s\nwant it to begin with\n%s", out.String(), fixedReport)
	}
	var rows []string
	for _, line := range strings.Split(out.String(), "\n") {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	text := strings.Join(rows, "\n")
	for _, want := range []string{
		"step one: 300 nodes, 0 transcribers in 0 services, 0 tenants\nruns 20 hollow and 1 real, 2 changes/s",
		"\nfault: discovery-gone for 1s at 2s\nNOT WHOLE, run 3 of the step: node: not ready\nnode real hollow\n",
		"\ncontrol_cpu_core_share 0.03 (0.01..0.09) -\n",
		"\nheap_mib_a_node - 0.5 (0.5..0.5)\n",
		"\nquiet.control_bytes_to_node_per_second 1234 (1234..1234) -\n",
		"\nquiet.not_in_force_at_the_end 0 (0..0) -\nregistry\ncpu_core_share 0.25 (0.25..0.25)\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if strings.Contains(text, "requests_sent") || strings.Contains(text, "peak_memory") {
		t.Errorf("figures that were not measured are in\n%s", text)
	}
}

func TestResultRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	if err := WriteResult(path, fixedResult()); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadResult(path); err != nil || !reflect.DeepEqual(got, fixedResult()) {
		t.Errorf("got %+v, %v, want what was written", got, err)
	}
}

func TestSpreadOmitsPercentilesWithTooFewValues(t *testing.T) {
	h := newHistogram()
	if summarize(h, 1) != nil {
		t.Error("got a spread of an empty histogram")
	}
	for i := range int64(99) {
		recordValue(h, 1000*(i+1))
	}
	if s := summarize(h, 1e-3); s.Count != 99 || s.P50 < 49 || s.P50 > 51 || s.P99 != nil || s.P999 != nil || s.Max < 99 {
		t.Errorf("99 values from 1 to 99: got %+v", s)
	}
	for range 901 {
		recordValue(h, 1000)
	}
	if s := summarize(h, 1e-3); s.P99 == nil || s.P999 == nil {
		t.Errorf("1,000 values: got %+v, want P99 and P999", s)
	}
}
