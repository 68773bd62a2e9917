package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	meanWork     = 12 * time.Millisecond
	mostWork     = 60 * time.Millisecond
	lateWork     = 700 * time.Millisecond // of a server whose answers come late
	secondAnswer = 2 * time.Millisecond   // at most, behind the first
	serverCores  = 4                      // requests in work at once at full use, for its reports
)

// server stands in for one transcriber, byte by byte.
type server struct {
	number  int
	checker *Checker
	ln      net.Listener
	// closesAfterAnswer has each connection serve one request.
	closesAfterAnswer bool

	workTime time.Duration // of each request; 0: drawn
	takes    *rate.Limiter // what all servers take together, others are turned away

	kind   atomic.Value // of Kind: how it misbehaves now
	inWork atomic.Int64
	mu     sync.Mutex
	rng    *rand.Rand
	conns  map[*serverConn]bool
	recent []time.Time // of the last second, for its reports
}

func newServer(number int, judge *Checker, seed uint64) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{number: number, checker: judge, ln: ln, takes: rate.NewLimiter(rate.Inf, 0), rng: rand.New(rand.NewPCG(seed, uint64(1000+number))),
		conns: make(map[*serverConn]bool)}
	s.kind.Store(Kind(""))
	go s.run()
	return s, nil
}

func (s *server) addr() string { return s.ln.Addr().String() }

func (s *server) now() Kind { return s.kind.Load().(Kind) }

func (s *server) run() {
	for {
		tcp, err := s.ln.Accept()
		if err != nil {
			return
		}
		c := &serverConn{TCPConn: tcp.(*net.TCPConn), server: s}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.run()
	}
}

// resetConns resets its connections: those at rest, or all.
func (s *server) resetConns(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if all || !c.busy.Load() {
			c.reset()
		}
	}
}

func (s *server) close() {
	s.ln.Close()
	s.resetConns(true)
}

// draw returns random numbers in turn: one below 1, and the work of a request.
func (s *server) draw() (float64, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64(), min(mostWork, time.Duration(s.rng.ExpFloat64()*float64(meanWork)))
}

// report is its load report (PROTOCOL, X-Load).
func (s *server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recent = append(s.recent, now)
	for now.Sub(s.recent[0]) > time.Second {
		s.recent = s.recent[1:]
	}
	return fmt.Sprintf("util=%.2f,qps=%d", min(1, float64(s.inWork.Load())/serverCores), len(s.recent))
}

// serverConn is one connection of a node.
type serverConn struct {
	*net.TCPConn
	server *server
	busy   atomic.Bool
	first  time.Time // when the first byte of the request now being read came; only the reader touches it
	begun  bool
}

// Read notes when a request's first byte comes.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.begun {
		c.first, c.begun = time.Now(), true
	}
	return n, err
}

func (c *serverConn) reset() {
	_ = c.SetLinger(0)
	c.Close()
}

func (c *serverConn) run() {
	defer func() {
		c.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		c.begun = false
		c.busy.Store(false)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c.busy.Store(true)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		told, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		id := req.Header.Get("X-Request-Id")
		a := c.server.checker.AttemptBegan(id, c.server.number, c.first, time.Duration(told)*time.Millisecond)
		if !c.serve(id, a, in) {
			c.server.checker.AttemptEnded(a, time.Now(), false)
			return
		}
		if c.server.closesAfterAnswer {
			return
		}
	}
}

// answerBody is what a server answers to a request: nobody else can know it.
func answerBody(id string) string { return "made for " + id }

// serve works on a request as its server does just now, and reports whether the connection serves another.
func (c *serverConn) serve(id string, a *attempt, in *bufio.Reader) bool {
	s := c.server
	s.inWork.Add(1)
	defer s.inWork.Add(-1)
	chance, work := s.draw()
	kind := s.now()
	if s.workTime > 0 {
		work = s.workTime
	}
	if !s.takes.Allow() {
		s.checker.AttemptEnded(a, time.Now(), true)
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if kind == ServerLate {
		work += lateWork
	}
	if kind == ServerHang {
		work = time.Hour
	}
	if !c.work(work, in) {
		return false
	}
	body := answerBody(id)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load: %s\r\n\r\n%s", len(body), s.report(), body)
	notRun := false
	switch {
	case kind == ServerReset && chance < 0.5:
		c.reset()
		return false
	case kind == ServerErrors && chance < 0.3:
		whole = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case kind == ServerErrors && chance < 0.6:
		whole, notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true
	case kind == ServerEndless && chance < 0.5:
		return c.endless()
	case kind == ServerSmallWrites:
		return c.pieces(a, whole, body, chance)
	case kind == ServerDoubleAnswer && chance < 0.5:
		s.checker.AttemptEnded(a, time.Now(), false)
		_, _ = io.WriteString(c, whole)
		time.Sleep(time.Duration(chance * 2 * float64(secondAnswer)))
		_, err := io.WriteString(c, whole)
		return err == nil
	}
	s.checker.AttemptEnded(a, time.Now(), notRun)
	_, err := io.WriteString(c, whole)
	return err == nil
}

// work lets the time of the work go by; false: the node closed the connection first.
func (c *serverConn) work(d time.Duration, in *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return err == nil || ok && timeout.Timeout()
}

// endless writes an answer that never ends, until the node closes the connection.
func (c *serverConn) endless() bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err == nil {
		_, err = io.WriteString(c, "8\r\nnever en\r\n")
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// pieces writes an answer cut anywhere; some have no length and end with the connection, in order or by a reset.
func (c *serverConn) pieces(a *attempt, whole, body string, chance float64) bool {
	reusable := chance < 0.6
	if !reusable {
		whole = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
	}
	if chance > 0.8 { // a reset is no end
		whole = whole[:len(whole)-3]
	}
	for len(whole) > 0 {
		n := min(len(whole), 7+len(whole)/5)
		if n == len(whole) && reusable {
			c.server.checker.AttemptEnded(a, time.Now(), false)
		}
		if _, err := io.WriteString(c, whole[:n]); err != nil {
			return false
		}
		whole = whole[n:]
		time.Sleep(time.Millisecond)
	}
	if chance > 0.8 {
		c.reset()
	}
	return reusable
}
