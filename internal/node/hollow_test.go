package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// A hollow node tells of the known list and of each change, and of nothing else.
func TestHollowNodesTellOfListsInForce(t *testing.T) {
	c := testConfig(t, knownList("127.0.0.1:9"))
	l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 0))
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan int64, 10)
	l.onListApplied = func(revision int64, _ time.Time) { heard <- revision }
	ctx, cancel := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	parts.Go(func() { l.run(ctx, c.Known) })
	l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 8})
	l.send(discovery.Update{Kind: policy.ListUnavailable})
	l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 9, Members: members(t, "127.0.0.1:10")})
	l.send(discovery.Update{Kind: policy.ListReplace, Revision: 10})
	for _, want := range []int64{c.Known.Revision, 9, 10} {
		if got := receive(t, "a list in force", heard); got != want {
			t.Errorf("revision %d is in force, want %d", got, want)
		}
	}
}

// The loop and the discovery client of a hollow node end with its context.
func TestHollowNodesEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	first, ended := make(chan int64, 10), make(chan error, 1)
	go func() {
		ended <- RunHollow(ctx, testConfig(t, knownList("127.0.0.1:9")), func(revision int64, _ time.Time) { first <- revision })
	}()
	if got := receive(t, "the known list", first); got != 7 {
		t.Errorf("revision %d first, want 7", got)
	}
	cancel()
	if err := receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
}
