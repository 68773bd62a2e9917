package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

func TestServerStartIsConvertedToTheNodeClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodeStart := time.Now()
		starts := newServerStarts(clock{start: nodeStart})
		time.Sleep(time.Minute)
		unix := func(d time.Duration) int64 { return nodeStart.Add(d).UnixMilli() }
		for reported, want := range map[int64]policy.Time{
			0:                                 0,
			unix(0):                           timeOrigin,
			unix(-2 * time.Second):            timeOrigin - 2*time.Second, // started before the node, and still cold
			unix(time.Second):                 timeOrigin + time.Second,
			unix(time.Minute + time.Second/2): timeOrigin + time.Minute, // machines' clocks differ slightly
			unix(2 * time.Hour):               timeOrigin + time.Minute, // in the future by every clock reading
			unix(-30 * 24 * time.Hour):        0,
			1:                                 0,
			1<<53 - 1:                         timeOrigin + time.Minute,
		} {
			if got := starts.startTime(fmt.Sprint(reported), reported); got != want {
				t.Errorf("%d: got %v, want %v", reported, got, want)
			}
		}
	})
}

// A step of the wall clock, on the node alone or on the registry too, must not make a server that has just started look
// warm, nor change the start time of a server that is reported again.
func TestWallClockStepsMakeNoServerWarm(t *testing.T) {
	const cold = 24 * time.Second
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		for _, registryStepped := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c, shift := clock{start: time.Now()}, time.Duration(0)
				starts := newServerStarts(c)
				starts.wallNow = func() time.Time { return time.Now().Add(shift) }
				time.Sleep(time.Minute)
				first := time.Now().UnixMilli()
				before := starts.startTime("s0", first)
				shift = step
				for range 10 {
					starts.checkWallClock()
				}
				if len(starts.readings) != 2 {
					t.Errorf("after a step by %v there are %d readings, want 2", step, len(starts.readings))
				}
				reported := time.Now()
				if registryStepped {
					reported = reported.Add(step)
				}
				started := c.now()
				time.Sleep(time.Second)
				startedAt := starts.startTime("s1", reported.UnixMilli())
				if age := c.now() - startedAt; age < 0 || age > cold/2 {
					t.Errorf("step %v, registry stepped too %v: a server that started at %v counts as %v old", step, registryStepped, started, age)
				}
				if again := starts.startTime("s0", first); again != before {
					t.Errorf("the known start time moved by %v", again-before)
				}
				longAgo := time.Now().Add(-3 * time.Hour).UnixMilli()
				if age := c.now() - starts.startTime("s2", longAgo); age < cold {
					t.Errorf("step %v: a server that started 3 h ago counts as %v old", step, age)
				}
			})
		}
	}
}
