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
	if x.answerUnseen(ownRefusal()) {
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
				l.stop(ctx, r)
			}
		}
	}
}

func (l *loop) arrive(ctx context.Context, x *clientRequest) {
	if !x.currentState().open() { // its handler has answered, or its client has left
		return
	}
	// The module would wait for the first of an id and never answer this one; and what came under an
	// id before may have run, also when it is over.
	if l.requests[x.req.ID] != nil || !l.used.add(x.req.ID, l.clock.now()) {
		x.answerUnseen(answer{status: http.StatusConflict})
		return
	}
	if l.stopping || l.maxOpen > 0 && l.owed >= l.maxOpen {
		x.answerUnseen(ownRefusal())
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
