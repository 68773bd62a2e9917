package node

import (
	"context"
	"sync"
	"time"
)

// RunHollow runs what a node is without its clients until ctx ends: the loop, the decision module, the list and the
// discovery client, on the same code as Run. A scale run holds many such nodes in one process. inForce hears on the
// loop's goroutine of each list from when on requests would go by it, the known one first; a failed watch and an
// empty change are none.
func RunHollow(ctx context.Context, c Config, inForce func(revision int64, at time.Time)) error {
	up := newUpstream(c, 0)
	defer up.close()
	l, err := newLoop(c, clock{start: time.Now()}, up)
	if err != nil {
		return err
	}
	l.inForce = inForce
	var parts sync.WaitGroup
	defer parts.Wait()
	parts.Go(func() { l.run(ctx, c.Known) })
	parts.Go(func() { l.disc.Run(ctx) })
	return nil
}
