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
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// process is the program, with its limits on descriptors set by the system.
type process struct {
	*exec.Cmd
	addr, operator string
}

// startProcess runs the program with a configuration, and returns once it listens.
func startProcess(t *testing.T, config string, sockets int, env ...string) *process {
	t.Helper()
	p, log := startLogged(t, config, sockets, env...)
	go func() { _, _ = io.Copy(io.Discard, log) }()
	return p
}

// startLogged is startProcess for a test that reads the rest of the log itself, or doesn't.
func startLogged(t *testing.T, config string, sockets int, env ...string) (*process, *os.File) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{Cmd: exec.Command("/bin/sh", "-c", "ulimit -n "+strconv.Itoa(sockets)+` && exec "$0"`, self)}
	p.Env = append(append(os.Environ(), childVar+"=1", "ROUTER_CONFIG="+path), env...)
	log, theirs, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	p.Stderr = theirs
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	theirs.Close()
	t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
	lines := bufio.NewScanner(log)
	listens := regexp.MustCompile(`msg=(listening|"listening to operators") .*address=(\S+)`)
	for p.addr == "" && lines.Scan() {
		switch m := listens.FindStringSubmatch(lines.Text()); {
		case m == nil:
		case m[1] == "listening":
			p.addr = m[2]
		default:
			p.operator = m[2]
		}
	}
	if p.addr == "" {
		t.Fatal("the program does not say where it listens")
	}
	return p, log
}

// status calls an address on a connection of its own, and returns the answer's status, or 0.
func status(url string, headers ...string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: long}).Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Signals that come as the process ends don't end it as a crash, nor does a second SIGTERM, or SIGHUP after the first.
func TestSignalsUntilTheVeryEnd(t *testing.T) {
	p := startProcess(t, `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, 256, lateVar+"=1")
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := p.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// Idle and half-written clients, many more than the process may have descriptors, come while discovery is down. They
// keep neither operators, nor the front, nor requests out, and the list is asked for and heard as discovery comes back.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			back, heard := atomic.Bool{}, make(chan struct{}, 1)
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !back.Load() {
					panic(http.ErrAbortHandler)
				}
				if r.URL.Query().Get("index") == "2" { // it has the list
					select {
					case heard <- struct{}{}:
					default:
					}
					<-r.Context().Done()
					return
				}
				fmt.Fprint(w, `{"revision":2,"complete":true,"members":[]}`)
			}))
			defer discovery.Close()
			defer discovery.CloseClientConnections()
			const sockets = 128
			p := startProcess(t, fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":%q,"seed":"1",
				"limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":{"revision":1,"complete":true,"members":[
					{"id":"s0","host_port":%q,"locality":"a","phase":"up","up_since_ms":0}]},
				"settings":{"position":0,"groupSize":1,"zone":"a","registryMode":%q,
					"services":[{"name":"x","aim":20000,"deadline":30000,"repeat":"free"}],
					"limits":{"connectTimeout":5000,"maxAttempts":3,"retryAfter":true},
					"guarantees":{"drainGrace":500,"mustAskIn":10000}}}`,
				discovery.Listener.Addr(), sockets, server.Listener.Addr(), mode), sockets)
			await(t, "readiness", func() bool { return status("http://"+p.addr+"/health/ready") == 200 })
			var idle []net.Conn
			defer func() {
				for _, c := range idle {
					c.Close()
				}
			}()
			for i := range 4 * sockets {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				if idle = append(idle, c); i%2 == 0 {
					_, _ = io.WriteString(c, "GET /api HTTP/1.1\r\nHo")
				}
				if i%50 != 49 {
					continue
				}
				if got := status("http://" + p.operator + "/status"); got != 200 {
					t.Errorf("operators get %d after %d idle clients", got, i+1)
				}
				if got := status("http://" + p.addr + "/health/ready"); got != 200 {
					t.Errorf("the front gets %d after %d idle clients", got, i+1)
				}
				got := status("http://"+p.addr+"/api", "X-Request-Id", fmt.Sprint("r", i), "X-Class", "x", "X-Deadline-Ms", "30000")
				if got != 200 {
					t.Errorf("a request gets %d after %d idle clients", got, i+1)
				}
			}
			back.Store(true)
			receive(t, "a call by the list that discovery has", heard)
			if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid)); err != nil || len(files) > sockets {
				t.Errorf("%d descriptors are open, %v", len(files), err)
			}
			var word struct{ Ready bool }
			resp, err := http.Get("http://" + p.operator + "/status")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if err := json.NewDecoder(resp.Body).Decode(&word); err != nil || !word.Ready {
				t.Errorf("operators are told %+v, %v", word, err)
			}
		})
	}
}

// A node that knows servers from before is ready at once, and serves, whatever discovery does.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for name, does := range map[string]http.HandlerFunc{
		"resets":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"is full":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"is silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"babbles":   func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"revision":`) },
	} {
		t.Run(name, func(t *testing.T) {
			discovery := httptest.NewServer(does)
			defer discovery.Close()
			defer discovery.CloseClientConnections()
			p := startProcess(t, fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
				"limits":{"cores":1,"memory_mb":64,"sockets":128},"known":{"revision":1,"complete":true,"members":[
					{"id":"s0","host_port":%q,"locality":"a","phase":"up","up_since_ms":0}]},
				"settings":{"position":3,"groupSize":350,"zone":"a","registryMode":"subscribe",
					"services":[{"name":"x","aim":20000,"deadline":30000,"repeat":"free"}],
					"limits":{"connectTimeout":5000},"guarantees":{"drainGrace":500,"mustAskIn":10000}}}`,
				discovery.Listener.Addr(), server.Listener.Addr()), 128)
			if got := status("http://" + p.addr + "/health/ready"); got != 200 {
				t.Errorf("the front gets %d as soon as the node listens", got)
			}
			got := status("http://"+p.addr+"/api", "X-Request-Id", "r1", "X-Class", "x", "X-Deadline-Ms", "30000")
			if got != 200 {
				t.Errorf("a request gets %d", got)
			}
		})
	}
}
