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
	flowRate    = 32 << 20              // bytes a second of one body for each core: some hundredths of it
	flowStep    = time.Millisecond      // the least worth a wait
	leastWait   = 20 * time.Millisecond // for bytes that have come already
)

var (
	errTooSlow  = errors.New("the body comes too slowly")
	errTooLarge = errors.New("the body is too large")
	errNoMemory = errors.New("there is no room for the body")
	errUnwanted = errors.New("nobody waits for the answer")
	errStopped  = errors.New("the body is not wanted any more")
)

// upload is a request's body as it comes from a client.
type upload struct {
	conn   *http.ResponseController
	client *clientConn // nil where others accepted it
	body   io.Reader
	grace  time.Duration
	left   chan struct{} // closed when the body can't come whole, by the client's doing

	mu      sync.Mutex
	stopped bool
	ended   bool  // the last byte was read
	err     error // why left is closed

	// Only the one who reads touches these.
	flow   flow
	waited time.Duration
	got    int64
	begun  atomic.Bool // bytes beyond those held have gone on: it can't be sent again
}

// newUpload reads a body whose request's head began to come a while ago: a peer that dribbles both is owed
// an end in time.
func newUpload(w http.ResponseWriter, client *clientConn, body io.Reader, ago time.Duration, rate float64) *upload {
	return &upload{conn: http.NewResponseController(w), client: client, body: body, left: make(chan struct{}), flow: flow{rate: rate},
		grace: min(bodyGrace, max(leastGrace, badPeerEnd-ago))}
}

func (u *upload) Read(p []byte) (int, error) {
	u.flow.wait()
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
	u.flow.add(n)
	switch {
	case u.got > maxBody:
		return 0, u.fail(errTooLarge)
	case err == io.EOF:
		u.mu.Lock()
		defer u.mu.Unlock()
		u.ended = true
		u.client.complete()
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

// flow keeps one large body from taking the processor from all others: nobody is in such a hurry with it, and
// what it takes in a burst, others lack for a while where the node has only a part of a core.
type flow struct {
	rate  float64 // bytes a second
	until time.Time
}

// wait lets time pass until the bytes so far fit the rate.
func (f *flow) wait() {
	if d := time.Until(f.until); d >= flowStep {
		time.Sleep(d)
	}
}

func (f *flow) add(n int) {
	if now := time.Now(); f.until.Before(now) {
		f.until = now
	}
	f.until = f.until.Add(time.Duration(float64(n) / f.rate * float64(time.Second)))
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
