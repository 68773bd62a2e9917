package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"cobaltward/policy"
)

// Parameters of the shares model.
const (
	sharesQuota    = 1.4 // requests per second of one tenant over all nodes (SIZE)
	sharesDuration = 600 * time.Second
	sharesServers  = 30 // at most one request is in flight at a time, so no server is ever full
)

// SharesResult shows how much of its quota a tenant gets if its requests reach only some of the nodes.
type SharesResult struct {
	Seed        uint64      `json:"seed"`
	Commit      string      `json:"commit,omitempty"`
	TreeChanged *bool       `json:"tree_changed,omitempty"`
	StartedAt   time.Time   `json:"began"`
	Machine     Machine     `json:"machine"`
	Quota       float64     `json:"quota_rps"`
	Seconds     float64     `json:"virtual_seconds"`
	Cases       []ShareCase `json:"shares"`
}

// ShareCase is the result for one tenant, whose Poisson arrivals are spread evenly over NodesReached nodes. Refused
// requests are not retried.
type ShareCase struct {
	Nodes            int     `json:"nodes"`
	NodesReached     int     `json:"nodes_that_see_the_tenant"`
	SentOverQuota    float64 `json:"sent_over_quota"` // 1: exactly at the quota
	Requests         int     `json:"asked"`
	Admitted         int     `json:"admitted"`
	AdmittedFraction float64 `json:"admitted_part_of_asked"`
	AdmittedOfQuota  float64 `json:"admitted_part_of_quota"`
}

// SimulateShares runs the shares model on the decision module in virtual time. Equal seeds give equal cases.
func SimulateShares(seed uint64) (SharesResult, error) {
	base := newResult("", seed)
	result := SharesResult{Seed: seed, Commit: base.Commit, TreeChanged: base.TreeChanged, StartedAt: base.StartedAt,
		Machine: base.Machine, Quota: sharesQuota, Seconds: sharesDuration.Seconds()}
	for _, nodes := range []int{2, 30, 300, 2500} {
		for _, nodesReached := range []int{1, 8, 64} {
			for _, sentOverQuota := range []float64{1, 3} {
				if nodesReached > nodes {
					continue
				}
				c, err := simulateShareCase(nodes, nodesReached, sentOverQuota, seed)
				if err != nil {
					return SharesResult{}, err
				}
				result.Cases = append(result.Cases, c)
			}
		}
	}
	return result, nil
}

func simulateShareCase(nodes, nodesReached int, sentOverQuota float64, seed uint64) (ShareCase, error) {
	settings := policy.Settings{Nodes: nodes, Zone: "z",
		Classes: []policy.Class{{Name: "c", Aim: 250 * time.Millisecond, Deadline: time.Second, Repeat: policy.Free, Worth: 1}},
		Tenants: []policy.Tenant{{Name: "t", Quota: sharesQuota}},
		Allowed: policy.Allowed{MaxAttempts: 2, RetryAfter: true}}
	members := make([]policy.Member, sharesServers)
	for i := range members {
		members[i] = policy.Member{Server: fmt.Sprintf("s-%02d", i), Zone: "z", Kind: "k", Weight: 1}
	}
	drivers := make([]*moduleDriver, nodesReached)
	for i := range drivers {
		settings.Node = i
		module, err := policy.New(settings, virtualStart, seed+uint64(i))
		if err != nil {
			return ShareCase{}, fmt.Errorf("settings: %w", err)
		}
		drivers[i] = &moduleDriver{module: module, now: virtualStart}
		drivers[i].handle(policy.MemberList{Kind: policy.ListReplace, Members: members})
	}
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)<<32|uint64(nodesReached)<<8|uint64(sentOverQuota)))
	c := ShareCase{Nodes: nodes, NodesReached: nodesReached, SentOverQuota: sentOverQuota}
	for at := time.Duration(0); ; c.Requests++ {
		at += time.Duration(rng.ExpFloat64() / (sentOverQuota * sharesQuota) * float64(time.Second))
		if at >= sharesDuration {
			break
		}
		driver := drivers[rng.IntN(nodesReached)]
		driver.advanceTo(virtualStart + at)
		if driver.serveRequest(policy.Request{ID: strconv.Itoa(c.Requests), Class: "c", Tenant: "t", ExpiresIn: time.Second}) {
			c.Admitted++
		}
	}
	if c.Requests > 0 {
		c.AdmittedFraction = roundSignificant(float64(c.Admitted) / float64(c.Requests))
	}
	c.AdmittedOfQuota = roundSignificant(float64(c.Admitted) / (sharesQuota * sharesDuration.Seconds()))
	return c, nil
}
