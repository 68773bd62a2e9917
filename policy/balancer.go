package policy

import (
	"math/rand/v2"
)

// New returns a Balancer, which holds the decision state of one node, for the given settings. The seed drives its
// random choices.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: set, now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.Node))),
		classes: make(map[string]*class), tenants: make(map[string]Limit, len(set.Tenants)),
		buckets: make(map[bucketKey]*bucket), pace: 1, sharedThresholdScale: 1, faultWeight: 1, fairShareScale: 1, trialBudget: maxTrialBudget, processCount: 1,
		warmRates: make(map[string]float64), warmSizeRates: make(map[string]float64),
		servers: make(map[string]*server), requests: make(map[string]*request), attemptBudget: defaultAttemptBudget,
		serverIndex: newServerIndex(),
	}
	if set.Rules.AttemptBudget != nil {
		b.attemptBudget = *set.Rules.AttemptBudget
	}
	for i, c := range set.Classes {
		if c.Aim == 0 {
			c.Aim = c.Deadline
		}
		b.classList = append(b.classList, &class{Class: c, index: i, tailLatency: c.Aim / 2})
		b.classes[c.Name] = b.classList[i]
		b.assignPool(b.classList[i])
		b.maxDeadline = max(b.maxDeadline, c.Deadline)
	}
	b.defaultLimit = set.Limits.Default
	for _, t := range set.Tenants { // tenants without a quota get the smallest one's limit, unless there is a default
		l := b.nodeShare(t.Quota)
		b.tenants[t.Name] = l
		if set.Limits.Default == nil && (b.defaultLimit == nil || l.PerWindow < b.defaultLimit.PerWindow) {
			b.defaultLimit = &l
		}
	}
	return b, nil
}

// Handle processes one event and returns the resulting actions. The next call reuses the returned slice.
func (b *Balancer) Handle(now Time, ev Event) []Action {
	b.now, b.actions = max(now, b.now), b.actions[:0]
	b.updateDueStatuses()
	switch e := ev.(type) {
	case Request:
		b.onRequest(e)
	case Outcome:
		b.onOutcome(e)
	case FirstByte:
		b.onFirstByte(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.end(r)
		}
	case Timer:
		b.onTimer(e.Token)
	case MemberList:
		b.onList(e)
	case ProcessCount:
		b.setProcessCount(max(1, e.N))
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
