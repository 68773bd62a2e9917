package node

import (
	"bytes"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
)

// shortWriteConn returns the errors one by one, each after writing two bytes at most, and then writes everything.
type shortWriteConn struct {
	net.Conn
	errs    []error
	written bytes.Buffer
}

func (c *shortWriteConn) Write(p []byte) (int, error) {
	if len(c.errs) == 0 {
		return c.written.Write(p)
	}
	err := c.errs[0]
	c.errs = c.errs[1:]
	n, _ := c.written.Write(p[:min(2, len(p))])
	return n, os.NewSyscallError("write", err)
}

// After a temporary resource shortage a write continues where it stopped. It fails if the connection is gone.
func TestWriteRetriesTemporaryErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &shortWriteConn{errs: []error{syscall.ENOBUFS, syscall.EINTR, syscall.ENOMEM}}
		if n, err := writeWithRetry(c, []byte("an answer")); n != 9 || err != nil || c.written.String() != "an answer" {
			t.Errorf("%d bytes, %v: %q", n, err, &c.written)
		}
		c = &shortWriteConn{errs: []error{syscall.ENOBUFS, syscall.EPIPE, nil}}
		if n, err := writeWithRetry(c, []byte("an answer")); n != 4 || err == nil {
			t.Errorf("%d bytes, %v", n, err)
		}
	})
}
