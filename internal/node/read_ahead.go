package node

import "time"

// defaultReadAheadBudget is the memory for the read-ahead buffers of all connections where no memory limit is known.
const defaultReadAheadBudget = 16 << 20

// readAheadBuffer holds what a client has sent behind its request in flight, with the arrival time of each part: the
// deadline of a request counts from its arrival, however long it waits behind others.
type readAheadBuffer struct {
	bytes []byte
	parts []readAheadPart // in order; together they cover bytes
}

type readAheadPart struct {
	size      int
	arrivedAt time.Time
}

// append adds bytes with their arrival time. Parts with the same time are merged.
func (b *readAheadBuffer) append(p []byte, arrived time.Time) {
	if len(p) == 0 {
		return
	}
	if need := len(b.bytes) + len(p); need > cap(b.bytes) { // append would reserve up to twice as much
		const step = 4 << 10
		b.bytes = append(make([]byte, 0, (need+step-1)/step*step), b.bytes...)
	}
	b.bytes = append(b.bytes, p...)
	if last := len(b.parts) - 1; last >= 0 && b.parts[last].arrivedAt.Equal(arrived) {
		b.parts[last].size += len(p)
		return
	}
	b.parts = append(b.parts, readAheadPart{len(p), arrived})
}

// arrivedAt returns when the n-th byte arrived, counted from 1.
func (b *readAheadBuffer) arrivedAt(n int) time.Time {
	for _, part := range b.parts {
		if n <= part.size {
			return part.arrivedAt
		}
		n -= part.size
	}
	return time.Time{}
}

// consume removes the first n bytes.
func (b *readAheadBuffer) consume(n int) {
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
