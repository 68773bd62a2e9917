//go:build faults

package node

import (
	"testing"

	"cobaltward/internal/faultpoint"
)

// A client that has left is noticed although every read fails for a temporary lack of resources, whether or not its request
// is complete. Otherwise an attempt would begin for it, and its departure would be recorded as a request without an answer.
func TestDepartureIsNoticedUnderFaults(t *testing.T) {
	t.Setenv(faultpoint.EnvVar, "seed=1,read=1")
	for how, disconnect := range disconnects {
		for _, complete := range []bool{true, false} {
			client, conn := dialClient(t)
			conn.owner.mu.Lock()
			conn.inFlight = complete
			conn.owner.mu.Unlock()
			if got := conn.presence(); got != clientPresent {
				t.Errorf("before the client %s, request complete %v: presence %v", how, complete, got)
			}
			disconnect(client)
			await(t, "the client's disconnect", conn.peerHasClosed)
			if got := conn.presence(); got != clientDeparted {
				t.Errorf("client %s, request complete %v: presence %v, want departed", how, complete, got)
			}
		}
	}
}
