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

// descriptor gives a test one of its own, closed or handed on by the test.
func descriptor(t *testing.T, of interface{ File() (*os.File, error) }) string {
	t.Helper()
	f, err := of.File()
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

func TestInheritsAListeningSocket(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	l, err := inherit(descriptor(t, held.(*net.TCPListener)))
	if err != nil {
		t.Fatal(err)
	}
	if l.Addr().String() != held.Addr().String() {
		t.Errorf("listens at %v, want %v", l.Addr(), held.Addr())
	}
	l.Close() // the end of one process leaves the socket open for the next
	go func() {
		if c, err := held.Accept(); err == nil {
			_, _ = io.WriteString(c, "x")
			c.Close()
		}
	}()
	c, err := net.Dial("tcp", held.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, _ := io.ReadAll(c); string(got) != "x" {
		t.Errorf("got %q", got)
	}
}

// What is no listening TCP socket gives one line that names the variable, and is left alone.
func TestInheritsNothingElse(t *testing.T) {
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
		"a word": "five", "below 0": "-1", "too great": "99999999999", "closed": "1048575", "empty": " ",
		"a file": fmt.Sprint(file.Fd()), "UDP": descriptor(t, udp.(*net.UDPConn)),
		"a connection": descriptor(t, conn.(*net.TCPConn)), "a Unix socket": descriptor(t, unix.(*net.UnixListener)),
	} {
		l, err := inherit(text)
		if err == nil {
			t.Errorf("%s: taken for %v", name, l.Addr())
			continue
		}
		if !strings.HasPrefix(err.Error(), inheritedVar+": ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %q", name, err)
		}
	}
	if _, err := file.WriteString("still open"); err != nil {
		t.Error(err)
	}
}
