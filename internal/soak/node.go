package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readyPollInterval   = 50 * time.Millisecond
	readyTimeout        = 30 * time.Second
	upgradeReadyTimeout = 6 * time.Second
	terminationSlack    = 700 * time.Millisecond // time from SIGTERM to SIGKILL, beyond the longest deadline
	longestDeadlineCap  = 3 * time.Second        // upper limit of the longest deadline (PROTOCOL)
	signalInterval      = 50 * time.Millisecond  // between the signals of a series
	inheritedFD         = 5                      // descriptor of the last of start's three ExtraFiles, the first being 3
	frontRemovalDelay   = 200 * time.Millisecond // from a failed readiness probe until the front opens no new connections
	nodeMemoryMB        = 64
	nodeSockets         = 256
	scrapeTimeout       = time.Second
	standbyTimeout      = 4 * time.Second // in which a node put into standby has to report not ready (operators' days)
	activeTimeout       = 2 * time.Second // in which it has to report ready again after its standby
	statFieldCount      = 13              // in /proc/PID/stat after the command name, up to and including stime (proc(5))
	clockTicksPerSecond = 100             // USER_HZ, the unit of utime and stime
)

// process is one operating system process of a node.
type process struct {
	cmd             *exec.Cmd
	adminAddr       string        // host:port of its operators' listener
	ended           chan struct{} // closed when the process has exited
	waitErr         error         // from Wait, valid once ended is closed
	terminating     atomic.Bool   // it was sent SIGTERM
	killed          atomic.Bool   // it was sent SIGKILL
	logReaderActive atomic.Bool   // its log is being read from the pipe
	began           time.Time
	logReader       io.Closer // read end of the log pipe; nil if the log is a file
}

// node is one node, across all its successive processes.
type node struct {
	number       int
	run          *Run
	host         string   // its own loopback address
	listenAddr   string   // host:port of its clients' listener
	heldListener *os.File // the clients' listening socket if the platform holds it and passes it on, else nil
	dir          string
	configPath   string
	binary       string
	env          []string
	logPipe      bool

	processMu sync.Mutex // held while its processes are started or ended
	standbyMu sync.Mutex // held during a standby, since the end of one would end an overlapping one too

	outOfDescriptors atomic.Bool // idle connections use up its descriptors
	inStandby        atomic.Bool // operators have put it into standby

	mu            sync.Mutex
	current       *process
	killing       bool
	lastKill      time.Time       // when the last kill began or, once it is over, ended
	ready         bool            // whether the front opens new connections to it
	notReadySince time.Time       // since when readiness probes have failed; zero if the last one succeeded
	readyTimes    []time.Duration // how long each process took to become ready
}

// start starts a process and makes it the node's current one at once.
func (n *node) start() (*process, error) {
	admin := n.listenAddr
	for admin == n.listenAddr { // until the process listens there, freeAddress may return it too
		var err error
		if admin, err = freeAddress(n.host); err != nil {
			return nil, err
		}
	}
	p := &process{cmd: exec.Command(n.binary), adminAddr: admin, ended: make(chan struct{}), began: time.Now()}
	p.logReaderActive.Store(true)
	p.cmd.Env = append([]string{"ROUTER_CONFIG=" + n.configPath, "ROUTER_OPERATOR=" + admin, "TMPDIR=" + n.dir}, n.env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if n.heldListener != nil {
		p.cmd.Env = append(p.cmd.Env, "ROUTER_INHERITED_FD="+strconv.Itoa(inheritedFD))
		p.cmd.ExtraFiles = []*os.File{n.heldListener, n.heldListener, n.heldListener}
	}
	logFile, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p.cmd.Stderr = logFile
	if n.logPipe {
		if err := p.pipeLog(filepath.Join(n.dir, "log")); err != nil {
			return nil, err
		}
		defer p.cmd.Stderr.(*os.File).Close()
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("node %d: %w", n.number, err)
	}
	n.run.checker.NodeStarted(n.number, time.Now())
	go func() {
		p.waitErr = p.cmd.Wait()
		close(p.ended)
		n.checkExit(p)
	}()
	n.mu.Lock()
	n.current = p
	n.mu.Unlock()
	return p, nil
}

// pipeLog makes the process log to a pipe, which is copied to the named file while logReaderActive is set.
func (p *process) pipeLog(name string) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Join(err, reader.Close(), writer.Close())
	}
	p.cmd.Stderr, p.logReader = writer, reader
	go func() {
		defer file.Close()
		lines := bufio.NewReader(reader)
		for {
			if !p.logReaderActive.Load() {
				select {
				case <-p.ended:
					return
				case <-time.After(readyPollInterval):
					continue
				}
			}
			line, err := lines.ReadBytes('\n')
			_, _ = file.Write(line)
			if err != nil {
				return
			}
		}
	}()
	return nil
}

// checkExit reports a process that exited, except after a SIGKILL or, without an error, after a SIGTERM of the run.
func (n *node) checkExit(p *process) {
	if p.killed.Load() || p.terminating.Load() && p.waitErr == nil {
		return
	}
	n.run.checker.Report(ruleCrash, n.number, "the process exited with %v (sent SIGTERM: %v), log: %s", p.waitErr, p.terminating.Load(), n.lastLogOutput())
}

// lastLogOutput returns the beginning of the panic in the node's log, or the log's last line if there is none.
func (n *node) lastLogOutput() string {
	raw, err := os.ReadFile(filepath.Join(n.dir, "log"))
	if err != nil {
		return err.Error()
	}
	text := strings.TrimSpace(string(raw))
	if at := strings.Index(text, "panic:"); at >= 0 {
		return text[at:min(len(text), at+400)]
	}
	return text[max(0, strings.LastIndexByte(text, '\n')):]
}

// process returns the node's current process.
func (n *node) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// awaitReady waits until a process reports ready, and records how long that took. It reports a process that takes longer
// than the given time.
func (n *node) awaitReady(p *process, within time.Duration) {
	began := time.Now()
	for !statusOK("http://" + p.adminAddr + "/status") {
		select {
		case <-p.ended:
			return
		case <-time.After(readyPollInterval):
		}
		if time.Since(began) > within {
			n.run.checker.Report(ruleNotReady, n.number, "not ready after %v", within)
			return
		}
	}
	n.mu.Lock()
	n.readyTimes = append(n.readyTimes, time.Since(began))
	n.mu.Unlock()
}

// pollReadiness probes readiness as the front does, until the run ends.
func (n *node) pollReadiness() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		if n.run.ctx.Err() != nil {
			return
		}
		ready := statusOK("http://" + n.listenAddr + "/health/ready")
		n.mu.Lock()
		switch {
		case ready:
			n.ready, n.notReadySince = true, time.Time{}
		case n.ready && n.notReadySince.IsZero():
			n.notReadySince = time.Now()
		case n.ready && time.Since(n.notReadySince) > frontRemovalDelay:
			n.ready = false
		}
		n.mu.Unlock()
	}
}

// receivesConnections reports whether the front opens new connections to the node.
func (n *node) receivesConnections() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// killedSince reports whether a process of the node is being killed or was killed after the given time.
func (n *node) killedSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killing || n.lastKill.After(since)
}

// mayResetUnread reports whether the node has had a reason since the given time to close connections with unread requests: a
// kill, exhausted descriptors, standby, or a process that is ending or started up to longestDeadlineCap before that time.
func (n *node) mayResetUnread(since time.Time) bool {
	if n.killedSince(since) || n.outOfDescriptors.Load() || n.inStandby.Load() {
		return true
	}
	p := n.process()
	return p == nil || p.terminating.Load() || p.began.After(since.Add(-longestDeadlineCap))
}

func (n *node) signal(p *process, s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL to a process and waits for its exit.
func (n *node) kill(p *process) {
	p.killed.Store(true)
	n.recordKill(true)
	n.signal(p, syscall.SIGKILL)
	<-p.ended
	n.recordKill(false)
}

// recordKill records that a kill begins or is over. A kill excuses the loss of requests that were sent before its end.
func (n *node) recordKill(begins bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killing, n.lastKill = begins, time.Now()
}

// terminate sends SIGTERM to a process and waits for its exit. It reports and kills a process that takes longer than the
// platform waits.
func (n *node) terminate(p *process) {
	p.terminating.Store(true)
	timeout := n.run.plan.longestDeadline() + terminationSlack
	expired := time.After(timeout)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} { // the platform may send several signals
		n.signal(p, s)
		select {
		case <-p.ended:
			return
		case <-time.After(signalInterval):
		}
	}
	select {
	case <-p.ended:
	case <-expired:
		n.run.checker.Report(ruleNotEnded, n.number, "still running %v after SIGTERM", timeout)
		n.kill(p)
	}
}

// replace replaces the current process in the given way. Replacements of one node are serialized.
func (n *node) replace(how Kind) error {
	n.processMu.Lock()
	defer n.processMu.Unlock()
	switch p := n.process(); how {
	case NodeUpgrade:
		return n.upgrade()
	case NodeKill:
		n.kill(p)
	default:
		n.terminate(p)
	}
	return n.restart()
}

// cycleStandby puts a process into standby and makes it active again, as operators do, and checks its readiness.
func (n *node) cycleStandby(p *process) {
	n.standbyMu.Lock()
	defer n.standbyMu.Unlock()
	if n.heldListener != nil { // a process that takes over would inherit the standby, and not be ready in time
		n.processMu.Lock()
		defer n.processMu.Unlock()
		p = n.process()
	}
	n.inStandby.Store(true)
	defer n.inStandby.Store(false)
	if !p.post("/standby") {
		return // it is ending or has exited
	}
	n.run.wait(standbyTimeout)
	stillCurrent := func() bool { return n.process() == p && !p.terminating.Load() && n.run.ctx.Err() == nil }
	if statusOK("http://"+p.adminAddr+"/status") && stillCurrent() {
		n.run.checker.Report(ruleStandby, n.number, "still ready %v after it was put into standby", standbyTimeout)
	}
	if !p.post("/active") {
		return
	}
	for began := time.Now(); !statusOK("http://" + p.adminAddr + "/status"); n.run.wait(readyPollInterval) {
		if !stillCurrent() {
			return
		}
		if time.Since(began) > activeTimeout {
			n.run.checker.Report(ruleStandby, n.number, "not ready %v after its standby ended", activeTimeout)
			return
		}
	}
}

// post sends a POST request to the operators' listener, and reports whether the response was 200.
func (p *process) post(path string) bool {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+p.adminAddr+path, "", nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// restart starts a process after the previous one has exited.
func (n *node) restart() error {
	p, err := n.start()
	if err != nil {
		return err
	}
	n.awaitReady(p, readyTimeout)
	return nil
}

// upgrade starts a second process, which takes over the listening socket, and then ends the first.
func (n *node) upgrade() error {
	old := n.process()
	p, err := n.start()
	if err != nil {
		return err
	}
	n.awaitReady(p, upgradeReadyTimeout)
	n.terminate(old)
	return nil
}

// stopLogReader stops reading the process's log; if closePipe is set, it closes the pipe too.
func (n *node) stopLogReader(p *process, closePipe bool) {
	p.logReaderActive.Store(false)
	if closePipe && p.logReader != nil {
		p.logReader.Close()
	}
}

// ruleCounters reads the process's own metrics of rule violations and of denials, by rule.
func (p *process) ruleCounters() (violations, denials map[string]int64, err error) {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.adminAddr + "/metrics")
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	violations, denials = make(map[string]int64), make(map[string]int64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		counts := violations
		rest, ok := strings.CutPrefix(lines.Text(), `wayhold_rule_violations_total{rule="`)
		if !ok {
			if rest, ok = strings.CutPrefix(lines.Text(), `wayhold_rule_denials_total{rule="`); !ok {
				continue
			}
			counts = denials
		}
		name, value, _ := strings.Cut(rest, `"} `)
		count, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, nil, fmt.Errorf("metrics: %q: %w", lines.Text(), err)
		}
		counts[name] += int64(count)
	}
	return violations, denials, lines.Err()
}

// memoryKB returns a memory field of /proc/PID/status in kB, or 0 on an error.
func (p *process) memoryKB(name string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kb
		}
	}
	return 0
}

// metric returns the value of a metric without labels, or 0 on an error.
func (p *process) metric(name string) float64 {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.adminAddr + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, _ := strconv.ParseFloat(rest, 64)
			return value
		}
	}
	return 0
}

// processorTime returns the user and system time of the process, or 0 on an error.
func (p *process) processorTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // the command name before it may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < statFieldCount {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statFieldCount-2], 10, 64)
	system, _ := strconv.ParseInt(fields[statFieldCount-1], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// descriptors returns how many file descriptors the process has open, or 0 on an error.
func (p *process) descriptors() int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// writeConfig replaces the configuration file atomically, as the platform does.
func writeConfig(name string, config any) error {
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(name+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// statusOK reports whether a GET request to the URL is answered with 200.
func statusOK(url string) bool {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeAddress returns an address with a free port on a loopback host. Parallel runs use different hosts, so that
// none takes another's port.
func freeAddress(host string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
