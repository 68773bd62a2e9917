package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Clients are allowed to send a body as slowly as 64 kB/s, in pieces of any size; minBodyRate leaves a margin below
	// that. Only the time that the node spends waiting for data counts, so back-pressure doesn't penalize a client.
	minBodyRate     = 48 << 10                // bytes per second
	bodyGrace       = 2500 * time.Millisecond // waiting time that a body may take beyond minBodyRate
	minReadGrace    = 700 * time.Millisecond  // least time for a body or the rest of a head, since the first piece may arrive late
	slowClientLimit = 2900 * time.Millisecond // for the head and bodyGrace together, but the body gets at least minReadGrace
	minReadWait     = 20 * time.Millisecond   // allowed even without time left, for data that has already arrived
)

var (
	errTooSlow         = errors.New("the body comes too slowly")
	errTooLarge        = errors.New("the body is too large")
	errNoMemory        = errors.New("there is no room for the body")
	errUnseenDeparture = errors.New("too much is sent behind the request to see whether its client is still there")
	errStopped         = errors.New("the body is not wanted any more")
)

// upload is a request body that is being received from a client. An attempt reads it while it forwards it; whoever reads it
// after that gets what follows.
type upload struct {
	controller *http.ResponseController
	client     *clientConn // nil if the connection was accepted by another listener
	body       io.Reader
	length     int64 // of the complete body; -1 if unknown
	grace      time.Duration
	complete   chan struct{} // closed when the last byte has been read
	failed     chan struct{} // closed when the body can't be received completely, because of the client
	forwarded  atomic.Bool   // bytes beyond the held ones may have been forwarded, so the body can't be sent again
	progress   uploadProgress
	endedBy    time.Time // the final result of earliestEnd; set before complete is closed

	mu  sync.Mutex
	err error // why failed was closed

	reading  sync.Mutex       // held during a read; guards the following
	watch    *disconnectWatch // until the first read; nil: none
	limiter  rateLimiter
	waited   time.Duration
	received int64
}

// newUpload reads the body of a request whose head began to arrive the given time ago. Head and body share
// slowClientLimit, so that a client that sends both very slowly is disconnected in time.
func newUpload(w http.ResponseWriter, client *clientConn, body io.Reader, elapsed time.Duration, rate float64) *upload {
	return &upload{controller: http.NewResponseController(w), client: client, body: body, length: -1, progress: newUploadProgress(),
		complete: make(chan struct{}), failed: make(chan struct{}), limiter: rateLimiter{rate: rate},
		grace: min(bodyGrace, max(minReadGrace, slowClientLimit-elapsed))}
}

// Read waits for the next part of the body. It fails if the client sends too slowly or too much.
func (u *upload) Read(p []byte) (int, error) { return u.readWhile(context.Background(), p) }

// readWhile is Read, but reads nothing once ctx has ended. A read that has begun then is not interrupted: its deadline is
// the client's, and net/http would take the failed read for a client that has left.
func (u *upload) readWhile(ctx context.Context, p []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	switch {
	case ctx.Err() != nil:
		return 0, errStopped
	case u.isComplete():
		return 0, io.EOF
	}
	u.endWatch()
	u.limiter.wait()
	allowed := u.grace + time.Duration(float64(u.received)/minBodyRate*float64(time.Second)) - u.waited
	if allowed <= -minReadWait {
		return 0, u.fail(errTooSlow)
	}
	_ = u.controller.SetReadDeadline(time.Now().Add(max(minReadWait, allowed))) // fails only on closed connections
	began := time.Now()
	n, err := u.body.Read(p)
	u.waited += time.Since(began)
	u.received += int64(n)
	u.progress.add(n)
	u.limiter.add(n)
	switch {
	case u.received > maxBodySize:
		return 0, u.fail(errTooLarge)
	case err == io.EOF:
		u.endedBy = u.earliestEnd()
		u.client.markBodyRead()
		// From here on net/http keeps reading to detect a client that disconnects, for as long as the response takes.
		_ = u.controller.SetReadDeadline(time.Time{})
		close(u.complete)
	case err != nil:
		return n, u.fail(err)
	}
	return n, err
}

// limitRate sets the rate, in bytes per second, of the reads that follow.
func (u *upload) limitRate(rate float64) {
	u.reading.Lock()
	defer u.reading.Unlock()
	u.limiter.rate = rate
}

// watchClient makes the upload fail with errClientLeft if the client disconnects before the next read. net/http notices a
// disconnect only once the body has been read to its end. The caller must call stopWatching in the end.
func (u *upload) watchClient() {
	u.reading.Lock()
	defer u.reading.Unlock()
	u.watch = u.client.watchDisconnect(func() { _ = u.fail(errClientLeft) })
}

// stopWatching ends what watchClient began.
func (u *upload) stopWatching() {
	u.reading.Lock()
	defer u.reading.Unlock()
	u.endWatch()
}

// endWatch is stopWatching for a caller that holds the mutex reading.
func (u *upload) endWatch() {
	u.watch.stop()
	u.watch = nil
}

// fail records that the client won't send the complete body.
func (u *upload) fail(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil {
		u.err = err
		close(u.failed)
	}
	return err
}

// isComplete reports whether the last byte has been read.
func (u *upload) isComplete() bool {
	select {
	case <-u.complete:
		return true
	default:
		return false
	}
}

// failure returns why the body can't be received completely, or nil.
func (u *upload) failure() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}
