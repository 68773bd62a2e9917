package node

import (
	"sync"
	"time"
)

// The deadline of a request counts from the last byte that its client has written (PROTOCOL). While the node doesn't read, it
// can't see that byte: it may be in a socket buffer on either side.
const (
	// uploadReceiveBuffer is the size that the node asks for the socket buffer of a client with a large body. The kernel
	// doubles it.
	uploadReceiveBuffer = 256 << 10
	// maxSendBuffer is the largest socket buffer that Linux gives a sender by itself (tcp_wmem).
	maxSendBuffer = 4 << 20
	// maxUnseenBody is how much of a body the client may have written beyond what the node has read.
	maxUnseenBody = 2*uploadReceiveBuffer + maxSendBuffer
	// progressStep is how many bytes of a body are read between two entries of uploadProgress.reachedAt.
	progressStep = 512 << 10
)

// uploadProgress records when the parts of a large body were read, to bound the time at which its last byte was written.
type uploadProgress struct {
	mu        sync.Mutex
	received  int64
	reachedAt []time.Time // when received reached 0, 1, 2, ... times progressStep
}

func newUploadProgress() uploadProgress { return uploadProgress{reachedAt: []time.Time{time.Now()}} }

// add records that n more bytes have been read.
func (p *uploadProgress) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += int64(n)
	for p.received >= int64(len(p.reachedAt))*progressStep {
		p.reachedAt = append(p.reachedAt, time.Now())
	}
}

// earliestEnd returns the earliest time at which the client can have written a body's last byte: before that it had more
// left than the socket buffers take. While that is still so, it returns the time of the latest progress, so that a body
// that nobody reads any more has a deadline too. length is that of the body, or negative if it is unknown.
func (p *uploadProgress) earliestEnd(length int64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if length < 0 { // the body ends after the bytes read so far at the earliest
		length = p.received
	}
	step := int(max(0, length-maxUnseenBody) / progressStep)
	return p.reachedAt[min(step, len(p.reachedAt)-1)]
}

// earliestEnd returns the earliest time at which the client can have written the body's last byte, as far as the node knows
// now. It never moves back, and doesn't move any more once the whole body has been read.
func (u *upload) earliestEnd() time.Time {
	if u.isComplete() {
		return u.endedBy
	}
	end := u.progress.earliestEnd(u.length)
	if waited := u.client.lastWaitForData(); waited.After(end) {
		return waited
	}
	return end
}
