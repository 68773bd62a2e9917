package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"cobaltward/internal/invariant"
)

// hangingServer returns the address of a server that reads the given number of bytes of each request's body, at most at
// the given rate (0: any), and then neither reads any more nor answers.
func hangingServer(t *testing.T, bytes int64, bytesPerSecond int) string {
	released := make(chan struct{})
	addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if bytesPerSecond > 0 {
			pause := time.NewTicker(time.Second / 100)
			defer pause.Stop()
			for range bytes * 100 / int64(bytesPerSecond) {
				if _, err := io.CopyN(io.Discard, req.Body, int64(bytesPerSecond/100)); err != nil {
					return
				}
				<-pause.C
			}
		} else if _, err := io.CopyN(io.Discard, req.Body, bytes); err != nil && err != io.EOF {
			return
		}
		<-released
	})
	t.Cleanup(func() { close(released) })
	return addr
}

// writeBody writes a body of the given length and returns when its last byte was written.
func (c *uploadClient) writeBody(length int) (written time.Time, err error) {
	piece := make([]byte, 64<<10)
	for left := length; left > 0; left -= len(piece) {
		piece = piece[:min(left, len(piece))]
		if c.chunked {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			_, err = c.Write(piece)
		}
		if err != nil {
			return time.Time{}, err
		}
	}
	if c.chunked {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return time.Now(), err
}

// Guards against final answers that come seconds late, or never, because a server hangs in a large request or reads it
// slowly: no deadline applied until the last byte had been forwarded.
func TestLargeRequestIsAnsweredInTimeWhileServerHangs(t *testing.T) {
	t.Parallel()
	const timeout = 700 * time.Millisecond
	const never = 64 << 20
	servers := map[string]struct {
		reads int64
		rate  int
	}{
		"hangs before the body": {0, 0},
		"hangs in the body":     {100 << 10, 0},
		"hangs after the body":  {never, 0},
		"reads slowly":          {never, 100 << 10},
	}
	for name, server := range servers {
		node := serveUploads(t, hangingServer(t, server.reads, server.rate), sendOnce).addr
		for _, size := range []int{128 << 10, 288 << 10, 1 << 20, 4 << 20, maxBodySize} {
			for _, chunked := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d bytes, chunked %v", name, size, chunked), func(t *testing.T) {
					t.Parallel()
					id := strings.ReplaceAll(fmt.Sprintf("%s-%d-%v", name, size, chunked), " ", "-")
					expectTimelyAnswer(t, node, id, size, chunked, timeout)
				})
			}
		}
	}
}

// expectTimelyAnswer sends a request with a body, and fails the test if the answer comes later than the node's grace after
// the time that the client waits, counted from its last byte.
func expectTimelyAnswer(t *testing.T, node, id string, size int, chunked bool, timeout time.Duration) {
	conn, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	client := &uploadClient{conn.(*net.TCPConn), t, chunked}
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	client.send(fmt.Sprintf("POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n",
		id, timeout.Milliseconds(), framing))
	type answer struct {
		at  time.Time
		err error
	}
	answers := make(chan answer, 1)
	go func() {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		answers <- answer{time.Now(), err}
	}()
	written, writeErr := client.writeBody(size)
	got := receive(t, "the answer", answers)
	if writeErr != nil || got.err != nil {
		t.Fatalf("writing the body: %v; reading the answer: %v", writeErr, got.err)
	}
	if took := got.at.Sub(written); took > timeout+invariant.AnswerGrace {
		t.Errorf("answered %v after the last byte, with a timeout of %v", took, timeout)
	}
}

// Guards against final answers that come late because the time in which a body waits for memory isn't counted: once there is
// memory, what the client had written long ago arrives, and counted as just written.
func TestDeadlineCountsWhileBodyWaitsForMemory(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	node := serveUploads(t, hangingServer(t, 0, 0), sendOnce)
	for _, size := range []int{100 << 10, 300 << 10, 1 << 20} {
		for _, chunked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, chunked %v", size, chunked), func(t *testing.T) {
				release := holdRequestMemory(node.loop.upstream.memory)
				time.AfterFunc(9*timeout/10, release)
				expectTimelyAnswer(t, node.addr, fmt.Sprintf("waits-%d-%v", size, chunked), size, chunked, timeout)
			})
		}
	}
}

// holdRequestMemory takes what is left of the memory for the bodies of requests, and returns a function that releases it.
func holdRequestMemory(budget *memoryBudget) (release func()) {
	var releases []func()
	for _, pool := range []*semaphore.Weighted{budget.requests, budget.largeRequests, budget.heldRequests} {
		taken := int64(0)
		for pool.TryAcquire(1 << 10) {
			taken += 1 << 10
		}
		releases = append(releases, func() { pool.Release(taken) })
	}
	return func() {
		for _, release := range releases {
			release()
		}
	}
}
