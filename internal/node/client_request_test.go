package node

import (
	"net/http"
	"sync"
	"testing"
)

// A handler that promises that nothing ran, and an attempt, exclude each other in whatever order they come.
func TestAnAttemptAndThePromiseOfNoneExcludeEachOther(t *testing.T) {
	const rounds = 20_000
	for range rounds {
		x := testClientRequest(http.MethodGet, "r1", "")
		var tried, answered bool
		var both sync.WaitGroup
		both.Go(func() { tried = x.beginAttempt() })
		both.Go(func() { answered = x.claimByHandler() })
		both.Wait()
		switch refused := x.handlerAnswer().status == http.StatusServiceUnavailable; {
		case !answered:
			t.Fatal("nobody else ended the request, and its handler could not")
		case refused == tried:
			t.Fatalf("an attempt began: %v, and that none did is promised: %v", tried, refused)
		}
	}
}

// A request is ended once, and nothing is tried after that.
func TestARequestIsEndedOnce(t *testing.T) {
	for _, tried := range []bool{false, true} {
		for _, first := range []requestState{answeredByLoop, refusedByHandler, clientLeft} {
			x := testClientRequest(http.MethodGet, "r1", "")
			if tried && !x.beginAttempt() {
				t.Fatal("an open request can't be tried")
			}
			end := func(by requestState) bool {
				if by == refusedByHandler {
					return x.claimByHandler()
				}
				return x.claim(by)
			}
			if !x.currentState().isOpen() || !end(first) || x.currentState().isOpen() {
				t.Fatalf("state %d: it can't be ended", first)
			}
			state := x.currentState()
			for _, second := range []requestState{answeredByLoop, refusedByHandler, clientLeft} {
				if end(second) || x.beginAttempt() || x.currentState() != state {
					t.Errorf("state %d: ended again, or tried, by %d", state, second)
				}
			}
		}
	}
}
