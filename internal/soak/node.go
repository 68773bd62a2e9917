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
	readyPoll     = 50 * time.Millisecond
	readyLatest   = 30 * time.Second
	readyUpgrade  = 6 * time.Second
	killSlack     = 700 * time.Millisecond // after the longest deadline SIGKILL may follow SIGTERM
	longestSpan   = 3 * time.Second        // that counts as the longest deadline, at most
	signalsApart  = 50 * time.Millisecond  // between two of a series
	inheritedFD   = 5
	frontDrops    = 200 * time.Millisecond // between a no and the end of new connections
	nodeMemoryMB  = 64
	nodeSockets   = 256
	scrapeTimeout = time.Second
	standbyNotice = 4 * time.Second // within which a node in standby says no (operators' days)
	standbyBack   = 2 * time.Second // within which it says yes again
	statFields    = 13              // of /proc/PID/stat behind the name, up to the system time (proc(5))
	clockTicks    = 100             // of these a second (USER_HZ)
)

// process is one process of a node.
type process struct {
	cmd     *exec.Cmd
	admin   string
	ended   chan struct{} // closed when it has ended
	err     error         // how, once it has
	told    atomic.Bool   // to end
	killed  atomic.Bool
	pump    atomic.Bool // its log is read
	began   time.Time
	logRead io.Closer // nil where the log is a file
}

// node is one node over all its processes.
type node struct {
	number  int
	run     *Run
	host    string // a loopback address of its own
	listen  string
	held    *os.File // the clients' listening socket, where the platform holds it
	dir     string
	config  string
	binary  string
	env     []string
	logPipe bool

	turn     sync.Mutex // of whoever starts or ends its processes
	standbys sync.Mutex // of whoever has sent it to standby: one's end would be taken for another's

	crowded  atomic.Bool // idle clients fill its descriptors
	sentAway atomic.Bool // it is in standby

	mu       sync.Mutex
	current  *process
	killing  bool
	lastKill time.Time // when the last kill was over
	ready    bool      // as the front sees it
	saidNo   time.Time
	readies  []time.Duration
}

// start starts a process. It is the node's current one at once.
func (n *node) start() (*process, error) {
	admin := n.listen
	for admin == n.listen { // which is free itself until the process listens there
		var err error
		if admin, err = freeAddress(n.host); err != nil {
			return nil, err
		}
	}
	p := &process{cmd: exec.Command(n.binary), admin: admin, ended: make(chan struct{}), began: time.Now()}
	p.pump.Store(true)
	p.cmd.Env = append([]string{"ROUTER_CONFIG=" + n.config, "ROUTER_OPERATOR=" + admin, "TMPDIR=" + n.dir}, n.env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if n.held != nil {
		p.cmd.Env = append(p.cmd.Env, "ROUTER_INHERITED_FD="+strconv.Itoa(inheritedFD))
		p.cmd.ExtraFiles = []*os.File{n.held, n.held, n.held}
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stderr = log
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
		p.err = p.cmd.Wait()
		close(p.ended)
		n.looked(p)
	}()
	n.mu.Lock()
	n.current = p
	n.mu.Unlock()
	return p, nil
}

// pipeLog has the process log to a pipe that is read for as long as pump says.
func (p *process) pipeLog(name string) error {
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	to, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Join(err, read.Close(), write.Close())
	}
	p.cmd.Stderr, p.logRead = write, read
	go func() {
		defer to.Close()
		in := bufio.NewReader(read)
		for {
			if !p.pump.Load() {
				select {
				case <-p.ended:
					return
				case <-time.After(readyPoll):
					continue
				}
			}
			line, err := in.ReadBytes('\n')
			_, _ = to.Write(line)
			if err != nil {
				return
			}
		}
	}()
	return nil
}

// looked judges how a process ended.
func (n *node) looked(p *process) {
	if p.killed.Load() || p.told.Load() && p.err == nil {
		return
	}
	n.run.checker.Report(ruleCrash, n.number, "the process ended with %v (told to end: %v); %s", p.err, p.told.Load(), n.lastLine())
}

func (n *node) lastLine() string {
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

// process is the current one.
func (n *node) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// awaitReady waits until a process says that it is ready, and notes how long that took.
func (n *node) awaitReady(p *process, within time.Duration) {
	began := time.Now()
	for !statusOK("http://" + p.admin + "/status") {
		select {
		case <-p.ended:
			return
		case <-time.After(readyPoll):
		}
		if time.Since(began) > within {
			n.run.checker.Report(ruleNotReady, n.number, "not ready after %v", within)
			return
		}
	}
	n.mu.Lock()
	n.readies = append(n.readies, time.Since(began))
	n.mu.Unlock()
}

// follow asks for readiness as the front does, until the run ends.
func (n *node) follow() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		if n.run.ctx.Err() != nil {
			return
		}
		yes := statusOK("http://" + n.listen + "/health/ready")
		n.mu.Lock()
		switch {
		case yes:
			n.ready, n.saidNo = true, time.Time{}
		case n.ready && n.saidNo.IsZero():
			n.saidNo = time.Now()
		case n.ready && time.Since(n.saidNo) > frontDrops:
			n.ready = false
		}
		n.mu.Unlock()
	}
}

func (n *node) takesClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// died tells whether a process of the node was killed, or ended, since a time.
func (n *node) died(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killing || n.lastKill.After(since)
}

// turnsAway tells whether the node has had a reason, since a time, to close connections over requests that it has not
// read.
func (n *node) turnsAway(since time.Time) bool {
	if n.died(since) || n.crowded.Load() || n.sentAway.Load() {
		return true
	}
	p := n.process()
	return p == nil || p.told.Load() || p.began.After(since.Add(-longestSpan))
}

func (n *node) signal(p *process, s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends a process outright.
func (n *node) kill(p *process) {
	p.killed.Store(true)
	n.noteKill(true)
	n.signal(p, syscall.SIGKILL)
	<-p.ended
	n.noteKill(false)
}

// noteKill notes that a kill begins, or is over. All that came before its end is excused, also what comes in the midst of it.
func (n *node) noteKill(begins bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killing, n.lastKill = begins, time.Now()
}

// end tells a process to end, and waits for that as long as the platform does.
func (n *node) end(p *process) {
	p.told.Store(true)
	most := n.run.plan.longestDeadline() + killSlack
	late := time.After(most)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} { // signals come in series
		n.signal(p, s)
		select {
		case <-p.ended:
			return
		case <-time.After(signalsApart):
		}
	}
	select {
	case <-p.ended:
	case <-late:
		n.run.checker.Report(ruleNotEnded, n.number, "runs %v after SIGTERM", most)
		n.kill(p)
	}
}

// replace has another process take the place of the current one. Processes come and go one after the other.
func (n *node) replace(how Kind) error {
	n.turn.Lock()
	defer n.turn.Unlock()
	switch p := n.process(); how {
	case NodeUpgrade:
		return n.upgrade()
	case NodeKill:
		n.kill(p)
	default:
		n.end(p)
	}
	return n.restart()
}

// standby has operators send a process's clients away and take them again, and judges what the front sees of that.
func (n *node) standby(p *process) {
	n.standbys.Lock()
	defer n.standbys.Unlock()
	if n.held != nil { // a process that takes over would be in standby too, and not ready in time
		n.turn.Lock()
		defer n.turn.Unlock()
		p = n.process()
	}
	n.sentAway.Store(true)
	defer n.sentAway.Store(false)
	if !p.post("/standby") {
		return // it was told to end, or has ended
	}
	n.run.wait(standbyNotice)
	stays := func() bool { return n.process() == p && !p.told.Load() && n.run.ctx.Err() == nil }
	if statusOK("http://"+p.admin+"/status") && stays() {
		n.run.checker.Report(ruleStandby, n.number, "ready %v after it was sent to standby", standbyNotice)
	}
	if !p.post("/active") {
		return
	}
	for began := time.Now(); !statusOK("http://" + p.admin + "/status"); n.run.wait(readyPoll) {
		if !stays() {
			return
		}
		if time.Since(began) > standbyBack {
			n.run.checker.Report(ruleStandby, n.number, "not ready %v after its standby ended", standbyBack)
			return
		}
	}
}

// post makes an operators' call, and reports whether it was answered with a yes.
func (p *process) post(call string) bool {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+p.admin+call, "", nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// restart starts a process anew after one has ended.
func (n *node) restart() error {
	p, err := n.start()
	if err != nil {
		return err
	}
	n.awaitReady(p, readyLatest)
	return nil
}

// upgrade has a second process take over.
func (n *node) upgrade() error {
	old := n.process()
	p, err := n.start()
	if err != nil {
		return err
	}
	n.awaitReady(p, readyUpgrade)
	n.end(old)
	return nil
}

// breakLog has whoever reads the process's log go, or stop reading.
func (n *node) breakLog(p *process, gone bool) {
	p.pump.Store(false)
	if gone && p.logRead != nil {
		p.logRead.Close()
	}
}

// counters reads the process's own counts of rules that were broken.
func (p *process) counters() (violations, denials map[string]int64, err error) {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.admin + "/metrics")
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	violations, denials = make(map[string]int64), make(map[string]int64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		into := violations
		rest, ok := strings.CutPrefix(lines.Text(), `wayhold_rule_violations_total{rule="`)
		if !ok {
			if rest, ok = strings.CutPrefix(lines.Text(), `wayhold_rule_denials_total{rule="`); !ok {
				continue
			}
			into = denials
		}
		name, value, _ := strings.Cut(rest, `"} `)
		count, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, nil, fmt.Errorf("metrics: %q: %w", lines.Text(), err)
		}
		into[name] += int64(count)
	}
	return violations, denials, lines.Err()
}

// memoryKB is a field of the process's status, in kB.
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

// metric is one of the process's metrics without labels; 0 where it can't be told.
func (p *process) metric(name string) float64 {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.admin + "/metrics")
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

// processorTime is what the process has used of the processor; 0 where it can't be told.
func (p *process) processorTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // behind the name, which may hold anything
	fields := strings.Fields(rest)
	if len(fields) < statFields {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statFields-2], 10, 64)
	system, _ := strconv.ParseInt(fields[statFields-1], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// descriptors is how many the process has open.
func (p *process) descriptors() int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// writeConfig writes the configuration file in one step, as the platform does.
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

// freeAddress is one of a loopback host that no other run uses meanwhile.
func freeAddress(host string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
