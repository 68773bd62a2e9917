package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/invariant"
	"cobaltward/policy"
)

const (
	maxIDLength        = 128 // bytes; the ids of the protocol are far shorter
	maxDeadlineMs      = 3_600_000
	maxHeaderBytes     = 16 << 10
	headerTimeout      = 2500 * time.Millisecond // for a request's head; its body has its own limit, bodyGrace
	clientIdleTimeout  = 15 * time.Second        // without a request; less at the connection limit
	writeTimeout       = 5 * time.Second         // for a response to a client that doesn't read
	closeIdleAfter     = 200 * time.Millisecond  // without a request, after which a client's connection is closed while draining
	freshConnPeriod    = 50 * time.Millisecond   // after its last activity, a connection is evicted only if no other can be
	streamBuffer       = 64 << 10                // bytes of a large response that the kernel buffers for a client
	lingerTimeout      = 500 * time.Millisecond  // for a client to read its response and close its side
	maxLingerBytes     = 256 << 10               // read and discarded in that time, such as the body of a request refused unread
	maxKeptForUnread   = 8                       // times that a connection to be closed is kept open for a request not read yet
	minUnreadHidingFIN = 32 << 10                // with so many unread in the socket, the client's FIN or more data may not fit into the buffer
	maxReadAhead       = 96 << 10                // bytes behind a request in flight that are read to detect a disconnect
	maxQueuedArrivals  = 2                       // requests of one connection that wait for the loop
	readyPath          = "/health/ready"
)

// server accepts requests from clients, passes them to the loop, and writes the loop's answers.
type server struct {
	loop      *loop
	classes   map[string]policy.Class
	lifecycle lifecycle
	memory    *memoryBudget
	pieces    sync.Pool // of *[pieceSize]byte
	http      http.Server
	stopping  context.Context // ends when open requests are to be answered at once, without waiting for the loop
	stop      context.CancelFunc
	downloads atomic.Int64 // large answers that are being passed on
}

func newServer(c Config, l *loop) *server {
	s := &server{loop: l, classes: make(map[string]policy.Class), memory: l.upstream.memory,
		pieces: sync.Pool{New: func() any { return new([pieceSize]byte) }}}
	s.stopping, s.stop = context.WithCancel(context.Background())
	for _, class := range c.Settings.Classes {
		s.classes[class.Name] = class
	}
	s.http = http.Server{
		Handler: s, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: -1, // see clientListener.closeExpired

		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*clientConn); ok {
				c.stateChanged(state)
			}
		},
	}
	return s
}

// clientConnKey is the key of the connection in a request's context.
type clientConnKey struct{}

// clientConnOf returns the connection that a request came on; nil if accepted by another listener.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := clientConnOf(r)
	c.yield()
	switch {
	case !r.ProtoAtLeast(1, 1): // net/http ignores Transfer-Encoding there
		reject(w, c, http.StatusBadRequest, "want version 1.1")
		return
	case c == nil && len(r.TransferEncoding) > 0: // no headScanner has seen the head that net/http read
		reject(w, c, http.StatusBadRequest, "want Content-Length for a body")
		return
	case c != nil:
		if problem := c.violations().problem(); problem != "" {
			reject(w, c, http.StatusBadRequest, problem)
			return
		}
	}
	if r.ContentLength != 0 { // so that a response needn't wait for an unwanted body
		_ = http.NewResponseController(w).EnableFullDuplex() // fails only with servers other than net/http
	}
	if r.URL.Path == readyPath && r.Method == http.MethodGet {
		if r.ContentLength != 0 { // net/http would wait for it without a limit
			reject(w, c, http.StatusBadRequest, "no body is wanted here")
			return
		}
		s.writeReadiness(w)
		return
	}
	x, status, problem := s.readRequest(w, r)
	if x == nil {
		reject(w, c, status, problem)
		return
	}
	defer x.cancel()
	defer x.reserved.release()
	if s.mustShed(x) {
		s.loop.shedder.refusedAtArrival.Add(1)
		s.loop.metrics.countShed(reasonLoopLagAtArrival)
		s.respond(w, r, x, nodeRefusal())
		return
	}
	switch c.presence() { // the client may have disconnected during the read, or while the request waited
	case clientDeparted:
		s.abort(x)
	case presenceUnknown:
		s.loop.monitor.RecordDenial(invariant.AttemptAfterDeparture)
		s.respond(w, r, x, nodeRefusal())
		return
	}
	x.handlerTimer = time.NewTimer(time.Until(x.handlerDeadline(s.loop.clock)))
	defer x.handlerTimer.Stop()
	if x.bodyRest != nil {
		x.bodyRest.watchClient()
		defer x.bodyRest.stopWatching()
	}
	c.countQueued(1)
	s.loop.send(arrival{x})
	s.awaitAnswer(w, r, x)
}

// mustShed reports whether to refuse a request without passing it to the loop: the loop lags, the request's time is over, or the
// loop hasn't taken up earlier requests of the same connection, whose handlers have answered them. Otherwise a client that
// doesn't wait for its answers could fill the loop's queue.
func (s *server) mustShed(x *clientRequest) bool {
	return s.loop.shedder.shouldRefuse(time.Now(), s.loop.events.oldestArrival()) ||
		time.Until(x.handlerDeadline(s.loop.clock)) <= 0 || x.client.queuedArrivals() >= maxQueuedArrivals
}

// awaitAnswer waits until a request has ended, and answers it.
func (s *server) awaitAnswer(w http.ResponseWriter, r *http.Request, x *clientRequest) {
	clientLeft := r.Context().Done()
	var bodyComplete, bodyFailed <-chan struct{}
	if x.bodyRest != nil {
		// net/http ends the context for every read that fails. Before the end of the body, only the upload knows the reason.
		clientLeft, bodyComplete, bodyFailed = nil, x.bodyRest.complete, x.bodyRest.failed
	}
	for {
		select {
		case a := <-x.reply:
			s.respond(w, r, x, a)
		case <-x.handlerTimer.C:
			if left := time.Until(x.handlerDeadline(s.loop.clock)); left > 0 { // the client has sent more of its body meanwhile
				x.handlerTimer.Reset(left)
				continue
			}
			s.answerByHandler(w, r, x)
		case <-s.stopping.Done():
			s.answerByHandler(w, r, x)
		case <-bodyComplete:
			clientLeft, bodyComplete = r.Context().Done(), nil
			continue
		case <-clientLeft:
			s.reportDeparture(x)
			s.abort(x)
		case <-bodyFailed:
			s.reportDeparture(x)
			if x.client.presence() == clientDeparted {
				s.abort(x)
			}
			status, problem := bodyErrorStatus(x.bodyRest.failure())
			reject(w, x.client, status, problem)
		case <-s.loop.done:
			w.WriteHeader(http.StatusBadGateway)
		}
		return
	}
}

// answerByHandler answers a request that the loop has not answered in time, or before the end of the process.
func (s *server) answerByHandler(w http.ResponseWriter, r *http.Request, x *clientRequest) {
	if !x.claimByHandler() {
		s.respond(w, r, x, <-x.reply) // the loop is answering at this moment
		return
	}
	x.cancel()
	s.loop.send(departure{x})
	s.respond(w, r, x, x.handlerAnswer())
}

// reportDeparture notifies the loop that the request's client has disconnected, and drops an answer that was given at the
// same moment. It doesn't wait for the loop, which may be late, to handle the event: a claimed request begins no further
// attempt.
func (s *server) reportDeparture(x *clientRequest) {
	x.cancel()
	claimed := x.claim(clientLeft)
	s.loop.send(departure{x})
	if !claimed { // the loop is answering at this moment
		(<-x.reply).discard()
	}
}

// abort closes the connection of a client that has disconnected, without an answer: otherwise a client that only closed its
// sending side would get a 200. That net/http considers the client gone is checked against the socket: a request that was
// received from a client that is still connected must have its answer (PROTOCOL).
func (s *server) abort(x *clientRequest) {
	if x.client != nil && x.client.presence() == clientPresent {
		s.loop.monitor.RecordViolation(invariant.RequestUnanswered, x.req.ID, "err", "the client is still connected")
	}
	x.client.countClosed(closedByClient)
	panic(http.ErrAbortHandler)
}

// writeReadiness reports to the front whether it may send clients.
func (s *server) writeReadiness(w http.ResponseWriter) {
	if s.lifecycle.closesAfterAnswer() {
		w.Header().Set("Connection", "close")
	}
	if !s.lifecycle.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
