package policy

// Which token buckets are kept. A bucket that is full again tells nothing that a new one, full at its start,
// would not: it is forgotten, so that what is kept follows from the tenants in use and not from all that ever came.

// looks is how many buckets each admission looks at, in turn, for one to forget. An admission adds one bucket at
// most, so with three the full ones settle at half of those in use or fewer.
const looks = 3

type bucketKey struct{ tenant, class string }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	tokens int64
	last   Time
	key    bucketKey
}

// bucketRing holds every bucket but the shared one, for the looks to go round.
type bucketRing struct {
	all     []*bucket
	hand    int
	unknown int // buckets of tenants that the settings don't name
}

func (b *Balancer) known(tenant string) bool {
	_, ok := b.tenants[tenant]
	return ok
}

// keep begins a bucket, in place of one that there is. The one under the zero key is shared and never forgotten.
func (b *Balancer) keep(key bucketKey, tokens int64, last Time) *bucket {
	k := b.buckets[key]
	if k == nil {
		k = &bucket{key: key}
		b.buckets[key] = k
		if key != (bucketKey{}) {
			b.lookedAt.all = append(b.lookedAt.all, k)
			if !b.known(key.tenant) {
				b.lookedAt.unknown++
			}
		}
	}
	k.tokens, k.last = tokens, last
	return k
}

// forgetRefilled looks at the next few buckets and forgets those that are full. The pace may fall between now and
// a tenant's next request, so full is reckoned at the least pace that there is: at the present one, a bucket
// forgotten just before a cut would hand out tokens that it hadn't refilled.
func (b *Balancer) forgetRefilled() {
	r := &b.lookedAt
	for range min(looks, len(r.all)) {
		if r.hand >= len(r.all) {
			r.hand = 0
		}
		k := r.all[r.hand]
		l, _, _ := b.limitFor(k.key.tenant, k.key.class)
		l.PerWindow *= paceLeast
		if !k.refilled(b.now, l.perSecond(), l.Burst) {
			r.hand++
			continue
		}
		delete(b.buckets, k.key)
		if !b.known(k.key.tenant) {
			r.unknown--
		}
		last := len(r.all) - 1
		r.all[r.hand], r.all[last] = r.all[last], nil
		r.all = r.all[:last]
	}
}

// snapshotBuckets is what a successor should know of buckets. It is asked for several times a second, so it is no
// longer than it was for maxBuckets and the shared one; the empty ones come first, for only those refuse at once.
func (b *Balancer) snapshotBuckets(now Time) (all []BucketMemory) {
	add := func(k *bucket) {
		all = append(all, BucketMemory{Tenant: k.key.tenant, Class: k.key.class, Tokens: k.tokens, Age: now - k.last})
	}
	if k := b.buckets[bucketKey{}]; k != nil {
		add(k)
	}
	for _, empty := range []bool{true, false} {
		for _, k := range b.lookedAt.all {
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
