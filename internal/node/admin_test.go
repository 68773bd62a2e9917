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

// startWithAdmin runs a whole node with an admin listener.
func startWithAdmin(t *testing.T, c Config) (addr, operator string) {
	t.Helper()
	var listeners [2]net.Listener
	for i := range listeners {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, c, Listeners{Clients: listeners[0], Operators: listeners[1]}, nil) }()
	t.Cleanup(func() {
		cancel()
		if err := receive(t, "the node's end", ended); err != nil {
			t.Error(err)
		}
	})
	operator = listeners[1].Addr().String()
	await(t, "readiness", func() bool { return call(t, operator, "GET", "/status") == 200 })
	return listeners[0].Addr().String(), operator
}

// call makes one call at the admin listener and returns its status.
func call(t *testing.T, operator, method, path string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+operator+path, nil)
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
	d := startAdmin(ln, "n0", life, newMetrics().handler())
	t.Cleanup(d.close)
	return ln.Addr().String()
}

func TestAdminAnswersCalls(t *testing.T) {
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
		{"LOAD", "", 0, active},
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
		{"LEAVE", "", 0, leaving},
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
			if got := call(t, addr, c.method, strings.ReplaceAll(c.path, " ", "%20")); got != c.want {
				t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
			}
		}
		if life.phase() != c.after {
			t.Fatalf("after %s %s: %v, want %v", c.method, c.path, life.phase(), c.after)
		}
	}
}

// What is no call gets an error or a close, one call is all that a connection gets, and a 405 says what
// is allowed.
func TestAdminTurnsNoiseAway(t *testing.T) {
	var life lifecycle
	addr := testAdminServer(t, &life)
	var noise sync.WaitGroup
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
		noise.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, raw) // the node may close before all is written
			_ = c.SetReadDeadline(time.Now().Add(long))
			got, err := io.ReadAll(c)
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Errorf("%.40q: the connection stays open", raw)
			}
			if !strings.HasPrefix(string(got), want) || strings.Count(string(got), "HTTP/1.1 ") > 1 ||
				strings.Contains(want, "405") && !strings.Contains(string(got), "\nAllow: POST\r") {
				t.Errorf("%.40q: answered %.120q, want %q", raw, got, want)
			}
		})
	}
	noise.Wait()
	if life.phase() != starting {
		t.Errorf("noise made it %v", life.phase())
	}
}

// Callers who finish no call keep nobody out, however many they are.
func TestAdminStaysOpenToOthers(t *testing.T) {
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
		if got := call(t, addr, "GET", "/status"); got != 200 {
			t.Fatalf("with %d such callers: %d", i+1, got)
		}
	}
}

// The admin listener exports the counters of requests, attempts and rules in the Prometheus text format.
func TestAdminExportsMetrics(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	node, operator := startWithAdmin(t, testConfig(t, knownList(addr)))
	if resp, _ := do(t, newRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
	resp, err := http.Get("http://" + operator + "/metrics")
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
			t.Errorf("%s is not among the metrics", want)
		}
	}
}
