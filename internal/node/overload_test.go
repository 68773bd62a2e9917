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

// What binds attempts is taken up before what asks for them, and each kind in its order.
func TestEventsAreTakenByPriority(t *testing.T) {
	q := newEventQueue()
	first, second := arrival{testClientRequest(http.MethodGet, "1", "")}, arrival{testClientRequest(http.MethodGet, "2", "")}
	outcome, news, left := attemptEnd{index: 7}, receivedUpdate{sequence: 1}, departure(first)
	for _, ev := range []any{first, outcome, second, news, left} {
		q.push(ev)
	}
	if n := q.length(); n != 5 {
		t.Errorf("%d events wait, want 5", n)
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
		t.Errorf("taken as %q, want %q", got, want)
	}
}

// A queue that is never empty keeps its order and does not grow.
func TestQueueThatIsNeverEmptyStaysSmall(t *testing.T) {
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
		t.Errorf("room for %d events, though 10 wait", c)
	}
}

// Requests are turned away once all have waited too long for a while, not after a burst or a stop of the process, and no
// longer than the queue stands.
func TestShedderTellsAStandingQueueFromABurst(t *testing.T) {
	s := newShedder()
	now := s.origin
	took := func(after, waited time.Duration) bool {
		now = now.Add(after)
		return s.observe(now, waited)
	}
	for range 20 { // a burst, worked off
		if took(time.Millisecond, 150*time.Millisecond) {
			t.Fatal("turned away in a burst")
		}
	}
	if took(time.Millisecond, shedTarget) || took(time.Second, 150*time.Millisecond) {
		t.Error("turned away after a request that did not wait")
	}
	if took(shedInterval-1, 150*time.Millisecond) {
		t.Error("turned away before the interval was over")
	}
	if s.shouldRefuse(now, now.Add(-time.Second)) {
		t.Error("refused at arrival before any was turned away")
	}
	if !took(1, 2*shedTarget) {
		t.Error("not turned away though all waited for the whole interval")
	}
	if !s.shouldRefuse(now, now.Add(-2*shedTarget)) {
		t.Error("taken in behind a request that has waited too long")
	}
	if s.shouldRefuse(now, time.Time{}) || s.shouldRefuse(now, now.Add(-shedTarget)) {
		t.Error("refused though nobody waits for long")
	}
	if s.shouldRefuse(now.Add(shedDuration), now) {
		t.Error("refused long after the last was turned away")
	}
	if took(1, 0) || took(1, 150*time.Millisecond) {
		t.Error("turned away though the queue does not stand any more")
	}
}

// A loop that takes longer for each request than these come apart turns the surplus away soon, says when to come back, and
// has the others served in their time.
func TestSlowLoopShedsInsteadOfGrowingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work, apart, count = 10 * time.Millisecond, 4 * time.Millisecond, 500
		n := newLateNode(t, func(_ policy.Time, ev policy.Event) []policy.Action {
			e, ok := ev.(policy.Request)
			if !ok {
				return nil
			}
			time.Sleep(work) // on the bubble's clock: what a decision costs this node
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
			answered := n.serve("r"+time.Duration(i).String(), time.Second)
			go func() {
				w := <-answered
				outcomes <- outcome{w.Header().Get("Retry-After"), time.Since(began)}
			}()
			time.Sleep(apart)
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
			t.Errorf("the slowest took %v, want %v at most", slowest, most)
		}
	})
}

// A drain that has been heard is not undone by older news that the loop takes up later, and a server that is back is used again.
func TestOlderNewsDoesNotUndoADrain(t *testing.T) {
	up := newUpstream(testConfig(t, knownList("127.0.0.1:9")), 100)
	running := members(t, "127.0.0.1:9")
	drained := members(t, "127.0.0.1:9")
	drained[0].Availability = policy.Draining
	news := func(place uint64, kind policy.ListKind, m []discovery.Member) receivedUpdate {
		return receivedUpdate{Update: discovery.Update{Kind: kind, Members: m}, sequence: place}
	}
	leaving := func() bool { return up.pools["s0"] == nil || up.isLeaving(up.pools["s0"]) }
	up.applyList(news(0, policy.ListRestored, running))
	if leaving() {
		t.Fatal("a running server is out of use")
	}
	up.stopLeavingServers(news(2, policy.ListUpdate, drained))
	if !leaving() {
		t.Error("a drain that was heard is not in force")
	}
	up.applyList(news(1, policy.ListReplace, running))
	if !leaving() {
		t.Error("older news undid the drain")
	}
	up.applyList(news(2, policy.ListUpdate, drained))
	up.stopLeavingServers(news(3, policy.ListUpdate, running))
	up.applyList(news(3, policy.ListUpdate, running))
	if leaving() {
		t.Error("a server that is back is out of use")
	}
	up.stopLeavingServers(news(5, policy.ListReplace, nil))
	if !leaving() {
		t.Error("a server that a whole list lacks is in use")
	}
	up.applyList(news(4, policy.ListUpdate, running))
	if !leaving() {
		t.Error("older news undid a whole list")
	}
	up.applyList(news(5, policy.ListReplace, nil))
	up.stopLeavingServers(news(6, policy.ListUpdate, running))
	up.applyList(news(6, policy.ListUpdate, running))
	if leaving() || len(up.stopSequences) != 0 {
		t.Errorf("out of use after all: %v, %v", leaving(), up.stopSequences)
	}
}
