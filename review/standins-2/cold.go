package main

import (
	"fmt"
	"math"
	"net"
	"sync"
	"time"
)

func init() { cases["small-cold"] = smallCold }

// smallCold: a small transcriber joins a fleet of large and small ones, cold. No load reports; the list tells sizes.
func smallCold(b *bench) {
	const (
		nodes      = 24
		requests   = 400.0 // a second, by all clients
		bigSize    = 16.0
		perSize    = 10.0 // requests a second that a warm transcriber of size 1 can do
		share      = 0.13 // guarantees.coldShare
		warmAfter  = 24 * time.Second
		multiple   = 2.5
		window     = 3 * time.Second
		joinsAfter = 6 * time.Second
		watched    = 15 * time.Second
	)
	o := defaults()
	o.nodes, o.weights, o.reports = nodes, "nominal", false
	o.classes = []class{{name: "transcript-get", repeat: "free", group: "all", aim: 300, deadline: 600, window: 5000}}
	var list []member
	for i := range 5 {
		t := b.startTranscriber(fmt.Sprintf("s-%02d", i+1))
		t.quiet = true
		var core sync.Mutex
		t.answer = func(_ *transcriber, r *request) bool {
			if i < 3 {
				time.Sleep(40 * time.Millisecond)
			} else { // a small one works on one request at a time
				core.Lock()
				time.Sleep(time.Duration(float64(time.Second) / perSize))
				core.Unlock()
			}
			_, err := r.conn.Write(ok(r.id))
			return err == nil
		}
		t.serve()
		m := up(t.name, t.addr(), 0)
		if i < 3 {
			m.Size = bigSize
		}
		list = append(list, m)
	}
	var mu sync.Mutex
	var joined time.Time
	var arrivals []time.Time
	var idle time.Time // from when on the small one has nothing to do
	falls, worst := 0, 0.0
	small := b.startTranscriber("s-00")
	small.quiet = true
	small.answer = func(t *transcriber, r *request) bool {
		mu.Lock()
		now := time.Now()
		for len(arrivals) > 0 && now.Sub(arrivals[0]) > window {
			arrivals = arrivals[1:]
		}
		arrivals = append(arrivals, now)
		present := perSize * min(1, share+(1-share)*now.Sub(joined).Seconds()/warmAfter.Seconds())
		if !b.trouble {
			present = perSize
		}
		n := multiple * present * window.Seconds()
		budget := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			budget = n + 3*math.Sqrt(n) + 3
		}
		if used := float64(len(arrivals)) / budget; used > worst {
			worst = used
			b.note("s-00: %.2f s after its start: %d requests in %v; N is %.1f and the budget %.1f", now.Sub(joined).Seconds(), len(arrivals), window, n, budget)
		}
		if falls == 0 && float64(len(arrivals)) > budget {
			falls++
			b.note("s-00: FALLS OVER")
			t.ln.Close()
		}
		down := falls > 0
		if idle.Before(now) {
			idle = now
		}
		idle = idle.Add(time.Duration(float64(time.Second) / present))
		until := idle
		mu.Unlock()
		if down {
			return false
		}
		time.Sleep(time.Until(until))
		_, err := r.conn.Write(ok(r.id))
		return err == nil
	}
	small.serve()
	discovery := b.startRegistry(list)
	var all []*nodeProcess
	for i := range nodes {
		o.position = i
		all = append(all, b.startNode(fmt.Sprintf("n%d", i), o, discovery.addr(), list, freeAddress()))
	}
	for _, n := range all {
		n.awaitReady()
	}
	began := time.Now()
	answers := map[int]int{}
	var clients sync.WaitGroup
	for k, n := range all {
		clients.Go(func() { // requests come at an even pace, whether or not others are answered
			idleConns := make(chan net.Conn, 1000)
			for i := 0; time.Since(began) < joinsAfter+watched; i++ {
				time.Sleep(time.Until(began.Add(time.Duration(float64(i*nodes+k) / requests * float64(time.Second)))))
				clients.Go(func() {
					var c net.Conn
					select {
					case c = <-idleConns:
					default:
						c = b.dial(n.addr)
					}
					_ = c.SetDeadline(time.Now().Add(5 * time.Second))
					_, _ = c.Write(head("GET", fmt.Sprintf("get-%d-%d", k, i), "transcript-get", 600))
					status, _, closes, err := readAnswer(newReader(c))
					mu.Lock()
					answers[status]++
					mu.Unlock()
					if closes || err != nil {
						c.Close()
						return
					}
					idleConns <- c
				})
			}
		})
	}
	time.Sleep(joinsAfter)
	mu.Lock()
	joined = time.Now()
	m := up(small.name, small.addr(), 0)
	if b.trouble {
		m.UpSince = joined.UnixMilli()
	} // otherwise it has been running for long
	mu.Unlock()
	discovery.set(m)
	b.note("s-00, of size 1, is in the list")
	clients.Wait()
	mu.Lock()
	b.note("answers by status: %v; the budget was used to %.2f at most", answers, worst)
	mu.Unlock()
	b.finish(falls, "fall of a cold transcriber, sent all of its work by nodes that had been told of its start")
}
