package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const minimalPlan = `
name = "small"
[[step]]
name = "one"
nodes = 10
hollow = 4
real = 1
services = 2
transcribers = 6
tenants = 5
`

func TestParsePlanFillsInDefaults(t *testing.T) {
	plan, err := parsePlan([]byte(minimalPlan))
	if err != nil {
		t.Fatal(err)
	}
	s := plan.Steps[0]
	if plan.Seed != 1 || s.Zones != 1 || s.Quiet.Duration != 10*time.Second || s.Loaded.Duration != 10*time.Second {
		t.Fatalf("got %+v", plan)
	}
	plan, err = parsePlan([]byte("seed = 0\n" + minimalPlan + `quiet = "0s"`))
	if err != nil {
		t.Fatal(err)
	}
	if plan.Seed != 0 || plan.Steps[0].Quiet.Duration != 0 {
		t.Fatalf("an explicit zero was overwritten by a default: %+v", plan)
	}
}

func TestPlanErrorNamesFieldInOneLine(t *testing.T) {
	twoSteps := minimalPlan + strings.TrimPrefix(minimalPlan, "\nname = \"small\"")
	for _, c := range []struct{ plan, want string }{
		{`name = "x"`, "step: want 1 to 64 of them, got 0"},
		{strings.Repeat("[[step]]\n", 65), "step: want 1 to 64 of them, got 65"},
		{strings.Replace(minimalPlan, "services = 2", "services = 0", 1), "step[0].services: want 1 or more, got 0"},
		{twoSteps + "zones = 0", "step[1].zones: want 1 or more, got 0"},
		{strings.Replace(minimalPlan, "real = 1", "real = 201", 1), "step[0].real: want 200 or less, got 201"},
		{strings.Replace(minimalPlan, "hollow = 4", "hollow = 5001", 1), "step[0].hollow: want 5000 or less, got 5001"},
		{strings.Replace(minimalPlan, "hollow = 4", "hollow = 10", 1), "step[0].hollow: want 1 to 10 (nodes) together with real, got 11"},
		{strings.Replace(minimalPlan, "hollow = 4\nreal = 1", "hollow = 0\nreal = 0", 1), "step[0].hollow: want 1 to 10 (nodes) together with real, got 0"},
		{strings.NewReplacer("nodes = 10", "nodes = 1000", "hollow = 4", "hollow = 400").Replace(minimalPlan) + "hollow_per_process = 2",
			"step[0].hollow_per_process: want 200 processes or less, got 201"},
		{strings.Replace(minimalPlan, "transcribers = 6", "transcribers = 1", 1), "step[0].transcribers: want 2 (services) or more, got 1"},
		{strings.Replace(minimalPlan, "transcribers = 6", "transcribers = 200001", 1), "step[0].transcribers: want 200000 or less, got 200001"},
		{minimalPlan + `quiet = "4m51s"`, "step[0].loaded: want more than 0s and 5m0s at most together with quiet, got 5m1s"},
		{minimalPlan + `quiet = "-1s"`, "step[0].quiet: want 0s to 5m0s, got -1s"},
		{minimalPlan + "requests_per_second = nan", "step[0].requests_per_second: want 0 to 100000 a second, got NaN"},
		{minimalPlan + "[[step.fault]]\nkind = \"rain\"", `step[0].fault[0].kind: want restart-wave, discovery-silent, discovery-gone or zone-lost, got "rain"`},
		{minimalPlan + "[[step.fault]]\nkind = \"restart-wave\"\npart = 1.5", "step[0].fault[0].part: want more than 0 and 1 at most, got 1.5"},
		{minimalPlan + "[[step.fault]]\nkind = \"discovery-gone\"", "step[0].fault[0].for: want 1ms to 20s, got 0s"},
		{minimalPlan + "[[step.fault]]\nkind = \"restart-wave\"\npart = 1\nat = \"21s\"", "step[0].fault[0].at: want 0s to 20s, got 21s"},
		{minimalPlan + "servces = 3", "line 11: step.servces: unknown field"},
		{minimalPlan + `quiet = "soon"`, "line 11: step.quiet: "},
		{minimalPlan + `zones = "three"`, "line 11: step.zones: "},
		{"name = ", "line 1: "},
	} {
		_, err := parsePlan([]byte(c.plan))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want %q, got %v\nfor the plan\n%s", c.want, err, c.plan)
		}
	}
}

func TestRepositoryPlansAreValidAndShort(t *testing.T) {
	files, err := filepath.Glob("../../deploy/scale/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no plans: %v", err)
	}
	for _, file := range files {
		plan, err := LoadPlan(file)
		if err != nil {
			t.Error(err)
		}
		var total time.Duration
		for _, s := range plan.Steps {
			total += s.Quiet.Duration + s.Loaded.Duration
		}
		if total > 150*time.Second { // leaves as much again of 5 minutes for starting and stopping processes
			t.Errorf("%s: takes %v, want at most 2m30s", file, total)
		}
	}
	if _, err := LoadPlan(filepath.Join(t.TempDir(), "none.toml")); !os.IsNotExist(err) {
		t.Errorf("missing file: got %v, want a not-exist error", err)
	}
}
