package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// floodRequests are the requests that a client sends at full speed on one connection, by their number.
var floodRequests = map[string]func(i int64) string{
	"requests": func(i int64) string {
		return fmt.Sprintf("GET /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: f%d\r\nX-Class: read\r\nX-Deadline-Ms: 1000\r\n\r\n", i)
	},
	"requests of ever new tenants": func(i int64) string {
		return fmt.Sprintf("GET /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: f%d\r\nX-Class: read\r\nX-Tenant: t%d\r\nX-Deadline-Ms: 1000\r\n\r\n", i, i)
	},
	"chunked requests": func(i int64) string {
		return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: f%d\r\nX-Class: write\r\nX-Deadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", i)
	},
	"requests with little time": func(i int64) string {
		return fmt.Sprintf("GET /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: f%d\r\nX-Class: read\r\nX-Deadline-Ms: 1\r\n\r\n", i)
	},
	"readiness checks": func(int64) string { return "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n" },
}

const (
	floodProbes = 100
	// maxFloodShare is how many requests of the flood may be answered during one of another client: fewer than one processor
	// answers in a time slice of the scheduler, 10 ms.
	maxFloodShare = 500
)

// Guards against one client that sends requests at full speed on one connection and keeps all others waiting: its goroutines
// woke each other, and on one processor kept it for a whole time slice before each step of another client's request.
// Counted in requests, so that the speed of the machine doesn't matter. The memory must not grow by it either.
func TestFloodOnOneConnectionDelaysNoOther(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer server.Close()
	for name, request := range floodRequests {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
				"limits":{"cores":0.5,"memory_mb":%d,"sockets":256},"known":{"revision":1,"complete":true,"members":[
					{"id":"s0","host_port":%q,"locality":"a","phase":"up","up_since_ms":0}]},
				"settings":{"position":0,"groupSize":1,"zone":"a",
					"services":[{"name":"read","aim":20000,"deadline":30000,"repeat":"free"},
						{"name":"write","aim":20000,"deadline":30000,"repeat":"single_shot"}],
					"limits":{"connectTimeout":5000,"maxAttempts":3,"retryAfter":true}}}`,
				minMemoryMB, server.Listener.Addr()), 256)
			waitUntil(t, "readiness", func() bool { return getStatus("http://"+p.addr+"/health/ready") == 200 })
			conn, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			var flood sync.WaitGroup
			defer flood.Wait()
			defer conn.Close()
			var answered atomic.Int64
			flood.Go(func() {
				for i := int64(0); ; i += 50 {
					var text strings.Builder
					for k := range int64(50) {
						text.WriteString(request(i + k))
					}
					if _, err := io.WriteString(conn, text.String()); err != nil {
						return
					}
				}
			})
			flood.Go(func() {
				for in := bufio.NewReader(conn); ; answered.Add(1) {
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
			})
			waitUntil(t, "the flood", func() bool { return answered.Load() > 1000 })
			var shares []int64
			for i := range floodProbes {
				before := answered.Load()
				status := getStatus("http://"+p.addr+"/a", "X-Request-Id", fmt.Sprint("probe", i), "X-Class", "read", "X-Deadline-Ms", "20000")
				if status == 0 {
					t.Error("no answer")
				}
				shares = append(shares, answered.Load()-before)
			}
			slices.Sort(shares)
			peak := residentKB(t, p.Process.Pid, "VmHWM")
			t.Logf("during a request of another client %d of the flood are answered in the median, %d at most; peak memory %d kB",
				shares[floodProbes/2], shares[floodProbes-1], peak)
			if shares[floodProbes/2] > maxFloodShare {
				t.Errorf("during a request of another client, %d of the flood are answered in the median, want %d at most", shares[floodProbes/2], maxFloodShare)
			}
			if peak > minMemoryMB<<10 && !raceEnabled {
				t.Errorf("peak memory %d kB, want at most %d MB", peak, minMemoryMB)
			}
		})
	}
}
