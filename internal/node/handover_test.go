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
	return snapshot{Saved: now, Standby: true, Revision: 12, Members: members(t, "127.0.0.1:7", "127.0.0.1:8"), Clients: 5,
		Servers: 6, Policy: policy.Memory{Pace: 1.5, Buckets: []policy.BucketMemory{{Tenant: "t", Tokens: 3, Age: 1}}}}
}

// What was left is read again as it was; what is stale, cut short, of another version or spoilt is not.
func TestSnapshotIsReadWholeOrNotAtAll(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	raw, err := encodeSnapshot(testSnapshot(t, now))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeSnapshot(raw, now.Add(time.Second))
	if err != nil || fmt.Sprint(got) != fmt.Sprint(testSnapshot(t, now.In(got.Saved.Location()))) {
		t.Errorf("got %v, %v", got, err)
	}
	spoilt := bytes.Clone(raw)
	spoilt[len(spoilt)/2] ^= 1
	noAddress := testSnapshot(t, now)
	noAddress.Members[0].Addr = "nowhere"
	bad, err := encodeSnapshot(noAddress)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		raw []byte
		at  time.Time
	}{
		"stale":         {raw, now.Add(maxSnapshotAge + 1)},
		"of the future": {raw, now.Add(-maxSnapshotAge - 1)},
		"cut short":     {raw[:len(raw)-1], now},
		"longer":        {append(bytes.Clone(raw), ' '), now},
		"empty":         {nil, now},
		"spoilt":        {spoilt, now},
		"other version": {bytes.Replace(raw, []byte("wayhold 1 "), []byte("wayhold 2 "), 1), now},
		"no address":    {bad, now},
	} {
		if got, err := decodeSnapshot(c.raw, c.at); err == nil {
			t.Errorf("%s: taken for %v", name, got)
		}
	}
}

func FuzzSnapshot(f *testing.F) {
	f.Add([]byte("wayhold 1 00000000\n"))
	f.Add([]byte(`{"Saved":"2026-01-01T00:00:00Z","Members":[{"Server":"a","Addr":"127.0.0.1:1"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		now := time.Unix(1_800_000_000, 0)
		_, _ = decodeSnapshot(raw, now)
		// With a checksum that fits, the rest is looked at too, and what passes can be put to use.
		l, err := decodeSnapshot(append([]byte(fmt.Sprintf("wayhold 1 %08x\n", checksum(raw))), raw...), now)
		if err != nil {
			return
		}
		c := testConfigOf(t, discovery.List{Complete: true, Members: l.Members})
		b, err := policy.New(c.Settings, timeOrigin, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Restore(timeOrigin, l.Policy, 0)
		b.Handle(timeOrigin, policy.Request{ID: "r", Class: "read", Tenant: "t", ExpiresIn: time.Second})
	})
}

func testConfigOf(t *testing.T, known discovery.List) Config {
	c := testConfig(t, knownList())
	c.Known = known
	return c
}

// The living are told by their locks; what the dead left is cleared away, and harms nobody.
func TestDeadPredecessorsAreCleared(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	raw, err := encodeSnapshot(testSnapshot(t, now))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"wayhold-5.lock": nil, "wayhold-5.state": raw, "wayhold-5.standby": nil,
		"wayhold-99999999999999999999.lock": nil, "wayhold-x.lock": []byte("x"), "wayhold--3.lock": nil, "other": nil} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	if first.predecessor != 0 {
		t.Errorf("a dead process %d counts as living", first.predecessor)
	}
	for _, name := range []string{"wayhold-5.state", "wayhold-5.standby"} {
		if _, err := os.Stat(filepath.Join(dir, name)); !os.IsNotExist(err) {
			t.Errorf("what it left is still there: %v", err)
		}
	}
	second, err := join(dir)
	if err != nil {
		t.Fatal(err)
	}
	if second.predecessor != first.id || !first.hasSuccessor() || second.hasSuccessor() {
		t.Errorf("before %d, want %d; succeeded %v, %v", second.predecessor, first.id, first.hasSuccessor(), second.hasSuccessor())
	}
	if _, err := second.readSnapshot(first.id, now); err == nil {
		t.Error("read what nobody wrote")
	}
	if err := first.writeSnapshot(testSnapshot(t, now)); err != nil {
		t.Fatal(err)
	}
	first.recordStandby(true)
	if l, err := second.readSnapshot(first.id, now); err != nil || l.Revision != 12 || !l.Standby {
		t.Errorf("read %v, %v", l, err)
	}
	second.leave()
	if first.hasSuccessor() {
		t.Error("a process that has left still counts")
	}
	first.leave()
	if left, err := filepath.Glob(filepath.Join(dir, "wayhold-[1-9]*")); err != nil || len(left) != 1 { // the long number's
		t.Errorf("left behind: %v, %v", left, err)
	}
}

// sharedNode runs one process of a node on a listener that others hold too.
func sharedNode(t *testing.T, c Config, socket *net.TCPListener) (operator string, stop func() error) {
	t.Helper()
	f, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	clients, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, c, Listeners{Clients: clients, Operators: operators}, nil) }()
	operator = operators.Addr().String()
	await(t, "the process", func() bool { return call(t, operator, "GET", "/status") != 0 })
	return operator, func() error {
		cancel()
		return receive(t, "the process's end", ended)
	}
}

// In an upgrade the old process answers what it has, its connections end with their answers, and the new
// one has the clients from then on: nobody is turned back. The list goes with them.
func TestUpgradeUnderLoad(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
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
	c := testConfig(t, knownList(addr))
	c.Handover = t.TempDir()
	operator, stopOld := sharedNode(t, c, socket.(*net.TCPListener))
	await(t, "readiness", func() bool { return call(t, operator, "GET", "/status") == 200 })
	busy, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	if err := newRequest(t, node, "GET", "read", "slow", "").Write(busy); err != nil {
		t.Fatal(err)
	}
	receive(t, "the slow request", held)
	await(t, "the old process's word", func() bool {
		names, _ := filepath.Glob(filepath.Join(c.Handover, handoverPrefix+"*"+stateSuffix))
		return len(names) == 1
	})

	c.Known = discovery.List{Revision: 1, Complete: true} // it knows of servers what the old process tells it
	operator, stopNew := sharedNode(t, c, socket.(*net.TCPListener))
	await(t, "the new process's readiness", func() bool { return call(t, operator, "GET", "/status") == 200 })
	old := make(chan error, 1)
	go func() { old <- stopOld() }()
	resp, err := http.Get("http://" + node + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for i := range 20 {
		if resp, _ := do(t, newRequest(t, node, "GET", "read", fmt.Sprint("r", i), "")); resp.StatusCode != 200 {
			t.Errorf("request %d meanwhile: %d", i, resp.StatusCode)
		}
	}
	close(hold)
	resp, err = http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the request that the old process had: %v, %v; want 200 and the connection's end", resp, err)
	}
	if err := receive(t, "the old process's end", old); err != nil {
		t.Error(err)
	}
	if resp, _ := do(t, newRequest(t, node, "GET", "read", "after", "")); resp.StatusCode != 200 {
		t.Errorf("afterwards: %d", resp.StatusCode)
	}
	if err := stopNew(); err != nil {
		t.Error(err)
	}
	if left, _ := filepath.Glob(filepath.Join(c.Handover, "*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// Two processes together stay within one node's descriptors, before, amid and after the change.
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
		return &sharedLimits{handover: h, loop: l, lifecycle: new(lifecycle), clients: newClients(ln, 100), upstream: l.upstream,
			clientSockets: 100, serverSockets: 150, reservedSockets: 30}
	}
	check := func(when string, all ...*sharedLimits) {
		t.Helper()
		sum := 0
		for _, s := range all {
			sum += s.clients.currentBaseLimit() + s.upstream.openLimit() + s.reservedSockets
		}
		if sum > 100+150+30 {
			t.Errorf("%s: %d descriptors, want 280 at most", when, sum)
		}
	}
	old := process()
	old.step(now)
	check("alone", old)
	if old.clients.currentBaseLimit() != 100 || old.upstream.openLimit() != 150 {
		t.Errorf("alone: %d and %d, want all", old.clients.currentBaseLimit(), old.upstream.openLimit())
	}
	next := process()
	old.step(now)
	next.step(now)
	check("together", old, next)
	old.lifecycle.beginClosing()
	old.lifecycle.stopDraining()
	old.step(now)
	next.step(now)
	check("while the old one ends", old, next)
	if next.clients.currentBaseLimit() < 80 {
		t.Errorf("the new one has %d for clients while the old one has none", next.clients.currentBaseLimit())
	}
	old.leave()
	next.step(now)
	if next.clients.currentBaseLimit() != 100 || next.upstream.openLimit() != 150 {
		t.Errorf("alone again: %d and %d, want all", next.clients.currentBaseLimit(), next.upstream.openLimit())
	}
	next.leave()
}

// Both processes are one node: a drain that the old one hears of counts as told to the new one too, whose own
// first call may be broken or wait its turn. Once that is answered, the old one's word counts no more.
func TestNewProcessHearsWithTheOldOne(t *testing.T) {
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
	next := &sharedLimits{handover: second, loop: l, lifecycle: new(lifecycle), clients: newClients(ln, 100), upstream: l.upstream,
		clientSockets: 100, serverSockets: 150, reservedSockets: 30}
	now := time.Now()
	hears := func(revision int64, phase policy.Availability) {
		t.Helper()
		left := snapshot{Saved: now, Revision: revision, Members: []discovery.Member{phased(t, "127.0.0.1:9", phase)}}
		if err := first.writeSnapshot(left); err != nil {
			t.Fatal(err)
		}
		next.step(now)
		next.step(now)
	}
	phase := func() policy.Availability { return l.snapshot().Members[0].Availability }
	hears(8, policy.Draining)
	if phase() != policy.Draining {
		t.Error("the new process doesn't know of the drain that the old one heard of")
	}
	if lists != 2 { // the loop has answered since
		t.Errorf("the module was given %d lists, want the one at the start and the change", lists)
	}
	l.send(discovery.Update{Kind: policy.ListUpdate, Members: []discovery.Member{phased(t, "127.0.0.1:9", policy.Running)}, Revision: 9})
	hears(10, policy.Draining)
	if phase() != policy.Running {
		t.Error("the old process's word goes before discovery's")
	}
}

// A folder that can't be used costs the handover, not the start.
func TestUnusableFolderIsAPlainStart(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	c := testConfig(t, knownList(addr))
	c.Handover = filepath.Join(t.TempDir(), "none")
	node, _ := startNode(t, c)
	if resp, _ := do(t, newRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}
