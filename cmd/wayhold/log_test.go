package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
)

// refusedServerConfig configures a node whose only server refuses connections, so that every request is logged.
const refusedServerConfig = `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
	"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[
		{"id":"s0","host_port":"127.0.0.1:9","locality":"a","phase":"up","up_since_ms":0}]},
	"settings":{"position":0,"groupSize":1,"zone":"a","services":[{"name":"x","aim":20000,"deadline":30000,"repeat":"free"}],
		"limits":{"connectTimeout":5000,"maxAttempts":1,"retryAfter":true}}}`

// sendRequest sends a request to a node with refusedServerConfig and returns the response's status.
func sendRequest(p *process, id string) int {
	return getStatus("http://"+p.addr+"/api", "X-Request-Id", id, "X-Class", "x", "X-Deadline-Ms", "30000")
}

// The process keeps serving after the reader of its log has closed the pipe: a write must not end it with SIGPIPE.
func TestServesAfterLogReaderCloses(t *testing.T) {
	p, log := startWithLog(t, refusedServerConfig, 256)
	log.Close()
	for i := range 20 {
		if got := sendRequest(p, fmt.Sprint("r", i)); got != http.StatusServiceUnavailable && got != http.StatusTooManyRequests {
			t.Fatalf("request %d: status %d, want 503 or 429", i, got)
		}
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}

// Requests are answered, and SIGTERM ends the process, while the reader of its log has stopped reading: a log write
// that blocks on a full pipe must not hold up either.
func TestServesWhileLogReaderStalls(t *testing.T) {
	p, log := startWithLog(t, refusedServerConfig, 256)
	shrinkPipe(t, log)
	for i := range 100 {
		if got := sendRequest(p, fmt.Sprint("r", i)); got != http.StatusServiceUnavailable && got != http.StatusTooManyRequests {
			t.Fatalf("request %d: status %d, want 503 or 429", i, got)
		}
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	if err := receive(t, "the program's exit", ended); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}

// shrinkPipe reduces a pipe's buffer to a few log lines.
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
