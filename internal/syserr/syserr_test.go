package syserr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func TestClassifyUnwrapsErrors(t *testing.T) {
	wrap := func(code syscall.Errno) error {
		return fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", code)})
	}
	for err, want := range map[error]Class{
		wrap(syscall.EINTR): Transient, wrap(syscall.ECONNABORTED): Transient, wrap(syscall.ENOBUFS): LocalShortage,
		wrap(syscall.ENETUNREACH): LocalShortage, wrap(syscall.EADDRNOTAVAIL): LocalShortage, wrap(syscall.ECONNREFUSED): Peer,
		wrap(syscall.EHOSTUNREACH): Peer, wrap(syscall.ETIMEDOUT): Peer, wrap(syscall.EBADF): Permanent,
		&net.OpError{Op: "accept", Err: net.ErrClosed}: Permanent, errors.New("malformed"): Other, syscall.Errno(512): Other,
	} {
		if got := Classify(err); got != want {
			t.Errorf("%v: %v, want %v", err, got, want)
		}
		if got := Retryable(err); got != (want == Transient || want == LocalShortage) {
			t.Errorf("%v: retryable %v", err, got)
		}
	}
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	b := Backoff{Initial: time.Millisecond, Max: 3 * time.Millisecond}
	for _, want := range []time.Duration{1, 2, 3, 3} {
		if got := b.Next(); got != want*time.Millisecond {
			t.Errorf("%v, want %v ms", got, int64(want))
		}
	}
	if b.Reset(); b.Next() != time.Millisecond {
		t.Error("Reset does not restart the backoff")
	}
}

func TestRetryContinuesWhileErrorsAreRetryable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			errs  []error
			tries int
			fails bool
		}{
			"no error":                            {nil, 1, false},
			"retryable errors":                    {[]error{syscall.EMFILE, syscall.EINTR}, 3, false},
			"error that is not retryable":         {[]error{syscall.EMFILE, syscall.EADDRINUSE, nil}, 2, true},
			"retryable errors beyond the timeout": {slices.Repeat([]error{syscall.EMFILE}, 1000), 12, true},
		} {
			tries := 0
			err := Retry(t.Context(), time.Second, Backoff{Initial: 100 * time.Millisecond, Max: 100 * time.Millisecond}, func() error {
				tries++
				if tries <= len(c.errs) {
					return c.errs[tries-1]
				}
				return nil
			})
			if tries != c.tries || (err != nil) != c.fails {
				t.Errorf("%s: %d tries, %v; want %d", name, tries, err, c.tries)
			}
		}
	})
}
