package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart-answers"] = restartAnswers }

// restartAnswers: a planned restart while transcribers give large answers slowly. The longest deadline is 6 s, which counts as
// 3 s, so that SIGKILL comes 3.7 s after SIGTERM at the earliest. Half of the answers end before that, half a second later.
func restartAnswers(b *bench) {
	const (
		piece      = 16 << 10
		pause      = 50 * time.Millisecond
		beforeTerm = 200 * time.Millisecond
		killAfter  = 6 * time.Second // "no sooner than" 3.7 s
	)
	piecesOf := func(id string) int {
		if strings.HasPrefix(id, "shorter") {
			return 76 // 3.8 s
		}
		return 94 // 4.7 s
	}
	n := b.small(defaults(), 3, func(_ int, t *transcriber) {
		t.answer = func(t *transcriber, r *request) bool {
			began, pieces := time.Now(), piecesOf(r.id)
			fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces*piece)
			for i := range pieces {
				if _, err := r.conn.Write(bytes.Repeat([]byte{byte('a' + i%26)}, piece)); err != nil {
					b.note("%s: answer to %s cut off by the node after %d of %d pieces: %v", t.name, r.id, i, pieces, err)
					return false
				}
				time.Sleep(time.Until(began.Add(time.Duration(i+1) * pause)))
			}
			b.note("%s: gave all of the answer to %s", t.name, r.id)
			return true
		}
	})
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range 4 {
		clients.Go(func() {
			id := fmt.Sprintf("%s-%d", []string{"shorter", "longer"}[i%2], i)
			pieces := piecesOf(id)
			c := b.dial(n.addr)
			defer c.Close()
			began := time.Now()
			_, _ = c.Write(head("GET", id, "transcript-get", 1500))
			resp, err := http.ReadResponse(newReader(c), nil)
			status, got, first := 0, int64(0), time.Since(began)
			if err == nil {
				status = resp.StatusCode
				got, err = io.Copy(io.Discard, resp.Body)
			}
			verdict := "whole"
			mu.Lock()
			defer mu.Unlock()
			if status != http.StatusOK || err != nil || got != int64(pieces*piece) {
				verdict = "CUT OFF"
				lost++
			}
			b.note("client: %s: status %d after %.3f s, %d of %d bytes, the last after %.3f s, error %v: %s", id, status, first.Seconds(),
				got, pieces*piece, time.Since(began).Seconds(), err, verdict)
		})
	}
	time.Sleep(beforeTerm)
	if b.trouble {
		n.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-n.ended:
			case <-time.After(killAfter):
				n.signal(syscall.SIGKILL)
			}
		}()
	}
	clients.Wait()
	for _, line := range n.logLines("msg=stopp", "msg=\"stopp", "msg=phase", "forwarding a large") {
		b.note("log: %s", line)
	}
	b.finish(lost, "answer cut off that its transcriber still gave")
}
