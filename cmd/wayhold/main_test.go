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

const stepTimeout = 30 * time.Second // longer than any step takes; only a failing test waits this long

const memberJSON = `{"id":"s0","host_port":"127.0.0.1:9","phase":"up"}`

// newDiscovery starts a discovery server that lists one member, and sends the query string of each call to queries.
func newDiscovery(t *testing.T) (addr string, queries chan string) {
	queries = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Has("index") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":3,"complete":true,"members":[%s]}`, memberJSON)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), queries
}

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(stepTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// At SIGHUP the node switches to the discovery address in the configuration file, even if ROUTER_DISCOVERY overrode it
// at the start. An unreadable file changes nothing, and SIGTERM still ends the program cleanly.
func TestReload(t *testing.T) {
	first, firstQueries := newDiscovery(t)
	second, secondQueries := newDiscovery(t)
	third, thirdQueries := newDiscovery(t)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := reserved.Addr().String()
	reserved.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[%s]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, listen, discovery, memberJSON)
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
	if q := receive(t, "the first call", firstQueries); !strings.HasPrefix(q, "index=1&wait=") {
		t.Errorf("first call: %q", q)
	}
	write(config(second))
	signal(syscall.SIGHUP)
	if q := receive(t, "the call at the second address", secondQueries); q != "" {
		t.Errorf("query %q, want a request for the full list", q)
	}
	for len(firstQueries) > 0 { // calls made before the signal, if this test was slow
		<-firstQueries
	}
	write(`{"discovery":`)
	signal(syscall.SIGHUP)
	write(config(third))
	signal(syscall.SIGHUP)
	signal(syscall.SIGHUP)
	receive(t, "the call at the third address", thirdQueries)
	resp, err := http.Get("http://" + listen + "/health/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after the reloads: %v, %v", resp, err)
	}
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP) // harmless during a drain
	if err := receive(t, "the program's exit", ended); err != nil {
		t.Error(err)
	}
	select {
	case q := <-firstQueries:
		t.Errorf("the first address was called after the reload: %q", q)
	default:
	}
}

// An unusable operator address ends the start with a one-line error.
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
			t.Errorf("%s: got %v, want a one-line error that begins with %q", addr, err, want)
		}
	}
}

// A configuration file that is unreadable or incomplete when SIGHUP arrives is read again until it is complete: without
// a retry, the node would lose discovery, because the old address is about to close.
func TestReloadRetriesUntilFileIsComplete(t *testing.T) {
	first, firstQueries := newDiscovery(t)
	second, secondQueries := newDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[%s]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, discovery, memberJSON)
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
	receive(t, "the first call", firstQueries)
	reads := watchReads(t, path)
	write(config(second)[:100])
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	receive(t, "a read of the incomplete file", reads)
	write(config(second))
	receive(t, "the call at the second address", secondQueries)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, "the program's exit", ended); err != nil {
		t.Error(err)
	}
}

// watchReads reports each time a file in the given file's directory is closed after being opened for reading.
func watchReads(t *testing.T, path string) <-chan struct{} {
	t.Helper()
	inotify, err := syscall.InotifyInit1(syscall.IN_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := syscall.InotifyAddWatch(inotify, filepath.Dir(path), syscall.IN_CLOSE_NOWRITE); err != nil {
		t.Fatal(err)
	}
	reads := make(chan struct{}, 100)
	f := os.NewFile(uintptr(inotify), "inotify")
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
