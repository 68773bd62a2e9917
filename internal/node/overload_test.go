package node

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// Events that restrict attempts are popped before those that request them, and in FIFO order within a priority.
func TestEventsArePoppedByPriority(t *testing.T) {
	q := newEventQueue()
	first, second := arrival{testClientRequest(http.MethodGet, "1", "")}, arrival{testClientRequest(http.MethodGet, "2", "")}
	outcome, update, left := attemptEnd{index: 7}, receivedUpdate{sequence: 1}, departure(first)
	for _, ev := range []any{first, outcome, second, update, left} {
		q.push(ev)
	}
	if n := q.length(); n != 5 {
		t.Errorf("%d events queued, want 5", n)
	}
	var got []string
	for {
		ev, ok := q.pop()
		if !ok {
			break
		}
		got = append(got, kindOf(ev.event))
	}
	if want := []string{"list", "departure", "outcome", "arrival", "arrival"}; !slices.Equal(got, want) {
		t.Errorf("popped as %q, want %q", got, want)
	}
}

// A queue that is never empty keeps its order and does not grow without bound.
func TestNeverEmptyQueueStaysSmall(t *testing.T) {
	var f fifo
	for i := range 10 {
		f.push(queuedEvent{event: i})
	}
	for i := range 100_000 {
		f.push(queuedEvent{event: i + 10})
		if got := f.pop().event; got != i {
			t.Fatalf("got %v, want %d", got, i)
		}
	}
	if c := cap(f.events); c > 8*fifoSlack {
		t.Errorf("capacity for %d events, though 10 are queued", c)
	}
}

// Requests are refused once all of them have waited too long for shedInterval, but not in a burst or after the process was
// suspended, and only while there is a standing queue.
func TestShedderDistinguishesStandingQueueFromBurst(t *testing.T) {
	s := newShedder()
	now := s.origin
	observe := func(after, waited time.Duration) bool {
		now = now.Add(after)
		return s.observe(now, waited)
	}
	for range 20 { // a burst that is being processed
		if observe(time.Millisecond, 150*time.Millisecond) {
			t.Fatal("refused in a burst")
		}
	}
	if observe(time.Millisecond, shedTarget) || observe(time.Second, 150*time.Millisecond) {
		t.Error("refused after a request that did not wait")
	}
	if observe(shedInterval-1, 150*time.Millisecond) {
		t.Error("refused before the interval was over")
	}
	if s.shouldRefuse(now, now.Add(-time.Second)) {
		t.Error("refused on arrival before any other request was refused")
	}
	if !observe(1, 2*shedTarget) {
		t.Error("not refused though all waited for the whole interval")
	}
	if !s.shouldRefuse(now, now.Add(-2*shedTarget)) {
		t.Error("accepted behind a request that has waited too long")
	}
	if s.shouldRefuse(now, time.Time{}) || s.shouldRefuse(now, now.Add(-shedTarget)) {
		t.Error("refused on arrival though no request waits for long")
	}
	if s.shouldRefuse(now.Add(shedDuration), now) {
		t.Error("refused on arrival long after the last refusal")
	}
	if observe(1, 0) || observe(1, 150*time.Millisecond) {
		t.Error("refused though there is no standing queue any more")
	}
}

// A loop that takes longer for each request than the time between arrivals refuses the excess soon, with a Retry-After, and
// decides the other requests in time.
func TestSlowLoopShedsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const decisionTime, arrivalInterval, count = 10 * time.Millisecond, 4 * time.Millisecond, 500
		n := newStalledNode(t, func(_ policy.Time, ev policy.Event) []policy.Action {
			e, ok := ev.(policy.Request)
			if !ok {
				return nil
			}
			time.Sleep(decisionTime) // on the bubble's clock
			return []policy.Action{{Kind: policy.Refuse, ID: e.ID, Wait: time.Minute}}
		})
		n.release()
		synctest.Wait()
		shed, decided := 0, 0
		var slowest time.Duration
		type outcome struct {
			retry string
			took  time.Duration
		}
		outcomes := make(chan outcome, count)
		for i := range count {
			began := time.Now()
			answered := n.sendRequest("r"+time.Duration(i).String(), time.Second)
			go func() {
				w := <-answered
				outcomes <- outcome{w.Header().Get("Retry-After"), time.Since(began)}
			}()
			time.Sleep(arrivalInterval)
		}
		for range count {
			o := <-outcomes
			slowest = max(slowest, o.took)
			if o.retry == formatRetryAfter(time.Minute) {
				decided++
			} else if o.retry == formatRetryAfter(nodeRetryAfter) {
				shed++
			}
		}
		if shed+decided != count || decided < count/4 || shed < count/4 {
			t.Errorf("%d shed and %d decided of %d", shed, decided, count)
		}
		if most := shedInterval + 10*shedTarget; slowest > most {
			t.Errorf("the slowest answer took %v, want %v at most", slowest, most)
		}
	})
}

// A drain that has been received is not undone by an older update that the loop handles later, and a server that returns is
// used again.
func TestOlderUpdateDoesNotUndoDrain(t *testing.T) {
	up := newUpstream(testConfig(t, memberListJSON("127.0.0.1:9")), 100)
	running := testMembers(t, "127.0.0.1:9")
	drained := testMembers(t, "127.0.0.1:9")
	drained[0].Availability = policy.Draining
	update := func(sequence uint64, kind policy.ListKind, m []discovery.Member) receivedUpdate {
		return receivedUpdate{Update: discovery.Update{Kind: kind, Members: m}, sequence: sequence}
	}
	leaving := func() bool { return up.pools["s0"] == nil || up.isLeaving(up.pools["s0"]) }
	up.applyList(update(0, policy.ListRestored, running))
	if leaving() {
		t.Fatal("a running server is not used")
	}
	up.stopLeavingServers(update(2, policy.ListUpdate, drained))
	if !leaving() {
		t.Error("a drain that was received is not applied")
	}
	up.applyList(update(1, policy.ListReplace, running))
	if !leaving() {
		t.Error("an older update undid the drain")
	}
	up.applyList(update(2, policy.ListUpdate, drained))
	up.stopLeavingServers(update(3, policy.ListUpdate, running))
	up.applyList(update(3, policy.ListUpdate, running))
	if leaving() {
		t.Error("a server that has returned is not used")
	}
	up.stopLeavingServers(update(5, policy.ListReplace, nil))
	if !leaving() {
		t.Error("a server that a full list lacks is used")
	}
	up.applyList(update(4, policy.ListUpdate, running))
	if !leaving() {
		t.Error("an older update undid a full list")
	}
	up.applyList(update(5, policy.ListReplace, nil))
	up.stopLeavingServers(update(6, policy.ListUpdate, running))
	up.applyList(update(6, policy.ListUpdate, running))
	if leaving() || len(up.stopSequences) != 0 {
		t.Errorf("server is not used: %v, stop sequences %v", leaving(), up.stopSequences)
	}
}
