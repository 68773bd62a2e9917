package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const long = 30 * time.Second // more than any step takes; nothing waits for it unless the test fails

const someServer = `{"id":"s0","host_port":"127.0.0.1:9","phase":"up"}`

// agent is a discovery that has one server to tell of, and passes on each query.
func agent(t *testing.T) (addr string, queries chan string) {
	queries = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Has("index") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":3,"complete":true,"members":[%s]}`, someServer)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), queries
}

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(long):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// SIGHUP moves discovery to what the file names then, also where ROUTER_DISCOVERY said otherwise at
// the start; a file that can't be read changes nothing; SIGTERM still ends the program in order.
func TestReload(t *testing.T) {
	first, atFirst := agent(t)
	second, atSecond := agent(t)
	third, atThird := agent(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[%s]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, listen, discovery, someServer)
	}
	write(config(first))
	t.Setenv("ROUTER_CONFIG", path)
	t.Setenv("ROUTER_DISCOVERY", first)
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- run(nil) }()
	if q := receive(t, "the first call", atFirst); !strings.HasPrefix(q, "index=1&wait=") {
		t.Errorf("first call: %q", q)
	}
	write(config(second))
	signal(syscall.SIGHUP)
	if q := receive(t, "the call at the second address", atSecond); q != "" {
		t.Errorf("asks for %q, not for the whole list", q)
	}
	for len(atFirst) > 0 { // called anew there before the signal, where this test was slow
		<-atFirst
	}
	write(`{"discovery":`)
	signal(syscall.SIGHUP)
	write(config(third))
	signal(syscall.SIGHUP)
	signal(syscall.SIGHUP)
	receive(t, "the call at the third address", atThird)
	resp, err := http.Get("http://" + listen + "/health/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after the reloads: %v, %v", resp, err)
	}
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP) // harmless during a drain
	if err := receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
	select {
	case q := <-atFirst:
		t.Errorf("the first address was called again: %q", q)
	default:
	}
}

// An address for operators that can't be used ends the start with one line.
func TestUnusableOperatorAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for addr, want := range map[string]string{taken.Addr().String(): "operator: ", "nowhere": "configuration: operator: "} {
		path := filepath.Join(t.TempDir(), "config.json")
		text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","operator":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("ROUTER_CONFIG", path)
		if err := run(nil); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that begins with %q", addr, err, want)
		}
	}
}

// A configuration that can't be read as the signal comes, or is only half there, is read again until it can be: the old
// address of discovery is about to close.
func TestReloadIsTriedAgainUntilTheFileIsWhole(t *testing.T) {
	first, atFirst := agent(t)
	second, atSecond := agent(t)
	path := filepath.Join(t.TempDir(), "config.json")
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[%s]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, discovery, someServer)
	}
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(config(first))
	t.Setenv("ROUTER_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run(nil) }()
	receive(t, "the first call", atFirst)
	reads := countReads(t, path)
	write(config(second)[:100])
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	receive(t, "a look at the half file", reads)
	write(config(second))
	receive(t, "the call at the second address", atSecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
}

// countReads tells of each time that a file in the folder of the given one is opened and closed again.
func countReads(t *testing.T, path string) <-chan struct{} {
	t.Helper()
	watch, err := syscall.InotifyInit1(syscall.IN_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := syscall.InotifyAddWatch(watch, filepath.Dir(path), syscall.IN_CLOSE_NOWRITE); err != nil {
		t.Fatal(err)
	}
	reads := make(chan struct{}, 100)
	f := os.NewFile(uintptr(watch), "inotify")
	t.Cleanup(func() { f.Close() })
	go func() {
		for {
			if _, err := f.Read(make([]byte, 4096)); err != nil {
				return
			}
			reads <- struct{}{}
		}
	}()
	return reads
}
