package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/policy"
)

// A node that knows no server is not ready before it knows one, or before a node without discovery has to be.
func TestReadinessWaitsForAServer(t *testing.T) {
	for _, hears := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(time.Nanosecond)
			c := testConfig(t, `{"revision":1,"complete":true,"members":[]}`)
			l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var parts sync.WaitGroup
			parts.Go(func() { l.run(ctx, c.Known) })
			defer parts.Wait()
			defer cancel()
			began, ready := time.Now(), make(chan bool, 1)
			go func() { ready <- l.awaitServers(ctx) }()
			time.Sleep(time.Second)
			l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 2}) // with nobody in it
			l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 3, Members: []discovery.Member{phased(t, "127.0.0.1:9", policy.Draining)}})
			synctest.Wait()
			if len(ready) > 0 {
				t.Fatal("ready without a server")
			}
			if hears {
				l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 4, Members: []discovery.Member{phased(t, "127.0.0.1:9", policy.Running)}})
			}
			if <-ready != hears {
				t.Errorf("a server is known: %v", !hears)
			}
			if want := map[bool]time.Duration{false: readyTimeout, true: time.Second}[hears]; time.Since(began) != want {
				t.Errorf("ready after %v, want %v", time.Since(began), want)
			}
		})
	}
}
