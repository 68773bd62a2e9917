package node

import (
	"bufio"
	"bytes"
	"container/heap"
	"context"
	"errors"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cobaltward/internal/discovery"
	"cobaltward/internal/faultpoint"
	"cobaltward/internal/invariant"
	"cobaltward/internal/syserr"
	"cobaltward/policy"
)

const (
	framing         = 8 // bytes that a chunked body may bring for each of its own
	maxInterim      = 8 // 1xx answers ahead of the final one
	defaultConnIdle = 60 * time.Second
	stallLimit      = 10 * time.Second       // without a byte, for a body on its way
	earlyAnswer     = 250 * time.Millisecond // to take in what a server says before it has the whole request
	// restFor is how long a connection rests after an answer. Answers carry no id: what comes right
	// behind one would be taken for the next one's, were the connection used again at once. Second answers come
	// some milliseconds late, so that one that rested for restLong goes first; but a new one costs more than it helps.
	restFor  = 3 * time.Millisecond
	restLong = 10 * time.Millisecond
	// restUnasked is how long connections rest at a server that has sent what nobody asked for within the last
	// unaskedFor: stray answers come some milliseconds late, and later still where a machine is busy.
	restUnasked = 50 * time.Millisecond
	unaskedFor  = 10 * time.Second
	// A dial that failed by what this machine lacks is tried again for dialAgainFor, after pauses.
	dialAgainFor  = 100 * time.Millisecond
	dialPause     = 2 * time.Millisecond
	dialPauseMost = 20 * time.Millisecond
)

var (
	errUnknown   = errors.New("not in the list")
	errLeaving   = errors.New("the server began to leave before anything was sent")
	errLeft      = errors.New("the client left before anything was sent")
	errTooLate   = errors.New("the time in which it may be sent again is over")
	errNoSockets = errors.New("nothing is left for another connection")
	errMalformed = errors.New("the answer can't be read")
)

// upstream makes attempts at servers, over connections that it holds itself. It writes and reads with
// net/http's own functions and not with its Transport, which sends some requests again by itself, each
// an attempt that the module never decided on, and which may read what was left behind one answer as
// the next one's.
type upstream struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	idleFor time.Duration // an idle connection is dropped after this
	report  []string      // names of the figures of a load report, in order
	memory  *memoryBudget // for bodies
	monitor *invariant.Monitor
	unasked prometheus.Counter
	readers sync.Pool // of *bufio.Reader
	writers sync.Pool // of *bytes.Buffer

	// Clients borrow descriptors that are not in use here, and give them back; nil: there are none to lend to.
	borrowed func() int
	reclaim  func() bool

	mu    sync.Mutex
	pools map[string]*pool
	rests idlePools         // those with idle connections: few, where servers are many
	at    map[string]string // the pool's server at each address
	// By what was heard, whether or not the loop has taken it up: the number of the news that took a server out of
	// service, and of the newest whole list.
	stopped    map[string]uint64
	wholeHeard uint64
	open       int          // connections, those being made among them
	most       int          // that may be open: the rest of the descriptors is the clients'
	free       atomic.Int64 // of them; read without the mutex
}

// pool holds the idle connections to one process of one server, the last used at the end.
type pool struct {
	addr    string
	upSince int64
	idle    []*conn
	unasked time.Time       // when its server last sent what nobody had asked for; zero: never
	leaving context.Context // ends when nothing new may go there any more
	leave   context.CancelFunc
	restsAt int // place among those with idle connections, from 1; 0: it has none
}

func newPool(m discovery.Member) *pool {
	p := &pool{addr: m.Addr, upSince: m.UpSince}
	p.leaving, p.leave = context.WithCancel(context.Background())
	return p
}

type conn struct {
	*net.TCPConn
	pool *pool
	used time.Time
	uses int // requests that it served
}

func newUpstream(c Config, most int) *upstream {
	idle := c.Settings.Allowed.ConnIdle
	if idle == 0 {
		idle = defaultConnIdle
	}
	u := &upstream{
		dial:    (&net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}).DialContext,
		idleFor: idle / 2, // what is written just as the server closes would end as a reset
		report:  c.Settings.Report, monitor: new(invariant.Monitor), unasked: newUnaskedCounter(), memory: newMemoryBudget(c.MemoryMB, c.Cores), pools: make(map[string]*pool),
		at: make(map[string]string), stopped: make(map[string]uint64), most: most,
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		writers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
	}
	u.count(0)
	return u
}

// stopLeaving keeps attempts from servers that drain or are gone by news that has just been heard, before the loop takes
// it up: an attempt may be under way, and the loop may be late.
func (u *upstream) stopLeaving(heard heardNews) {
	u.mu.Lock()
	defer u.mu.Unlock()
	stays := make(map[string]bool, len(heard.Members))
	for _, m := range heard.Members {
		if stays[m.Server] = m.Availability == policy.Running; stays[m.Server] {
			continue
		}
		u.stopped[m.Server] = heard.sequence
		if p := u.pools[m.Server]; p != nil {
			p.leave()
		}
	}
	if heard.Kind == policy.ListUpdate {
		return
	}
	u.wholeHeard = heard.sequence
	for id, p := range u.pools {
		if !stays[id] {
			p.leave()
		}
	}
}

// outdated tells whether later news than the given has been heard that may take a server out of service.
func (u *upstream) outdated(id string, sequence uint64) bool {
	return sequence < u.stopped[id] || sequence < u.wholeHeard
}

// update follows a list that is the newest.
func (u *upstream) update(n discovery.News) { u.follow(heardNews{News: n, sequence: math.MaxUint64}) }

// follow follows the list. A server that moved or started anew gets a new pool: what was open to its
// former process is of no use.
func (u *upstream) follow(heard heardNews) {
	n := heard.News
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(n.Members))
	for _, m := range n.Members {
		p := u.pools[m.Server]
		listed[m.Server] = true
		switch {
		case m.Availability == policy.Removed:
			u.forget(m.Server)
		case p == nil || p.addr != m.Addr || p.upSince != m.UpSince:
			u.forget(m.Server)
			u.take(m)
		}
		outdated := u.outdated(m.Server, heard.sequence)
		if !outdated {
			delete(u.stopped, m.Server)
		}
		switch p = u.pools[m.Server]; {
		case p == nil:
		case m.Availability == policy.Draining || outdated:
			p.leave()
		case p.leaving.Err() != nil: // it stays after all
			p.leaving, p.leave = context.WithCancel(context.Background())
		}
	}
	if n.Kind == policy.ListUpdate {
		return
	}
	for id := range u.pools {
		if !listed[id] {
			u.forget(id)
		}
	}
	maps.DeleteFunc(u.stopped, func(_ string, sequence uint64) bool { return sequence <= heard.sequence })
}

// take makes a pool for m, unless another server has its address by now: of two at one address the
// one that started last is there, and what is meant for the other must not reach it.
func (u *upstream) take(m discovery.Member) {
	if id, taken := u.at[m.Addr]; taken {
		if u.pools[id].upSince > m.UpSince {
			return
		}
		u.forget(id)
	}
	u.at[m.Addr] = m.Server
	u.pools[m.Server] = newPool(m)
}

func (u *upstream) forget(id string) {
	if p := u.pools[id]; p != nil {
		p.leave()
		u.trim(p, len(p.idle))
		delete(u.pools, id)
		delete(u.at, p.addr)
	}
}

// isQuiet tells whether an idle connection is open and has brought nothing. What its server sent unasked is noted.
func (u *upstream) isQuiet(c *conn, now time.Time) bool {
	n, err := peek(c.TCPConn)
	if n > 0 {
		u.noteUnasked(c.pool, now)
	}
	return err == syscall.EAGAIN
}

// noteUnasked notes that a server sent what nobody had asked for. The caller has the mutex.
func (u *upstream) noteUnasked(p *pool, now time.Time) {
	p.unasked = now
	u.unasked.Inc()
}

// setIdle has p keep these connections idle. Sweeps and evictions look at pools that have any and no others: a walk
// over all servers would hold the mutex, and with it every request, for milliseconds where they are tens of thousands.
func (u *upstream) setIdle(p *pool, idle []*conn) {
	if len(idle) == 0 {
		if p.restsAt > 0 {
			heap.Remove(&u.rests, p.restsAt-1)
		}
		p.idle = idle
		return
	}
	if p.idle = idle; p.restsAt > 0 {
		heap.Fix(&u.rests, p.restsAt-1)
	} else {
		heap.Push(&u.rests, p)
	}
}

// idlePools is a heap of pools by when their connection was last used that is idle longest, so that room for another
// connection is found without a look at all of them.
type idlePools []*pool

func (h idlePools) Len() int           { return len(h) }
func (h idlePools) Less(i, j int) bool { return h[i].idle[0].used.Before(h[j].idle[0].used) }
func (h idlePools) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].restsAt, h[j].restsAt = i+1, j+1
}

// Push adds a pool, for container/heap.
func (h *idlePools) Push(p any) {
	*h = append(*h, p.(*pool))
	p.(*pool).restsAt = len(*h)
}

// Pop takes the last pool out, for container/heap.
func (h *idlePools) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h, p.restsAt = (*h)[:last], 0
	return p
}

// trim closes the n connections of p that were idle longest.
func (u *upstream) trim(p *pool, n int) {
	for _, c := range p.idle[:n] {
		c.Close()
	}
	u.setIdle(p, append([]*conn(nil), p.idle[n:]...))
	u.count(-n)
}

// closeIdle drops the idle connections to one server.
func (u *upstream) closeIdle(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		u.trim(p, len(p.idle))
	}
}

// sweep drops the connections that were idle for too long, and those that are quiet no more.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range slices.Clone(u.rests) {
		var kept []*conn
		for _, c := range p.idle {
			if now.Sub(c.used) < u.idleFor && u.isQuiet(c, now) {
				kept = append(kept, c)
				continue
			}
			c.Close()
			u.count(-1)
		}
		u.setIdle(p, kept)
	}
}

// close drops all idle connections; those in use end with their attempts.
func (u *upstream) close() { u.update(discovery.News{Kind: policy.ListReplace}) }

// acquire takes an idle connection to the server, or makes one. It gives up as soon as the server begins
// to leave, or the client has left: both count against a request's first byte, and a connection may come up late.
func (u *upstream) acquire(ctx, left context.Context, id string) (*conn, error) {
	p, c, leaving, err := u.reserve(id)
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(leaving, func() { cancel(errLeaving) })()
	defer context.AfterFunc(left, func() { cancel(errLeft) })()
	tcp, err := u.dialPatiently(ctx, p.addr)
	if err == nil && leaving.Err() != nil {
		tcp.Close()
		err = errLeaving
	}
	if err != nil {
		u.unreserve()
		switch {
		case leaving.Err() != nil:
			return nil, errLeaving
		case syserr.Passes(err):
			return nil, errNoSockets
		}
		return nil, err
	}
	return &conn{TCPConn: tcp.(*net.TCPConn), pool: p}, nil
}

// dialPatiently opens a connection, again for a moment where this machine lacks what it takes.
func (u *upstream) dialPatiently(ctx context.Context, addr string) (net.Conn, error) {
	var tcp net.Conn
	err := syserr.Retry(ctx, dialAgainFor, syserr.Backoff{First: dialPause, Most: dialPauseMost}, func() (err error) {
		if err = faultpoint.Fail(faultpoint.Dial); err == nil {
			tcp, err = u.dial(ctx, "tcp", addr)
		}
		return err
	})
	return tcp, err
}

// reserve returns the idle connection last used of those that have rested, or counts one that the
// caller is to make.
func (u *upstream) reserve(id string) (p *pool, c *conn, leaving context.Context, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch p = u.pools[id]; {
	case p == nil:
		return nil, nil, nil, errUnknown
	case p.leaving.Err() != nil:
		return nil, nil, nil, errLeaving
	}
	now := time.Now()
	for i := p.reusable(now); i >= 0; i = p.reusable(now) {
		c := p.idle[i]
		last := len(p.idle) - 1
		copy(p.idle[i:], p.idle[i+1:])
		p.idle[last] = nil
		u.setIdle(p, p.idle[:last])
		if now.Sub(c.used) < u.idleFor && u.isQuiet(c, now) {
			return p, c, p.leaving, nil
		}
		c.Close()
		u.count(-1)
	}
	if !u.makeRoom() {
		return nil, nil, nil, errNoSockets
	}
	u.count(1)
	return p, nil, p.leaving, nil
}

// reusable returns which idle connection goes first: the last used of those that rested for long, else of those that
// rested at all; below 0: none has.
func (p *pool) reusable(now time.Time) int {
	rests := []time.Duration{restLong, restFor}
	if !p.unasked.IsZero() && now.Sub(p.unasked) < unaskedFor {
		rests = []time.Duration{restUnasked}
	}
	for _, rest := range rests {
		for i := len(p.idle) - 1; i >= 0; i-- {
			if now.Sub(p.idle[i].used) >= rest {
				return i
			}
		}
	}
	return -1
}

// makeRoom finds a descriptor for one more connection: a free one, one lent to clients, or an idle one's.
func (u *upstream) makeRoom() bool {
	if u.open >= u.most {
		return u.evict()
	}
	return u.borrowed == nil || u.open+u.borrowed() < u.most || u.reclaim() || u.evict()
}

// count follows the number of open connections.
func (u *upstream) count(n int) {
	u.open += n
	u.free.Store(int64(u.most - u.open))
}

// available is how many descriptors clients may borrow: half of the free ones.
func (u *upstream) available() int { return int(u.free.Load() / 2) }

// bound changes how many connections there may be; idle ones beyond it are closed.
func (u *upstream) bound(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most = most
	for u.open > u.most && u.evict() {
	}
	u.count(0)
}

func (u *upstream) inUse() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

func (u *upstream) bounded() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.most
}

func (u *upstream) unreserve() {
	u.mu.Lock()
	u.count(-1)
	u.mu.Unlock()
}

// evict closes the connection that was idle longest, if there is one.
func (u *upstream) evict() bool {
	if len(u.rests) == 0 {
		return false
	}
	u.trim(u.rests[0], 1)
	return true
}

// giveBack returns a connection on which not a byte was written. It has been idle since its last use, for its server
// counts so too.
func (u *upstream) giveBack(c *conn, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pools[id] != c.pool {
		c.Close()
		u.count(-1)
		return
	}
	if c.used.IsZero() {
		c.used = time.Now()
	}
	idle := c.pool.idle
	at := len(idle)
	for at > 0 && idle[at-1].used.After(c.used) {
		at--
	}
	u.setIdle(c.pool, slices.Insert(idle, at, c))
}

// release puts a connection back if it can serve another request, else closes it.
func (u *upstream) release(c *conn, id string, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reusable && u.pools[id] == c.pool {
		c.used = time.Now()
		c.uses++
		u.setIdle(c.pool, append(c.pool.idle, c))
		return
	}
	c.Close()
	u.count(-1)
}

// result is how an attempt ended.
type result struct {
	code   policy.Code
	answer answer // for OK
	report []float64
	upload time.Duration // that a large body took to go on: no fault of the server's

	// For the log.
	opened bool          // a new connection was opened for it, or was to be
	uses   int           // requests that the connection had served before
	idle   time.Duration // since the last of them
	err    error         // the network's own word, where it broke
}

// attemptHost is told how an attempt goes.
type attemptHost struct {
	until       time.Time           // when it times out; a large body puts that off by the time it takes
	by          time.Time           // it must not begin later; zero: at any time
	clientWaits time.Time           // when the client stops waiting; zero: that can't be told yet
	left        context.Context     // ends when the client has left: from then on it must not begin
	uploaded    func(time.Duration) // a large body went on whole; not called for others
	end         func(result)        // called once, with a large answer as it begins to come
}

var errTimeUp = errors.New("the attempt's time is up")

// attempt sends x to the server once, and waits for the answer until its time is up or ctx ends, which
// closes the connection: so a server learns that nobody waits. It tells its end, and returns when the
// last byte of an answer has gone on.
func (u *upstream) attempt(ctx context.Context, id string, x *clientRequest, host attemptHost) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := time.AfterFunc(time.Until(host.until), func() { cancel(errTimeUp) })
	defer limit.Stop()
	if x.rest != nil {
		limit.Stop() // until it has gone on
	}
	begin, cancelBegin := ctx, context.CancelFunc(func() {})
	if !host.by.IsZero() {
		begin, cancelBegin = context.WithDeadlineCause(ctx, host.by, errTooLate)
	}
	c, err := u.acquire(begin, host.left, id)
	over := context.Cause(begin)
	cancelBegin()
	denied := u.mayWrite(c, x, host, err, over)
	if denied != invariant.None {
		u.monitor.Deny(denied)
	}
	if err == nil && denied != invariant.None {
		u.giveBack(c, id)
	}
	if over != nil {
		err = over
	}
	switch {
	case denied == invariant.AttemptAfterDeparture:
		host.end(result{code: policy.Cancelled, err: errLeft})
		return
	case denied == invariant.SendToLeavingServer && err == nil:
		err = errLeaving
	case denied == invariant.AttemptAfterDeadline && err == nil: // this process was late, and no server is to blame
		host.end(result{code: policy.NotSent, err: errTimeUp})
		return
	}
	switch {
	case (errors.Is(err, errNoSockets) || errors.Is(err, errTooLate)) && ctx.Err() == nil:
		host.end(result{code: policy.NotSent}) // nothing was sent, and the server is not to blame
		return
	case err != nil:
		host.end(result{code: classifyError(ctx, err, false), opened: !errors.Is(err, errUnknown) && !errors.Is(err, errLeaving), err: err})
		return
	}
	uses, idle := c.uses, time.Duration(0)
	if uses > 0 {
		idle = time.Since(c.used)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	t := &exchange{upstream: u, c: c, x: x, host: host, limit: limit}
	r, reusable := t.roundTrip(ctx)
	r.opened, r.uses, r.idle, r.upload = uses == 0, uses, idle, t.upload
	if t.unasked {
		u.mu.Lock()
		u.noteUnasked(c.pool, time.Now())
		u.mu.Unlock()
	}
	more := r.answer.more
	if more == nil {
		u.release(c, id, stop() && reusable)
		host.end(r)
		return
	}
	if !limit.Stop() { // it was up just before
		r.answer.drop()
		r.answer, r.code = answer{}, policy.TimedOut
	} // else what a server still gives is not cut off
	host.end(r)
	err = <-more.ended
	reusable = err == nil && !t.resp.Close && t.in.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil
	t.putBack()
	u.release(c, id, stop() && reusable)
}

// mayWrite puts the facts of an attempt whose first byte is about to be written before the rules.
func (u *upstream) mayWrite(c *conn, x *clientRequest, host attemptHost, acquired, over error) invariant.Rule {
	return invariant.MayWrite(invariant.Write{
		ClientLeft:    host.left.Err() != nil || x.rest == nil && x.client.presence() != present,
		ServerUnknown: errors.Is(acquired, errUnknown),
		ServerLeaving: errors.Is(acquired, errLeaving) || c != nil && u.isLeaving(c.pool),
		WindowOver:    errors.Is(over, errTooLate),
		TimeUp: over != nil && !errors.Is(over, errTooLate) ||
			x.rest == nil && invariant.TimeUp(time.Until(host.until)),
	})
}

// isLeaving tells whether nothing new may go to the server of a pool.
func (u *upstream) isLeaving(p *pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return p.leaving.Err() != nil
}
