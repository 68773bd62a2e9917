package node

import (
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
	errTooSlow  = errors.New("the body comes too slowly")
	errTooLarge = errors.New("the body is too large")
	errNoMemory = errors.New("there is no room for the body")
	errStopped  = errors.New("the body is not wanted any more")
)

// upload is a request body that is being received from a client.
type upload struct {
	controller *http.ResponseController
	client     *clientConn // nil if the connection was accepted by another listener
	body       io.Reader
	grace      time.Duration
	failed     chan struct{} // closed when the body can't be received completely, because of the client

	mu      sync.Mutex
	stopped bool
	ended   bool  // the last byte has been read
	err     error // why failed was closed

	// Used only by the goroutine that reads the body, except for forwarded.
	limiter   rateLimiter
	waited    time.Duration
	received  int64
	forwarded atomic.Bool // bytes beyond the held ones have been forwarded, so the body can't be sent again
}

// newUpload reads the body of a request whose head began to arrive the given time ago. Head and body share
// slowClientLimit, so that a client that sends both very slowly is disconnected in time.
func newUpload(w http.ResponseWriter, client *clientConn, body io.Reader, elapsed time.Duration, rate float64) *upload {
	return &upload{controller: http.NewResponseController(w), client: client, body: body, failed: make(chan struct{}), limiter: rateLimiter{rate: rate},
		grace: min(bodyGrace, max(minReadGrace, slowClientLimit-elapsed))}
}

func (u *upload) Read(p []byte) (int, error) {
	u.limiter.wait()
	allowed := u.grace + time.Duration(float64(u.received)/minBodyRate*float64(time.Second)) - u.waited
	if allowed <= -minReadWait {
		return 0, u.fail(errTooSlow)
	}
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, errStopped
	}
	_ = u.controller.SetReadDeadline(time.Now().Add(max(minReadWait, allowed))) // fails only on closed connections
	u.mu.Unlock()
	began := time.Now()
	n, err := u.body.Read(p)
	u.waited += time.Since(began)
	u.received += int64(n)
	u.limiter.add(n)
	switch {
	case u.received > maxBodySize:
		return 0, u.fail(errTooLarge)
	case err == io.EOF:
		u.mu.Lock()
		defer u.mu.Unlock()
		u.ended = true
		u.client.markBodyRead()
		if u.stopped {
			break
		}
		// From here on net/http keeps reading to detect a client that disconnects, for as long as the response takes.
		_ = u.controller.SetReadDeadline(time.Time{})
	case err != nil:
		return n, u.fail(err)
	}
	return n, err
}

// fail records that the client won't send the complete body.
func (u *upload) fail(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil && !u.stopped {
		u.err = err
		close(u.failed)
	}
	return err
}

// stop interrupts a read that waits for the client, and makes all later reads fail.
func (u *upload) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	_ = u.controller.SetReadDeadline(time.Unix(1, 0))
}

// isComplete reports whether the last byte has been read.
func (u *upload) isComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// failure returns why the body can't be received completely, or nil.
func (u *upload) failure() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}
