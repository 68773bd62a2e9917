package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
)

const (
	childVar    = "WAYHOLD_TEST_CHILD" // set where the test's binary stands in for the program
	lateVar     = "WAYHOLD_TEST_LATE"  // set where signals come once the program has done all it does
	many        = 1024                 // servers, and nodes, that the operators may have at least
	leastMemory = 32                   // MB, the smallest limit in the terms
)

func TestMain(m *testing.M) {
	if os.Getenv(childVar) != "" {
		main()
		if os.Getenv(lateVar) != "" { // as the process ends
			runtime.LockOSThread() // one that is meant for the thread comes before the call returns
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				_, _, _ = syscall.RawSyscall(syscall.SYS_TGKILL, uintptr(os.Getpid()), uintptr(syscall.Gettid()), uintptr(s))
			}
		}
		return
	}
	os.Exit(m.Run())
}

// backends are many servers that count what they get.
type backends struct {
	addrs []string
	mu    sync.Mutex
	got   map[string]int // by address
}

func newBackends(t *testing.T) *backends {
	b := &backends{got: make(map[string]int)}
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.got[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()]++
	})}
	t.Cleanup(func() { srv.Close() })
	for range many {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		b.addrs = append(b.addrs, ln.Addr().String())
		go srv.Serve(ln)
	}
	return b
}

// forget starts the counts anew.
func (b *backends) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.got)
}

func (b *backends) entries(from, to int, phase string) string {
	var all []string
	for i := from; i < to; i++ {
		all = append(all, fmt.Sprintf(`{"id":"s-%04d","host_port":%q,"locality":"a","flavor":"k","cell":%d,"phase":%q,"size":1.0,"up_since_ms":0}`,
			i, b.addrs[i], i/8, phase))
	}
	return strings.Join(all, ",\n        ")
}

// registry is a discovery whose lists a test sets.
type registry struct {
	mu       sync.Mutex
	revision int
	list     string
	changed  chan struct{}
	calls    chan int // the revisions that are asked from
}

func (r *registry) set(complete bool, entries string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.list = fmt.Sprintf("{\n  \"revision\": %d,\n  \"complete\": %v,\n  \"members\": [%s]\n}\n", r.revision, complete, entries)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	index, _ := strconv.Atoi(req.URL.Query().Get("index"))
	r.calls <- index
	for {
		r.mu.Lock()
		revision, list, changed := r.revision, r.list, r.changed
		r.mu.Unlock()
		if revision > index {
			_, _ = io.WriteString(w, list)
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}

// heard waits until the node asks for what is newer than the last list: it has taken that in.
func (r *registry) heard(t *testing.T) {
	t.Helper()
	for r.revision != receive(t, "the next call for the list", r.calls) {
	}
}

// A thousand servers and as many nodes are within what a node can do with the least memory that the terms
// give it: it starts with them, serves, and follows changes, drains among them, of a quarter and of all.
func TestManyServersAndNodesInLittleMemory(t *testing.T) {
	servers := newBackends(t)
	reg := &registry{revision: 1, changed: make(chan struct{}), calls: make(chan int, 1000)}
	discovery := httptest.NewServer(reg)
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	var known any
	if err := json.Unmarshal([]byte(`{"revision":1,"complete":true,"members":[`+servers.entries(0, many, "up")+`]}`), &known); err != nil {
		t.Fatal(err)
	}
	var tenants []string
	for i := range 50 {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","quotaRps":1e6,"fraction":0.02}`, i))
	}
	list, _ := json.Marshal(known)
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":%d,"sockets":256},"known":%s,
		"settings":{"position":%d,"groupSize":%d,"zone":"a","registryMode":"automatic","tenants":[%s],
			"services":[{"name":"x","aim":20000,"deadline":30000,"repeat":"free"}],
			"limits":{"connectTimeout":5000,"maxAttempts":3,"retryAfter":true},
			"guarantees":{"drainGrace":500,"cold":1000,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}}`,
		discovery.Listener.Addr(), leastMemory, list, many-1, many, strings.Join(tenants, ","))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	node := exec.Command(self)
	node.Env = append(os.Environ(), childVar+"=1", "ROUTER_CONFIG="+path)
	log, err := node.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = node.Process.Kill(); _ = node.Wait() }()
	addr, lines := "", bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for listens := regexp.MustCompile(`msg=listening .*address=(\S+) servers=1024`); addr == "" && lines.Scan(); {
		if m := listens.FindStringSubmatch(lines.Text()); m != nil {
			addr = m[1]
		}
	}
	go func() { _, _ = io.Copy(io.Discard, log) }()
	if addr == "" {
		t.Fatal("the node does not say where it listens")
	}
	get := func(path, id string) int {
		req, err := http.NewRequest("GET", "http://"+addr+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		for name, v := range map[string]string{"X-Request-Id": id, "X-Class": "x", "X-Tenant": "t" + id[len(id)-1:], "X-Deadline-Ms": "30000"} {
			req.Header.Set(name, v)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return 0
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	serve := func(round string) {
		t.Helper()
		servers.forget()
		var clients sync.WaitGroup
		for c := range 20 {
			clients.Go(func() {
				for i := range 50 {
					if status := get("/api", fmt.Sprintf("%s-%d-%d", round, c, i)); status != 200 {
						t.Errorf("%s: status %d", round, status)
					}
				}
			})
		}
		clients.Wait()
	}
	for get("/health/ready", "0") != 200 {
	}
	reg.heard(t)
	serve("start")

	quarter := many / 4
	reg.set(false, servers.entries(0, quarter, "draining"))
	reg.heard(t)
	serve("drain")
	for i := range quarter {
		if n := servers.got[servers.addrs[i]]; n > 0 {
			t.Errorf("draining server %d got %d requests", i, n)
		}
	}
	reg.set(true, servers.entries(many/2, many, "up"))
	reg.heard(t)
	serve("removal")
	for i := range many / 2 {
		if n := servers.got[servers.addrs[i]]; n > 0 {
			t.Errorf("removed server %d got %d requests", i, n)
		}
	}
	for range 20 {
		reg.set(true, servers.entries(0, many, "up"))
		reg.heard(t)
		reg.set(false, servers.entries(0, many, "removed"))
		reg.heard(t)
	}
	reg.set(true, servers.entries(0, many, "up"))
	reg.heard(t)
	serve("return")
	if len(servers.got) < 2 {
		t.Errorf("only %d servers are used", len(servers.got))
	}

	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	threads := regexp.MustCompile(`Threads:\s+(\d+)`).FindSubmatch(status)
	if peak == nil || threads == nil {
		t.Fatalf("no figures in %s", status)
	}
	kB, _ := strconv.Atoi(string(peak[1]))
	t.Logf("at its peak the node has %d kB, with %s threads", kB, threads[1])
	if kB > leastMemory<<10 && !raceDetector {
		t.Errorf("at its peak the node has %d kB, want at most %d MB", kB, leastMemory)
	}
	if err := node.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}
