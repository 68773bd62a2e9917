package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// inheritedVar names the descriptor of a listening socket that the platform holds for the clients: it
// outlives each process, so that a new version takes over without a client noticing.
const inheritedVar = "ROUTER_INHERITED_FD"

// inherit adopts the socket at a descriptor. It is closed in the end, but never shut down, for others
// hold it too.
func inherit(text string) (net.Listener, error) {
	fd, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return nil, fmt.Errorf("%s: want a descriptor's number, got %q", inheritedVar, text)
	}
	// All is checked before the descriptor is taken: if it isn't the socket meant, it may be the runtime's.
	kind, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TYPE)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is no open socket: %w", inheritedVar, fd, err)
	}
	listens, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listens == 0 || kind != syscall.SOCK_STREAM {
		return nil, fmt.Errorf("%s: descriptor %d is no listening TCP socket", inheritedVar, fd)
	}
	switch addr, err := syscall.Getsockname(int(fd)); addr.(type) {
	case *syscall.SockaddrInet4, *syscall.SockaddrInet6:
	default:
		return nil, fmt.Errorf("%s: descriptor %d is no listening TCP socket (%T, %v)", inheritedVar, fd, addr, err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() // the listener has a copy
	var l net.Listener
	if err := atStart(func() (err error) { l, err = net.FileListener(f); return err }); err != nil {
		return nil, fmt.Errorf("%s: %w", inheritedVar, err)
	}
	return l, nil
}
