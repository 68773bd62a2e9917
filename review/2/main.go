// Command 2 plays clients that send large bodies while one of four transcribers hangs. It checks that each request that the
// node's machine has whole gets its final answer in time.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/review/stand"
)

const (
	deadline    = 2500 * time.Millisecond // of the class mark-read
	answerGrace = 550 * time.Millisecond  // half a second, and the 50 ms by which every time limit is longer
	patience    = 14 * time.Second        // for which the clients here wait, to see when the answer comes
	firstSize   = 6 << 20
)

func main() { stand.Main(play) }

func play(rec *stand.Record) (int, error) {
	var hung atomic.Pointer[string]
	var lastRun atomic.Pointer[string]
	waitIfHung := func(id string) {
		if h := hung.Load(); h != nil && *h == id {
			select {}
		}
	}
	var members []stand.Member
	for i := range 4 {
		t := &stand.Transcriber{ID: fmt.Sprintf("s-%d", i)}
		t.OnRead = func() { waitIfHung(t.ID) }
		t.Handle = func(c *stand.Call) bool {
			waitIfHung(t.ID)
			lastRun.Store(&t.ID)
			rec.Add("run %s at %s, body %d", c.ID, c.Server, c.Body)
			time.Sleep(100 * time.Millisecond)
			return stand.Answer(c.Conn, "done "+c.ID)
		}
		if err := t.Start(); err != nil {
			return stand.NotRun, err
		}
		members = append(members, t.Member(0))
	}
	d, err := stand.NewDiscovery(members)
	if err != nil {
		return stand.NotRun, err
	}
	node, err := stand.StartNode(rec, d.Addr, members, stand.Settings())
	if err != nil {
		return stand.NotRun, err
	}
	defer node.Stop()

	// Some small requests show which transcriber the node uses first. That one hangs from then on.
	for i := range 3 {
		u := &upload{id: fmt.Sprintf("small-%d", i), size: 1000}
		if err := u.send(rec, node); err != nil {
			return stand.NotRun, err
		}
		if u.await(rec); u.status != http.StatusOK {
			return stand.NotRun, fmt.Errorf("a small request was answered %d", u.status)
		}
	}
	if stand.Trouble() {
		hung.Store(lastRun.Load())
		rec.Add("%s hangs", *lastRun.Load())
	}

	// The first large request shows how much the machines between client and transcriber hold. The two others are a little
	// smaller, so that the node's machine has them whole.
	uploads := []*upload{{id: "large-0", size: firstSize}}
	if err := uploads[0].send(rec, node); err != nil {
		return stand.NotRun, err
	}
	time.Sleep(250 * time.Millisecond)
	held := firstSize - uploads[0].unacknowledged()
	for i, less := range []int{20 << 10, 40 << 10} {
		u := &upload{id: fmt.Sprintf("large-%d", i+1), size: held - less}
		uploads = append(uploads, u)
		if err := u.send(rec, node); err != nil {
			return stand.NotRun, err
		}
	}
	var answered sync.WaitGroup
	for _, u := range uploads {
		answered.Go(func() { u.await(rec) })
	}
	answered.Wait()
	broken := false
	for _, u := range uploads {
		switch {
		case u.taken.IsZero():
			rec.Add("%s: not judged, the node's machine did not have it whole before the answer", u.id)
		case u.answered.IsZero() || u.answered.Sub(u.taken) > deadline+answerGrace:
			broken = true
			rec.Add("BROKEN: %s was taken whole and got its final answer (status %d) after %.3f s, with a deadline of %v", u.id, u.status,
				u.answered.Sub(u.taken).Seconds(), deadline)
			fmt.Printf("%s: final answer (status %d) %.3f s after its last byte, deadline %v\n", u.id, u.status, u.answered.Sub(u.taken).Seconds(), deadline)
		default:
			rec.Add("%s: answered %d after %.3f s", u.id, u.status, u.answered.Sub(u.taken).Seconds())
		}
	}
	if broken {
		return stand.Broken, nil
	}
	return stand.Held, nil
}

// upload is one request with a body, on a connection of its own.
type upload struct {
	id       string
	size     int
	conn     *net.TCPConn
	mu       sync.Mutex
	taken    time.Time // when the node's machine had acknowledged every byte
	answered time.Time // when the last byte of the answer had come
	status   int
}

// send begins to send the request.
func (u *upload) send(rec *stand.Record, node *stand.Node) (err error) {
	if u.conn, err = node.Dial(); err != nil {
		return err
	}
	rec.Add("sent %s, body %d", u.id, u.size)
	go func() {
		head := stand.Head("POST", u.id, "mark-read", "marmara-grup", deadline, "Idempotency-Key: key-"+u.id, fmt.Sprintf("Content-Length: %d", u.size))
		if _, err := u.conn.Write(append([]byte(head), make([]byte, u.size)...)); err != nil {
			return
		}
		for {
			left, err := stand.Unacknowledged(u.conn)
			if err != nil {
				return
			}
			if left == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.answered.IsZero() {
			u.taken = time.Now()
			rec.Add("taken %s: the node's machine has acknowledged every byte", u.id)
		}
	}()
	return nil
}

func (u *upload) unacknowledged() int {
	n, err := stand.Unacknowledged(u.conn)
	if err != nil {
		return 0
	}
	return n
}

// await reads the answer.
func (u *upload) await(rec *stand.Record) {
	defer u.conn.Close()
	_ = u.conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(u.conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		rec.Add("no answer to %s: %v", u.id, err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered, u.status = time.Now(), resp.StatusCode
	rec.Add("answer to %s: %d", u.id, u.status)
}
