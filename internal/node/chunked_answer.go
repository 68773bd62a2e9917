package node

import (
	"bufio"
	"bytes"
	"io"
	"slices"
)

// chunkedAnswer reads a chunked body without waiting for more once something has come. net/http's reader fills its whole
// buffer unless a chunk ends: the beginning of a chunk that comes slowly would be held back.
type chunkedAnswer struct {
	body io.Reader     // decodes raw
	raw  *bufio.Reader // has the bytes that have arrived
}

// bodyReader returns a reader of a response's body that returns what has come.
func (e *exchange) bodyReader() io.Reader {
	if slices.Contains(e.response.TransferEncoding, "chunked") {
		return chunkedAnswer{body: e.response.Body, raw: e.reader}
	}
	return e.response.Body
}

// Read waits for the next byte, and returns what has come behind it too.
func (c chunkedAnswer) Read(p []byte) (n int, err error) {
	n, err = c.body.Read(p[:1])
	if more := min(c.available(), len(p)-n); n > 0 && err == nil && more > 0 {
		var m int
		m, err = c.body.Read(p[n : n+more])
		n += m
	}
	return n, err
}

// available returns how many bytes of the body can be read without waiting: those before the first line feed, as the framing
// of a chunk has one. The byte before the line feed, or a carriage return at the end, may belong to the framing. Of a chunk's
// size that has come in part it counts the digits, and so may wait for the rest of that.
func (c chunkedAnswer) available() int {
	arrived, _ := c.raw.Peek(c.raw.Buffered()) // never fails for what is buffered
	if lineFeed := bytes.IndexByte(arrived, '\n'); lineFeed >= 0 {
		return max(0, lineFeed-1)
	}
	return len(bytes.TrimSuffix(arrived, []byte{'\r'}))
}
