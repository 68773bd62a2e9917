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
	// A client may send a body at 64 kB a second, in pieces of any size. Only the time in which the node waits for
	// it counts, so that back-pressure harms nobody.
	slowestBody = 48 << 10 // bytes a second
	bodyGrace   = 2500 * time.Millisecond
	leastGrace  = 700 * time.Millisecond // for a first piece that comes late
	badPeerEnd  = 2900 * time.Millisecond
	leastWait   = 20 * time.Millisecond // for bytes that have come already
)

var (
	errTooSlow  = errors.New("the body comes too slowly")
	errTooLarge = errors.New("the body is too large")
	errUnwanted = errors.New("nobody waits for the answer")
	errStopped  = errors.New("the body is not wanted any more")
	errSent     = errors.New("the body's bytes are not held any more")
)

// upload is a request's body as it comes from a client.
type upload struct {
	conn  *http.ResponseController
	body  io.Reader
	grace time.Duration
	left  chan struct{} // closed when the body can't come whole, by the client's doing

	mu      sync.Mutex
	stopped bool
	ended   bool  // the last byte was read
	err     error // why left is closed

	// Only the one who reads touches these.
	waited time.Duration
	got    int64
	begun  atomic.Bool // bytes beyond those held have gone on: it can't be sent again
}

// newUpload reads a body whose request's head began to come a while ago: a peer that dribbles both is owed
// an end in time.
func newUpload(w http.ResponseWriter, body io.Reader, ago time.Duration) *upload {
	return &upload{conn: http.NewResponseController(w), body: body, left: make(chan struct{}),
		grace: min(bodyGrace, max(leastGrace, badPeerEnd-ago))}
}

func (u *upload) Read(p []byte) (int, error) {
	allowed := u.grace + time.Duration(float64(u.got)/slowestBody*float64(time.Second)) - u.waited
	if allowed <= -leastWait {
		return 0, u.fail(errTooSlow)
	}
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, errStopped
	}
	_ = u.conn.SetReadDeadline(time.Now().Add(max(leastWait, allowed))) // fails only on connections that are gone
	u.mu.Unlock()
	began := time.Now()
	n, err := u.body.Read(p)
	u.waited += time.Since(began)
	u.got += int64(n)
	switch {
	case u.got > maxBody:
		return 0, u.fail(errTooLarge)
	case err == io.EOF:
		u.mu.Lock()
		defer u.mu.Unlock()
		u.ended = true
		if u.stopped {
			break
		}
		// From now on net/http reads on to notice a client that leaves, which may take as long as the answer.
		_ = u.conn.SetReadDeadline(time.Time{})
	case err != nil:
		return n, u.fail(err)
	}
	return n, err
}

// fail notes that the client's body won't come whole.
func (u *upload) fail(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil && !u.stopped {
		u.err = err
		close(u.left)
	}
	return err
}

// stop ends a read that waits for the client, and all later ones.
func (u *upload) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	_ = u.conn.SetReadDeadline(time.Unix(1, 0))
}

// whole tells whether the last byte was read.
func (u *upload) whole() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// failure is why the body can't come whole, or nil.
func (u *upload) failure() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// download is the part of a server's answer that goes on as it comes. Whoever has it must end it.
type download struct {
	rest   io.Reader
	length int64 // of the whole answer; -1 where it isn't told
	ended  chan error
}

// end says that the rest was passed on whole, or why not. It is said once.
func (d *download) end(err error) {
	if d != nil {
		d.ended <- err
	}
}
