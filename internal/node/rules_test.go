package node

import (
	"net/http"
	"testing"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// What the module asks for against the rules is not done: it is counted, and the module is told that it was not made.
func TestForbiddenStepsOfTheModuleAreNotMade(t *testing.T) {
	got := make(chan string, 10)
	addr := httpServer(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("X-Request-Id")
		w.WriteHeader(http.StatusInternalServerError) // it may have run
	})
	l, _ := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return sends(e.ID, 1)
		case policy.Outcome:
			if e.Code == policy.ServerError {
				return append(sends(e.ID, 1), policy.Action{Kind: policy.Refuse, ID: e.ID})
			}
		}
		return nil
	})
	x := testClientRequest(http.MethodPost, "r1", "")
	x.req.Class = "pay" // never to be repeated
	x.arrivedAt = l.clock.now()
	l.send(arrival{x})
	if a := receive(t, "the answer", x.reply); a.status != http.StatusBadGateway {
		t.Errorf("answered %d, want a failure that promises nothing", a.status)
	}
	if l.monitor.Denied(invariant.UnsafeRepeat) != 1 || l.monitor.Denied(invariant.RefusedAfterEffect) != 1 {
		denied, _ := l.monitor.Counts()
		t.Errorf("denied %v", denied)
	}
	if receive(t, "the first attempt", got); len(got) > 0 {
		t.Error("it was sent again")
	}
}
