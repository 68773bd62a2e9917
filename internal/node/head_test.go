package node

import (
	"strings"
	"testing"
)

// However the data of a connection is split, no scan delivers bytes of a chunked body together with bytes after its end,
// and most of the body is not delivered byte by byte.
func TestChunkedBodiesAreDeliveredUpToTheirEnd(t *testing.T) {
	plain := strings.Repeat("some text\nand more\r\n", 200)
	for name, body := range map[string]string{
		"empty":            "0\r\n\r\n",
		"a chunk":          "3\r\nabc\r\n0\r\n\r\n",
		"extensions":       "3;a=b\r\nabc\r\n000;last\r\n\r\n",
		"trailers":         "3\r\nabc\r\n0\r\nX-A: 1\r\nX-B: 0\r\n\r\n",
		"leading zeros":    "0003\r\nabc\r\n0\r\n\r\n",
		"data like an end": "7\r\n0\r\n\r\n00\r\n0\r\n\r\n",
		"bare line feeds":  "3\nabc\n0\n\n",
		"long":             "fa0\r\n" + plain + "\r\nfa0\r\n" + plain + "\r\n0\r\n\r\n",
	} {
		for size := 1; size <= len(body)+20; size += 1 + size/3 {
			var scanner headScanner
			scanner.expectBody(-1)
			rest, single, delivered := body+"GET / HTTP/1.1\r\n", 0, 0
			for delivered < len(body) {
				n := scanner.scan([]byte(rest[:min(size, len(rest))]))
				if delivered+n > len(body) {
					t.Fatalf("%s in pieces of %d: %q is delivered across the end of the body", name, size, rest[:n])
				}
				if n == 1 {
					single++
				}
				delivered, rest = delivered+n, rest[n:]
			}
			if scanner.endChunkedBody(); scanner.bodyLeft != 0 {
				t.Errorf("%s in pieces of %d: no heads are recognized after it", name, size)
			}
			if size > 100 && single > 100 {
				t.Errorf("%s in pieces of %d: %d bytes are delivered singly", name, size, single)
			}
		}
	}
}
