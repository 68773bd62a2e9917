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
	// timeOrigin is what the clock shows at the start. Servers that started before the node did have
	// a time above 0 all the same: 0 means long ago, and would count a cold server as warm.
	timeOrigin = 24 * time.Hour
	// answerMargin is how long before the client stops waiting the module's time is up, so that its
	// answer still arrives; half of it later the backstop answers. Of short deadlines it is a part.
	answerMargin     = 20 * time.Millisecond
	answerMarginPart = 5
	longestUpload    = maxBody/slowestBody*time.Second + time.Minute
	sweepEvery       = time.Second // idle connections to servers
	ownRetryAfter    = time.Second // told to clients that the node refuses without the module
	idsFor           = 10 * time.Second
	maxIDs           = 1 << 15
	// lateAfter is how long the loop may leave an event waiting, or take for one, without a line in the log.
	lateAfter = 100 * time.Millisecond
)

// clock turns the machine's monotonic clock into policy.Time.
type clock struct{ start time.Time }

func (c clock) now() policy.Time { return timeOrigin + time.Since(c.start) }

// of is the module's time of a moment, which is no later than now.
func (c clock) of(t time.Time) policy.Time { return min(c.now(), timeOrigin+t.Sub(c.start)) }

func (c clock) at(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// module is the policy.Balancer.
type module interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
}

// loop owns the module, the open requests and the timers, in one goroutine. All else sends it events;
// it waits for nothing but the next of them.
type loop struct {
	clock   clock
	module  module
	allowed policy.Allowed
	classes map[string]policy.Class
	maxOpen int
	up      *upstream
	monitor *invariant.Monitor
	metrics *metrics
	clients *clients // nil: there are none
	disc    *discovery.Client
	inForce func(revision int64, at time.Time) // hears of each list that requests go by; nil: nobody does

	events   *eventQueue
	shedder  *shedder
	done     chan struct{} // closed when the loop has ended
	ready    chan struct{} // closed when the known list is in
	serves   chan struct{} // closed when a server is known
	requests map[string]*request
	members  map[string]discovery.Member // the list as it stands
	listedAt int64                       // its revision
	starts   *serverStarts
	heard    atomic.Bool        // by discovery, since the start
	sequence atomic.Uint64      // of news, in the order in which it was heard
	lastSent map[string]sending // to each server listed; for the log
	used     ids
	owed     int // requests without their answer
	stopping bool
	timers   timers
	trace    trace
	skipped  []policy.Outcome // of attempts that were not made; told once all actions are done
	attempts sync.WaitGroup
}

// request is kept until it is answered and all its attempts are over.
type request struct {
	*clientRequest
	deadline policy.Time
	backstop *timer
	ended    bool
	attempts []attempt
	pending  int
}

type attempt struct {
	server string
	group  serverGroup
	sent   policy.Time
	cancel context.CancelFunc
	over   bool // it has its outcome
	code   policy.Code
	took   time.Duration // for the log
}

// serverGroup is what decides which other servers drop the repeats of what a server was sent.
type serverGroup struct {
	zone string
	cell int64
}

// outcome names how an attempt ended; "out" where it hasn't.
func (a attempt) outcome() string {
	if !a.over {
		return "out"
	}
	return a.code.String()
}

// sending is the last attempt that went to a server.
type sending struct {
	id string
	at policy.Time
}

// The events of the loop, beside news.
type (
	arrival   struct{ x *clientRequest }
	departure struct { // its handler has ended the request: the client has left, or its time was up
		x *clientRequest
	}
	uploaded struct { // the last byte of a large body was sent on
		r    *request
		took time.Duration
	}
	ending struct { // of an attempt
		r *request
		n int
		result
	}
	processes       int      // that this node has
	finish          struct{} // fail what is still open, for the node stops
	snapshotRequest struct { // asks what a successor should know
		reply chan snapshot
	}
	restoredSnapshot struct{ discovery.List } // as the process before has it by now
)

func newLoop(c Config, ck clock, up *upstream) (*loop, error) {
	balancer, err := policy.New(c.Settings, ck.now(), c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{clock: ck, module: balancer, allowed: c.Settings.Allowed, maxOpen: c.MaxOpen, up: up, monitor: up.monitor, metrics: newMetrics(),
		events: newEventQueue(), shedder: newShedder(), done: make(chan struct{}), ready: make(chan struct{}), serves: make(chan struct{}),
		classes: make(map[string]policy.Class), requests: make(map[string]*request), lastSent: make(map[string]sending), starts: newServerStarts(ck), used: ids{seed: maphash.MakeSeed()}}
	for _, class := range c.Settings.Classes {
		l.classes[class.Name] = class
	}
	l.trace.metrics = l.metrics
	l.disc = discovery.New(c.following(), func(n discovery.News) { l.send(n) })
	return l, nil
}

// send hands the loop an event, and never waits for it. What discovery has told binds attempts from here on: the loop may be
// late, and an attempt under way.
func (l *loop) send(ev any) {
	if n, ok := ev.(discovery.News); ok {
		heard := heardNews{News: n, sequence: l.sequence.Add(1), heard: time.Now()}
		if n.Kind == policy.ListReplace || n.Kind == policy.ListUpdate {
			l.heard.Store(true)
			l.up.stopLeaving(heard)
		}
		ev = heard
	}
	l.events.push(ev)
}

// run handles events until ctx ends; then it calls off what is out and waits for it. The list as last
// held comes before all else, as the module expects.
func (l *loop) run(ctx context.Context, known discovery.List) {
	attemptsCtx, cancel := context.WithCancel(context.Background())
	defer l.attempts.Wait()
	defer cancel()
	defer close(l.done)
	l.handle(attemptsCtx, heardNews{News: discovery.News{Kind: policy.ListRestored, Members: known.Members, Revision: known.Revision}})
	close(l.ready)
	busy := make(chan struct{})
	close(busy)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	for {
		var more <-chan struct{} // ready where the loop has not come to rest
		if ev, ok := l.events.take(); ok {
			l.takeUp(attemptsCtx, ev)
			more = busy
		} else if len(l.timers) > 0 {
			wake.Reset(l.timers[0].due - l.clock.now())
		} else {
			wake.Stop()
		}
		select {
		case <-more:
		case <-l.events.wake:
		case <-wake.C:
		case now := <-sweep.C:
			l.sweep(now)
		case <-summary.C:
			l.summarize()
		case <-ctx.Done():
			return
		}
		l.fire(attemptsCtx)
	}
}

// sweep sees to what is looked at once a second.
func (l *loop) sweep(now time.Time) {
	l.starts.read()
	l.up.sweep(now)
	if l.clients != nil {
		l.clients.closeExpired(now)
	}
}

func (l *loop) summarize() {
	open, evicted := 0, 0
	if l.clients != nil {
		open, evicted = l.clients.counts()
	}
	l.trace.shedAtArrival = l.shedder.atArrival.Swap(0)
	l.trace.summary(l.owed, open, evicted, l.events.length(), fmt.Sprint(l.module), l.monitor)
}

// takeUp handles an event of the queue, or turns it away for having waited too long in it.
func (l *loop) takeUp(ctx context.Context, ev queuedEvent) {
	began := time.Now()
	waited := began.Sub(ev.since)
	kind := kindOf(ev.event)
	if a, ok := ev.event.(arrival); ok && l.shedder.took(began, waited) {
		kind = "shed arrival"
		l.shed(a.x)
	} else {
		l.handle(ctx, ev.event)
	}
	l.noteWork(kind, waited, time.Since(began))
}

// noteWork counts an event, and logs one that waited or took too long.
func (l *loop) noteWork(kind string, waited, took time.Duration) {
	if m, ok := l.module.(*policy.Balancer); ok {
		l.metrics.held.Set(float64(m.Waiting()))
	}
	l.metrics.loopLag.Observe(waited.Seconds())
	l.metrics.loopWork.WithLabelValues(kind).Observe(took.Seconds())
	l.trace.late(waited, took)
	if max(waited, took) > lateAfter && l.trace.mayWriteOnce(l.clock.now(), "late") {
		slog.Warn("loop: late", "event", kind, "waited", waited, "took", took, "queue", l.events.length(), "open", l.owed)
	}
}

// shed turns a request away that the module has not seen.
func (l *loop) shed(x *clientRequest) {
	if x.answerUnseen(answer{status: http.StatusServiceUnavailable, retryAfter: ownRetryAfter}) {
		l.trace.shed(shedForLag)
	}
}

// fire handles the timers that are due.
func (l *loop) fire(ctx context.Context) {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(*timer)
		if r := t.backstop; r == nil {
			began := time.Now()
			l.tell(ctx, policy.Timer{Token: t.token})
			l.noteWork(kindOf(timerDue{}), now-t.due, time.Since(began))
		} else {
			l.fail(ctx, r, http.StatusGatewayTimeout, "backstop") // the module has said nothing
		}
	}
}

func (l *loop) handle(ctx context.Context, ev any) {
	switch e := ev.(type) {
	case arrival:
		l.arrive(ctx, e.x)
	case departure:
		e.x.leave()
		e.x.claim(clientLeft)
		// Another request may bear the id by now.
		if r := l.requests[e.x.req.ID]; r != nil && r.clientRequest == e.x && !r.ended {
			l.settle(r)
			l.traceHandlersEnd(r)
			l.tell(ctx, policy.Lapsed{ID: r.req.ID})
			l.drop(r)
		}
	case uploaded:
		if r := e.r; !r.ended { // the client's time counts from its last byte
			r.deadline += e.took
			l.postpone(r, r.deadline+r.margin()/2)
		}
	case ending:
		l.end(ctx, e)
	case heardNews:
		l.listed(ctx, e)
	case restoredSnapshot: // until discovery is heard, which knows better
		if !l.heard.Load() && e.Revision != l.listedAt && len(e.Members) > 0 {
			l.listed(ctx, heardNews{News: discovery.News{Kind: policy.ListReplace, Members: e.Members, Revision: e.Revision}})
		}
	case snapshotRequest:
		left := snapshot{Revision: l.listedAt, Members: slices.Collect(maps.Values(l.members))}
		if m, ok := l.module.(*policy.Balancer); ok {
			left.Policy = m.Snapshot(l.clock.now())
		}
		e.reply <- left
	case processes:
		l.tell(ctx, policy.Processes{N: int(e)})
	case finish:
		l.stopping = true
		for _, r := range l.requests {
			if !r.ended {
				l.fail(ctx, r, http.StatusBadGateway, "stopping")
			}
		}
	}
}

func (l *loop) arrive(ctx context.Context, x *clientRequest) {
	if !x.isOpen() { // its handler has answered, or its client has left
		return
	}
	// The module would wait for the first of an id and never answer this one; and what came under an
	// id before may have run, also when it is over.
	if l.requests[x.req.ID] != nil || !l.used.add(x.req.ID, l.clock.now()) {
		x.answerUnseen(answer{status: http.StatusConflict})
		return
	}
	if l.stopping || l.maxOpen > 0 && l.owed >= l.maxOpen {
		x.answerUnseen(answer{status: http.StatusServiceUnavailable, retryAfter: ownRetryAfter})
		return
	}
	r := &request{clientRequest: x}
	r.deadline = x.came + x.clientWaits - r.margin()
	l.requests[x.req.ID] = r
	l.owed++
	l.trace.arrived++
	r.backstop = &timer{due: r.deadline + r.margin()/2, backstop: r}
	if x.rest != nil {
		r.backstop.due += longestUpload
	}
	heap.Push(&l.timers, r.backstop)
	req := x.req
	req.ExpiresIn = max(0, r.deadline-l.clock.now())
	l.tell(ctx, req)
}

// margin is how long before its client stops waiting a request's time is up.
func (x *clientRequest) margin() time.Duration {
	return min(answerMargin, x.clientWaits/answerMarginPart)
}

// postpone moves a request's backstop.
func (l *loop) postpone(r *request, due policy.Time) {
	if r.backstop.at >= 0 {
		r.backstop.due = due
		heap.Fix(&l.timers, r.backstop.at)
	}
}

func (l *loop) end(ctx context.Context, e ending) {
	a := &e.r.attempts[e.n]
	if e.answer.more == nil { // else it ends with the last byte
		a.cancel()
	}
	a.over, a.code = true, e.code
	l.trace.attempt(l.clock.now(), e.r, e.n, e.result)
	e.r.pending--
	if e.code == policy.OK && !e.r.ended {
		l.answer(e.r, e.result.answer, "")
	} else {
		e.result.answer.drop()
	}
	l.tell(ctx, policy.Outcome{ID: e.r.req.ID, Server: a.server, Attempt: e.n, Code: e.code,
		Latency: l.clock.now() - a.sent - e.upload, Ended: e.r.ended, Report: e.report})
	l.drop(e.r)
}

func (l *loop) listed(ctx context.Context, heard heardNews) {
	n := heard.News
	if n.Kind != policy.ListUnavailable {
		l.up.follow(heard)
		l.noteLeaving(n, l.keep(n))
		l.noteServers()
	}
	members := make([]policy.Member, len(n.Members))
	for i, m := range n.Members {
		members[i] = m.Member
		if m.Availability != policy.Removed {
			members[i].OnlineSince = l.starts.of(m.Server, m.UpSince)
		}
	}
	began := l.clock.now()
	l.tell(ctx, policy.MemberList{Kind: n.Kind, Members: members})
	l.noteInForce(n, began)
	if !heard.heard.IsZero() && n.Kind != policy.ListUnavailable {
		l.metrics.listDelay.Observe(time.Since(heard.heard).Seconds())
	}
}

// noteInForce tells that requests go by a list from now on, and how long the module took to take it in.
func (l *loop) noteInForce(n discovery.News, began policy.Time) {
	if n.Kind == policy.ListUnavailable || n.Kind == policy.ListUpdate && len(n.Members) == 0 {
		return
	}
	if now := l.clock.now(); l.trace.mayWrite(now, "list") {
		slog.Info("list: in force", "revision", n.Revision, "entries", len(n.Members),
			"whole", n.Kind != policy.ListUpdate, "took", now-began)
	}
	if l.inForce != nil {
		l.inForce(n.Revision, time.Now())
	}
}

// keep holds the list together for a successor, and returns the servers that were up and leave.
func (l *loop) keep(n discovery.News) (leaving []discovery.Member) {
	old := l.members
	if n.Kind != policy.ListUpdate {
		l.members = make(map[string]discovery.Member, len(n.Members))
	}
	l.listedAt = n.Revision
	for _, m := range n.Members {
		if was, ok := old[m.Server]; ok && was.Availability == policy.Running && m.Availability != policy.Running {
			leaving = append(leaving, m)
		}
		if l.members[m.Server] = m; m.Availability == policy.Removed {
			delete(l.members, m.Server)
			l.starts.forget(m.Server)
		}
	}
	if n.Kind == policy.ListUpdate {
		return leaving
	}
	listed := make(map[string]bool, len(n.Members))
	for _, m := range n.Members {
		listed[m.Server] = true
	}
	for id, m := range old {
		if listed[id] {
			continue
		}
		l.starts.forget(id)
		if m.Availability == policy.Running {
			m.Availability = policy.Removed
			leaving = append(leaving, m)
		}
	}
	return leaving
}

// noteServers says once that there is a server to send to.
func (l *loop) noteServers() {
	select {
	case <-l.serves:
		return
	default:
	}
	for _, m := range l.members {
		if m.Availability == policy.Running {
			close(l.serves)
			return
		}
	}
}

// noteLeaving tells the log of each server that leaves, and of the last request that went there.
func (l *loop) noteLeaving(n discovery.News, leaving []discovery.Member) {
	if len(leaving) > 0 && !n.Asked.IsZero() {
		slog.Info("list: servers leave", "servers", len(leaving), "revision", n.Revision,
			"asked_ago", time.Since(n.Asked), "heard_ago", time.Since(n.Heard))
	}
	for _, m := range leaving {
		last, now := l.lastSent[m.Server], l.clock.now()
		delete(l.lastSent, m.Server)
		if last.id != "" && l.trace.mayWrite(now, "leaving") {
			slog.Info("list: a server leaves", "server", m.Server, "draining", m.Availability == policy.Draining,
				"last_request", last.id, "last_sent_ago", now-last.at)
		}
	}
}

// snapshot is what a successor should know of the servers and of the module's state.
func (l *loop) snapshot() snapshot {
	reply := make(chan snapshot, 1)
	l.send(snapshotRequest{reply})
	select {
	case left := <-reply:
		return left
	case <-l.done:
		return snapshot{}
	}
}

// tell gives the module an event and carries out what it wants done, in order.
func (l *loop) tell(ctx context.Context, ev policy.Event) {
	for {
		for _, a := range l.module.Handle(l.clock.now(), ev) {
			l.carryOut(ctx, a)
		}
		if len(l.skipped) == 0 {
			return
		}
		o := l.skipped[0]
		l.skipped = l.skipped[1:]
		if r := l.requests[o.ID]; r != nil {
			r.pending--
			o.Ended = r.ended
			defer l.drop(r)
		}
		ev = o
	}
}

func (l *loop) carryOut(ctx context.Context, a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.attempt(ctx, a)
	case policy.Refuse:
		if r := l.requests[a.ID]; r != nil {
			l.refuse(r, a.Wait, a.Text)
		}
	case policy.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.answer(r, answer{status: http.StatusBadGateway}, a.Text)
			l.drop(r)
		}
	case policy.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel()
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{due: l.clock.now() + a.Wait, token: a.Token})
	case policy.CloseIdle:
		l.up.closeIdle(a.Server)
	case policy.WatchList:
		l.disc.Ask(a.On)
	case policy.Log:
		slog.Info(a.Text)
	default: // probes and peer messages are not allowed here, and the module asks for none
		slog.Error("the module wants what this node can't do", "action", a.Kind)
	}
}

// attempt sends a request out, unless it is too late or too often for that: then it is skipped.
func (l *loop) attempt(ctx context.Context, a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		slog.Error("the module sends a request that is not open")
		return
	}
	n := len(r.attempts)
	if denied := l.mayAttempt(r, a, now); denied != invariant.None {
		l.skip(r, a, now, denied)
		return
	}
	if !r.try() { // its handler has answered, or its client has left
		l.skip(r, a, now, invariant.AttemptAfterAnswer)
		return
	}
	if n == 0 {
		l.metrics.heldTime.WithLabelValues(heldUntilSent).Observe((now - r.came).Seconds())
	}
	r.pending++
	until := r.deadline
	if a.Until > 0 {
		until = min(until, a.Until)
	}
	var by time.Time
	if a.By > 0 {
		by = l.clock.at(a.By)
	}
	if n > 0 {
		l.metrics.retries.WithLabelValues(r.attempts[n-1].outcome()).Inc()
	}
	ctx, cancel := context.WithCancel(ctx)
	l.lastSent[a.Server] = sending{a.ID, now}
	r.attempts = append(r.attempts, attempt{server: a.Server, group: l.groupOf(a.Server), sent: now, cancel: cancel})
	l.attempts.Go(func() {
		defer cancel()
		l.up.attempt(ctx, a.Server, r.clientRequest, attemptHost{
			until:       l.clock.at(until),
			clientWaits: l.clock.at(r.came + r.clientWaits),
			by:          by,
			left:        r.left,
			uploaded: func(took time.Duration) {
				r.postpone(l.clock, took)
				l.send(uploaded{r, took})
			},
			end: func(e result) { l.send(ending{r, n, e}) },
		})
	})
}

// mayAttempt puts the facts of an attempt that the module wants before the rules.
func (l *loop) mayAttempt(r *request, a policy.Action, now policy.Time) invariant.Rule {
	class := l.classes[r.req.Class]
	return invariant.MayAttempt(invariant.Attempt{
		Now: now, Deadline: r.deadline, Answered: r.ended, ClientLeft: r.left.Err() != nil,
		// Of a large body, what has gone on is not held any more: no attempt beside or after that.
		BodySpent:   r.rest != nil && (r.rest.begun.Load() || r.pending > 0),
		MaxAttempts: l.allowed.MaxAttempts, Hedging: l.allowed.Hedge, Repeat: class.Repeat, Window: class.Window,
		Prior: l.prior(r, class, a.Server),
	})
}

// prior tells the rules of a request's attempts so far, as seen from a further one at the given server.
func (l *loop) prior(r *request, class policy.Class, server string) []invariant.PriorAttempt {
	if len(r.attempts) == 0 {
		return nil
	}
	group := l.groupOf(server)
	prior := make([]invariant.PriorAttempt, len(r.attempts))
	for i, a := range r.attempts {
		prior[i] = invariant.PriorAttempt{Sent: a.sent, Out: !a.over, MayHaveRun: !a.over || !a.code.NotRun(),
			SameGroup: sameGroup(class.Group, a.group, group)}
	}
	return prior
}

// groupOf is the group of a listed server; of one that isn't, none.
func (l *loop) groupOf(server string) serverGroup {
	m := l.members[server]
	return serverGroup{m.Zone, m.Cell}
}

func sameGroup(by policy.Group, a, b serverGroup) bool {
	switch by {
	case policy.GroupAll:
		return true
	case policy.GroupZone:
		return a.zone == b.zone
	}
	return a.cell == b.cell
}

// skip tells the module that an attempt was not made. Some of these it can't know better: an answer or the deadline may
// come between its decision and this.
func (l *loop) skip(r *request, a policy.Action, now policy.Time, denied invariant.Rule) {
	switch denied {
	case invariant.ConcurrentAttempts, invariant.UnsafeRepeat, invariant.RepeatOutsideWindow:
		l.monitor.Misdirected(denied, a.ID, "server", a.Server, "attempts", r.history())
	default:
		l.monitor.Deny(denied)
	}
	n := len(r.attempts)
	r.pending++
	r.attempts = append(r.attempts, attempt{server: a.Server, sent: now, cancel: func() {}, over: true, code: policy.NotSent})
	l.skipped = append(l.skipped, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: policy.NotSent})
}

func (l *loop) refuse(r *request, wait time.Duration, why string) {
	class := l.classes[r.req.Class]
	if denied := invariant.MayRefuse(class.Repeat, class.Group, l.prior(r, class, "")); denied != invariant.None {
		l.monitor.Misdirected(denied, r.req.ID, "why", why, "attempts", r.history())
		l.answer(r, answer{status: http.StatusBadGateway}, why)
		l.drop(r)
		return
	}
	a := answer{status: http.StatusServiceUnavailable}
	if wait > 0 && l.allowed.RetryAfter {
		a = answer{status: http.StatusTooManyRequests, retryAfter: wait}
	}
	l.answer(r, a, why)
	l.drop(r)
}

// answer gives the client its one answer; whatever comes later is not passed on. The log is told who
// ended the request, or why.
func (l *loop) answer(r *request, a answer, by string) {
	if r.ended {
		return
	}
	l.settle(r)
	if !r.claim(answeredByLoop) { // its handler was first; the event that says so has not been taken up
		a.drop()
		l.traceHandlersEnd(r)
		return
	}
	now := l.clock.now()
	if broken := invariant.InTime(now, r.deadline+r.margin()); broken != invariant.None {
		l.monitor.Violation(broken, r.req.ID, "after", now-r.came, "waits", r.clientWaits, "by", by)
	}
	l.trace.answered(now, r, a, by)
	r.reply <- a
}

// traceHandlersEnd notes the end of a request that its handler has ended.
func (l *loop) traceHandlersEnd(r *request) {
	if r.currentState() == clientLeft {
		l.trace.answered(l.clock.now(), r, answer{}, "client left")
		return
	}
	l.trace.answered(l.clock.now(), r, r.handlersAnswer(), shedForTime)
}

// fail gives the client its one answer where the module has none in time, and tells it so.
func (l *loop) fail(ctx context.Context, r *request, status int, by string) {
	l.answer(r, answer{status: status}, by)
	l.tell(ctx, policy.Lapsed{ID: r.req.ID})
	l.drop(r)
}

// settle marks r as answered, or given up by its client: the first to do so wins.
func (l *loop) settle(r *request) {
	r.ended = true
	l.owed--
	if r.backstop.at >= 0 { // else it would keep the request until a deadline that may be far off
		heap.Remove(&l.timers, r.backstop.at)
	}
}

// drop forgets a request that is answered and has no attempt out.
func (l *loop) drop(r *request) {
	if r.ended && r.pending == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
		r.leave()
	}
}

// timer is one of the module's, or a request's backstop.
type timer struct {
	due      policy.Time
	token    uint64
	backstop *request
	at       int // its place among the timers; -1 once it is out
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].at, t[j].at = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).at = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	x.at, (*t)[last] = -1, nil
	*t = (*t)[:last]
	return x
}

// ids remembers for a while, between idsFor and twice that, which ids requests came under: two
// halves, of which the older is dropped whole, so that it neither grows nor needs to be searched.
// At very many a second the while is shorter. Hashes stand for the ids, to keep it small.
type ids struct {
	seed       maphash.Seed
	began      policy.Time
	now, older map[uint64]struct{}
}

// add takes an id in, or reports false where it is there already.
func (s *ids) add(id string, now policy.Time) bool {
	if s.now == nil || now-s.began >= idsFor || len(s.now) >= maxIDs {
		s.older, s.now, s.began = s.now, make(map[uint64]struct{}), now
	}
	h := maphash.String(s.seed, id)
	_, fresh := s.now[h]
	_, old := s.older[h]
	s.now[h] = struct{}{}
	return !fresh && !old
}
