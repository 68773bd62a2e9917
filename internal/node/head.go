package node

// headScanner scans the bytes of a client's connection on their way to net/http for request heads that a server might
// interpret differently: net/http drops a Content-Length beside a Transfer-Encoding, and accepts a bare line feed as the
// end of a line. It parses nothing else of a request, and delivers at most one head at a time, so its findings belong to
// the current request. expectBody gives it the length of each body. Behind a body whose end is unknown it recognizes no
// further heads, and no further request may be served.
type headScanner struct {
	bodyLeft   int64 // bytes of the body still to come; or one of the constants below
	chunked    chunkedScanner
	current    headViolations
	violations headViolations // of the last head that was delivered completely
	headCount  int            // number of heads delivered completely
	started    bool           // a line of the next head has arrived; net/http skips empty lines before a head
	lineCount  int            // lines of the current head so far
	tooLong    bool           // a head had more than maxHeadLines; nothing more may be delivered

	lineLength int // bytes of the current line so far
	lastCR     bool
	linePrefix [len("transfer-encoding:")]byte // the beginning of the line, in lower case
}

// Values of headScanner.bodyLeft for a body whose end only net/http can find.
const (
	untrackedBody = -1 // everything is delivered, and no more heads are recognized
	chunkedBody   = -2 // net/http must not hold bytes from behind the body's end
)

// maxHeadLines limits the lines of a head: its request line, 100 fields (as with most proxies) and the empty line. net/http
// limits only the bytes, and a head of that size with thousands of short fields takes it half a megabyte.
const maxHeadLines = 102

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
func (s *chunkedScanner) scan(p []byte) int {
	for i, c := range p {
		switch {
		case s.lastChunk:
			return max(1, i)
		case s.inLine:
			s.inLine = c != '\n'
		case c == '0':
			s.zeroLine = true
			if i > 0 {
				s.zeroLine = false // the zero is scanned again
				return i
			}
			return 1
		case s.zeroLine && (c == '\r' || c == '\n' || c == ';' || c == ' ' || c == '\t'):
			s.lastChunk = true
			return 1
		default:
			s.zeroLine, s.inLine = false, c != '\n'
		}
	}
	return len(p)
}

// expectBody prepares for a body of the given length, or for a chunked one if length is negative.
func (s *headScanner) expectBody(length int64) {
	if s.bodyLeft = length; length < 0 {
		s.bodyLeft, s.chunked = chunkedBody, chunkedScanner{singleBytesLeft: maxSingleBytes}
	}
}

// endChunkedBody records that net/http has found the end of a chunked body: a head comes next.
func (s *headScanner) endChunkedBody() {
	if s.bodyLeft == chunkedBody {
		s.bodyLeft = 0
	}
}

// headViolations records what may make a head ambiguous.
type headViolations struct{ contentLength, transferEncoding, bareLF bool }

// problem describes the violation for the client; empty if there is none.
func (v headViolations) problem() string {
	switch {
	case v.bareLF:
		return "a line of the head ends without a carriage return"
	case v.contentLength && v.transferEncoding:
		return "Content-Length beside Transfer-Encoding"
	}
	return ""
}

// scan returns how many of the bytes may be delivered now; the caller passes the rest again later.
func (s *headScanner) scan(p []byte) int {
	switch {
	case s.bodyLeft == chunkedBody && s.chunked.singleBytesLeft > 0 && len(p) > 0:
		n := s.chunked.scan(p)
		if n == 1 {
			s.chunked.singleBytesLeft--
		}
		return n
	case s.bodyLeft < 0:
		s.bodyLeft = untrackedBody
		return len(p)
	case s.bodyLeft > 0:
		n := int(min(int64(len(p)), s.bodyLeft))
		s.bodyLeft -= int64(n)
		return n
	}
	for i, c := range p {
		if c != '\n' {
			if s.lineLength < len(s.linePrefix) {
				if 'A' <= c && c <= 'Z' {
					c += 'a' - 'A'
				}
				s.linePrefix[s.lineLength] = c
			}
			s.lineLength, s.lastCR = s.lineLength+1, c == '\r'
			continue
		}
		if s.endLine() || s.tooLong {
			return i + 1
		}
	}
	return len(p)
}

// endLine processes the end of a line, and reports whether it ends the head.
func (s *headScanner) endLine() bool {
	field := string(s.linePrefix[:min(s.lineLength, len(s.linePrefix))])
	s.current.bareLF = s.current.bareLF || !s.lastCR
	s.current.contentLength = s.current.contentLength || hasPrefix(field, "content-length:")
	s.current.transferEncoding = s.current.transferEncoding || hasPrefix(field, "transfer-encoding:")
	empty := s.lineLength == 0 || s.lineLength == 1 && s.lastCR
	s.lineLength, s.lastCR = 0, false
	s.lineCount++
	if !empty || !s.started {
		s.started = s.started || !empty
		s.tooLong = s.lineCount >= maxHeadLines
		return false
	}
	s.violations, s.current, s.started, s.lineCount = s.current, headViolations{}, false, 0
	s.headCount++
	return true
}

func hasPrefix(s, with string) bool { return len(s) >= len(with) && s[:len(with)] == with }
