package node

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

// clientRequest is a client's request. Its data doesn't change after it was passed to the loop.
type clientRequest struct {
	req            policy.Request
	method         string
	url            *url.URL
	host           string
	idempotencyKey string
	contentType    string
	body           []byte       // the complete body, or the beginning of a large one
	bodyRest       *upload      // the rest of a large body; nil: none
	length         int64        // of the complete body; -1 if unknown
	reserved       *reservation // memory for the body
	lastByteAt     time.Time    // when the last byte, or the beginning of a large body, had arrived; zero: not known yet
	arrivedAt      policy.Time  // the same on the policy clock
	clientTimeout  time.Duration
	reply          chan answer // has a buffer of one, so the loop never blocks on the client
	client         *clientConn // the connection that it came on; nil if accepted by another listener

	// ctx ends when the client has disconnected or has its answer. No attempt begins after that, whether or not the
	// settings allow the module to cancel attempts under way.
	ctx          context.Context
	cancel       context.CancelFunc
	state        atomic.Int32 // holds a requestState
	handlerTimer *time.Timer  // fires when the handler is to answer instead of the loop
}

// requestState is whether a request is open, and if not, what ended it. The goroutine that moves it out of the open states
// answers the client; no other does. The state is a single atomic value, so that the start of an attempt and a refusal
// that promises that no attempt was made exclude each other.
type requestState int32

const (
	requestOpen       requestState = iota // no attempt has begun
	requestAttempted                      // open; an attempt may have begun
	answeredByLoop                        // the loop has answered or is about to
	refusedByHandler                      // instead of the loop; no attempt has begun or will begin
	timedOutByHandler                     // instead of the loop; an attempt may have begun
	clientLeft                            // no answer is due
)

// isOpen reports whether the request hasn't ended.
func (s requestState) isOpen() bool { return s == requestOpen || s == requestAttempted }

// setUp prepares a request for the loop.
func (x *clientRequest) setUp() {
	x.reply = make(chan answer, 1)
	x.ctx, x.cancel = context.WithCancel(context.Background())
}

// transition changes the state to next(state), where state is open. It returns false if the request has ended.
func (x *clientRequest) transition(next func(requestState) requestState) bool {
	for {
		old := x.currentState()
		if !old.isOpen() {
			return false
		}
		if x.state.CompareAndSwap(int32(old), int32(next(old))) {
			return true
		}
	}
}

// claim ends a request. It returns false if the request has already ended.
func (x *clientRequest) claim(by requestState) bool {
	return x.transition(func(requestState) requestState { return by })
}

// beginAttempt records that an attempt is about to begin. It returns false if the request has ended.
func (x *clientRequest) beginAttempt() bool {
	return x.transition(func(requestState) requestState { return requestAttempted })
}

// claimByHandler is claim for a handler that answers instead of the loop.
func (x *clientRequest) claimByHandler() bool {
	return x.transition(func(old requestState) requestState {
		if old == requestAttempted {
			return timedOutByHandler
		}
		return refusedByHandler
	})
}

func (x *clientRequest) currentState() requestState { return requestState(x.state.Load()) }

// answerDirectly answers a request that the module doesn't know of, unless the request has ended.
func (x *clientRequest) answerDirectly(a answer) bool {
	if !x.claim(answeredByLoop) {
		return false
	}
	x.reply <- a
	return true
}

// handlerAnswer returns the answer to a request that its handler has ended. It promises that nothing was run only if no
// attempt has begun.
func (x *clientRequest) handlerAnswer() answer {
	if x.currentState() == timedOutByHandler {
		return answer{status: http.StatusGatewayTimeout}
	}
	return nodeRefusal()
}

// margin returns the time from the request's deadline until the client stops waiting.
func (x *clientRequest) margin() time.Duration {
	return min(answerMargin, x.clientTimeout/answerMarginDivisor)
}

// countsFrom returns the time from which the client's timeout counts: its last byte. For a large body it is the earliest
// time at which the client can have written that byte, as known now; it moves while the client is still sending.
func (x *clientRequest) countsFrom(c clock) policy.Time {
	if x.bodyRest == nil {
		return x.arrivedAt
	}
	return max(x.arrivedAt, c.fromTime(x.bodyRest.earliestEnd()))
}

// deadlineNow returns when the decision module is to have answered. Like countsFrom it may move.
func (x *clientRequest) deadlineNow(c clock) policy.Time {
	return x.countsFrom(c) + x.clientTimeout - x.margin()
}

// handlerDeadline returns when the handler answers instead of the loop: after the loop's own deadline timer, and before
// the client stops waiting. Like countsFrom it may move.
func (x *clientRequest) handlerDeadline(c clock) time.Time {
	return c.toTime(x.countsFrom(c) + x.clientTimeout - x.margin()/4)
}

// answer is a response to a client.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
	stream      *download    // the rest of a large body, which is streamed; nil: none
	reserved    *reservation // memory for the body
}

// nodeRefusal is the answer to a request that the node refuses without the module, and for which nothing was run.
func nodeRefusal() answer {
	return answer{status: http.StatusServiceUnavailable, retryAfter: nodeRetryAfter}
}

// discard releases the resources of an answer that isn't sent.
func (a answer) discard() {
	a.reserved.release()
	a.stream.end(errUnwanted)
}
