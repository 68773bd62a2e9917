// Package syserr sorts the errors of system calls by whose fault they are, and by whether they pass.
package syserr

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Class is what a system call's error tells.
type Class int

// The classes, for calls as the manual pages accept(2), connect(2), socket(2), recv(2), send(2) and open(2) tell of them.
const (
	Other   Class = iota // not from a system call, or not known
	Passing              // the same call may succeed at once
	OwnLack              // this machine or process lacks something for a moment: descriptors, buffers, ports, a route
	Peer                 // the other side, or the way to it, is to blame
	Final                // the descriptor is closed, or the call makes no sense: it fails for ever
)

// String is the class's name in logs.
func (c Class) String() string {
	return [...]string{"other", "passing", "own lack", "peer", "final"}[c]
}

// Classify sorts an error, which may be wrapped.
func Classify(err error) Class {
	if errors.Is(err, net.ErrClosed) {
		return Final
	}
	var code syscall.Errno
	if !errors.As(err, &code) {
		return Other
	}
	switch code {
	case syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED:
		return Passing
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETDOWN,
		syscall.ENETUNREACH, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EPERM, syscall.ENOSR:
		return OwnLack
	case syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN,
		syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENONET, syscall.ENETRESET:
		return Peer
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT, syscall.ENOTCONN, syscall.EADDRINUSE, syscall.EACCES:
		return Final
	}
	return Other
}

// Passes tells whether the same call is worth another try: the error is a moment's.
func Passes(err error) bool {
	c := Classify(err)
	return c == Passing || c == OwnLack
}

// Backoff is the pause between tries of a call whose errors pass: First, doubled each time, up to Most.
type Backoff struct {
	First, Most time.Duration
	last        time.Duration
}

// Next returns the pause before the next try.
func (b *Backoff) Next() time.Duration {
	b.last = min(b.Most, max(b.First, 2*b.last))
	return b.last
}

// Reset begins anew, after a try that succeeded.
func (b *Backoff) Reset() { b.last = 0 }

// Retry tries a call again for as long as its errors pass, up to the given time from now or the end of ctx, and returns
// the last error; nil once a try has succeeded.
func Retry(ctx context.Context, within time.Duration, pauses Backoff, try func() error) error {
	for late := time.Now().Add(within); ; {
		err := try()
		if err == nil || !Passes(err) || ctx.Err() != nil || time.Now().After(late) {
			return err
		}
		select {
		case <-time.After(pauses.Next()):
		case <-ctx.Done():
			return err
		}
	}
}
