package node

import (
	"slices"
	"time"

	"cobaltward/internal/faultpoint"
	"cobaltward/policy"
)

const (
	// wallStep is the least difference between two readings of the clocks that counts as a step of the wall clock: slewing
	// and the moment between the two readings make less.
	wallStep = 250 * time.Millisecond
	// mostSteps bounds the readings that are kept, for a wall clock that is stepped time and again.
	mostSteps = 8
	// futureSlack is how far ahead of the wall clock a start may be told: machines' clocks differ a little.
	futureSlack = time.Second
)

// serverStarts turns the starts of servers, told by the wall clock, into the node's own time, which no step of that
// clock moves. Which of the machines' clocks was right before and after a step can't be told here, so a start is taken
// by the reading that makes the server youngest, and no younger than just started: a cold server that is taken for a
// warm one would be pushed over.
type serverStarts struct {
	clock clock
	wall  func() time.Time
	// readings are what the wall clock would have shown at timeOrigin, by each step that was seen; the newest comes last.
	readings []time.Duration // since the Unix epoch
	known    map[string]serverStart
}

// serverStart is a start as it was first understood: it stays what it was, or the server would count as a new process.
type serverStart struct {
	told int64 // Unix milliseconds
	at   policy.Time
}

func newServerStarts(c clock) *serverStarts {
	s := &serverStarts{clock: c, wall: wallClock, known: make(map[string]serverStart)}
	s.read()
	return s
}

func wallClock() time.Time { return time.Now().Add(faultpoint.WallStep()) }

// read looks whether the wall clock was stepped.
func (s *serverStarts) read() {
	atOrigin := time.Duration(s.wall().UnixNano()) - s.clock.now()
	same := func(reading time.Duration) bool { return (reading - atOrigin).Abs() < wallStep }
	if slices.ContainsFunc(s.readings, same) {
		return
	}
	if s.readings = append(s.readings, atOrigin); len(s.readings) > mostSteps {
		s.readings = slices.Delete(s.readings, 1, 2) // the first is of the node's own start
	}
}

// of is when a server started by what the list tells, in Unix milliseconds; 0 stays 0, which is long ago.
func (s *serverStarts) of(server string, told int64) policy.Time {
	if told == 0 {
		return 0
	}
	if known, ok := s.known[server]; ok && known.told == told {
		return known.at
	}
	s.read()
	now, at := s.clock.now(), policy.Time(0)
	plausible := false
	for _, atOrigin := range s.readings {
		start := sinceOrigin(told, atOrigin)
		if start > now+futureSlack {
			continue
		}
		plausible = true
		at = max(at, start)
	}
	if !plausible || at > now { // by no reading, or a little ahead
		at = now
	}
	s.known[server] = serverStart{told, at}
	return at
}

// sinceOrigin is a moment in Unix milliseconds on the node's clock: 0 where it lies before the origin, which is long ago.
func sinceOrigin(told int64, atOrigin time.Duration) policy.Time {
	most := int64(1) << 62 / int64(time.Millisecond) // so that no start overflows
	return max(0, time.Duration(min(told, most))*time.Millisecond-atOrigin)
}

// forget drops a server that is gone.
func (s *serverStarts) forget(server string) { delete(s.known, server) }
