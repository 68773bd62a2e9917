package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"
)

// pausingServer returns the address of a server that sends the parts of an answer, and waits for the channel after each.
func pausingServer(t *testing.T, goOn <-chan struct{}, parts ...string) string {
	return startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if !discardRequest(r) {
			return
		}
		for _, part := range parts {
			_, _ = io.WriteString(c, part)
			<-goOn
		}
	})
}

// Guards against a large answer of unknown length that is held back and cut off because its server gives it slowly: the node
// held all of it until 64 KiB had come, and the time limit of the attempt applied meanwhile.
func TestSlowAnswerOfUnknownLengthIsPassedOn(t *testing.T) {
	answers := map[string][]string{
		"chunked":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n", "3\r\ntwo\r\n", "0\r\n\r\n"},
		"cut in a chunk's size":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0000", "03\r\ntwo\r\n", "0\r\n\r\n"},
		"cut in a chunk":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\none", "two", "\r\n0\r\n\r\n"},
		"ends with the stream":   {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\none", "two", ""},
		"begins after its head":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\none\r\n3\r\ntwo\r\n", "0\r\n\r\n"},
		"ends in pieces of size": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n", "3\r\ntwo\r\n0", "\r\n\r\n"},
	}
	for name, parts := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOn := make(chan struct{})
			l, _ := startLoop(t, pausingServer(t, goOn, parts...), func(now policy.Time, ev policy.Event) []policy.Action {
				if e, ok := ev.(policy.Request); ok {
					return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s0", Until: now + 200*time.Millisecond}}
				}
				return nil
			})
			node, _ := serveClients(t, l)
			conn, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			if err := newRequest(t, node, "GET", "read", "r1", "").Write(conn); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatal(resp, err)
			}
			if name != "begins after its head" {
				first := make([]byte, 3)
				if _, err := io.ReadFull(resp.Body, first); string(first) != "one" {
					t.Fatalf("%q, %v", first, err)
				}
			}
			close(goOn)
			if rest, err := io.ReadAll(resp.Body); err != nil || !strings.HasSuffix("onetwo", string(rest)) || len(rest) < 3 {
				t.Errorf("the rest is %q, %v", rest, err)
			}
		})
	}
}

// An answer of unknown length that breaks while it is held back has failed, so that the module may try again.
func TestAnswerThatBreaksWhileHeldCanBeTriedAgain(t *testing.T) {
	u := testUpstream(t, startTCPServer(t, func(c net.Conn, r *bufio.Reader) {
		if discardRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\none")
		}
	}))
	if r := runAttempt(t, u, testClientRequest(http.MethodGet, "r1", "")); r.code != policy.Reset || r.answer.stream != nil {
		t.Errorf("%v, %v", r.code, r.err)
	}
	if !u.memory.isUnused(t) {
		t.Error("memory is still reserved")
	}
}

// An attempt whose answer nobody wants any more ends although its server is silent, and leaves its reader and memory unused.
func TestUnwantedSlowAnswerEndsTheAttempt(t *testing.T) {
	goOn := make(chan struct{})
	defer close(goOn)
	u := testUpstream(t, pausingServer(t, goOn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\none"))
	var got attemptResult
	u.sendAttempt(t.Context(), "s0", testClientRequest(http.MethodGet, "r1", ""), attemptParams{
		deadline: time.Now().Add(testTimeout), requestCtx: context.Background(), onEnd: func(r attemptResult) {
			got = r
			r.answer.discard()
		}})
	if got.code != policy.OK || got.answer.stream == nil || string(got.answer.body) != "one" {
		t.Errorf("%v, %q, %v", got.code, got.answer.body, got.err)
	}
	if open, idle := u.connCounts("s0"); open != 0 || idle != 0 {
		t.Errorf("%d connections open, %d idle", open, idle)
	}
	if !u.memory.isUnused(t) {
		t.Error("memory is still reserved")
	}
}

// Whatever the sizes of the reads, the held beginning and the rest are the body.
func TestHeldAnswerContinuesWhereItStopped(t *testing.T) {
	for size := 1; size < 3*heldPieceSize; size = 2*size + 1 {
		source, server := io.Pipe()
		body := largeBody(2*maxSmallBody + 7)
		h := &heldAnswer{source: source}
		wrote := make(chan struct{})
		go func() {
			_, _ = server.Write(body[:maxSmallBody/2])
			close(wrote)
		}()
		begin := make(chan []byte, 1)
		go func() {
			held, whole, err := h.readUntil(time.Now().Add(maxAnswerHold), maxSmallBody)
			if whole || err != nil {
				t.Errorf("whole %v, %v", whole, err)
			}
			begin <- held
		}()
		got := receive(t, "the beginning", begin)
		go func() {
			<-wrote
			_, _ = server.Write(body[maxSmallBody/2:])
			_ = server.CloseWithError(fmt.Errorf("broken"))
		}()
		for piece := make([]byte, size); ; {
			n, err := h.Read(piece)
			got = append(got, piece[:n]...)
			if err != nil {
				break
			}
		}
		if string(got) != string(body) {
			t.Errorf("reads of %d bytes: %d bytes of %d", size, len(got), len(body))
		}
	}
}
