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

// TestMain stands in for the programs that a run starts: its own children, and the node.
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
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	clients, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return node.Run(context.Background(), c, node.Listeners{Clients: clients}, nil)
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

// A run counts each change at each node, and each request.
func TestARunCountsChangesAndRequests(t *testing.T) {
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
	res, err := scale.Execute(t.Context(), plan, scale.Options{NodeBinary: self, Program: self, MemoryMB: 192})
	if err != nil {
		t.Fatal(err)
	}
	s := res.Runs[0].Steps[0]
	for kind, k := range map[string]*scale.KindResult{"real": s.Real, "hollow": s.Hollow} {
		if n := k.Quiet.Changes + k.Loaded.Changes; n != 6 {
			t.Errorf("%s: %d changes, want 6", kind, n)
		}
		if k.ControlCPU == nil || k.LogBytes == nil {
			t.Errorf("%s: CPU or log bytes were not measured", kind)
		}
		for _, p := range []*scale.PartResult{k.Quiet, k.Loaded} {
			if p.InForce != nil && p.InForce.Count+*p.NotInForce != int64(p.Changes*k.Nodes) {
				t.Errorf("%s: %d pairs of node and change in force and %d not, want %d in all", kind, p.InForce.Count,
					*p.NotInForce, p.Changes*k.Nodes)
			}
		}
	}
	if l := s.Load; l.Sent == 0 || l.Sent != l.Served+l.Refused+l.Failed {
		t.Errorf("load: %+v", *l)
	}
	if s.Real.AgainToReady == nil || s.Real.AgainToReady.Count != 1 || s.Real.StartToReady.Count != 1 {
		t.Errorf("real: %+v", *s.Real)
	}
	left, err := filepath.Glob(filepath.Join(dir, "scalerun-*"))
	if err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

func TestBadArgumentsAndFilesGetOneLine(t *testing.T) {
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
			t.Errorf("%q shows the children's command", args)
		}
	}
}
