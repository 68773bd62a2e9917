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
	childEnv       = "WAYHOLD_TEST_CHILD" // set to run the program's main in the test binary
	exitSignalsEnv = "WAYHOLD_TEST_LATE"  // set to raise signals after main has returned
	memberCount    = 1024                 // servers and nodes that must be supported at the least
	minMemoryMB    = 32                   // MB, the smallest memory limit that has to be supported
)

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		main()
		if os.Getenv(exitSignalsEnv) != "" { // signals during the process's exit
			runtime.LockOSThread() // a signal sent to the calling thread is delivered before the system call returns
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				_, _, _ = syscall.RawSyscall(syscall.SYS_TGKILL, uintptr(os.Getpid()), uintptr(syscall.Gettid()), uintptr(s))
			}
		}
		return
	}
	os.Exit(m.Run())
}

// backends is a set of servers that count their requests.
type backends struct {
	addrs         []string
	mu            sync.Mutex
	requestCounts map[string]int // by address
}

func newBackends(t *testing.T) *backends {
	b := &backends{requestCounts: make(map[string]int)}
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.requestCounts[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()]++
	})}
	t.Cleanup(func() { srv.Close() })
	for range memberCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		b.addrs = append(b.addrs, ln.Addr().String())
		go srv.Serve(ln)
	}
	return b
}

// resetCounts sets all request counts to zero.
func (b *backends) resetCounts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.requestCounts)
}

func (b *backends) memberEntries(from, to int, phase string) string {
	var all []string
	for i := from; i < to; i++ {
		all = append(all, fmt.Sprintf(`{"id":"s-%04d","host_port":%q,"locality":"a","flavor":"k","cell":%d,"phase":%q,"size":1.0,"up_since_ms":0}`,
			i, b.addrs[i], i/8, phase))
	}
	return strings.Join(all, ",\n        ")
}

// fakeDiscovery is a discovery server whose list the test sets. A call blocks until the list is newer than its index.
type fakeDiscovery struct {
	mu       sync.Mutex
	revision int
	list     string
	changed  chan struct{}
	calls    chan int // the index parameter of each call
}

func (fake *fakeDiscovery) setList(complete bool, entries string) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.revision++
	fake.list = fmt.Sprintf("{\n  \"revision\": %d,\n  \"complete\": %v,\n  \"members\": [%s]\n}\n", fake.revision, complete, entries)
	close(fake.changed)
	fake.changed = make(chan struct{})
}

func (fake *fakeDiscovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	index, _ := strconv.Atoi(req.URL.Query().Get("index"))
	fake.calls <- index
	for {
		fake.mu.Lock()
		revision, list, changed := fake.revision, fake.list, fake.changed
		fake.mu.Unlock()
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

// awaitApplied waits until the node asks for updates to the latest list, which shows that it has applied that list.
func (fake *fakeDiscovery) awaitApplied(t *testing.T) {
	t.Helper()
	for fake.revision != receive(t, "the next discovery call", fake.calls) {
	}
}

// With the smallest supported memory limit, a node handles a thousand servers in a group of as many nodes: it starts
// with them, serves requests, and follows list changes, including drains, of a quarter of the servers and of all.
func TestManyServersAndNodesInMinimumMemory(t *testing.T) {
	servers := newBackends(t)
	fake := &fakeDiscovery{revision: 1, changed: make(chan struct{}), calls: make(chan int, 1000)}
	discovery := httptest.NewServer(fake)
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	var known any
	if err := json.Unmarshal([]byte(`{"revision":1,"complete":true,"members":[`+servers.memberEntries(0, memberCount, "up")+`]}`), &known); err != nil {
		t.Fatal(err)
	}
	var tenants []string
	for i := range 50 {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","quotaRps":1e6,"fraction":0.02}`, i))
	}
	knownJSON, _ := json.Marshal(known)
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":%d,"sockets":256},"known":%s,
		"settings":{"position":%d,"groupSize":%d,"zone":"a","registryMode":"automatic","tenants":[%s],
			"services":[{"name":"x","aim":20000,"deadline":30000,"repeat":"free"}],
			"limits":{"connectTimeout":5000,"maxAttempts":3,"retryAfter":true},
			"guarantees":{"drainGrace":500,"cold":1000,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}}`,
		discovery.Listener.Addr(), minMemoryMB, knownJSON, memberCount-1, memberCount, strings.Join(tenants, ","))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	node := exec.Command(executable)
	node.Env = append(os.Environ(), childEnv+"=1", "ROUTER_CONFIG="+path)
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
	for listenLine := regexp.MustCompile(`msg=listening .*address=(\S+) servers=1024`); addr == "" && lines.Scan(); {
		if m := listenLine.FindStringSubmatch(lines.Text()); m != nil {
			addr = m[1]
		}
	}
	go func() { _, _ = io.Copy(io.Discard, log) }()
	if addr == "" {
		t.Fatal("the node's log has no listening address")
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
	sendRound := func(round string) {
		t.Helper()
		servers.resetCounts()
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
	fake.awaitApplied(t)
	sendRound("start")

	quarter := memberCount / 4
	fake.setList(false, servers.memberEntries(0, quarter, "draining"))
	fake.awaitApplied(t)
	sendRound("drain")
	for i := range quarter {
		if n := servers.requestCounts[servers.addrs[i]]; n > 0 {
			t.Errorf("draining server %d got %d requests", i, n)
		}
	}
	fake.setList(true, servers.memberEntries(memberCount/2, memberCount, "up"))
	fake.awaitApplied(t)
	sendRound("removal")
	for i := range memberCount / 2 {
		if n := servers.requestCounts[servers.addrs[i]]; n > 0 {
			t.Errorf("removed server %d got %d requests", i, n)
		}
	}
	for range 20 {
		fake.setList(true, servers.memberEntries(0, memberCount, "up"))
		fake.awaitApplied(t)
		fake.setList(false, servers.memberEntries(0, memberCount, "removed"))
		fake.awaitApplied(t)
	}
	fake.setList(true, servers.memberEntries(0, memberCount, "up"))
	fake.awaitApplied(t)
	sendRound("return")
	if len(servers.requestCounts) < 2 {
		t.Errorf("only %d servers received requests", len(servers.requestCounts))
	}

	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	threads := regexp.MustCompile(`Threads:\s+(\d+)`).FindSubmatch(status)
	if peak == nil || threads == nil {
		t.Fatalf("no VmHWM or Threads line in %s", status)
	}
	kB, _ := strconv.Atoi(string(peak[1]))
	t.Logf("peak memory %d kB, %s threads", kB, threads[1])
	if kB > minMemoryMB<<10 && !raceEnabled {
		t.Errorf("peak memory %d kB, want at most %d MB", kB, minMemoryMB)
	}
	if err := node.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}
