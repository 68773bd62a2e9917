package policy

// Eviction of token buckets. A full bucket behaves like a new one, which starts full, so it is evicted: the
// number of buckets depends on the tenants in use and not on all tenants ever seen.

// bucketsPerAdmission is how many buckets each admission checks for eviction, round-robin. An admission adds
// at most one bucket, so with three checks the full ones settle at no more than half of those in use.
const bucketsPerAdmission = 3

type bucketKey struct{ tenant, class string }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	tokens     int64
	lastRefill Time
	key        bucketKey
}

// bucketRing holds every bucket except the shared one, for round-robin checks.
type bucketRing struct {
	all            []*bucket
	next           int
	unknownTenants int // buckets of tenants that the settings don't name
}

func (b *Balancer) isKnownTenant(tenant string) bool {
	_, ok := b.tenants[tenant]
	return ok
}

// setBucket sets the level of a bucket, which is created if needed. The bucket under the zero key is shared
// and never evicted.
func (b *Balancer) setBucket(key bucketKey, tokens int64, last Time) *bucket {
	k := b.buckets[key]
	if k == nil {
		k = &bucket{key: key}
		b.buckets[key] = k
		if key != (bucketKey{}) {
			b.evictionRing.all = append(b.evictionRing.all, k)
			if !b.isKnownTenant(key.tenant) {
				b.evictionRing.unknownTenants++
			}
		}
	}
	k.tokens, k.lastRefill = tokens, last
	return k
}

// evictRefilled checks the next few buckets and evicts the full ones. The pace may fall between now and a
// tenant's next request, so a bucket counts as full only if it is full at the lowest pace: at the present
// one, a bucket evicted just before a cut would hand out tokens that it hadn't refilled.
func (b *Balancer) evictRefilled() {
	r := &b.evictionRing
	for range min(bucketsPerAdmission, len(r.all)) {
		if r.next >= len(r.all) {
			r.next = 0
		}
		k := r.all[r.next]
		l, _, _ := b.limitFor(k.key.tenant, k.key.class)
		l.PerWindow *= minPace
		if !k.refilled(b.now, l.perSecond(), l.Burst) {
			r.next++
			continue
		}
		delete(b.buckets, k.key)
		if !b.isKnownTenant(k.key.tenant) {
			r.unknownTenants--
		}
		last := len(r.all) - 1
		r.all[r.next], r.all[last] = r.all[last], nil
		r.all = r.all[:last]
	}
}

// snapshotBuckets returns the buckets that a successor should know. It is called several times a second, so
// it returns at most maxBuckets and the shared one; empty buckets come first, since only those refuse at
// once.
func (b *Balancer) snapshotBuckets(now Time) (all []BucketMemory) {
	add := func(k *bucket) {
		all = append(all, BucketMemory{Tenant: k.key.tenant, Class: k.key.class, Tokens: k.tokens, Age: now - k.lastRefill})
	}
	if k := b.buckets[bucketKey{}]; k != nil {
		add(k)
	}
	for _, empty := range []bool{true, false} {
		for _, k := range b.evictionRing.all {
			if len(all) > maxBuckets {
				return all
			}
			if (k.tokens <= 0) == empty {
				add(k)
			}
		}
	}
	return all
}
