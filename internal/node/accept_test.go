package node

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener returns the errors one by one, and accepts connections after that.
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

// accept(2) also returns errors of a connection that has failed already, and of temporary resource shortages. The node
// keeps accepting after all of them.
func TestAcceptRetriesTemporaryErrors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, code := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT, syscall.ENOSR,
		syscall.ECONNRESET, syscall.EADDRNOTAVAIL, syscall.EIO} {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		l := newClientListener(&failingListener{ln, []error{code, code, code}}, 100)
		accepted, err := l.Accept()
		if err != nil {
			t.Errorf("after %v: %v", code, err)
			accepted, _ = ln.Accept()
		}
		accepted.Close()
		client.Close()
	}
}

// Accept fails for a closed listener and for a descriptor that is not a listening socket.
func TestAcceptFailsOnClosedListener(t *testing.T) {
	for _, code := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if c, err := newClientListener(&failingListener{errs: []error{code}}, 100).Accept(); err == nil {
			t.Errorf("after %v: %v", code, c)
		}
	}
}
