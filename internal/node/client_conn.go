package node

import (
	linked "container/list"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
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
	gone      bool
	watch     headWatch
	readAhead []byte // read, but not let through yet
	// inFlight says that the node has a whole request. What comes behind it is read ahead and kept back, for
	// net/http takes a byte of it for a sign of life and looks no further for the client's end.
	inFlight bool

	served bool // it has had an answer
	kept   int  // times that it was not ended for the request behind
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
	c.since, c.began = time.Now(), time.Time{}
	if c.watch.line > 0 { // net/http looks ahead by a byte
		c.began = c.since
	}
	if c.position == nil {
		c.position = c.owner.waiting.PushBack(c)
	} else {
		c.owner.waiting.MoveToBack(c.position)
	}
}

// let returns how many bytes of what a client said go on now. With a whole head, or a whole body, the node
// owes the next step.
func (c *clientConn) let(p []byte) int {
	if c.position != nil {
		c.since = time.Now()
		if c.began.IsZero() {
			c.began = c.since
		}
		c.owner.waiting.MoveToBack(c.position)
	}
	heads, body := c.watch.heads, c.watch.body
	n := c.watch.pass(p)
	if c.watch.heads != heads || body > 0 && c.watch.body == 0 {
		c.inFlight = true
		c.removeIdle() // at once: by the time that its handler runs, it might have made room for another
	}
	return n
}

func (c *clientConn) removeIdle() {
	if c.position != nil {
		c.owner.waiting.Remove(c.position)
		c.position = nil
	}
}

// more tells whether a request that the node has not taken up stands behind the one in hand.
func (c *clientConn) more() bool {
	return len(c.readAhead) > 0 || c.watch.line > 0 || unread(c.TCPConn)
}

// keepOpen tells whether the connection is to stay open though clients are sent away: for a request that has
// come already, but not for ever.
func (c *clientConn) keepOpen() bool {
	if c == nil {
		return false
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.kept >= mostKept || !c.more() {
		return false
	}
	c.kept++
	return true
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
	if len(c.readAhead) > 0 || !isIdle(c.TCPConn) {
		return false
	}
	c.forget()
	return true
}

// Read also notes that a request begins: net/http says so only once it has the whole head. Bytes are
// taken under the owner's mutex, so that none are in nobody's hands when it looks for quiet connections.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if n = c.takeReadAhead(p); n > 0 || len(p) == 0 {
		return n, nil
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		switch {
		case c.gone:
			err = net.ErrClosed
			return true
		case c.inFlight:
			err = c.fillReadAhead(int(fd))
			return err != nil
		}
		n, err = readSocket(int(fd), p)
		if n > 0 {
			whole := p[:n]
			if n = c.let(whole); n < len(whole) {
				c.readAhead = append(c.readAhead, whole[n:]...)
			}
		}
		return err != syscall.EAGAIN
	})
	if err == nil {
		err = waited
	}
	return n, err
}

// readSocket takes what has come: syscall.EAGAIN stands for nothing, and io.EOF for the client's end.
func readSocket(fd int, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, err
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// fillReadAhead keeps what has come behind the request in hand, and returns an error once the client has gone.
func (c *clientConn) fillReadAhead(fd int) error {
	for len(c.readAhead) < aheadMost {
		var piece [4 << 10]byte
		n, err := readSocket(fd, piece[:min(len(piece), aheadMost-len(c.readAhead))])
		switch {
		case err == syscall.EAGAIN:
			return nil
		case err != nil:
			return err
		}
		c.readAhead = append(c.readAhead, piece[:n]...)
	}
	return nil
}

// departed tells whether the client of the request in hand has closed its connection, as far as the system knows:
// net/http says so only once its reader has run.
func (c *clientConn) departed() bool {
	if c == nil {
		return false
	}
	err := error(nil)
	failed := c.raw.Control(func(fd uintptr) {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		if c.inFlight {
			err = c.fillReadAhead(int(fd))
		}
	})
	return failed != nil || err != nil
}

// complete notes that a body whose length was not told has come whole.
func (c *clientConn) complete() {
	if c != nil {
		c.owner.mu.Lock()
		c.inFlight = true
		c.owner.mu.Unlock()
	}
}

// discard lets all that still comes through, for it is not to be served.
func (c *clientConn) discard() {
	if c != nil {
		c.owner.mu.Lock()
		c.inFlight, c.watch.body = false, -1
		c.owner.mu.Unlock()
	}
}

// takeReadAhead takes from what was read before.
func (c *clientConn) takeReadAhead(p []byte) int {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if len(c.readAhead) == 0 || c.inFlight || c.gone {
		return 0
	}
	n := c.let(p[:copy(p, c.readAhead)])
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// flaws are those of the head of the request in hand.
func (c *clientConn) flaws() headFlaws {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.watch.flaws
}

// expect lets a body of the given length through next, or all that comes where that is below 0, and
// returns when the request began to come.
func (c *clientConn) expect(length int64) (began time.Time) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.watch.body, c.inFlight = length, false
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
	c.gone = true
	c.owner.open--
}
