package node

import (
	"net"
	"runtime"
	"syscall"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/internal/syserr"
)

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
