package node

import (
	"log/slog"
	"net"
	"time"

	"cobaltward/internal/faultpoint"
	"cobaltward/internal/syserr"
)

// Pauses between failed accepts; errors such as a shortage of file descriptors may persist for a while.
const (
	minAcceptPause = time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
)

func acceptOnce(l net.Listener) (net.Conn, error) {
	if err := faultpoint.Fail(faultpoint.Accept); err != nil {
		return nil, err
	}
	return l.Accept()
}

// acceptWithRetry accepts the next connection. accept(2) on Linux also returns pending errors of the new connection and
// temporary resource shortages; net/http would stop serving on most of them. acceptWithRetry retries them and returns
// an error only if the listener is closed or has failed permanently.
func acceptWithRetry(l net.Listener) (net.Conn, error) {
	backoff := syserr.Backoff{Initial: minAcceptPause, Max: maxAcceptPause}
	for {
		conn, err := acceptOnce(l)
		if err == nil || syserr.Classify(err) == syserr.Permanent {
			return conn, err
		}
		pause := backoff.Next()
		slog.Warn("accept failed", "address", l.Addr(), "err", err, "again_in", pause)
		time.Sleep(pause)
	}
}
