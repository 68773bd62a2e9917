package node

import (
	"slices"
	"time"

	"cobaltward/internal/faultpoint"
	"cobaltward/policy"
)

const (
	// minWallStep is the least difference between two readings that counts as a step of the wall clock: slewing, and the
	// delay between reading the wall clock and the node's own, cause smaller ones.
	minWallStep = 250 * time.Millisecond
	// maxReadings limits the readings that are kept if the wall clock is stepped repeatedly.
	maxReadings = 8
	// maxFutureSkew is how far a reported start may be ahead of the wall clock: machines' clocks differ slightly.
	maxFutureSkew = time.Second
)

// serverStarts converts start times of servers, reported by the wall clock, to the node's own clock, which isn't
// affected by steps of the wall clock. The node can't tell which machine's clock was right before and after a step, so it
// uses the reading that makes the server youngest, but never a start in the future: a cold server that is taken for a
// warm one would be overloaded.
type serverStarts struct {
	clock   clock
	wallNow func() time.Time
	// readings are the wall clock's values at the clock's origin, one for each step that was seen, the newest last.
	readings []time.Duration // since the Unix epoch
	known    map[string]serverStart
}

// serverStart is a start as it was first converted. It is kept, since with a different start time the server would be
// taken for a new process.
type serverStart struct {
	reported int64 // Unix milliseconds
	at       policy.Time
}

func newServerStarts(c clock) *serverStarts {
	s := &serverStarts{clock: c, wallNow: wallClock, known: make(map[string]serverStart)}
	s.checkWallClock()
	return s
}

func wallClock() time.Time { return time.Now().Add(faultpoint.WallOffset()) }

// checkWallClock adds a reading if the wall clock was stepped.
func (s *serverStarts) checkWallClock() {
	atOrigin := time.Duration(s.wallNow().UnixNano()) - s.clock.now()
	same := func(reading time.Duration) bool { return (reading - atOrigin).Abs() < minWallStep }
	if slices.ContainsFunc(s.readings, same) {
		return
	}
	if s.readings = append(s.readings, atOrigin); len(s.readings) > maxReadings {
		s.readings = slices.Delete(s.readings, 1, 2) // keep the first, from the node's own start
	}
}

// startTime returns when a server started, from a reported time in Unix milliseconds; 0 stays 0, which means long ago.
func (s *serverStarts) startTime(server string, reported int64) policy.Time {
	if reported == 0 {
		return 0
	}
	if known, ok := s.known[server]; ok && known.reported == reported {
		return known.at
	}
	s.checkWallClock()
	now, at := s.clock.now(), policy.Time(0)
	plausible := false
	for _, atOrigin := range s.readings {
		start := sinceOrigin(reported, atOrigin)
		if start > now+maxFutureSkew {
			continue
		}
		plausible = true
		at = max(at, start)
	}
	if !plausible || at > now { // no reading is plausible, or the start is slightly ahead
		at = now
	}
	s.known[server] = serverStart{reported, at}
	return at
}

// sinceOrigin converts Unix milliseconds to the node's clock: 0 if before the clock's origin, which means long ago.
func sinceOrigin(reported int64, atOrigin time.Duration) policy.Time {
	limit := int64(1) << 62 / int64(time.Millisecond) // so that the multiplication can't overflow
	return max(0, time.Duration(min(reported, limit))*time.Millisecond-atOrigin)
}

// forget removes a server that has left the list.
func (s *serverStarts) forget(server string) { delete(s.known, server) }
