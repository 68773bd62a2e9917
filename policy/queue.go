package policy

import (
	"cmp"
	"container/heap"
	"slices"
)

// The queue of requests that wait for a server. It is checked again at each arrival, list and poll: requests of highest
// worth first, then the oldest. Servers treat all first tries of one class alike: where one finds no server, the others
// don't either and are skipped.

// lane holds the queued requests of one class: those that were not sent yet, or the retries.
type lane struct {
	retries  bool
	queued   []*request // oldest first; may contain requests that have left the queue
	next     int        // during a check of the queue: index in waiting of the next request
	noServer bool       // likewise: no request of the lane finds a server any more
	blocked  bool       // likewise: noServer is set, and requests that haven't expired stay queued
	expired  []*request // likewise: those that have expired, oldest first
}

// requestQueue holds all queued requests. The zero value is empty.
type requestQueue struct {
	lanes   map[laneKey]*lane // those with requests
	expiry  expiryHeap
	lastSeq uint64 // sequence number of the newest request
}

type laneKey struct {
	class   *class
	retries bool
}

// queueEntry is the part of a request that the queue maintains.
type queueEntry struct {
	seq     uint64 // order of queueing
	expires Time   // from then on the request is sent or given up
	heapPos int    // position in the expiry heap, from 1; 0 if not queued
}

func (q *requestQueue) len() int { return len(q.expiry) }

// push queues r.
func (q *requestQueue) push(r *request) {
	q.lastSeq++
	r.queueEntry = queueEntry{seq: q.lastSeq, expires: min(r.refuseAt-queuePollInterval, r.usefulUntil)}
	key := laneKey{r.class, len(r.attempts) > 0}
	l := q.lanes[key]
	if l == nil {
		if q.lanes == nil {
			q.lanes = make(map[laneKey]*lane)
		}
		l = &lane{retries: key.retries}
		q.lanes[key] = l
	}
	l.queued = append(l.queued, r)
	heap.Push(&q.expiry, r)
}

// remove takes r out of the queue, if it is queued.
func (q *requestQueue) remove(r *request) {
	if r.queueEntry.heapPos > 0 {
		heap.Remove(&q.expiry, r.queueEntry.heapPos-1)
	}
}

// activeLanes returns the lanes with requests, each with its expired requests, and drops the empty ones.
func (q *requestQueue) activeLanes(now Time) []*lane {
	var active []*lane
	for key, l := range q.lanes {
		l.next = 0
		l.skipDeparted()
		l.queued, l.next = l.queued[l.next:], 0
		if len(l.queued) == 0 {
			delete(q.lanes, key)
			continue
		}
		l.noServer, l.blocked, l.expired = false, false, l.expired[:0]
		active = append(active, l)
	}
	q.collectExpired(0, now)
	for _, l := range active {
		slices.SortFunc(l.expired, func(x, y *request) int { return cmp.Compare(x.queueEntry.seq, y.queueEntry.seq) })
	}
	return active
}

// collectExpired adds the expired requests at and below a position of the heap to their lanes.
func (q *requestQueue) collectExpired(at int, now Time) {
	if at >= len(q.expiry) || q.expiry[at].queueEntry.expires > now {
		return
	}
	r := q.expiry[at]
	l := q.lanes[laneKey{r.class, len(r.attempts) > 0}]
	l.expired = append(l.expired, r)
	q.collectExpired(2*at+1, now)
	q.collectExpired(2*at+2, now)
}

// skipDeparted advances past requests that have left the queue.
func (l *lane) skipDeparted() {
	for l.next < len(l.queued) && departed(l.queued[l.next]) {
		l.next++
	}
}

// departed reports whether a request of a lane has left it. One that was sent is replaced with nil, as it may be queued
// in another lane by now.
func departed(r *request) bool { return r == nil || r.queueEntry.heapPos == 0 }

// head returns the next request, or nil if there is none. Of a blocked lane only expired requests count.
func (l *lane) head() *request {
	if l.blocked {
		for len(l.expired) > 0 && departed(l.expired[0]) {
			l.expired = l.expired[1:]
		}
		if len(l.expired) == 0 {
			return nil
		}
		return l.expired[0]
	}
	l.skipDeparted()
	if l.next == len(l.queued) {
		return nil
	}
	return l.queued[l.next]
}

// keepQueued leaves r, the head, in the queue and moves on to the next request.
func (l *lane) keepQueued(r *request) {
	l.next++
	for len(l.expired) > 0 && l.expired[0].queueEntry.seq <= r.queueEntry.seq {
		l.expired = l.expired[1:]
	}
}

// laneHeap orders lanes by their heads: highest worth first, then longest queued. Every lane in it has a head.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }
func (h laneHeap) Less(i, j int) bool {
	x, y := h[i].head(), h[j].head()
	return cmp.Or(cmp.Compare(y.class.Worth, x.class.Worth), cmp.Compare(x.queueEntry.seq, y.queueEntry.seq)) < 0
}
func (h laneHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *laneHeap) Push(l any)   { *h = append(*h, l.(*lane)) }
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}

// expiryHeap orders queued requests by expiry.
type expiryHeap []*request

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].queueEntry.expires < h[j].queueEntry.expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueEntry.heapPos, h[j].queueEntry.heapPos = i+1, j+1
}
func (h *expiryHeap) Push(r any) {
	*h = append(*h, r.(*request))
	r.(*request).queueEntry.heapPos = len(*h)
}
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h, r.queueEntry.heapPos = (*h)[:last], 0
	return r
}

// QueueLength returns how many requests are queued for a server.
func (b *Balancer) QueueLength() int { return b.queue.len() }

// enqueue queues r until a server is available.
func (b *Balancer) enqueue(r *request) {
	r.wasQueued = true
	b.queue.push(r)
	b.scheduleQueuePoll()
}

// scheduleQueuePoll sets the timer for the next check of the queue, unless it is set.
func (b *Balancer) scheduleQueuePoll() {
	if !b.queueTimerSet {
		b.queueTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: queuePollInterval, Token: queueToken})
	}
}

// dispatchQueued tries again to send the queued requests.
func (b *Balancer) dispatchQueued() {
	if b.queue.len() == 0 {
		clear(b.queue.lanes) // they may refer to requests that have left the queue
		return
	}
	lanes := laneHeap(slices.DeleteFunc(b.queue.activeLanes(b.now), func(l *lane) bool { return l.head() == nil }))
	heap.Init(&lanes)
	for len(lanes) > 0 {
		l := lanes[0]
		b.dispatchHead(l, l.head())
		if l.head() == nil {
			heap.Pop(&lanes)
		} else {
			heap.Fix(&lanes, 0)
		}
	}
}

// dispatchHead sends the head of a lane, gives it up, or leaves it queued.
func (b *Balancer) dispatchHead(l *lane, r *request) {
	*b.visits++
	switch {
	case b.exhausted(r):
		b.queue.remove(r)
		b.giveUp(r, "no attempts left")
	case !l.noServer && b.trySend(r):
		b.queue.remove(r)
		l.queued[l.next] = nil
	case b.now >= r.queueEntry.expires:
		l.noServer = l.noServer || b.laneHasNoServer(l, r)
		b.queue.remove(r)
		b.giveUp(r, "no server has room")
	default:
		b.scheduleQueuePoll()
		if l.noServer = l.noServer || b.laneHasNoServer(l, r); l.noServer {
			l.blocked = true
		} else {
			l.keepQueued(r)
		}
	}
}

// laneHasNoServer reports whether no other request in the lane of r finds a server either, after r found none. Other
// retries may still go to a server that r was already sent to.
func (b *Balancer) laneHasNoServer(l *lane, r *request) bool {
	if !l.retries {
		return true
	}
	s, _ := b.pick(&request{class: r.class})
	return s == nil
}
