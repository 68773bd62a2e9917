package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	cases["second-answer"] = secondAnswer
	cases["second-refusal"] = secondRefusal
}

const (
	secondDelay = 6 * time.Millisecond  // of a second answer after the first: "some milliseconds"
	secondEvery = 11 * time.Second      // between two second answers of one transcriber
	busyTime    = 12 * time.Millisecond // of a transcriber for a request
)

// secondAnswer: transcribers now and then send a 200 answer a second time, some milliseconds later.
func secondAnswer(b *bench) {
	var mu sync.Mutex
	n := b.small(defaults(), 4, func(_ int, t *transcriber) {
		var last time.Time // of the transcriber's latest second answer
		count := 0
		t.answer = func(t *transcriber, r *request) bool {
			mu.Lock()
			count++
			chosen := count > 20 && time.Since(last) > secondEvery
			if chosen {
				last = time.Now()
			}
			mu.Unlock()
			time.Sleep(busyTime)
			_, err := r.conn.Write(ok(r.id))
			if chosen && b.trouble {
				b.sendAgain(t, r, ok(r.id))
			}
			return err == nil
		}
	})
	var clients sync.WaitGroup
	answered, foreign := 0, 0
	for k := range 3 {
		clients.Go(func() {
			c := b.dial(n.addr)
			defer c.Close()
			in := newReader(c)
			for i := 0; time.Since(b.began) < 30*time.Second; i++ {
				id := fmt.Sprintf("get-%d-%d", k, i)
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				_, _ = c.Write(head("GET", id, "transcript-get", 3000))
				status, body, _, err := readAnswer(in)
				if err != nil {
					b.fail("client: %s: %v", id, err)
				}
				mu.Lock()
				if status == 200 {
					answered++
					if string(body) != id {
						b.note("client: %s: got the answer to %s: FOREIGN", id, body)
						foreign++
					}
				}
				mu.Unlock()
				time.Sleep(time.Duration(3000+rand.IntN(4000)) * time.Microsecond)
			}
		})
	}
	clients.Wait()
	if answered == 0 {
		b.fail("no request was served")
	}
	b.finish(foreign, fmt.Sprintf("request of %d that got the answer to another", answered))
}

// sendAgain sends an answer a second time, a little later.
func (b *bench) sendAgain(t *transcriber, r *request, text []byte) {
	time.AfterFunc(secondDelay, func() {
		_, err := r.conn.Write(text)
		b.note("%s: sends its answer to %s a second time, %v after the first (error %v)", t.name, r.id, secondDelay, err)
	})
}

// secondRefusal: every 11 s or so one of four transcribers turns a request away and sends that answer a second time, some milliseconds later.
// Two requests that must never run twice come 4 ms apart; transcribers close connections that were idle for 1 s.
func secondRefusal(b *bench) {
	refusal := []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	var mu sync.Mutex
	ran := map[string][]string{}
	n := b.small(defaults(), 4, func(number int, t *transcriber) {
		t.idleTime = time.Second
		var last time.Time // of the transcriber's latest refusal
		t.answer = func(t *transcriber, r *request) bool {
			mu.Lock()
			chosen := number == 0 && time.Since(last) > secondEvery
			if chosen {
				last = time.Now()
			} else {
				ran[r.id] = append(ran[r.id], t.name)
			}
			mu.Unlock()
			if chosen {
				_, err := r.conn.Write(refusal)
				b.note("%s: turned %s away, queue full", t.name, r.id)
				if b.trouble {
					b.sendAgain(t, r, refusal)
				}
				return err == nil
			}
			time.Sleep(busyTime)
			_, err := r.conn.Write(ok(r.id))
			return err == nil
		}
	})
	for i := range 25 {
		var clients sync.WaitGroup
		for k := range 2 {
			clients.Go(func() {
				id := fmt.Sprintf("bill-%d-%d", i, k)
				time.Sleep(time.Duration(k) * 4 * time.Millisecond)
				c := b.dial(n.addr)
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				_, _ = c.Write(head("POST", id, "transcribe-bill", 3000, length(0)))
				status, _, _, err := readAnswer(newReader(c))
				b.note("client: %s: status %d, error %v", id, status, err)
			})
		}
		clients.Wait()
		time.Sleep(2 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, at := range ran {
		if len(at) > 1 {
			twice++
			b.note("%s ran %d times, at %v: TWICE", id, len(at), at)
		}
	}
	b.finish(twice, fmt.Sprintf("request of %d that must never run twice and ran twice", len(ran)))
}
