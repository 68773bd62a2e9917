package node

import (
	"container/heap"
	"context"
	"fmt"
	"hash/maphash"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

const (
	// timeOrigin is the reading of the policy clock at the start of the process. It is well above 0, so that servers that
	// started before the node still have a positive start time: 0 means long ago, so a cold server would count as warm.
	timeOrigin = 24 * time.Hour
	// answerMargin is how much earlier than the client's deadline the decision module's deadline is, so that the response
	// still arrives in time. The deadline timer fires half of answerMargin after the decision module's deadline. If the
	// client waits only briefly, 1/answerMarginDivisor of its wait is used instead.
	answerMargin        = 20 * time.Millisecond
	answerMarginDivisor = 5
	sweepInterval       = time.Second // between checks for expired connections and wall-clock steps
	nodeRetryAfter      = time.Second // Retry-After of requests that the node refuses without the decision module
	idRetention         = 10 * time.Second
	maxRetainedIDs      = 1 << 15
	// slowEventThreshold is how long an event may wait for the loop, or take to handle, before the loop logs a warning.
	slowEventThreshold = 100 * time.Millisecond
)

// decisionModule is implemented by policy.Balancer; tests replace it.
type decisionModule interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
}

// loop is the event loop. One goroutine owns the decision module, the open requests and the timers; all other goroutines
// send it events. It blocks on nothing but the next event.
type loop struct {
	clock           clock
	module          decisionModule
	allowed         policy.Allowed
	classes         map[string]policy.Class
	maxOpenRequests int
	upstream        *upstream
	monitor         *invariant.Monitor
	metrics         *metrics
	clients         *clientListener // nil on a hollow node
	discovery       *discovery.Client
	onListApplied   func(revision int64, at time.Time) // called for each list that takes effect; may be nil

	events             *eventQueue
	shedder            *shedder
	done               chan struct{} // closed when the loop has ended
	initialListApplied chan struct{} // closed when the list known at the start has been applied
	serverKnown        chan struct{} // closed when a running server is known
	requests           map[string]*request
	members            map[string]discovery.Member // the current list, by server id
	listRevision       int64                       // revision of members
	starts             *serverStarts
	listReceived       atomic.Bool            // discovery has delivered a list since the process started
	updateSequence     atomic.Uint64          // sequence number of the latest update from discovery, in order of receipt
	lastSent           map[string]sentRequest // the last request sent to each server, for the log
	recentIDs          recentIDs
	sharedIDs          atomic.Pointer[sharedIDs] // the ids that the processes of the node share; nil: there is one process
	unanswered         int                       // open requests that have no response yet
	stopping           bool
	timers             timerHeap
	requestLog         requestLog
	skippedOutcomes    []policy.Outcome // of skipped attempts; reported to the module once all its actions are executed
	runningAttempts    sync.WaitGroup
}

// request is a client request as the loop tracks it, until it has its response and all its attempts have ended.
type request struct {
	*clientRequest
	deadline        policy.Time
	deadlineTimer   *timer
	ended           bool
	attempts        []attempt
	pendingAttempts int
}

// sentRequest identifies the last request that was sent to a server.
type sentRequest struct {
	id string
	at policy.Time
}

// The events of the loop, in addition to receivedUpdate.
type (
	arrival   struct{ request *clientRequest }
	departure struct { // the handler has ended the request: the client left, or the handler responded instead of the loop
		request *clientRequest
	}
	attemptEnd struct { // an attempt has ended
		request *request
		index   int
		attemptResult
	}
	processCount    int      // number of processes of this node
	finish          struct{} // the node stops: end all open requests
	snapshotRequest struct { // asks for the state that a successor process takes over
		reply chan snapshot
	}
	predecessorList struct{ discovery.List } // the list as the previous process has it now
)

func newLoop(c Config, ck clock, up *upstream) (*loop, error) {
	balancer, err := policy.New(c.Settings, ck.now(), c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{clock: ck, module: balancer, allowed: c.Settings.Allowed, maxOpenRequests: c.MaxOpen, upstream: up, monitor: up.monitor, metrics: newMetrics(),
		events: newEventQueue(), shedder: newShedder(), done: make(chan struct{}), initialListApplied: make(chan struct{}), serverKnown: make(chan struct{}),
		classes: make(map[string]policy.Class), requests: make(map[string]*request), lastSent: make(map[string]sentRequest), starts: newServerStarts(ck), recentIDs: recentIDs{seed: maphash.MakeSeed()}}
	for _, class := range c.Settings.Classes {
		l.classes[class.Name] = class
	}
	l.requestLog.metrics = l.metrics
	l.discovery = discovery.New(c.discoveryConfig(), func(update discovery.Update) { l.send(update) })
	return l, nil
}

// send queues an event for the loop and never blocks. A list update stops new attempts at leaving servers at once, before
// the loop handles it: the loop may be late, and attempts may be about to send their first byte.
func (l *loop) send(ev any) {
	if update, ok := ev.(discovery.Update); ok {
		received := receivedUpdate{Update: update, sequence: l.updateSequence.Add(1), receivedAt: time.Now()}
		if update.Kind == policy.ListReplace || update.Kind == policy.ListUpdate {
			l.listReceived.Store(true)
			l.upstream.stopLeavingServers(received)
		}
		ev = received
	}
	l.events.push(ev)
}

// run handles events until ctx ends; then it cancels the attempts in progress and waits for them. The list known at the
// start is handled before any other event, as the decision module expects.
func (l *loop) run(ctx context.Context, known discovery.List) {
	attemptsCtx, cancel := context.WithCancel(context.Background())
	defer l.runningAttempts.Wait()
	defer cancel()
	defer close(l.done)
	l.handleEvent(attemptsCtx, receivedUpdate{Update: discovery.Update{Kind: policy.ListRestored, Members: known.Members, Revision: known.Revision}})
	close(l.initialListApplied)
	closed := make(chan struct{})
	close(closed)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for {
		var pending <-chan struct{} // closed, so that the loop doesn't block, while events may be queued
		if ev, ok := l.events.pop(); ok {
			l.dispatch(attemptsCtx, ev)
			pending = closed
		} else if len(l.timers) > 0 {
			wake.Reset(l.timers[0].due - l.clock.now())
		} else {
			wake.Stop()
		}
		select {
		case <-pending:
		case <-l.events.wake:
		case <-wake.C:
		case now := <-sweep.C:
			l.sweep(now)
		case <-summary.C:
			l.logSummary()
		case <-ctx.Done():
			return
		}
		l.fireTimers(attemptsCtx)
	}
}

// sweep does the periodic work: it looks for wall-clock steps and closes expired connections.
func (l *loop) sweep(now time.Time) {
	l.starts.checkWallClock()
	l.upstream.sweep(now)
	if l.clients != nil {
		l.clients.closeExpired(now)
	}
}

// logSummary writes the periodic summary to the log.
func (l *loop) logSummary() {
	open, evicted := 0, 0
	if l.clients != nil {
		open, evicted = l.clients.takeCounts()
	}
	l.requestLog.shedAtArrival = l.shedder.refusedAtArrival.Swap(0)
	l.requestLog.writeSummary(l.unanswered, open, evicted, l.events.length(), fmt.Sprint(l.module), l.monitor)
}

// dispatch handles a queued event, or sheds it if it is an arrival that waited too long in the queue.
func (l *loop) dispatch(ctx context.Context, ev queuedEvent) {
	began := time.Now()
	waited := began.Sub(ev.queuedAt)
	kind := kindOf(ev.event)
	a, isArrival := ev.event.(arrival)
	if isArrival {
		a.request.client.countQueued(-1)
	}
	if isArrival && l.shedder.observe(began, waited) {
		kind = "shed arrival"
		l.shed(a.request)
	} else {
		l.handleEvent(ctx, ev.event)
	}
	l.recordEvent(kind, waited, time.Since(began))
}

// recordEvent updates the metrics for an event and logs one that waited or took too long.
func (l *loop) recordEvent(kind string, waited, took time.Duration) {
	if m, ok := l.module.(*policy.Balancer); ok {
		l.metrics.requestsHeld.Set(float64(m.QueueLength()))
	}
	l.metrics.loopLag.Observe(waited.Seconds())
	l.metrics.loopWork.WithLabelValues(kind).Observe(took.Seconds())
	l.requestLog.recordLag(waited, took)
	if max(waited, took) > slowEventThreshold && l.requestLog.mayWriteOnce(l.clock.now(), "late") {
		slog.Warn("loop: late", "event", kind, "waited", waited, "took", took, "queue", l.events.length(), "open", l.unanswered)
	}
}

// shed refuses a request that the decision module does not know of.
func (l *loop) shed(x *clientRequest) {
	if x.answerDirectly(nodeRefusal()) {
		l.requestLog.recordShed(reasonLoopLag)
	}
}

// fireTimers handles the timers that are due.
func (l *loop) fireTimers(ctx context.Context) {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(*timer)
		if r := t.deadlineOf; r == nil {
			began := time.Now()
			l.notifyModule(ctx, policy.Timer{Token: t.token})
			l.recordEvent(kindOf(timerDue{}), now-t.due, time.Since(began))
		} else if !l.postponeDeadline(r) {
			l.fail(ctx, r, http.StatusGatewayTimeout, "backstop") // the decision module has not ended the request in time
		}
	}
}

// handleEvent handles one event.
func (l *loop) handleEvent(ctx context.Context, ev any) {
	switch e := ev.(type) {
	case arrival:
		l.handleArrival(ctx, e.request)
	case departure:
		e.request.cancel()
		e.request.claim(clientLeft)
		// By now another request may have the same id.
		if r := l.requests[e.request.req.ID]; r != nil && r.clientRequest == e.request && !r.ended {
			l.markEnded(r)
			l.recordHandlerEnd(r)
			l.notifyModule(ctx, policy.ClientGone{ID: r.req.ID})
			l.dropIfDone(r)
		}
	case attemptEnd:
		l.handleAttemptEnd(ctx, e)
	case receivedUpdate:
		l.handleList(ctx, e)
	case predecessorList: // ignored once discovery has delivered a list, which is more recent
		if !l.listReceived.Load() && e.Revision != l.listRevision && len(e.Members) > 0 {
			l.handleList(ctx, receivedUpdate{Update: discovery.Update{Kind: policy.ListReplace, Members: e.Members, Revision: e.Revision}})
		}
	case snapshotRequest:
		state := snapshot{Revision: l.listRevision, Members: slices.Collect(maps.Values(l.members))}
		if m, ok := l.module.(*policy.Balancer); ok {
			state.Policy = m.Snapshot(l.clock.now())
		}
		e.reply <- state
	case processCount:
		l.notifyModule(ctx, policy.ProcessCount{N: int(e)})
	case finish:
		l.stopping = true
		for _, r := range l.requests {
			if !r.ended {
				l.stopRequest(ctx, r)
			}
		}
	}
}

// handleArrival registers a new request and passes it to the decision module, or refuses it.
func (l *loop) handleArrival(ctx context.Context, x *clientRequest) {
	if !x.currentState().isOpen() { // its handler has responded, or its client has left
		return
	}
	// The decision module would treat a second request with an open id as the first and never respond to it. A
	// recently completed request with this id may have run, so its id is not accepted again either.
	if l.requests[x.req.ID] != nil || !l.claimID(x.req.ID) {
		x.answerDirectly(answer{status: http.StatusConflict})
		return
	}
	if l.stopping || l.maxOpenRequests > 0 && l.unanswered >= l.maxOpenRequests {
		x.answerDirectly(nodeRefusal())
		return
	}
	r := &request{clientRequest: x}
	r.deadline = x.deadlineNow(l.clock)
	l.requests[x.req.ID] = r
	l.unanswered++
	l.requestLog.arrived++
	r.deadlineTimer = &timer{due: r.timerDue(), deadlineOf: r}
	heap.Push(&l.timers, r.deadlineTimer)
	req := x.req
	req.ExpiresIn = max(0, r.deadline-l.clock.now())
	l.notifyModule(ctx, req)
}

// claimID records the id of a new request. It returns false if this or another process of the node has had it recently.
func (l *loop) claimID(id string) bool {
	if !l.recentIDs.add(id, l.clock.now()) {
		return false
	}
	shared := l.sharedIDs.Load()
	return shared == nil || shared.claim(id, monotonicNanos())
}

// timerDue returns when a request's deadline timer is to fire.
func (r *request) timerDue() policy.Time { return r.deadline + r.margin()/2 }

// postponeDeadline starts a request's deadline timer, which has fired, again if the deadline has moved since it was set, and
// reports whether it has.
func (l *loop) postponeDeadline(r *request) bool {
	r.deadline = r.deadlineNow(l.clock)
	if r.timerDue() <= l.clock.now() {
		return false
	}
	r.deadlineTimer.due = r.timerDue()
	heap.Push(&l.timers, r.deadlineTimer)
	return true
}

// handleAttemptEnd records an attempt's outcome, responds to the client if the attempt succeeded, and notifies the
// decision module.
func (l *loop) handleAttemptEnd(ctx context.Context, e attemptEnd) {
	a := &e.request.attempts[e.index]
	if e.answer.stream == nil { // a streamed response is still being transferred
		a.cancel()
	}
	a.ended, a.code = true, e.code
	l.requestLog.recordAttempt(l.clock.now(), e.request, e.index, e.attemptResult)
	e.request.pendingAttempts--
	if e.code == policy.OK && !e.request.ended {
		l.answer(e.request, e.attemptResult.answer, "")
	} else {
		e.attemptResult.answer.discard()
	}
	l.notifyModule(ctx, policy.Outcome{ID: e.request.req.ID, Server: a.server, Attempt: e.index, Code: e.code,
		Latency: l.clock.now() - a.sentAt - e.uploadTime, Ended: e.request.ended, Report: e.report})
	l.dropIfDone(e.request)
}

// snapshot returns the members and the decision module's state for a successor process.
func (l *loop) snapshot() snapshot {
	reply := make(chan snapshot, 1)
	l.send(snapshotRequest{reply})
	select {
	case state := <-reply:
		return state
	case <-l.done:
		return snapshot{}
	}
}

// notifyModule passes an event to the decision module and executes the returned actions in order. Outcomes of attempts
// that were skipped while the actions were executed follow as further events.
func (l *loop) notifyModule(ctx context.Context, ev policy.Event) {
	for {
		for _, a := range l.module.Handle(l.clock.now(), ev) {
			l.executeAction(ctx, a)
		}
		if len(l.skippedOutcomes) == 0 {
			return
		}
		outcome := l.skippedOutcomes[0]
		l.skippedOutcomes = l.skippedOutcomes[1:]
		if r := l.requests[outcome.ID]; r != nil {
			r.pendingAttempts--
			outcome.Ended = r.ended
			defer l.dropIfDone(r)
		}
		ev = outcome
	}
}

// executeAction executes one action of the decision module.
func (l *loop) executeAction(ctx context.Context, a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.startAttempt(ctx, a)
	case policy.Refuse:
		if r := l.requests[a.ID]; r != nil {
			l.refuse(r, a.Wait, a.Text)
		}
	case policy.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.answer(r, answer{status: http.StatusBadGateway}, a.Text)
			l.dropIfDone(r)
		}
	case policy.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel()
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{due: l.clock.now() + a.Wait, token: a.Token})
	case policy.CloseIdle:
		l.upstream.closeIdle(a.Server)
	case policy.WatchList:
		l.discovery.RequestUpdates(a.On)
	case policy.Log:
		slog.Info(a.Text)
	default: // probes and peer messages: the node doesn't allow them, and the module requests none
		slog.Error("decision module requested an unsupported action", "action", a.Kind)
	}
}
