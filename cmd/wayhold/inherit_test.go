package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// dupDescriptor returns the number of a duplicate of a socket's descriptor. The caller owns the duplicate.
func dupDescriptor(t *testing.T, socket interface{ File() (*os.File, error) }) string {
	t.Helper()
	f, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(fd)
}

func TestInheritsListeningSocket(t *testing.T) {
	original, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer original.Close()
	inherited, err := inheritListener(dupDescriptor(t, original.(*net.TCPListener)))
	if err != nil {
		t.Fatal(err)
	}
	if inherited.Addr().String() != original.Addr().String() {
		t.Errorf("listens at %v, want %v", inherited.Addr(), original.Addr())
	}
	inherited.Close() // closing it in one process leaves the socket open for the next
	go func() {
		if c, err := original.Accept(); err == nil {
			_, _ = io.WriteString(c, "x")
			c.Close()
		}
	}()
	c, err := net.Dial("tcp", original.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, _ := io.ReadAll(c); string(got) != "x" {
		t.Errorf("got %q", got)
	}
}

// Anything but a listening TCP socket is rejected with a one-line error that names the variable, and the descriptor
// stays open.
func TestRejectsOtherDescriptors(t *testing.T) {
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	unix, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close()
	for name, text := range map[string]string{
		"not a number": "five", "negative": "-1", "too large": "99999999999", "closed": "1048575", "blank": " ",
		"regular file": fmt.Sprint(file.Fd()), "UDP socket": dupDescriptor(t, udp.(*net.UDPConn)),
		"TCP connection": dupDescriptor(t, conn.(*net.TCPConn)), "Unix socket": dupDescriptor(t, unix.(*net.UnixListener)),
	} {
		l, err := inheritListener(text)
		if err == nil {
			t.Errorf("%s: accepted, listening at %v", name, l.Addr())
			continue
		}
		if !strings.HasPrefix(err.Error(), inheritedFDEnv+": ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %q, want one line that names the variable", name, err)
		}
	}
	if _, err := file.WriteString("still open"); err != nil {
		t.Error(err)
	}
}
