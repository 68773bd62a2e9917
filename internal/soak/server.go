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
	meanServiceTime      = 12 * time.Millisecond  // mean of the random service times
	maxServiceTime       = 60 * time.Millisecond  // upper limit of a random service time
	lateAnswerDelay      = 700 * time.Millisecond // added to the service time of a server with delayed answers
	maxSecondAnswerDelay = 2 * time.Millisecond   // longest delay of a second answer after the first
	fullLoadConcurrency  = 4                      // concurrent requests that a server reports as a utilization of 1
)

// server is a stand-in for one transcriber. It writes raw bytes, as disruptions need answers that net/http would not send.
type server struct {
	number  int
	checker *Checker
	ln      net.Listener
	// closesAfterAnswer makes it close each connection after one answer.
	closesAfterAnswer bool

	serviceTime     time.Duration // service time of each request; 0: random
	capacityLimiter *rate.Limiter // shared by all servers; requests above its rate are refused with X-Not-Run

	disruption    atomic.Value // of Kind: the current disruption, empty if none
	inFlight      atomic.Int64 // requests being served
	mu            sync.Mutex
	rng           *rand.Rand
	conns         map[*serverConn]bool
	recentAnswers []time.Time // times of the answers of the last second, for its load reports
}

func newServer(number int, checker *Checker, seed uint64) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{number: number, checker: checker, ln: ln, capacityLimiter: rate.NewLimiter(rate.Inf, 0), rng: rand.New(rand.NewPCG(seed, uint64(1000+number))),
		conns: make(map[*serverConn]bool)}
	s.disruption.Store(Kind(""))
	go s.run()
	return s, nil
}

func (s *server) addr() string { return s.ln.Addr().String() }

// currentDisruption returns the server's current disruption, or the empty Kind.
func (s *server) currentDisruption() Kind { return s.disruption.Load().(Kind) }

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

// resetConns resets the idle connections, or all of them.
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

// randomValues returns the random values for one request: a number in [0, 1) and a service time.
func (s *server) randomValues() (float64, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64(), min(maxServiceTime, time.Duration(s.rng.ExpFloat64()*float64(meanServiceTime)))
}

// loadReport returns the server's load report (PROTOCOL, X-Load).
func (s *server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recentAnswers = append(s.recentAnswers, now)
	for now.Sub(s.recentAnswers[0]) > time.Second {
		s.recentAnswers = s.recentAnswers[1:]
	}
	return fmt.Sprintf("util=%.2f,qps=%d", min(1, float64(s.inFlight.Load())/fullLoadConcurrency), len(s.recentAnswers))
}

// serverConn is one connection from a node.
type serverConn struct {
	*net.TCPConn
	server        *server
	busy          atomic.Bool // a request's header has been read and its answer not yet written
	firstByteTime time.Time   // when the first byte of the current request arrived; only the reading goroutine uses it
	requestBegun  bool        // firstByteTime is set for the current request
}

// Read records when a request's first byte arrives.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.requestBegun {
		c.firstByteTime, c.requestBegun = time.Now(), true
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
		c.requestBegun = false
		c.busy.Store(false)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c.busy.Store(true)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		statedDeadlineMs, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		id := req.Header.Get("X-Request-Id")
		a := c.server.checker.AttemptBegan(id, c.server.number, c.firstByteTime, time.Duration(statedDeadlineMs)*time.Millisecond)
		if !c.serve(id, a, in) {
			c.server.checker.AttemptEnded(a, time.Now(), false)
			return
		}
		if c.server.closesAfterAnswer {
			return
		}
	}
}

// answerBody returns the body of a server's answer to a request. It differs for each id, so that the checker finds answers
// to other requests.
func answerBody(id string) string { return "made for " + id }

// serve serves a request under the server's current disruption, and reports whether the connection can serve another.
func (c *serverConn) serve(id string, a *attempt, in *bufio.Reader) bool {
	s := c.server
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	chance, serviceTime := s.randomValues()
	disruption := s.currentDisruption()
	if s.serviceTime > 0 {
		serviceTime = s.serviceTime
	}
	if !s.capacityLimiter.Allow() {
		s.checker.AttemptEnded(a, time.Now(), true)
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if disruption == ServerLate {
		serviceTime += lateAnswerDelay
	}
	if disruption == ServerHang {
		serviceTime = time.Hour
	}
	if !c.simulateWork(serviceTime, in) {
		return false
	}
	body := answerBody(id)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load: %s\r\n\r\n%s", len(body), s.loadReport(), body)
	notRun := false
	switch {
	case disruption == ServerReset && chance < 0.5:
		c.reset()
		return false
	case disruption == ServerErrors && chance < 0.3:
		response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case disruption == ServerErrors && chance < 0.6:
		response, notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true
	case disruption == ServerEndless && chance < 0.5:
		return c.writeEndless()
	case disruption == ServerSmallWrites:
		return c.writeInPieces(a, response, body, chance)
	case disruption == ServerDoubleAnswer && chance < 0.5:
		s.checker.AttemptEnded(a, time.Now(), false)
		_, _ = io.WriteString(c, response)
		time.Sleep(time.Duration(chance * 2 * float64(maxSecondAnswerDelay)))
		_, err := io.WriteString(c, response)
		return err == nil
	}
	s.checker.AttemptEnded(a, time.Now(), notRun)
	_, err := io.WriteString(c, response)
	return err == nil
}

// simulateWork waits for the service time. It returns false if the node closes the connection first.
func (c *serverConn) simulateWork(serviceTime time.Duration, in *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(serviceTime))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return err == nil || ok && timeout.Timeout()
}

// writeEndless writes a chunked answer without end until the node closes the connection.
func (c *serverConn) writeEndless() bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err == nil {
		_, err = io.WriteString(c, "8\r\nnever en\r\n")
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// writeInPieces writes an answer in small writes. Some answers have no length and end with the connection, and some of
// those are truncated and end with a reset.
func (c *serverConn) writeInPieces(a *attempt, response, body string, chance float64) bool {
	reusable := chance < 0.6
	if !reusable {
		response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
	}
	if chance > 0.8 { // the truncated answer ends with a reset, which must not count as its end
		response = response[:len(response)-3]
	}
	for len(response) > 0 {
		n := min(len(response), 7+len(response)/5)
		if n == len(response) && reusable {
			c.server.checker.AttemptEnded(a, time.Now(), false)
		}
		if _, err := io.WriteString(c, response[:n]); err != nil {
			return false
		}
		response = response[n:]
		time.Sleep(time.Millisecond)
	}
	if chance > 0.8 {
		c.reset()
	}
	return reusable
}
