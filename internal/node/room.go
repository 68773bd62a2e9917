package node

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	wholeBody = 64 << 10 // bytes up to which a body is held whole
	maxBody   = 32 << 20 // and that it may have at all
	pieceSize = 16 << 10 // in which longer ones go on
	heldBody  = 1 << 20  // bytes up to which a request is held whole if there is room
	roomPart  = 1.0 / 16 // of the memory, for the bytes of bodies on each side, the small and the large apart
	leastRoom = 2 * wholeBody
)

// room is the memory that bodies may take. Whoever wants to read one waits for its part first. Requests and
// answers have theirs apart, for a request holds its bytes while its answer is waited for; and so have small
// and large bodies, lest a few slow large ones keep out all others.
type room struct {
	requests, answers           *semaphore.Weighted
	largeRequests, largeAnswers *semaphore.Weighted
	held                        *semaphore.Weighted // for large requests that are held whole while there is room

	rate float64 // bytes a second at which one large body goes on
}

func newRoom(memoryMB int64, cores float64) *room {
	most := max(leastRoom, int64(roomPart*float64(memoryMB<<20)))
	part := func() *semaphore.Weighted { return semaphore.NewWeighted(most) }
	return &room{requests: part(), answers: part(), largeRequests: part(), largeAnswers: part(), held: part(),
		rate: flowRate * cores}
}

// claim is a part of the room that one body has. The zero claim has none.
type claim struct {
	of *semaphore.Weighted

	mu    sync.Mutex
	bytes int64
}

// take waits for room.
func take(ctx context.Context, of *semaphore.Weighted, bytes int64) (*claim, error) {
	if err := of.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return &claim{of: of, bytes: bytes}, nil
}

// tryTake takes room if there is some at once; else it returns nil.
func tryTake(of *semaphore.Weighted, bytes int64) *claim {
	if !of.TryAcquire(bytes) {
		return nil
	}
	return &claim{of: of, bytes: bytes}
}

// shrink gives back what is more than bytes.
func (c *claim) shrink(bytes int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes < c.bytes {
		c.of.Release(c.bytes - bytes)
		c.bytes = bytes
	}
}

func (c *claim) free() { c.shrink(0) }
