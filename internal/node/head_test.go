package node

import (
	"strings"
	"testing"
)

// Of a chunked body, whatever it is cut into, nothing goes on together with bytes from behind its end; and most of it
// goes on together.
func TestCodedBodiesGoOnUpToTheirEnd(t *testing.T) {
	plain := strings.Repeat("some text\nand more\r\n", 200)
	for name, body := range map[string]string{
		"empty":         "0\r\n\r\n",
		"a chunk":       "3\r\nabc\r\n0\r\n\r\n",
		"extensions":    "3;a=b\r\nabc\r\n000;last\r\n\r\n",
		"trailers":      "3\r\nabc\r\n0\r\nX-A: 1\r\nX-B: 0\r\n\r\n",
		"leading zeros": "0003\r\nabc\r\n0\r\n\r\n",
		"like an end":   "7\r\n0\r\n\r\n00\r\n0\r\n\r\n",
		"bare":          "3\nabc\n0\n\n",
		"long":          "fa0\r\n" + plain + "\r\nfa0\r\n" + plain + "\r\n0\r\n\r\n",
	} {
		for size := 1; size <= len(body)+20; size += 1 + size/3 {
			var w headScanner
			w.expectBody(-1)
			rest, single, passed := body+"GET / HTTP/1.1\r\n", 0, 0
			for passed < len(body) {
				n := w.scan([]byte(rest[:min(size, len(rest))]))
				if passed+n > len(body) {
					t.Fatalf("%s in pieces of %d: %q goes on from behind the end", name, size, rest[:n])
				}
				if n == 1 {
					single++
				}
				passed, rest = passed+n, rest[n:]
			}
			if w.endChunkedBody(); w.bodyLeft != 0 {
				t.Errorf("%s in pieces of %d: no heads are seen behind it", name, size)
			}
			if size > 100 && single > 100 {
				t.Errorf("%s in pieces of %d: %d bytes go on singly", name, size, single)
			}
		}
	}
}
