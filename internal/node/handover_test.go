package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

func testSnapshot(t *testing.T, now time.Time) snapshot {
	return snapshot{Saved: now, Standby: true, Revision: 12, Members: testMembers(t, "127.0.0.1:7", "127.0.0.1:8"), Clients: 5,
		Servers: 6, Policy: policy.Memory{Pace: 1.5, Buckets: []policy.BucketMemory{{Tenant: "t", Tokens: 3, Age: 1}}}}
}

// A valid snapshot is decoded unchanged. One that is stale, truncated, of another version or corrupted is rejected.
func TestDecodeSnapshot(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	raw, err := encodeSnapshot(testSnapshot(t, now))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeSnapshot(raw, now.Add(time.Second))
	if err != nil || fmt.Sprint(got) != fmt.Sprint(testSnapshot(t, now.In(got.Saved.Location()))) {
		t.Errorf("got %v, %v", got, err)
	}
	corrupted := bytes.Clone(raw)
	corrupted[len(corrupted)/2] ^= 1
	noAddress := testSnapshot(t, now)
	noAddress.Members[0].Addr = "nowhere"
	invalid, err := encodeSnapshot(noAddress)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		raw []byte
		at  time.Time
	}{
		"stale":           {raw, now.Add(maxSnapshotAge + 1)},
		"in the future":   {raw, now.Add(-maxSnapshotAge - 1)},
		"truncated":       {raw[:len(raw)-1], now},
		"trailing data":   {append(bytes.Clone(raw), ' '), now},
		"empty":           {nil, now},
		"corrupted":       {corrupted, now},
		"other version":   {bytes.Replace(raw, []byte("wayhold 1 "), []byte("wayhold 2 "), 1), now},
		"invalid address": {invalid, now},
	} {
		if got, err := decodeSnapshot(c.raw, c.at); err == nil {
			t.Errorf("%s: decoded as %v, want an error", name, got)
		}
	}
}

func FuzzSnapshot(f *testing.F) {
	f.Add([]byte("wayhold 1 00000000\n"))
	f.Add([]byte(`{"Saved":"2026-01-01T00:00:00Z","Members":[{"Server":"a","Addr":"127.0.0.1:1"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		now := time.Unix(1_800_000_000, 0)
		_, _ = decodeSnapshot(raw, now)
		// With a valid checksum the content is checked too, and a snapshot that is accepted must be usable.
		got, err := decodeSnapshot(append([]byte(fmt.Sprintf("wayhold 1 %08x\n", checksum(raw))), raw...), now)
		if err != nil {
			return
		}
		c := testConfigWithList(t, discovery.List{Complete: true, Members: got.Members})
		balancer, err := policy.New(c.Settings, timeOrigin, 1)
		if err != nil {
			t.Fatal(err)
		}
		balancer.Restore(timeOrigin, got.Policy, 0)
		balancer.Handle(timeOrigin, policy.Request{ID: "r", Class: "read", Tenant: "t", ExpiresIn: time.Second})
	})
}

func testConfigWithList(t *testing.T, known discovery.List) Config {
	c := testConfig(t, memberListJSON())
	c.Known = known
	return c
}

// Running processes are recognized by their locks. The files of dead processes are removed; files with unusable names
// must cause no errors.
func TestFilesOfDeadProcessesAreRemoved(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	raw, err := encodeSnapshot(testSnapshot(t, now))
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{"wayhold-5.lock": nil, "wayhold-5.state": raw, "wayhold-5.standby": nil,
		"wayhold-99999999999999999999.lock": nil, "wayhold-x.lock": []byte("x"), "wayhold--3.lock": nil, "other": nil} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	if first.predecessor != 0 {
		t.Errorf("the dead process %d counts as running", first.predecessor)
	}
	for _, name := range []string{"wayhold-5.state", "wayhold-5.standby"} {
		if _, err := os.Stat(filepath.Join(dir, name)); !os.IsNotExist(err) {
			t.Errorf("a file of a dead process was not removed: %v", err)
		}
	}
	second, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	if second.predecessor != first.id || !first.hasSuccessor() || second.hasSuccessor() {
		t.Errorf("predecessor %d, want %d; hasSuccessor %v and %v, want true and false", second.predecessor, first.id, first.hasSuccessor(), second.hasSuccessor())
	}
	if _, err := second.readSnapshot(first.id, now); err == nil {
		t.Error("read a snapshot that was never written")
	}
	if err := first.writeSnapshot(testSnapshot(t, now)); err != nil {
		t.Fatal(err)
	}
	first.recordStandby(true)
	if got, err := second.readSnapshot(first.id, now); err != nil || got.Revision != 12 || !got.Standby {
		t.Errorf("read %v, %v", got, err)
	}
	second.leave()
	if first.hasSuccessor() {
		t.Error("a process that has left still counts as running")
	}
	first.leave()
	if remaining, err := filepath.Glob(filepath.Join(dir, "wayhold-[1-9]*")); err != nil || len(remaining) != 1 { // the one whose number overflows
		t.Errorf("remaining files: %v, %v", remaining, err)
	}
}

// startProcess runs one process of a node on a socket that other processes share.
func startProcess(t *testing.T, c Config, socket *net.TCPListener) (adminAddr string, stop func() error) {
	t.Helper()
	file, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	clients, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	runResult := make(chan error, 1)
	go func() { runResult <- Run(ctx, c, Listeners{Clients: clients, Operators: admin}, nil) }()
	adminAddr = admin.Addr().String()
	await(t, "the process to start", func() bool { return callAdmin(t, adminAddr, "GET", "/status") != 0 })
	return adminAddr, func() error {
		cancel()
		return receive(t, "the process to stop", runResult)
	}
}

// During an upgrade the old process answers its open requests and closes their connections with the responses, and the
// new process serves all clients from then on. No request is refused. The new process takes over the member list.
func TestUpgradeUnderLoad(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "slow" {
			held <- struct{}{}
			<-hold
		}
	})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	node := socket.Addr().String()
	c := testConfig(t, memberListJSON(addr))
	c.Handover = t.TempDir()
	adminAddr, stopOld := startProcess(t, c, socket.(*net.TCPListener))
	await(t, "readiness", func() bool { return callAdmin(t, adminAddr, "GET", "/status") == 200 })
	busy, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	if err := newRequest(t, node, "GET", "read", "slow", "").Write(busy); err != nil {
		t.Fatal(err)
	}
	receive(t, "the slow request", held)
	await(t, "the old process's snapshot", func() bool {
		names, _ := filepath.Glob(filepath.Join(c.Handover, handoverPrefix+"*"+stateSuffix))
		return len(names) == 1
	})

	c.Known = discovery.List{Revision: 1, Complete: true} // it learns the servers from the old process
	adminAddr, stopNew := startProcess(t, c, socket.(*net.TCPListener))
	await(t, "the new process to be ready", func() bool { return callAdmin(t, adminAddr, "GET", "/status") == 200 })
	oldResult := make(chan error, 1)
	go func() { oldResult <- stopOld() }()
	resp, err := http.Get("http://" + node + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for i := range 20 {
		if resp, _ := doRequest(t, newRequest(t, node, "GET", "read", fmt.Sprint("r", i), "")); resp.StatusCode != 200 {
			t.Errorf("request %d during the upgrade: status %d", i, resp.StatusCode)
		}
	}
	close(hold)
	resp, err = http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the open request of the old process: %v, %v; want 200 and a closing connection", resp, err)
	}
	if err := receive(t, "the old process to stop", oldResult); err != nil {
		t.Error(err)
	}
	if resp, _ := doRequest(t, newRequest(t, node, "GET", "read", "after", "")); resp.StatusCode != 200 {
		t.Errorf("after the upgrade: status %d", resp.StatusCode)
	}
	if err := stopNew(); err != nil {
		t.Error(err)
	}
	if remaining, _ := filepath.Glob(filepath.Join(c.Handover, "*")); len(remaining) > 0 {
		t.Errorf("remaining files: %v", remaining)
	}
}

// Two processes of a node together stay within the node's limit on file descriptors before, during and after the
// handover.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	process := func() *sharedLimits {
		h, err := join(dir)
		if err != nil {
			t.Fatal(err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		l, _ := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
		return &sharedLimits{handover: h, loop: l, lifecycle: new(lifecycle), clients: newClientListener(ln, 100), upstream: l.upstream,
			clientSockets: 100, serverSockets: 150, reservedSockets: 30}
	}
	check := func(when string, all ...*sharedLimits) {
		t.Helper()
		sum := 0
		for _, s := range all {
			sum += s.clients.currentBaseLimit() + s.upstream.openConnLimit() + s.reservedSockets
		}
		if sum > 100+150+30 {
			t.Errorf("%s: %d descriptors, want 280 at most", when, sum)
		}
	}
	old := process()
	old.step(now)
	check("alone", old)
	if old.clients.currentBaseLimit() != 100 || old.upstream.openConnLimit() != 150 {
		t.Errorf("alone: %d and %d, want 100 and 150", old.clients.currentBaseLimit(), old.upstream.openConnLimit())
	}
	next := process()
	old.step(now)
	next.step(now)
	check("together", old, next)
	old.lifecycle.beginClosing()
	old.lifecycle.stopDraining()
	old.step(now)
	next.step(now)
	check("while the old process closes", old, next)
	if next.clients.currentBaseLimit() < 80 {
		t.Errorf("the new process has %d descriptors for clients while the old one needs none, want at least 80", next.clients.currentBaseLimit())
	}
	old.leave()
	next.step(now)
	if next.clients.currentBaseLimit() != 100 || next.upstream.openConnLimit() != 150 {
		t.Errorf("alone again: %d and %d, want 100 and 150", next.clients.currentBaseLimit(), next.upstream.openConnLimit())
	}
	next.leave()
}

// When the old process learns from discovery that a server drains, the new process must learn it too, because the new
// process's own first call to discovery may fail or be queued. Once discovery has answered the new process, lists from
// the old one are ignored.
func TestNewProcessFollowsListOfTheOldOne(t *testing.T) {
	dir := t.TempDir()
	first, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer first.leave()
	second, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer second.leave()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	lists := 0
	l, _ := startLoop(t, "127.0.0.1:9", func(_ policy.Time, ev policy.Event) []policy.Action {
		if _, ok := ev.(policy.MemberList); ok {
			lists++
		}
		return nil
	})
	next := &sharedLimits{handover: second, loop: l, lifecycle: new(lifecycle), clients: newClientListener(ln, 100), upstream: l.upstream,
		clientSockets: 100, serverSockets: 150, reservedSockets: 30}
	now := time.Now()
	receiveList := func(revision int64, availability policy.Availability) {
		t.Helper()
		saved := snapshot{Saved: now, Revision: revision, Members: []discovery.Member{memberWithAvailability(t, "127.0.0.1:9", availability)}}
		if err := first.writeSnapshot(saved); err != nil {
			t.Fatal(err)
		}
		next.step(now)
		next.step(now)
	}
	currentAvailability := func() policy.Availability { return l.snapshot().Members[0].Availability }
	receiveList(8, policy.Draining)
	if currentAvailability() != policy.Draining {
		t.Error("the new process did not learn of the drain from the old one")
	}
	if lists != 2 { // the loop has handled all events before currentAvailability returned
		t.Errorf("the decision module got %d lists, want 2: the initial one and the change", lists)
	}
	l.send(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{memberWithAvailability(t, "127.0.0.1:9", policy.Running)}, Revision: 9})
	receiveList(10, policy.Draining)
	if currentAvailability() != policy.Running {
		t.Error("the list from the old process overrode the one from discovery")
	}
}

// A folder that can't be used prevents the handover, but not the start.
func TestUnusableFolderDoesNotPreventStart(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	c := testConfig(t, memberListJSON(addr))
	c.Handover = filepath.Join(t.TempDir(), "none")
	node, _ := startNode(t, c)
	if resp, _ := doRequest(t, newRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}
