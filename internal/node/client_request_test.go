package node

import (
	"net/http"
	"sync"
	"testing"
)

// The start of an attempt and a handler's refusal, which guarantees that no attempt was made, exclude each other in
// whatever order they happen.
func TestAttemptAndHandlerRefusalAreExclusive(t *testing.T) {
	const rounds = 20_000
	for range rounds {
		x := testClientRequest(http.MethodGet, "r1", "")
		var attempted, answered bool
		var wg sync.WaitGroup
		wg.Go(func() { attempted = x.beginAttempt() })
		wg.Go(func() { answered = x.claimByHandler() })
		wg.Wait()
		switch refused := x.handlerAnswer().status == http.StatusServiceUnavailable; {
		case !answered:
			t.Fatal("the handler could not end a request that was open")
		case refused == attempted:
			t.Fatalf("an attempt began: %v, the answer guarantees that none did: %v", attempted, refused)
		}
	}
}

// A request ends exactly once, and no attempt begins after that.
func TestRequestEndsOnce(t *testing.T) {
	for _, attempted := range []bool{false, true} {
		for _, first := range []requestState{answeredByLoop, refusedByHandler, clientLeft} {
			x := testClientRequest(http.MethodGet, "r1", "")
			if attempted && !x.beginAttempt() {
				t.Fatal("an attempt for an open request can't begin")
			}
			end := func(by requestState) bool {
				if by == refusedByHandler {
					return x.claimByHandler()
				}
				return x.claim(by)
			}
			if !x.currentState().isOpen() || !end(first) || x.currentState().isOpen() {
				t.Fatalf("state %d: an open request can't be ended", first)
			}
			state := x.currentState()
			for _, second := range []requestState{answeredByLoop, refusedByHandler, clientLeft} {
				if end(second) || x.beginAttempt() || x.currentState() != state {
					t.Errorf("state %d: ended again by %d, or another attempt began", state, second)
				}
			}
		}
	}
}
