// Command standins-2 holds the stand-ins (clients, servers, discovery, platform) of the second review's cases, one
// subcommand a case. It starts the node by the deploy file's run command and judges only what a client, a server or the
// platform can see.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// nodeSeed is the seed of the first node; each further one has the next number.
const nodeSeed = 0x8c1f30d27a5be964

// maxTime is how long a case may run before it is ended as one that could not run.
const maxTime = 110 * time.Second

// Figures of the pages PROTOCOL and STANDING.
const (
	answerGrace = 500 * time.Millisecond // a final answer this long after the request's time only earns nothing
	socketSlack = 50 * time.Millisecond  // on sockets every time limit is longer by this
)

// bench is what all parts of one case share.
type bench struct {
	root    string // of the repository
	temp    string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*nodeProcess
}

func newBench(root, folder string) (*bench, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bench{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-stop:
			b.fail("ended by %v", s)
		case <-time.After(maxTime):
			b.fail("not done after %v", maxTime)
		}
	}()
	return b, nil
}

// note writes a line to record.txt, with the time since the start of the case.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the case as one that could not run.
func (b *bench) fail(format string, args ...any) {
	b.note("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	b.end()
	os.Exit(couldNot)
}

// finish ends the case with its verdict.
func (b *bench) finish(breaks int, what string) {
	verdict, code := "held", held
	if breaks > 0 {
		verdict, code = "BROKEN", broken
	}
	b.note("verdict: %s, %d x %s (trouble=%v)", verdict, breaks, what, b.trouble)
	fmt.Printf("%s: %d x %s (trouble=%v)\n", verdict, breaks, what, b.trouble)
	b.end()
	os.Exit(code)
}

// end ends all processes and removes the temporary folder.
func (b *bench) end() {
	for _, n := range b.nodes {
		n.kill()
	}
	b.mu.Lock() // no further lines
	b.record.Close()
	os.RemoveAll(b.temp)
}

// class is one class of requests, as in the settings of a small deployment.
type class struct {
	name, repeat, group   string
	aim, deadline, window float64
	lateWorth             float64
}

func classes() []class {
	return []class{
		{name: "transcript-get", repeat: "free", group: "all", aim: 1500, deadline: 3000, window: 5000},
		{name: "mark-read", repeat: "guarded", group: "cell", aim: 750, deadline: 2500, window: 12000},
		{name: "transcribe-bill", repeat: "single_shot", group: "all", aim: 2500, deadline: 6000, window: 5000},
	}
}

// options are what a case changes in a node's configuration.
type options struct {
	classes  []class
	memoryMB int
	sockets  int
	cores    float64
	cancel   bool
	position int
	nodes    int
	weights  string // what the sizes in the list mean
	reports  bool   // answers hold load reports
}

func defaults() options {
	return options{classes: classes(), memoryMB: 64, sockets: 384, cores: 0.5, cancel: true, nodes: 2, weights: "none", reports: true}
}

// settings follows the example of the page WIRE, with the figures of the site.
func (o options) settings() map[string]any {
	var services []any
	for _, c := range o.classes {
		services = append(services, map[string]any{"name": c.name, "repeat": c.repeat, "group": c.group, "aim": c.aim,
			"deadline": c.deadline, "window": c.window, "lateWorth": c.lateWorth, "stream": false, "value": 1.0})
	}
	report := map[string]any{"fields": []string{}, "how": "none"}
	if o.reports {
		report = map[string]any{"fields": []string{"latency_ms", "util", "qps"}, "how": "answers"}
	}
	return map[string]any{
		"clients": map[string]any{"marksRetry": true}, "familyInfo": map[string]any{"warmKeys": false},
		"groupSize": o.nodes, "position": o.position, "kinds": []string{"buyuk-7c"}, "localities": []string{"ikitelli"},
		"guarantees": map[string]any{"cold": 24000.0, "coldShare": 0.13, "drainGrace": 1500.0, "fallMultiple": 2.5,
			"graceToAnswer": 20.0, "mustAskIn": 10000.0, "overloadFor": 3000.0},
		"limits": map[string]any{"cancelling": o.cancel, "connIdle": 30000.0, "connectTimeout": 150.0, "maxAttempts": 6,
			"maxOpen": 20000, "maxRetryAfter": 3000.0, "peerMessages": false, "probes": true, "retryAfter": true,
			"secondCopies": false, "streamsPerConn": 1},
		"registryMode": "subscribe", "report": report,
		"serviceType": "proxy", "services": services, "tenants": []any{}, "tick": 5.0, "tier": 0, "tiers": []string{"yazici-filo"},
		"weightSource": o.weights, "worthBy": "work", "zone": "ikitelli",
	}
}

// nodeProcess is one node process, started by the deploy file's run command.
type nodeProcess struct {
	bench  *bench
	cmd    *exec.Cmd
	addr   string
	admin  string
	config string
	ended  chan struct{}
	log    string
}

// runCommand reads the run command from the deploy file.
func (b *bench) runCommand() string {
	raw, err := os.ReadFile(filepath.Join(b.root, "deploy/balancer.toml"))
	if err != nil {
		b.fail("%v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.SplitN(rest, "#", 2)[0], "\" ")
		}
	}
	b.fail("the deploy file has no run command")
	return ""
}

// addresses counts the loopback addresses given out.
var addresses atomic.Int64

// freeAddress returns a free port of a loopback address of its own, so that no other socket takes the port before the node
// listens there.
func freeAddress() string {
	i, pid := addresses.Add(1), os.Getpid()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid%64, pid/64%250+1, i%250+1))
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startNode starts a node's process.
func (b *bench) startNode(name string, o options, discovery string, known []member, addr string) *nodeProcess {
	return b.startProcess(name, o, discovery, known, addr, nil)
}

// startProcess starts a node's process; the platform holds its clients' listening socket, unless held is nil. All processes
// of a case share $TMPDIR.
func (b *bench) startProcess(name string, o options, discovery string, known []member, addr string, held *os.File) *nodeProcess {
	n := &nodeProcess{bench: b, addr: addr, admin: freeAddress(), ended: make(chan struct{}),
		config: filepath.Join(b.temp, name+".json"), log: filepath.Join(b.temp, name+".log")}
	n.writeConfig(name, o, discovery, known)
	n.cmd = exec.Command("/bin/sh", "-c", b.runCommand())
	n.cmd.Dir = b.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ROUTER_CONFIG=" + n.config, "ROUTER_NAME=" + name, "ROUTER_LISTEN=" + addr,
		"ROUTER_DISCOVERY=" + discovery, "ROUTER_OPERATOR=" + n.admin, "TMPDIR=" + b.temp}
	if held != nil {
		n.cmd.Env = append(n.cmd.Env, "ROUTER_INHERITED_FD=5")
		n.cmd.ExtraFiles = []*os.File{held, held, held}
	}
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		b.fail("%v", err)
	}
	n.cmd.Stderr = log
	if err := n.cmd.Start(); err != nil {
		b.fail("%v", err)
	}
	b.mu.Lock()
	b.nodes = append(b.nodes, n)
	b.mu.Unlock()
	go func() {
		err := n.cmd.Wait()
		log.Close()
		b.note("node %s (process %d) has ended: %v", name, n.cmd.Process.Pid, err)
		close(n.ended)
	}()
	return n
}

func (n *nodeProcess) writeConfig(name string, o options, discovery string, known []member) {
	raw, err := json.Marshal(map[string]any{"name": name, "listen": n.addr, "discovery": discovery, "seed": fmt.Sprintf("%x", nodeSeed+uint64(o.position)),
		"limits": map[string]any{"cores": o.cores, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"known":  map[string]any{"revision": 1, "complete": true, "members": known}, "settings": o.settings()})
	if err == nil {
		err = os.WriteFile(n.config+".new", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(n.config+".new", n.config)
	}
	if err != nil {
		n.bench.fail("%v", err)
	}
}

// awaitReady waits until the front would take the node in.
func (n *nodeProcess) awaitReady() {
	for range 200 {
		if n.status() == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.bench.fail("the node was not ready within 10 s")
}

// status asks for readiness as the front does, or the second address where both processes share the first.
func (n *nodeProcess) status() int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.admin + "/status")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (n *nodeProcess) signal(s syscall.Signal) {
	n.bench.note("%v to process %d", s, n.cmd.Process.Pid)
	_ = n.cmd.Process.Signal(s)
}

func (n *nodeProcess) kill() {
	select {
	case <-n.ended:
		return
	default:
	}
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// logLines returns the lines of the node's log that hold any of the words.
func (n *nodeProcess) logLines(words ...string) (lines []string) {
	raw, _ := os.ReadFile(n.log)
	for _, line := range strings.Split(string(raw), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}

// member is one entry of the list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

func up(id, addr string, cell int) member {
	return member{ID: id, HostPort: addr, Locality: "ikitelli", Flavor: "buyuk-7c", Cell: cell, Phase: "up", Size: 1}
}

// registry is a sound discovery: it answers with the whole list, or waits for changes.
type registry struct {
	bench *bench
	ln    net.Listener

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	members  []member
	since    map[string]int64 // revision of each member's last change
}

func (b *bench) startRegistry(members []member) *registry {
	r := &registry{bench: b, changed: make(chan struct{}), revision: 1, members: members, since: map[string]int64{}}
	var err error
	if r.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		b.fail("%v", err)
	}
	go func() { _ = http.Serve(r.ln, r) }()
	return r
}

func (r *registry) addr() string { return r.ln.Addr().String() }

// set adds a member to the list.
func (r *registry) set(m member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.members = append(r.members, m)
	r.since[m.ID] = r.revision
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	var index, wait int64
	watch := q.Has("index")
	fmt.Sscan(q.Get("index"), &index)
	fmt.Sscan(q.Get("wait"), &wait)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		r.mu.Lock()
		changed := r.changed
		answer := map[string]any{"revision": r.revision, "complete": !watch}
		list := []member{}
		for _, m := range r.members {
			if !watch || r.since[m.ID] > index {
				list = append(list, m)
			}
		}
		newer := r.revision > index
		r.mu.Unlock()
		if !watch || newer {
			answer["members"] = list
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer["members"] = []member{}
			_ = json.NewEncoder(w).Encode(answer)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// request is what a transcriber has read.
type request struct {
	conn   *net.TCPConn
	head   *http.Request
	id     string
	body   []byte
	length int64
}

// transcriber is a server that reads requests one by one from each connection and lets answer write what it likes.
type transcriber struct {
	bench *bench
	name  string
	ln    net.Listener
	quiet bool // it doesn't note each request
	// midway, if set, is called between the head and the body of a request with one.
	midway func(t *transcriber, conn *net.TCPConn, head *http.Request)
	// answer writes the answer; nil answers 200 with the request's id as the body. It returns false to close the connection.
	answer func(t *transcriber, r *request) bool
}

func (b *bench) startTranscriber(name string) *transcriber {
	t := &transcriber{bench: b, name: name}
	var err error
	if t.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		b.fail("%v", err)
	}
	return t
}

func (t *transcriber) addr() string { return t.ln.Addr().String() }

// serve starts to accept connections.
func (t *transcriber) serve() {
	go func() {
		for {
			c, err := t.ln.Accept()
			if err != nil {
				return
			}
			go t.serveConn(c.(*net.TCPConn))
		}
	}()
}

func (t *transcriber) serveConn(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	for {
		head, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r := &request{conn: c, head: head, id: head.Header.Get("X-Request-Id"), length: head.ContentLength}
		if t.midway != nil && head.ContentLength != 0 {
			t.midway(t, c, head)
		}
		body, err := io.ReadAll(head.Body)
		if err != nil {
			t.bench.note("%s: request %s broke off after %d bytes of its body", t.name, r.id, len(body))
			return
		}
		r.body = body
		if !t.quiet {
			t.bench.note("%s: ran request %s (%s, body %d, deadline %s)", t.name, r.id, head.Method, len(body), head.Header.Get("X-Deadline-Ms"))
		}
		if t.answer != nil {
			if !t.answer(t, r) {
				return
			}
			continue
		}
		if _, err := c.Write(ok(r.id)); err != nil {
			return
		}
	}
}

// ok is a whole 200 answer with the given body.
func ok(body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// head returns a request's head.
func head(method, id, class string, deadlineMs int, extra ...string) []byte {
	var h bytes.Buffer
	fmt.Fprintf(&h, "%s /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\nX-Deadline-Ms: %d\r\n", method, id, class, deadlineMs)
	for _, line := range extra {
		h.WriteString(line + "\r\n")
	}
	h.WriteString("\r\n")
	return h.Bytes()
}

func length(n int) string  { return fmt.Sprintf("Content-Length: %d", n) }
func key(id string) string { return "Idempotency-Key: k-" + id }

// dial opens a client's connection.
func (b *bench) dial(addr string) *net.TCPConn {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		b.fail("client: %v", err)
	}
	return c.(*net.TCPConn)
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }

// readAnswer reads one whole answer; an error means that there was none or that it was not whole.
func readAnswer(in *bufio.Reader) (status int, body []byte, closes bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, nil, true, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, resp.Close, err
}

// small starts a small deployment: so many transcribers in cells of four, discovery and one node. prepare may be nil.
func (b *bench) small(o options, transcribers int, prepare func(i int, t *transcriber)) *nodeProcess {
	var list []member
	for i := range transcribers {
		t := b.startTranscriber(fmt.Sprintf("s-%02d", i+1))
		if prepare != nil {
			prepare(i, t)
		}
		t.serve()
		list = append(list, up(t.name, t.addr(), i/4))
	}
	r := b.startRegistry(list)
	n := b.startNode("n1", o, r.addr(), list, freeAddress())
	n.awaitReady()
	return n
}
