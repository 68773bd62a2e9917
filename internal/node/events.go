package node

import (
	"sync"
	"time"

	"cobaltward/internal/discovery"
)

// priority orders the events that wait for the loop: events that restrict attempts precede those that request them.
type priority int

const (
	// controlPriority is for list updates, departures of clients and events of the process itself.
	controlPriority priority = iota
	// outcomePriority is for the outcomes of attempts.
	outcomePriority
	// arrivalPriority is for new requests.
	arrivalPriority
	priorityCount
)

// priorityOf returns an event's priority.
func priorityOf(ev any) priority {
	switch ev.(type) {
	case arrival:
		return arrivalPriority
	case attemptEnd:
		return outcomePriority
	}
	return controlPriority
}

// kindOf returns an event's name in metrics and logs.
func kindOf(ev any) string {
	switch ev.(type) {
	case arrival:
		return "arrival"
	case departure:
		return "departure"
	case attemptEnd:
		return "outcome"
	case receivedUpdate, predecessorList:
		return "list"
	case timerDue:
		return "timer"
	}
	return "other"
}

// receivedUpdate is an update from discovery with a sequence number in the order of receipt. A list that was known at the
// start or taken over from another process has sequence number 0.
type receivedUpdate struct {
	discovery.Update
	sequence   uint64
	receivedAt time.Time // when this process received it; zero: not received from a discovery server
}

// timerDue represents the decision module's timers in the event metrics.
type timerDue struct{}

// queuedEvent is an event with the time at which it was queued.
type queuedEvent struct {
	event    any
	queuedAt time.Time
}

// eventQueue is the loop's queue: events are taken by priority, and in FIFO order within one. It is unbounded, so push
// never blocks: the number of requests is bounded by the client connections, that of outcomes by the attempts, and that
// of the other events by their senders.
type eventQueue struct {
	wake chan struct{} // has one element while events may be queued

	mu     sync.Mutex
	queues [priorityCount]fifo
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// push queues an event and wakes the loop.
func (q *eventQueue) push(ev any) {
	now := time.Now()
	q.mu.Lock()
	q.queues[priorityOf(ev)].push(queuedEvent{ev, now})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop removes and returns the next event, if there is one.
func (q *eventQueue) pop() (queuedEvent, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.queues {
		if q.queues[i].len() > 0 {
			return q.queues[i].pop(), true
		}
	}
	return queuedEvent{}, false
}

// length returns the number of queued events.
func (q *eventQueue) length() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.queues {
		n += q.queues[i].len()
	}
	return n
}

// oldestArrival returns when the longest-waiting request was queued; zero if none waits.
func (q *eventQueue) oldestArrival() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if queue := &q.queues[arrivalPriority]; queue.len() > 0 {
		return queue.events[queue.head].queuedAt
	}
	return time.Time{}
}

// fifo is a first-in, first-out queue of events.
type fifo struct {
	events []queuedEvent
	head   int
}

func (f *fifo) len() int { return len(f.events) - f.head }

func (f *fifo) push(ev queuedEvent) { f.events = append(f.events, ev) }

func (f *fifo) pop() queuedEvent {
	ev := f.events[f.head]
	f.events[f.head] = queuedEvent{}
	if f.head++; f.head == len(f.events) {
		f.events, f.head = f.events[:0], 0
	} else if f.head >= fifoSlack && 2*f.head >= len(f.events) { // a queue that never becomes empty would otherwise grow without bound
		f.events = f.events[:copy(f.events, f.events[f.head:])]
		f.head = 0
	}
	return ev
}

// fifoSlack is how many popped slots a fifo keeps before it moves the remaining events to the front.
const fifoSlack = 64
