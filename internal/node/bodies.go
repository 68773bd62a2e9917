package node

import (
	"errors"
	"io"
	"time"
)

const (
	bodyRatePerCore = 32 << 20         // bytes per second of one body, per core of the node; costs a few hundredths of a core
	minRateWait     = time.Millisecond // shorter waits are skipped
)

var errUnwanted = errors.New("nobody waits for the answer")

// rateLimiter limits the rate of one large body, so that it doesn't starve other requests of processor time. Large
// bodies aren't urgent, while a burst delays everything else on a node that has only a fraction of a core.
type rateLimiter struct {
	rate     float64   // bytes per second
	nextRead time.Time // when the next read may begin
}

// wait sleeps until the bytes so far are within the rate.
func (l *rateLimiter) wait() {
	if d := time.Until(l.nextRead); d >= minRateWait {
		time.Sleep(d)
	}
}

func (l *rateLimiter) add(n int) {
	if now := time.Now(); l.nextRead.Before(now) {
		l.nextRead = now
	}
	l.nextRead = l.nextRead.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
}

// download is the part of a server's response that is streamed to the client. Its holder must call end.
type download struct {
	rest   io.Reader
	length int64 // of the whole response; -1 if unknown
	ended  chan error
}

// end reports that the rest was passed on completely, or why not. It must be called exactly once.
func (d *download) end(err error) {
	if d != nil {
		d.ended <- err
	}
}
