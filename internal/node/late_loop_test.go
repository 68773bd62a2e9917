package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

// blockingIDPrefix starts the ids of the requests on which stalledNode's module blocks.
const blockingIDPrefix = "blocking"

// stalledNode is a node whose loop blocks in the decision module on each request with blockingIDPrefix, until released.
type stalledNode struct {
	*server
	module  *scriptedModule
	release func()       // unblocks the loop from one such request
	dials   atomic.Int64 // connections dialled
}

// newStalledNode starts a stalledNode in a synctest bubble, with its loop blocked. The module responds to all other events
// with respond.
func newStalledNode(t *testing.T, respond func(policy.Time, policy.Event) []policy.Action) *stalledNode {
	t.Helper()
	c := testConfig(t, memberListJSON("127.0.0.1:9"))
	n := &stalledNode{}
	up := newUpstream(c, 100)
	up.dial = func(context.Context, string, string) (net.Conn, error) {
		n.dials.Add(1)
		return nil, errors.New("refused")
	}
	l, err := newLoop(c, clock{start: time.Now()}, up)
	if err != nil {
		t.Fatal(err)
	}
	gate := make(chan struct{})
	n.release = func() { gate <- struct{}{} }
	n.module = &scriptedModule{respond: func(now policy.Time, ev policy.Event) []policy.Action {
		if e, ok := ev.(policy.Request); ok && strings.HasPrefix(e.ID, blockingIDPrefix) {
			<-gate
			return nil
		}
		return respond(now, ev)
	}}
	l.module = n.module
	n.server = newServer(c, l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.run(ctx, c.Known); close(ended) }()
	t.Cleanup(func() { close(gate); cancel(); <-ended; up.close() })
	<-l.initialListApplied
	n.sendRequest(blockingIDPrefix, testTimeout)
	synctest.Wait()
	return n
}

// sendRequest sends the node one request, and returns the channel that receives its answer.
func (n *stalledNode) sendRequest(id string, timeout time.Duration) <-chan *httptest.ResponseRecorder {
	return n.sendRequestContext(context.Background(), id, timeout)
}

// sendRequestContext is sendRequest for a client that disconnects when ctx ends; its answer is what the handler had written
// by then.
func (n *stalledNode) sendRequestContext(ctx context.Context, id string, timeout time.Duration) <-chan *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/api", nil)
	for name, v := range map[string]string{"X-Request-Id": id, "X-Class": "read", "X-Tenant": "t",
		"X-Deadline-Ms": strconv.FormatInt(timeout.Milliseconds(), 10)} {
		r.Header.Set(name, v)
	}
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		w := httptest.NewRecorder()
		defer func() {
			if err := recover(); err != nil && err != http.ErrAbortHandler {
				panic(err)
			}
			answered <- w
		}()
		n.ServeHTTP(w, r)
	}()
	return answered
}

// A request that was read gets its final answer before its deadline even if the loop is blocked, and the loop makes no
// attempt for it when it is unblocked.
func TestStalledLoopRequestIsAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newStalledNode(t, sendOnce)
		const timeout = 300 * time.Millisecond
		began := time.Now()
		answered := n.sendRequest("late", timeout)
		select {
		case w := <-answered:
			if w.Code != http.StatusServiceUnavailable && w.Code != http.StatusGatewayTimeout {
				t.Errorf("status %d", w.Code)
			}
			if took := time.Since(began); took > timeout {
				t.Errorf("answered after %v", took)
			}
		case <-time.After(timeout + invariant.AnswerGrace):
			t.Error("no answer within the deadline and the grace")
		}
		n.release()
		synctest.Wait()
		if got := n.dials.Load(); got != 0 {
			t.Errorf("%d attempts for a request that had been answered", got)
		}
	})
}

// An update from discovery applies to the attempts of all requests that the loop had not handled when it was received.
func TestStalledLoopSendsNothingToDrainingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newStalledNode(t, sendOnce)
		n.sendRequest("behind", testTimeout)
		synctest.Wait()
		n.sendRequest(blockingIDPrefix+"-again", testTimeout) // the attempt starts while the loop is blocked again
		synctest.Wait()
		drained := discovery.Member{Addr: "127.0.0.1:9", Member: policy.Member{Server: "s0", Zone: "a", Kind: "k", Cell: 1,
			Weight: 1, Availability: policy.Draining}}
		n.loop.send(discovery.Update{Kind: policy.ListUpdate, Revision: 8, Members: []discovery.Member{drained}})
		n.release()
		synctest.Wait()
		if got := n.dials.Load(); got != 0 {
			t.Errorf("%d attempts at a server whose drain had been received", got)
		}
	})
}

// When the process ends, open requests are answered at once even if the loop is blocked, since their connections are closed
// soon after.
func TestStalledLoopShutdownAnswersOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newStalledNode(t, func(policy.Time, policy.Event) []policy.Action { return nil })
		answered := n.sendRequest("open", testTimeout)
		synctest.Wait()
		n.endOpenRequests()
		select {
		case w := <-answered:
			if w.Code != http.StatusServiceUnavailable {
				t.Errorf("status %d of a request without an attempt", w.Code)
			}
		case <-time.After(finalAnswerTime):
			t.Error("no answer by the time at which connections are closed")
		}
		select {
		case <-n.sendRequest("new", testTimeout):
		case <-time.After(finalAnswerTime):
			t.Error("no answer for a request that arrived after that")
		}
	})
}

// The handler of a client that has disconnected returns at once even if the loop is blocked, so that another client can
// connect in its place.
func TestStalledLoopReleasesDisconnectedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newStalledNode(t, sendOnce)
		ctx, disconnect := context.WithCancel(context.Background())
		ended := n.sendRequestContext(ctx, "leaver", testTimeout)
		synctest.Wait()
		disconnect()
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Error("the handler waits for the loop")
		}
		n.release()
		synctest.Wait()
		if got := n.dials.Load(); got != 0 {
			t.Errorf("%d attempts for a client that had disconnected", got)
		}
	})
}
