// Command wayhold runs one request-routing node on real sockets. ROUTER_CONFIG names its configuration file. Read run
// first, then package internal/node, which does the work.
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

// The share of the memory limit given to the Go runtime: heapFraction, or with little memory smallHeapFraction of what the
// program's code and data leave. The rest is for system threads, sockets and what the runtime is late to free.
const (
	heapFraction      = 0.6
	smallHeapFraction = 0.8
)

// heapLimit returns the Go runtime's memory limit, in bytes.
func heapLimit(memoryMB int64) int64 {
	memory := float64(memoryMB << 20)
	return int64(min(heapFraction*memory, smallHeapFraction*max(0, memory-node.ProgramMemory)))
}

// A configuration that can't be read at SIGHUP is read again with exponential backoff until reloadTimeout has passed.
// The old discovery address closes 1.5 s after the signal, and the lists at the new address count as delivered to the
// node from 4 s after it.
const (
	reloadTimeout   = time.Minute
	firstRetryDelay = 10 * time.Millisecond
	maxReloadDelay  = time.Second
)

// A failed step of the start is retried with exponential backoff until startTimeout has passed: 90% of all starts have
// to be ready within 10 s.
const (
	startTimeout  = 5 * time.Second
	maxStartDelay = 100 * time.Millisecond
)

// logFlushTimeout is how long the process waits at exit for its log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	signal.Ignore(syscall.SIGPIPE) // if the log's reader has exited, writes fail instead of ending the process
	logWriter := logging.NewWriter(os.Stderr)
	slog.SetLogLoggerLevel(slog.LevelDebug) // drops net/http's messages, one for each unsolicited byte from a server
	slog.SetDefault(slog.New(slog.NewTextHandler(logWriter, nil)))
	err := run(logWriter.Dropped)
	if err != nil {
		fmt.Fprintln(logWriter, "wayhold:", err)
	}
	logWriter.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT; logDropped returns the number of log lines that were dropped.
func run(logDropped func() int64) error {
	// SIGHUP and SIGTERM stay handled until the process exits: without a handler, a signal that arrives during the
	// shutdown would kill the process, which counts as a crash.
	hup := make(chan os.Signal, 1) // one pending signal is enough: the file is read after it is received
	signal.Notify(hup, syscall.SIGHUP)
	var config node.Config
	if err := retryAtStart(func() (err error) { config, err = node.LoadConfig(os.Getenv); return err }); err != nil {
		return err
	}
	config.LogDropped = logDropped
	debug.SetMemoryLimit(heapLimit(config.MemoryMB))
	runtime.GOMAXPROCS(int(max(1, math.Ceil(config.Cores))))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	go func() { <-term; stop() }()
	var listeners node.Listeners
	if fdText := os.Getenv(inheritedFDEnv); fdText != "" {
		var err error
		if listeners.Clients, err = inheritListener(fdText); err != nil {
			return err
		}
		config.Handover = os.Getenv("TMPDIR")
	} else if err := listen(&listeners.Clients, config.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if config.Operator != "" {
		if err := listen(&listeners.Operators, config.Operator); err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		slog.Info("listening to operators", "address", listeners.Operators.Addr())
	}
	slog.Info("listening", "name", config.Name, "address", listeners.Clients.Addr(), "servers", len(config.Known.Members))
	addresses, done := make(chan string, 1), make(chan struct{})
	defer close(done)
	go reloadOnSignal(hup, addresses, done)
	return node.Run(ctx, config, listeners, addresses)
}

// retryAtStart retries an operation that fails for a temporary reason, such as a lack of descriptors, since a process
// that exits during its start counts as crashed.
func retryAtStart(attempt func() error) error {
	return syserr.Retry(context.Background(), startTimeout,
		syserr.Backoff{Initial: firstRetryDelay, Max: maxStartDelay}, attempt)
}

func listen(listener *net.Listener, address string) error {
	return retryAtStart(func() (err error) { *listener, err = net.Listen("tcp", address); return err })
}

// reloadOnSignal reads the discovery address from the configuration again at each SIGHUP until done is closed, and
// keeps only the newest address in the channel. A file that is unreadable or incomplete is retried until reloadTimeout
// has passed: the process may be out of descriptors for a moment, or the file may not be completely written yet.
func reloadOnSignal(hup <-chan os.Signal, addresses chan string, done <-chan struct{}) {
	var retry <-chan time.Time // nil: no retry is scheduled
	var deadline time.Time
	var backoff syserr.Backoff
	for {
		select {
		case <-hup:
			backoff = syserr.Backoff{Initial: firstRetryDelay, Max: maxReloadDelay}
			deadline = time.Now().Add(reloadTimeout)
		case <-retry:
		case <-done:
			return
		}
		retry = nil
		addr, err := node.ReloadDiscovery(os.Getenv)
		if err == nil {
			select {
			case <-addresses:
			default:
			}
			addresses <- addr
			continue
		}
		if time.Now().After(deadline) {
			slog.Error("reload failed, keeping the old configuration", "err", err)
			continue
		}
		delay := backoff.Next()
		slog.Error("reload failed, keeping the old configuration until a retry", "err", err, "again_in", delay)
		retry = time.After(delay)
	}
}
