package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	crowdClients = 320             // clients that are connected at once
	crowdSockets = 1024            // most descriptors that the pages name
	patience     = 4 * time.Second // of clients that read nothing; longer than any request of theirs may take
	largeAnswer  = 400 << 10
	pacedRate    = 64 << 10 // bytes per second, the pace that the pages name for slow clients
)

// crowdBehaviors are what each of the clients does on its connection until the end of the test, again and again.
var crowdBehaviors = map[string]func(c *crowdClient) error{
	"stop half way through a large request":         func(c *crowdClient) error { return c.upload("Content-Length: 400000", 200_000, 0) },
	"stop half way through a large chunked request": func(c *crowdClient) error { return c.upload("Transfer-Encoding: chunked", 200_000, 0) },
	"write slowly":            func(c *crowdClient) error { return c.upload("Content-Length: 400000", 400_000, pacedRate) },
	"write slowly, chunked":   func(c *crowdClient) error { return c.upload("Transfer-Encoding: chunked", 400_000, pacedRate) },
	"write small ones slowly": func(c *crowdClient) error { return c.upload("Content-Length: 60000", 60_000, pacedRate) },
	"send heads of many short fields": func(c *crowdClient) error {
		return c.exchange(c.head("GET", "read") + strings.Repeat("a:\r\n", 3500) + "\r\n")
	},
	"send heads of many short fields and stop": func(c *crowdClient) error {
		return c.sendAndWait(c.head("GET", "read") + strings.Repeat("a:\r\n", 3500))
	},
	"send heads of many different fields": func(c *crowdClient) error {
		var fields strings.Builder
		for i := range 1500 {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		return c.exchange(c.head("GET", "read") + fields.String() + "\r\n")
	},
	"send large requests at full speed": func(c *crowdClient) error { return c.upload("Content-Length: 400000", 400_000, 1<<30) },
	"read long answers slowly":          func(c *crowdClient) error { return c.download("long", pacedRate) },
	"read long chunked answers slowly":  func(c *crowdClient) error { return c.download("chunked", pacedRate) },
	"read nothing of long answers":      func(c *crowdClient) error { return c.download("long", 0) },
	"read long answers":                 func(c *crowdClient) error { return c.download("long", 1<<30) },
	"read full small answers slowly":    func(c *crowdClient) error { return c.download("small", pacedRate) },
	"pipeline and read nothing": func(c *crowdClient) error {
		return c.sendAndWait(strings.Repeat(c.head("GET", "read")+"\r\n", 200))
	},
}

// errLeft ends a connection that its client leaves.
var errLeft = errors.New("the client has left")

// crowdClient is one of many clients. Its connections are closed when done is closed.
type crowdClient struct {
	net.Conn
	addr  string
	index int
	sent  int
	ended *atomic.Int64 // exchanges of all clients that have ended
	done  <-chan struct{}
}

// head returns the head of a request with an id of its own, but for the empty line at its end.
func (c *crowdClient) head(method, class string) string {
	c.sent++
	return fmt.Sprintf("%s /long HTTP/1.1\r\nHost: a\r\nX-Request-Id: r-%d-%d\r\nX-Class: %s\r\nX-Deadline-Ms: 3000\r\n", method, c.index, c.sent, class)
}

// paced calls step for pieces of n bytes at the given rate until it fails.
func paced(n, rate int, step func(n int) error) error {
	const piece = 16 << 10
	for began, total := time.Now(), 0; total < n; {
		size := min(piece, n-total)
		if err := step(size); err != nil {
			return err
		}
		total += size
		time.Sleep(time.Until(began.Add(time.Duration(float64(total) / float64(rate) * float64(time.Second)))))
	}
	return nil
}

// upload sends n bytes of a body, at a rate of 0 at once, and waits for the answer.
func (c *crowdClient) upload(framing string, n, rate int) error {
	chunked := strings.HasPrefix(framing, "Transfer")
	if _, err := io.WriteString(c, c.head("POST", "write")+framing+"\r\n\r\n"); err != nil {
		return err
	}
	if rate == 0 {
		rate = 1 << 30
	}
	err := paced(n, rate, func(n int) (err error) {
		if chunked {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", n, make([]byte, n))
		} else {
			_, err = c.Write(make([]byte, n))
		}
		return err
	})
	if err == nil && chunked && rate == pacedRate {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	if err != nil {
		return err
	}
	return c.readAnswer(1 << 30)
}

// download sends a request, and reads the answer at the given rate; 0: not at all.
func (c *crowdClient) download(path string, rate int) error {
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	request := strings.Replace(c.head("GET", "read"), "/long", "/"+path, 1) + "\r\n"
	if rate == 0 {
		return c.sendAndWait(request)
	}
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	return c.readAnswer(rate)
}

func (c *crowdClient) exchange(request string) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	return c.readAnswer(1 << 30)
}

// sendAndWait sends a text, reads nothing and leaves.
func (c *crowdClient) sendAndWait(text string) error {
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	select {
	case <-c.done:
	case <-time.After(patience):
	}
	return errLeft
}

func (c *crowdClient) readAnswer(rate int) error {
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	if err != nil {
		return err
	}
	err = paced(1<<30, rate, func(n int) error {
		_, err := io.CopyN(io.Discard, resp.Body, int64(n))
		return err
	})
	if err == io.EOF && resp.Close {
		return io.ErrClosedPipe
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// run behaves in the given way on one connection after another.
func (c *crowdClient) run(behave func(*crowdClient) error) {
	for {
		select {
		case <-c.done:
			return
		default:
		}
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.Conn = conn
		stop := make(chan struct{})
		go func() {
			select {
			case <-c.done:
			case <-stop:
			}
			conn.Close()
		}()
		for err = nil; err == nil; c.ended.Add(1) {
			err = behave(c)
		}
		close(stop)
	}
}

// Guards against a process that is killed because hundreds of clients at once take its memory beyond the least limit that the
// pages name: by bodies that come slowly or stop half way, by heads of very many fields, or by answers that they read slowly.
func TestCrowdsStayWithinLeastMemory(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case strings.HasSuffix(r.URL.Path, "chunked"):
			w.(http.Flusher).Flush()
		case strings.HasSuffix(r.URL.Path, "long"):
			w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
		case strings.HasSuffix(r.URL.Path, "small"):
			w.Header().Set("Content-Length", strconv.Itoa(60_000))
			_, _ = w.Write(make([]byte, 60_000))
			return
		}
		if r.Method == "GET" {
			_, _ = w.Write(bytes.Repeat([]byte{'a'}, largeAnswer))
		}
	}))
	defer server.Close()
	for name, behave := range crowdBehaviors {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
				"limits":{"cores":0.5,"memory_mb":%d,"sockets":%d},"known":{"revision":1,"complete":true,"members":[
					{"id":"s0","host_port":%q,"locality":"a","phase":"up","up_since_ms":0}]},
				"settings":{"position":0,"groupSize":1,"zone":"a",
					"services":[{"name":"read","aim":2000,"deadline":3000,"repeat":"free"},
						{"name":"write","aim":2000,"deadline":3000,"repeat":"single_shot"}],
					"limits":{"connectTimeout":1000,"maxAttempts":3,"retryAfter":true,"cancelling":true}}}`,
				minMemoryMB, crowdSockets, server.Listener.Addr()), crowdSockets)
			waitUntil(t, "readiness", func() bool { return getStatus("http://"+p.addr+"/health/ready") == 200 })
			before := residentKB(t, p.Process.Pid, "VmHWM")
			done := make(chan struct{})
			var ended atomic.Int64
			var clients sync.WaitGroup
			for i := range crowdClients {
				c := &crowdClient{addr: p.addr, index: i, ended: &ended, done: done}
				clients.Go(func() { c.run(behave) })
			}
			waitUntil(t, "an exchange of each client", func() bool { return ended.Load() >= 2*crowdClients })
			peak := residentKB(t, p.Process.Pid, "VmHWM")
			close(done)
			clients.Wait()
			t.Logf("peak memory %d kB, %d kB before the clients", peak, before)
			if peak > minMemoryMB<<10 && !raceEnabled {
				t.Errorf("peak memory %d kB, want at most %d MB", peak, minMemoryMB)
			}
		})
	}
}

// residentKB returns a figure of a process's status, in kB.
func residentKB(t *testing.T, pid int, name string) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	field := regexp.MustCompile(name + `:\s+(\d+) kB`).FindSubmatch(status)
	if field == nil {
		t.Fatalf("no %s in %s", name, status)
	}
	kB, _ := strconv.Atoi(string(field[1]))
	return kB
}
