package node

import (
	"bytes"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
)

// shortConn takes a few bytes at a time, and fails as told in between.
type shortConn struct {
	net.Conn
	errs []error
	got  bytes.Buffer
}

func (c *shortConn) Write(p []byte) (int, error) {
	if len(c.errs) == 0 {
		return c.got.Write(p)
	}
	err := c.errs[0]
	c.errs = c.errs[1:]
	n, _ := c.got.Write(p[:min(2, len(p))])
	return n, os.NewSyscallError("write", err)
}

// A write goes on where it stood after what the system lacks for a moment, and ends with a connection that is gone.
func TestWritesGoOnAfterErrorsThatPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &shortConn{errs: []error{syscall.ENOBUFS, syscall.EINTR, syscall.ENOMEM}}
		if n, err := writeWithRetry(c, []byte("an answer")); n != 9 || err != nil || c.got.String() != "an answer" {
			t.Errorf("%d bytes, %v: %q", n, err, &c.got)
		}
		c = &shortConn{errs: []error{syscall.ENOBUFS, syscall.EPIPE, nil}}
		if n, err := writeWithRetry(c, []byte("an answer")); n != 4 || err == nil {
			t.Errorf("%d bytes, %v", n, err)
		}
	})
}
