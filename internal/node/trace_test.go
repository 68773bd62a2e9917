package node

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// captureLog sends the log to a buffer until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	var b bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&b, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return &b
}

// A failed request is logged in one line with its id, what ended it, and all its attempts.
func TestRequestLogRecordsRequestEnd(t *testing.T) {
	log := captureLog(t)
	requests := requestLog{metrics: newMetrics()}
	r := &request{clientRequest: testClientRequest(http.MethodGet, "r1", "")}
	r.attempts = []attempt{{server: "s-a", sentAt: r.arrivedAt + time.Millisecond, ended: true, code: policy.ConnectFailed}}
	requests.recordAttempt(r.arrivedAt+3*time.Millisecond, r, 0, attemptResult{code: policy.ConnectFailed, opened: true, err: errors.New("refused")})
	requests.recordEnd(r.arrivedAt+4*time.Millisecond, r, answer{status: http.StatusServiceUnavailable}, "no server has room")
	for _, want := range []string{"id=r1", `by="no server has room"`, "after=4ms", "s-a@1.0ms=connect failed:2.0ms", "err=refused"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %q:\n%s", want, log)
		}
	}
	log.Reset()
	r.attempts = append(r.attempts, attempt{server: "s-a", sentAt: r.arrivedAt})
	requests.recordAttempt(r.arrivedAt+6*time.Millisecond, r, 1, attemptResult{code: policy.OK, report: []float64{0.25, 7}})
	requests.recordEnd(r.arrivedAt+4*time.Millisecond, r, answer{status: http.StatusOK}, "")
	if log.Len() > 0 {
		t.Errorf("a successful request is logged: %s", log)
	}
	requests.writeSummary(2, 0, 0, 0, "state", new(invariant.Monitor))
	for _, want := range []string{"served=1", `refused="map[no server has room:1]"`, `attempts="map[connect failed:1 ok:1]"`, "opened=1",
		`servers="s-a=2/1/6ms[0.25 7]"`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the summary lacks %q:\n%s", want, log)
		}
	}
}

// The log is rate-limited under overload, and suppressed lines are counted.
func TestRequestLogIsRateLimited(t *testing.T) {
	log := captureLog(t)
	requests := requestLog{metrics: newMetrics()}
	r := &request{clientRequest: testClientRequest(http.MethodGet, "r1", "")}
	for i := range 3 * linesPerSecond {
		requests.recordEnd(time.Hour+time.Duration(i), r, answer{status: http.StatusBadGateway}, "x")
	}
	if n := strings.Count(log.String(), "\n"); n != linesPerSecond || requests.suppressedLines != 2*linesPerSecond {
		t.Errorf("%d lines written and %d suppressed, want %d and %d", n, requests.suppressedLines, linesPerSecond, 2*linesPerSecond)
	}
	requests.recordEnd(time.Hour+time.Second, r, answer{status: http.StatusBadGateway}, "x")
	if n := strings.Count(log.String(), "\n"); n != linesPerSecond+1 {
		t.Errorf("the line of the next second is missing: %d lines", n)
	}
}

// A large site's classes and tenants are logged as one summary line each; a small site's have a line each.
func TestSettingsAreLoggedInAFewLines(t *testing.T) {
	set := policy.Settings{}
	for i := range 1300 {
		set.Classes = append(set.Classes, policy.Class{Name: fmt.Sprint("c", i), Aim: time.Duration(100+i) * time.Millisecond,
			Deadline: time.Duration(2+i%3) * time.Second})
	}
	for i := range 130000 {
		set.Tenants = append(set.Tenants, policy.Tenant{Name: fmt.Sprint("t", i), Quota: float64(i % 5)})
	}
	log := captureLog(t)
	logSettings(set)
	if n := strings.Count(log.String(), "\n"); n != 2 {
		t.Errorf("%d lines, want 2", n)
	}
	for _, want := range []string{"msg=classes count=1300 shortest_aim=100ms shortest_aim_class=c0 longest_aim=1.399s longest_aim_class=c1299 " +
		"shortest_deadline=2s longest_deadline=4s", "msg=tenants count=130000 quota_rps_sum=260000 smallest_quota_rps=0 " +
		"smallest_quota_tenant=t0 largest_quota_rps=4 largest_quota_tenant=t4 without_quota=26000"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %q:\n%s", want, log)
		}
	}
	log.Reset()
	logSettings(policy.Settings{Classes: set.Classes[:3], Tenants: set.Tenants[:2]})
	for _, want := range []string{"msg=class name=c2 aim=102ms deadline=4s", "msg=tenant name=t1 quota_rps=1", "count=2"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %q:\n%s", want, log)
		}
	}
}

// With many servers, a summary lists those with failures and those with the most attempts, and counts the others.
func TestSummaryOfManyServersIsBounded(t *testing.T) {
	requests := requestLog{metrics: newMetrics()}
	requests.servers = make(map[string]*serverStats)
	for i := range 39000 {
		requests.servers[fmt.Sprintf("s%05d", i)] = &serverStats{ended: 1, ok: 1}
	}
	requests.servers["s20000"] = &serverStats{ended: 3, ok: 1}
	requests.servers["s30000"] = &serverStats{ended: 2, ok: 2}
	got := strings.Fields(requests.serverSummary())
	if len(got) != maxSummaryServers+1 || got[maxSummaryServers] != fmt.Sprint("left_out=", 39000-maxSummaryServers) {
		t.Errorf("%d entries, the last %q", len(got), got[len(got)-1])
	}
	for _, want := range []string{"s20000=3/1/0ms[]", "s30000=2/2/0ms[]", "s00000=1/1/0ms[]"} {
		if !slices.Contains(got, want) {
			t.Errorf("the summary lacks %s", want)
		}
	}
	if !slices.IsSorted(got[1:maxSummaryServers]) {
		t.Error("the servers are not sorted by id")
	}
}

// The metrics count how long requests without an attempt were held, by the reason for their end.
func TestHeldTimeIsCountedByReason(t *testing.T) {
	metrics := newMetrics()
	requests := requestLog{metrics: metrics}
	r := &request{clientRequest: testClientRequest(http.MethodGet, "r1", "")}
	requests.recordEnd(r.arrivedAt+time.Second, r, answer{status: http.StatusServiceUnavailable}, "no server has room")
	requests.recordEnd(r.arrivedAt, r, answer{status: http.StatusTooManyRequests}, "bucket")
	r.attempts = []attempt{{server: "s-a", sentAt: r.arrivedAt, ended: true, code: policy.Full}}
	requests.recordEnd(r.arrivedAt+time.Second, r, answer{status: http.StatusServiceUnavailable}, "no attempts left")
	w := httptest.NewRecorder()
	metrics.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`wayhold_request_held_seconds_sum{end="no server has room"} 1`,
		`wayhold_request_held_seconds_count{end="bucket"} 1`} {
		if !strings.Contains(w.Body.String(), want+"\n") {
			t.Errorf("the metrics lack %s", want)
		}
	}
	if strings.Contains(w.Body.String(), `wayhold_request_held_seconds_count{end="no attempts left"}`) {
		t.Error("a request with an attempt counts as held until its end")
	}
}
