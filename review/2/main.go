// Command 2 plays clients that send bodies of 128 KiB in pieces, and transcribers that reset some connections under requests
// that have begun. It checks that each request that the node's machine has whole gets an answer.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/review/stand"
)

const (
	clients      = 16
	duration     = 45 * time.Second
	deadline     = 3 * time.Second
	pieces       = 8
	pieceSize    = 16 << 10
	pieceEvery   = 20 * time.Millisecond // at most; much faster than 64 kB a second
	work         = 50 * time.Millisecond
	rest         = 20 * time.Millisecond // between two requests of a client, at most
	resetOneIn   = 3
	resetFrom    = 64 << 10              // bytes of the body, and up to all of it,
	resetWait    = 20 * time.Millisecond // and up to so much later
	patience     = 5 * time.Second
	takenChecks  = 1000
	transcribers = 12
)

// counts are the results of all clients.
type counts struct{ answered, unanswered, whole, cutOff atomic.Int32 }

func main() { stand.Main(play) }

func play(rec *stand.Record) (int, error) {
	var members []stand.Member
	for i := range transcribers {
		t := &stand.Transcriber{ID: fmt.Sprintf("s-%d", i)}
		t.ResetAfter = func(c *stand.Call) int64 {
			if !stand.Trouble() || rand.IntN(resetOneIn) > 0 {
				return -1
			}
			after := int64(resetFrom + rand.IntN(pieces*pieceSize-resetFrom))
			rec.Add("%s resets the connection after %d bytes of the body of %s", c.Server, after, c.ID)
			return after
		}
		t.ResetWait = func() time.Duration { return rand.N(resetWait) }
		t.Handle = func(c *stand.Call) bool {
			rec.Add("run %s at %s, body %d", c.ID, c.Server, c.Body)
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
	var results counts
	var all sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range clients {
		all.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				request(rec, node, &results, fmt.Sprintf("bill-%d-%d", i, k), tenant())
				time.Sleep(rand.N(rest))
			}
		})
	}
	all.Wait()
	fmt.Printf("requests that the node's machine had whole: %d, of these never answered: %d; answered %d; connection ended by the node before the last byte: %d\n",
		results.whole.Load(), results.unanswered.Load(), results.answered.Load(), results.cutOff.Load())
	switch {
	case node.HasExited():
		return stand.NotRun, fmt.Errorf("the node has ended")
	case results.unanswered.Load() > 0:
		return stand.Broken, nil
	case results.answered.Load() == 0:
		return stand.NotRun, fmt.Errorf("nothing was answered")
	}
	return stand.Held, nil
}

// tenant draws a tenant by the parts that the settings give them.
func tenant() string {
	at := rand.Float64()
	for _, t := range stand.Settings()["tenants"].([]any) {
		entry := t.(map[string]any)
		if at -= entry["fraction"].(float64); at < 0 {
			return entry["name"].(string)
		}
	}
	return "marmara-grup"
}

// request sends one request on a new connection and waits for its answer.
func request(rec *stand.Record, node *stand.Node, results *counts, id, tenant string) {
	conn, err := node.Dial()
	if err != nil {
		rec.Add("%s: %v", id, err)
		return
	}
	defer conn.Close()
	head := stand.Head("POST", id, "transcribe-bill", tenant, deadline, "Transfer-Encoding: chunked")
	if _, err := io.WriteString(conn, head); err != nil {
		rec.Add("%s: %v", id, err)
		return
	}
	piece := fmt.Sprintf("%x\r\n%s\r\n", pieceSize, strings.Repeat("x", pieceSize))
	for i := range pieces {
		if i == pieces-1 {
			piece += "0\r\n\r\n"
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			break // the answer may have come all the same
		}
		if i < pieces-1 {
			time.Sleep(rand.N(pieceEvery))
		}
	}
	whole := isTaken(conn)
	if whole {
		results.whole.Add(1)
	}
	rec.Add("sent %s, the node's machine has it whole: %v", id, whole)
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err == nil:
		results.answered.Add(1)
		rec.Add("answer to %s: %d", id, resp.StatusCode)
	case whole:
		results.unanswered.Add(1)
		rec.Add("BROKEN: %s was taken whole and gets no answer: %v", id, err)
	default:
		results.cutOff.Add(1)
		rec.Add("no answer to %s, which wasn't whole: %v", id, err)
	}
}

// isTaken reports whether the node's machine has taken the whole request while its connection is open.
func isTaken(conn *net.TCPConn) bool {
	for range takenChecks {
		if stand.Taken(conn) {
			return true
		}
	}
	return false
}
