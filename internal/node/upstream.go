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
	maxFramingFactor     = 8 // limit of the raw bytes of a chunked body per byte of its content
	maxInterimResponses  = 8 // 1xx responses before the final one
	defaultConnIdle      = 60 * time.Second
	stallTimeout         = 10 * time.Second       // without progress, for a body in transfer
	earlyResponseTimeout = 250 * time.Millisecond // to read a response that a server sends before it has the whole request
	// reuseDelay is the minimum time for which a connection stays idle after a response. Responses carry no id: if the
	// connection were reused at once, surplus bytes after one response would be taken for the next. Duplicate responses
	// arrive some milliseconds late, so connections that were idle for preferredReuseDelay are preferred. If there is none,
	// one idle for reuseDelay is used, since opening a new connection costs more than the longer delay gains.
	reuseDelay          = 3 * time.Millisecond
	preferredReuseDelay = 10 * time.Millisecond
	// unsolicitedReuseDelay replaces both for a server that sent unsolicited bytes within the last unsolicitedWindow:
	// duplicate responses arrive some milliseconds late, and later still on a busy machine.
	unsolicitedReuseDelay = 50 * time.Millisecond
	unsolicitedWindow     = 10 * time.Second
	// A dial that failed for lack of local resources is retried for dialRetryFor, with a backoff.
	dialRetryFor     = 100 * time.Millisecond
	dialBackoffFirst = 2 * time.Millisecond
	dialBackoffMax   = 20 * time.Millisecond
)

var (
	errUnknownServer    = errors.New("server not in the member list")
	errServerLeaving    = errors.New("server left or began to drain before the request was sent")
	errClientLeft       = errors.New("client disconnected before the request was sent")
	errRepeatWindowOver = errors.New("time window for a repeated request has passed")
	errNoSockets        = errors.New("no sockets available for another server connection")
	errMalformed        = errors.New("malformed response")
)

// upstream makes attempts at servers over connections that it pools itself. It uses net/http's functions for writing
// requests and reading responses but not http.Transport, which retries some requests by itself without a decision of the
// decision module, and which may take surplus bytes after one response for the next response.
type upstream struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	idleTimeout time.Duration // an idle connection is closed after this
	reportNames []string      // names of the values in a load report, in order
	memory      *memoryBudget // for request and response bodies
	monitor     *invariant.Monitor
	unsolicited prometheus.Counter
	readerPool  sync.Pool // of *bufio.Reader
	bufferPool  sync.Pool // of *bytes.Buffer

	// Client connections may borrow descriptors that server connections don't use: borrowed returns how many they hold,
	// and reclaim takes one back. Both are nil if there is no listener for clients.
	borrowed func() int
	reclaim  func() bool

	mu           sync.Mutex
	pools        map[string]*connPool
	idlePools    idlePoolHeap      // the pools that have idle connections, which are few even with many servers
	serverByAddr map[string]string // server id by address of its pool
	// Sequence numbers of received updates, including those that the loop has not handled yet: by server id, that of the
	// latest update that listed the server as draining or removed; and that of the latest full list.
	stopSequences    map[string]uint64
	fullListSequence uint64
	openConns        int          // connections, including those being established
	maxOpenConns     int          // limit of openConns; the other descriptors belong to client connections
	freeConns        atomic.Int64 // maxOpenConns - openConns, to be read without the mutex
}

// connPool holds the idle connections to one process of one server, the most recently used at the end.
type connPool struct {
	addr            string
	upSince         int64
	idle            []*serverConn
	lastUnsolicited time.Time       // when its server last sent unsolicited bytes; zero: never
	leavingCtx      context.Context // done as soon as no new request may be sent to the server
	markLeaving     context.CancelFunc
	heapPosition    int // position in idlePools, from 1; 0: it has no idle connection
}

func newConnPool(m discovery.Member) *connPool {
	p := &connPool{addr: m.Addr, upSince: m.UpSince}
	p.leavingCtx, p.markLeaving = context.WithCancel(context.Background())
	return p
}

// serverConn is a connection to a server.
type serverConn struct {
	*net.TCPConn
	pool     *connPool
	lastUsed time.Time
	requests int // requests served on it
}

func newUpstream(c Config, maxOpenConns int) *upstream {
	connIdle := c.Settings.Allowed.ConnIdle
	if connIdle == 0 {
		connIdle = defaultConnIdle
	}
	u := &upstream{
		dial:        (&net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}).DialContext,
		idleTimeout: connIdle / 2, // closed well before the server does: a request sent just as the server closes would end in a reset
		reportNames: c.Settings.Report, monitor: new(invariant.Monitor), unsolicited: newUnsolicitedCounter(), memory: newMemoryBudget(c.MemoryMB, c.Cores), pools: make(map[string]*connPool),
		serverByAddr: make(map[string]string), stopSequences: make(map[string]uint64), maxOpenConns: maxOpenConns,
		readerPool: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		bufferPool: sync.Pool{New: func() any { return new(bytes.Buffer) }},
	}
	u.addOpen(0)
	return u
}

// stopLeavingServers stops new requests to servers that an update just received lists as draining or removed, or that are
// missing from a full list, before the loop handles the update: the loop may be late, and attempts may be about to send
// their first byte.
func (u *upstream) stopLeavingServers(received receivedUpdate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	running := make(map[string]bool, len(received.Members))
	for _, m := range received.Members {
		if running[m.Server] = m.Availability == policy.Running; running[m.Server] {
			continue
		}
		u.stopSequences[m.Server] = received.sequence
		if p := u.pools[m.Server]; p != nil {
			p.markLeaving()
		}
	}
	if received.Kind == policy.ListUpdate {
		return
	}
	u.fullListSequence = received.sequence
	for id, p := range u.pools {
		if !running[id] {
			p.markLeaving()
		}
	}
}

// isOutdated reports whether an update after the given sequence number may have listed the server as draining or removed.
func (u *upstream) isOutdated(id string, sequence uint64) bool {
	return sequence < u.stopSequences[id] || sequence < u.fullListSequence
}

// applyNewestList applies a list that no received update supersedes.
func (u *upstream) applyNewestList(update discovery.Update) {
	u.applyList(receivedUpdate{Update: update, sequence: math.MaxUint64})
}

// applyList updates the pools from a discovery update. A server that moved or restarted gets a new pool, since connections
// to its former process can't be used any more.
func (u *upstream) applyList(received receivedUpdate) {
	update := received.Update
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(update.Members))
	for _, m := range update.Members {
		p := u.pools[m.Server]
		listed[m.Server] = true
		switch {
		case m.Availability == policy.Removed:
			u.removePool(m.Server)
		case p == nil || p.addr != m.Addr || p.upSince != m.UpSince:
			u.removePool(m.Server)
			u.addPool(m)
		}
		outdated := u.isOutdated(m.Server, received.sequence)
		if !outdated {
			delete(u.stopSequences, m.Server)
		}
		switch p = u.pools[m.Server]; {
		case p == nil:
		case m.Availability == policy.Draining || outdated:
			p.markLeaving()
		case p.leavingCtx.Err() != nil: // it is running after all
			p.leavingCtx, p.markLeaving = context.WithCancel(context.Background())
		}
	}
	if update.Kind == policy.ListUpdate {
		return
	}
	for id := range u.pools {
		if !listed[id] {
			u.removePool(id)
		}
	}
	maps.DeleteFunc(u.stopSequences, func(_ string, sequence uint64) bool { return sequence <= received.sequence })
}

// addPool creates a pool for m, unless a server that started later has the same address: of two servers at one address
// the later one is the one that listens, and requests for the other must not reach it.
func (u *upstream) addPool(m discovery.Member) {
	if id, occupied := u.serverByAddr[m.Addr]; occupied {
		if u.pools[id].upSince > m.UpSince {
			return
		}
		u.removePool(id)
	}
	u.serverByAddr[m.Addr] = m.Server
	u.pools[m.Server] = newConnPool(m)
}

// removePool closes the pool of a server that is gone or was replaced.
func (u *upstream) removePool(id string) {
	if p := u.pools[id]; p != nil {
		p.markLeaving()
		u.closeOldest(p, len(p.idle))
		delete(u.pools, id)
		delete(u.serverByAddr, p.addr)
	}
}

// isUsable reports whether an idle connection is open and has no unread bytes. It records unread bytes as unsolicited.
func (u *upstream) isUsable(c *serverConn, now time.Time) bool {
	n, err := peekConn(c.TCPConn)
	if n > 0 {
		u.recordUnsolicited(c.pool, now)
	}
	return err == syscall.EAGAIN
}

// recordUnsolicited records that a server sent unsolicited bytes. The caller holds the mutex.
func (u *upstream) recordUnsolicited(p *connPool, now time.Time) {
	p.lastUnsolicited = now
	u.unsolicited.Inc()
}

// setIdle sets the idle connections of p and updates idlePools. Sweeps and evictions only visit the pools in idlePools:
// with tens of thousands of servers, a walk over all pools would hold the mutex, and delay every request, for milliseconds.
func (u *upstream) setIdle(p *connPool, idle []*serverConn) {
	if len(idle) == 0 {
		if p.heapPosition > 0 {
			heap.Remove(&u.idlePools, p.heapPosition-1)
		}
		p.idle = idle
		return
	}
	if p.idle = idle; p.heapPosition > 0 {
		heap.Fix(&u.idlePools, p.heapPosition-1)
	} else {
		heap.Push(&u.idlePools, p)
	}
}

// idlePoolHeap is a heap of pools, the one with the longest-idle connection first, so that the connection to evict is
// found without visiting all pools.
type idlePoolHeap []*connPool

func (h idlePoolHeap) Len() int           { return len(h) }
func (h idlePoolHeap) Less(i, j int) bool { return h[i].idle[0].lastUsed.Before(h[j].idle[0].lastUsed) }
func (h idlePoolHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = i+1, j+1
}

// Push implements heap.Interface.
func (h *idlePoolHeap) Push(p any) {
	*h = append(*h, p.(*connPool))
	p.(*connPool).heapPosition = len(*h)
}

// Pop implements heap.Interface.
func (h *idlePoolHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h, p.heapPosition = (*h)[:last], 0
	return p
}

// closeOldest closes the n longest-idle connections of p.
func (u *upstream) closeOldest(p *connPool, n int) {
	for _, c := range p.idle[:n] {
		c.Close()
	}
	u.setIdle(p, append([]*serverConn(nil), p.idle[n:]...))
	u.addOpen(-n)
}

// closeIdle closes the idle connections to one server.
func (u *upstream) closeIdle(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		u.closeOldest(p, len(p.idle))
	}
}

// sweep closes connections that were idle for too long, were closed by the server or have unsolicited bytes.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range slices.Clone(u.idlePools) {
		var kept []*serverConn
		for _, c := range p.idle {
			if now.Sub(c.lastUsed) < u.idleTimeout && u.isUsable(c, now) {
				kept = append(kept, c)
				continue
			}
			c.Close()
			u.addOpen(-1)
		}
		u.setIdle(p, kept)
	}
}

// close closes all idle connections; those in use are closed at the end of their attempts.
func (u *upstream) close() { u.applyNewestList(discovery.Update{Kind: policy.ListReplace}) }

// acquire takes an idle connection to the server, or opens one. It gives up as soon as the server begins to leave or
// requestCtx ends: in neither case may the first byte be sent any more, and connecting may take long.
func (u *upstream) acquire(ctx, requestCtx context.Context, id string) (*serverConn, error) {
	p, c, leavingCtx, err := u.reserveConn(id)
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(leavingCtx, func() { cancel(errServerLeaving) })()
	defer context.AfterFunc(requestCtx, func() { cancel(errClientLeft) })()
	tcp, err := u.dialWithRetry(ctx, p.addr)
	if err == nil && leavingCtx.Err() != nil {
		tcp.Close()
		err = errServerLeaving
	}
	if err != nil {
		u.unreserveConn()
		switch {
		case leavingCtx.Err() != nil:
			return nil, errServerLeaving
		case syserr.Retryable(err):
			return nil, errNoSockets
		}
		return nil, err
	}
	return &serverConn{TCPConn: tcp.(*net.TCPConn), pool: p}, nil
}

// dialWithRetry opens a connection, with retries for a short time while the machine lacks resources for it.
func (u *upstream) dialWithRetry(ctx context.Context, addr string) (net.Conn, error) {
	var tcp net.Conn
	err := syserr.Retry(ctx, dialRetryFor, syserr.Backoff{Initial: dialBackoffFirst, Max: dialBackoffMax}, func() (err error) {
		if err = faultpoint.Fail(faultpoint.Dial); err == nil {
			tcp, err = u.dial(ctx, "tcp", addr)
		}
		return err
	})
	return tcp, err
}

// reserveConn returns an idle connection that may be reused. If there is none, it counts a new connection as open, which
// the caller must open, or uncount by unreserveConn.
func (u *upstream) reserveConn(id string) (p *connPool, c *serverConn, leavingCtx context.Context, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch p = u.pools[id]; {
	case p == nil:
		return nil, nil, nil, errUnknownServer
	case p.leavingCtx.Err() != nil:
		return nil, nil, nil, errServerLeaving
	}
	now := time.Now()
	for i := p.reusableIndex(now); i >= 0; i = p.reusableIndex(now) {
		c := p.idle[i]
		last := len(p.idle) - 1
		copy(p.idle[i:], p.idle[i+1:])
		p.idle[last] = nil
		u.setIdle(p, p.idle[:last])
		if now.Sub(c.lastUsed) < u.idleTimeout && u.isUsable(c, now) {
			return p, c, p.leavingCtx, nil
		}
		c.Close()
		u.addOpen(-1)
	}
	if !u.ensureDescriptor() {
		return nil, nil, nil, errNoSockets
	}
	u.addOpen(1)
	return p, nil, p.leavingCtx, nil
}

// reusableIndex returns the index of the idle connection to use next: the most recently used one past
// preferredReuseDelay, else past reuseDelay; -1 if there is none.
func (p *connPool) reusableIndex(now time.Time) int {
	delays := []time.Duration{preferredReuseDelay, reuseDelay}
	if !p.lastUnsolicited.IsZero() && now.Sub(p.lastUnsolicited) < unsolicitedWindow {
		delays = []time.Duration{unsolicitedReuseDelay}
	}
	for _, delay := range delays {
		for i := len(p.idle) - 1; i >= 0; i-- {
			if now.Sub(p.idle[i].lastUsed) >= delay {
				return i
			}
		}
	}
	return -1
}

// ensureDescriptor makes sure that there is a descriptor for one more connection: an unused one, one that is reclaimed
// from client connections, or that of an idle connection, which is closed.
func (u *upstream) ensureDescriptor() bool {
	if u.openConns >= u.maxOpenConns {
		return u.evict()
	}
	return u.borrowed == nil || u.openConns+u.borrowed() < u.maxOpenConns || u.reclaim() || u.evict()
}

// addOpen adds n, which may be negative, to the number of open connections and updates freeConns.
func (u *upstream) addOpen(n int) {
	u.openConns += n
	u.freeConns.Store(int64(u.maxOpenConns - u.openConns))
}

// spareDescriptors returns how many descriptors client connections may borrow: half of the unused ones.
func (u *upstream) spareDescriptors() int { return int(u.freeConns.Load() / 2) }

// setMaxOpenConns changes the limit of open connections and closes idle ones beyond it.
func (u *upstream) setMaxOpenConns(maxOpenConns int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpenConns = maxOpenConns
	for u.openConns > u.maxOpenConns && u.evict() {
	}
	u.addOpen(0)
}

// openCount returns the number of open connections.
func (u *upstream) openCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openConns
}

// openConnLimit returns the limit of open connections.
func (u *upstream) openConnLimit() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxOpenConns
}

// unreserveConn removes a connection that could not be opened from the count of open connections.
func (u *upstream) unreserveConn() {
	u.mu.Lock()
	u.addOpen(-1)
	u.mu.Unlock()
}

// evict closes the longest-idle connection, if there is one.
func (u *upstream) evict() bool {
	if len(u.idlePools) == 0 {
		return false
	}
	u.closeOldest(u.idlePools[0], 1)
	return true
}

// returnUnused returns a connection to its pool if no byte was written on it. Its idle time still counts from its last
// use, as it does at the server.
func (u *upstream) returnUnused(c *serverConn, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pools[id] != c.pool {
		c.Close()
		u.addOpen(-1)
		return
	}
	if c.lastUsed.IsZero() {
		c.lastUsed = time.Now()
	}
	idle := c.pool.idle
	position := len(idle)
	for position > 0 && idle[position-1].lastUsed.After(c.lastUsed) {
		position--
	}
	u.setIdle(c.pool, slices.Insert(idle, position, c))
}

// release returns a connection to its pool if it can serve another request, else closes it.
func (u *upstream) release(c *serverConn, id string, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reusable && u.pools[id] == c.pool {
		c.lastUsed = time.Now()
		c.requests++
		u.setIdle(c.pool, append(c.pool.idle, c))
		return
	}
	c.Close()
	u.addOpen(-1)
}

// isLeaving reports whether no new request may be sent to the server of a pool.
func (u *upstream) isLeaving(p *connPool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return p.leavingCtx.Err() != nil
}
