// Package policy decides, for one node of a reverse proxy, which requests to admit, which server gets each
// attempt, and when to retry, hedge, refuse or fail. It is an event-driven state machine: time and the random
// seed are passed in, and it starts no goroutines and does no I/O.
//
// Read this file first, the interface (settings, events, actions), then Handle in balancer.go, which passes
// each event on, and then one of the files that decide: admission.go, routing.go, attempts.go, connections.go,
// outcomes.go, outlier.go, slowstart.go and membership.go.
//
// Comments refer to rules by number. Rules 1 to 4 are those of the operators' WIRE page, section "The contract".
// Rules 5 and 6 are limits that the settings state (Class.Kinds and Class.Zones, Rules.AttemptBudget).
//
//  1. No lost requests: each request that a node took gets one final answer, in time, unless its client has left.
//  2. No duplicate effects: a request that may have run is only repeated where duplicates are dropped or harmless.
//  3. Graceful drain: a draining server gets no more attempts once the drain grace is over.
//  4. Safe fail-back: a server that has just started gets its load back gradually (slow start).
//  5. Placement: a class bound to zones or kinds of server is sent nowhere else.
//  6. Attempt budget: attempts beyond the first of each request are limited to a budget.
package policy

import (
	"fmt"
	"time"
)

// Time is a moment on the host's monotonic clock, measured from any fixed origin.
type Time = time.Duration

// Repeat says whether a request of a class may be sent again once it may have run.
type Repeat uint8

// The zero value is the strictest: requests of an unknown class are never repeated.
const (
	Never   Repeat = iota // must not run twice
	Guarded               // a group of servers drops repeats within a window
	Free                  // safe to repeat
)

// Group names the servers that drop the repeats of a Guarded request.
type Group uint8

// The zero value is the narrowest group.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Class describes one class of requests.
type Class struct {
	Name       string
	Aim        time.Duration // latency target: an answer within it earns the full worth
	AimStretch float64       // Aim grows by this multiple of the request's own work; 0 for none
	Deadline   time.Duration // how long a client waits in total, over all its tries
	Repeat     Repeat
	Group      Group         // for Guarded
	Window     time.Duration // for Guarded: counted from the first attempt that may have run
	LateWorth  float64       // fraction of the worth that remains between Aim and Deadline
	Worth      float64
	Stream     bool     // the answer is a stream, announced by FirstByte
	Kinds      []string // kinds of server it may be sent to; empty for any
	Zones      []string // zones it may be sent to; empty for any
}

// Tenant is a customer and its agreed part of the service, over all nodes.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, summed over all nodes
	Share float64 // fraction of the service, 0 to 1
}

// Limit is a rate limit: PerWindow requests per Window, plus a burst.
type Limit struct {
	PerWindow float64
	Window    time.Duration
	Burst     int64
}

// RateLimits holds the limits that apply to every tenant. All are optional.
type RateLimits struct {
	Default  *Limit           // for tenants without a quota; nil: the smallest quota, or no limit
	PerClass map[string]Limit // overrides by class; each tenant has a separate bucket for such a class
	Max      float64          // upper bound of PerWindow and Burst; 0 for none
}

// Allowed says what the site permits a node to do.
type Allowed struct {
	Cancel, Hedge, Probe, Peers, RetryAfter bool
	MaxAttempts                             int           // per request; 0 counts as 1
	MaxRetryAfter                           time.Duration // longest Retry-After that clients observe
	ConnIdle                                time.Duration // idle connections are closed after this time; 0 if unknown
}

// AttemptBudget limits a node's attempts beyond the first of each request: in any Span there are at most
// MinExtra plus ExtraShare times the requests that the node received in it.
type AttemptBudget struct {
	MinExtra   float64
	ExtraShare float64
	Span       time.Duration
}

// Rules holds the parameters of the operators' rules (see the package comment).
type Rules struct {
	AnswerGrace       time.Duration  // a final answer is still in time this long after the deadline
	DrainGrace        time.Duration  // a node must stop sending to a draining server within this time
	ColdShare         float64        // a server starts with at least this fraction of its capacity
	ColdFor           time.Duration  // and is warm within this time
	OverloadMultiple  float64        // a cold server fails if it is sent more than this multiple of its present capacity
	OverloadFor       time.Duration  // for this long
	ListRefreshWithin time.Duration  // a node without a subscription must fetch the list this often
	AttemptBudget     *AttemptBudget // limits extra attempts; nil if the site states no budget
}

// Settings configures a node at its start.
type Settings struct {
	Node, Nodes int // this node's number, from 0, and the number of nodes
	Zone        string
	Classes     []Class
	Tenants     []Tenant
	Limits      RateLimits
	Allowed     Allowed
	Rules       Rules
	Subscribe   bool // the list of servers must be requested
	WarmKeys    bool // a server that recently served a key serves it again with less work
	WorthByWork bool // worth counts per unit of work, not per request
	// Report names the values in load reports, in order.
	Report []string
}

// Availability is the state of a server's process according to the list.
type Availability uint8

// States of a listed server.
const (
	Running Availability = iota
	Draining
	Removed
)

// Member is one entry of the list of servers.
type Member struct {
	Server       string
	Zone         string
	Kind         string
	Cell         int64
	Weight       float64
	OnlineSince  Time // when its process started; 0: long ago
	Availability Availability
}

// Event is an input of Balancer.Handle: one of the types below.
type Event any

// ListKind says how to read a MemberList.
type ListKind uint8

// Kinds of MemberList.
const (
	ListReplace     ListKind = iota // the full list
	ListUpdate                      // only the changed entries
	ListRestored                    // the full list as last seen, possibly stale
	ListUnavailable                 // a call failed or the subscription dropped; no entries
)

// MemberList is an update of the list of servers. Members may be shared between nodes and must not be
// modified.
type MemberList struct {
	Kind    ListKind
	Members []Member
}

// Request is a client's request. The node must give it exactly one final answer.
type Request struct {
	ID, Class, Tenant, Key string
	ExpiresIn              time.Duration // until the client gives up this try
	CostHint               time.Duration // estimated cost in core time; 0 if unknown
	Retry, Write           bool
}

// FirstByte reports that a streamed answer has begun: from now on this attempt answers the client.
type FirstByte struct {
	ID, Server string
	Attempt    int
	Latency    time.Duration
}

// Code is the outcome of an attempt.
type Code uint8

// Outcome codes. NotRun tells which of them prove that the request never ran.
const (
	OK Code = iota
	ServerError
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

var codeNames = [...]string{OK: "ok", ServerError: "error", Full: "full", TimedOut: "timeout",
	ConnectFailed: "connect failed", Reset: "reset", Cancelled: "cancelled", NotSent: "moot"}

// String returns the code's name in logs.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("code %d", uint8(c))
}

// NotRun reports whether the code proves that the request never ran.
func (c Code) NotRun() bool { return c == Full || c == ConnectFailed || c == NotSent }

// Outcome reports the end of an attempt. Ended is set if the request has its final answer.
type Outcome struct {
	ID, Server string
	Attempt    int
	Code       Code
	Latency    time.Duration
	Ended      bool
	Report     []float64 // load report in the order of Settings.Report; nil for none
}

// ClientGone reports that the client has left; no answer is due any more.
type ClientGone struct{ ID string }

// ProcessCount reports how many processes this node has: two during an upgrade, which share one's limits.
type ProcessCount struct{ N int }

// Timer reports that a timer has expired.
type Timer struct{ Token uint64 }

// ProbeResult reports the end of a Probe.
type ProbeResult struct {
	Server  string
	Code    Code
	Latency time.Duration
	Report  []float64
}

// PeerMessage is a message from another node; it may be lost, old or corrupt.
type PeerMessage struct {
	From int
	Body string
}

// ActionKind says what an Action does.
type ActionKind uint8

// Kinds of actions; the comments name the fields of Action that they use.
const (
	Send       ActionKind = iota // ID, Server, Until, By
	Refuse                       // ID, Wait: the client may safely retry after it; Text: the reason, for the log
	Fail                         // ID: without a promise that a retry is safe; Text as for Refuse
	Cancel                       // ID, Attempt
	SetTimer                     // Wait, Token
	Probe                        // Server
	SendToPeer                   // Peer (-1 for all), Text
	CloseIdle                    // Server
	Log                          // Text
	WatchList                    // On
	FetchList                    // no fields
)

// Action is something that the node is to do now.
type Action struct {
	Kind    ActionKind
	ID      string
	Server  string
	Until   Time // when the attempt times out; 0: at the client's deadline
	By      Time // latest time at which the attempt may go out; 0: no limit
	Wait    time.Duration
	Token   uint64
	Attempt int
	Peer    int
	Text    string
	On      bool
}
