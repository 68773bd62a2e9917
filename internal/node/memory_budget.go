package node

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

// ProgramMemory is what the program's code and data take of a node's memory, in bytes.
const ProgramMemory = 10 << 20

const (
	maxSmallBody   = 64 << 10 // bytes up to which a body is buffered completely
	maxBodySize    = 32 << 20 // limit of any body, in bytes
	pieceSize      = 16 << 10 // bytes in which larger bodies are forwarded
	maxHeldBody    = 1 << 20  // bytes up to which a request's body is buffered completely if there is memory
	budgetFraction = 1.0 / 16 // of the rest, for each of the separate budgets below
	minBudget      = 2 * maxSmallBody
	connMemory     = 56 << 10 // of the rest, for each client connection: what it takes itself, and its part of all else
	minClientConns = 64       // whatever the memory
)

// memoryBudget limits the memory for bodies. Memory is reserved before a body is read. Requests and responses
// have separate budgets, since a request holds its memory until its response has arrived. So have small and large bodies,
// so that a few slow large ones don't block all others.
type memoryBudget struct {
	requests, answers           *semaphore.Weighted
	largeRequests, largeAnswers *semaphore.Weighted
	heldRequests                *semaphore.Weighted // for large requests that are buffered completely

	bodyRate float64 // bytes per second at which one large body is forwarded
}

// bodyBudget returns the size of each of the separate budgets, in bytes.
func bodyBudget(memoryMB int64) int64 {
	return max(minBudget, int64(budgetFraction*float64(memoryMB<<20-ProgramMemory)))
}

// maxClientConns returns how many client connections the memory is enough for, whatever they send.
func maxClientConns(memoryMB int64) int {
	return max(minClientConns, int((memoryMB<<20-ProgramMemory)/connMemory))
}

func newMemoryBudget(memoryMB int64, cores float64) *memoryBudget {
	size := bodyBudget(memoryMB)
	newBudget := func() *semaphore.Weighted { return semaphore.NewWeighted(size) }
	return &memoryBudget{requests: newBudget(), answers: newBudget(), largeRequests: newBudget(), largeAnswers: newBudget(), heldRequests: newBudget(),
		bodyRate: bodyRatePerCore * cores}
}

// reservation is the part of a budget that is reserved for one body. A nil reservation is valid and empty.
type reservation struct {
	budget *semaphore.Weighted

	mu    sync.Mutex
	bytes int64
}

// reserve waits until bytes of the budget are available, and reserves them.
func reserve(ctx context.Context, budget *semaphore.Weighted, bytes int64) (*reservation, error) {
	if err := budget.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return &reservation{budget: budget, bytes: bytes}, nil
}

// tryReserve reserves bytes if they are available at once; otherwise it returns nil.
func tryReserve(budget *semaphore.Weighted, bytes int64) *reservation {
	if !budget.TryAcquire(bytes) {
		return nil
	}
	return &reservation{budget: budget, bytes: bytes}
}

// resize shrinks the reservation to the given bytes, and returns the rest to the budget.
func (r *reservation) resize(bytes int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes < r.bytes {
		r.budget.Release(r.bytes - bytes)
		r.bytes = bytes
	}
}

func (r *reservation) release() { r.resize(0) }
