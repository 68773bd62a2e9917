package node

import (
	linked "container/list"
	"net"
	"sync"
	"time"

	"cobaltward/internal/invariant"
)

// clientListener is the listener for client connections, and limits their number. At the limit it makes room by closing
// a connection that the node waits for, so that clients that connect and send nothing, stop half-way or keep unused
// connections open don't lock out others.
type clientListener struct {
	net.Listener
	spareDescriptors func() int    // file descriptors that clients may borrow from the server side, beyond baseLimit; nil: none
	lingerTime       time.Duration // how long Close waits for the client to close its side
	monitor          *invariant.Monitor
	metrics          *metrics

	mu        sync.Mutex
	changed   sync.Cond
	baseLimit int
	// memoryLimit is how many connections the memory is enough for, whatever they send; 0: any number.
	memoryLimit int
	open        int
	// readAheadLeft is how much more of what clients send behind requests in flight may be buffered, in bytes. It may fall
	// below 0: what net/http has read for an earlier request is buffered in any case.
	readAheadLeft int
	waiting       linked.List // of the *clientConn that are to send a request or the rest of one; least recently active first
	evicted       int         // closed to make room since the last summary
	closed        bool
	noLinger      bool // close connections without waiting for their clients
}

func newClientListener(l net.Listener, baseLimit int) *clientListener {
	c := &clientListener{Listener: l, baseLimit: baseLimit, readAheadLeft: defaultReadAheadBudget, lingerTime: lingerTimeout, monitor: new(invariant.Monitor), metrics: newMetrics()}
	c.changed.L = &c.mu
	return c
}

func (l *clientListener) Accept() (net.Conn, error) {
	tcp, err := acceptWithRetry(l.Listener)
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp.(*net.TCPConn), owner: l}
	if c.raw, err = c.TCPConn.SyscallConn(); err != nil { // only if the connection wasn't properly created
		c.TCPConn.Close()
		return nil, err
	}
	c.tryRead = c.readReady
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open++; l.open > l.limit() && !l.evict() && !l.closed; {
		l.changed.Wait() // every connection has a request in flight, so one will finish
	}
	c.markWaiting()
	return c, nil
}

// limit returns the current maximum number of connections.
func (l *clientListener) limit() int {
	limit := l.baseLimit
	if l.spareDescriptors != nil {
		limit += max(0, l.spareDescriptors())
	}
	if l.memoryLimit > 0 {
		limit = min(limit, l.memoryLimit)
	}
	return limit
}

// reclaim closes a client connection to return a borrowed file descriptor to the server side, and reports whether it did.
func (l *clientListener) reclaim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > l.baseLimit && l.evict()
}

// borrowed returns how many file descriptors clients have borrowed from the server side.
func (l *clientListener) borrowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.open-l.baseLimit)
}

func (l *clientListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// stopLingering makes connections close at once, although their clients may not have read their responses.
func (l *clientListener) stopLingering() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noLinger = true
}

// evict closes the waiting connection whose loss costs its client least, if there is one. A connection without a request
// is simply reopened. A partial request is lost, but one that stopped right after it began most likely never completes,
// while one whose data keeps arriving does. Connections that are new, or were active within freshConnPeriod, are spared
// if others can be closed. Within a rank, the least recently active is closed.
func (l *clientListener) evict() bool {
	const ranks = 4
	freshSince := time.Now().Add(-freshConnPeriod)
	for rank := range ranks {
		for e := l.waiting.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*clientConn); c.evictionRank(freshSince) == rank && c.tryUnregister() {
				l.evicted++
				l.closeAll(closedEvicted, c)
				return true
			}
		}
	}
	return false
}

// closeAll closes connections that were unregistered. It unlocks the mutex meanwhile, because Close waits for a reader,
// which may be waiting for the mutex.
func (l *clientListener) closeAll(reason string, conns ...*clientConn) {
	l.metrics.clientConnsClosed.WithLabelValues(reason).Add(float64(len(conns)))
	l.mu.Unlock()
	defer l.mu.Lock()
	for _, c := range conns {
		c.TCPConn.Close()
	}
}

// closeIdle closes connections that have had no request for closeIdleAfter. Clients that have just connected
// or received a response may be about to send a request.
func (l *clientListener) closeIdle(now time.Time) {
	l.closeWithoutRequest(now, closeIdleAfter, closedDraining, func(*clientConn) bool { return true })
}

// closeExpired closes connections that have reached the idle timeout. net/http would do so without checking for data
// that has just arrived.
func (l *clientListener) closeExpired(now time.Time) {
	l.closeWithoutRequest(now, clientIdleTimeout, closedIdle, func(c *clientConn) bool { return c.answered })
}

// closeWithoutRequest closes connections that have had no request for the given time and are eligible.
func (l *clientListener) closeWithoutRequest(now time.Time, after time.Duration, reason string, eligible func(*clientConn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var conns []*clientConn
	for e := l.waiting.Front(); e != nil; {
		c := e.Value.(*clientConn)
		if now.Sub(c.lastActive) < after {
			break // the list is ordered: the others have been idle for less
		}
		if e = e.Next(); eligible(c) && c.requestStartedAt.IsZero() && c.tryUnregister() {
			conns = append(conns, c)
		}
	}
	l.closeAll(reason, conns...)
	l.changed.Signal()
}

// setBaseLimit changes the number of connections allowed. Those beyond it are closed as they become idle.
func (l *clientListener) setBaseLimit(baseLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.baseLimit = baseLimit
	for l.open > l.limit() && l.evict() {
	}
	l.changed.Signal()
}

func (l *clientListener) currentBaseLimit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.baseLimit
}

// openCount returns the number of open connections.
func (l *clientListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// takeCounts returns the counts for the log, and resets the count of evictions.
func (l *clientListener) takeCounts() (open, evicted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open, evicted, l.evicted = l.open, l.evicted, 0
	return open, evicted
}
