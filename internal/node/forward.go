package node

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// streamRequest forwards a request while its body arrives. If the server responds or breaks the connection before the end,
// the rest of the body is not sent and early is true. It never waits for the client then, nor touches the client's
// connection: net/http takes every failed read of a request for a client that has left.
func (e *exchange) streamRequest(ctx context.Context) (early bool, err error) {
	began := time.Now()
	stream := &requestStream{request: e.clientRequest, conn: e.conn.TCPConn}
	request := e.newServerRequest(e.clientRequest, stream)
	written := make(chan error, 1)
	go func() { written <- request.Write(stream) }()
	answered := make(chan struct{})
	go func() { // reads nothing, and ends at the latest when the connection is closed
		defer close(answered)
		e.conn.waitReadable()
	}()
	stopTimeout := e.limitUploadTime()
	select {
	case err = <-written:
	case <-answered:
		// The writer may have sent the last byte without having returned yet, and a request sent completely may have run.
		if !e.clientRequest.bodyRest.isComplete() && stream.stop() {
			err = errStopped // the writer ends once the client sends more or fails to
		} else {
			err = <-written
		}
		early = err != nil
	}
	stopTimeout()
	if err != nil {
		if early && ctx.Err() == nil {
			e.attemptTimer.Reset(earlyResponseTimeout)
		}
		return early && ctx.Err() == nil, err
	}
	if err := e.conn.SetWriteDeadline(time.Time{}); err != nil {
		return false, err
	}
	e.uploadTime = time.Since(began)
	e.attemptTimer.Reset(time.Until(e.answerDeadline()))
	<-answered
	return false, nil
}

// answerDeadline returns when the attempt times out once the request has been written. The time that a large body took is
// not counted, unless the client waits no longer.
func (e *exchange) answerDeadline() time.Time {
	deadline := e.params.deadline.Add(e.uploadTime)
	if e.clientRequest.bodyRest == nil {
		return deadline
	}
	if last := e.params.uploadDeadline(); last.Before(deadline) {
		return last
	}
	return deadline
}

// limitUploadTime makes the attempt time out at params.uploadDeadline, however that moves, until the returned function is
// called. A server that takes the body too slowly thus doesn't hold up the client's answer.
func (e *exchange) limitUploadTime() (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		timeout := time.NewTimer(time.Until(e.params.uploadDeadline()))
		defer timeout.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-timeout.C:
			}
			left := time.Until(e.params.uploadDeadline())
			if left <= 0 {
				e.attemptTimer.Reset(0)
				return
			}
			timeout.Reset(left)
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

// requestStream forwards one large request to one server. It is both the source of the part of the body that is not in
// memory and the destination of the request. After stop neither reads or writes any more, and the body is left to others.
type requestStream struct {
	request *clientRequest
	conn    *net.TCPConn

	mu      sync.Mutex
	stopped bool
	reading bool // a read from the client is in progress
}

// stop ends the forwarding. A blocked write to the server fails at once. stop returns true if a read from the client is in
// progress; then the end of the body has not been sent.
func (s *requestStream) stop() (reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return s.reading
}

// Read reads from the part of the body that is not in memory yet. The end of the body of a client that has disconnected is
// withheld, so that its request never becomes complete at the server: while the body was unread, it may have hidden that
// the client had left before the attempt began. The same holds if what is unread behind the body may hide it still.
func (s *requestStream) Read(p []byte) (int, error) {
	if !s.beginRead() {
		return 0, errStopped
	}
	n, err := s.request.bodyRest.readWhile(s.request.ctx, p)
	if !s.endRead() {
		return 0, errStopped
	}
	if err == io.EOF {
		switch s.request.client.presence() {
		case clientDeparted:
			return 0, s.request.bodyRest.fail(errClientLeft)
		case presenceUnknown:
			return 0, errUnseenDeparture
		}
	}
	return n, err
}

// beginRead returns false if the stream was stopped. The first read releases the memory of the part of the body that was
// held, so that the request can't be sent again.
func (s *requestStream) beginRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.reading = true
	if !s.request.bodyRest.forwarded.Swap(true) {
		s.request.body = nil
		s.request.reserved.resize(pieceSize)
	}
	return true
}

// endRead returns false if the stream was stopped during the read.
func (s *requestStream) endRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	return !s.stopped
}

// Write writes to the server. It fails once the server accepts nothing for stallTimeout.
func (s *requestStream) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		if !s.extendWriteDeadline() {
			return n, errStopped
		}
		var m int
		m, err = s.conn.Write(p[n:min(len(p), n+pieceSize)])
		n += m
	}
	return n, err
}

// extendWriteDeadline returns false if the stream was stopped.
func (s *requestStream) extendWriteDeadline() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		_ = s.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	}
	return !s.stopped
}

// waitReadable waits until there is something to read or the connection has ended.
func (c *serverConn) waitReadable() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // the next read returns the error again
		_, err := peekSocket(int(fd))
		return err != syscall.EAGAIN
	})
}
