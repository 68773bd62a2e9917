package node

import (
	"io"
	"time"
)

const (
	// maxAnswerHold is how long the beginning of an answer of unknown length is held back. An answer that ends by then is
	// passed on as a whole, and one that breaks by then is tried again at another server. Any other may be a large one that
	// its server gives slowly, and whose first bytes the client waits for.
	maxAnswerHold = 50 * time.Millisecond
	// heldPieceSize is how many bytes of such an answer are read at once.
	heldPieceSize = 4 << 10
)

// heldAnswer reads the beginning of an answer's body for a limited time. It reads in a goroutine, since a read of a chunked
// body that was interrupted can't be resumed. As an io.Reader it returns the rest of the body.
type heldAnswer struct {
	source  io.Reader
	pending chan heldPiece // receives the result of the read under way; nil: there is none
	unread  heldPiece      // read, but not returned yet
}

// heldPiece is the result of a read.
type heldPiece struct {
	bytes []byte
	err   error
}

// readUntil reads until the body ends, more than limit bytes have come, or the given time. It returns what has come, and
// whether that is the whole body.
func (h *heldAnswer) readUntil(until time.Time, limit int) (body []byte, whole bool, err error) {
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	for len(body) <= limit {
		h.startRead()
		select {
		case piece := <-h.pending:
			h.pending = nil
			body = append(body, piece.bytes...)
			switch {
			case piece.err == io.EOF:
				return body, true, nil
			case len(body) > limit:
				h.unread.err = piece.err
			case piece.err != nil:
				return body, false, piece.err
			}
		case <-timeout.C:
			return body, false, nil
		}
	}
	return body, false, nil
}

// startRead begins a read of the next piece.
func (h *heldAnswer) startRead() {
	pending := make(chan heldPiece, 1)
	h.pending = pending
	go func() {
		buffer := make([]byte, heldPieceSize)
		n, err := h.source.Read(buffer)
		pending <- heldPiece{buffer[:n], err}
	}()
}

// Read returns the rest of the body.
func (h *heldAnswer) Read(p []byte) (n int, err error) {
	if h.pending != nil {
		h.unread = <-h.pending
		h.pending = nil
	}
	if len(h.unread.bytes) == 0 && h.unread.err == nil {
		return h.source.Read(p)
	}
	n = copy(p, h.unread.bytes)
	if h.unread.bytes = h.unread.bytes[n:]; len(h.unread.bytes) == 0 {
		err = h.unread.err
	}
	return n, err
}

// isReading reports whether a read is under way.
func (h *heldAnswer) isReading() bool { return h.pending != nil }

// awaitRead waits for the end of the read under way. The caller has closed the connection.
func (h *heldAnswer) awaitRead() {
	<-h.pending
	h.pending = nil
}
