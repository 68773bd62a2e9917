package node

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener fails as told each time before it has a connection to give.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Whatever accept(2) says of a connection that failed, or of what the system lacks for a moment, the node goes on
// accepting.
func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, code := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT, syscall.ENOSR,
		syscall.ECONNRESET, syscall.EADDRNOTAVAIL, syscall.EIO} {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		l := newClients(&failingListener{ln, []error{code, code, code}}, 100)
		ours, err := l.Accept()
		if err != nil {
			t.Errorf("after %v: %v", code, err)
			ours, _ = ln.Accept()
		}
		ours.Close()
		theirs.Close()
	}
}

// A listener that is closed, or that is none, is at its end.
func TestAcceptEndsWithItsListener(t *testing.T) {
	for _, code := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if c, err := newClients(&failingListener{errs: []error{code}}, 100).Accept(); err == nil {
			t.Errorf("after %v: %v", code, c)
		}
	}
}
