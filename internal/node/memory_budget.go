package node

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	wholeBody   = 64 << 10 // bytes up to which a body is held whole
	maxBody     = 32 << 20 // and that it may have at all
	pieceSize   = 16 << 10 // in which longer ones go on
	heldBody    = 1 << 20  // bytes up to which a request is held whole if there is room
	budgetPart  = 1.0 / 16 // of the memory, for the bytes of bodies on each side, the small and the large apart
	leastBudget = 2 * wholeBody
)

// memoryBudget is the memory that bodies may take. Whoever wants to read one waits for its part first. Requests and
// answers have theirs apart, for a request holds its bytes while its answer is waited for; and so have small
// and large bodies, lest a few slow large ones keep out all others.
type memoryBudget struct {
	requests, answers           *semaphore.Weighted
	largeRequests, largeAnswers *semaphore.Weighted
	held                        *semaphore.Weighted // for large requests that are held whole while there is room

	rate float64 // bytes a second at which one large body goes on
}

func newMemoryBudget(memoryMB int64, cores float64) *memoryBudget {
	most := max(leastBudget, int64(budgetPart*float64(memoryMB<<20)))
	part := func() *semaphore.Weighted { return semaphore.NewWeighted(most) }
	return &memoryBudget{requests: part(), answers: part(), largeRequests: part(), largeAnswers: part(), held: part(),
		rate: flowRate * cores}
}

// reservation is the part of the budget that one body has. A nil reservation has none.
type reservation struct {
	of *semaphore.Weighted

	mu    sync.Mutex
	bytes int64
}

// reserve waits for a part of the budget.
func reserve(ctx context.Context, of *semaphore.Weighted, bytes int64) (*reservation, error) {
	if err := of.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return &reservation{of: of, bytes: bytes}, nil
}

// tryReserve takes room if there is some at once; else it returns nil.
func tryReserve(of *semaphore.Weighted, bytes int64) *reservation {
	if !of.TryAcquire(bytes) {
		return nil
	}
	return &reservation{of: of, bytes: bytes}
}

// resize gives back what is more than bytes.
func (r *reservation) resize(bytes int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes < r.bytes {
		r.of.Release(r.bytes - bytes)
		r.bytes = bytes
	}
}

func (r *reservation) release() { r.resize(0) }
