package node

import (
	"net/http"
	"testing"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// An action of the decision module that violates an invariant is not performed: it is counted, and the module is notified
// that no attempt was made.
func TestForbiddenModuleActionsAreNotPerformed(t *testing.T) {
	received := make(chan string, 10)
	addr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("X-Request-Id")
		w.WriteHeader(http.StatusInternalServerError) // it may have run
	})
	l, _ := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			return sendActions(e.ID, 1)
		case policy.Outcome:
			if e.Code == policy.ServerError {
				return append(sendActions(e.ID, 1), policy.Action{Kind: policy.Refuse, ID: e.ID})
			}
		}
		return nil
	})
	x := testClientRequest(http.MethodPost, "r1", "")
	x.req.Class = "pay" // requests of this class must never be repeated
	x.arrivedAt = l.clock.now()
	l.send(arrival{x})
	if a := receive(t, "the answer", x.reply); a.status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502, which doesn't guarantee that nothing ran", a.status)
	}
	if l.monitor.Denied(invariant.UnsafeRepeat) != 1 || l.monitor.Denied(invariant.RefusedAfterEffect) != 1 {
		denied, _ := l.monitor.Counts()
		t.Errorf("denied %v", denied)
	}
	if receive(t, "the first attempt", received); len(received) > 0 {
		t.Error("the request was sent again")
	}
}
