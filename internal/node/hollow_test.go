package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// A hollow node reports the known list and each update that changes the list, and no other updates.
func TestHollowNodeReportsAppliedLists(t *testing.T) {
	c := testConfig(t, memberListJSON("127.0.0.1:9"))
	l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 0))
	if err != nil {
		t.Fatal(err)
	}
	applied := make(chan int64, 10)
	l.onListApplied = func(revision int64, _ time.Time) { applied <- revision }
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.run(ctx, c.Known) })
	l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 8})
	l.send(discovery.Update{Kind: policy.ListUnavailable})
	l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 9, Members: testMembers(t, "127.0.0.1:10")})
	l.send(discovery.Update{Kind: policy.ListReplace, Revision: 10})
	for _, want := range []int64{c.Known.Revision, 9, 10} {
		if got := receive(t, "an applied list", applied); got != want {
			t.Errorf("revision %d was applied, want %d", got, want)
		}
	}
}

// The loop and the discovery client of a hollow node stop when its context ends.
func TestHollowNodeStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	applied, ended := make(chan int64, 10), make(chan error, 1)
	go func() {
		ended <- RunHollow(ctx, testConfig(t, memberListJSON("127.0.0.1:9")), func(revision int64, _ time.Time) { applied <- revision })
	}()
	if got := receive(t, "the known list", applied); got != 7 {
		t.Errorf("revision %d first, want 7", got)
	}
	cancel()
	if err := receive(t, "the return of RunHollow", ended); err != nil {
		t.Error(err)
	}
}
