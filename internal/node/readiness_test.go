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

// A node without a running server becomes ready when it learns of one, or after readyTimeout, so that a node without
// discovery becomes ready too.
func TestReadinessWaitsForAServer(t *testing.T) {
	for _, listsServer := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(time.Nanosecond)
			c := testConfig(t, `{"revision":1,"complete":true,"members":[]}`)
			l, err := newLoop(c, clock{start: time.Now()}, newUpstream(c, 10))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { l.run(ctx, c.Known) })
			defer wg.Wait()
			defer cancel()
			began, ready := time.Now(), make(chan bool, 1)
			go func() { ready <- l.awaitServers(ctx) }()
			time.Sleep(time.Second)
			l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 2}) // without members
			l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 3, Members: []discovery.Member{memberWithAvailability(t, "127.0.0.1:9", policy.Draining)}})
			synctest.Wait()
			if len(ready) > 0 {
				t.Fatal("ready without a server")
			}
			if listsServer {
				l.send(discovery.Update{Kind: policy.ListUpdate, Revision: 4, Members: []discovery.Member{memberWithAvailability(t, "127.0.0.1:9", policy.Running)}})
			}
			if <-ready != listsServer {
				t.Errorf("awaitServers reports a server: %v", !listsServer)
			}
			if want := map[bool]time.Duration{false: readyTimeout, true: time.Second}[listsServer]; time.Since(began) != want {
				t.Errorf("ready after %v, want %v", time.Since(began), want)
			}
		})
	}
}
