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
	"cobaltward/internal/syserr"
)

// heapPart of the memory limit is the runtime's; stacks of the system and the sockets take the rest.
const heapPart = 0.6

// A configuration that can't be read at a signal is read again for so long, after pauses. The old address of discovery
// closes 1.5 s after the signal, and what the new one has counts 4 s after it.
const (
	reloadFor       = time.Minute
	reloadPause     = 10 * time.Millisecond
	reloadPauseMost = time.Second
)

// A start is tried again for so long, after pauses: nine in ten have to be ready within 10 s.
const (
	startWithin    = 5 * time.Second
	startPauseMost = 100 * time.Millisecond
)

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
	var c node.Config
	if err := atStart(func() (err error) { c, err = node.LoadConfig(os.Getenv); return err }); err != nil {
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
		var err error
		if listeners.Clients, err = inherit(text); err != nil {
			return err
		}
		c.Handover = os.Getenv("TMPDIR")
	} else if err := listen(&listeners.Clients, c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Operator != "" {
		if err := listen(&listeners.Operators, c.Operator); err != nil {
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

// atStart tries again what fails by a lack that passes: a process that ends at its start has crashed.
func atStart(try func() error) error {
	return syserr.Retry(context.Background(), startWithin, syserr.Backoff{Initial: reloadPause, Max: startPauseMost}, try)
}

func listen(to *net.Listener, address string) error {
	return atStart(func() (err error) { *to, err = net.Listen("tcp", address); return err })
}

// reload reads the configuration again at each SIGHUP until done; the newest address stands in moves. A file that can't
// be read, or isn't whole, is read again for a while: descriptors may be short just then, or its writer may not be done.
func reload(hup <-chan os.Signal, moves chan string, done <-chan struct{}) {
	var again <-chan time.Time // nil: nothing is left to read
	var late time.Time
	var backoff syserr.Backoff
	for {
		select {
		case <-hup:
			backoff = syserr.Backoff{Initial: reloadPause, Max: reloadPauseMost}
			late = time.Now().Add(reloadFor)
		case <-again:
		case <-done:
			return
		}
		again = nil
		addr, err := node.ReloadDiscovery(os.Getenv)
		if err == nil {
			select {
			case <-moves:
			default:
			}
			moves <- addr
			continue
		}
		if time.Now().After(late) {
			slog.Error("reload: keeping the old configuration for good", "err", err)
			continue
		}
		pause := backoff.Next()
		slog.Error("reload: keeping the old configuration for now", "err", err, "again_in", pause)
		again = time.After(pause)
	}
}
