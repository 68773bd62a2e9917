package node

import (
	"time"

	"cobaltward/internal/syserr"
)

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
