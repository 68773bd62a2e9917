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

// blocking begins the ids of the requests at which lateNode's module stands still.
const blocking = "blocking"

// lateNode is a node whose loop stands still in the decision module at each blocking request, until released.
type lateNode struct {
	*server
	module  *script
	release func()       // lets the loop go on from one blocking request
	dials   atomic.Int64 // connections asked for
}

// newLateNode starts one in a synctest bubble; answer is what the module says to all else.
func newLateNode(t *testing.T, answer func(policy.Time, policy.Event) []policy.Action) *lateNode {
	t.Helper()
	c := testConfig(t, knownList("127.0.0.1:9"))
	n := &lateNode{}
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
	n.module = &script{answer: func(now policy.Time, ev policy.Event) []policy.Action {
		if e, ok := ev.(policy.Request); ok && strings.HasPrefix(e.ID, blocking) {
			<-gate
			return nil
		}
		return answer(now, ev)
	}}
	l.module = n.module
	n.server = newServer(c, l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.run(ctx, c.Known); close(ended) }()
	t.Cleanup(func() { close(gate); cancel(); <-ended; up.close() })
	<-l.initialListApplied
	n.serve(blocking, long)
	synctest.Wait()
	return n
}

// serve hands the node one request, and returns where its answer comes.
func (n *lateNode) serve(id string, waits time.Duration) <-chan *httptest.ResponseRecorder {
	return n.serveUntil(context.Background(), id, waits)
}

// serveUntil is serve for a client that leaves once ctx ends; its answer is what the handler had written by then.
func (n *lateNode) serveUntil(ctx context.Context, id string, waits time.Duration) <-chan *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/api", nil)
	for name, v := range map[string]string{"X-Request-Id": id, "X-Class": "read", "X-Tenant": "t",
		"X-Deadline-Ms": strconv.FormatInt(waits.Milliseconds(), 10)} {
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

// A request that was read gets its final answer within its time though the loop stands still, and the loop makes
// nothing of it once it goes on.
func TestARequestIsAnsweredInTimeWhileTheLoopIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newLateNode(t, sendEach)
		const waits = 300 * time.Millisecond
		began := time.Now()
		answered := n.serve("late", waits)
		select {
		case w := <-answered:
			if w.Code != http.StatusServiceUnavailable && w.Code != http.StatusGatewayTimeout {
				t.Errorf("status %d", w.Code)
			}
			if took := time.Since(began); took > waits {
				t.Errorf("answered after %v", took)
			}
		case <-time.After(waits + invariant.AnswerGrace):
			t.Error("no answer within its time and the grace")
		}
		n.release()
		synctest.Wait()
		if got := n.dials.Load(); got != 0 {
			t.Errorf("%d attempts for a request that was answered", got)
		}
	})
}

// What discovery has told binds the attempts of all requests that the loop had not taken up by then.
func TestNothingGoesToADrainHeardWhileTheLoopIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newLateNode(t, sendEach)
		n.serve("behind", long)
		synctest.Wait()
		n.serve(blocking+"-again", long) // the attempt is under way while the loop stands still again
		synctest.Wait()
		drained := discovery.Member{Addr: "127.0.0.1:9", Member: policy.Member{Server: "s0", Zone: "a", Kind: "k", Cell: 1,
			Weight: 1, Availability: policy.Draining}}
		n.loop.send(discovery.Update{Kind: policy.ListUpdate, Revision: 8, Members: []discovery.Member{drained}})
		n.release()
		synctest.Wait()
		if got := n.dials.Load(); got != 0 {
			t.Errorf("%d attempts at a server whose drain had been heard", got)
		}
	})
}

// As the process ends, what is still open is answered at once, also where the loop stands still: the connections are cut
// soon after.
func TestTheEndAnswersWhatIsOpenWhileTheLoopIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newLateNode(t, func(policy.Time, policy.Event) []policy.Action { return nil })
		answered := n.serve("open", long)
		synctest.Wait()
		n.endOpenRequests()
		select {
		case w := <-answered:
			if w.Code != http.StatusServiceUnavailable {
				t.Errorf("status %d of a request for which nothing was tried", w.Code)
			}
		case <-time.After(finalAnswerTime):
			t.Error("no answer by the time at which connections are cut")
		}
		select {
		case <-n.serve("new", long):
		case <-time.After(finalAnswerTime):
			t.Error("no answer for a request that came after that")
		}
	})
}

// A client that has left is let go at once, also where the loop stands still: its connection is another's.
func TestWhoLeavesIsLetGoWhileTheLoopIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newLateNode(t, sendEach)
		ctx, leave := context.WithCancel(context.Background())
		ended := n.serveUntil(ctx, "leaver", long)
		synctest.Wait()
		leave()
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Error("its handler waits for the loop")
		}
		n.release()
		synctest.Wait()
		if got := n.dials.Load(); got != 0 {
			t.Errorf("%d attempts for a client that had left", got)
		}
	})
}
