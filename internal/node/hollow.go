package node

import (
	"context"
	"sync"
	"time"
)

// RunHollow runs a node without its listener for clients until ctx ends: the event loop, the decision module, the member
// list and the discovery client, with the same code as Run. A scale run has many such nodes in one process. The loop's
// goroutine calls onListApplied for each list once it has taken effect, beginning with the list known at the start, but
// not for a failed watch or an empty update.
func RunHollow(ctx context.Context, c Config, onListApplied func(revision int64, at time.Time)) error {
	up := newUpstream(c, 0)
	defer up.close()
	l, err := newLoop(c, clock{start: time.Now()}, up)
	if err != nil {
		return err
	}
	l.onListApplied = onListApplied
	var parts sync.WaitGroup
	defer parts.Wait()
	parts.Go(func() { l.run(ctx, c.Known) })
	parts.Go(func() { l.discovery.Run(ctx) })
	return nil
}
