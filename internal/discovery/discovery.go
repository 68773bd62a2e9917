// Package discovery keeps the list of servers up to date with long polls, and retries them after failures. The operators'
// pages PROTOCOL and STANDING say when a change of the list counts as delivered to the node, whether or not the node has
// fetched it; the timeouts and pauses below are chosen to fetch it in time. Read Client and its
// Run first, then callOnce.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/field"
	"cobaltward/policy"
)

// A change counts as delivered maxUpdateDelay after discovery has it and is reachable, even if the node's calls failed to
// fetch it, and the drain grace starts at that time. A watch that will never be answered looks like one without changes,
// so every watch ends long before that: the next call needs time as well, since discovery handles calls one by one and
// the watches of all nodes may have stopped being answered at once.
const (
	maxUpdateDelay = 6 * time.Second
	// watchMargin is left for later calls: a watch's mean wait is maxUpdateDelay plus the drain grace less watchMargin.
	watchMargin   = 4400 * time.Millisecond
	callSpacing   = time.Second / 3         // between two nodes' calls; discovery was observed to keep up with it for few nodes
	maxWaitSpread = 3250 * time.Millisecond // maximum difference between the nodes' waits, reached with many nodes
	// answerSlack is added to a watch's wait for its timeout. Answers were observed within 10 ms of the wait, also under the
	// highest load.
	answerSlack = 500 * time.Millisecond
	checkWait   = 300 * time.Millisecond // wait of a call while it isn't known whether discovery is reachable
	callTimeout = 2 * time.Second        // of an urgent call without a wait (see urgent)
	// Timeouts of all other calls without a wait: the first, the increment for each timeout in a row, and the maximum. They
	// are longer, since a call that is abandoned in discovery's queue has to queue again from the end.
	queueTimeout, queueTimeoutStep, maxQueueTimeout = 3 * time.Second, time.Second, 6 * time.Second
	// Timeout from an answer's first byte, when its changes may already count as delivered, to its last. It doubles with
	// each failure in a row, from the base to the maximum.
	baseBodyTimeout = 500 * time.Millisecond
	maxBodyTimeout  = 4 * time.Second
	// batchDelay is a pause before the next call in which changes accumulate, used while they arrive faster than that. With
	// a call for each change, these calls would be most of a node's traffic when a zone is lost. Discovery treats a call
	// within 200 ms of an answer as a continuation of the same watch.
	batchDelay = 100 * time.Millisecond
	// These two bound the wait for the decision module's update request, which comes within 2.25 s of a failed call and
	// within 4 s of the start. Without a bound, a late event loop could delay an update beyond maxUpdateDelay.
	maxUpdateRequestWait      = 2500 * time.Millisecond
	maxFirstUpdateRequestWait = 4500 * time.Millisecond
	backoffMin                = 25 * time.Millisecond
	// backoffMax keeps pauses within the drain grace: a change that the agent of a pushed list holds counts as delivered
	// even while the node pauses after a failed call.
	backoffMax = 200 * time.Millisecond
	// After a move to another address, the changes there count as delivered from moveUpdateDelay on. All nodes may be moved
	// together, so their first calls are spread over time.
	moveUpdateDelay    = 4 * time.Second
	maxMoveSpread      = time.Second
	moveSpacing        = 50 * time.Millisecond
	urgentPauseDivisor = 3 // the longest pause between urgent calls is the time left divided by this
	// maxListSize is the maximum size of an answer in bytes where Config sets no limit. A larger one is rejected.
	maxListSize = 8 << 20
)

// List is the full list of servers, or a delta of it.
type List struct {
	Revision int64
	Complete bool
	Members  []Member
}

// Member is one entry. UpSince is in Unix milliseconds; 0 means long ago.
type Member struct {
	policy.Member
	Addr    string
	UpSince int64
}

var phases = map[string]policy.Availability{
	"up": policy.Running, "draining": policy.Draining, "removed": policy.Removed,
}

// listEntry is one entry in discovery's JSON format.
type listEntry struct {
	ID       string   `json:"id"`
	HostPort string   `json:"host_port"`
	Locality string   `json:"locality"`
	Flavor   string   `json:"flavor"`
	Cell     int64    `json:"cell"`
	Phase    string   `json:"phase"`
	Size     *float64 `json:"size"`
	UpSince  float64  `json:"up_since_ms"`
}

// member validates and converts an entry. Its errors name the field.
func (e listEntry) member() (Member, error) {
	phase, ok := phases[e.Phase]
	switch {
	case e.ID == "":
		return Member{}, errors.New("id: missing")
	case !ok:
		return Member{}, fmt.Errorf("phase: unknown word %q", e.Phase)
	case !(e.UpSince >= 0 && e.UpSince < 1<<53):
		return Member{}, errors.New("up_since_ms: out of range")
	}
	if phase != policy.Removed {
		if err := field.CheckAddress(e.HostPort); err != nil {
			return Member{}, fmt.Errorf("host_port: %w", err)
		}
	}
	m := Member{Addr: e.HostPort, UpSince: int64(e.UpSince), Member: policy.Member{Server: e.ID,
		Zone: e.Locality, Kind: e.Flavor, Cell: e.Cell, Weight: 1, Availability: phase}}
	if e.Size != nil {
		m.Weight = *e.Size
	}
	return m, nil
}

// ParseList parses a list in discovery's JSON format. One invalid entry makes the whole list invalid, since the
// entry left out might be a drain.
func ParseList(raw []byte) (List, error) { return readList(bytes.NewReader(raw)) }

// readList is ParseList for a stream, which it reads to its end. It holds one entry's text at a time.
func readList(from io.Reader) (List, error) {
	dec := json.NewDecoder(from)
	l, err := DecodeList(dec)
	if err == nil {
		err = field.ExpectEOF(dec)
	}
	if err != nil {
		return List{}, err
	}
	return l, nil
}

// DecodeList is ParseList for the next value of a stream.
func DecodeList(from *json.Decoder) (List, error) {
	var l List
	var revision *int64
	var e listEntry // reused for all entries, since it escapes to the heap
	err := field.DecodeObject(from, func(key string) error {
		switch strings.ToLower(key) { // matches keys as json.Unmarshal does
		case "revision":
			return field.Decode(from, key, &revision)
		case "complete":
			return field.Decode(from, key, &l.Complete)
		case "members":
			l.Members = nil // the last of duplicate keys wins, as with json.Unmarshal
			return field.DecodeArray(from, key, func(i int) error {
				e = listEntry{}
				if err := field.DecodeEntry(from, key, i, &e); err != nil {
					return err
				}
				m, err := e.member()
				if err != nil {
					return fmt.Errorf("%s[%d].%w", key, i, err)
				}
				l.Members = append(l.Members, m)
				return nil
			})
		}
		return field.Decode(from, key, new(json.RawMessage))
	})
	if err != nil {
		return List{}, err
	}
	if revision == nil {
		return List{}, errors.New("revision: missing")
	}
	l.Revision = *revision
	return l, nil
}

// Update is a full list or a delta received from discovery, or the report that discovery is unavailable.
type Update struct {
	Kind                policy.ListKind
	Members             []Member
	Revision            int64
	Requested, Received time.Time // start of the call and arrival of its last byte, for the log; zero for a list that no call fetched
}

// Config configures a Client.
type Config struct {
	Addr      string
	Subscribe bool  // watch only at the decision module's request, and report failures to it
	Revision  int64 // of the list that the node holds
	// Node is the node's number and Nodes the number of all nodes, by which calls are spread over time.
	Node, Nodes       int
	Seed              uint64
	DrainGrace        time.Duration // of the rule on drains, from when a drain counts as delivered
	ListRefreshWithin time.Duration // how often a node without a watch must fetch the list; 0: only maxUpdateDelay applies
	MaxListSize       int64         // maximum bytes of one answer, from the memory available for lists; 0: 8 MiB
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client watches the list of servers over a connection of its own. Create one with New.
type Client struct {
	httpClient     *http.Client
	subscribe      bool
	maxSize        int64
	updateRequests chan bool // the decision module's latest update request
	onUpdate       func(Update)

	// Used by Run only.
	addr                string
	revision            int64
	fullList            bool      // the next call fetches the full list, not a delta
	reachabilityUnknown bool      // it isn't known whether discovery is reachable: the next call waits for checkWait only
	updatesDeclined     bool      // the decision module has requested no updates
	failures            int       // failed calls in a row
	timeouts            int       // timeouts in a row, up to the latest failure
	firstFailure        time.Time // time of the first failure in a row
	lastFailure         time.Time // time of the latest failure
	// updateDue is when changes that failed calls may have missed count as delivered; zero if no change may be missing.
	updateDue   time.Time
	updateDelay time.Duration // from when discovery has a change until it counts as delivered, for a node without a watch
	lastCallDue time.Time     // updateDue of the latest call, in case it gets no answer
	// batched is set if a pause of batchDelay followed the last answer; changes in that pause count as delivered at once.
	// answeredQuickly is set if the last call was answered with changes in less than batchDelay.
	batched, answeredQuickly bool
	drainGrace               time.Duration // Config.DrainGrace, which starts at updateDue
	nodes                    int
	rng                      *rand.Rand

	mu          sync.Mutex
	pendingAddr string             // the address to move to, until Run applies it
	interrupt   context.CancelFunc // ends the call in flight or the pause between two calls
}

// New returns a Client, which is idle until Run. It calls onUpdate sequentially.
func New(c Config, onUpdate func(Update)) *Client {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: callTimeout}).DialContext
	}
	d := &Client{
		addr: c.Addr, subscribe: c.Subscribe, maxSize: c.MaxListSize,
		revision: c.Revision, reachabilityUnknown: true, updateRequests: make(chan bool, 1), onUpdate: onUpdate, interrupt: func() {},
		drainGrace: c.DrainGrace, nodes: c.Nodes, updateDelay: maxUpdateDelay,
		rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Node))),
		httpClient: &http.Client{
			// A separate Transport: the connection is shared with neither a proxy nor the requests.
			Transport:     &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if d.maxSize <= 0 {
		d.maxSize = maxListSize
	}
	if c.Subscribe && c.ListRefreshWithin > 0 {
		d.updateDelay = min(d.updateDelay, c.ListRefreshWithin)
	}
	return d
}

// RequestUpdates starts or stops updates at the decision module's request. A newer request replaces one that Run has not
// received yet. It never blocks; only one goroutine may call it.
func (d *Client) RequestUpdates(enabled bool) {
	select {
	case <-d.updateRequests:
	default:
	}
	d.updateRequests <- enabled
}

// Move switches to another address at once, without waiting for the old one, which may never answer.
func (d *Client) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingAddr = addr
	d.interrupt()
}

// applyMove applies a pending move, if any, and returns the context of the next call or pause.
func (d *Client) applyMove(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := d.pendingAddr != ""
	if moved {
		slog.Info("discovery: moved", "address", d.pendingAddr)
		d.addr, d.pendingAddr = d.pendingAddr, ""
		d.fullList = true // revisions of different addresses may not be comparable
		d.httpClient.CloseIdleConnections()
	}
	ctx, d.interrupt = context.WithCancel(ctx)
	return ctx, d.interrupt, moved
}

// Run watches until ctx ends.
func (d *Client) Run(ctx context.Context) {
	defer d.httpClient.CloseIdleConnections()
	watching, backoff := !d.subscribe, time.Duration(0)
	for ctx.Err() == nil {
		callCtx, cancel, moved := d.applyMove(ctx)
		if moved {
			// Call soon, even if the decision module is still waiting to retry the old address.
			now := time.Now()
			watching, backoff, d.failures, d.timeouts = true, 0, 0, 0
			latest := now.Add(moveUpdateDelay)
			for _, due := range []time.Time{d.updateDue, d.lastCallDue} { // calls to the old address may have failed or be unanswered
				if !due.IsZero() && due.Before(latest) {
					latest = due
				}
			}
			d.updateDue = now.Add(moveUpdateDelay)
			spread := min(maxMoveSpread, time.Duration(d.nodes)*moveSpacing)
			pause(callCtx, min(time.Duration(d.rng.Float64()*float64(spread)), latest.Add(d.drainGrace-callTimeout).Sub(now)))
		}
		if d.subscribe {
			watching = d.awaitUpdateRequest(callCtx, watching)
		}
		if watching && callCtx.Err() == nil {
			watching, backoff = d.callOnce(callCtx, backoff)
		}
		cancel()
	}
}

// callOnce makes one call and pauses if it failed. It returns whether to go on watching, and the new backoff.
func (d *Client) callOnce(ctx context.Context, backoff time.Duration) (bool, time.Duration) {
	c := d.planCall()
	d.lastCallDue = c.started.Add(maxUpdateDelay)
	l, err := d.fetchList(ctx, c)
	switch {
	case err == nil:
		d.acceptList(l, c.started)
		quick := c.wait > checkWait && len(l.Members) > 0 && time.Since(c.started) < batchDelay
		if d.batched, d.answeredQuickly = quick && d.answeredQuickly, quick; d.batched { // twice in a row is unlikely to be chance
			pause(ctx, batchDelay)
		}
		return true, 0
	case ctx.Err() != nil: // moved or shut down
		return true, 0
	}
	d.recordFailure(c, err)
	if !d.subscribe { // the last list stays in force, and the failure isn't reported to the decision module
		backoff = nextBackoff(backoff)
		pause(ctx, backoff/2+time.Duration(d.rng.Float64()*float64(backoff/2))) // jitter, so that nodes don't synchronize
		return true, backoff
	}
	if d.urgent() {
		if c.failed { // a call that timed out has waited long enough
			pause(ctx, d.urgentPause())
		}
		return true, 0
	}
	d.updateDue = time.Time{}
	d.onUpdate(Update{Kind: policy.ListUnavailable}) // the decision module decides when to retry
	return false, 0
}

// listCall is the plan and the state of one call for the list.
type listCall struct {
	started       time.Time
	wait, timeout time.Duration // how long discovery may wait for a change, and the timeout until the answer's first byte
	bodyTimeout   time.Duration // timeout from the first byte of the answer to its last
	connected     atomic.Bool   // the call got a connection to discovery
	responseBegan atomic.Bool   // the answer has begun
	timedOut      bool          // it was cancelled after its timeout
	failed        bool          // it failed for another reason
	refused       bool          // discovery answered with an error status
}

// planCall sets the wait and the timeouts of the next call. The waits are random, since a change answers the watches of
// all nodes at the same time: if the next watches are never answered, they neither time out nor are retried all at once.
func (d *Client) planCall() *listCall {
	c := &listCall{started: time.Now(), bodyTimeout: min(maxBodyTimeout, baseBodyTimeout<<min(d.failures, 10))}
	c.timeout = min(maxQueueTimeout, queueTimeout+time.Duration(d.timeouts)*queueTimeoutStep)
	if (d.timeouts == 1 || d.timeouts == 2) && d.urgent() {
		c.timeout = callTimeout
	}
	switch {
	case d.fullList:
	case d.reachabilityUnknown:
		c.wait = checkWait
		c.timeout += c.wait
	default:
		spread := min(maxWaitSpread, time.Duration(d.nodes)*callSpacing)
		mean := maxUpdateDelay + d.drainGrace - watchMargin
		c.wait = max(checkWait, mean+time.Duration((d.rng.Float64()-0.5)*float64(spread))).Truncate(time.Millisecond)
		c.timeout = c.wait + answerSlack
	}
	return c
}

// recordFailure records a failed call, and when the changes that it may have missed count as delivered.
func (d *Client) recordFailure(c *listCall, err error) {
	now := time.Now()
	if d.failures++; d.failures == 1 {
		d.firstFailure = now
		// A watch in progress would have returned all changes up to its end; a call in discovery's queue returns none.
		if d.lastFailure = c.started; !c.refused {
			d.lastFailure = now.Add(-min(now.Sub(c.started), callTimeout))
		}
	}
	if d.timeouts++; !c.timedOut {
		d.timeouts = 0
	}
	d.reachabilityUnknown = true
	// From the second failure on, discovery may have been reachable again since right after the previous one.
	due := d.lastFailure.Add(d.updateDelay)
	switch {
	case c.responseBegan.Load(): // part of the answer arrived, so its changes count as delivered
		due = now
	case !c.connected.Load(): // without a connection, no changes could be delivered
		if due = now.Add(d.updateDelay); d.updateDue.After(now) {
			d.updateDue = due
		}
	case c.timedOut && d.failures == 1:
		due = c.started.Add(maxUpdateDelay)
	}
	if d.batched && due.After(c.started) { // changes during the pause of batchDelay counted as delivered at once
		due = c.started
	}
	d.batched, d.answeredQuickly = false, false
	if d.updateDue.IsZero() || due.Before(d.updateDue) {
		d.updateDue = due
	}
	d.lastFailure = now
	if !d.subscribe && d.failures > 1 {
		return // calls to the agent of a pushed list are retried too often to log each failure
	}
	msg := "discovery: watch failed"
	if c.timedOut {
		msg = "discovery: watch timed out"
	}
	slog.Warn(msg, "after", now.Sub(c.started), "wait", c.wait, "revision", d.revision, "in_a_row", d.failures, "err", err)
}

// urgent reports whether failed calls may have missed changes that can still be fetched within the drain grace.
func (d *Client) urgent() bool { return time.Now().Before(d.updateDue.Add(d.drainGrace)) }

// urgentPause returns a random pause between two urgent calls. Its bound grows with each failure, limited by the time
// left of the drain grace; the jitter keeps nodes from synchronizing.
func (d *Client) urgentPause() time.Duration {
	span := min(time.Until(d.updateDue.Add(d.drainGrace))/urgentPauseDivisor, time.Duration(d.nodes)*callSpacing<<min(d.failures-1, 10))
	return max(backoffMin, time.Duration(d.rng.Float64()*float64(span)))
}

// awaitUpdateRequest takes the decision module's latest update request. It waits for one only while not watching, and for
// at most updateRequestTimeout, unless the module has requested no updates.
func (d *Client) awaitUpdateRequest(ctx context.Context, watching bool) bool {
	if watching {
		select {
		case enabled := <-d.updateRequests:
			d.updatesDeclined = !enabled
			return enabled
		default:
			return true
		}
	}
	var expired <-chan time.Time // nil after a request to stop updates: wait without limit
	if !d.updatesDeclined {
		timer := time.NewTimer(d.updateRequestTimeout())
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case enabled := <-d.updateRequests:
		d.updatesDeclined = !enabled
		return enabled
	case <-expired:
		slog.Warn("discovery: polling, the decision module's update request is overdue", "failed", d.failures)
		return true
	case <-ctx.Done():
		return false
	}
}

// updateRequestTimeout is how long the next call waits for the decision module's update request.
func (d *Client) updateRequestTimeout() time.Duration {
	if d.failures == 0 {
		return maxFirstUpdateRequestWait
	}
	return maxUpdateRequestWait
}

var errTimeout = errors.New("no answer in time")

// fetchList makes one call, which waits for changes after the revision held, or fetches the full list.
func (d *Client) fetchList(ctx context.Context, c *listCall) (_ List, err error) {
	query := url.Values{}
	if !d.fullList {
		query.Set("index", strconv.FormatInt(d.revision, 10))
		query.Set("wait", strconv.FormatInt(c.wait.Milliseconds(), 10))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	defer func() {
		if c.timedOut = err != nil && context.Cause(ctx) == errTimeout; c.timedOut {
			err = errTimeout
		}
		c.failed = err != nil && !c.timedOut
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
		GotFirstResponseByte: func() {
			c.responseBegan.Store(true)
			timer.Reset(c.bodyTimeout)
		},
	})
	target := url.URL{Scheme: "http", Host: d.addr, Path: "/registry/instances", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.responseBegan.Store(false) // an error status carries no changes
		c.refused = true
		return List{}, fmt.Errorf("answered %s", resp.Status)
	}
	timed := &timedReader{src: resp.Body, remaining: c.bodyTimeout, timer: timer}
	body := &io.LimitedReader{R: timed, N: d.maxSize + 1}
	l, err := readList(body)
	switch {
	case timed.err != nil:
		return List{}, timed.err
	case body.N <= 0:
		return List{}, fmt.Errorf("the list is over %d bytes", d.maxSize)
	case err != nil:
		return List{}, fmt.Errorf("malformed list skipped: %w", err)
	}
	if d.fullList && !l.Complete {
		return List{}, errors.New("requested the full list, got a delta")
	}
	return l, nil
}

// timedReader bounds the total time spent waiting for an answer's bytes. Time spent parsing them doesn't count: on a busy
// node, a long list would otherwise look as if discovery had stopped answering.
type timedReader struct {
	src       io.Reader
	remaining time.Duration
	timer     *time.Timer // cancels the call; runs only during reads
	err       error       // last read error other than io.EOF
}

func (t *timedReader) Read(p []byte) (int, error) {
	start := time.Now()
	t.timer.Reset(t.remaining)
	n, err := t.src.Read(p)
	t.timer.Stop()
	t.remaining -= time.Since(start)
	if err != nil && err != io.EOF {
		t.err = err
	}
	return n, err
}

// acceptList records a fetched list and passes it on. An empty delta is passed on only where the decision module awaits
// an answer.
func (d *Client) acceptList(l List, started time.Time) {
	if d.failures > 0 {
		slog.Info("discovery: reachable again", "after", time.Since(d.firstFailure), "failed", d.failures, "revision", l.Revision)
	}
	d.revision, d.fullList, d.reachabilityUnknown, d.failures, d.timeouts, d.updateDue = l.Revision, false, false, 0, 0, time.Time{}
	update := Update{Kind: policy.ListUpdate, Members: l.Members, Revision: l.Revision, Requested: started, Received: time.Now()}
	if l.Complete {
		update.Kind = policy.ListReplace
	}
	if l.Complete || len(l.Members) > 0 || d.subscribe {
		d.onUpdate(update)
	}
}

// nextBackoff returns the pause after one more failure in a row.
func nextBackoff(last time.Duration) time.Duration {
	return min(backoffMax, max(backoffMin, 2*last))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
