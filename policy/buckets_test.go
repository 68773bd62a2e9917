package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// unevictedBuckets is a reference implementation of admission that never evicts a bucket.
type unevictedBuckets map[bucketKey]*bucket

func (buckets unevictedBuckets) admit(b *Balancer, tenant, class string) (bool, time.Duration) {
	l, key, ok := b.limitFor(tenant, class)
	if !ok {
		return true, 0
	}
	l.PerWindow *= b.pace
	k := buckets[key]
	if k == nil {
		k = &bucket{tokens: l.Burst, lastRefill: b.now}
		buckets[key] = k
	}
	k.refill(b.now, l.perSecond(), l.Burst)
	if k.tokens <= 0 {
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

// Admission with eviction must make the same decisions as without. The arrivals are random, from known and unknown
// tenants, with overrides by class, a pace that varies over its full range, and handovers to a successor process.
func TestEvictingFullBucketsChangesNoDecision(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		set := testSettings(1 + rng.IntN(3))
		set.Tenants = nil
		for i := range 40 {
			set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: float64(rng.IntN(200)) / 10})
		}
		set.Limits.PerClass = map[string]Limit{"once": {PerWindow: 7, Window: 3 * time.Second, Burst: 4},
			"all": {PerWindow: 2, Window: time.Second, Burst: 0}}
		set.Limits.Max = float64(seed % 3 * 4)
		b := newTestBalancer(t, set, members(2))
		reference, evicted, refused := unevictedBuckets{}, 0, 0
		for i := range 20000 {
			b.now += time.Duration(rng.ExpFloat64() * 10 * float64(ms))
			switch n := rng.IntN(100); {
			case n < 3:
				b.pace = minPace
			case n < 20:
				b.pace = minPace + rng.Float64()*(maxPace-minPace)
			}
			if i%5000 == 4999 {
				m, pace, now := b.Snapshot(b.now), b.pace, b.now
				b = newTestBalancer(t, set, members(2))
				b.now, b.pace = now, pace
				b.Restore(now, m, 0)
			}
			// The set of active tenants shifts every 1000 requests, so that buckets become idle and are evicted.
			tenant, class := fmt.Sprint("t", (rng.IntN(30)+i/1000*25)%60), set.Classes[rng.IntN(3)].Name
			before := len(b.buckets)
			ok, wait := b.admit(tenant, class)
			evicted += max(0, before-len(b.buckets))
			if !ok {
				refused++
			}
			if wantOK, wantWait := reference.admit(b, tenant, class); ok != wantOK || wait != wantWait {
				t.Fatalf("seed %d, request %d of %s: admitted %v and wait %v, want %v and %v as without eviction",
					seed, i, tenant, ok, wait, wantOK, wantWait)
			}
		}
		if evicted < 500 || refused < 500 {
			t.Errorf("seed %d: %d evictions and %d refused requests, want at least 500 of each", seed, evicted, refused)
		}
	}
}

// A full bucket that was handed over keeps its refill time. It may be evicted only once a new bucket would behave the
// same, which is when a whole token's time has passed since the last refill.
func TestRestoredFullBucketKeepsItsRefillTime(t *testing.T) {
	k := bucket{tokens: 3, lastRefill: 0}
	if k.refilled(400*ms, 2, 3) {
		t.Error("evicted before the time of one token has passed: a new bucket would get its next token later")
	}
	if !k.refilled(500*ms, 2, 3) {
		t.Error("not evicted though its next refill would reset the refill time")
	}
}

// More tenants than maxBuckets, each within its quota, are all admitted. Once most of them are idle, the number of
// buckets follows the tenants that are still active.
func TestManyTenantsWithinTheirQuotaAreAdmitted(t *testing.T) {
	const tenants = 20000
	set := testSettings(1)
	set.Tenants = nil
	for i := range tenants {
		set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 2})
	}
	b := newTestBalancer(t, set, members(2))
	admitted := 0
	for range 3 {
		for i := range tenants {
			b.now += time.Second / tenants
			if ok, _ := b.admit(fmt.Sprint("t", i), "free"); ok {
				admitted++
			}
		}
	}
	if admitted != 3*tenants {
		t.Errorf("%d of %d requests admitted from %d tenants that send half of their quota", admitted, 3*tenants, tenants)
	}
	for ok := true; ok; {
		ok, _ = b.admit("t19999", "free")
	}
	snapshot := b.Snapshot(b.now).Buckets
	if len(snapshot) != maxBuckets+1 || !slices.ContainsFunc(snapshot, func(k BucketMemory) bool { return k.Tenant == "t19999" && k.Tokens == 0 }) {
		t.Errorf("the snapshot holds %d buckets, want %d, including the empty one", len(snapshot), maxBuckets+1)
	}
	peak := len(b.buckets)
	if peak <= maxBuckets || peak > tenants {
		t.Errorf("%d buckets for %d tenants", peak, tenants)
	}
	for i := range tenants { // ten tenants send half of their quota for this long
		b.now += 100 * ms
		b.admit(fmt.Sprint("t", i%10), "free")
	}
	if n := len(b.buckets); n > 15 || n != len(b.evictionRing.all) {
		t.Errorf("%d buckets, %d of them in the eviction ring, for 10 active tenants; %d before", n, len(b.evictionRing.all), peak)
	}
}

// The number of buckets for tenant names that clients make up is bounded, also across a handover to a successor, and
// tenants of the settings still get their own buckets.
func TestBucketsOfUnknownTenantsAreBounded(t *testing.T) {
	set := testSettings(1)
	b := newTestBalancer(t, set, members(2))
	for i := range 3 * maxBuckets {
		b.now += time.Millisecond / 100
		b.admit(fmt.Sprint("made up ", i), "free")
	}
	check := func(stage string) {
		t.Helper()
		if n := len(b.buckets); n != maxBuckets+1 || b.evictionRing.unknownTenants != maxBuckets {
			t.Errorf("%s: %d buckets, %d of unknown tenants, want %d of those and one shared bucket", stage, n,
				b.evictionRing.unknownTenants, maxBuckets)
		}
	}
	check("before the handover")
	if ok, _ := b.admit("made up at last", "free"); ok {
		t.Error("a new tenant name is admitted though the shared bucket is empty")
	}
	m := b.Snapshot(b.now)
	next := newTestBalancer(t, set, members(2))
	next.now = b.now
	next.Restore(b.now, m, 0)
	b = next
	check("after the handover")
	for range 3 {
		if ok, _ := b.admit("u", "free"); !ok {
			t.Error("a tenant of the settings is refused after requests from unknown tenants")
		}
	}
}
