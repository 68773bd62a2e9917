package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cobaltward/internal/node"
	"cobaltward/internal/scale"
)

// TestMain lets the test binary also act as the programs that a run starts: scalerun's child processes and the node.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	switch {
	case len(os.Args) > 1 && os.Args[1] == "child":
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	case os.Getenv("ROUTER_CONFIG") != "":
		if err := runNode(); err != nil {
			fmt.Fprintln(os.Stderr, "node:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func runNode() error {
	config, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	clients, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	return node.Run(context.Background(), config, node.Listeners{Clients: clients}, nil)
}

const tinyPlan = `name = "tiny"
seed = 5
[[step]]
name = "one"
nodes = 3
hollow = 2
real = 1
services = 2
transcribers = 6
tenants = 100
zones = 1
requests_per_second = 40.0
changes_per_second = 10.0
quiet = "300ms"
loaded = "300ms"
[[step.fault]]
at = "100ms"
kind = "restart-wave"
part = 0.5
`

// Guards against a run that loses changes or requests: each change must be accounted for at each node, either as in
// force or as not in force, and each request as served, refused or failed.
func TestRunCountsChangesAndRequests(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	plan := filepath.Join(dir, "plan.toml")
	if err := os.WriteFile(plan, []byte(tinyPlan), 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	result, err := scale.Execute(t.Context(), plan, scale.Options{NodeBinary: self, Program: self, MemoryMB: 192})
	if err != nil {
		t.Fatal(err)
	}
	step := result.Runs[0].Steps[0]
	for kind, nodes := range map[string]*scale.NodeKindResult{"real": step.Real, "hollow": step.Hollow} {
		if n := nodes.Quiet.Changes + nodes.Loaded.Changes; n != 6 {
			t.Errorf("%s: %d changes, want 6", kind, n)
		}
		if nodes.ControlCPU == nil || nodes.LogBytesPerNode == nil {
			t.Errorf("%s: CPU time or log bytes are missing", kind)
		}
		for _, period := range []*scale.PeriodResult{nodes.Quiet, nodes.Loaded} {
			if period.InForce != nil && period.InForce.Count+*period.NotInForce != int64(period.Changes*nodes.Nodes) {
				t.Errorf("%s: %d pairs of node and change in force and %d not in force, want %d in total", kind, period.InForce.Count,
					*period.NotInForce, period.Changes*nodes.Nodes)
			}
		}
	}
	if load := step.Load; load.Sent == 0 || load.Sent != load.Served+load.Refused+load.Failed {
		t.Errorf("load: %+v", *load)
	}
	if step.Real.RestartToReady == nil || step.Real.RestartToReady.Count != 1 || step.Real.StartToReady.Count != 1 {
		t.Errorf("real: %+v", *step.Real)
	}
	leftovers, err := filepath.Glob(filepath.Join(dir, "scalerun-*"))
	if err != nil || len(leftovers) > 0 {
		t.Errorf("temporary files left behind: %v, %v", leftovers, err)
	}
}

func TestBadArgumentsAndFilesPrintOneLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad")
	if err := os.WriteFile(bad, []byte(`{"plan":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{nil, 2, "expected one of"},
		{[]string{"run"}, 2, "<plan>"},
		{[]string{"run", "x", "--seed=y"}, 2, "--seed"},
		{[]string{"run", "x", "--repeat=0"}, 1, "--repeat: want 1 to 100, got 0"},
		{[]string{"run", "x", "--node-memory-mb=0"}, 1, "--node-memory-mb: want 1 or more, got 0"},
		{[]string{"run", filepath.Join(dir, "none")}, 1, "no such file"},
		{[]string{"run", bad}, 1, bad},
		{[]string{"report", filepath.Join(dir, "none")}, 1, "no such file"},
		{[]string{"report", bad}, 1, "not a result: runs: missing"},
		{[]string{"child", "odd"}, 1, `child "odd": want registry, transcribers or hollow`},
		{[]string{"surprise"}, 2, "surprise"},
	} {
		var out, errs bytes.Buffer
		code := run(c.args, &out, &errs)
		if code != c.code || !strings.Contains(errs.String(), c.want) || strings.Count(errs.String(), "\n") != 1 || out.Len() > 0 {
			t.Errorf("%q: code %d and %q, want %d and one line with %q", c.args, code, errs.String(), c.code, c.want)
		}
	}
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"run", "--help"}, {"report", "--help"}, {"shares", "--help"}} {
		var out, errs bytes.Buffer
		if code := run(args, &out, &errs); code != 0 || !strings.Contains(out.String(), "Usage: scalerun") || errs.Len() > 0 {
			t.Errorf("%q: code %d, %q, %q", args, code, out.String(), errs.String())
		}
		if strings.Contains(out.String(), "child") {
			t.Errorf("%q shows the hidden child command", args)
		}
	}
}
