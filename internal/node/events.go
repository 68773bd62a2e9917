package node

import (
	"sync"
	"time"

	"cobaltward/internal/discovery"
)

// priority orders the events that wait for the loop: what binds attempts goes before what asks for them.
type priority int

const (
	// controlPriority is of news of the list, of clients that leave, and of what the process is told.
	controlPriority priority = iota
	// outcomePriority is of what attempts have come to.
	outcomePriority
	// arrivalPriority is of new requests.
	arrivalPriority
	priorities
)

// priorityOf sorts an event.
func priorityOf(ev any) priority {
	switch ev.(type) {
	case arrival:
		return arrivalPriority
	case ending, uploaded:
		return outcomePriority
	}
	return controlPriority
}

// kindOf names an event in metrics and logs.
func kindOf(ev any) string {
	switch ev.(type) {
	case arrival:
		return "arrival"
	case departure:
		return "departure"
	case ending, uploaded:
		return "outcome"
	case heardNews, restoredSnapshot:
		return "list"
	case timerDue:
		return "timer"
	}
	return "other"
}

// heardNews is news of the list with its sequence number among all that was heard: the greater, the later. What the process
// knew at its start, or took over, has 0.
type heardNews struct {
	discovery.News
	sequence uint64
	heard    time.Time // by this process
}

// timerDue stands for the module's timers in the metrics of events.
type timerDue struct{}

// queuedEvent is an event and when it was handed in.
type queuedEvent struct {
	event any
	since time.Time
}

// eventQueue hands events to the loop, by priority and in their order. It never blocks those who hand them in: requests are
// bounded by the connections of clients, outcomes by the attempts, and the rest by who sends it.
type eventQueue struct {
	wake chan struct{} // holds one while there may be something to take

	mu      sync.Mutex
	waiting [priorities]fifo
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// push hands an event in.
func (q *eventQueue) push(ev any) {
	now := time.Now()
	q.mu.Lock()
	q.waiting[priorityOf(ev)].push(queuedEvent{ev, now})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the event whose turn is next, if there is one.
func (q *eventQueue) take() (queuedEvent, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.waiting {
		if q.waiting[i].len() > 0 {
			return q.waiting[i].pop(), true
		}
	}
	return queuedEvent{}, false
}

// length is how many events wait.
func (q *eventQueue) length() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.waiting {
		n += q.waiting[i].len()
	}
	return n
}

// oldestArrival is when the request was handed in that waits longest; zero if none waits.
func (q *eventQueue) oldestArrival() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w := &q.waiting[arrivalPriority]; w.len() > 0 {
		return w.events[w.first].since
	}
	return time.Time{}
}

// fifo is events in their order.
type fifo struct {
	events []queuedEvent
	first  int
}

func (f *fifo) len() int { return len(f.events) - f.first }

func (f *fifo) push(ev queuedEvent) { f.events = append(f.events, ev) }

func (f *fifo) pop() queuedEvent {
	ev := f.events[f.first]
	f.events[f.first] = queuedEvent{}
	if f.first++; f.first == len(f.events) {
		f.events, f.first = f.events[:0], 0
	} else if f.first >= fifoSlack && 2*f.first >= len(f.events) { // else a queue that is never empty grows for ever
		f.events = f.events[:copy(f.events, f.events[f.first:])]
		f.first = 0
	}
	return ev
}

// fifoSlack is how many taken events a fifo holds room for before it moves the others to the front.
const fifoSlack = 64
