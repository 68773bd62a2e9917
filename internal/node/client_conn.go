package node

import (
	linked "container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/internal/invariant"
)

// errHeadTooLong ends the reading of a connection whose current head has more than maxHeadLines.
var errHeadTooLong = errors.New("the head has too many lines")

// clientConn is a client's connection.
type clientConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	owner *clientListener
	// tryRead is readReady, bound once, and read its read: a body is read in thousands of pieces, none of which is to cost memory.
	// There is one reader at a time.
	tryRead func(fd uintptr) (done bool)
	read    readState

	// Guarded by the owner's mutex.
	waitingElement     *linked.Element // in the owner's waiting list; nil while the node isn't waiting for the client
	lastActive         time.Time       // when data was last received or a response was finished
	requestStartedAt   time.Time       // when the current request began to arrive; zero before that
	lastArrival        time.Time       // when the newest delivered byte arrived
	headDeadline       time.Time       // when the head in progress must be complete; zero: none, or net/http's timeout applies
	unregistered       bool
	scanner            headScanner
	readAhead          readAheadBuffer // read, but not delivered to net/http yet
	readAheadFullSince time.Time       // unread data may have arrived since then; zero: the socket has been read empty
	waitingForData     bool            // a reader has found the socket empty and waits
	headsSinceWait     int             // heads that were delivered since such a reader last waited
	lastWaitEnded      time.Time       // when the newest data arrived that such a reader waited for; zero: never
	chunkedEnd         chan struct{}   // closed at the end of the chunked body that is being read; nil: there is none
	// inFlight means that the node has a complete request. Data behind it is read ahead and kept from net/http, which
	// stops watching for a disconnect as soon as it has read a byte of the next request.
	inFlight bool

	queued atomic.Int32 // requests that the loop hasn't taken up yet

	answered            bool // a response has been sent
	closeAfterReadAhead bool // close once the requests read ahead are answered; nothing more is read ahead
	keptForUnread       int  // times that the connection was kept open for a request not read yet
}

// evictionRank returns the order in which connections are closed to make room, lowest first.
func (c *clientConn) evictionRank(freshSince time.Time) int {
	old := c.lastActive.Before(freshSince)
	switch {
	case old && c.requestStartedAt.IsZero():
		return 0
	case old && c.lastActive.Equal(c.requestStartedAt):
		return 1
	case c.requestStartedAt.IsZero():
		return 2
	}
	return 3
}

// markWaiting moves a connection to the end of the waiting list: the node now waits for the client's next request.
func (c *clientConn) markWaiting() {
	c.inFlight = false
	c.lastActive, c.requestStartedAt, c.headDeadline = time.Now(), time.Time{}, time.Time{}
	if c.scanner.lineLength > 0 { // net/http has already read the first byte of that request
		c.requestStartedAt = c.lastActive
	}
	if c.waitingElement == nil {
		c.waitingElement = c.owner.waiting.PushBack(c)
	} else {
		c.owner.waiting.MoveToBack(c.waitingElement)
	}
}

// deliver decides how many bytes of p go to net/http now, and returns their number; arrivedAt gives the arrival time of
// the n-th byte. Once a head or a body is complete, the node no longer waits for the client.
func (c *clientConn) deliver(p []byte, arrivedAt func(n int) time.Time) int {
	if c.waitingElement != nil {
		c.lastActive = time.Now()
		if c.requestStartedAt.IsZero() {
			c.requestStartedAt = c.lastActive
			c.setHeadDeadline(arrivedAt(1))
		}
		c.owner.waiting.MoveToBack(c.waitingElement)
	}
	heads, body := c.scanner.headCount, c.scanner.bodyLeft
	n := c.scanner.scan(p)
	c.lastArrival = arrivedAt(n)
	c.headsSinceWait += c.scanner.headCount - heads
	if c.scanner.headCount != heads || body > 0 && c.scanner.bodyLeft == 0 {
		c.inFlight = true
		c.headDeadline = time.Time{}
		c.removeWaiting() // now, or the connection might be evicted before the handler runs
	}
	return n
}

// setHeadDeadline limits the time for the rest of a head whose first byte arrived at the given time. On a reused
// connection net/http starts its timeout only at the fourth byte; with fewer it waits as long as for a new request.
func (c *clientConn) setHeadDeadline(first time.Time) {
	if !c.answered {
		return
	}
	c.headDeadline = first.Add(headerTimeout)
	if earliest := c.requestStartedAt.Add(minReadGrace); c.headDeadline.Before(earliest) {
		c.headDeadline = earliest
	}
	_ = c.TCPConn.SetReadDeadline(c.headDeadline) // fails only on a closed connection
}

// SetReadDeadline is called by net/http, which must not extend the deadline of a head that has begun.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.headDeadline.IsZero() && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
	if !t.IsZero() && t.Before(time.Now()) { // a past deadline interrupts the reader
		c.endChunkedRead()
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *clientConn) removeWaiting() {
	if c.waitingElement != nil {
		c.owner.waiting.Remove(c.waitingElement)
		c.waitingElement = nil
	}
}

// mayStayOpen reports whether the connection may stay open after a response. While the node is draining its clients, it
// stays open for requests that have been read ahead and, up to maxKeptForUnread times, for requests not read yet.
func (c *clientConn) mayStayOpen(draining bool) bool {
	if c == nil {
		return !draining
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	switch {
	case !draining:
		c.closeAfterReadAhead = false
		return true
	case len(c.readAhead.bytes) > 0 || c.scanner.lineLength > 0:
		c.closeAfterReadAhead = true
		return true
	case c.keptForUnread >= maxKeptForUnread || !hasUnread(c.TCPConn):
		return false
	}
	c.keptForUnread++
	return true
}

// countClosed counts the connection as closed for the given reason.
func (c *clientConn) countClosed(reason string) {
	if c != nil {
		c.owner.metrics.clientConnsClosed.WithLabelValues(reason).Inc()
	}
}

// countQueued adds n, which may be negative, to the number of requests that wait for the loop.
func (c *clientConn) countQueued(n int32) {
	if c != nil {
		c.queued.Add(n)
	}
}

// queuedArrivals returns the number of requests that wait for the loop.
func (c *clientConn) queuedArrivals() int32 {
	if c == nil {
		return 0
	}
	return c.queued.Load()
}

func (c *clientConn) markAnswered() {
	if c != nil {
		c.owner.mu.Lock()
		c.answered = true
		c.owner.mu.Unlock()
	}
}

// Close lets the client read its response first. Data that arrives unread at a closed connection makes the kernel send a
// reset, which may discard the response. So Close waits a limited time for the client to close its side.
func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	lingers := c.answered && !c.unregistered && !c.owner.noLinger
	c.owner.mu.Unlock()
	if lingers && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(c.owner.lingerTime))
		discard(c.TCPConn, maxLingerBytes)
	}
	return c.TCPConn.Close()
}

// discard reads up to n bytes. Unlike io.Discard it takes no more memory than its buffer for as long as that lasts.
func discard(r io.Reader, n int) {
	var buffer [1 << 10]byte
	for n > 0 {
		m, err := r.Read(buffer[:])
		if err != nil {
			return
		}
		n -= m
	}
}

// tryUnregister unregisters a waiting connection, which the caller closes after unlocking the mutex. It refuses if data has
// arrived that hasn't been read, since a request might be lost without an answer. Data that arrives later isn't read.
func (c *clientConn) tryUnregister() bool {
	denied := invariant.MayClose(invariant.Connection{RequestOpen: c.inFlight, ReadAhead: len(c.readAhead.bytes),
		UnreadBytes: !isIdle(c.TCPConn)})
	if denied != invariant.None {
		c.owner.monitor.RecordDenial(denied)
		return false
	}
	c.unregister()
	return true
}

// tracksHeads reports whether the heads of further requests are recognized behind the one in flight.
func (c *clientConn) tracksHeads() bool {
	if c == nil {
		return false
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.scanner.bodyLeft >= 0
}

// deliverRead delivers a part of the data that was read, and adds the rest to the read-ahead buffer.
func (c *clientConn) deliverRead(p []byte, arrived time.Time) int {
	n := c.deliver(p, func(int) time.Time { return arrived })
	c.bufferReadAhead(p[n:], arrived)
	return n
}

// arrivalTime returns when the data just read had arrived, according to the kernel, since the process may have been
// delayed. For data read after the read-ahead buffer was full, only the time when it became full is known.
func (c *clientConn) arrivalTime(fd int) time.Time {
	if !c.readAheadFullSince.IsZero() {
		return c.readAheadFullSince
	}
	return time.Now().Add(-lastDataAge(fd))
}

// fillReadAhead buffers data behind the request in flight, and returns an error once the client has disconnected.
func (c *clientConn) fillReadAhead(fd int) error {
	for !c.closeAfterReadAhead {
		room := min(maxReadAhead-len(c.readAhead.bytes), c.owner.readAheadLeft)
		if room <= 0 {
			break
		}
		var piece [4 << 10]byte
		n, err := readSocket(fd, piece[:min(len(piece), room)])
		switch {
		case err == syscall.EAGAIN:
			c.readAheadFullSince = time.Time{}
			return nil
		case err != nil:
			return err
		}
		c.bufferReadAhead(piece[:n], c.arrivalTime(fd))
	}
	switch {
	case unreadBytes(fd) == 0: // there may be no room because of other connections
		c.readAheadFullSince = time.Time{}
	case c.readAheadFullSince.IsZero():
		c.readAheadFullSince = time.Now()
	}
	if peerClosed(fd) { // true even if data sent before the end is still unread
		return io.EOF
	}
	return nil
}

// markBodyRead records that net/http has read a body to its end.
func (c *clientConn) markBodyRead() {
	if c != nil {
		c.owner.mu.Lock()
		c.inFlight = true
		c.scanner.endChunkedBody()
		c.endChunkedRead()
		c.owner.mu.Unlock()
	}
}

// deliverAll delivers all further data to net/http at once: no further request on this connection is served.
func (c *clientConn) deliverAll() {
	if c != nil {
		c.owner.mu.Lock()
		c.inFlight, c.scanner.bodyLeft = false, untrackedBody
		c.endChunkedRead()
		c.owner.mu.Unlock()
	}
}

// takeReadAhead delivers data from the read-ahead buffer.
func (c *clientConn) takeReadAhead(p []byte) int {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if len(c.readAhead.bytes) == 0 || c.inFlight || c.unregistered {
		return 0
	}
	n := c.deliver(p[:copy(p, c.readAhead.bytes)], c.readAhead.arrivedAt)
	c.readAhead.consume(n)
	c.owner.readAheadLeft += n
	return n
}

// bufferReadAhead adds data to the read-ahead buffer, and takes its memory from the budget of all connections.
func (c *clientConn) bufferReadAhead(p []byte, arrived time.Time) {
	c.readAhead.append(p, arrived)
	c.owner.readAheadLeft -= len(p)
}

// arrivedAt returns when the last byte of the request in flight arrived.
func (c *clientConn) arrivedAt() time.Time {
	if c == nil {
		return time.Now()
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.lastArrival
}

// violations returns the violations in the current request's head.
func (c *clientConn) violations() headViolations {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.scanner.violations
}

// expectBody prepares for a body of the given length, or for a chunked one if length is negative, and returns when the
// request began to arrive.
func (c *clientConn) expectBody(length int64) (began time.Time) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.inFlight = false
	if c.scanner.expectBody(length); length < 0 && !c.unregistered {
		c.chunkedEnd = make(chan struct{})
	}
	if 0 < length && length <= maxSmallBody && c.waitingElement == nil && !c.unregistered { // larger bodies have a minimum rate to keep
		c.waitingElement = c.owner.waiting.PushBack(c)
	}
	return c.requestStartedAt
}

// stateChanged is called when net/http changes the connection's state.
func (c *clientConn) stateChanged(state http.ConnState) {
	l := c.owner
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.unregistered:
		return
	case state == http.StateClosed || state == http.StateHijacked:
		c.unregister()
	case state == http.StateIdle:
		c.markWaiting()
	}
	l.changed.Signal()
}

// unregister removes the connection from the owner's count.
func (c *clientConn) unregister() {
	c.removeWaiting()
	c.endChunkedRead()
	c.owner.readAheadLeft += len(c.readAhead.bytes)
	c.readAhead = readAheadBuffer{}
	c.unregistered = true
	c.owner.open--
}
