package node

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

// respond writes the response to the client. Whether to close the connection after it is decided as late as possible,
// because the process may have begun to close client connections in the meantime.
func (s *server) respond(w http.ResponseWriter, r *http.Request, x *clientRequest, a answer) {
	c := clientConnOf(r)
	if !c.mayStayOpen(s.lifecycle.closesAfterAnswer()) || len(r.TransferEncoding) > 0 && !c.tracksHeads() {
		w.Header().Set("Connection", "close")
		c.countClosed(closedAfterResponse)
	}
	defer c.markAnswered()
	if x.bodyRest != nil && !x.bodyRest.isComplete() {
		w.Header().Set("Connection", "close")
		defer s.discardRest(w, x)
	}
	defer a.reserved.release()
	if a.stream == nil {
		writeBufferedResponse(w, a)
		return
	}
	if c != nil { // otherwise the kernel buffers megabytes for a client that reads slowly
		_ = c.SetWriteBuffer(streamBuffer)
	}
	s.downloads.Add(1)
	defer s.downloads.Add(-1)
	err := s.streamResponse(w, &a)
	a.stream.end(err)
	if err != nil {
		slog.Info("forwarding a large response failed", "id", x.req.ID, "err", err)
		panic(http.ErrAbortHandler) // closes the connection, so that the client detects the incomplete response
	}
}

// streamResponse forwards a large response to the client piece by piece as it arrives. It drops the beginning that was held.
func (s *server) streamResponse(w http.ResponseWriter, a *answer) error {
	conn := http.NewResponseController(w)
	piece := s.pieces.Get().(*[pieceSize]byte)
	defer s.pieces.Put(piece)
	h := w.Header()
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.stream.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.stream.length, 10))
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
	a.body = nil
	a.reserved.resize(pieceSize)
	for {
		n, err := a.stream.rest.Read(piece[:])
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

// discardRest reads and discards the rest of a large request body after an early response, as long as it arrives at an
// acceptable rate: many clients read the response only after they have written the whole request, and would not receive
// it if the connection were closed before.
func (s *server) discardRest(w http.ResponseWriter, x *clientRequest) {
	x.cancel() // no attempt reads any more of the body
	x.reserved.resize(pieceSize)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	x.bodyRest.limitRate(s.memory.bodyRate) // nobody waits for the rest any more
	piece := s.pieces.Get().(*[pieceSize]byte)
	defer s.pieces.Put(piece)
	for {
		if _, err := x.bodyRest.Read(piece[:]); err != nil {
			return
		}
	}
}

// reject responds to an invalid request and closes its connection: the end of its body is uncertain, so the bytes that
// follow can't be trusted.
func reject(w http.ResponseWriter, c *clientConn, status int, message string) {
	w.Header().Set("Connection", "close")
	c.deliverAll()
	c.countClosed(closedRejected)
	// After the response net/http reads the rest of the body, because closing a socket with unread bytes would reset
	// the connection before the client has read the response. The deadline bounds that: reading all of a large body
	// would take CPU time from other requests. An error here means that the connection is gone.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout))
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", formatRetryAfter(nodeRetryAfter))
	}
	http.Error(w, message, status)
}

// writeBufferedResponse writes a response whose body is completely in memory.
func writeBufferedResponse(w http.ResponseWriter, a answer) {
	// A client that doesn't read must not block the handler forever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", formatRetryAfter(a.retryAfter))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the client may have left; the request has ended either way
}

// formatRetryAfter returns a Retry-After value in seconds, which may be a decimal fraction (PROTOCOL).
func formatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
}
