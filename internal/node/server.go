package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

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

// clientRequest is one client request, which is not changed once the loop has it.
type clientRequest struct {
	req         policy.Request
	method      string
	url         *url.URL
	host        string
	key         string // Idempotency-Key
	contentType string
	body        []byte       // the whole body; of a large one its beginning
	rest        *upload      // what comes behind that; nil: nothing
	length      int64        // of the whole body; -1 where it isn't told
	reserved    *reservation // of the room for it
	came        policy.Time  // when its last byte had been read, or the beginning of a large body
	clientWaits time.Duration
	reply       chan answer // holds one, so the loop never waits for the client
	client      *clientConn // that it came on; nil where others accepted it

	// left ends when the client has left, or has its answer: no attempt begins after that, whether or not the site lets
	// the module call off those that have begun.
	left  context.Context
	leave context.CancelFunc
	state atomic.Int32 // a requestState
	late  *time.Timer  // fires when its handler answers in the loop's place; nil: never
}

// requestState tells whether a request is open, and who has ended it. Whoever moves it out of the open states answers the
// client, and nobody else does. In one word, so that an attempt and the promise that there was none exclude each other.
type requestState int32

const (
	requestOpen       requestState = iota // no attempt has begun
	requestTried                          // open, and an attempt may have begun
	answeredByLoop                        // or about to be
	refusedByHandler                      // in the loop's place; no attempt has begun, nor will one
	timedOutByHandler                     // the same, but an attempt may have begun
	clientLeft                            // no answer is owed any more
)

// begin makes a request ready for the loop.
func (x *clientRequest) begin() {
	x.reply = make(chan answer, 1)
	x.left, x.leave = context.WithCancel(context.Background())
}

// move changes the state by next, which is given an open state and returns the new one. It reports the new state, or false
// where somebody has ended the request.
func (x *clientRequest) move(next func(requestState) requestState) (requestState, bool) {
	for {
		old := x.currentState()
		if old != requestOpen && old != requestTried {
			return old, false
		}
		if to := next(old); x.state.CompareAndSwap(int32(old), int32(to)) {
			return to, true
		}
	}
}

// claim ends a request, or reports false where somebody has.
func (x *clientRequest) claim(by requestState) bool {
	_, ok := x.move(func(requestState) requestState { return by })
	return ok
}

// try notes that an attempt is about to begin, or reports false where the request has ended.
func (x *clientRequest) try() bool {
	_, ok := x.move(func(requestState) requestState { return requestTried })
	return ok
}

// claimByHandler is claim for a handler that answers in the loop's place.
func (x *clientRequest) claimByHandler() bool {
	_, ok := x.move(func(old requestState) requestState {
		if old == requestTried {
			return timedOutByHandler
		}
		return refusedByHandler
	})
	return ok
}

func (x *clientRequest) currentState() requestState { return requestState(x.state.Load()) }

// isOpen tells whether nobody has ended the request.
func (x *clientRequest) isOpen() bool {
	state := x.currentState()
	return state == requestOpen || state == requestTried
}

// answerUnseen answers a request that the module has not been told of, unless it is ended.
func (x *clientRequest) answerUnseen(a answer) bool {
	if !x.claim(answeredByLoop) {
		return false
	}
	x.reply <- a
	return true
}

// handlersAnswer is what a client gets whose request its handler has ended. That nothing ran is promised where no attempt
// has begun.
func (x *clientRequest) handlersAnswer() answer {
	if x.currentState() == timedOutByHandler {
		return answer{status: http.StatusGatewayTimeout}
	}
	return answer{status: http.StatusServiceUnavailable, retryAfter: ownRetryAfter}
}

// answerBy is when its handler answers in the loop's place: behind the loop's own backstop, and in the client's time.
func (x *clientRequest) answerBy(c clock) time.Time {
	return c.at(x.came + x.clientWaits - x.margin()/4)
}

// postpone moves that by the time that a large body took to go on.
func (x *clientRequest) postpone(c clock, took time.Duration) {
	if x.late != nil {
		x.late.Reset(time.Until(x.answerBy(c)) + took)
	}
}

// answer is what a client gets.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
	more        *download    // the rest of a large body, which goes on as it comes; nil: there is none
	reserved    *reservation // of the room for the body
}

// drop is for an answer that nobody gets.
func (a answer) drop() {
	a.reserved.release()
	a.more.end(errUnwanted)
}

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
		s.answer(w, r, x, answer{status: http.StatusServiceUnavailable, retryAfter: ownRetryAfter})
		return
	}
	if x.rest == nil { // while it was read, or waited for room or for its turn
		switch c.presence() {
		case departed:
			x.client.closes(closedByClient)
			panic(http.ErrAbortHandler)
		case hidden:
			s.loop.monitor.Deny(invariant.AttemptAfterDeparture)
			s.answer(w, r, x, answer{status: http.StatusServiceUnavailable, retryAfter: ownRetryAfter})
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

// answer gives a client its answer. Clients are told as late as can be that the connection ends with it, for
// they may have been sent away meanwhile.
func (s *server) answer(w http.ResponseWriter, r *http.Request, x *clientRequest, a answer) {
	c := clientOf(r)
	if !c.mayStay(s.life.endsConnections()) || len(r.TransferEncoding) > 0 && !c.seesHeads() {
		w.Header().Set("Connection", "close")
		c.closes(closedWithReply)
	}
	defer c.answered()
	if x.rest != nil && !x.rest.whole() {
		w.Header().Set("Connection", "close")
		defer s.swallow(w, x)
	}
	defer a.reserved.release()
	if a.more == nil {
		write(w, a)
		return
	}
	if c != nil { // else megabytes wait in the system for a client that reads slowly
		_ = c.SetWriteBuffer(streamBuffer)
	}
	err := s.pass(w, a)
	a.more.end(err)
	if err != nil {
		slog.Info("a large answer was not passed on whole", "id", x.req.ID, "err", err)
		panic(http.ErrAbortHandler) // so that the client can tell
	}
}

// swallow takes in the rest of a large body whose request was answered before it had come, for as long as it
// comes at a proper pace: many clients read their answer only once all is written, and a close would take it
// from them.
func (s *server) swallow(w http.ResponseWriter, x *clientRequest) {
	x.reserved.release()
	if x.rest.begun.Swap(true) { // an attempt has it
		x.rest.stop()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerFor)) // as in reject
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	piece := s.pieces.Get().(*[pieceSize]byte)
	defer s.pieces.Put(piece)
	for {
		if _, err := x.rest.Read(piece[:]); err != nil {
			return
		}
	}
}

// pass hands on a large answer, each piece as it comes.
func (s *server) pass(w http.ResponseWriter, a answer) error {
	conn := http.NewResponseController(w)
	piece := s.pieces.Get().(*[pieceSize]byte)
	defer s.pieces.Put(piece)
	h := w.Header()
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.more.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.more.length, 10))
	}
	w.WriteHeader(a.status)
	forward := func(p []byte) error {
		for len(p) > 0 {
			n := min(len(p), pieceSize)
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := w.Write(p[:n]); err != nil {
				return fmt.Errorf("client: %w", err)
			}
			p = p[n:]
		}
		if err := conn.Flush(); err != nil {
			return fmt.Errorf("client: %w", err)
		}
		return nil
	}
	if err := forward(a.body); err != nil {
		return err
	}
	a.reserved.resize(pieceSize)
	for {
		n, err := a.more.rest.Read(piece[:])
		if err := forward(piece[:n]); n > 0 && err != nil {
			return err
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("server: %w", err)
		}
	}
}

// bodyProblem is what a client is told whose body could not be read.
func bodyProblem(err error) (status int, problem string) {
	switch {
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge, err.Error()
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable, err.Error()
	case errors.Is(err, errTooSlow) || errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, errTooSlow.Error()
	}
	return http.StatusBadRequest, "the body can't be read"
}

// reject answers a request that is not to be served, and ends its connection: where its body ends is
// in doubt, and what follows it is not to be trusted.
func reject(w http.ResponseWriter, c *clientConn, status int, problem string) {
	w.Header().Set("Connection", "close")
	c.discard()
	c.closes(closedRejected)
	// Behind the answer net/http reads what is left of the body, for a close with bytes unread would
	// reset the connection before the client has read the answer; but neither for long nor all of a large
	// one, which would cost the others the processor. An error here means that the connection is gone.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerFor))
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterText(ownRetryAfter))
	}
	http.Error(w, problem, status)
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

// read takes in a whole request, or says what is wrong with it. What it lets through reaches servers.
func (s *server) read(w http.ResponseWriter, r *http.Request) (x *clientRequest, status int, problem string) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key"} {
		if len(h[name]) > 1 { // this node and a server might each go by another
			return nil, http.StatusBadRequest, name + ": given twice"
		}
	}
	id := h.Get("X-Request-Id")
	if !usableID(id) {
		return nil, http.StatusBadRequest, "X-Request-Id: missing or malformed"
	}
	if len(h.Get("X-Tenant")) > maxID { // the module remembers it
		return nil, http.StatusBadRequest, "X-Tenant: too long"
	}
	class, ok := s.classes[h.Get("X-Class")]
	if !ok {
		return nil, http.StatusBadRequest, "X-Class: unknown"
	}
	waits, err := strconv.ParseUint(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || waits == 0 || waits > maxDeadlineMs {
		return nil, http.StatusBadRequest, "X-Deadline-Ms: want whole milliseconds above 0"
	}
	method := http.MethodPost
	if class.Repeat == policy.Free {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, http.StatusMethodNotAllowed, "this class takes " + method
	}
	// Servers drop the repeats of a key: without one, a second attempt could take effect twice.
	if class.Repeat == policy.Guarded && h.Get("Idempotency-Key") == "" {
		return nil, http.StatusBadRequest, "Idempotency-Key: missing"
	}
	if r.ContentLength > maxBody { // not a byte of it need be read
		return nil, http.StatusRequestEntityTooLarge, errTooLarge.Error()
	}
	x = &clientRequest{method: method, length: r.ContentLength, client: clientOf(r)}
	// No client waits longer than its class allows, whatever it says.
	x.clientWaits = min(time.Duration(waits)*time.Millisecond, class.Deadline)
	if err := s.take(w, r, x); err != nil {
		x.reserved.release()
		status, problem = bodyProblem(err)
		return nil, status, problem
	}
	if method == http.MethodGet && len(x.body) > 0 {
		x.reserved.release()
		return nil, http.StatusBadRequest, "a GET has no body"
	}
	hint, _ := strconv.ParseUint(h.Get("X-Cost-Hint"), 10, 32) // a guess; none is as good as a bad one
	x.req = policy.Request{ID: id, Class: class.Name, Tenant: h.Get("X-Tenant"), Key: h.Get("X-Key"),
		Hint: time.Duration(hint) * time.Microsecond, Retry: h.Get("X-Retry") == "1"}
	x.url, x.host, x.key, x.contentType = r.URL, r.Host, h.Get("Idempotency-Key"), h.Get("Content-Type")
	x.begin()
	x.came = s.loop.clock.of(x.client.arrived())
	return x, 0, ""
}

// take reads a body that is small whole, and of a large one as much as is held; the rest goes on as it comes.
func (s *server) take(w http.ResponseWriter, r *http.Request, x *clientRequest) (err error) {
	if x.length == 0 {
		return nil
	}
	var began time.Time
	if c := clientOf(r); c != nil {
		began = c.expect(x.length)
	}
	room, hold := s.memory.requests, x.length
	switch {
	case x.length < 0:
		hold = wholeBody + 1 // the last byte tells whether it is large
	case x.length > wholeBody:
		room, hold = s.memory.largeRequests, wholeBody
		// Held whole, it takes up a server only once all of it has come, and can be sent again.
		if x.length <= heldBody {
			if x.reserved = tryReserve(s.memory.held, x.length); x.reserved != nil {
				hold = x.length
			}
		}
	}
	if x.reserved == nil {
		if x.reserved, err = s.waitForMemory(r, x, room, hold); err != nil {
			return err
		}
	}
	var ago time.Duration
	if !began.IsZero() {
		ago = time.Since(began)
	}
	up := newUpload(w, x.client, r.Body, ago, s.memory.rate)
	x.body = make([]byte, hold)
	n, err := io.ReadFull(up, x.body)
	switch x.body = x.body[:n]; {
	case err == nil && x.length != hold:
		x.rest = up
		return nil
	case err == nil:
		return nil
	case x.length < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF) && up.failure() == nil:
		x.reserved.resize(int64(n))
		x.body, x.length = slices.Clone(x.body), int64(n)
		return nil
	}
	return err
}

// waitForMemory takes room for a body, but waits no longer than the client of one that has been written whole: it is owed
// its final answer whoever holds the room. Of a larger body the rest comes only once there is room. Nobody waits beyond the
// process's end.
func (s *server) waitForMemory(r *http.Request, x *clientRequest, room *semaphore.Weighted, bytes int64) (*reservation, error) {
	if claim := tryReserve(room, bytes); claim != nil {
		return claim, nil
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	look := time.NewTicker(max(time.Millisecond, x.clientWaits-x.margin()-time.Since(x.client.arrived())))
	defer look.Stop()
	go func() {
		for {
			select {
			case <-look.C:
				if x.length <= wholeBody || x.client.holdsUnread(x.length) {
					cancel(errNoMemory)
				}
			case <-s.ending:
				cancel(errNoMemory)
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	claim, err := reserve(ctx, room, bytes)
	if err != nil && context.Cause(ctx) == errNoMemory {
		err = errNoMemory
	}
	return claim, err
}

// usableID guards the table of requests and the header it goes on in.
func usableID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxID
}

// retryAfterText is the header's value: seconds, whole or decimal (PROTOCOL).
func retryAfterText(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
}

func write(w http.ResponseWriter, a answer) {
	// A client that reads nothing must not hold the handler for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", retryAfterText(a.retryAfter))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the client may have left; the request is over either way
}
