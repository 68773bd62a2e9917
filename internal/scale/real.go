package scale

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readyTimeout      = 2 * time.Minute
	readyPollInterval = 2 * time.Millisecond
	maxLastLogLine    = 400 // bytes of a node's last log line kept for the error if it exits unexpectedly
)

// realNode runs the node's binary and collects its measurements across restarts.
type realNode struct {
	program, config, listen string

	history  revisionHistory
	logBytes atomic.Int64 // total bytes logged

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{} // closed when the process has exited and its log has been read
	stopping    bool          // the process is being stopped on purpose
	pastCPU     time.Duration // CPU time of the processes that have exited
	lastLogLine []byte
	exitState   string // of the last process that has exited, such as "exit status 1"
}

// start starts the process without waiting until it is ready.
func (n *realNode) start(tempDir string) error {
	cmd := exec.Command(n.program)
	cmd.Env = []string{"ROUTER_CONFIG=" + n.config, "TMPDIR=" + tempDir}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := startProcess(cmd); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.stopping = cmd, exited, false
	n.mu.Unlock()
	go func() {
		defer close(exited)
		n.readLog(stderr)
		_ = cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cmd = nil
		n.exitState = cmd.ProcessState.String()
		n.pastCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}()
	return nil
}

// readLog reads the process's log until it ends.
func (n *realNode) readLog(stderr io.Reader) {
	r := bufio.NewReaderSize(stderr, 64<<10)
	for {
		line, err := r.ReadSlice('\n')
		n.logBytes.Add(int64(len(line)))
		if inForce, ok := parseInForce(line); ok {
			n.history.add(inForce)
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			n.mu.Lock()
			n.lastLogLine = append(n.lastLogLine[:0], line[:min(len(line), maxLastLogLine)]...)
			n.mu.Unlock()
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
}

var (
	inForceMessage = []byte(`msg="list: in force"`)
	inForcePattern = regexp.MustCompile(`^time=(\S+) .*msg="list: in force".* revision=(\d+)(?:\s|$)`)
)

// parseInForce parses the log line that reports that a list is in force.
func parseInForce(line []byte) (revisionTime, bool) {
	if !bytes.Contains(line, inForceMessage) {
		return revisionTime{}, false
	}
	match := inForcePattern.FindSubmatch(line)
	if match == nil {
		return revisionTime{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, string(match[1]))
	revision, revisionErr := strconv.ParseInt(string(match[2]), 10, 64)
	if err != nil || revisionErr != nil {
		return revisionTime{}, false
	}
	return revisionTime{revision, at.UnixNano()}, true
}

// awaitReady polls the node's readiness endpoint until it reports ready.
func (n *realNode) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, fmt.Errorf("node: not ready within %v", readyTimeout))
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+"/health/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(readyPollInterval):
		}
		if err := n.unexpectedExit(); err != nil {
			return err
		}
	}
}

// unexpectedExit returns an error if the process has exited without being stopped by kill.
func (n *realNode) unexpectedExit() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		if !n.stopping {
			return fmt.Errorf("node: exited unexpectedly: %s: %s", n.exitState, n.lastLogLine)
		}
	default:
	}
	return nil
}

// kill kills the process and waits until it has exited.
func (n *realNode) kill() {
	n.mu.Lock()
	n.stopping = true
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	if exited != nil {
		<-exited
	}
}

// cpuTime returns the CPU time of this node's processes so far.
func (n *realNode) cpuTime() (time.Duration, error) {
	n.mu.Lock()
	cmd, exited, pastCPU := n.cmd, n.exited, n.pastCPU
	n.mu.Unlock()
	if cmd == nil {
		return pastCPU, nil
	}
	currentCPU, err := processCPUTime(cmd.Process.Pid)
	if errors.Is(err, syscall.EINVAL) { // the process has just exited, and its time is about to be added to pastCPU
		<-exited
		return n.cpuTime()
	}
	return pastCPU + currentCPU, err
}

// memory returns a field of /proc/PID/status in bytes.
func (n *realNode) memory(name string) (int64, error) {
	pid := n.pid()
	if pid == 0 {
		return 0, errors.New("node: not running")
	}
	return processMemory(pid, name)
}

func (n *realNode) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// newRealNode writes the node's configuration file into dir.
func newRealNode(program, dir string, w *World, index int, discovery string, memoryMB int) (*realNode, error) {
	port, err := FreeLoopbackPort()
	if err != nil {
		return nil, err
	}
	n := &realNode{program: program, listen: fmt.Sprintf("127.0.0.1:%d", port),
		config: filepath.Join(dir, fmt.Sprintf("node-%d.json", index))}
	raw, err := w.Config(index, n.listen, discovery, memoryMB)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.config, raw, 0o600)
}
