// Command scalerun measures nodes in fleets that are too large to run completely on one machine, as described by a plan,
// and prints the results. Read commands first, then package internal/scale, which does the work.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"cobaltward/internal/scale"
)

// commands holds the program's subcommands.
type commands struct {
	Run    runCommand    `cmd:"" help:"Run a plan's steps and write what they measure."`
	Report reportCommand `cmd:"" help:"Print a result as tables; of several runs the median, the least and the most."`
	Shares sharesCommand `cmd:"" help:"Model, in virtual time, how much of its share a tenant gets that few nodes see."`
	Child  childCommand  `cmd:"" hidden:"" help:"Serve a parent over standard input and output."`
}

type runCommand struct {
	Plan         string   `arg:"" help:"The plan, a TOML file."`
	Out          string   `help:"Write the result there instead of to standard output." placeholder:"FILE"`
	Step         []string `help:"Run this step alone; may be given several times." placeholder:"NAME"`
	NodeBinary   string   `help:"The built node." default:"bin/wayhold" placeholder:"FILE"`
	NodeMemoryMB int      `help:"The memory limit, in MB, that nodes are told." default:"192" name:"node-memory-mb"`
	Seed         uint64   `help:"Instead of the plan's; 0 keeps that."`
	Repeat       int      `help:"Run the whole plan this often, into one result." default:"1"`
}

// Run executes the plan. After an error it still writes what was measured before.
func (c runCommand) Run() error {
	if c.Repeat < 1 || c.Repeat > 100 {
		return fmt.Errorf("--repeat: want 1 to 100, got %d", c.Repeat)
	}
	if c.NodeMemoryMB < 1 {
		return fmt.Errorf("--node-memory-mb: want 1 or more, got %d", c.NodeMemoryMB)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := scale.Execute(ctx, c.Plan, scale.Options{NodeBinary: c.NodeBinary, Program: self, Steps: c.Step,
		Seed: c.Seed, Repeat: c.Repeat, MemoryMB: c.NodeMemoryMB})
	if len(result.Runs) > 0 {
		err = errors.Join(err, scale.WriteResult(c.Out, result))
	}
	return err
}

type reportCommand struct {
	Result string `arg:"" help:"A result that run has written."`
}

// Run prints a result as tables.
func (c reportCommand) Run(out io.Writer) error {
	result, err := scale.ReadResult(c.Result)
	if err != nil {
		return err
	}
	return scale.Report(out, result)
}

type sharesCommand struct {
	Seed uint64 `help:"Of arrivals and of the nodes." default:"1"`
	Out  string `help:"Write the result there instead of to standard output." placeholder:"FILE"`
}

// Run runs the shares model and writes its result.
func (c sharesCommand) Run() error {
	result, err := scale.SimulateShares(c.Seed)
	if err != nil {
		return err
	}
	return scale.WriteResult(c.Out, result)
}

type childCommand struct {
	Kind string `arg:""`
}

// Run serves the parent's calls until the parent closes standard input.
func (c childCommand) Run() error { return scale.ServeChild(c.Kind) }

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run returns the exit code: 2 for invalid arguments, 1 if the command fails.
func run(args []string, stdout, stderr io.Writer) (code int) {
	exitCode := -1
	parser, err := kong.New(&commands{}, kong.Name("scalerun"), kong.Writers(stdout, stderr),
		kong.Description("Measure nodes in fleets that are too large to run completely on one machine."),
		kong.BindTo(stdout, (*io.Writer)(nil)), kong.Exit(func(code int) { exitCode = code; panic(exitPanic{}) }))
	if err != nil {
		fmt.Fprintln(stderr, "scalerun:", err)
		return 2
	}
	defer func() { // kong expects its exit function not to return: after printing help it would go on
		if recovered := recover(); recovered != nil {
			if _, isExit := recovered.(exitPanic); !isExit {
				panic(recovered)
			}
			code = exitCode
		}
	}()
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "scalerun:", err)
		return 2
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, "scalerun:", err)
		return 1
	}
	return 0
}

// exitPanic is the panic value by which kong's exit function leaves the parser.
type exitPanic struct{}
