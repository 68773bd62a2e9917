package node

import "time"

// readAheadBuffer holds what a client has sent behind its request in flight, and when each part of it came: the time of
// a request counts from then, however long it waits behind others.
type readAheadBuffer struct {
	bytes []byte
	parts []readAheadPart // in order; together they are the bytes
}

type readAheadPart struct {
	size int
	came time.Time
}

// append adds bytes that came at a time. Parts that came together count as one.
func (b *readAheadBuffer) append(p []byte, came time.Time) {
	if len(p) == 0 {
		return
	}
	b.bytes = append(b.bytes, p...)
	if last := len(b.parts) - 1; last >= 0 && b.parts[last].came.Equal(came) {
		b.parts[last].size += len(p)
		return
	}
	b.parts = append(b.parts, readAheadPart{len(p), came})
}

// cameAt is when the n-th byte came, counted from 1.
func (b *readAheadBuffer) cameAt(n int) time.Time {
	for _, part := range b.parts {
		if n <= part.size {
			return part.came
		}
		n -= part.size
	}
	return time.Time{}
}

// take removes the first n bytes.
func (b *readAheadBuffer) take(n int) {
	if b.bytes = b.bytes[n:]; len(b.bytes) == 0 {
		*b = readAheadBuffer{}
		return
	}
	for n >= b.parts[0].size {
		n -= b.parts[0].size
		b.parts = b.parts[1:]
	}
	b.parts[0].size -= n
}
