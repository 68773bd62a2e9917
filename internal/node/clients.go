package node

import (
	linked "container/list"
	"net"
	"sync"
	"time"

	"cobaltward/internal/invariant"
)

// clients is the listener for clients. It bounds their connections, and where they get too many it
// makes room by closing one of those that the node waits for: clients who connect and say nothing, stop half-way, or keep what they don't use, must not keep others out.
type clients struct {
	net.Listener
	available func() int    // descriptors that servers leave for clients, beyond most; nil: none
	linger    time.Duration // that a connection which ends waits for its client's end
	monitor   *invariant.Monitor
	metrics   *metrics

	mu      sync.Mutex
	room    sync.Cond
	most    int
	open    int
	waiting linked.List // of the *clientConn that owe the node a request or its rest, the longest silent in front
	evicted int         // closed to make room, since the last summary
	closed  bool
	cut     bool // what is left is closed at once
}

func newClients(l net.Listener, most int) *clients {
	c := &clients{Listener: l, most: most, linger: lingerFor, monitor: new(invariant.Monitor), metrics: newMetrics()}
	c.room.L = &c.mu
	return c
}

func (l *clients) Accept() (net.Conn, error) {
	tcp, err := acceptPatiently(l.Listener)
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp.(*net.TCPConn), owner: l}
	if c.raw, err = c.TCPConn.SyscallConn(); err != nil { // only where nobody made the connection
		c.TCPConn.Close()
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open++; l.open > l.limit() && !l.evict() && !l.closed; {
		l.room.Wait() // each has a request in it: one will end
	}
	c.markIdle()
	return c, nil
}

// limit is how many connections there may be now.
func (l *clients) limit() int {
	if l.available == nil {
		return l.most
	}
	return l.most + max(0, l.available())
}

// reclaim gives servers back a descriptor that was lent to clients, if one of these can be closed for it.
func (l *clients) reclaim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > l.most && l.evict()
}

// borrowed is how many descriptors of the servers clients have.
func (l *clients) borrowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.open-l.most)
}

func (l *clients) Close() error {
	l.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// cutOff makes connections that close end at once, though their clients may not have read their answers.
func (l *clients) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

// evict closes the connection that costs its client least, if there is one that the node waits for. One
// without a request is opened anew; half a request is lost, but one that ceased where it began most likely
// never comes, whereas one that goes on coming does; and who has only just come or spoken is not judged yet.
// Of each, it is the one that has been silent for longest.
func (l *clients) evict() bool {
	const kinds = 4
	fresh := time.Now().Add(-freshFor)
	for kind := range kinds {
		for e := l.waiting.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*clientConn); c.kind(fresh) == kind && c.tryClose() {
				l.evicted++
				l.closeAll(closedForRoom, c)
				return true
			}
		}
	}
	return false
}

// closeAll closes connections that were given up. Whoever reads one of them may wait for the mutex, and Close for
// the reader, so it is let go meanwhile.
func (l *clients) closeAll(reason string, given ...*clientConn) {
	l.metrics.closed.WithLabelValues(reason).Add(float64(len(given)))
	l.mu.Unlock()
	defer l.mu.Lock()
	for _, c := range given {
		c.TCPConn.Close()
	}
}

// closeIdle closes the connections that have been without a request for a moment. One that is new, or
// just had its answer, may be about to bring a request.
func (l *clients) closeIdle(now time.Time) {
	l.closeWithoutRequest(now, closeIdleAfter, closedSentAway, func(*clientConn) bool { return true })
}

// closeExpired closes the connections that have been without a request for as long as a node keeps them. net/http would
// do so without a look at what has come in that moment.
func (l *clients) closeExpired(now time.Time) {
	l.closeWithoutRequest(now, clientIdle, closedIdle, func(c *clientConn) bool { return c.served })
}

// closeWithoutRequest closes the connections that have been without a request for so long, of those that may go.
func (l *clients) closeWithoutRequest(now time.Time, after time.Duration, reason string, mayGo func(*clientConn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var given []*clientConn
	for e := l.waiting.Front(); e != nil; {
		c := e.Value.(*clientConn)
		if now.Sub(c.since) < after {
			break // the others are idle for less
		}
		if e = e.Next(); mayGo(c) && c.began.IsZero() && c.tryClose() {
			given = append(given, c)
		}
	}
	l.closeAll(reason, given...)
	l.room.Signal()
}

// bound changes how many connections there may be. Those beyond it are closed as they become quiet.
func (l *clients) bound(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
	for l.open > l.limit() && l.evict() {
	}
	l.room.Signal()
}

func (l *clients) bounded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
}

// left is how many connections are open.
func (l *clients) left() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// counts tells the log of the connections, and begins to count evictions anew.
func (l *clients) counts() (open, evicted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open, evicted, l.evicted = l.open, l.evicted, 0
	return open, evicted
}
