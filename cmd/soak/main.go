// Command soak runs node processes under overlapping disruptions, which it generates from a seed, and checks them against
// the rules. Read command and its Run first, then package internal/soak, which does the work.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cobaltward/internal/soak"
)

const (
	maxSeeds           = 1000
	maxParallel        = 8
	maxPrintedFindings = 20 // of each run
)

// errUsageGrowth is returned if the nodes' resource usage with many servers exceeds a limit of soak.CompareUsage.
var errUsageGrowth = errors.New("the nodes' resource usage grows too much with the number of servers")

// errViolations is returned if a run found violations of the rules.
var errViolations = errors.New("rules were violated")

// command holds the flags of the program.
type command struct {
	Seed     uint64        `help:"Of the plan." default:"1"`
	Seeds    string        `help:"Play these seeds one after the other instead, both ends among them." placeholder:"A..B"`
	Duration time.Duration `help:"Of each run." default:"60s"`
	Nodes    int           `help:"Node processes." default:"24"`
	Servers  int           `help:"Stand-ins for transcribers." default:"10"`
	Overload bool          `help:"Servers get more than they can do in time, clients ask again, and a release goes on."`
	Core     float64       `help:"Part of a core that each node gets in an overload; drawn where none is named."`
	Growth   bool          `help:"Play each overload with few servers as well, and compare what nodes need (STANDING's table)."`
	Usual    int           `help:"Servers of that other run." default:"200"`
	Faults   string        `help:"Play these troubles only, separated by commas." placeholder:"A,B"`
	Parallel int           `help:"Runs at once." default:"1"`
	Out      string        `help:"Write the results there, as JSON." placeholder:"FILE"`
	Logs     string        `help:"Keep the nodes' logs and configurations there." placeholder:"DIR"`
	Node     string        `help:"The built node; it is built where none is named." placeholder:"FILE"`
	Faulty   string        `help:"The node built with the tag faults; it is built where none is named." placeholder:"FILE"`
	Env      []string      `help:"A further variable of the nodes' environment." placeholder:"NAME=VALUE"`
	Plan     bool          `help:"Print the plans and play nothing."`
}

// Run runs all seeds, or prints their plans. It fails if a rule was violated.
func (c command) Run(out io.Writer) error {
	seeds, err := c.seeds()
	if err != nil {
		return err
	}
	faults, err := soak.ParseKinds(c.Faults)
	if err != nil {
		return err
	}
	if c.Parallel < 1 || c.Parallel > maxParallel {
		return fmt.Errorf("parallel: want 1 to %d, got %d", maxParallel, c.Parallel)
	}
	options := soak.Options{Duration: c.Duration, Nodes: c.Nodes, Servers: c.Servers, Kinds: faults, Overload: c.Overload || c.Growth, CPUShare: c.Core, NoDisruptions: c.Growth}
	if c.Plan {
		return printPlans(out, options, seeds)
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := buildNode(&c.Node, filepath.Join(dir, "wayhold")); err != nil {
		return err
	}
	if err := buildNode(&c.Faulty, filepath.Join(dir, "wayhold-faults"), "-tags", "faults"); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results, err := c.runSeeds(ctx, out, options, seeds, dir)
	if c.Out != "" {
		err = errors.Join(err, writeResults(c.Out, results))
	}
	return err
}

// buildNode builds the node and sets *binary to its path, unless *binary names a built one already.
func buildNode(binary *string, path string, flags ...string) error {
	if *binary != "" {
		return nil
	}
	*binary = path
	args := append([]string{"build", "-o", path}, append(flags, "cobaltward/cmd/wayhold")...)
	if output, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, output)
	}
	return nil
}

// runSeeds runs the seeds, up to c.Parallel at once, and returns their results in order.
func (c command) runSeeds(ctx context.Context, out io.Writer, options soak.Options, seeds []uint64, dir string) ([]soak.Result, error) {
	results, errs := make([]soak.Result, len(seeds)), make([]error, len(seeds))
	slots := make(chan struct{}, c.Parallel)
	var wg sync.WaitGroup
	var printMu sync.Mutex
	for i, seed := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			o := options
			o.Seed = seed
			results[i], errs[i] = soak.Execute(ctx, soak.Settings{Binary: c.Node, FaultyBinary: c.Faulty, Env: c.Env, Options: o,
				Dir: filepath.Join(dir, fmt.Sprintf("seed-%d", seed))})
			printMu.Lock()
			defer printMu.Unlock()
			printResult(out, seed, results[i], errs[i])
		})
	}
	wg.Wait()
	err := errors.Join(errs...)
	if c.Growth && err == nil {
		err = c.compareUsage(ctx, out, results, dir)
	}
	for _, r := range results {
		if r.Failed() {
			return results, errors.Join(err, errViolations)
		}
	}
	return results, err
}

// compareUsage runs the same seeds with c.Usual servers, and compares the nodes' resource usage with that of the results.
func (c command) compareUsage(ctx context.Context, out io.Writer, results []soak.Result, dir string) error {
	for _, large := range results {
		o := soak.Options{Seed: large.Plan.Seed, Duration: large.Plan.Duration, Nodes: large.Plan.Nodes, Servers: c.Usual,
			Overload: true, CPUShare: c.Core, NoDisruptions: true}
		usual, err := soak.Execute(ctx, soak.Settings{Binary: c.Node, FaultyBinary: c.Faulty, Env: c.Env, Options: o,
			Dir: filepath.Join(dir, fmt.Sprintf("seed-%d-usual", o.Seed))})
		printResult(out, o.Seed, usual, err)
		if err != nil {
			return err
		}
		lines, exceeded := soak.CompareUsage(usual, large)
		for _, line := range lines {
			fmt.Fprintln(out, "  growth:", line)
		}
		if exceeded {
			return errUsageGrowth
		}
	}
	return nil
}

// printResult prints a run's totals and findings, or its error.
func printResult(out io.Writer, seed uint64, r soak.Result, err error) {
	if err != nil {
		fmt.Fprintf(out, "seed %d: %v\n", seed, err)
		return
	}
	fmt.Fprintf(out, "seed %d: %d disruptions, %d requests %v, %d attempts, %d abandoned, %d close races, %d lost to kills, %d bad peers, %d starts (slowest %v), "+
		"%d kB, %d descriptors; %d findings, node violations %v, denials %v\n", seed, len(r.Plan.Disruptions), r.Counts.Requests,
		r.Counts.Statuses, r.Counts.Attempts, r.Counts.Abandoned, r.Counts.CloseRaces, r.Counts.LostToKill, r.Counts.BadPeers, r.Starts,
		r.SlowestStart.Round(time.Millisecond), r.MaxMemoryKB, r.MaxDescriptors, len(r.Findings), r.Violations, r.Denials)
	if overload := r.Plan.Overload; overload != nil {
		fmt.Fprintf(out, "  overload: %d servers with a total capacity of %.0f requests a second, service time %v, %.2f of a core; usage %+v, maximum lateness %v\n",
			r.Plan.Servers, overload.Capacity, overload.ServiceTime, overload.CPUShare, r.Usage, r.Counts.MaxLateness)
	}
	for i, f := range r.Findings {
		if i == maxPrintedFindings {
			fmt.Fprintf(out, "  and %d more\n", len(r.Findings)-maxPrintedFindings)
			break
		}
		fmt.Fprintf(out, "  %s at %v, node %d, %s: %s\n", f.Rule, f.At.Round(time.Millisecond), f.Node, f.ID, f.Detail)
	}
}

// printPlans prints the plan of each seed without running it.
func printPlans(out io.Writer, options soak.Options, seeds []uint64) error {
	for _, seed := range seeds {
		options.Seed = seed
		plan, err := soak.NewPlan(options)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %d: subscribe %v, hedging %v, %.1f requests a second to each node\n", seed, plan.Subscribe, plan.Hedging, plan.Rate)
		for _, node := range slices.Sorted(maps.Keys(plan.NodeFaults)) {
			fmt.Fprintf(out, "  node %d: %s\n", node, plan.NodeFaults[node])
		}
		for _, d := range plan.Disruptions {
			fmt.Fprintln(out, " ", d)
		}
	}
	return nil
}

// writeResults writes the results to a file, as JSON.
func writeResults(name string, results []soak.Result) error {
	raw, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(raw, '\n'), 0o644)
}

// seeds returns the seeds that the flags Seed and Seeds select.
func (c command) seeds() ([]uint64, error) {
	if c.Seeds == "" {
		return []uint64{c.Seed}, nil
	}
	first, last, ok := strings.Cut(c.Seeds, "..")
	from, err1 := strconv.ParseUint(first, 10, 64)
	to, err2 := strconv.ParseUint(last, 10, 64)
	if !ok || err1 != nil || err2 != nil || to < from || to-from >= maxSeeds {
		return nil, fmt.Errorf("seeds: want A..B with at most %d seeds, got %q", maxSeeds, c.Seeds)
	}
	var seeds []uint64
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	var c command
	parser := kong.Must(&c, kong.Name("soak"), kong.Description("Run node processes under overlapping disruptions, and check them against the rules."))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if err := c.Run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
