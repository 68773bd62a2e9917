// Package stand has what the cases of this review share: it starts the node by the deploy file's command, and stands in
// for discovery, transcribers and clients over the protocol that the operators' pages give. All addresses are loopback.
package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { runtime.LockOSThread() } // Pdeathsig follows the thread that started the process

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Main runs a case with the record that the command line names, and exits with the status that it returns.
func Main(play func(rec *Record) (status int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(NotRun)
	}
	rec, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	rec.Add("trouble %v", Trouble())
	status, err := play(rec)
	if err != nil {
		status = NotRun
		rec.Add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
	}
	rec.Add("status %d", status)
	fmt.Println("status", status)
	os.Exit(status)
}

// Record is the record of what was sent, answered and run. Times are seconds since its creation.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file, or truncates it.
func NewRecord(name string) (*Record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is discovery's answer, and the list of a node's configuration.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Discovery answers calls for the list. The list doesn't change after the start.
type Discovery struct {
	Addr string
	list List
}

// NewDiscovery serves the given members.
func NewDiscovery(members []Member) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), list: List{Revision: 1, Complete: true, Members: members}}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// ServeHTTP answers one call: the whole list at once, or no change after the wait.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := d.list
	if index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64); err == nil && index >= d.list.Revision {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = List{Revision: d.list.Revision, Members: []Member{}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// Call is a request as a transcriber has it once its last byte has come.
type Call struct {
	Server, ID, Key string
	FirstByte       time.Time // when the transcriber began to read it
	LastByte        time.Time // when its last byte had been read
	Body            int64     // bytes
	Conn            *net.TCPConn
}

// Transcriber accepts connections and passes each request to Handle, which writes the answer.
type Transcriber struct {
	ID, Addr string
	// Handle answers a request. It returns false if the connection is to be closed.
	Handle func(c *Call) bool
	// ResetAfter, if set, returns after how many bytes of the body the connection is reset; -1: never.
	// ResetWait returns how long it waits before that.
	ResetAfter func(c *Call) int64
	ResetWait  func() time.Duration
}

// Start listens on a free port.
func (t *Transcriber) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.Addr = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

func (t *Transcriber) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		c := &Call{Server: t.ID, Conn: conn, FirstByte: time.Now()}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c.ID, c.Key = r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
		if t.ResetAfter != nil {
			if n := t.ResetAfter(c); n >= 0 {
				_, _ = io.CopyN(io.Discard, r.Body, n)
				time.Sleep(t.ResetWait())
				_ = conn.SetLinger(0) // Close sends a reset
				return
			}
		}
		if c.Body, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		c.LastByte = time.Now()
		if c.ID == "" {
			fmt.Fprintf(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !t.Handle(c) {
			return
		}
	}
}

// Answer writes a complete 200 answer with the given body.
func Answer(conn *net.TCPConn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load: latency_ms=20,util=0.2,qps=10\r\n\r\n%s", len(body), body)
	return err == nil
}

// Member returns the list's entry for a transcriber that has been up for long.
func (t *Transcriber) Member(cell int64) Member {
	return Member{ID: t.ID, HostPort: t.Addr, Locality: "ikitelli", Flavor: "buyuk-7c", Cell: cell, Phase: "up", Size: 1}
}

// Settings returns the example of the page WIRE, which has the classes and figures of the site.
func Settings() map[string]any {
	const text = `{"clients": {"marksRetry": true}, "familyInfo": {"warmKeys": false}, "groupSize": 2,
	 "guarantees": {"cold": 24000.0, "coldShare": 0.13, "drainGrace": 1500.0, "fallMultiple": 2.5, "graceToAnswer": 20.0, "mustAskIn": 10000.0, "overloadFor": 3000.0},
	 "kinds": ["buyuk-7c", "kucuk-5c"],
	 "limits": {"cancelling": true, "connIdle": 30000.0, "connectTimeout": 150.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000, "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfter": 3000.0, "peerMessages": false, "probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 1},
	 "localities": ["ikitelli"], "overShareWorth": 0.05, "position": 0, "registryMode": "subscribe",
	 "report": {"fields": ["latency_ms", "util", "qps"], "how": "answers"}, "serviceType": "proxy",
	 "services": [{"aim": 1500.0, "deadline": 3000.0, "group": "all", "lateWorth": 0.0, "name": "transcript-get", "repeat": "free", "stream": false, "value": 1.0, "window": 5000.0},
	  {"aim": 750.0, "deadline": 2500.0, "group": "cell", "lateWorth": 0.0, "name": "mark-read", "repeat": "guarded", "stream": false, "value": 2.0, "window": 12000.0},
	  {"aim": 2500.0, "deadline": 6000.0, "group": "all", "lateWorth": 0.0, "name": "transcribe-bill", "repeat": "single_shot", "stream": false, "value": 5.0, "window": 5000.0}],
	 "tenants": [{"fraction": 0.21, "name": "marmara-grup", "quotaRps": 48.0}, {"fraction": 0.17, "name": "ege-bayi", "quotaRps": 39.0}, {"fraction": 0.15, "name": "anadolu-ortak", "quotaRps": 35.0}, {"fraction": 0.14, "name": "karadeniz-bayi", "quotaRps": 32.0}, {"fraction": 0.11, "name": "akdeniz-grup", "quotaRps": 25.0}, {"fraction": 0.09, "name": "trakya-bayi", "quotaRps": 21.0}, {"fraction": 0.05, "name": "icanadolu-ofis", "quotaRps": 12.0}, {"fraction": 0.05, "name": "dogu-bayi", "quotaRps": 12.0}, {"fraction": 0.03, "name": "guneydogu-ofis", "quotaRps": 7.0}], "tick": 5.0, "tier": 0, "tiers": ["yazici-filo"], "weightSource": "none", "worthBy": "work", "zone": "ikitelli"}`
	var settings map[string]any
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		panic(err)
	}
	return settings
}

// Node is a process of the node.
type Node struct {
	Addr   string
	cmd    *exec.Cmd
	dir    string
	exited chan struct{}
}

// StartNode starts a node with the deploy file's command in the current folder, which must be the repository's root, and
// waits until it is ready. Its folder for temporary files and its log lie in a folder that Stop removes.
func StartNode(rec *Record, discovery string, members []Member, settings map[string]any) (*Node, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(string(deploy))
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml names no run command")
	}
	n := &Node{exited: make(chan struct{})}
	if n.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	tmp, configFile, logFile := filepath.Join(n.dir, "tmp"), filepath.Join(n.dir, "config.json"), filepath.Join(n.dir, "log")
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"known":  List{Revision: 1, Complete: true, Members: members}, "settings": settings})
	if err != nil {
		return nil, err
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(configFile, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	n.cmd = exec.Command("/bin/sh", "-c", run[1])
	n.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+configFile, "TMPDIR="+tmp)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = n.cmd.Wait(); close(n.exited) }()
	address := regexp.MustCompile(`msg=listening name=n1 address=(127\.0\.0\.1:\d+)`)
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		text, _ := os.ReadFile(logFile)
		if m := address.FindSubmatch(text); m != nil {
			n.Addr = string(m[1])
			if resp, err := http.Get("http://" + n.Addr + "/health/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					rec.Add("node ready")
					return n, nil
				}
			}
		}
		if n.HasExited() {
			break
		}
	}
	n.Stop()
	return nil, fmt.Errorf("the node did not become ready")
}

// Signal sends a signal to the process that the run command started.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// HasExited reports whether the process has ended.
func (n *Node) HasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// Exited is closed once the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Log returns the lines of the node's log that contain one of the given texts.
func (n *Node) Log(texts ...string) (found []string) {
	raw, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	for _, line := range strings.Split(string(raw), "\n") {
		if slices.ContainsFunc(texts, func(t string) bool { return strings.Contains(line, t) }) {
			found = append(found, line)
		}
	}
	return found
}

// Stop kills the process, if it still runs, and removes its folder.
func (n *Node) Stop() {
	if !n.HasExited() {
		_ = syscall.Kill(-n.cmd.Process.Pid, syscall.SIGKILL)
		<-n.exited
	}
	os.RemoveAll(n.dir)
}

// Head returns the head of a client's request.
func Head(method, id, class, tenant string, deadline time.Duration, lines ...string) string {
	h := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		method, id, class, tenant, deadline.Milliseconds())
	for _, l := range lines {
		h += l + "\r\n"
	}
	return h + "\r\n"
}

// Dial opens a client's connection to the node.
func (n *Node) Dial() (*net.TCPConn, error) {
	c, err := net.Dial("tcp", n.Addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}
