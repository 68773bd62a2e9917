package node

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"cobaltward/internal/faultpoint"
	"cobaltward/internal/syserr"
)

// TCP states (tcp_states.h) in which TCP_INFO has the time of the last data.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// maxDataAge is the longest time since a connection's last data that is considered plausible.
const maxDataAge = 10 * time.Second

// Reads and writes that fail for a temporary lack of system resources are retried after ioRetryPause, writes for up to
// ioRetryTimeout in total.
const (
	ioRetryPause   = time.Millisecond
	ioRetryTimeout = 100 * time.Millisecond
)

// writeWithRetry writes all of p, and continues where it stopped after temporary errors.
func writeWithRetry(c net.Conn, p []byte) (n int, err error) {
	err = syserr.Retry(context.Background(), ioRetryTimeout, syserr.Backoff{Initial: ioRetryPause, Max: ioRetryPause}, func() error {
		if err := faultpoint.Fail(faultpoint.Write); err != nil {
			return err
		}
		m, err := c.Write(p[n:])
		n += m
		return err
	})
	return n, err
}

// readSocket reads what has arrived. It returns syscall.EAGAIN if there is nothing, and io.EOF at the end of the peer's stream.
func readSocket(fd int, p []byte) (n int, err error) {
	for {
		if err := faultpoint.Fail(faultpoint.Read); err != nil {
			return 0, err
		}
		n, err = syscall.Read(fd, p[:faultpoint.ShortenRead(len(p))])
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, err
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// peekSocket checks for data without consuming it. It returns syscall.EAGAIN if there is none.
func peekSocket(fd int) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// peekConn checks a connection for data without consuming it. It doesn't wait for a concurrent reader.
func peekConn(c *net.TCPConn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if failed := raw.Control(func(fd uintptr) { n, err = peekSocket(int(fd)) }); failed != nil {
		return 0, failed
	}
	return n, err
}

// isIdle reports whether a connection is open and has no unread data.
func isIdle(c *net.TCPConn) bool {
	_, err := peekConn(c)
	return err == syscall.EAGAIN
}

// hasUnread reports whether a connection has unread data.
func hasUnread(c *net.TCPConn) bool {
	n, _ := peekConn(c)
	return n > 0
}

// peerClosed reports whether the peer has closed its side of the connection or reset it, even if data sent before that
// is still unread. If the system can't tell, it returns false.
func peerClosed(fd int) bool {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(polled, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}

// unreadBytes returns how many bytes have arrived that are still to be read; 0 if the system can't tell.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// dataAgeUnsupported is set once the system has refused to report the age of a connection's data, so it isn't asked again.
var dataAgeUnsupported atomic.Bool

// lastDataAge returns how long ago the connection's newest data arrived (TCP_INFO, with a resolution of some
// milliseconds); 0 if the system can't tell.
func lastDataAge(fd int) time.Duration {
	if dataAgeUnsupported.Load() {
		return 0
	}
	var info unix.TCPInfo // on the stack: unix.GetsockoptTCPInfo would allocate it for each read
	size := uint32(unix.SizeofTCPInfo)
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		dataAgeUnsupported.Store(!syserr.Retryable(errno))
		return 0
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	if info.State != tcpEstablished && info.State != tcpCloseWait || age > maxDataAge {
		return 0
	}
	return age
}
