package node

import (
	"log/slog"
	"net"
	"time"

	"cobaltward/internal/faultpoint"
	"cobaltward/internal/syserr"
)

// Pauses of a listener whose accept failed: some errors last for as long as descriptors are short.
const (
	acceptPause     = time.Millisecond
	acceptPauseMost = 100 * time.Millisecond
)

func acceptOnce(l net.Listener) (net.Conn, error) {
	if err := faultpoint.Fail(faultpoint.Accept); err != nil {
		return nil, err
	}
	return l.Accept()
}

// acceptPatiently accepts the next connection. Linux hands on errors of the connection itself through accept(2), and
// those of what the system lacks for a moment; net/http would take most of them for the listener's end. It returns an
// error only once the listener is closed or can never accept.
func acceptPatiently(l net.Listener) (net.Conn, error) {
	backoff := syserr.Backoff{First: acceptPause, Most: acceptPauseMost}
	for {
		conn, err := acceptOnce(l)
		if err == nil || syserr.Classify(err) == syserr.Final {
			return conn, err
		}
		pause := backoff.Next()
		slog.Warn("accept failed", "address", l.Addr(), "err", err, "again_in", pause)
		time.Sleep(pause)
	}
}
