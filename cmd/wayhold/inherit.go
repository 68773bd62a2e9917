package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// inheritedFDEnv is the environment variable with the file descriptor of the client-facing listening socket. The
// platform keeps that socket open across processes, so that a new version takes over without clients noticing.
const inheritedFDEnv = "ROUTER_INHERITED_FD"

// inheritListener returns a listener for the inherited descriptor whose number fdText holds. The socket must be
// closed but never shut down (see shutdown(2)), because other processes share it.
func inheritListener(fdText string) (net.Listener, error) {
	fd, err := strconv.ParseUint(fdText, 10, 31)
	if err != nil {
		return nil, fmt.Errorf("%s: want a file descriptor number, got %q", inheritedFDEnv, fdText)
	}
	// Check the descriptor before taking ownership of it: a wrong number may belong to the Go runtime.
	socketType, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TYPE)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is not an open socket: %w", inheritedFDEnv, fd, err)
	}
	listening, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listening == 0 || socketType != syscall.SOCK_STREAM {
		return nil, fmt.Errorf("%s: descriptor %d is not a listening TCP socket", inheritedFDEnv, fd)
	}
	switch addr, err := syscall.Getsockname(int(fd)); addr.(type) {
	case *syscall.SockaddrInet4, *syscall.SockaddrInet6:
	default:
		return nil, fmt.Errorf("%s: descriptor %d is not a listening TCP socket (%T, %v)", inheritedFDEnv, fd, addr, err)
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer file.Close() // net.FileListener duplicates the descriptor
	var listener net.Listener
	if err := retryAtStart(func() (err error) { listener, err = net.FileListener(file); return err }); err != nil {
		return nil, fmt.Errorf("%s: %w", inheritedFDEnv, err)
	}
	return listener, nil
}
