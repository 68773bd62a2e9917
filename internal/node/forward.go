package node

import (
	"context"
	"net"
	"syscall"
	"time"
)

// streamRequest forwards a request while its body arrives. If the server responds before the end, most likely with a
// refusal, the rest of the body is not sent and early is true.
func (e *exchange) streamRequest(ctx context.Context) (early bool, err error) {
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- e.newServerRequest(e.clientRequest).Write(stallWriter{e.conn.TCPConn}) }()
	answered := make(chan struct{})
	go func() { // reads nothing, and ends at the latest when the connection is closed
		defer close(answered)
		e.conn.waitReadable()
	}()
	select {
	case err = <-done:
	case <-answered:
		// The writer may have sent the last byte without having returned yet, and a request sent completely may have run.
		if !e.clientRequest.bodyRest.isComplete() {
			e.clientRequest.bodyRest.stop()
			_ = e.conn.SetWriteDeadline(time.Unix(1, 0))
		}
		err = <-done
		early = err != nil
	}
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
	e.params.onUploaded(e.uploadTime)
	e.attemptTimer.Reset(time.Until(e.params.deadline.Add(e.uploadTime)))
	<-answered
	return false, nil
}

// stallWriter is a writer that fails once the peer accepts nothing for stallTimeout.
type stallWriter struct{ *net.TCPConn }

func (w stallWriter) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		_ = w.SetWriteDeadline(time.Now().Add(stallTimeout))
		m, err = w.TCPConn.Write(p[n:min(len(p), n+pieceSize)])
		n += m
	}
	return n, err
}

// bodyRestReader reads the part of a large body that is not in memory yet. The first read releases the memory of the part
// that is.
type bodyRestReader struct{ request *clientRequest }

func (b bodyRestReader) Read(p []byte) (int, error) {
	if !b.request.bodyRest.forwarded.Swap(true) {
		b.request.body = nil
		b.request.reserved.resize(pieceSize)
	}
	return b.request.bodyRest.Read(p)
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
