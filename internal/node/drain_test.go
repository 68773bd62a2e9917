package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pacedRate is the pace, in bytes per second, at which DAYS says that bodies are read and written slowly.
const pacedRate = 64 << 10

// copyPaced copies n bytes at pacedRate.
func copyPaced(to io.Writer, from io.Reader, n int) error {
	const pieces = 20 // a second
	pause := time.NewTicker(time.Second / pieces)
	defer pause.Stop()
	for left := n; left > 0; left -= pacedRate / pieces {
		if _, err := io.CopyN(to, from, int64(min(left, pacedRate/pieces))); err != nil {
			return err
		}
		<-pause.C
	}
	return nil
}

// Guards against a planned restart that cuts off large answers: the node ended 0.4 s after the longest deadline, whether or not
// a server was still giving an answer, or a client reading one.
func TestStoppingNodePassesOnLargeAnswers(t *testing.T) {
	const size = 256 << 10 // takes 4 s at pacedRate; half of it fits into the sockets' buffers
	for _, slow := range []string{"server", "client"} {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d", size), "Connection: close"} {
			t.Run(slow+", "+framing, func(t *testing.T) {
				t.Parallel()
				addr := startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
					if !discardRequest(r) {
						return
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", framing, largeBody(maxSmallBody+1))
					rest := io.LimitReader(zeros{}, size-maxSmallBody-1)
					if slow == "server" {
						_ = copyPaced(c, rest, size-maxSmallBody-1)
					} else {
						_, _ = io.Copy(c, rest)
					}
				})
				c := testConfig(t, memberListJSON(addr))
				for i := range c.Settings.Classes { // so that the node would end after 0.7 s
					c.Settings.Classes[i].Deadline = 300 * time.Millisecond
				}
				node, stop := startNode(t, c)
				conn, err := net.Dial("tcp", node)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if slow == "client" {
					_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
				}
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				if err := newRequest(t, node, "GET", "read", "r1", "").Write(conn); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatal(resp, err)
				}
				ended := make(chan error, 1)
				go func() { ended <- stop() }()
				if slow == "client" {
					err = copyPaced(io.Discard, resp.Body, size)
				} else {
					_, err = io.CopyN(io.Discard, resp.Body, size)
				}
				if err != nil {
					t.Errorf("the answer was cut off: %v", err)
				}
				conn.Close()
				if err := receive(t, "the node to stop", ended); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
