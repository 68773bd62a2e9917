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
	answerTimeoutSlack    = answerGrace + 4*checkerSlack // a request counts as unanswered this long after its deadline
	dialTimeout           = time.Second
	pipelineSizes         = 12        // a pipeline has 2 to pipelineSizes+1 requests
	idleConnCount         = 300       // idle connections to one node, more than its limit of descriptors
	maxFloodBytes         = 300 << 10 // upper limit of the bytes pipelined after a request
	shortDeadlineFraction = 0.2       // fraction of the requests whose deadline is shorter than the class's
	// maxClientPause is the longest pause of a slow client between two writes and of a flooding client before it closes, and the
	// time limit of a flood's write.
	maxClientPause = 100 * time.Millisecond
)

// defaultClasses are the request classes of runs without an overload.
var defaultClasses = []Class{
	{Name: "get", Repeat: "free", Deadline: 1500 * time.Millisecond},
	{Name: "mark", Repeat: "guarded", Deadline: 1200 * time.Millisecond, Window: 3 * time.Second},
	{Name: "bill", Repeat: "single_shot", Deadline: 2 * time.Second},
}

// clientPool simulates the clients of all nodes.
type clientPool struct {
	checker    *Checker
	classes    []Class
	lastID     atomic.Int64 // the last number used in a request id
	leaveEarly atomic.Bool  // about half of the clients close before the answer
	slowWrites atomic.Bool  // about half of the clients send their request in small writes

	mu   sync.Mutex
	rng  *rand.Rand
	idle map[*node][]*clientConn // open connections without an outstanding request
}

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	uses   int // requests sent on it
}

func newClientPool(checker *Checker, seed uint64) *clientPool {
	return &clientPool{checker: checker, classes: defaultClasses, rng: rand.New(rand.NewPCG(seed, 3)), idle: make(map[*node][]*clientConn)}
}

func (p *clientPool) randomFloat() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

func dial(n *node) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", n.listenAddr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// getConn returns an idle connection to the node, or else a new one if the front opens connections to the node, or else nil.
func (p *clientPool) getConn(n *node) (*clientConn, error) {
	p.mu.Lock()
	if idle := p.idle[n]; len(idle) > 0 {
		c := idle[len(idle)-1]
		p.idle[n] = idle[:len(idle)-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	if !n.receivesConnections() {
		return nil, nil
	}
	return dial(n)
}

// putConn keeps an idle connection for later requests.
func (p *clientPool) putConn(n *node, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[n] = append(p.idle[n], c)
}

// newRequest registers a request of a class with the checker, and returns it with its text on the wire.
func (p *clientPool) newRequest(n *node, class Class, retry bool) (*request, string) {
	id := fmt.Sprintf("n%03d-%07d", n.number, p.lastID.Add(1))
	r := p.checker.AddRequest(id, class, n.number)
	method, extraHeaders, body := http.MethodGet, "", ""
	if class.Repeat != "free" {
		method, body = http.MethodPost, "body of "+id
	}
	if class.Repeat == "guarded" {
		extraHeaders = "Idempotency-Key: k-" + id + "\r\n"
	}
	if retry {
		extraHeaders += retryHeader
	}
	return r, fmt.Sprintf("%s /api?of=%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\n"+
		"X-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s", method, id, id, class.Name, class.Deadline.Milliseconds(), extraHeaders,
		len(body), body)
}

// randomClass returns the first class with a probability of 4/7, else the second.
func (p *clientPool) randomClass() Class {
	return p.classes[min(len(p.classes)-1, int(p.randomFloat()*3.5/2))]
}

// sendRequest sends one request to the node, and waits for its outcome.
func (p *clientPool) sendRequest(n *node) {
	c, err := p.getConn(n)
	if c == nil || err != nil {
		return // there is no connection, so the request was not sent
	}
	class := p.randomClass()
	if p.randomFloat() < shortDeadlineFraction { // like a retry with a part of its client's deadline left
		class.Deadline = minRequestDeadline + time.Duration(p.randomFloat()*float64(class.Deadline-minRequestDeadline)).Truncate(time.Millisecond)
	}
	r, text := p.newRequest(n, class, false)
	if !p.writeRequest(c, text) {
		c.Close()
		return // not written in full
	}
	sent := time.Now()
	p.checker.Sent(r, sent)
	c.uses++
	if p.leaveEarly.Load() && p.randomFloat() < 0.5 {
		time.Sleep(time.Duration(p.randomFloat() * float64(30*time.Millisecond)))
		p.checker.Abandoned(r, time.Now())
		c.Close()
		return
	}
	if p.readAnswer(n, c, r, sent) {
		p.putConn(n, c)
	} else {
		c.Close()
	}
}

// writeRequest writes a request's text, in small writes where clients are slow. It returns false if the text was not
// written in full.
func (p *clientPool) writeRequest(c *clientConn, text string) bool {
	if p.slowWrites.Load() && p.randomFloat() < 0.5 {
		for len(text) > 40 {
			n := 1 + int(p.randomFloat()*float64(len(text)-1))
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return false
			}
			text = text[n:]
			time.Sleep(time.Duration(p.randomFloat() * float64(maxClientPause)))
		}
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// readAnswer waits for a request's answer and records it, and reports whether the connection can serve another request.
func (p *clientPool) readAnswer(n *node, c *clientConn, r *request, sent time.Time) bool {
	_ = c.SetReadDeadline(sent.Add(r.class.Deadline + answerTimeoutSlack))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		p.recordNoAnswer(n, c, r, sent, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	now := time.Now()
	if err != nil && resp.StatusCode != http.StatusOK {
		p.recordNoAnswer(n, c, r, sent, err)
		return false
	}
	// A client can tell a truncated answer from a complete one, so a truncated 200 answer counts as answered.
	p.checker.Answered(r, now, resp.StatusCode, err != nil || string(body) == answerBody(r.id))
	return err == nil && !resp.Close
}

// recordNoAnswer records a request whose connection closed, or whose wait ended, before its answer.
func (p *clientPool) recordNoAnswer(n *node, c *clientConn, r *request, sent time.Time, err error) {
	after := time.Since(sent)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		p.checker.Unanswered(r, time.Now(), "no answer came", n.killedSince(sent))
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		// A close with unread bytes resets the connection: the node has not read the request, or it was killed. It has no
		// reason to reset a new connection, unless it is ending, is in standby, or is out of descriptors.
		if c.uses > 1 || n.mayResetUnread(sent) {
			p.checker.CloseRace()
		} else {
			p.checker.Unanswered(r, time.Now(), fmt.Sprintf("a new connection was reset (%v)", err), false)
		}
	case c.uses > 1 && after < closeRaceWindow:
		p.checker.CloseRace()
	default:
		p.checker.Unanswered(r, time.Now(), fmt.Sprintf("the connection closed (%v) during request %d on it", err, c.uses), n.killedSince(sent))
	}
}

// pipeline sends several requests at once on a new connection, and reads their answers in order.
func (p *clientPool) pipeline(n *node) {
	c, err := dial(n)
	if err != nil {
		return
	}
	defer c.Close()
	var texts strings.Builder
	var requests []*request
	for range 2 + int(p.randomFloat()*pipelineSizes) {
		r, text := p.newRequest(n, p.classes[0], false)
		requests = append(requests, r)
		texts.WriteString(text)
	}
	if _, err := io.WriteString(c, texts.String()); err != nil {
		return
	}
	sent := time.Now()
	for _, r := range requests {
		p.checker.Sent(r, sent)
	}
	for i, r := range requests {
		if c.uses++; p.readAnswer(n, c, r, sent) {
			continue
		}
		for _, rest := range requests[i+1:] { // the node has read them with the first, as together they fit one read
			p.checker.Unanswered(rest, time.Now(), "the connection closed with the answer to an earlier request", n.killedSince(sent))
		}
		return
	}
}

// flood sends a request and, without waiting for its answer, up to maxFloodBytes of further ones, and closes some time
// later.
func (p *clientPool) flood(n *node) {
	c, err := dial(n)
	if err != nil {
		return
	}
	r, text := p.newRequest(n, p.classes[0], false)
	if _, err := io.WriteString(c, text); err != nil {
		c.Close()
		return
	}
	p.checker.Sent(r, time.Now())
	var texts strings.Builder
	requests := []*request{r}
	for limit := int(p.randomFloat() * maxFloodBytes); texts.Len() < limit; {
		r, text := p.newRequest(n, p.classes[0], false)
		requests = append(requests, r)
		texts.WriteString(text)
	}
	_ = c.SetWriteDeadline(time.Now().Add(maxClientPause))
	_, _ = io.WriteString(c, texts.String()) // fails at the deadline if the node stops reading
	time.Sleep(time.Duration(p.randomFloat() * float64(maxClientPause)))
	for _, r := range requests {
		p.checker.Abandoned(r, time.Now())
	}
	c.Close()
}

// stall writes a part of a request, on a new connection or after an answered request, and keeps the connection open.
func (p *clientPool) stall(n *node) {
	c, err := dial(n)
	if err != nil {
		return
	}
	defer c.Close()
	position := "on a new connection"
	if p.randomFloat() < 0.5 {
		position = "after an answered request"
		r, text := p.newRequest(n, p.classes[0], false)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		sent := time.Now()
		p.checker.Sent(r, sent)
		if c.uses++; !p.readAnswer(n, c, r, sent) {
			return
		}
	}
	text := "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: half\r\nX-Class: bill\r\nX-Deadline-Ms: 900\r\nContent-Length: 50\r\n\r\nhalf"
	part := text[:1+int(p.randomFloat()*float64(len(text)-1))]
	began := time.Now()
	if _, err := io.WriteString(c, part); err != nil {
		return
	}
	p.awaitClose(n, c, fmt.Sprintf("%d bytes of a request %s", len(part), position), began)
}

// awaitClose waits for the error answer or the close with which the node has to react to an unfinished request, and
// records the outcome with the checker.
func (p *clientPool) awaitClose(n *node, c net.Conn, description string, began time.Time) {
	_ = c.SetReadDeadline(began.Add(2 * badPeerLimit))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	closed := err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
	p.checker.BadPeer(n.number, description, time.Since(began), closed, n.killedSince(began))
}

// openIdleConns opens more idle connections to a node than its limit of descriptors, and keeps them for the given time.
func (p *clientPool) openIdleConns(n *node, hold time.Duration) {
	var conns []net.Conn
	for range idleConnCount {
		c, err := net.DialTimeout("tcp", n.listenAddr, dialTimeout)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	time.Sleep(hold)
	for _, c := range conns {
		c.Close()
	}
}
