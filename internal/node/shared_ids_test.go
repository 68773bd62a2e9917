package node

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that runs twice because its client leaves one process of an upgrade and comes again with the same id
// at the other, which didn't know the id.
func TestIDRunsOnceInAnUpgrade(t *testing.T) {
	var runs atomic.Int32
	began, release := make(chan struct{}, 10), make(chan struct{})
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		began <- struct{}{}
		<-release
	})
	dir := t.TempDir()
	var sockets []net.Listener
	for range 2 { // each process has a socket of its own, so that the test chooses the process
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		sockets = append(sockets, socket)
		c := testConfig(t, memberListJSON(addr))
		c.Handover = dir
		for i := range c.Settings.Classes { // so that the processes end soon
			c.Settings.Classes[i].Deadline = time.Second
		}
		adminAddr, stop := startProcess(t, c, socket.(*net.TCPListener))
		await(t, "readiness", func() bool { return callAdmin(t, adminAddr, "GET", "/status") == 200 })
		defer func() {
			if err := stop(); err != nil {
				t.Error(err)
			}
		}()
	}
	defer close(release)
	for first := range sockets { // from the old process to the new one, and the other way
		id := fmt.Sprint("r", first)
		c, err := net.Dial("tcp", sockets[first].Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := newRequest(t, "a", "POST", "pay", id, "sum").Write(c); err != nil {
			t.Fatal(err)
		}
		receive(t, "the attempt", began)
		c.Close()
		for _, again := range []int{first, 1 - first} {
			resp, _ := doRequest(t, newRequest(t, sockets[again].Addr().String(), "POST", "pay", id, "sum"))
			if resp.StatusCode != http.StatusConflict {
				t.Errorf("the id of process %d again at process %d: status %d", first, again, resp.StatusCode)
			}
		}
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("two requests ran %d times", n)
	}
}

// Of several goroutines that claim an id in tables that map one file, one succeeds, until the id has expired.
func TestSharedIDIsClaimedOnce(t *testing.T) {
	dir := t.TempDir()
	var tables []*sharedIDs
	for range 4 {
		table, err := openSharedIDs(dir)
		if err != nil {
			t.Fatal(err)
		}
		tables = append(tables, table)
	}
	now := int64(time.Hour)
	claim := func(id string, now int64) (claimed int32) {
		var count atomic.Int32
		var all sync.WaitGroup
		for _, table := range tables {
			all.Go(func() {
				if table.claim(id, now) {
					count.Add(1)
				}
			})
		}
		all.Wait()
		return count.Load()
	}
	for i := range 20_000 {
		if n := claim(fmt.Sprint("r", i), now); n != 1 {
			t.Fatalf("id %d was claimed by %d of %d", i, n, len(tables))
		}
	}
	for after, want := range map[time.Duration]int32{0: 0, idRetention: 0, -sharedIDTick: 0} {
		if n := claim("r19999", now+int64(after)); n != want {
			t.Errorf("%v later the id was claimed by %d, want %d", after, n, want)
		}
	}
	if n := claim("r19999", now+int64(idRetention+2*sharedIDTick)); n != 1 {
		t.Errorf("after its time the id was claimed by %d, want 1", n)
	}
}

// A table that can't be used is no reason not to start.
func TestNodeStartsWithoutSharedIDs(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	c := testConfig(t, memberListJSON(addr))
	c.Handover = t.TempDir()
	if err := os.WriteFile(filepath.Join(c.Handover, sharedIDsName), []byte("short"), 0o600); err != nil {
		t.Fatal(err)
	}
	node, _ := startNode(t, c)
	if resp, _ := doRequest(t, newRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
