package policy

import (
	"cmp"
	"container/heap"
	"slices"
)

// Requests that wait for a server. They are asked again at each arrival, list and poll, those worth most first, then the
// oldest. First tries of one class are all alike to the servers: where one finds none, the others find none either, and
// are not asked.

// lane is the waiting requests of one class that were not sent yet, or that were.
type lane struct {
	retries bool
	waiting []*request // oldest first; some have left
	next    int        // while the queue is asked: whose turn is next in waiting
	full    bool       // the same: nobody in it finds a server
	blocked bool       // the same: and the first whose time is not over goes on waiting, as all others do
	due     []*request // the same: those whose time is over, oldest first
}

// requestQueue holds all waiting requests. The zero value is empty.
type requestQueue struct {
	lanes  map[laneKey]*lane // those with requests
	expiry expiryHeap
	last   uint64 // number of the newest request
}

type laneKey struct {
	class   *class
	retries bool
}

// queuedRequest is what the queue keeps in each request.
type queuedRequest struct {
	number  uint64 // by when it began to wait
	expires Time   // from then on it is sent or given up
	at      int    // place in the expiry heap, from 1; 0: it does not wait
}

func (q *requestQueue) len() int { return len(q.expiry) }

// push lets r wait.
func (q *requestQueue) push(r *request) {
	q.last++
	r.entry = queuedRequest{number: q.last, expires: min(r.giveUp-queuePoll, r.worthTo)}
	key := laneKey{r.class, len(r.attempts) > 0}
	l := q.lanes[key]
	if l == nil {
		if q.lanes == nil {
			q.lanes = make(map[laneKey]*lane)
		}
		l = &lane{retries: key.retries}
		q.lanes[key] = l
	}
	l.waiting = append(l.waiting, r)
	heap.Push(&q.expiry, r)
}

// drop ends r's wait, if it waits.
func (q *requestQueue) drop(r *request) {
	if r.entry.at > 0 {
		heap.Remove(&q.expiry, r.entry.at-1)
	}
}

// open returns the lanes with requests, those whose time to wait is over being told apart.
func (q *requestQueue) open(now Time) []*lane {
	var open []*lane
	for key, l := range q.lanes {
		l.next = 0
		l.skipGone()
		l.waiting, l.next = l.waiting[l.next:], 0
		if len(l.waiting) == 0 {
			delete(q.lanes, key)
			continue
		}
		l.full, l.blocked, l.due = false, false, l.due[:0]
		open = append(open, l)
	}
	q.markDue(0, now)
	for _, l := range open {
		slices.SortFunc(l.due, func(x, y *request) int { return cmp.Compare(x.entry.number, y.entry.number) })
	}
	return open
}

// markDue tells the lanes of the requests at and below a place of the heap whose time is over.
func (q *requestQueue) markDue(at int, now Time) {
	if at >= len(q.expiry) || q.expiry[at].entry.expires > now {
		return
	}
	r := q.expiry[at]
	l := q.lanes[laneKey{r.class, len(r.attempts) > 0}]
	l.due = append(l.due, r)
	q.markDue(2*at+1, now)
	q.markDue(2*at+2, now)
}

// skipGone passes over those that have left.
func (l *lane) skipGone() {
	for l.next < len(l.waiting) && gone(l.waiting[l.next]) {
		l.next++
	}
}

// gone tells whether a request of a lane has left: nil stands for one that was sent, and may wait in another lane by now.
func gone(r *request) bool { return r == nil || r.entry.at == 0 }

// head is the request whose turn is next; nil if nobody's is. Of a blocked lane only those count whose time is over.
func (l *lane) head() *request {
	if l.blocked {
		for len(l.due) > 0 && gone(l.due[0]) {
			l.due = l.due[1:]
		}
		if len(l.due) == 0 {
			return nil
		}
		return l.due[0]
	}
	l.skipGone()
	if l.next == len(l.waiting) {
		return nil
	}
	return l.waiting[l.next]
}

// pass leaves the head waiting, and goes on behind it.
func (l *lane) pass(r *request) {
	l.next++
	for len(l.due) > 0 && l.due[0].entry.number <= r.entry.number {
		l.due = l.due[1:]
	}
}

// laneHeap is lanes by whose head's turn is first: worth most, then waiting longest. All have a head.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }
func (h laneHeap) Less(i, j int) bool {
	x, y := h[i].head(), h[j].head()
	return cmp.Or(cmp.Compare(y.class.Worth, x.class.Worth), cmp.Compare(x.entry.number, y.entry.number)) < 0
}
func (h laneHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *laneHeap) Push(l any)   { *h = append(*h, l.(*lane)) }
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}

// expiryHeap is waiting requests by when their time to wait is over.
type expiryHeap []*request

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].entry.expires < h[j].entry.expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].entry.at, h[j].entry.at = i+1, j+1
}
func (h *expiryHeap) Push(r any) {
	*h = append(*h, r.(*request))
	r.(*request).entry.at = len(*h)
}
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h, r.entry.at = (*h)[:last], 0
	return r
}

// Waiting is how many requests wait for a server.
func (b *Balancer) Waiting() int { return b.queue.len() }

// enqueue lets r wait for a server.
func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue.push(r)
	b.pollQueue()
}

// pollQueue has the queue asked again soon.
func (b *Balancer) pollQueue() {
	if !b.queueTimer {
		b.queueTimer = true
		b.do(Action{Kind: SetTimer, Wait: queuePoll, Token: queueToken})
	}
}

// release asks again whether there are servers for the waiting requests.
func (b *Balancer) release() {
	if b.queue.len() == 0 {
		clear(b.queue.lanes) // they may hold requests that have left
		return
	}
	lanes := laneHeap(slices.DeleteFunc(b.queue.open(b.now), func(l *lane) bool { return l.head() == nil }))
	heap.Init(&lanes)
	for len(lanes) > 0 {
		l := lanes[0]
		b.ask(l, l.head())
		if l.head() == nil {
			heap.Pop(&lanes)
		} else {
			heap.Fix(&lanes, 0)
		}
	}
}

// ask sees to the head of a lane: it is sent, given up, or goes on waiting.
func (b *Balancer) ask(l *lane, r *request) {
	*b.visits++
	switch {
	case b.exhausted(r):
		b.queue.drop(r)
		b.giveUp(r, "no attempts left")
	case !l.full && b.trySend(r):
		b.queue.drop(r)
		l.waiting[l.next] = nil
	case b.now >= r.entry.expires:
		l.full = l.full || b.blocks(l, r)
		b.queue.drop(r)
		b.giveUp(r, "no server has room")
	default:
		b.pollQueue()
		if l.full = l.full || b.blocks(l, r); l.full {
			l.blocked = true
		} else {
			l.pass(r)
		}
	}
}

// blocks tells whether nobody else in the lane of r, which has found no server, finds one. Others that were sent before may
// go to a server that has had r.
func (b *Balancer) blocks(l *lane, r *request) bool {
	if !l.retries {
		return true
	}
	s, _ := b.pick(&request{class: r.class})
	return s == nil
}
