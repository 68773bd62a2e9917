package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["half-written-crowd"] = halfWrittenCrowd }

// halfWrittenCrowd: a crowd of connections with half-written requests arrives, while sound clients send small requests on new
// connections.
func halfWrittenCrowd(b *bench) {
	const (
		crowd    = 600
		body     = 100_000 // bytes that each half-written request announces
		part     = 10      // bytes of it that come
		deadline = 1500 * time.Millisecond
		requests = 60
		interval = 50 * time.Millisecond
	)
	o := defaults()
	o.sockets = 256
	n := b.small(o, 5, nil)
	var peers, clients sync.WaitGroup
	var mu sync.Mutex
	var longest time.Duration
	if b.trouble {
		for i := range crowd {
			time.Sleep(time.Millisecond)
			c, err := net.DialTimeout("tcp", n.addr, time.Second)
			if err != nil {
				b.note("half-written connection %d: %v", i, err)
				continue
			}
			peers.Go(func() {
				defer c.Close()
				began := time.Now()
				id := fmt.Sprintf("half-%d", i)
				_, _ = c.Write(append(head("POST", id, "mark-read", 1500, key(id), length(body)), make([]byte, part)...))
				_ = c.SetReadDeadline(began.Add(20 * time.Second))
				_, _ = c.Read(make([]byte, 1)) // its error or its close
				mu.Lock()
				longest = max(longest, time.Since(began))
				mu.Unlock()
			})
		}
		b.note("%d half-written connections have come", crowd)
	}
	answered, lost, closed := 0, 0, 0
	for i := range requests {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			id := fmt.Sprintf("small-%d", i)
			c, err := net.DialTimeout("tcp", n.addr, time.Second)
			if err != nil {
				b.note("client: %s: not connected, so not taken: %v", id, err)
				return
			}
			defer c.Close()
			if _, err = c.Write(head("GET", id, "transcript-get", int(deadline/time.Millisecond))); err != nil {
				b.note("client: %s: not written, so not taken: %v", id, err)
				return
			}
			written := time.Now()
			_ = c.SetReadDeadline(written.Add(deadline + answerGrace + socketSlack))
			status, _, _, err := readAnswer(newReader(c))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
				b.note("client: %s: answer %d after %.3f s", id, status, time.Since(written).Seconds())
			case errors.Is(err, os.ErrDeadlineExceeded):
				lost++
				b.note("client: %s: connected and written, but no answer and no close after %.3f s: LOST", id, time.Since(written).Seconds())
			default: // new connections may be shut unread while others fill the descriptors
				closed++
				b.note("client: %s: closed with no answer after %.3f s: %v", id, time.Since(written).Seconds(), err)
			}
		})
	}
	clients.Wait()
	peers.Wait()
	b.note("requests: %d answered, %d closed unanswered, %d lost; the last half-written one had its error or close after %.1f s", answered, closed,
		lost, longest.Seconds())
	b.finish(lost, fmt.Sprintf("request of %d with no final answer %v after its last byte", requests, deadline+answerGrace+socketSlack))
}
