// Package invariant implements the rules that requests, attempts and connections of a node must satisfy, as functions of
// facts passed in, and counts denied steps and violations by rule.
//
// The rules are those of the operators' PROTOCOL page and of STANDING.md; docs/promises.md lists the code paths that
// enforce them. Read Rule first, then MayAttempt and the functions like it, then Monitor in monitor.go, which counts.
package invariant

import (
	"time"

	"cobaltward/policy"
)

// Rule is the rule that a step would violate or has violated. None means that the step is allowed.
type Rule int

// The rules. String returns their names in logs and metrics.
const (
	None                  Rule = iota
	AttemptAfterAnswer         // an attempt of a request that has its final answer
	AttemptAfterDeparture      // an attempt whose client has closed its connection
	AttemptAfterDeadline       // an attempt too late for the client's deadline
	TooManyAttempts            // more attempts than limits.maxAttempts
	BodySpent                  // an attempt with a large body that is no longer buffered
	ConcurrentAttempts         // a second attempt in flight where limits.secondCopies is false
	UnsafeRepeat               // a further attempt of a request that may have run and must not run twice
	RepeatOutsideWindow        // a keyed repeat after its window, or to another group of servers
	SendToLeavingServer        // an attempt at a server that is draining or removed
	SendToUnknownServer        // an attempt at a server that isn't in the list
	DeadlineOverstated         // a server was given more time than the client has left
	RefusedAfterEffect         // an answer that promises no effect for a request that may have run
	AnswerLate                 // a final answer after its grace period
	RequestUnanswered          // a connection closed with a request read but not answered
	CloseOverUnreadBytes       // an idle connection closed with received bytes unread
	ReadAfterShutdown          // bytes read from a connection that the node has abandoned
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

// String returns the rule's name in logs and metrics.
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

// Limits used by the rules.
const (
	// DepartureGrace is how long after a client's disconnect an attempt may still start (TERMS).
	DepartureGrace = 100 * time.Millisecond
	// DeadlineSlack is by how much the time given to a server may exceed the time the client has left (TERMS).
	DeadlineSlack = 150 * time.Millisecond
	// MinAttemptTime is the time that a request must have left for an attempt to start: servers are given their time in
	// whole milliseconds, and may silently drop a request with less time than this (STANDING).
	MinAttemptTime = 2 * time.Millisecond
	// AnswerGrace is how long after the client's deadline a final answer still counts as on time (STANDING).
	AnswerGrace = 500 * time.Millisecond
)

// PriorAttempt holds the facts about an earlier attempt of the same request.
type PriorAttempt struct {
	Sent       time.Duration // on the same clock as Attempt.Now
	InFlight   bool          // it has no outcome yet
	MayHaveRun bool          // its outcome, if any, doesn't prove that it never ran
	SameGroup  bool          // the server of the new attempt is in the group that drops repeats of this one
}

// Attempt holds the facts about an attempt when the decision module requests it.
type Attempt struct {
	Now         time.Duration
	Deadline    time.Duration // when the client stops waiting
	Answered    bool          // the request has its final answer
	ClientLeft  bool
	BodySpent   bool // the body was forwarded and is no longer buffered
	MaxAttempts int  // per request; at least one is always allowed
	Hedging     bool // the site allows two concurrent attempts of a request
	Repeat      policy.Repeat
	Window      time.Duration // for policy.Guarded; starts at the first attempt that may have run
	Prior       []PriorAttempt
}

// MayAttempt returns the rule that an attempt would violate now. Callers check it before they open a connection for it.
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

// TimeUp reports whether a request has too little time left for an attempt to start.
func TimeUp(left time.Duration) bool { return left < MinAttemptTime }

// mayRepeat returns the rule on repeated or concurrent attempts that an attempt would violate now. It implements
// rule 2 (no duplicate effects) of the operators' WIRE page; the package comment of policy lists that page's rules.
func mayRepeat(a Attempt) Rule {
	firstRun := -1
	for i, p := range a.Prior {
		if p.InFlight && !a.Hedging {
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

// Write holds the facts about an attempt just before its first byte is written.
type Write struct {
	ClientLeft    bool // by the connection's current state or an earlier observation
	ServerUnknown bool
	ServerLeaving bool
	WindowOver    bool // of a keyed repeat
	TimeUp        bool // nobody waits for the attempt any more, or too little time is left
}

// MayWrite returns the rule that the first byte of an attempt would violate now. Callers check it just before the write,
// since establishing a connection may have taken long.
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

// MaySendTimeLeft returns the rule that giving a server this much time would violate, with the client's time left.
func MaySendTimeLeft(sent, left time.Duration) Rule {
	if sent > left+DeadlineSlack {
		return DeadlineOverstated
	}
	return None
}

// MayRefuse returns the rule that an answer promising that the request had no effect would violate. A keyed request may
// be refused if every server drops its repeats.
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

// CheckAnswerTime returns the rule that a final answer now violates, for a client that stops waiting at the deadline.
func CheckAnswerTime(now, deadline time.Duration) Rule {
	if now > deadline+AnswerGrace {
		return AnswerLate
	}
	return None
}

// Connection holds the facts about a client connection that the node wants to close, other than because the client has
// closed it or because its last answer ends it.
type Connection struct {
	RequestOpen bool // it carries a complete request that isn't answered yet
	ReadAhead   int  // bytes read that belong to a request not accepted yet
	UnreadBytes bool // received data or a close by the client hasn't been read yet
}

// MayClose returns the rule that closing a client's connection would violate now.
func MayClose(c Connection) Rule {
	switch {
	case c.RequestOpen || c.ReadAhead > 0:
		return RequestUnanswered
	case c.UnreadBytes:
		return CloseOverUnreadBytes
	}
	return None
}

// MayRead returns the rule that reading from a connection would violate. Bytes read after the node has abandoned it would
// be a request that is never answered.
func MayRead(abandoned bool) Rule {
	if abandoned {
		return ReadAfterShutdown
	}
	return None
}
