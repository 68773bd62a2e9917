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

// process is a running node with its descriptor limit set by ulimit.
type process struct {
	*exec.Cmd
	addr, operator string
}

// startProcess starts the program with a configuration, and returns once it listens. The rest of its log is discarded.
func startProcess(t *testing.T, config string, sockets int, env ...string) *process {
	t.Helper()
	p, log := startWithLog(t, config, sockets, env...)
	go func() { _, _ = io.Copy(io.Discard, log) }()
	return p
}

// startWithLog is startProcess, but returns the rest of the log to the test, which may leave it unread.
func startWithLog(t *testing.T, config string, sockets int, env ...string) (*process, *os.File) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{Cmd: exec.Command("/bin/sh", "-c", "ulimit -n "+strconv.Itoa(sockets)+` && exec "$0"`, executable)}
	p.Env = append(append(os.Environ(), childEnv+"=1", "ROUTER_CONFIG="+path), env...)
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logReader.Close() })
	p.Stderr = logWriter
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	logWriter.Close()
	t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
	lines := bufio.NewScanner(logReader)
	listenLine := regexp.MustCompile(`msg=(listening|"listening to operators") .*address=(\S+)`)
	for p.addr == "" && lines.Scan() {
		switch m := listenLine.FindStringSubmatch(lines.Text()); {
		case m == nil:
		case m[1] == "listening":
			p.addr = m[2]
		default:
			p.operator = m[2]
		}
	}
	if p.addr == "" {
		t.Fatal("the program's log has no listening address")
	}
	return p, logReader
}

// getStatus sends a GET request on a new connection and returns the response's status, or 0 on an error.
func getStatus(url string, headers ...string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stepTimeout}).Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// SIGHUP or a second SIGTERM during the shutdown, and signals that arrive as late as the process's exit, must not kill
// the process: that would count as a crash.
func TestSignalsDuringShutdown(t *testing.T) {
	p := startProcess(t, `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, 256, exitSignalsEnv+"=1")
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := p.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}

// While discovery is down, four times as many clients connect as the process may have descriptors; half of them send
// nothing, the others an incomplete request. The operator address, the client-facing address and requests must still be
// answered, and the list must be fetched once discovery is back.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			discoveryUp, updateRequested := atomic.Bool{}, make(chan struct{}, 1)
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !discoveryUp.Load() {
					panic(http.ErrAbortHandler)
				}
				if r.URL.Query().Get("index") == "2" { // the node has the list
					select {
					case updateRequested <- struct{}{}:
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
			waitUntil(t, "readiness", func() bool { return getStatus("http://"+p.addr+"/health/ready") == 200 })
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
				if got := getStatus("http://" + p.operator + "/status"); got != 200 {
					t.Errorf("operator address: status %d after %d idle clients", got, i+1)
				}
				if got := getStatus("http://" + p.addr + "/health/ready"); got != 200 {
					t.Errorf("client-facing address: status %d after %d idle clients", got, i+1)
				}
				got := getStatus("http://"+p.addr+"/api", "X-Request-Id", fmt.Sprint("r", i), "X-Class", "x", "X-Deadline-Ms", "30000")
				if got != 200 {
					t.Errorf("request: status %d after %d idle clients", got, i+1)
				}
			}
			discoveryUp.Store(true)
			receive(t, "a call for updates to the fetched list", updateRequested)
			if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid)); err != nil || len(files) > sockets {
				t.Errorf("%d descriptors are open, %v", len(files), err)
			}
			var reply struct{ Ready bool }
			resp, err := http.Get("http://" + p.operator + "/status")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || !reply.Ready {
				t.Errorf("operator status is %+v, %v", reply, err)
			}
		})
	}
}

// A node whose configuration lists known servers is ready as soon as it listens, and serves, however discovery fails.
func TestReadyWhileDiscoveryFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for name, handler := range map[string]http.HandlerFunc{
		"resets connections":   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"answers 503":          func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"never answers":        func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"sends truncated JSON": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"revision":`) },
	} {
		t.Run(name, func(t *testing.T) {
			discovery := httptest.NewServer(handler)
			defer discovery.Close()
			defer discovery.CloseClientConnections()
			p := startProcess(t, fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
				"limits":{"cores":1,"memory_mb":64,"sockets":128},"known":{"revision":1,"complete":true,"members":[
					{"id":"s0","host_port":%q,"locality":"a","phase":"up","up_since_ms":0}]},
				"settings":{"position":3,"groupSize":350,"zone":"a","registryMode":"subscribe",
					"services":[{"name":"x","aim":20000,"deadline":30000,"repeat":"free"}],
					"limits":{"connectTimeout":5000},"guarantees":{"drainGrace":500,"mustAskIn":10000}}}`,
				discovery.Listener.Addr(), server.Listener.Addr()), 128)
			if got := getStatus("http://" + p.addr + "/health/ready"); got != 200 {
				t.Errorf("client-facing address: status %d as soon as the node listens", got)
			}
			got := getStatus("http://"+p.addr+"/api", "X-Request-Id", "r1", "X-Class", "x", "X-Deadline-Ms", "30000")
			if got != 200 {
				t.Errorf("request: status %d", got)
			}
		})
	}
}
