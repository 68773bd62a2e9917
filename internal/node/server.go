package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

const (
	maxID          = 128 // bytes; the protocol's own ids are far shorter
	maxDeadlineMs  = 3_600_000
	maxHeader      = 16 << 10
	headerTimeout  = 2500 * time.Millisecond // for a request's head, and the same again for its body
	clientIdle     = 15 * time.Second        // without a request; under pressure it is less
	writeTimeout   = 5 * time.Second         // for an answer to a client that doesn't read
	closeIdleAfter = 200 * time.Millisecond  // without a request, until a client that is sent away is closed
	freshFor       = 50 * time.Millisecond   // without a request, for which a connection is held to bring one
	streamBuffer   = 64 << 10                // bytes that the system holds of a large answer for a client
	lingerFor      = 500 * time.Millisecond  // for the body of a request that was refused unread, or what is behind it
	lingerBytes    = 256 << 10               // of that
	mostKept       = 8                       // requests behind one another on a connection that is to end
	hidingBytes    = 32 << 10                // unread bytes behind a full read-ahead buffer, among which a client's end has no room
	aheadMost      = 64 << 10                // bytes behind a request in hand that are read to see whether its client is there
	readyPath      = "/health/ready"
)

// server takes requests from clients, hands them to the loop, and writes the loop's answers.
type server struct {
	loop    *loop
	classes map[string]policy.Class
	life    lifecycle
	memory  *memoryBudget
	pieces  sync.Pool // of *[pieceSize]byte
	http    http.Server
	ending  chan struct{} // closed when what is still open is answered at once, whatever the loop does
}

func newServer(c Config, l *loop) *server {
	s := &server{loop: l, classes: make(map[string]policy.Class), memory: l.up.memory, ending: make(chan struct{}),
		pieces: sync.Pool{New: func() any { return new([pieceSize]byte) }}}
	for _, class := range c.Settings.Classes {
		s.classes[class.Name] = class
	}
	s.http = http.Server{
		Handler: s, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: -1, // clients.closeExpired sees to it

		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*clientConn); ok {
				c.change(state)
			}
		},
	}
	return s
}

// clientKey is under which a request's context holds its connection.
type clientKey struct{}

// clientOf is the connection that a request came on; nil where others accepted it.
func clientOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientKey{}).(*clientConn)
	return c
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := clientOf(r)
	switch {
	case !r.ProtoAtLeast(1, 1): // net/http ignores a transfer coding there
		reject(w, c, http.StatusBadRequest, "want version 1.1")
		return
	case c == nil && len(r.TransferEncoding) > 0: // nobody saw the head that net/http read
		reject(w, c, http.StatusBadRequest, "want Content-Length for a body")
		return
	case c != nil:
		if problem := c.violations().problem(); problem != "" {
			reject(w, c, http.StatusBadRequest, problem)
			return
		}
	}
	if r.ContentLength != 0 { // so that an answer needn't wait for a body that nobody wants
		_ = http.NewResponseController(w).EnableFullDuplex() // fails only where others than net/http serve
	}
	if r.URL.Path == readyPath && r.Method == http.MethodGet {
		if r.ContentLength != 0 { // net/http would wait for it, with no end
			reject(w, c, http.StatusBadRequest, "no body is wanted here")
			return
		}
		s.health(w)
		return
	}
	x, status, problem := s.read(w, r)
	if x == nil {
		reject(w, c, status, problem)
		return
	}
	defer x.leave()
	defer x.reserved.release()
	if s.loop.shedder.refuses(time.Now(), s.loop.events.oldestArrival()) {
		s.loop.shedder.atArrival.Add(1)
		s.loop.metrics.countShed(shedAtArrival)
		s.answer(w, r, x, ownRefusal())
		return
	}
	if x.rest == nil { // while it was read, or waited for room or for its turn
		switch c.presence() {
		case departed:
			x.client.closes(closedByClient)
			panic(http.ErrAbortHandler)
		case hidden:
			s.loop.monitor.Deny(invariant.AttemptAfterDeparture)
			s.answer(w, r, x, ownRefusal())
			return
		}
	}
	var broken <-chan struct{}
	if x.rest != nil {
		broken = x.rest.left
	}
	x.late = time.NewTimer(time.Until(x.answerBy(s.loop.clock)))
	defer x.late.Stop()
	if x.rest != nil { // until its body has gone on
		x.late.Reset(time.Until(x.answerBy(s.loop.clock)) + longestUpload)
	}
	s.loop.send(arrival{x})
	select {
	case a := <-x.reply:
		s.answer(w, r, x, a)
	case <-x.late.C:
		s.answerLate(w, r, x)
	case <-s.ending:
		s.answerLate(w, r, x)
	case <-r.Context().Done():
		s.depart(x)
		x.client.closes(closedByClient)
		panic(http.ErrAbortHandler) // else one who only ended its sending would be told 200
	case <-broken:
		s.depart(x)
		status, problem := bodyProblem(x.rest.failure())
		reject(w, c, status, problem)
	case <-s.loop.done:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// answerLate answers a request for which the loop has said nothing in its time, or by the process's end.
func (s *server) answerLate(w http.ResponseWriter, r *http.Request, x *clientRequest) {
	if !x.claimByHandler() {
		s.answer(w, r, x, <-x.reply) // it does so just now
		return
	}
	x.leave()
	s.loop.send(departure{x})
	s.answer(w, r, x, x.handlersAnswer())
}

// depart tells the loop that a request's client has left, and drops an answer that came just then. It doesn't wait for the
// loop to take that up, which may be late: no attempt begins any more.
func (s *server) depart(x *clientRequest) {
	x.leave()
	left := x.claim(clientLeft)
	s.loop.send(departure{x})
	if !left { // the loop answers just now
		(<-x.reply).drop()
	}
}

// health tells the front whether the node may be taken in.
func (s *server) health(w http.ResponseWriter) {
	if s.life.endsConnections() {
		w.Header().Set("Connection", "close")
	}
	if !s.life.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
