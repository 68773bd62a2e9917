package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["exit-hang"] = exitHang }

// exitHang: nodes are told to end while transcribers hang; these answer, with large answers, in the milliseconds in which the
// node ends. The settings don't allow to cancel attempts. Each round has 12 nodes that have nothing to do with each other.
func exitHang(b *bench) {
	const (
		rounds   = 5
		nodes    = 12
		requests = 80                      // to each node
		size     = 100_000                 // of an answer
		ends     = 3430 * time.Millisecond // after SIGTERM: 3 s, 0.3 s and 0.1 s, and some more
		wait     = 8 * time.Second         // for the process, after SIGTERM
	)
	hangs, tries := 0, 0
	for round := range rounds {
		var all sync.WaitGroup
		var mu sync.Mutex
		for k := range nodes {
			all.Go(func() {
				o := defaults()
				o.cancel, o.nodes = false, 1
				o.classes[2].aim = o.classes[2].deadline
				answerAt := make(chan time.Time) // closed once the time is known
				var at time.Time
				var list []member
				for i := range 10 {
					t := b.startTranscriber(fmt.Sprintf("s-%02d", i+1))
					t.quiet = true
					t.answer = func(_ *transcriber, r *request) bool {
						if b.trouble {
							<-answerAt
							time.Sleep(time.Until(at.Add(rand.N(5 * time.Millisecond))))
						}
						fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
						_, err := r.conn.Write(make([]byte, size))
						return err == nil
					}
					t.serve()
					list = append(list, up(t.name, t.addr(), 0))
				}
				discovery := b.startRegistry(list)
				n := b.startNode(fmt.Sprintf("n%d-%d", round, k), o, discovery.addr(), list, freeAddress())
				n.awaitReady()
				var clients sync.WaitGroup
				for i := range requests {
					clients.Go(func() {
						c := b.dial(n.addr)
						defer c.Close()
						_ = c.SetDeadline(time.Now().Add(10 * time.Second))
						_, _ = c.Write(head("POST", fmt.Sprintf("bill-%d", i), "transcribe-bill", 6000, length(0)))
						_, _, _, _ = readAnswer(newReader(c))
						if i == 0 {
							time.Sleep(time.Second) // one client rests
						}
					})
				}
				time.Sleep(300 * time.Millisecond)
				n.signal(syscall.SIGTERM)
				told := time.Now()
				at = told.Add(ends + time.Duration(k)*2*time.Millisecond)
				close(answerAt)
				select {
				case <-n.ended:
					b.note("node %d of round %d: ended %.4f s after SIGTERM; answers from %.4f s", k, round, time.Since(told).Seconds(), at.Sub(told).Seconds())
				case <-time.After(wait):
					b.note("node %d of round %d: HANGS, not ended %v after SIGTERM; answers from %.4f s", k, round, wait, at.Sub(told).Seconds())
					mu.Lock()
					hangs++
					mu.Unlock()
				}
				n.kill()
				clients.Wait()
				mu.Lock()
				tries++
				mu.Unlock()
			})
		}
		all.Wait()
		if hangs > 0 {
			break
		}
	}
	b.finish(hangs, fmt.Sprintf("process of %d that never ended after SIGTERM", tries))
}
