package node

import (
	"time"

	"cobaltward/policy"
)

// clock converts between the monotonic clock and policy.Time.
type clock struct{ start time.Time }

func (c clock) now() policy.Time { return timeOrigin + time.Since(c.start) }

// fromTime converts t to policy.Time, limited to the present.
func (c clock) fromTime(t time.Time) policy.Time { return min(c.now(), timeOrigin+t.Sub(c.start)) }

// toTime converts t from policy.Time.
func (c clock) toTime(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// timer is a timer of the decision module, or a request's deadline timer.
type timer struct {
	due          policy.Time
	token        uint64
	deadlineOf   *request
	heapPosition int // position in the heap, from 0; -1 once it is removed
}

// timerHeap is a heap of timers, ordered by due time.
type timerHeap []*timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapPosition, t[j].heapPosition = i, j
}

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) {
	x.(*timer).heapPosition = len(*t)
	*t = append(*t, x.(*timer))
}

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	removed := (*t)[last]
	removed.heapPosition, (*t)[last] = -1, nil
	*t = (*t)[:last]
	return removed
}
