package node

import (
	"bytes"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"
)

// captureLog sends the log to a buffer until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	var b bytes.Buffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&b, nil)))
	t.Cleanup(func() { slog.SetDefault(was) })
	return &b
}

// A request that ended badly leaves one line with its id, who ended it, and all its attempts.
func TestTraceTellsHowARequestEnded(t *testing.T) {
	log := captureLog(t)
	var tr trace
	r := &request{exchange: testExchange(http.MethodGet, "r1", "")}
	r.attempts = []attempt{{server: "s-a", sent: r.came + time.Millisecond}}
	tr.attempt(r.came+3*time.Millisecond, r, 0, result{code: policy.ConnectFailed, opened: true, err: errors.New("refused")})
	tr.answered(r.came+4*time.Millisecond, r, answer{status: http.StatusServiceUnavailable}, "no server has room")
	for _, want := range []string{"id=r1", `by="no server has room"`, "after=4ms", "s-a@1.0ms=connect failed:2.0ms", "err=refused"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %q:\n%s", want, log)
		}
	}
	log.Reset()
	r.attempts = append(r.attempts, attempt{server: "s-a", sent: r.came})
	tr.attempt(r.came+6*time.Millisecond, r, 1, result{code: policy.OK, report: []float64{0.25, 7}})
	tr.answered(r.came+4*time.Millisecond, r, answer{status: http.StatusOK}, "")
	if log.Len() > 0 {
		t.Errorf("a served request is logged: %s", log)
	}
	tr.summary(2, 0, 0, "state")
	for _, want := range []string{"served=1", `refused="map[no server has room:1]"`, `attempts="map[connect failed:1 ok:1]"`, "opened=1",
		`servers="s-a=2/1/6ms[0.25 7]"`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the summary lacks %q:\n%s", want, log)
		}
	}
}

// An overload doesn't drown the log; what is left out is counted.
func TestTraceIsBounded(t *testing.T) {
	log := captureLog(t)
	var tr trace
	r := &request{exchange: testExchange(http.MethodGet, "r1", "")}
	for i := range 3 * linesPerSecond {
		tr.answered(time.Hour+time.Duration(i), r, answer{status: http.StatusBadGateway}, "x")
	}
	if n := strings.Count(log.String(), "\n"); n != linesPerSecond || tr.skipped != 2*linesPerSecond {
		t.Errorf("%d lines written and %d left out, want %d and %d", n, tr.skipped, linesPerSecond, 2*linesPerSecond)
	}
	tr.answered(time.Hour+time.Second, r, answer{status: http.StatusBadGateway}, "x")
	if n := strings.Count(log.String(), "\n"); n != linesPerSecond+1 {
		t.Errorf("the next second's line is missing: %d lines", n)
	}
}
