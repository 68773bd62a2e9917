package policy_test

import (
	"fmt"
	"time"

	"cobaltward/policy"
)

// A node's full cycle: settings, the list of servers, a request with its outcomes, and a timer. A Balancer
// holds no resources and needs no closing.
func Example() {
	const ms = time.Millisecond
	b, err := policy.New(policy.Settings{
		Nodes:   1,
		Classes: []policy.Class{{Name: "read", Aim: 200 * ms, Deadline: time.Second, Repeat: policy.Free}},
		Tenants: []policy.Tenant{{Name: "acme", Quota: 50}},
		Allowed: policy.Allowed{MaxAttempts: 2},
	}, 0, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	// The host performs actions in order; this example only prints those that concern a request.
	printActions := func(acts []policy.Action) {
		for _, a := range acts {
			switch a.Kind {
			case policy.Send:
				fmt.Println("send", a.ID, "to", a.Server, "until", a.Until)
			case policy.Refuse:
				fmt.Println("refuse", a.ID, "for", a.Wait)
			case policy.SetTimer: // the host passes policy.Timer{Token: a.Token} to Handle after a.Wait
			}
		}
	}
	printActions(b.Handle(0, policy.MemberList{Members: []policy.Member{{Server: "one"}, {Server: "two"}}}))
	now := time.Second
	printActions(b.Handle(now, policy.Request{ID: "r1", Class: "read", Tenant: "acme", ExpiresIn: time.Second}))
	now += 100 * ms
	printActions(b.Handle(now, policy.Outcome{ID: "r1", Server: "one", Code: policy.ConnectFailed, Latency: 100 * ms}))
	now += 20 * ms
	printActions(b.Handle(now, policy.Outcome{ID: "r1", Attempt: 1, Server: "two", Code: policy.OK, Latency: 20 * ms, Ended: true}))

	// Without a server in service a request is queued, and refused while its client still waits.
	printActions(b.Handle(now, policy.MemberList{Kind: policy.ListReplace}))
	printActions(b.Handle(now, policy.Request{ID: "r2", Class: "read", Tenant: "acme", ExpiresIn: time.Second}))
	for range 6 {
		now += 20 * ms
		printActions(b.Handle(now, policy.Timer{Token: 1}))
	}
	// Output:
	// send r1 to one until 1.2s
	// send r1 to two until 1.2s
	// refuse r2 for 1s
}
