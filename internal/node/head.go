package node

// headWatch sees the bytes of a client's connection on their way to net/http, and tells apart what
// net/http takes for one thing and a server might take for another: it drops a length that stands beside a
// transfer coding, and takes a bare line feed for a line's end. It reads nothing else of a request, and lets
// through no more than one head at a time, so that what it saw is of the request in hand. A body's length
// is told to it; behind one that nobody knows the end of, it sees no more requests, and none must be read.
type headWatch struct {
	body       int64 // bytes of a body that are still to come; or one of the two below
	coded      codedWatch
	in         headViolations
	violations headViolations // of the last head that went through whole
	heads      int            // that did
	begun      bool           // a line of the next one has come; net/http passes over empty lines ahead of a head

	line  int // bytes of the line so far
	cr    bool
	field [len("transfer-encoding:")]byte // how the line begins, in small letters
}

// In place of a length, headWatch.body tells of a body whose end net/http alone can find.
const (
	unseen    = -1 // all goes on, and no more heads are seen
	codedBody = -2 // net/http must have no bytes in hand from behind the body's end
)

// codedMost is how many bytes of one body with a transfer coding go on singly, which costs the processor something.
const codedMost = 16 << 10

// codedWatch sees a chunked body on its way to net/http. It knows nothing of chunks but that the last one's line begins
// with a zero, and that behind such a line the end may be anywhere: from there bytes go on singly, and all others together.
type codedWatch struct {
	inLine bool // a line has begun, and not with a zero
	zeros  bool // the line has nothing but zeros so far
	last   bool // a line of zeros has ended: the body's end may come
	singly int  // bytes that may still go on singly
}

// pass returns how many of the bytes may go on together.
func (w *codedWatch) pass(p []byte) int {
	for i, c := range p {
		switch {
		case w.last:
			return max(1, i)
		case w.inLine:
			w.inLine = c != '\n'
		case c == '0':
			w.zeros = true
			if i > 0 {
				w.zeros = false // it is looked at again
				return i
			}
			return 1
		case w.zeros && (c == '\r' || c == '\n' || c == ';' || c == ' ' || c == '\t'):
			w.last = true
			return 1
		default:
			w.zeros, w.inLine = false, c != '\n'
		}
	}
	return len(p)
}

// expect lets a body through next: of a length, or with a transfer coding where that is below 0.
func (w *headWatch) expect(length int64) {
	if w.body = length; length < 0 {
		w.body, w.coded = codedBody, codedWatch{singly: codedMost}
	}
}

// endCoded notes that net/http has found the end of a body: what comes next is a head.
func (w *headWatch) endCoded() {
	if w.body == codedBody {
		w.body = 0
	}
}

// headViolations are what makes a head ambiguous.
type headViolations struct{ length, coding, bare bool }

// problem names the flaw of a head, if it has one.
func (f headViolations) problem() string {
	switch {
	case f.bare:
		return "a line of the head ends without a carriage return"
	case f.length && f.coding:
		return "Content-Length beside Transfer-Encoding"
	}
	return ""
}

// pass returns how many of the bytes may go on now; those behind a head's or a body's end come again.
func (w *headWatch) pass(p []byte) int {
	switch {
	case w.body == codedBody && w.coded.singly > 0 && len(p) > 0:
		n := w.coded.pass(p)
		if n == 1 {
			w.coded.singly--
		}
		return n
	case w.body < 0:
		w.body = unseen
		return len(p)
	case w.body > 0:
		n := int(min(int64(len(p)), w.body))
		w.body -= int64(n)
		return n
	}
	for i, c := range p {
		if c != '\n' {
			if w.line < len(w.field) {
				if 'A' <= c && c <= 'Z' {
					c += 'a' - 'A'
				}
				w.field[w.line] = c
			}
			w.line, w.cr = w.line+1, c == '\r'
			continue
		}
		if w.endLine() {
			return i + 1
		}
	}
	return len(p)
}

// endLine takes in a whole line, and reports whether it ends the head.
func (w *headWatch) endLine() bool {
	field := string(w.field[:min(w.line, len(w.field))])
	w.in.bare = w.in.bare || !w.cr
	w.in.length = w.in.length || begins(field, "content-length:")
	w.in.coding = w.in.coding || begins(field, "transfer-encoding:")
	empty := w.line == 0 || w.line == 1 && w.cr
	w.line, w.cr = 0, false
	if !empty || !w.begun {
		w.begun = w.begun || !empty
		return false
	}
	w.violations, w.in, w.begun = w.in, headViolations{}, false
	w.heads++
	return true
}

func begins(s, with string) bool { return len(s) >= len(with) && s[:len(with)] == with }
