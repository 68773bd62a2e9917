// Package discovery follows the list of servers: it watches, asks again after failures, and keeps to the time
// from which news counts as told (PROTOCOL and STANDING of the operators' pages).
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

// Whatever discovery has counts as told newsLatest after it could be reached, whichever call failed to bring it,
// and the rule on drains runs from then. A watch that has fallen silent looks like one that has nothing to tell. So
// it is given up long before that, for the next call needs time as well: discovery handles calls in turn, and all
// watches of the fleet may have fallen silent together.
const (
	newsLatest  = 6 * time.Second
	watchRoom   = 4400 * time.Millisecond // of that and the grace, which a watch's mean wait leaves to later calls
	callsApart  = time.Second / 3         // time between two nodes' calls that discovery was seen to keep up with where nodes are few,
	watchSpread = 3250 * time.Millisecond // and the most that the waits of many differ by
	lateAnswer  = 500 * time.Millisecond  // after its wait; answers were seen to come within 10 ms, on the busiest days as well
	checkWait   = 300 * time.Millisecond
	callLimit   = 2 * time.Second // for an answer that has nothing to wait for, while news counts as told soon
	// Else discovery may take its time: a call that is given up in its queue has to wait from the end again.
	queueLimit, queueMore, queueMost = 3 * time.Second, time.Second, 6 * time.Second // at first, for each one given up, at most
	bodyLimit                        = 500 * time.Millisecond                        // from an answer's first byte to its last: what it tells may count from the first
	bodyMost                         = 4 * time.Second                               // the same, after such failures in a row
	// gatherFor is how long changes gather before the next call while they come faster than that: a call for each would
	// be most of what a node says when a zone is lost. Discovery takes the watch for the same up to 200 ms after its answer.
	gatherFor = 100 * time.Millisecond
	// wishLatest is how long a call is put off for want of the module's wish, which comes within 2.25 s of a failed call and
	// within 4 s of the start: the promise of newsLatest is not the loop's alone to keep, for that may be late.
	wishLatest      = 2500 * time.Millisecond
	firstWishLatest = 4500 * time.Millisecond
	backoffMin      = 25 * time.Millisecond
	// backoffMax guards the rule on drains: what a pushed list's agent has counts as told, also while
	// the node pauses after a failed call.
	backoffMax = 200 * time.Millisecond
	// After a move, news counts as told from movedSlack on. All nodes may be told of it together.
	movedSlack  = 4 * time.Second
	movedSpread = time.Second
	movedApart  = 50 * time.Millisecond
	urgentPart  = 3 // of the time that is left, between calls for what counts as told soon
	// maxListSize is the most bytes of one answer where Config names no figure. A longer one isn't a list.
	maxListSize = 8 << 20
)

// List is the whole list of servers, or what changed in it.
type List struct {
	Revision int64
	Complete bool
	Members  []Member
}

// Member is one entry; UpSince is in Unix milliseconds, and 0 means long ago.
type Member struct {
	policy.Member
	Addr    string
	UpSince int64
}

var phases = map[string]policy.Availability{
	"up": policy.Running, "draining": policy.Draining, "removed": policy.Removed,
}

// listEntry is one entry of discovery's form.
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

// member checks an entry. Its errors name the field.
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

// ParseList reads discovery's form. A list with one bad entry is bad as a whole: what it would
// otherwise leave out might be a drain.
func ParseList(raw []byte) (List, error) { return readList(bytes.NewReader(raw)) }

// readList is ParseList of all that comes from a stream. It holds one entry's text at a time.
func readList(from io.Reader) (List, error) {
	dec := json.NewDecoder(from)
	l, err := DecodeList(dec)
	if err == nil {
		err = field.End(dec)
	}
	if err != nil {
		return List{}, err
	}
	return l, nil
}

// DecodeList is ParseList of the next value of a stream.
func DecodeList(from *json.Decoder) (List, error) {
	var l List
	var revision *int64
	var e listEntry // one for all, since it is on the heap
	err := field.Object(from, func(key string) error {
		switch strings.ToLower(key) { // as json.Unmarshal finds them
		case "revision":
			return field.Decode(from, key, &revision)
		case "complete":
			return field.Decode(from, key, &l.Complete)
		case "members":
			l.Members = nil // of two, the last counts, as with json.Unmarshal
			return field.Array(from, key, func(i int) error {
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

// News is what discovery has to tell.
type News struct {
	Kind         policy.ListKind
	Members      []Member
	Revision     int64
	Asked, Heard time.Time // the call and its last byte, for the log; zero for a list that no call brought
}

// Config is what a Client goes by.
type Config struct {
	Addr      string
	Subscribe bool  // watch only when asked to, and tell of failures
	Revision  int64 // of the list that the node has
	// Node is the node's number, and Nodes how many there are: their calls are spread.
	Node, Nodes int
	Seed        uint64
	DrainGrace  time.Duration // of the rule on drains, from when news counts as told
	AskWithin   time.Duration // in which a node without a watch has to ask; 0: the pages' figure alone
	MaxListSize int64         // bytes of one answer, by the memory that there is for lists; 0: 8 MiB
	// Dial opens connections; nil: over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client watches the list of servers from a connection of its own. Make one with New.
type Client struct {
	client    *http.Client
	subscribe bool
	maxSize   int64
	asks      chan bool // the module's newest wish to be kept told
	tell      func(News)

	// Only Run touches these.
	addr     string
	revision int64
	whole    bool      // the next call asks for the whole list
	unsure   bool      // whether discovery hears this node: the next call waits for a moment only
	declined bool      // the module wishes to be told nothing
	failed   int       // calls in a row
	silent   int       // of these, the last ones that were given up
	since    time.Time // the first of these
	last     time.Time // the last
	// due is when news that failed calls may have missed counts as told; zero where none is known to be.
	due    time.Time
	within time.Duration // news counts so long after discovery had it, for a node without a watch
	open   time.Time     // the same of the last call, were it silent
	// gathered tells that the last answer was followed by a pause, in which what changed counts as told; quick that the
	// call before was answered with changes sooner than they gather.
	gathered, quick bool
	grace           time.Duration // of the rule on drains, from then on
	nodes           int
	rng             *rand.Rand

	mu        sync.Mutex
	moved     string             // the address to go on at, until Run has taken it up
	interrupt context.CancelFunc // ends the call in flight, or the pause between two
}

// New returns a Client, which does nothing before Run. It hands its news to tell, one after the other.
func New(c Config, tell func(News)) *Client {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: callLimit}).DialContext
	}
	d := &Client{
		addr: c.Addr, subscribe: c.Subscribe, maxSize: c.MaxListSize,
		revision: c.Revision, unsure: true, asks: make(chan bool, 1), tell: tell, interrupt: func() {},
		grace: c.DrainGrace, nodes: c.Nodes, within: newsLatest,
		rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Node))),
		client: &http.Client{
			// A Transport of its own, so neither a proxy nor the requests share its connection.
			Transport:     &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if d.maxSize <= 0 {
		d.maxSize = maxListSize
	}
	if c.Subscribe && c.AskWithin > 0 {
		d.within = min(d.within, c.AskWithin)
	}
	return d
}

// Ask passes the module's wish to be kept told on; a newer one takes the place of one not yet heard. One goroutine
// calls it, and it never blocks.
func (d *Client) Ask(on bool) {
	select {
	case <-d.asks:
	default:
	}
	d.asks <- on
}

// Move goes on at another address at once: what the old one still has to say may never come.
func (d *Client) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moved = addr
	d.interrupt()
}

// settle takes up a move, if there was one, and returns what the next call or pause runs under.
func (d *Client) settle(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := d.moved != ""
	if moved {
		slog.Info("discovery: moved", "address", d.moved)
		d.addr, d.moved = d.moved, ""
		d.whole = true // revisions of another address need not compare
		d.client.CloseIdleConnections()
	}
	ctx, d.interrupt = context.WithCancel(ctx)
	return ctx, d.interrupt, moved
}

// Run watches until ctx ends.
func (d *Client) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	watching, backoff := !d.subscribe, time.Duration(0)
	for ctx.Err() == nil {
		call, cancel, moved := d.settle(ctx)
		if moved {
			// At once, or nearly, even where the module waits to call the old address again.
			now := time.Now()
			watching, backoff, d.failed, d.silent = true, 0, 0, 0
			latest := now.Add(movedSlack)
			for _, missed := range []time.Time{d.due, d.open} { // what was left may have failed, or been silent
				if !missed.IsZero() && missed.Before(latest) {
					latest = missed
				}
			}
			d.due = now.Add(movedSlack)
			spread := min(movedSpread, time.Duration(d.nodes)*movedApart)
			pause(call, min(time.Duration(d.rng.Float64()*float64(spread)), latest.Add(d.grace-callLimit).Sub(now)))
		}
		if d.subscribe {
			watching = d.heed(call, watching)
		}
		if watching && call.Err() == nil {
			watching, backoff = d.turn(call, backoff)
		}
		cancel()
	}
}

// turn makes one call, and pauses after one that failed.
func (d *Client) turn(ctx context.Context, backoff time.Duration) (bool, time.Duration) {
	c := d.plan()
	d.open = c.asked.Add(newsLatest)
	l, err := d.watch(ctx, c)
	switch {
	case err == nil:
		d.learn(l, c.asked)
		quick := c.wait > checkWait && len(l.Members) > 0 && time.Since(c.asked) < gatherFor
		if d.gathered, d.quick = quick && d.quick, quick; d.gathered { // twice in a row is hardly chance
			pause(ctx, gatherFor)
		}
		return true, 0
	case ctx.Err() != nil: // moved, or the end
		return true, 0
	}
	d.miss(c, err)
	if !d.subscribe { // the last list stays, and the module need not know
		backoff = nextBackoff(backoff)
		pause(ctx, backoff/2+time.Duration(d.rng.Float64()*float64(backoff/2))) // not in step with other nodes
		return true, backoff
	}
	if d.urgent() {
		if c.broke { // one that fell silent has waited for long enough
			pause(ctx, d.breath())
		}
		return true, 0
	}
	d.due = time.Time{}
	d.tell(News{Kind: policy.ListUnavailable}) // the module says when to try again
	return false, 0
}

// listCall is one call for the list.
type listCall struct {
	asked       time.Time
	wait, limit time.Duration // that it may wait for news, and take in all
	body        time.Duration // that its answer may take, once begun
	reached     atomic.Bool   // discovery, by its connection
	began       atomic.Bool   // its answer has
	silent      bool          // it was given up
	broke       bool          // it ended by itself
	refused     bool          // discovery answered that it can't answer
}

// plan says how long the next call may take. The waits of many nodes differ, since a change answers all
// their watches together: those that fall silent then are not all given up, and called anew, together.
func (d *Client) plan() *listCall {
	c := &listCall{asked: time.Now(), body: min(bodyMost, bodyLimit<<min(d.failed, 10))}
	c.limit = min(queueMost, queueLimit+time.Duration(d.silent)*queueMore)
	if (d.silent == 1 || d.silent == 2) && d.urgent() {
		c.limit = callLimit
	}
	switch {
	case d.whole:
	case d.unsure:
		c.wait = checkWait
		c.limit += c.wait
	default:
		spread := min(watchSpread, time.Duration(d.nodes)*callsApart)
		mean := newsLatest + d.grace - watchRoom
		c.wait = max(checkWait, mean+time.Duration((d.rng.Float64()-0.5)*float64(spread))).Truncate(time.Millisecond)
		c.limit = c.wait + lateAnswer
	}
	return c
}

// miss notes a call that failed, and by when the news that it may have missed has to be heard.
func (d *Client) miss(c *listCall, err error) {
	now := time.Now()
	if d.failed++; d.failed == 1 {
		d.since = now
		// A watch that stood brought all that came before its end; a call that waited in the queue brought nothing.
		if d.last = c.asked; !c.refused {
			d.last = now.Add(-min(now.Sub(c.asked), callLimit))
		}
	}
	if d.silent++; !c.silent {
		d.silent = 0
	}
	d.unsure = true
	// Later, discovery may have been back since the last failure.
	told := d.last.Add(d.within)
	switch {
	case c.began.Load(): // some of it was written, and what was counts
		told = now
	case !c.reached.Load(): // nor could any news be
		if told = now.Add(d.within); d.due.After(now) {
			d.due = told
		}
	case c.silent && d.failed == 1:
		told = c.asked.Add(newsLatest)
	}
	if d.gathered && told.After(c.asked) { // what came while changes gathered counted at once
		told = c.asked
	}
	d.gathered, d.quick = false, false
	if d.due.IsZero() || told.Before(d.due) {
		d.due = told
	}
	d.last = now
	if !d.subscribe && d.failed > 1 {
		return // a pushed list's agent is called again soon, and often
	}
	what := "discovery: a watch failed"
	if c.silent {
		what = "discovery: a watch fell silent"
	}
	slog.Warn(what, "after", now.Sub(c.asked), "wait", c.wait, "revision", d.revision, "in_a_row", d.failed, "err", err)
}

// urgent tells whether news that counts as told, or soon does, can still be heard in time.
func (d *Client) urgent() bool { return time.Now().Before(d.due.Add(d.grace)) }

// breath is a pause between two urgent calls: longer each time while there is time left, and never in step with
// other nodes.
func (d *Client) breath() time.Duration {
	span := min(time.Until(d.due.Add(d.grace))/urgentPart, time.Duration(d.nodes)*callsApart<<min(d.failed-1, 10))
	return max(backoffMin, time.Duration(d.rng.Float64()*float64(span)))
}

// heed takes the module's newest wish. It waits for one only while there is nothing to watch, and not for ever.
func (d *Client) heed(ctx context.Context, watching bool) bool {
	if watching {
		select {
		case on := <-d.asks:
			d.declined = !on
			return on
		default:
			return true
		}
	}
	var late <-chan time.Time // nil: nothing is asked for without a wish
	if !d.declined {
		timer := time.NewTimer(d.longestWishWait())
		defer timer.Stop()
		late = timer.C
	}
	select {
	case on := <-d.asks:
		d.declined = !on
		return on
	case <-late:
		slog.Warn("discovery: calling without having been asked to, for the wish is late", "failed", d.failed)
		return true
	case <-ctx.Done():
		return false
	}
}

// longestWishWait is how long the next call waits for the module's wish.
func (d *Client) longestWishWait() time.Duration {
	if d.failed == 0 {
		return firstWishLatest
	}
	return wishLatest
}

var errSilent = errors.New("no answer in time")

// watch makes one call, which waits for something newer than the revision held, or asks for the whole
// list.
func (d *Client) watch(ctx context.Context, c *listCall) (_ List, err error) {
	query := url.Values{}
	if !d.whole {
		query.Set("index", strconv.FormatInt(d.revision, 10))
		query.Set("wait", strconv.FormatInt(c.wait.Milliseconds(), 10))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := time.AfterFunc(c.limit, func() { cancel(errSilent) })
	defer limit.Stop()
	defer func() {
		if c.silent = err != nil && context.Cause(ctx) == errSilent; c.silent {
			err = errSilent
		}
		c.broke = err != nil && !c.silent
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.reached.Store(true) },
		GotFirstResponseByte: func() {
			c.began.Store(true)
			limit.Reset(c.body)
		},
	})
	to := url.URL{Scheme: "http", Host: d.addr, Path: "/registry/instances", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, to.String(), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.began.Store(false) // and tells no news
		c.refused = true
		return List{}, fmt.Errorf("answered %s", resp.Status)
	}
	timed := &timedReader{from: resp.Body, left: c.body, limit: limit}
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
	if d.whole && !l.Complete {
		return List{}, errors.New("asked for the whole list, got a part")
	}
	return l, nil
}

// timedReader bounds the time that is waited for an answer's bytes. What their parser takes isn't discovery's, and
// on a busy node a long list would look as if discovery had fallen silent.
type timedReader struct {
	from  io.Reader
	left  time.Duration
	limit *time.Timer // ends the call; it runs while a read does
	err   error       // but for the end
}

func (t *timedReader) Read(to []byte) (int, error) {
	began := time.Now()
	t.limit.Reset(t.left)
	n, err := t.from.Read(to)
	t.limit.Stop()
	t.left -= time.Since(began)
	if err != nil && err != io.EOF {
		t.err = err
	}
	return n, err
}

// learn passes on what a watch brought. An empty delta is told only where the module awaits an answer.
func (d *Client) learn(l List, asked time.Time) {
	if d.failed > 0 {
		slog.Info("discovery: heard again", "after", time.Since(d.since), "failed", d.failed, "revision", l.Revision)
	}
	d.revision, d.whole, d.unsure, d.failed, d.silent, d.due = l.Revision, false, false, 0, 0, time.Time{}
	n := News{Kind: policy.ListUpdate, Members: l.Members, Revision: l.Revision, Asked: asked, Heard: time.Now()}
	if l.Complete {
		n.Kind = policy.ListReplace
	}
	if l.Complete || len(l.Members) > 0 || d.subscribe {
		d.tell(n)
	}
}

// nextBackoff is how long to pause after one more failure in a row.
func nextBackoff(last time.Duration) time.Duration {
	return min(backoffMax, max(backoffMin, 2*last))
}

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
