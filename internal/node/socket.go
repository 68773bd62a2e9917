package node

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cobaltward/internal/faultpoint"
	"cobaltward/internal/syserr"
)

// States of a TCP connection (tcp_states.h) in which the time of its last data can be told.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// longestDataAge is the most that is believed of the time since a connection's last data.
const longestDataAge = 10 * time.Second

// A read or a write that failed by what the system lacks is tried again after ioPause, a write for ioAgainFor in all.
const (
	ioPause    = time.Millisecond
	ioAgainFor = 100 * time.Millisecond
)

// writePatiently writes all of p, and goes on where it stood after errors that pass.
func writePatiently(c net.Conn, p []byte) (n int, err error) {
	err = syserr.Retry(context.Background(), ioAgainFor, syserr.Backoff{First: ioPause, Most: ioPause}, func() error {
		if err := faultpoint.Fail(faultpoint.Write); err != nil {
			return err
		}
		m, err := c.Write(p[n:])
		n += m
		return err
	})
	return n, err
}

// readSocket takes what has come: syscall.EAGAIN stands for nothing, and io.EOF for the peer's end.
func readSocket(fd int, p []byte) (n int, err error) {
	for {
		if err := faultpoint.Fail(faultpoint.Read); err != nil {
			return 0, err
		}
		n, err = syscall.Read(fd, p[:faultpoint.Shorten(len(p))])
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

// peekSocket looks at what has come, and leaves it there: syscall.EAGAIN stands for nothing.
func peekSocket(fd int) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// peek looks at what a connection has brought. It doesn't wait for whoever is reading.
func peek(c *net.TCPConn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if failed := raw.Control(func(fd uintptr) { n, err = peekSocket(int(fd)) }); failed != nil {
		return 0, failed
	}
	return n, err
}

// isIdle tells whether a connection is open and has brought nothing that is still to be read.
func isIdle(c *net.TCPConn) bool {
	_, err := peek(c)
	return err == syscall.EAGAIN
}

// unread tells whether a connection has brought something that is still to be read.
func unread(c *net.TCPConn) bool {
	n, _ := peek(c)
	return n > 0
}

// peerClosed tells whether the peer has closed its side of the connection, or reset it, however much of what it sent
// before is still to be read. Where the system doesn't tell, it is taken to be there.
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

// unreadBytes is how much has come that is still to be read; 0 where the system doesn't tell.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// noDataAge is set once the system has refused to tell the age of a connection's data, and is not asked again.
var noDataAge atomic.Bool

// lastDataAge is how long ago the connection's newest bytes came (TCP_INFO, in steps of some milliseconds); 0 where the
// system doesn't tell.
func lastDataAge(fd int) time.Duration {
	if noDataAge.Load() {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		noDataAge.Store(!syserr.Passes(err))
		return 0
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	if info.State != tcpEstablished && info.State != tcpCloseWait || age > longestDataAge {
		return 0
	}
	return age
}
