// Command wayhold is one request-routing node on real sockets. ROUTER_CONFIG names its configuration.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"cobaltward/internal/logging"
	"cobaltward/internal/node"
)

// heapPart of the memory limit is the runtime's; stacks of the system and the sockets take the rest.
const heapPart = 0.6

// lastLinesWithin bounds how long the process waits at its end for its log to be taken.
const lastLinesWithin = 200 * time.Millisecond

func main() {
	signal.Ignore(syscall.SIGPIPE) // who reads the log may go; a write then fails, and that is all
	lines := logging.NewWriter(os.Stderr)
	slog.SetLogLoggerLevel(slog.LevelDebug) // net/http would log a line for each server's stray byte
	slog.SetDefault(slog.New(slog.NewTextHandler(lines, nil)))
	err := run(lines.Dropped)
	if err != nil {
		fmt.Fprintln(lines, "wayhold:", err)
	}
	lines.Flush(lastLinesWithin)
	if err != nil {
		os.Exit(1)
	}
}

// run serves until the process is told to end; logDropped is how many log lines were never written.
func run(logDropped func() int64) error {
	// Both are handled until the process has gone: a signal that came after the handlers would end it as a crash.
	hup := make(chan os.Signal, 1) // one more that is waiting stands for all: the file is read after it
	signal.Notify(hup, syscall.SIGHUP)
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	c.LogDropped = logDropped
	debug.SetMemoryLimit(int64(heapPart * float64(c.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	go func() { <-term; stop() }()
	var listeners node.Listeners
	if text := os.Getenv(inheritedVar); text != "" {
		if listeners.Clients, err = inherit(text); err != nil {
			return err
		}
		c.Handover = os.Getenv("TMPDIR")
	} else if listeners.Clients, err = net.Listen("tcp", c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Operator != "" {
		if listeners.Operators, err = net.Listen("tcp", c.Operator); err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		slog.Info("listening to operators", "address", listeners.Operators.Addr())
	}
	slog.Info("listening", "name", c.Name, "address", listeners.Clients.Addr(), "servers", len(c.Known.Members))
	moves, done := make(chan string, 1), make(chan struct{})
	defer close(done)
	go reload(hup, moves, done)
	return node.Run(ctx, c, listeners, moves)
}

// reload reads the configuration again at each SIGHUP until done; the newest address stands in moves.
func reload(hup <-chan os.Signal, moves chan string, done <-chan struct{}) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		addr, err := node.ReloadDiscovery(os.Getenv)
		if err != nil {
			slog.Error("reload: keeping the old configuration", "err", err)
			continue
		}
		select {
		case <-moves:
		default:
		}
		moves <- addr
	}
}
