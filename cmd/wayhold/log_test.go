package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
)

// unservedConfig is of a node whose only server refuses connections, so that every request leaves lines in the log.
const unservedConfig = `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
	"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[
		{"id":"s0","host_port":"127.0.0.1:9","locality":"a","phase":"up","up_since_ms":0}]},
	"settings":{"position":0,"groupSize":1,"zone":"a","services":[{"name":"x","aim":20000,"deadline":30000,"repeat":"free"}],
		"limits":{"connectTimeout":5000,"maxAttempts":1,"retryAfter":true}}}`

// requestUnserved sends a request that no server takes, and returns the answer's status.
func requestUnserved(p *process, id string) int {
	return status("http://"+p.addr+"/api", "X-Request-Id", id, "X-Class", "x", "X-Deadline-Ms", "30000")
}

// The process lives on where whoever read its log has gone.
func TestLogReaderThatHasGoneEndsNothing(t *testing.T) {
	p, log := startLogged(t, unservedConfig, 256)
	log.Close()
	for i := range 20 {
		if got := requestUnserved(p, fmt.Sprint("r", i)); got != http.StatusServiceUnavailable && got != http.StatusTooManyRequests {
			t.Fatalf("request %d gets %d, want a refusal", i, got)
		}
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// Requests are answered, and the process ends when told to, where whoever reads its log has stopped reading.
func TestLogReaderThatHasStoppedHoldsUpNothing(t *testing.T) {
	p, log := startLogged(t, unservedConfig, 256)
	shrinkPipe(t, log)
	for i := range 100 {
		if got := requestUnserved(p, fmt.Sprint("r", i)); got != http.StatusServiceUnavailable && got != http.StatusTooManyRequests {
			t.Fatalf("request %d gets %d, want a refusal", i, got)
		}
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	if err := receive(t, "the end of the program", ended); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// shrinkPipe leaves room for a few lines only.
func shrinkPipe(t *testing.T, pipe *os.File) {
	t.Helper()
	const setPipeSize, size = 1031, 4096 // F_SETPIPE_SZ
	raw, err := pipe.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var code syscall.Errno
	if err := raw.Control(func(fd uintptr) {
		_, _, code = syscall.Syscall(syscall.SYS_FCNTL, fd, setPipeSize, size)
	}); err != nil || code != 0 {
		t.Fatal(err, code)
	}
}
