package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// keepsAll is admission as it is where no bucket is ever forgotten.
type keepsAll map[bucketKey]*bucket

func (all keepsAll) admit(b *Balancer, tenant, class string) (bool, time.Duration) {
	l, key, ok := b.limitFor(tenant, class)
	if !ok {
		return true, 0
	}
	l.PerWindow *= b.pace
	k := all[key]
	if k == nil {
		k = &bucket{tokens: l.Burst, lastRefill: b.now}
		all[key] = k
	}
	k.refill(b.now, l.perSecond(), l.Burst)
	if k.tokens <= 0 {
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

// A forgotten bucket and a kept one decide alike: on random arrivals, with tenants of the settings and others,
// overrides, a pace that goes up and down as far as it may, and processes that take over from one another.
func TestForgettingFullBucketsChangesNoDecision(t *testing.T) {
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
		old, forgotten, refused := keepsAll{}, 0, 0
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
			// Now one half of the tenants comes often, now the other.
			tenant, class := fmt.Sprint("t", (rng.IntN(30)+i/1000*25)%60), set.Classes[rng.IntN(3)].Name
			was := len(b.buckets)
			ok, wait := b.admit(tenant, class)
			forgotten += max(0, was-len(b.buckets))
			if !ok {
				refused++
			}
			if wantOK, wantWait := old.admit(b, tenant, class); ok != wantOK || wait != wantWait {
				t.Fatalf("seed %d, request %d of %s: admitted %v and wait %v, want %v and %v where no bucket is forgotten",
					seed, i, tenant, ok, wait, wantOK, wantWait)
			}
		}
		if forgotten < 500 || refused < 500 {
			t.Errorf("seed %d: %d buckets forgotten and %d requests refused: too few to show anything", seed, forgotten, refused)
		}
	}
}

// A bucket that was handed over full, with a refill time long gone or just now, is forgotten no sooner than it
// does as a new one.
func TestBucketHandedOverFullKeepsItsRefillTime(t *testing.T) {
	k := bucket{tokens: 3, lastRefill: 0}
	if k.refilled(400*ms, 2, 3) {
		t.Error("forgotten before a token's time has gone by: its next one would come later")
	}
	if !k.refilled(500*ms, 2, 3) {
		t.Error("kept though it refills, and its refill time with it")
	}
}

// More tenants than maxBuckets, in turn and each within its share, are all admitted; when they are quiet, what is
// kept follows from those that still come.
func TestTenantsWithinTheirShareAreAdmittedHoweverManyThereAre(t *testing.T) {
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
		t.Errorf("%d of %d requests admitted of %d tenants that send half of their quota", admitted, 3*tenants, tenants)
	}
	for ok := true; ok; {
		ok, _ = b.admit("t19999", "free")
	}
	told := b.Snapshot(b.now).Buckets
	if len(told) != maxBuckets+1 || !slices.ContainsFunc(told, func(k BucketMemory) bool { return k.Tenant == "t19999" && k.Tokens == 0 }) {
		t.Errorf("a successor is told of %d buckets, want %d and the empty one among them", len(told), maxBuckets+1)
	}
	full := len(b.buckets)
	if full <= maxBuckets || full > tenants {
		t.Errorf("%d buckets of %d tenants", full, tenants)
	}
	for i := range tenants { // for as long as ten tenants send half of their quota
		b.now += 100 * ms
		b.admit(fmt.Sprint("t", i%10), "free")
	}
	if n := len(b.buckets); n > 15 || n != len(b.evictionRing.all) {
		t.Errorf("%d buckets, %d in turn for a look, are kept for 10 tenants, %d before", n, len(b.evictionRing.all), full)
	}
}

// Names that clients make up are bounded, also where a process hands over to the next, and leave the tenants of the
// settings their own.
func TestNamesThatNobodyToldAreBounded(t *testing.T) {
	set := testSettings(1)
	b := newTestBalancer(t, set, members(2))
	for i := range 3 * maxBuckets {
		b.now += time.Millisecond / 100
		b.admit(fmt.Sprint("made up ", i), "free")
	}
	check := func(what string) {
		t.Helper()
		if n := len(b.buckets); n != maxBuckets+1 || b.evictionRing.unknownTenants != maxBuckets {
			t.Errorf("%s: %d buckets, %d of unknown tenants, want %d of those and one that the rest share", what, n,
				b.evictionRing.unknownTenants, maxBuckets)
		}
	}
	check("at first")
	if ok, _ := b.admit("made up at last", "free"); ok {
		t.Error("the shared bucket is empty, and a new name is admitted")
	}
	m := b.Snapshot(b.now)
	next := newTestBalancer(t, set, members(2))
	next.now = b.now
	next.Restore(b.now, m, 0)
	b = next
	check("handed over")
	for range 3 {
		if ok, _ := b.admit("u", "free"); !ok {
			t.Error("a tenant of the settings is refused because others came first")
		}
	}
}
