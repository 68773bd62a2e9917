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
	readyWithin = 2 * time.Minute
	readyPoll   = 2 * time.Millisecond
	maxLogTail  = 400 // bytes of a node's last line, told when it ends by itself
)

// realNode is the built program, over all its starts.
type realNode struct {
	program, config, listen string

	history revisionHistory
	log     atomic.Int64 // bytes written so far

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended, and its log is read
	ending   bool          // it was told to
	past     time.Duration // CPU of the processes that have ended
	lastLine []byte
	state    string // of the last process that has ended, such as "exit status 1"
}

// start starts a process, which is ready some time later.
func (n *realNode) start(temp string) error {
	cmd := exec.Command(n.program)
	cmd.Env = []string{"ROUTER_CONFIG=" + n.config, "TMPDIR=" + temp}
	logs, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := start(cmd); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.ending = cmd, ended, false
	n.mu.Unlock()
	go func() {
		defer close(ended)
		n.follow(logs)
		_ = cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cmd = nil
		n.state = cmd.ProcessState.String()
		n.past += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}()
	return nil
}

// follow reads the log to its end.
func (n *realNode) follow(logs io.Reader) {
	r := bufio.NewReaderSize(logs, 64<<10)
	for {
		line, err := r.ReadSlice('\n')
		n.log.Add(int64(len(line)))
		if s, ok := parseInForce(line); ok {
			n.history.add(s)
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			n.mu.Lock()
			n.lastLine = append(n.lastLine[:0], line[:min(len(line), maxLogTail)]...)
			n.mu.Unlock()
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
}

var (
	inForceText = []byte(`msg="list: in force"`)
	inForceLine = regexp.MustCompile(`^time=(\S+) .*msg="list: in force".* revision=(\d+)(?:\s|$)`)
)

// parseInForce reads a log line that says that a list is in force.
func parseInForce(line []byte) (revisionTime, bool) {
	if !bytes.Contains(line, inForceText) {
		return revisionTime{}, false
	}
	m := inForceLine.FindSubmatch(line)
	if m == nil {
		return revisionTime{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, string(m[1]))
	revision, err2 := strconv.ParseInt(string(m[2]), 10, 64)
	if err != nil || err2 != nil {
		return revisionTime{}, false
	}
	return revisionTime{revision, at.UnixNano()}, true
}

// awaitReady polls the node until it says that it is ready.
func (n *realNode) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyWithin, fmt.Errorf("node: not ready within %v", readyWithin))
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+"/health/ready", nil)
		if err != nil {
			return err
		}
		if answer, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(readyPoll):
		}
		if err := n.crashed(); err != nil {
			return err
		}
	}
}

// crashed tells that the process has ended though nobody told it to.
func (n *realNode) crashed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		if !n.ending {
			return fmt.Errorf("node: ended by itself: %s: %s", n.state, n.lastLine)
		}
	default:
	}
	return nil
}

// kill ends the process outright.
func (n *realNode) kill() {
	n.mu.Lock()
	n.ending = true
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	if ended != nil {
		<-ended
	}
}

// cpu is that of all processes so far.
func (n *realNode) cpu() (time.Duration, error) {
	n.mu.Lock()
	cmd, ended, past := n.cmd, n.ended, n.past
	n.mu.Unlock()
	if cmd == nil {
		return past, nil
	}
	now, err := cpuOf(cmd.Process.Pid)
	if errors.Is(err, syscall.EINVAL) { // it has just gone, and its time is about to be added
		<-ended
		return n.cpu()
	}
	return past + now, err
}

// memory returns a field of /proc/PID/status in bytes.
func (n *realNode) memory(name string) (int64, error) {
	pid := n.pid()
	if pid == 0 {
		return 0, errors.New("node: not running")
	}
	return memoryOf(pid, name)
}

func (n *realNode) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// newRealNode writes the node's configuration into the folder.
func newRealNode(program, folder string, w *World, number int, discovery string, memoryMB int) (*realNode, error) {
	port, err := FreeLoopbackPort()
	if err != nil {
		return nil, err
	}
	n := &realNode{program: program, listen: fmt.Sprintf("127.0.0.1:%d", port),
		config: filepath.Join(folder, fmt.Sprintf("node-%d.json", number))}
	raw, err := w.Config(number, n.listen, discovery, memoryMB)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.config, raw, 0o600)
}
