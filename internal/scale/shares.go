package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"cobaltward/policy"
)

// Figures of the shares model.
const (
	sharesQuota   = 1.4 // requests a second of one tenant, over all nodes (SIZE)
	sharesSpan    = 600 * time.Second
	sharesServers = 30 // with one request out at a time at most, there is always room
)

// SharesResult is how much of its share a tenant gets whose requests reach few of the nodes.
type SharesResult struct {
	Seed    uint64      `json:"seed"`
	Commit  string      `json:"commit,omitempty"`
	Changed *bool       `json:"tree_changed,omitempty"`
	Began   time.Time   `json:"began"`
	Machine Machine     `json:"machine"`
	Quota   float64     `json:"quota_rps"`
	Seconds float64     `json:"virtual_seconds"`
	Shares  []ShareCase `json:"shares"`
}

// ShareCase is one tenant: its Poisson arrivals go to any of Instances nodes alike, and refused ones don't
// come again.
type ShareCase struct {
	Nodes     int     `json:"nodes"`
	Instances int     `json:"nodes_that_see_the_tenant"`
	Times     float64 `json:"sent_over_quota"` // 1: just its quota
	Asked     int     `json:"asked"`
	Admitted  int     `json:"admitted"`
	Part      float64 `json:"admitted_part_of_asked"`
	OfQuota   float64 `json:"admitted_part_of_quota"`
}

// Shares runs the model with the decision module in virtual time. The same seed gives the same cases.
func Shares(seed uint64) (SharesResult, error) {
	about := newResult("", seed)
	r := SharesResult{Seed: seed, Commit: about.Commit, Changed: about.Changed, Began: about.Began,
		Machine: about.Machine, Quota: sharesQuota, Seconds: sharesSpan.Seconds()}
	for _, nodes := range []int{2, 30, 300, 2500} {
		for _, k := range []int{1, 8, 64} {
			for _, times := range []float64{1, 3} {
				if k > nodes {
					continue
				}
				c, err := shareCase(nodes, k, times, seed)
				if err != nil {
					return SharesResult{}, err
				}
				r.Shares = append(r.Shares, c)
			}
		}
	}
	return r, nil
}

func shareCase(nodes, k int, times float64, seed uint64) (ShareCase, error) {
	set := policy.Settings{Nodes: nodes, Zone: "z",
		Classes: []policy.Class{{Name: "c", Aim: 250 * time.Millisecond, Deadline: time.Second, Repeat: policy.Free, Worth: 1}},
		Tenants: []policy.Tenant{{Name: "t", Quota: sharesQuota}},
		Allowed: policy.Allowed{MaxAttempts: 2, RetryAfter: true}}
	members := make([]policy.Member, sharesServers)
	for i := range members {
		members[i] = policy.Member{Server: fmt.Sprintf("s-%02d", i), Zone: "z", Kind: "k", Weight: 1}
	}
	hosts := make([]*host, k)
	for i := range hosts {
		set.Node = i
		m, err := policy.New(set, moduleOrigin, seed+uint64(i))
		if err != nil {
			return ShareCase{}, fmt.Errorf("settings: %w", err)
		}
		hosts[i] = &host{module: m, now: moduleOrigin}
		hosts[i].handle(policy.MemberList{Kind: policy.ListReplace, Members: members})
	}
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)<<32|uint64(k)<<8|uint64(times)))
	c := ShareCase{Nodes: nodes, Instances: k, Times: times}
	for at := time.Duration(0); ; c.Asked++ {
		at += time.Duration(rng.ExpFloat64() / (times * sharesQuota) * float64(time.Second))
		if at >= sharesSpan {
			break
		}
		h := hosts[rng.IntN(k)]
		h.advance(moduleOrigin + at)
		if h.request(policy.Request{ID: strconv.Itoa(c.Asked), Class: "c", Tenant: "t", ExpiresIn: time.Second}) {
			c.Admitted++
		}
	}
	if c.Asked > 0 {
		c.Part = round(float64(c.Admitted) / float64(c.Asked))
	}
	c.OfQuota = round(float64(c.Admitted) / (sharesQuota * sharesSpan.Seconds()))
	return c, nil
}
