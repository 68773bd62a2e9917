package node

import (
	linked "container/list"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/internal/syserr"
)

// clientConn is one connection of a client.
type clientConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	owner *clients

	// Under the owner's mutex.
	position  *linked.Element // among those waited for; nil while a whole request is in it
	since     time.Time       // when it last said something, or had its answer
	began     time.Time       // when its request began to come; zero before that
	came      time.Time       // when the newest byte that was let through had come
	headBy    time.Time       // when the head that has begun must be whole; zero: none has, or net/http sees to it
	gone      bool
	watch     headWatch
	readAhead readAheadBuffer // read, but not let through yet
	fullSince time.Time       // what is read from now on may have come since then; zero: the socket was seen empty
	codedRead chan struct{}   // closed once the end of a body with a transfer coding is found; nil: none is being read
	// inFlight says that the node has a whole request. What comes behind it is read ahead and kept back, for
	// net/http takes a byte of it for a sign of life and looks no further for the client's end.
	inFlight bool

	served   bool // it has had an answer
	lastTurn bool // it ends once what has been read is answered: nothing more is read ahead
	kept     int  // times that it was not ended for an unread request
}

// kind tells in which order connections are closed to make room.
func (c *clientConn) kind(fresh time.Time) int {
	old := c.since.Before(fresh)
	switch {
	case old && c.began.IsZero():
		return 0
	case old && c.since.Equal(c.began):
		return 1
	case c.began.IsZero():
		return 2
	}
	return 3
}

// markIdle puts a connection at the end of those waited for: it owes a request.
func (c *clientConn) markIdle() {
	c.inFlight = false
	c.since, c.began, c.headBy = time.Now(), time.Time{}, time.Time{}
	if c.watch.line > 0 { // net/http looks ahead by a byte
		c.began = c.since
	}
	if c.position == nil {
		c.position = c.owner.waiting.PushBack(c)
	} else {
		c.owner.waiting.MoveToBack(c.position)
	}
}

// let returns how many bytes of what a client said go on now; cameAt tells when the n-th of them came. With a whole
// head, or a whole body, the node owes the next step.
func (c *clientConn) let(p []byte, cameAt func(n int) time.Time) int {
	if c.position != nil {
		c.since = time.Now()
		if c.began.IsZero() {
			c.began = c.since
			c.limitHead(cameAt(1))
		}
		c.owner.waiting.MoveToBack(c.position)
	}
	heads, body := c.watch.heads, c.watch.body
	n := c.watch.pass(p)
	c.came = cameAt(n)
	if c.watch.heads != heads || body > 0 && c.watch.body == 0 {
		c.inFlight = true
		c.headBy = time.Time{}
		c.removeIdle() // at once: by the time that its handler runs, it might have made room for another
	}
	return n
}

// limitHead bounds the time that the rest of a head may take whose first byte came then. On a connection that is used
// again net/http begins to count with the fourth byte, and without those it waits for as long as for a new request.
func (c *clientConn) limitHead(first time.Time) {
	if !c.served {
		return
	}
	c.headBy = first.Add(headerTimeout)
	if least := c.began.Add(leastGrace); c.headBy.Before(least) {
		c.headBy = least
	}
	_ = c.TCPConn.SetReadDeadline(c.headBy) // fails only on a connection that is gone
}

// SetReadDeadline is net/http's, which may not put off the end of a head that has begun.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.headBy.IsZero() && (t.IsZero() || t.After(c.headBy)) {
		t = c.headBy
	}
	if !t.IsZero() && t.Before(time.Now()) { // whoever reads is to stop
		c.endCodedRead()
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *clientConn) removeIdle() {
	if c.position != nil {
		c.owner.waiting.Remove(c.position)
		c.position = nil
	}
}

// mayStay tells whether the connection may stay open behind an answer. Where clients are sent away it stays for what
// has been read of further requests, and for a few that have come and were not read yet, but not for ever.
func (c *clientConn) mayStay(sentAway bool) bool {
	if c == nil {
		return !sentAway
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	switch {
	case !sentAway:
		c.lastTurn = false
		return true
	case len(c.readAhead.bytes) > 0 || c.watch.line > 0:
		c.lastTurn = true
		return true
	case c.kept >= mostKept || !unread(c.TCPConn):
		return false
	}
	c.kept++
	return true
}

// closes counts that the connection is closed, and why.
func (c *clientConn) closes(reason string) {
	if c != nil {
		c.owner.metrics.closed.WithLabelValues(reason).Inc()
	}
}

func (c *clientConn) answered() {
	if c != nil {
		c.owner.mu.Lock()
		c.served = true
		c.owner.mu.Unlock()
	}
}

// Close lets a client read its answer: bytes that come as the connection is closed, and that nobody reads any more,
// would reset it and take the answer with it. So it waits for the client's end, for a moment.
func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	lingers := c.served && !c.gone && !c.owner.cut
	c.owner.mu.Unlock()
	if lingers && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(c.owner.linger))
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close()
}

// tryClose takes a connection that the node waits for out of service, for the caller to close without the mutex,
// unless something has come that nobody has read yet: a request that meets a close is turned back unheard. What comes
// from now on is not read.
func (c *clientConn) tryClose() bool {
	denied := invariant.MayClose(invariant.Connection{RequestOpen: c.inFlight, ReadAhead: len(c.readAhead.bytes),
		UnreadBytes: !isIdle(c.TCPConn)})
	if denied != invariant.None {
		c.owner.monitor.Deny(denied)
		return false
	}
	c.forget()
	return true
}

// Read also notes that a request begins: net/http says so only once it has the whole head. Bytes are
// taken under the owner's mutex, so that none are in nobody's hands when it looks for quiet connections.
func (c *clientConn) Read(p []byte) (n int, err error) {
	c.awaitCodedEnd(p)
	if n = c.takeReadAhead(p); n > 0 || len(p) == 0 {
		return n, nil
	}
	for {
		n, err = c.readOnce(p)
		if !syserr.Passes(err) {
			return n, err
		}
		time.Sleep(ioPause) // the system lacks something for a moment, and the client is there still
	}
}

// readOnce waits for bytes, or for an error.
func (c *clientConn) readOnce(p []byte) (n int, err error) {
	failed := c.raw.Read(func(fd uintptr) bool {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		if denied := invariant.MayRead(c.gone); denied != invariant.None {
			c.owner.monitor.Deny(denied)
			err = net.ErrClosed
			return true
		}
		if c.inFlight {
			err = c.fillReadAhead(int(fd))
			return err != nil
		}
		if n, err = readSocket(int(fd), p); n > 0 {
			n = c.letRead(p[:n], c.arrival(int(fd)))
		} else if err == syscall.EAGAIN {
			c.fullSince = time.Time{}
		}
		return err != syscall.EAGAIN
	})
	if failed != nil && (err == nil || err == syscall.EAGAIN) {
		err = failed
	}
	return n, err
}

// Write writes an answer, again for a while where the system lacks buffers for it.
func (c *clientConn) Write(p []byte) (int, error) { return writePatiently(c.TCPConn, p) }

// codedEndWait bounds what awaitCodedEnd waits: net/http may also want a single byte to fill its buffer.
const codedEndWait = 100 * time.Millisecond

// awaitCodedEnd holds up net/http's look for a sign of its client, for a single byte, which it begins at the end of a
// body before the node has heard of that: the byte would be taken from the next request's head.
func (c *clientConn) awaitCodedEnd(p []byte) {
	if len(p) != 1 {
		return
	}
	c.owner.mu.Lock()
	wait := c.codedRead
	c.owner.mu.Unlock()
	if wait == nil {
		return
	}
	late := time.NewTimer(codedEndWait)
	defer late.Stop()
	select {
	case <-wait:
	case <-late.C:
	}
}

// endCodedRead lets go whoever waits in awaitCodedEnd. The caller has the owner's mutex.
func (c *clientConn) endCodedRead() {
	if c.codedRead != nil {
		close(c.codedRead)
		c.codedRead = nil
	}
}

// seesHeads tells whether heads of further requests are seen behind the one in flight.
func (c *clientConn) seesHeads() bool {
	if c == nil {
		return false
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.watch.body >= 0
}

// letRead lets a part of what was read through, and keeps the rest.
func (c *clientConn) letRead(p []byte, came time.Time) int {
	n := c.let(p, func(int) time.Time { return came })
	c.readAhead.append(p[n:], came)
	return n
}

// arrival is when what was just read came, as the system tells it: the process may have been held up since. Nothing
// that is read once the read-ahead buffer was full is known to have come after that.
func (c *clientConn) arrival(fd int) time.Time {
	if !c.fullSince.IsZero() {
		return c.fullSince
	}
	return time.Now().Add(-lastDataAge(fd))
}

// fillReadAhead keeps what has come behind the request in flight, and returns an error once the client has gone.
func (c *clientConn) fillReadAhead(fd int) error {
	for !c.lastTurn && len(c.readAhead.bytes) < aheadMost {
		var piece [4 << 10]byte
		n, err := readSocket(fd, piece[:min(len(piece), aheadMost-len(c.readAhead.bytes))])
		switch {
		case err == syscall.EAGAIN:
			c.fullSince = time.Time{}
			return nil
		case err != nil:
			return err
		}
		c.readAhead.append(piece[:n], c.arrival(fd))
	}
	if c.fullSince.IsZero() {
		c.fullSince = time.Now()
	}
	if peerClosed(fd) { // what it sent before stands ahead of its end
		return io.EOF
	}
	return nil
}

// presence is what can be told of the client of the request in flight.
type presence int

const (
	present presence = iota
	departed
	// hidden stands behind so many unread bytes that its end, if it has come to one, may not have found room among them.
	hidden
)

// gone tells whether an error of the client's connection is its end.
func gone(err error) bool { return err != nil && !syserr.Passes(err) }

// presence asks the system, for net/http tells of a client that has closed its connection only once its reader has run.
func (c *clientConn) presence() presence {
	if c == nil {
		return present
	}
	found := present
	failed := c.raw.Control(func(fd uintptr) {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		switch {
		case !c.inFlight:
		case gone(c.fillReadAhead(int(fd))):
			found = departed
		case !c.fullSince.IsZero() && unreadBytes(int(fd)) >= hidingBytes:
			found = hidden
		}
	})
	if failed != nil {
		return departed
	}
	return found
}

// holdsUnread tells whether so many bytes have come and wait to be read.
func (c *clientConn) holdsUnread(length int64) (yes bool) {
	if c == nil {
		return false
	}
	failed := c.raw.Control(func(fd uintptr) {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		yes = int64(len(c.readAhead.bytes)+unreadBytes(int(fd))) >= length
	})
	return failed == nil && yes
}

// complete notes that net/http has read a body to its end.
func (c *clientConn) complete() {
	if c != nil {
		c.owner.mu.Lock()
		c.inFlight = true
		c.watch.endCoded()
		c.endCodedRead()
		c.owner.mu.Unlock()
	}
}

// discard lets all that still comes through, for it is not to be served.
func (c *clientConn) discard() {
	if c != nil {
		c.owner.mu.Lock()
		c.inFlight, c.watch.body = false, unseen
		c.endCodedRead()
		c.owner.mu.Unlock()
	}
}

// takeReadAhead takes from what was read before.
func (c *clientConn) takeReadAhead(p []byte) int {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if len(c.readAhead.bytes) == 0 || c.inFlight || c.gone {
		return 0
	}
	n := c.let(p[:copy(p, c.readAhead.bytes)], c.readAhead.cameAt)
	c.readAhead.take(n)
	return n
}

// arrived is when the last byte of the request in flight came.
func (c *clientConn) arrived() time.Time {
	if c == nil {
		return time.Now()
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.came
}

// violations are those of the head of the request in hand.
func (c *clientConn) violations() headViolations {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.watch.violations
}

// expect lets a body of the given length through next, or all that comes where that is below 0, and
// returns when the request began to come.
func (c *clientConn) expect(length int64) (began time.Time) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.inFlight = false
	if c.watch.expect(length); length < 0 && !c.gone {
		c.codedRead = make(chan struct{})
	}
	if 0 < length && length <= wholeBody && c.position == nil && !c.gone { // others have a pace to keep
		c.position = c.owner.waiting.PushBack(c)
	}
	return c.began
}

// change follows the connection's state.
func (c *clientConn) change(state http.ConnState) {
	l := c.owner
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.gone:
		return
	case state == http.StateClosed || state == http.StateHijacked:
		c.forget()
	case state == http.StateIdle:
		c.markIdle()
	}
	l.room.Signal()
}

// forget takes the connection out of the count.
func (c *clientConn) forget() {
	c.removeIdle()
	c.endCodedRead()
	c.gone = true
	c.owner.open--
}
