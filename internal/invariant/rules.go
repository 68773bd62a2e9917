// Package invariant holds the rules that requests, attempts and connections of a node have to keep, as functions of facts
// that are handed in, and counts how often a rule denied a step and how often one was found broken.
//
// The rules are those of the operators' PROTOCOL page and of STANDING.md; docs/promises.md lists the paths that keep them.
package invariant

import (
	"time"

	"cobaltward/policy"
)

// Rule names what a step would break, or has broken. None stands for a step that is allowed.
type Rule int

// The rules. Their names in logs and metrics are given by String.
const (
	None                  Rule = iota
	AttemptAfterAnswer         // an attempt of a request that has its final answer
	AttemptAfterDeparture      // an attempt whose client has closed its connection
	AttemptAfterDeadline       // an attempt that nobody waits for any more
	TooManyAttempts            // more attempts than limits.maxAttempts
	BodySpent                  // an attempt of a large body that is not held any more
	ConcurrentAttempts         // a second attempt out where limits.secondCopies is false
	UnsafeRepeat               // a further attempt of what may have run and must not run twice
	RepeatOutsideWindow        // a keyed repeat after its window, or to another group of servers
	SendToLeavingServer        // an attempt at a server that drains or is gone
	SendToUnknownServer        // an attempt at a server that the list does not name
	DeadlineOverstated         // a server told more time than the client has left
	RefusedAfterEffect         // a promise of no effect for what may have run
	AnswerLate                 // a final answer later than its grace
	RequestUnanswered          // a connection ended over a request that was read
	CloseOverUnreadBytes       // a connection at rest closed though bytes had come
	ReadAfterShutdown          // bytes read from a connection that the node has given up
	ruleCount
)

var ruleNames = [ruleCount]string{
	None: "none", AttemptAfterAnswer: "attempt_after_answer", AttemptAfterDeparture: "attempt_after_departure",
	AttemptAfterDeadline: "attempt_after_deadline", TooManyAttempts: "too_many_attempts", BodySpent: "body_spent",
	ConcurrentAttempts: "concurrent_attempts", UnsafeRepeat: "unsafe_repeat",
	RepeatOutsideWindow: "repeat_outside_window", SendToLeavingServer: "send_to_leaving_server",
	SendToUnknownServer: "send_to_unknown_server", DeadlineOverstated: "deadline_overstated",
	RefusedAfterEffect: "refused_after_effect", AnswerLate: "answer_late", RequestUnanswered: "request_unanswered",
	CloseOverUnreadBytes: "close_over_unread_bytes", ReadAfterShutdown: "read_after_shutdown",
}

// String is the rule's name in logs and metrics.
func (r Rule) String() string {
	if r >= 0 && r < ruleCount {
		return ruleNames[r]
	}
	return "unknown"
}

// Rules returns all rules but None.
func Rules() []Rule {
	all := make([]Rule, 0, ruleCount-1)
	for r := None + 1; r < ruleCount; r++ {
		all = append(all, r)
	}
	return all
}

// Figures of the rules.
const (
	// DepartureGrace is how long after a client's close an attempt may still begin (TERMS).
	DepartureGrace = 100 * time.Millisecond
	// DeadlineSlack is by how much a server may be told more time than the client has left (TERMS).
	DeadlineSlack = 150 * time.Millisecond
	// LeastAttempt is how much of a request's time has to be left for an attempt to begin: servers are told whole
	// milliseconds, and may drop what has less without a word (STANDING).
	LeastAttempt = 2 * time.Millisecond
	// AnswerGrace is how long after the client's time a final answer is still one (STANDING).
	AnswerGrace = 500 * time.Millisecond
)

// PriorAttempt is what is known of an attempt that was made before, of the same request.
type PriorAttempt struct {
	Sent       time.Duration // on the clock of Attempt.Now
	Out        bool          // it has no outcome yet
	MayHaveRun bool          // no outcome proves that it never ran
	SameGroup  bool          // the server of the further attempt drops repeats of this one
}

// Attempt is what is known as the decision module asks for an attempt.
type Attempt struct {
	Now         time.Duration
	Deadline    time.Duration // when the client stops waiting
	Answered    bool          // the request has its final answer
	ClientLeft  bool
	BodySpent   bool // the body has gone on, and is not held any more
	MaxAttempts int  // of one request; at least one is allowed
	Hedging     bool // the site allows two attempts of a request at once
	Repeat      policy.Repeat
	Window      time.Duration // for policy.Guarded, from the first attempt that may have run
	Prior       []PriorAttempt
}

// MayAttempt tells which rule an attempt would break now. It is asked before anything is opened for it.
func MayAttempt(a Attempt) Rule {
	switch {
	case a.Answered:
		return AttemptAfterAnswer
	case a.ClientLeft:
		return AttemptAfterDeparture
	case a.BodySpent:
		return BodySpent
	case TimeUp(a.Deadline - a.Now):
		return AttemptAfterDeadline
	case len(a.Prior) >= max(1, a.MaxAttempts):
		return TooManyAttempts
	}
	return mayRepeat(a)
}

// TimeUp tells whether so little is left of a request's time that no attempt may begin.
func TimeUp(left time.Duration) bool { return left < LeastAttempt }

// mayRepeat holds the second rule of the contract (WIRE, no duplicate effect).
func mayRepeat(a Attempt) Rule {
	firstRun := -1
	for i, p := range a.Prior {
		if p.Out && !a.Hedging {
			return ConcurrentAttempts
		}
		if p.MayHaveRun && firstRun < 0 {
			firstRun = i
		}
	}
	if firstRun < 0 || a.Repeat == policy.Free {
		return None
	}
	first := a.Prior[firstRun]
	switch {
	case a.Repeat == policy.Never:
		return UnsafeRepeat
	case !first.SameGroup || a.Now >= first.Sent+a.Window:
		return RepeatOutsideWindow
	}
	return None
}

// Write is what is known as the first byte of an attempt is about to be written.
type Write struct {
	ClientLeft    bool // by the connection's state just now, or by what was noticed before
	ServerUnknown bool
	ServerLeaving bool
	WindowOver    bool // of a keyed repeat
	TimeUp        bool // nobody waits any more
}

// MayWrite tells which rule the first byte of an attempt would break now. It is asked just before the write, for a
// connection may have taken long to come up.
func MayWrite(w Write) Rule {
	switch {
	case w.ServerUnknown:
		return SendToUnknownServer
	case w.ClientLeft:
		return AttemptAfterDeparture
	case w.ServerLeaving:
		return SendToLeavingServer
	case w.WindowOver:
		return RepeatOutsideWindow
	case w.TimeUp:
		return AttemptAfterDeadline
	}
	return None
}

// MayTell tells whether a server may be told that the client waits for that long, when so much is left of its time.
func MayTell(told, left time.Duration) Rule {
	if told > left+DeadlineSlack {
		return DeadlineOverstated
	}
	return None
}

// MayRefuse tells whether a request may be answered with the promise that it had no effect. A keyed one may be while
// every server drops its repeats.
func MayRefuse(repeat policy.Repeat, group policy.Group, prior []PriorAttempt) Rule {
	if repeat == policy.Free || repeat == policy.Guarded && group == policy.GroupAll {
		return None
	}
	for _, p := range prior {
		if p.MayHaveRun {
			return RefusedAfterEffect
		}
	}
	return None
}

// InTime tells whether a final answer given now is one, for a client that stops waiting at the deadline.
func InTime(now, deadline time.Duration) Rule {
	if now > deadline+AnswerGrace {
		return AnswerLate
	}
	return None
}

// Connection is what is known of a client's connection that is to be closed, though neither its client nor an answer
// ends it.
type Connection struct {
	RequestOpen bool // a whole request in it has no answer yet
	ReadAhead   int  // bytes that were read, and belong to a request that was not taken up
	UnreadBytes bool // something has come that nobody has read, or its client has ended it
}

// MayClose tells which rule closing a client's connection would break now.
func MayClose(c Connection) Rule {
	switch {
	case c.RequestOpen || c.ReadAhead > 0:
		return RequestUnanswered
	case c.UnreadBytes:
		return CloseOverUnreadBytes
	}
	return None
}

// MayRead tells whether bytes may be read from a connection. What is read after the node has given it up would be a
// request that is never answered.
func MayRead(givenUp bool) Rule {
	if givenUp {
		return ReadAfterShutdown
	}
	return None
}
