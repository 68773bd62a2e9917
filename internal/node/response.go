package node

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

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

// retryAfterText is the header's value: seconds, whole or decimal (PROTOCOL).
func retryAfterText(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
}
