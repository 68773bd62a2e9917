// Command 3 plays a client that sends a chunked request while all transcribers are busy, and leaves before the node has
// begun an attempt. It checks that no attempt begins more than 0.1 s after that.
package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cobaltward/review/stand"
)

const (
	rounds    = 3
	fill      = 14 // requests that keep the transcribers busy
	work      = 500 * time.Millisecond
	pieces    = 8
	pieceSize = 16 << 10
	stay      = 50 * time.Millisecond  // from the last byte of the request until the client leaves
	limit     = 150 * time.Millisecond // 0.1 s, and the 50 ms by which every time limit is longer
)

func main() { stand.Main(play) }

func play(rec *stand.Record) (int, error) {
	var mu sync.Mutex
	attempts := make(map[string]time.Time) // when the transcriber got the first byte of a complete attempt, by request
	var members []stand.Member
	for i := range 2 {
		t := &stand.Transcriber{ID: fmt.Sprintf("s-%d", i)}
		t.Handle = func(c *stand.Call) bool {
			rec.Add("run %s at %s, body %d", c.ID, c.Server, c.Body)
			mu.Lock()
			attempts[c.ID] = c.FirstByte
			mu.Unlock()
			time.Sleep(work)
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
	broken, ran := 0, 0
	for round := range rounds {
		var others sync.WaitGroup
		for i := range fill {
			others.Go(func() {
				id := fmt.Sprintf("fill-%d-%d", round, i)
				_, _ = request(rec, node, id, stand.Head("GET", id, "transcript-get", []string{"marmara-grup", "ege-bayi"}[i%2], 3*time.Second), 0)
			})
		}
		time.Sleep(50 * time.Millisecond)
		id := fmt.Sprintf("bill-%d", round)
		text := stand.Head("POST", id, "transcribe-bill", "marmara-grup", 6*time.Second, "Transfer-Encoding: chunked")
		for range pieces {
			text += fmt.Sprintf("%x\r\n%s\r\n", pieceSize, strings.Repeat("x", pieceSize))
		}
		leaveAfter := time.Duration(0)
		if stand.Trouble() {
			leaveAfter = stay
		}
		left, err := request(rec, node, id, text+"0\r\n\r\n", leaveAfter)
		if err != nil {
			return stand.NotRun, err
		}
		others.Wait()
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		began, found := attempts[id]
		mu.Unlock()
		if found {
			ran++
		}
		if late := began.Sub(left); !left.IsZero() && found && late > limit {
			broken++
			rec.Add("BROKEN: an attempt of %s began %.3f s after its client had closed", id, late.Seconds())
			fmt.Printf("%s: an attempt began %.3f s after its client had closed\n", id, late.Seconds())
		}
	}
	switch {
	case broken > 0:
		return stand.Broken, nil
	case !stand.Trouble() && ran < rounds:
		return stand.NotRun, fmt.Errorf("%d of %d requests ran", ran, rounds)
	}
	return stand.Held, nil
}

// request sends a request and reads the answer. If leaveAfter isn't zero, the client closes its connection so long after
// the last byte instead, and left is that moment.
func request(rec *stand.Record, node *stand.Node, id, text string, leaveAfter time.Duration) (left time.Time, err error) {
	conn, err := node.Dial()
	if err != nil {
		return left, err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(text)); err != nil {
		return left, err
	}
	rec.Add("sent %s, %d bytes", id, len(text))
	if leaveAfter > 0 {
		time.Sleep(leaveAfter)
		rec.Add("the client of %s closes", id)
		conn.Close()
		return time.Now(), nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.Add("no answer to %s: %v", id, err)
		return left, nil
	}
	rec.Add("answer to %s: %d", id, resp.StatusCode)
	return left, nil
}
