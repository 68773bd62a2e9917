package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	answerWait = answerGrace + 4*checkerSlack // beyond a request's time, until it counts as unanswered
	dialWait   = time.Second
	queueMost  = 12        // requests that a client sends at once
	idleMost   = 300       // idle connections to one node, more than it has descriptors
	floodMost  = 300 << 10 // bytes behind a request
	briefPart  = 0.2       // of the requests, whose clients wait for less than the class allows
	pieceWait  = 100 * time.Millisecond
)

// classes are the request classes of every run.
var classes = []Class{
	{Name: "get", Repeat: "free", Deadline: 1500 * time.Millisecond},
	{Name: "mark", Repeat: "guarded", Deadline: 1200 * time.Millisecond, Window: 3 * time.Second},
	{Name: "bill", Repeat: "single_shot", Deadline: 2 * time.Second},
}

// clientPool plays the clients of all nodes.
type clientPool struct {
	checker *Checker
	classes []Class
	ids     atomic.Int64
	leave   atomic.Bool // many close before their answer
	slow    atomic.Bool // many write in pieces

	mu   sync.Mutex
	rng  *rand.Rand
	idle map[*node][]*clientConn
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	uses int
}

func newClientPool(judge *Checker, seed uint64) *clientPool {
	return &clientPool{checker: judge, classes: classes, rng: rand.New(rand.NewPCG(seed, 3)), idle: make(map[*node][]*clientConn)}
}

func (p *clientPool) float() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

func dial(n *node) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", n.listen, dialWait)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, in: bufio.NewReader(c)}, nil
}

// take returns a connection to the node: one at rest, or a new one, if the front sends clients there; else nil.
func (p *clientPool) take(n *node) (*clientConn, error) {
	p.mu.Lock()
	if rest := p.idle[n]; len(rest) > 0 {
		c := rest[len(rest)-1]
		p.idle[n] = rest[:len(rest)-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	if !n.takesClients() {
		return nil, nil
	}
	return dial(n)
}

func (p *clientPool) putBack(n *node, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[n] = append(p.idle[n], c)
}

// begin draws a request, and returns it with its text.
func (p *clientPool) begin(n *node, class Class, retry bool) (*request, string) {
	id := fmt.Sprintf("n%03d-%07d", n.number, p.ids.Add(1))
	r := p.checker.AddRequest(id, class, n.number)
	method, key, body := http.MethodGet, "", ""
	if class.Repeat != "free" {
		method, body = http.MethodPost, "body of "+id
	}
	if class.Repeat == "guarded" {
		key = "Idempotency-Key: k-" + id + "\r\n"
	}
	if retry {
		key += retryHeader
	}
	return r, fmt.Sprintf("%s /api?of=%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\n"+
		"X-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s", method, id, id, class.Name, class.Deadline.Milliseconds(), key,
		len(body), body)
}

func (p *clientPool) class() Class { return p.classes[min(len(p.classes)-1, int(p.float()*3.5/2))] }

// request sends one request to the node, and waits for what becomes of it.
func (p *clientPool) request(n *node) {
	c, err := p.take(n)
	if c == nil || err != nil {
		return // nobody has taken anything
	}
	class := p.class()
	if p.float() < briefPart { // as a retry that has used up most of its client's time
		class.Deadline = minTryTime + time.Duration(p.float()*float64(class.Deadline-minTryTime)).Truncate(time.Millisecond)
	}
	r, text := p.begin(n, class, false)
	if !p.write(c, text) {
		c.Close()
		return // not written whole
	}
	sent := time.Now()
	p.checker.Sent(r, sent)
	c.uses++
	if p.leave.Load() && p.float() < 0.5 {
		time.Sleep(time.Duration(p.float() * float64(30*time.Millisecond)))
		p.checker.Abandoned(r, time.Now())
		c.Close()
		return
	}
	if p.answer(n, c, r, sent) {
		p.putBack(n, c)
	} else {
		c.Close()
	}
}

// write sends a text, in pieces where clients are slow; false: it did not go out whole.
func (p *clientPool) write(c *clientConn, text string) bool {
	if p.slow.Load() && p.float() < 0.5 {
		for len(text) > 40 {
			n := 1 + int(p.float()*float64(len(text)-1))
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return false
			}
			text = text[n:]
			time.Sleep(time.Duration(p.float() * float64(pieceWait)))
		}
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// answer waits for a request's answer, and reports whether the connection serves another.
func (p *clientPool) answer(n *node, c *clientConn, r *request, sent time.Time) bool {
	_ = c.SetReadDeadline(sent.Add(r.class.Deadline + answerWait))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		p.broken(n, c, r, sent, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	now := time.Now()
	if err != nil && resp.StatusCode != http.StatusOK {
		p.broken(n, c, r, sent, err)
		return false
	}
	// A begun answer that breaks off can be told from a whole one, so it has failed and is not lost.
	p.checker.Answered(r, now, resp.StatusCode, err != nil || string(body) == answerBody(r.id))
	return err == nil && !resp.Close
}

// broken judges a request whose connection ended, or whose time did, before its answer.
func (p *clientPool) broken(n *node, c *clientConn, r *request, sent time.Time, err error) {
	after := time.Since(sent)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		p.checker.Unanswered(r, time.Now(), "no answer came", n.died(sent))
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		// A close over unread bytes resets the connection: the node has not read the request, or it was killed. It has no
		// reason to close a new connection so, unless it ends, sends clients away, or has too many of them.
		if c.uses > 1 || n.turnsAway(sent) {
			p.checker.CloseRace()
		} else {
			p.checker.Unanswered(r, time.Now(), fmt.Sprintf("a new connection was reset (%v)", err), false)
		}
	case c.uses > 1 && after < closeRaceWindow:
		p.checker.CloseRace()
	default:
		p.checker.Unanswered(r, time.Now(), fmt.Sprintf("the connection ended (%v, use %d)", err, c.uses), n.died(sent))
	}
}

// queue sends several requests at once on a new connection, and takes their answers in order.
func (p *clientPool) queue(n *node) {
	c, err := dial(n)
	if err != nil {
		return
	}
	defer c.Close()
	var all strings.Builder
	var requests []*request
	for range 2 + int(p.float()*queueMost) {
		r, text := p.begin(n, p.classes[0], false)
		requests = append(requests, r)
		all.WriteString(text)
	}
	if _, err := io.WriteString(c, all.String()); err != nil {
		return
	}
	sent := time.Now()
	for _, r := range requests {
		p.checker.Sent(r, sent)
	}
	for i, r := range requests {
		if c.uses++; p.answer(n, c, r, sent) {
			continue
		}
		for _, rest := range requests[i+1:] { // the node has read them with the first: together they fit one read
			p.checker.Unanswered(rest, time.Now(), "the connection ended with the answer ahead of it", n.died(sent))
		}
		return
	}
}

// flood sends a request and far more behind it, and closes some time later.
func (p *clientPool) flood(n *node) {
	c, err := dial(n)
	if err != nil {
		return
	}
	r, text := p.begin(n, p.classes[0], false)
	if _, err := io.WriteString(c, text); err != nil {
		c.Close()
		return
	}
	p.checker.Sent(r, time.Now())
	var all strings.Builder
	requests := []*request{r}
	for most := int(p.float() * floodMost); all.Len() < most; {
		r, text := p.begin(n, p.classes[0], false)
		requests = append(requests, r)
		all.WriteString(text)
	}
	_ = c.SetWriteDeadline(time.Now().Add(pieceWait))
	_, _ = io.WriteString(c, all.String()) // all of it may find no room
	time.Sleep(time.Duration(p.float() * float64(pieceWait)))
	for _, r := range requests {
		p.checker.Abandoned(r, time.Now())
	}
	c.Close()
}

// stop writes a part of a request, on a new connection or behind an answered one, and stays.
func (p *clientPool) stop(n *node) {
	c, err := dial(n)
	if err != nil {
		return
	}
	defer c.Close()
	what := "on a new connection"
	if p.float() < 0.5 {
		what = "behind an answer"
		r, text := p.begin(n, p.classes[0], false)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		sent := time.Now()
		p.checker.Sent(r, sent)
		if c.uses++; !p.answer(n, c, r, sent) {
			return
		}
	}
	text := "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: half\r\nX-Class: bill\r\nX-Deadline-Ms: 900\r\nContent-Length: 50\r\n\r\nhalf"
	part := text[:1+int(p.float()*float64(len(text)-1))]
	began := time.Now()
	if _, err := io.WriteString(c, part); err != nil {
		return
	}
	p.letGo(n, c, fmt.Sprintf("%d bytes %s", len(part), what), began)
}

// letGo waits for the error or the close that a peer is owed which sends no proper request.
func (p *clientPool) letGo(n *node, c net.Conn, what string, began time.Time) {
	_ = c.SetReadDeadline(began.Add(2 * badPeerLimit))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	letGo := err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
	p.checker.BadPeer(n.number, what, time.Since(began), letGo, n.died(began))
}

// fill opens idle connections to a node, more than it has descriptors, and holds them for a while.
func (p *clientPool) fill(n *node, hold time.Duration) {
	var all []net.Conn
	for range idleMost {
		c, err := net.DialTimeout("tcp", n.listen, dialWait)
		if err != nil {
			break
		}
		all = append(all, c)
	}
	time.Sleep(hold)
	for _, c := range all {
		c.Close()
	}
}
