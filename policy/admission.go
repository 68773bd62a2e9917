package policy

import (
	"math"
	"time"
)

// Admission control: a token bucket for each tenant, or for each tenant and class where a class has its own limit
// (see DESIGN).

const (
	rateWindow   = time.Second // of limits derived from quotas; also the Retry-After for a quota of zero
	burstSeconds = 0.5         // bucket size in seconds of the quota's rate: the burst allowed within a share
	minBurst     = 3           // tokens; lets a few requests of a very small quota through at once
	maxBuckets   = 4096        // for tenants not in the settings, whom clients name freely; the rest share one bucket
	// refillCompensation makes up for the fractional tokens that whole-token refill discards: with Poisson arrivals
	// only ln 2 of the rate would get through. With refill rate r and an arrival rate a far above it, 1/(1/r + 1/a)
	// still does.
	refillCompensation = 1 / math.Ln2
)

// refill adds the whole tokens earned since the last refill, up to burst. Adding any restarts the interval, so
// fractions of a token are lost.
func (k *bucket) refill(now Time, perSecond float64, burst int64) {
	add := math.Floor((now - k.lastRefill).Seconds() * perSecond)
	if add >= 1 {
		k.tokens, k.lastRefill = min(burst, k.tokens+int64(min(add, float64(burst)))), now
	}
}

// refilled reports whether k is full even if it is refilled at minPerSecond, the rate at the minimum pace. A new bucket,
// which starts full, would then behave the same.
func (k *bucket) refilled(now Time, minPerSecond float64, burst int64) bool {
	return math.Floor((now-k.lastRefill).Seconds()*minPerSecond) >= float64(max(1, burst-k.tokens))
}

// perSecond returns the refill rate of a limit.
func (l Limit) perSecond() float64 {
	if l.Window <= 0 {
		return 0
	}
	return l.PerWindow / l.Window.Seconds()
}

// retryAfter returns the wait, in whole seconds, that a refused client is told.
func (l Limit) retryAfter() time.Duration {
	rate := l.perSecond()
	if rate <= 0 {
		return l.Window
	}
	return max(1, time.Duration(math.Ceil(min(1/rate, math.MaxInt32)))) * time.Second
}

// nodeShare returns this node's share of a quota that applies to all nodes together.
func (b *Balancer) nodeShare(quota float64) Limit {
	rate := quota / float64(b.settings.Nodes) * refillCompensation
	return Limit{PerWindow: rate * rateWindow.Seconds(), Window: rateWindow,
		Burst: max(minBurst, int64(math.Ceil(rate*burstSeconds)))}
}

// limitFor resolves the layers of limits: the override for the class, else the tenant's share or the default, all
// capped by the platform maximum.
func (b *Balancer) limitFor(tenant, class string) (l Limit, key bucketKey, ok bool) {
	key.tenant = tenant
	if override, found := b.settings.Limits.PerClass[class]; found {
		key.class, l, ok = class, override, true
	} else if l, ok = b.tenants[tenant]; !ok && b.defaultLimit != nil {
		l, ok = *b.defaultLimit, true
	}
	if platformMax := b.settings.Limits.Max; platformMax > 0 {
		l.PerWindow, l.Burst = min(l.PerWindow, platformMax), min(l.Burst, int64(platformMax))
	}
	return l, key, ok
}

// mayKeepBucket reports whether key may have a bucket: always if the tenant is in the settings or key is that of the
// shared bucket, for other tenants while there are fewer than maxBuckets.
func (b *Balancer) mayKeepBucket(key bucketKey) bool {
	return key == (bucketKey{}) || b.isKnownTenant(key.tenant) || b.evictionRing.unknownTenants < maxBuckets
}

// admit takes a token, or returns how long the client should wait.
func (b *Balancer) admit(tenant, class string) (bool, time.Duration) {
	l, key, ok := b.limitFor(tenant, class)
	if !ok {
		return true, 0
	}
	b.evictRefilled()
	l.PerWindow *= b.pace
	if b.buckets[key] == nil && !b.mayKeepBucket(key) {
		key = bucketKey{}
	}
	k := b.buckets[key]
	if k == nil {
		k = b.setBucket(key, l.Burst, b.now)
	}
	k.refill(b.now, l.perSecond(), l.Burst)
	if k.tokens <= 0 {
		b.bucketRefused = true
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

func (b *Balancer) onRequest(e Request) {
	if b.requests[e.ID] != nil {
		return // duplicate of a request in progress
	}
	c := b.classes[e.Class]
	if c == nil { // class not in the settings: never repeated once it may have run
		c = &class{Class: Class{Aim: e.ExpiresIn, LateWorth: 1}, index: -1, eligible: &b.fleet}
	}
	r := &request{id: e.ID, class: c, deadline: b.now + e.ExpiresIn}
	aim := c.Aim + time.Duration(c.AimStretch*float64(e.CostHint)) - c.elapsed(e)
	// A late refusal costs the client its time, so requests are refused by half the aim.
	r.refuseAt, r.usefulUntil = b.now+min(aim, e.ExpiresIn)/2, r.deadline
	if c.LateWorth <= 0 {
		r.usefulUntil = min(r.deadline, b.now+aim)
	}
	if b.settings.WarmKeys && e.Key != "" {
		r.keyHash = hash(e.Key)
	}
	b.requests[r.id] = r
	b.recentRequests = append(dropBefore(b.recentRequests, b.now-b.attemptBudget.Span+1), b.now)
	b.trialBudget = min(maxTrialBudget, b.trialBudget+trialFraction)
	if b.limitReached(r) {
		b.giveUp(r, "worth nothing any more")
		return
	}
	if ok, wait := b.admit(e.Tenant, e.Class); !ok {
		b.refuse(r, wait, "bucket")
		return
	}
	// While others are queued, a new request joins them, since capacity goes to the highest worth first. It doesn't
	// adjust the pace: whether it finds room is no evidence of capacity.
	if b.queue.len() > 0 {
		b.enqueue(r)
		b.dispatchQueued()
		return
	}
	b.dispatch(r)
}

const (
	elapsedSlack          = 0.04 // tolerance as a fraction of the deadline: hosts reserve some time, and clocks differ
	perTryTimeoutFraction = 0.96 // of the deadline: a first try that waits for a smaller fraction has a per-try timeout
)

// elapsed returns how long, at least, the client of a retry has waited since its first try; the aim counts from there.
// A try normally waits for the rest of the deadline, so the wait of a retry shows the time that earlier tries took.
// Where clients have a shorter per-try timeout, it doesn't.
func (c *class) elapsed(e Request) time.Duration {
	if !e.Retry {
		c.lastFirstTryWait = e.ExpiresIn
		return 0
	}
	slack := time.Duration(elapsedSlack * float64(c.Deadline))
	perTryTimeout := c.lastFirstTryWait < time.Duration(perTryTimeoutFraction*float64(c.Deadline))
	if c.lastFirstTryWait == 0 || perTryTimeout && (e.ExpiresIn-c.lastFirstTryWait).Abs() < slack {
		return 0
	}
	return max(0, c.Deadline-e.ExpiresIn-slack)
}

const (
	paceIncrease, paceDecrease = 0.02, 0.02 // relative steps, one a request; equal, so up to half may find no room
	minPace                    = 0.3        // lower, faults that shedding can't fix would starve traffic within its share
	cautiousPace               = 1.5        // a pace above this rises only while few answers are bad, and falls otherwise
	maxBadFraction             = 0.06       // fraction of bad answers that counts as few; one within its aim is never bad
	maxPace                    = 3.0        // a higher one would gain little worth
)

// adjustPace scales all bucket rates alike by whether the servers have room. Without it, a slowdown of the whole fleet
// would shed no load, and a node that receives more than its even share of a quota would refuse traffic within the
// share.
func (b *Balancer) adjustPace(room bool) {
	switch {
	case !room && b.pace <= 1 && b.serversShedEarly():
	case !room:
		minimum := minPace
		// With many nodes, a node often finds no room by chance, and sees too few requests to raise its rates in time.
		if b.oversubscribed() {
			minimum = 1
		}
		b.pace = max(minimum, b.pace*(1-paceDecrease))
	case b.pace > cautiousPace && b.badFraction > maxBadFraction:
		b.pace *= 1 - paceDecrease
	case b.bucketRefused && (b.pace < cautiousPace || b.badFraction < maxBadFraction): // only a limit that refused something is raised
		b.pace = min(maxPace, b.pace*(1+paceIncrease))
	}
	b.bucketRefused = false
}
