package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["upload-hang"] = uploadHang }

// uploadHang: one of five transcribers falls silent for 6 s while it reads large requests.
func uploadHang(b *bench) {
	const silence = 6 * time.Second
	const deadline = 1500 * time.Millisecond
	n := b.small(defaults(), 5, func(i int, t *transcriber) {
		if i == 0 && b.trouble {
			t.midway = func(t *transcriber, _ *net.TCPConn, head *http.Request) {
				b.note("%s: falls silent for %v, with the head of %s read", t.name, silence, head.Header.Get("X-Request-Id"))
				time.Sleep(silence)
				b.note("%s: goes on", t.name)
			}
		}
	})
	var clients sync.WaitGroup
	var mu sync.Mutex
	taken, lost := 0, 0
	for i, mb := range []int{4, 5, 6, 4, 5, 6} {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			id, size := fmt.Sprintf("upload-%d", i), mb<<20
			c := b.dial(n.addr)
			defer c.Close()
			began := time.Now()
			_ = c.SetDeadline(began.Add(20 * time.Second))
			text := append(head("POST", id, "mark-read", int(deadline/time.Millisecond), key(id), length(size)), make([]byte, size)...)
			if _, err := c.Write(text); err != nil {
				b.note("client: %s: not written to its last byte, so not taken: %v", id, err)
				return
			}
			written := time.Now()
			b.note("client: %s: last byte of %d written %.3f s after the first", id, len(text), written.Sub(began).Seconds())
			status, _, _, err := readAnswer(newReader(c))
			took := time.Since(written)
			verdict := "in time"
			mu.Lock()
			defer mu.Unlock()
			if taken++; err != nil || took > deadline+answerGrace+socketSlack {
				verdict = "LOST"
				lost++
			}
			b.note("client: %s: answer %d (error %v) %.3f s after its last byte: %s", id, status, err, took.Seconds(), verdict)
		})
	}
	clients.Wait()
	if taken == 0 {
		b.fail("no request was written to its last byte")
	}
	b.finish(lost, fmt.Sprintf("request of %d with no final answer %v after its last byte", taken, deadline+answerGrace+socketSlack))
}
