package stand

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a connection that neither side has ended (tcp_states.h).
const tcpEstablished = 1

// Taken reports whether the other machine has acknowledged every byte written to the connection (SIOCOUTQ), and after
// that no end or reset of its side has come yet (TCP_INFO).
func Taken(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	taken := false
	err = raw.Control(func(fd uintptr) {
		left, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil || left > 0 {
			return
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		taken = err == nil && info.State == tcpEstablished
	})
	return err == nil && taken
}
