// Package syserr classifies the errors of system calls by origin and by whether they are temporary, and retries calls.
package syserr

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Class is the classification of a system call's error.
type Class int

// The classes, after the manual pages accept(2), connect(2), socket(2), recv(2), send(2) and open(2).
const (
	Other         Class = iota // not from a system call, or unknown
	Transient                  // the same call may succeed at once
	LocalShortage              // this machine or process is temporarily short of descriptors, buffers, ports, a route or the like
	Peer                       // caused by the peer or the path to it
	Permanent                  // the descriptor is closed or the call is invalid: retrying can't succeed
)

// String returns the class's name in logs.
func (c Class) String() string {
	return [...]string{"other", "passing", "own lack", "peer", "final"}[c]
}

// Classify returns the class of an error, which may be wrapped.
func Classify(err error) Class {
	if errors.Is(err, net.ErrClosed) {
		return Permanent
	}
	var code syscall.Errno
	if !errors.As(err, &code) {
		return Other
	}
	switch code {
	case syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED:
		return Transient
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETDOWN,
		syscall.ENETUNREACH, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EPERM, syscall.ENOSR:
		return LocalShortage
	case syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN,
		syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENONET, syscall.ENETRESET:
		return Peer
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT, syscall.ENOTCONN, syscall.EADDRINUSE, syscall.EACCES:
		return Permanent
	}
	return Other
}

// Retryable reports whether the error is temporary, so that the same call is worth retrying.
func Retryable(err error) bool {
	if err == nil { // the most frequent case; Classify allocates memory
		return false
	}
	c := Classify(err)
	return c == Transient || c == LocalShortage
}

// Backoff yields the pauses between retries of a call: Initial, doubled each time, up to Max.
type Backoff struct {
	Initial, Max time.Duration
	last         time.Duration
}

// Next returns the pause before the next retry.
func (b *Backoff) Next() time.Duration {
	b.last = min(b.Max, max(b.Initial, 2*b.last))
	return b.last
}

// Reset starts again from Initial, after a call that succeeded.
func (b *Backoff) Reset() { b.last = 0 }

// Retry calls f until it succeeds, its error isn't retryable, the timeout has passed or ctx has ended, and returns the
// last error, or nil after a success.
func Retry(ctx context.Context, timeout time.Duration, backoff Backoff, f func() error) error {
	for deadline := time.Now().Add(timeout); ; {
		err := f()
		if err == nil || !Retryable(err) || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return err
		}
	}
}
