package node

// headScanner scans the bytes of a client's connection on their way to net/http for request heads that a server might
// interpret differently: net/http drops a Content-Length beside a Transfer-Encoding, and accepts a bare line feed as the
// end of a line. It parses nothing else of a request, and delivers at most one head at a time, so its findings belong to
// the current request. It is told the length of each body. Behind a body whose end is unknown it recognizes no further
// heads, and no further request may be served.
type headScanner struct {
	bodyLeft   int64 // bytes of the body still to come; or one of the constants below
	chunked    chunkedScanner
	current    headViolations
	violations headViolations // of the last head that was delivered completely
	headCount  int            // delivered completely
	started    bool           // a line of the next head has arrived; net/http skips empty lines before a head

	lineLength int // bytes of the current line so far
	lastCR     bool
	linePrefix [len("transfer-encoding:")]byte // the beginning of the line, in lower case
}

// Values of headScanner.bodyLeft for a body whose end only net/http can find.
const (
	untrackedBody = -1 // everything is delivered, and no more heads are recognized
	chunkedBody   = -2 // net/http must not hold bytes from behind the body's end
)

// maxSingleBytes limits how many bytes of one chunked body are delivered singly, which costs processor time.
const maxSingleBytes = 16 << 10

// chunkedScanner scans a chunked body on its way to net/http. It doesn't parse chunks. It relies only on the last chunk's
// line beginning with a zero: behind such a line the body may end anywhere, so from there on bytes are delivered singly.
type chunkedScanner struct {
	inLine          bool // within a line that doesn't begin with a zero
	zeroLine        bool // the line consists of zeros so far
	lastChunk       bool // a line of zeros has ended: the body may end
	singleBytesLeft int  // bytes that may still be delivered singly
}

// scan returns how many of the bytes may be delivered together.
func (w *chunkedScanner) scan(p []byte) int {
	for i, c := range p {
		switch {
		case w.lastChunk:
			return max(1, i)
		case w.inLine:
			w.inLine = c != '\n'
		case c == '0':
			w.zeroLine = true
			if i > 0 {
				w.zeroLine = false // the zero is scanned again
				return i
			}
			return 1
		case w.zeroLine && (c == '\r' || c == '\n' || c == ';' || c == ' ' || c == '\t'):
			w.lastChunk = true
			return 1
		default:
			w.zeroLine, w.inLine = false, c != '\n'
		}
	}
	return len(p)
}

// expectBody prepares for a body of the given length, or for a chunked one if length is negative.
func (w *headScanner) expectBody(length int64) {
	if w.bodyLeft = length; length < 0 {
		w.bodyLeft, w.chunked = chunkedBody, chunkedScanner{singleBytesLeft: maxSingleBytes}
	}
}

// endChunkedBody records that net/http has found the end of a chunked body: a head comes next.
func (w *headScanner) endChunkedBody() {
	if w.bodyLeft == chunkedBody {
		w.bodyLeft = 0
	}
}

// headViolations are what makes a head ambiguous.
type headViolations struct{ contentLength, transferEncoding, bareLF bool }

// problem describes the violation for the client; empty if there is none.
func (f headViolations) problem() string {
	switch {
	case f.bareLF:
		return "a line of the head ends without a carriage return"
	case f.contentLength && f.transferEncoding:
		return "Content-Length beside Transfer-Encoding"
	}
	return ""
}

// scan returns how many of the bytes may be delivered now; those behind the end of a head or a body are passed again.
func (w *headScanner) scan(p []byte) int {
	switch {
	case w.bodyLeft == chunkedBody && w.chunked.singleBytesLeft > 0 && len(p) > 0:
		n := w.chunked.scan(p)
		if n == 1 {
			w.chunked.singleBytesLeft--
		}
		return n
	case w.bodyLeft < 0:
		w.bodyLeft = untrackedBody
		return len(p)
	case w.bodyLeft > 0:
		n := int(min(int64(len(p)), w.bodyLeft))
		w.bodyLeft -= int64(n)
		return n
	}
	for i, c := range p {
		if c != '\n' {
			if w.lineLength < len(w.linePrefix) {
				if 'A' <= c && c <= 'Z' {
					c += 'a' - 'A'
				}
				w.linePrefix[w.lineLength] = c
			}
			w.lineLength, w.lastCR = w.lineLength+1, c == '\r'
			continue
		}
		if w.endLine() {
			return i + 1
		}
	}
	return len(p)
}

// endLine processes a complete line, and reports whether it ends the head.
func (w *headScanner) endLine() bool {
	field := string(w.linePrefix[:min(w.lineLength, len(w.linePrefix))])
	w.current.bareLF = w.current.bareLF || !w.lastCR
	w.current.contentLength = w.current.contentLength || hasPrefix(field, "content-length:")
	w.current.transferEncoding = w.current.transferEncoding || hasPrefix(field, "transfer-encoding:")
	empty := w.lineLength == 0 || w.lineLength == 1 && w.lastCR
	w.lineLength, w.lastCR = 0, false
	if !empty || !w.started {
		w.started = w.started || !empty
		return false
	}
	w.violations, w.current, w.started = w.current, headViolations{}, false
	w.headCount++
	return true
}

func hasPrefix(s, with string) bool { return len(s) >= len(with) && s[:len(with)] == with }
