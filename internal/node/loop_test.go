package node

import (
	"context"
	"fmt"
	"hash/maphash"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/policy"
)

// scriptedModule is a decision module that responds to each event with a test's function, and records the events.
type scriptedModule struct {
	mu       sync.Mutex
	received []policy.Event
	respond  func(policy.Time, policy.Event) []policy.Action
}

func (s *scriptedModule) Handle(now policy.Time, ev policy.Event) []policy.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, ev)
	return s.respond(now, ev)
}

// eventSummaries returns a short description of each recorded event.
func (s *scriptedModule) eventSummaries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, ev := range s.received {
		switch e := ev.(type) {
		case policy.MemberList:
			all = append(all, fmt.Sprintf("list %d", e.Kind))
		case policy.Request:
			all = append(all, "request "+e.ID)
		case policy.Outcome:
			all = append(all, fmt.Sprintf("outcome %s %d code %d ended %v", e.ID, e.Attempt, e.Code, e.Ended))
		case policy.ClientGone:
			all = append(all, "lapsed "+e.ID)
		case policy.Timer:
			all = append(all, fmt.Sprintf("timer %d", e.Token))
		}
	}
	return all
}

// expectEvents waits for the wanted events, and fails the test if the recorded ones differ.
func (s *scriptedModule) expectEvents(t *testing.T, want ...string) {
	t.Helper()
	await(t, strings.Join(want, ", "), func() bool { return len(s.eventSummaries()) >= len(want) })
	if got := s.eventSummaries(); !reflect.DeepEqual(got, want) {
		t.Errorf("the module received\n%q, want\n%q", got, want)
	}
}

// startLoop runs a loop with a scripted module and the server s0 at addr.
func startLoop(t *testing.T, addr string, respond func(policy.Time, policy.Event) []policy.Action) (*loop, *scriptedModule) {
	t.Helper()
	c := testConfig(t, memberListJSON(addr))
	up := newUpstream(c, 100)
	l, err := newLoop(c, clock{start: time.Now()}, up)
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedModule{respond: respond}
	l.module = s
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.run(ctx, c.Known); close(ended) }()
	t.Cleanup(func() {
		cancel()
		receive(t, "the loop's end", ended)
		up.close()
	})
	return l, s
}

// sendArrival sends the loop a request whose client waits for timeout from now on.
func (l *loop) sendArrival(id string, timeout time.Duration) *clientRequest {
	x := testClientRequest(http.MethodGet, id, "")
	x.arrivedAt, x.clientTimeout = l.clock.now(), timeout
	l.send(arrival{x})
	return x
}

// sendActions returns n actions that each send the request to s0.
func sendActions(id string, n int) (all []policy.Action) {
	for range n {
		all = append(all, policy.Action{Kind: policy.Send, ID: id, Server: "s0"})
	}
	return all
}

// sendOnce responds as a module that sends each request once and requests nothing else, not even cancellations.
func sendOnce(_ policy.Time, ev policy.Event) []policy.Action {
	if e, ok := ev.(policy.Request); ok {
		return sendActions(e.ID, 1)
	}
	return nil
}

// The module receives the restored list first. The only outcome of a served request reports that the request has ended.
func TestOrderOfEvents(t *testing.T) {
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "yes") })
	l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return sendActions(e.ID, 1)
		case policy.Outcome:
			return []policy.Action{{Kind: policy.SetTimer, Token: 77, Wait: time.Millisecond}}
		}
		return nil
	})
	x := l.sendArrival("r1", testTimeout)
	if a := receive(t, "the answer", x.reply); a.status != 200 || string(a.body) != "yes" {
		t.Errorf("answer %d %q", a.status, a.body)
	}
	s.expectEvents(t, "list 2", "request r1", "outcome r1 0 code 0 ended true", "timer 77")
}

// Attempts beyond the limit are not sent. They keep their numbers and are reported as not sent.
func TestAttemptsBeyondTheLimitAreSkipped(t *testing.T) {
	var served sync.WaitGroup
	served.Add(3)
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		served.Done()
		served.Wait() // all allowed attempts reach the server before any is answered
		w.WriteHeader(http.StatusInternalServerError)
	})
	notSent := make(chan policy.Outcome, 2)
	l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return sendActions(e.ID, 4)
		case policy.Outcome:
			if e.Code == policy.NotSent {
				notSent <- e
			}
		}
		return nil
	})
	l.sendArrival("r1", testTimeout)
	if o := receive(t, "the outcome of the attempt that was not sent", notSent); o.Attempt != 3 || o.Ended {
		t.Errorf("outcome %+v, want attempt 3 of a request that has not ended", o)
	}
	await(t, "the other outcomes", func() bool { return len(s.eventSummaries()) == 6 })
}

// After the final answer no attempt is sent, and attempts in flight still get their outcomes.
func TestNoAttemptsAfterFinalAnswer(t *testing.T) {
	arrived := make(chan string, 4)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("X-Request-Id")
		<-r.Context().Done()
	})
	l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return append(sendActions(e.ID, 1), policy.Action{Kind: policy.SetTimer, Token: 1, Wait: time.Nanosecond})
		case policy.Timer:
			<-arrived // the attempt has reached the server
			return []policy.Action{{Kind: policy.Fail, ID: "r1"}, {Kind: policy.Refuse, ID: "r1"},
				{Kind: policy.Send, ID: "r1", Server: "s0"}, {Kind: policy.Cancel, ID: "r1", Attempt: 0}}
		}
		return nil
	})
	x := l.sendArrival("r1", testTimeout)
	if a := receive(t, "the answer", x.reply); a.status != http.StatusBadGateway {
		t.Errorf("status %d, want the first answer", a.status)
	}
	s.expectEvents(t, "list 2", "request r1", "timer 1", fmt.Sprintf("outcome r1 1 code %d ended true", policy.NotSent),
		fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
	if len(arrived) != 0 || len(x.reply) != 0 {
		t.Errorf("%d more attempts, %d more answers", len(arrived), len(x.reply))
	}
}

// The deadline timer answers a request for which the module returned no action.
func TestDeadlineTimerAnswersForSilentModule(t *testing.T) {
	l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	x := l.sendArrival("r1", 200*time.Millisecond)
	if a := receive(t, "the answer", x.reply); a.status != http.StatusGatewayTimeout {
		t.Errorf("status %d", a.status)
	}
	if end := x.arrivedAt + x.clientTimeout; l.clock.now() > end+testTimeout/2 {
		t.Errorf("answered %v after the client's deadline", l.clock.now()-end)
	}
	s.expectEvents(t, "list 2", "request r1", "lapsed r1")
}

// An attempt ends before the client's deadline, whatever the module requested, and the server is sent that deadline.
func TestAttemptTimeoutIsCappedByDeadline(t *testing.T) {
	deadlines := make(chan string, 1)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		deadlines <- r.Header.Get("X-Deadline-Ms")
		<-r.Context().Done()
	})
	l, _ := startLoop(t, addr, func(now policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s0", Until: now + time.Hour}}
		case policy.Outcome:
			return []policy.Action{{Kind: policy.Fail, ID: e.ID}}
		}
		return nil
	})
	x := l.sendArrival("r1", 2*time.Second)
	if ms, err := strconv.Atoi(receive(t, "the attempt", deadlines)); err != nil || ms > 2000 {
		t.Errorf("the server's deadline is %d ms (%v), though the client waits for 2000 ms", ms, err)
	}
	if a := receive(t, "the answer", x.reply); a.status < 500 {
		t.Errorf("status %d", a.status)
	}
}

// The node itself answers requests with a known id, and those beyond the limit on open requests.
func TestNodeRejectsDuplicateAndExcessRequests(t *testing.T) {
	l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
	x := l.sendArrival("r1", testTimeout)
	if a := receive(t, "the answer", l.sendArrival("r1", testTimeout).reply); a.status != http.StatusConflict {
		t.Errorf("duplicate: status %d", a.status)
	}
	l.send(departure{request: x})
	if a := receive(t, "the answer", l.sendArrival("r1", testTimeout).reply); a.status != http.StatusConflict {
		t.Errorf("duplicate of an ended request: status %d", a.status)
	}
	for i := 2; i <= l.maxOpenRequests+1; i++ {
		l.sendArrival(fmt.Sprint("r", i), testTimeout)
	}
	if a := receive(t, "the answer", l.sendArrival("more", testTimeout).reply); a.status != http.StatusServiceUnavailable || a.retryAfter <= 0 {
		t.Errorf("beyond the limit: status %d, retry after %v", a.status, a.retryAfter)
	}
	if n := len(s.eventSummaries()); n != 3+l.maxOpenRequests {
		t.Errorf("the module received %d events, want the list, the first request and its end, and %d requests", n, l.maxOpenRequests)
	}
}

// When the process ends, open requests without an attempt are refused, and the others fail.
func TestFinishEndsOpenRequests(t *testing.T) {
	arrived := make(chan struct{})
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			if e.ID == "tried" {
				return sendActions(e.ID, 1)
			}
		case policy.ClientGone:
			return []policy.Action{{Kind: policy.Cancel, ID: e.ID}}
		}
		return nil
	})
	x := l.sendArrival("r1", testTimeout)
	s.expectEvents(t, "list 2", "request r1") // finish has priority over requests that wait for the loop
	y := l.sendArrival("tried", testTimeout)
	receive(t, "the attempt", arrived)
	l.send(finish{})
	if a := receive(t, "the answer", x.reply); a.status != http.StatusServiceUnavailable || a.retryAfter <= 0 {
		t.Errorf("without an attempt: status %d, retry after %v", a.status, a.retryAfter)
	}
	if a := receive(t, "the answer", y.reply); a.status != http.StatusBadGateway {
		t.Errorf("with an attempt: status %d", a.status)
	}
	await(t, "the ends of both requests and of the attempt", func() bool { return len(s.eventSummaries()) == 6 })
	for _, want := range []string{"lapsed r1", "lapsed tried", fmt.Sprintf("outcome tried 0 code %d ended true", policy.Cancelled)} {
		if !slices.Contains(s.eventSummaries(), want) {
			t.Errorf("the module did not receive %q: %q", want, s.eventSummaries())
		}
	}
}

// A request that has ended leaves no state behind, however distant its deadline is.
func TestEndedRequestsAreForgotten(t *testing.T) {
	l := &loop{clock: clock{start: time.Now()}, requests: make(map[string]*request), recentIDs: recentIDs{seed: maphash.MakeSeed()},
		metrics: newMetrics()}
	l.requestLog.metrics = l.metrics
	l.module = &scriptedModule{respond: func(_ policy.Time, ev policy.Event) []policy.Action {
		if e, ok := ev.(policy.Request); ok {
			return []policy.Action{{Kind: policy.Refuse, ID: e.ID}}
		}
		return nil
	}}
	for i := range 50 {
		l.handleEvent(t.Context(), arrival{testClientRequest(http.MethodGet, fmt.Sprint(i), "")})
	}
	if len(l.requests) != 0 || len(l.timers) != 0 || l.unanswered != 0 {
		t.Errorf("%d requests, %d timers and %d unanswered requests are left", len(l.requests), len(l.timers), l.unanswered)
	}
}

// Ids are kept long enough to detect duplicates, but not forever.
func TestRecentIDsExpire(t *testing.T) {
	s := recentIDs{seed: maphash.MakeSeed()}
	for i := range 20 {
		now := timeOrigin + policy.Time(i)*idRetention
		if !s.add(fmt.Sprint("r", i), now) || s.add(fmt.Sprint("r", i), now) {
			t.Fatal("a new id counts as known, or a known one as new")
		}
		if i > 0 && s.add(fmt.Sprint("r", i-1), now) {
			t.Errorf("r%d has expired within %v", i-1, idRetention)
		}
	}
	if len(s.newer)+len(s.older) > 4 {
		t.Errorf("%d and %d ids are kept", len(s.newer), len(s.older))
	}
	for i := range 4 * maxRetainedIDs {
		s.add(fmt.Sprint("flood", i), timeOrigin+20*idRetention)
	}
	if len(s.newer) > maxRetainedIDs || len(s.older) > maxRetainedIDs {
		t.Errorf("%d and %d ids are kept of a flood", len(s.newer), len(s.older))
	}
}
