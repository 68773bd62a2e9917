package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

func TestStartsAreToldInTheNodesTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		s := newServerStarts(clock{start: begun})
		time.Sleep(time.Minute)
		unix := func(d time.Duration) int64 { return begun.Add(d).UnixMilli() }
		for told, want := range map[int64]policy.Time{
			0:                                 0,
			unix(0):                           timeOrigin,
			unix(-2 * time.Second):            timeOrigin - 2*time.Second, // before the node, and still cold
			unix(time.Second):                 timeOrigin + time.Second,
			unix(time.Minute + time.Second/2): timeOrigin + time.Minute, // clocks differ a little
			unix(2 * time.Hour):               timeOrigin + time.Minute, // by no reading of the clocks
			unix(-30 * 24 * time.Hour):        0,
			1:                                 0,
			1<<53 - 1:                         timeOrigin + time.Minute,
		} {
			if got := s.startTime(fmt.Sprint(told), told); got != want {
				t.Errorf("%d: got %v, want %v", told, got, want)
			}
		}
	})
}

// Whichever of the machines' clocks is stepped, and whenever, a server that has just started is taken for that, and one
// that is heard of again keeps its start.
func TestStepsOfTheWallClockMakeNoServerWarm(t *testing.T) {
	const cold = 24 * time.Second
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		for _, registryToo := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c, shift := clock{start: time.Now()}, time.Duration(0)
				s := newServerStarts(c)
				s.wallNow = func() time.Time { return time.Now().Add(shift) }
				time.Sleep(time.Minute)
				first := time.Now().UnixMilli()
				before := s.startTime("s0", first)
				shift = step
				for range 10 {
					s.checkWallClock()
				}
				if len(s.readings) != 2 {
					t.Errorf("a step by %v leaves %d readings", step, len(s.readings))
				}
				told := time.Now()
				if registryToo {
					told = told.Add(step)
				}
				started := c.now()
				time.Sleep(time.Second)
				at := s.startTime("s1", told.UnixMilli())
				if age := c.now() - at; age < 0 || age > cold/2 {
					t.Errorf("step %v, of the registry too %v: a server that started at %v counts as %v old", step, registryToo, started, age)
				}
				if again := s.startTime("s0", first); again != before {
					t.Errorf("a start moved by %v", again-before)
				}
				long := time.Now().Add(-3 * time.Hour).UnixMilli()
				if age := c.now() - s.startTime("s2", long); age < cold {
					t.Errorf("step %v: a server that runs for long counts as %v old", step, age)
				}
			})
		}
	}
}
