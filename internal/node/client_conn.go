package node

import (
	linked "container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/internal/syserr"
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

// Read also records when a request begins, which net/http reports only after the complete head. It reads from the socket
// under the owner's mutex, so that when the owner looks for idle connections, all received data is either still in the
// socket or recorded here.
func (c *clientConn) Read(p []byte) (n int, err error) {
	c.awaitChunkedEnd(p)
	if c.refusesHead() {
		return 0, errHeadTooLong // to which net/http responds with status 400
	}
	if n = c.takeReadAhead(p); n > 0 || len(p) == 0 {
		return n, nil
	}
	for {
		n, err = c.readOnce(p)
		if !syserr.Retryable(err) {
			return n, err
		}
		time.Sleep(ioRetryPause) // a temporary lack of system resources; the client is still connected
	}
}

// refusesHead reports whether the current head has too many lines. If so, the connection ends with the response to it.
func (c *clientConn) refusesHead() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.scanner.tooLong && !c.answered { // so that Close lets the client read the response
		c.answered = true
		c.owner.metrics.clientConnsClosed.WithLabelValues(closedRejected).Inc()
	}
	return c.scanner.tooLong
}

// readOnce waits for data or an error.
func (c *clientConn) readOnce(p []byte) (n int, err error) {
	c.read = readState{buffer: p}
	failed := c.raw.Read(c.tryRead)
	n, err = c.read.n, c.read.err
	c.read = readState{}
	if failed != nil && (err == nil || err == syscall.EAGAIN) {
		err = failed
	}
	return n, err
}

// readState is the read under way: its buffer, and what it has brought so far.
type readState struct {
	buffer []byte
	n      int
	err    error
}

// readReady reads what has arrived, and reports whether the read has ended.
func (c *clientConn) readReady(fd uintptr) bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	r := &c.read
	if denied := invariant.MayRead(c.unregistered); denied != invariant.None {
		c.owner.monitor.RecordDenial(denied)
		r.err = net.ErrClosed
		return true
	}
	if c.inFlight {
		r.err = c.fillReadAhead(int(fd))
		return r.err != nil
	}
	if r.n, r.err = readSocket(int(fd), r.buffer); r.n > 0 {
		arrived := c.arrivalTime(int(fd))
		c.endWaitForData(arrived)
		r.n = c.deliverRead(r.buffer[:r.n], arrived)
	} else if r.err == syscall.EAGAIN {
		c.readAheadFullSince, c.waitingForData = time.Time{}, true
	}
	return r.err != syscall.EAGAIN
}

// endWaitForData records that a reader has received data that arrived at the given time, for which it may have waited.
func (c *clientConn) endWaitForData(arrived time.Time) {
	if c.waitingForData {
		c.waitingForData, c.lastWaitEnded = false, arrived
		c.headsSinceWait = 0
	}
}

// yield lets other goroutines run if the client sends its requests faster than they are answered. Otherwise the goroutines
// that serve it would wake each other and keep the processor for a whole time slice, again and again.
func (c *clientConn) yield() {
	if c == nil {
		return
	}
	c.owner.mu.Lock()
	pipelined := c.headsSinceWait > 1
	c.owner.mu.Unlock()
	if pipelined {
		runtime.Gosched()
	}
}

// lastWaitForData returns the latest time at which a reader is known to have waited for the client's next data: the client
// wrote that data then or later. It returns the present if a reader is waiting now, and zero if none ever did.
func (c *clientConn) lastWaitForData() (last time.Time) {
	if c == nil {
		return time.Time{}
	}
	_ = c.raw.Control(func(fd uintptr) { // fails only on a closed connection
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		switch {
		case !c.waitingForData:
			last = c.lastWaitEnded
		case unreadBytes(int(fd)) > 0: // the reader has not run yet
			last = time.Now().Add(-lastDataAge(int(fd)))
		default:
			last = time.Now()
		}
	})
	return last
}

// limitReceiveBuffer limits what the kernel buffers of a large body: until it is read, it counts as the client's waiting time.
func (c *clientConn) limitReceiveBuffer() {
	if c != nil {
		_ = c.SetReadBuffer(uploadReceiveBuffer) // fails only on a closed connection
	}
}

// Write writes a response, and retries for a while if the system is short of buffers.
func (c *clientConn) Write(p []byte) (int, error) { return writeWithRetry(c.TCPConn, p) }

// maxChunkedEndWait limits the wait in awaitChunkedEnd: net/http may also read a single byte just to fill its buffer.
const maxChunkedEndWait = 100 * time.Millisecond

// awaitChunkedEnd delays a one-byte read until the end of a chunked body has been recorded. At that end, before the node
// learns of it, net/http starts its background read, which reads one byte to detect a disconnect; that byte would be the
// first of the next request's head.
func (c *clientConn) awaitChunkedEnd(p []byte) {
	if len(p) != 1 {
		return
	}
	c.owner.mu.Lock()
	wait := c.chunkedEnd
	c.owner.mu.Unlock()
	if wait == nil {
		return
	}
	timeout := time.NewTimer(maxChunkedEndWait)
	defer timeout.Stop()
	select {
	case <-wait:
	case <-timeout.C:
	}
}

// endChunkedRead releases readers that wait in awaitChunkedEnd. The caller holds the owner's mutex.
func (c *clientConn) endChunkedRead() {
	if c.chunkedEnd != nil {
		close(c.chunkedEnd)
		c.chunkedEnd = nil
	}
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
	if c.readAheadFullSince.IsZero() {
		c.readAheadFullSince = time.Now()
	}
	if peerClosed(fd) { // true even if data sent before the end is still unread
		return io.EOF
	}
	return nil
}

// clientPresence is what is known about the client of the request in flight.
type clientPresence int

const (
	clientPresent clientPresence = iota
	clientDeparted
	// presenceUnknown means that the read-ahead buffer is full and data is unread in the socket, so that the client's FIN may
	// be held back on its side: it comes behind all data, and once the receive window has closed, the kernel opens it again
	// only when there is room for a whole segment, which on some networks is the whole buffer.
	presenceUnknown
)

// isDisconnect reports whether an error on the client's connection means that the connection is over.
func isDisconnect(err error) bool { return err != nil && !syserr.Retryable(err) }

// presence checks the socket, since net/http reports a disconnect only after its background read has run.
func (c *clientConn) presence() clientPresence {
	if c == nil {
		return clientPresent
	}
	result := clientPresent
	failed := c.raw.Control(func(fd uintptr) {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		switch {
		case peerClosed(int(fd)): // asked first, since a read may fail for a temporary lack of resources
			result = clientDeparted
		case !c.inFlight: // the request isn't complete: nothing is read ahead
		case isDisconnect(c.fillReadAhead(int(fd))):
			result = clientDeparted
		case !c.readAheadFullSince.IsZero() && unreadBytes(int(fd)) >= c.unreadHidingFIN():
			result = presenceUnknown
		}
	})
	if failed != nil {
		return clientDeparted
	}
	return result
}

// unreadHidingFIN returns how many unread bytes may hide the client's FIN. While the connection is to be closed nothing more is read
// ahead, even if there is room; then a few bytes don't show that the window has closed.
func (c *clientConn) unreadHidingFIN() int {
	if c.closeAfterReadAhead {
		return minUnreadHidingFIN
	}
	return 1
}

// disconnectWatch waits until a client disconnects, while nobody reads from its connection. It reads nothing itself.
type disconnectWatch struct {
	conn  *clientConn
	ended chan struct{}
}

// watchDisconnect calls disconnected once the client has closed or reset its connection, unless the watch is stopped before.
// Data that the client sent before that may be unread. The watch must be stopped before anybody reads from the connection.
func (c *clientConn) watchDisconnect(disconnected func()) *disconnectWatch {
	if c == nil {
		return nil
	}
	w := &disconnectWatch{conn: c, ended: make(chan struct{})}
	_ = c.TCPConn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	go func() {
		defer close(w.ended)
		// The function is called again whenever something has arrived.
		if err := c.raw.Read(func(fd uintptr) bool { return peerClosed(int(fd)) }); err == nil {
			disconnected()
		}
	}()
	return w
}

// stop ends the watch. net/http doesn't notice, since no read of its own is interrupted.
func (w *disconnectWatch) stop() {
	if w == nil {
		return
	}
	_ = w.conn.TCPConn.SetReadDeadline(time.Unix(1, 0))
	<-w.ended
	_ = w.conn.TCPConn.SetReadDeadline(time.Time{})
}

// hasUnreadBytes reports whether at least length bytes have arrived and are still to be read.
func (c *clientConn) hasUnreadBytes(length int64) (found bool) {
	if c == nil {
		return false
	}
	failed := c.raw.Control(func(fd uintptr) {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		found = int64(len(c.readAhead.bytes)+unreadBytes(int(fd))) >= length
	})
	return failed == nil && found
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
