package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// startNodeWithAdmin runs a whole node with an admin listener, and returns the addresses of both listeners.
func startNodeWithAdmin(t *testing.T, c Config) (addr, adminAddr string) {
	t.Helper()
	var listeners [2]net.Listener
	for i := range listeners {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- Run(ctx, c, Listeners{Clients: listeners[0], Operators: listeners[1]}, nil) }()
	t.Cleanup(func() {
		cancel()
		if err := receive(t, "the node to stop", runResult); err != nil {
			t.Error(err)
		}
	})
	adminAddr = listeners[1].Addr().String()
	await(t, "readiness", func() bool { return callAdmin(t, adminAddr, "GET", "/status") == 200 })
	return listeners[0].Addr().String(), adminAddr
}

// callAdmin sends one request to the admin listener and returns the status code.
func callAdmin(t *testing.T, adminAddr, method, path string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+adminAddr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func testAdminServer(t *testing.T, life *lifecycle) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	admin := startAdmin(ln, "n0", life, newMetrics().handler())
	t.Cleanup(admin.close)
	return ln.Addr().String()
}

func TestAdminEndpoints(t *testing.T) {
	var life lifecycle
	defer life.stopDraining()
	addr := testAdminServer(t, &life)
	for _, c := range []struct {
		method, path string
		want         int
		after        phase
	}{
		{"GET", "/status", 503, starting},
		{"POST", "/active", 200, starting},
		{"LOAD", "", 0, active}, // no call: the servers become known
		{"GET", "/status", 200, active},
		{"HEAD", "/status", 200, active},
		{"POST", "/status", 405, active},
		{"GET", "/standby", 405, active},
		{"PUT", "/active", 405, active},
		{"GET", "/", 404, active},
		{"POST", "/stand by", 404, active},
		{"POST", "/standby/", 404, active},
		{"POST", "/standby", 200, standby},
		{"POST", "/standby", 200, standby},
		{"GET", "/status", 503, standby},
		{"POST", "/active", 200, active},
		{"POST", "/active", 200, active},
		{"LEAVE", "", 0, leaving}, // no call: the process begins to stop
		{"POST", "/standby", 200, leaving},
		{"POST", "/active", 409, leaving},
		{"GET", "/status", 503, leaving},
	} {
		switch c.method {
		case "LOAD":
			life.markServersKnown()
		case "LEAVE":
			life.beginLeaving(time.Second)
		default:
			if got := callAdmin(t, addr, c.method, strings.ReplaceAll(c.path, " ", "%20")); got != c.want {
				t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
			}
		}
		if life.phase() != c.after {
			t.Fatalf("after %s %s: %v, want %v", c.method, c.path, life.phase(), c.after)
		}
	}
}

// Malformed input to the admin listener gets an error response or a closed connection, a connection serves only one
// request, and a 405 response lists the allowed methods.
func TestAdminRejectsMalformedRequests(t *testing.T) {
	var life lifecycle
	addr := testAdminServer(t, &life)
	var calls sync.WaitGroup
	const status = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
	for raw, want := range map[string]string{
		"":                                  "",
		"\x16\x03\x01\x02\x00\x01\x00":      "HTTP/1.1 4",
		"nonsense\r\n\r\n":                  "HTTP/1.1 4",
		"POST /standby HT":                  "",
		"POST /standby HTTP/1.1\r\nHost: a": "",
		status + status:                     "HTTP/1.1 503",
		"GET /standby HTTP/1.0\r\n\r\n":     "HTTP/1.0 405",
		"POST /status HTTP/1.1\r\n\r\n":     "HTTP/1.1 400",
		"PUT /active HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n": "HTTP/1.1 405",
		"GET /" + strings.Repeat("x", 64<<10):                          "HTTP/1.1 4",
	} {
		calls.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, raw) // the node may close the connection before everything is written
			_ = c.SetReadDeadline(time.Now().Add(testTimeout))
			got, err := io.ReadAll(c)
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Errorf("%.40q: the connection was left open", raw)
			}
			if !strings.HasPrefix(string(got), want) || strings.Count(string(got), "HTTP/1.1 ") > 1 ||
				strings.Contains(want, "405") && !strings.Contains(string(got), "\nAllow: POST\r") {
				t.Errorf("%.40q: got response %.120q, want %q", raw, got, want)
			}
		})
	}
	calls.Wait()
	if life.phase() != starting {
		t.Errorf("malformed input changed the phase to %v", life.phase())
	}
}

// Callers that connect and never complete a request must not lock out others, however many there are.
func TestStalledCallersDoNotBlockAdmin(t *testing.T) {
	var life lifecycle
	life.markServersKnown()
	addr := testAdminServer(t, &life)
	for i := range 4 * maxAdminConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "POST /standby HTTP/1.1\r\nHo")
		}
		if got := callAdmin(t, addr, "GET", "/status"); got != 200 {
			t.Fatalf("with %d stalled callers: status %d", i+1, got)
		}
	}
}

// The admin listener exports the counters of requests, attempts and rules in the Prometheus text format.
func TestAdminExportsMetrics(t *testing.T) {
	addr := startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	node, adminAddr := startNodeWithAdmin(t, testConfig(t, memberListJSON(addr)))
	if resp, _ := doRequest(t, newRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
	resp, err := http.Get("http://" + adminAddr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`wayhold_requests_total{result="served"} 1`, `wayhold_attempts_total{outcome="ok"} 1`,
		`wayhold_rule_violations_total{rule="answer_late"} 0`, `wayhold_rule_denials_total{rule="attempt_after_departure"} 0`,
		"wayhold_ready 1", "wayhold_attempt_seconds_count 1"} {
		if !strings.Contains(string(text), want+"\n") {
			t.Errorf("%s is missing from the metrics", want)
		}
	}
}
