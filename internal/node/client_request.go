package node

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

// clientRequest is one client request, which is not changed once the loop has it.
type clientRequest struct {
	req         policy.Request
	method      string
	url         *url.URL
	host        string
	key         string // Idempotency-Key
	contentType string
	body        []byte       // the whole body; of a large one its beginning
	rest        *upload      // what comes behind that; nil: nothing
	length      int64        // of the whole body; -1 where it isn't told
	reserved    *reservation // of the room for it
	came        policy.Time  // when its last byte had been read, or the beginning of a large body
	clientWaits time.Duration
	reply       chan answer // holds one, so the loop never waits for the client
	client      *clientConn // that it came on; nil where others accepted it

	// left ends when the client has left, or has its answer: no attempt begins after that, whether or not the site lets
	// the module call off those that have begun.
	left  context.Context
	leave context.CancelFunc
	state atomic.Int32 // a requestState
	late  *time.Timer  // fires when its handler answers in the loop's place; nil: never
}

// requestState tells whether a request is open, and who has ended it. Whoever moves it out of the open states answers the
// client, and nobody else does. In one word, so that an attempt and the promise that there was none exclude each other.
type requestState int32

const (
	requestOpen       requestState = iota // no attempt has begun
	requestTried                          // open, and an attempt may have begun
	answeredByLoop                        // or about to be
	refusedByHandler                      // in the loop's place; no attempt has begun, nor will one
	timedOutByHandler                     // the same, but an attempt may have begun
	clientLeft                            // no answer is owed any more
)

// open tells whether nobody has ended the request.
func (s requestState) open() bool { return s == requestOpen || s == requestTried }

// begin makes a request ready for the loop.
func (x *clientRequest) begin() {
	x.reply = make(chan answer, 1)
	x.left, x.leave = context.WithCancel(context.Background())
}

// move changes the state by next, which is given an open state and returns the new one. It reports false where somebody has
// ended the request.
func (x *clientRequest) move(next func(requestState) requestState) bool {
	for {
		old := x.currentState()
		if !old.open() {
			return false
		}
		if x.state.CompareAndSwap(int32(old), int32(next(old))) {
			return true
		}
	}
}

// claim ends a request, or reports false where somebody has.
func (x *clientRequest) claim(by requestState) bool {
	return x.move(func(requestState) requestState { return by })
}

// try notes that an attempt is about to begin, or reports false where the request has ended.
func (x *clientRequest) try() bool {
	return x.move(func(requestState) requestState { return requestTried })
}

// claimByHandler is claim for a handler that answers in the loop's place.
func (x *clientRequest) claimByHandler() bool {
	return x.move(func(old requestState) requestState {
		if old == requestTried {
			return timedOutByHandler
		}
		return refusedByHandler
	})
}

func (x *clientRequest) currentState() requestState { return requestState(x.state.Load()) }

// answerUnseen answers a request that the module has not been told of, unless it is ended.
func (x *clientRequest) answerUnseen(a answer) bool {
	if !x.claim(answeredByLoop) {
		return false
	}
	x.reply <- a
	return true
}

// handlersAnswer is what a client gets whose request its handler has ended. That nothing ran is promised where no attempt
// has begun.
func (x *clientRequest) handlersAnswer() answer {
	if x.currentState() == timedOutByHandler {
		return answer{status: http.StatusGatewayTimeout}
	}
	return ownRefusal()
}

// margin is how long before its client stops waiting a request's time is up.
func (x *clientRequest) margin() time.Duration {
	return min(answerMargin, x.clientWaits/answerMarginPart)
}

// answerBy is when its handler answers in the loop's place: behind the loop's own backstop, and in the client's time.
func (x *clientRequest) answerBy(c clock) time.Time {
	return c.at(x.came + x.clientWaits - x.margin()/4)
}

// postpone moves that by the time that a large body took to go on.
func (x *clientRequest) postpone(c clock, took time.Duration) {
	if x.late != nil {
		x.late.Reset(time.Until(x.answerBy(c)) + took)
	}
}

// answer is what a client gets.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
	more        *download    // the rest of a large body, which goes on as it comes; nil: there is none
	reserved    *reservation // of the room for the body
}

// ownRefusal is what a client gets whose request the node turns away by itself, and of which nothing ran.
func ownRefusal() answer {
	return answer{status: http.StatusServiceUnavailable, retryAfter: ownRetryAfter}
}

// drop is for an answer that nobody gets.
func (a answer) drop() {
	a.reserved.release()
	a.more.end(errUnwanted)
}
