package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"iter"
	"slices"
)

// Indexes of the servers in service, so that an event costs what it changes and not what the node knows
// of; no decisions here. Only the methods of this file change them.

// index is what a node keeps of all servers in service together.
type index struct {
	fleet    pool
	bindings map[string]*pool // of the classes bound to kinds or zones, by these
	byKind   map[string][]*pool
	anyKind  []*pool // bound to zones alone
	groups   map[groupKey]*group
	zones    map[string]int // servers in service in each zone that has any
	crowdOut int            // attempts held by the servers that crowds tells of,
	crowdOf  int            // and how many these are
	wakes    serverHeap     // by the time from which a server counts otherwise, though nothing happens
	ring     []*server      // those whose state follows from figures of other servers too, looked at in turn
	hand     int            // whose turn is next in it
	byCell   bool           // some class may be repeated within a cell
	lower    serverHeap     // the lower half of the faults of servers that answered, the greatest first,
	upper    serverHeap     // and the others, the least first
	lists    int            // whole lists heard, and one
	roll     []*server      // as the last whole list has them, then those that came since; some are gone
	past     []*server      // while a whole list is taken in, the roll before,
	next     int            // whose turn is next in that,
	left     int            // and how many listed ones of it weren't named yet
	visits   *int           // entries looked at so far: tests hold this against the size
}

// indexed is what the indexes keep in each server. What a whole list asks for lies together.
type indexed struct {
	list   int  // the last whole list that named it, or came before it; 0: none yet
	turn   int  // place in the roll
	gone   bool // not listed any more
	in     bool // in service: running and listed
	group  *group
	status status  // as the indexes have it
	fault  float64 // faults as of its last rank
	spots  [3]int  // place in each of the heaps, from 1; 0: in none
	ringAt int     // place in the ring, from 1; 0: not in it
}

const (
	inWakes = iota
	inLower
	inUpper
)

func newIndex() index {
	x := index{bindings: make(map[string]*pool), byKind: make(map[string][]*pool),
		groups: make(map[groupKey]*group), zones: make(map[string]int), lists: 1, visits: new(int)}
	x.fleet = newPool(x.visits)
	for _, h := range []struct {
		heap *serverHeap
		spot int
		less func(s, t *server) bool
	}{
		{&x.wakes, inWakes, func(s, t *server) bool { return s.status.wake < t.status.wake }},
		{&x.lower, inLower, func(s, t *server) bool { return s.fault > t.fault }},
		{&x.upper, inUpper, func(s, t *server) bool { return s.fault < t.fault }},
	} {
		*h.heap = serverHeap{spot: h.spot, less: h.less, visits: x.visits}
	}
	return x
}

// pool is the servers that the classes of one binding are open to, or those of them in one zone or cell.
type pool struct {
	own, others part   // of this node's zone, and of the others
	ejected     int    // servers of it that are ejected
	named       bool   // classes of the settings are sent to it
	safest      Repeat // of these classes
	class       *class // the first of them, of one that is bound

	byZone, byCell bool             // what ran may be repeated within its zone, or its cell
	zones          map[string]*pool // the parts of it for that
	cells          map[int64]*pool
	groups         int // of such a part: groups that lie in it
}

func newPool(visits *int) pool { return pool{own: newPart(visits), others: newPart(visits)} }

func (p *pool) len() int { return p.own.serving.len() + p.others.serving.len() }

// part is the part of p that s lies in.
func (p *pool) part(s *server) *part {
	if s.own {
		return &p.own
	}
	return &p.others
}

// bind gives c the pool of its binding.
func (b *Balancer) bind(c *class) {
	c.open = &b.fleet
	if len(c.Kinds)+len(c.Zones) > 0 {
		kinds := slices.Compact(slices.Sorted(slices.Values(c.Kinds)))
		zones := slices.Compact(slices.Sorted(slices.Values(c.Zones)))
		key := fmt.Sprintf("%q %q", kinds, zones)
		if b.bindings[key] == nil {
			p := newPool(b.visits)
			p.class = c
			b.bindings[key] = &p
			for _, kind := range kinds {
				b.byKind[kind] = append(b.byKind[kind], &p)
			}
			if len(kinds) == 0 {
				b.anyKind = append(b.anyKind, &p)
			}
		}
		c.open = b.bindings[key]
	}
	c.open.named, c.open.safest = true, max(c.open.safest, c.Repeat)
	if c.Repeat == Guarded {
		c.open.byZone = c.open.byZone || c.Group == GroupZone
		c.open.byCell = c.open.byCell || c.Group == GroupCell
		b.byCell = b.byCell || c.open.byCell
	}
}

// groupKey names a group. The cell counts where classes may be repeated within one, else it is 0.
type groupKey struct {
	kind, zone string
	cell       int64
}

// group is what all servers of one kind in one zone, and one cell where that counts, have alike.
type group struct {
	groupKey
	servers int     // listed ones
	pools   []*pool // that they lie in, the fleet first
	safest  Repeat  // of the classes that they are open to: those give the trials
}

// groupOf finds the group of s, and counts s in.
func (b *Balancer) groupOf(s *server) *group {
	key := groupKey{kind: s.Kind, zone: s.Zone}
	if b.byCell {
		key.cell = s.Cell
	}
	g := b.groups[key]
	if g == nil {
		g = b.newGroup(key, s)
		b.groups[key] = g
	}
	g.servers++
	return g
}

func (b *Balancer) newGroup(key groupKey, s *server) *group {
	g := &group{groupKey: key, pools: []*pool{&b.fleet}, safest: b.fleet.safest}
	for _, among := range [][]*pool{b.byKind[s.Kind], b.anyKind} {
		for _, p := range among {
			if *b.visits++; p.class.permits(s) {
				g.pools, g.safest = append(g.pools, p), max(g.safest, p.safest)
			}
		}
	}
	for _, p := range g.pools[:len(g.pools):len(g.pools)] {
		if p.byZone {
			g.pools = append(g.pools, subPool(&p.zones, key.zone, b.visits))
		}
		if p.byCell {
			g.pools = append(g.pools, subPool(&p.cells, key.cell, b.visits))
		}
	}
	return g
}

// subPool returns the part of a pool under a key, which is made when it is first needed, for one group more.
func subPool[K comparable](among *map[K]*pool, key K, visits *int) *pool {
	if *among == nil {
		*among = make(map[K]*pool)
	}
	p := (*among)[key]
	if p == nil {
		made := newPool(visits)
		p = &made
		(*among)[key] = p
	}
	p.groups++
	return p
}

// quit counts a server out of its group, which is forgotten with its last one.
func (b *Balancer) quit(g *group) {
	if g.servers--; g.servers > 0 {
		return
	}
	delete(b.groups, g.groupKey)
	for _, p := range g.pools {
		if p.byZone {
			quitSubPool(p.zones, g.zone)
		}
		if p.byCell {
			quitSubPool(p.cells, g.cell)
		}
	}
}

func quitSubPool[K comparable](among map[K]*pool, key K) {
	p := among[key]
	if p.groups--; p.groups == 0 {
		delete(among, key)
	}
}

// walk goes through the servers of p in packing order. All pools are walked from where the fleet is, so
// each has the fleet's order.
func (b *Balancer) walk(p *pool) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		_ = p.own.serving.each(b.fleet.own.first, yield) && p.others.serving.each(b.fleet.others.first, yield)
	}
}

// packed compares servers in service by the packing order.
func (b *Balancer) packed(x, y *server) int {
	if x.own != y.own {
		if x.own {
			return -1
		}
		return 1
	}
	first := b.fleet.part(x).first.Server
	if before := x.Server < first; before != (y.Server < first) {
		if before {
			return 1
		}
		return -1
	}
	return cmp.Compare(x.Server, y.Server)
}

// startRoll begins a whole list of so many entries.
func (b *Balancer) startRoll(entries int) {
	b.lists++
	b.past, b.next, b.left = b.roll, 0, len(b.servers)
	b.roll = make([]*server, 0, entries)
}

// find returns the server listed by that id, or nil. Whole lists mostly come in the order of the last, and
// to go along that is far cheaper than tens of thousands of look-ups all over the memory.
func (b *Balancer) find(id string) *server {
	*b.visits++
	if b.next < len(b.past) {
		if s := b.past[b.next]; !s.gone && s.Server == id {
			b.next++
			return s
		}
	}
	s := b.servers[id]
	if s != nil {
		b.next = s.turn + 1
	}
	return s
}

// enrol notes that the list names s.
func (b *Balancer) enrol(s *server) {
	if s.list == b.lists {
		return
	}
	if len(b.roll) > 2*len(b.servers)+64 && b.past == nil { // most are gone
		b.roll = slices.DeleteFunc(b.roll, func(s *server) bool { return s.gone })
		for i, s := range b.roll {
			*b.visits++
			s.turn = i
		}
	}
	if s.list > 0 {
		b.left--
	}
	s.list, s.turn = b.lists, len(b.roll)
	b.roll = append(b.roll, s)
}

// endRoll returns the servers that the whole list left out.
func (b *Balancer) endRoll() (missing []*server) {
	for i := 0; i < len(b.past) && len(missing) < b.left; i++ {
		if *b.visits++; !b.past[i].gone && b.past[i].list != b.lists {
			missing = append(missing, b.past[i])
		}
	}
	b.past = nil
	return missing
}

// forget takes s off the list.
func (b *Balancer) forget(s *server) {
	b.leave(s)
	if s.gone = true; s.list > 0 && s.list < b.lists {
		b.left--
	}
	b.quit(s.group)
	delete(b.servers, s.Server)
	if s.usedAt != nil {
		b.used.Remove(s.usedAt)
		s.usedAt = nil
	}
}

// enter brings a server into service, with the place, the group and the health that it has now.
func (b *Balancer) enter(s *server) {
	s.in, s.own = true, s.Zone == b.set.Zone
	b.zones[s.Zone]++
	for _, p := range s.group.pools {
		p.part(s).insert(s, b.set.WarmKeys)
		if s.health.out {
			p.ejected++
		}
	}
	b.refresh(s)
	b.rank(s)
}

// leave takes a server out of service, if it is in; it has to come before its entry changes.
func (b *Balancer) leave(s *server) {
	if !s.in {
		return
	}
	s.in = false
	if b.zones[s.Zone]--; b.zones[s.Zone] == 0 {
		delete(b.zones, s.Zone)
	}
	b.refresh(s)
	for _, p := range s.group.pools {
		p.part(s).remove(s, b.set.WarmKeys)
		if s.health.out {
			p.ejected--
		}
	}
	b.rank(s)
}

// setOut ejects a server or takes it back. Those that are not in service count nowhere.
func (b *Balancer) setOut(s *server, out bool) {
	if s.in && s.health.out != out {
		by := 1
		if !out {
			by = -1
		}
		for _, p := range s.group.pools {
			*b.visits++
			p.ejected += by
		}
	}
	s.health.out = out
	b.refresh(s)
}

// rank puts s in its place among the faults. It has to follow each change of these, and of its place; that
// it answered is seen with the next.
func (b *Balancer) rank(s *server) {
	in, was := s.in && s.lastDone > 0, s.spots[inLower]+s.spots[inUpper] > 0
	if in == was && s.fault == s.faults {
		return
	}
	s.fault = s.faults
	switch low, up := b.lower.servers, b.upper.servers; {
	case in && s.spots[inLower] > 0 && (len(up) == 0 || s.fault <= up[0].fault):
		b.lower.set(s, true)
		return
	case in && s.spots[inUpper] > 0 && s.fault >= low[0].fault:
		b.upper.set(s, true)
		return
	}
	b.lower.set(s, false)
	b.upper.set(s, false)
	b.halve()
	if !in {
		return
	}
	half := &b.lower
	if low := b.lower.servers; len(low) > 0 && s.fault > low[0].fault {
		half = &b.upper
	}
	half.set(s, true)
	b.halve()
}

// halve moves what one half has too much to the other: the lower has one more of an odd number.
func (b *Balancer) halve() {
	for len(b.lower.servers) > len(b.upper.servers)+1 {
		s := b.lower.servers[0]
		b.lower.set(s, false)
		b.upper.set(s, true)
	}
	for len(b.lower.servers) < len(b.upper.servers) {
		s := b.upper.servers[0]
		b.upper.set(s, false)
		b.lower.set(s, true)
	}
}

// median is the server with the lower median of the faults among those that answered; nil if none did.
func (b *Balancer) median() *server {
	if len(b.lower.servers) == 0 {
		return nil
	}
	return b.lower.servers[0]
}

// part is a set of servers in service, in id order.
type part struct {
	serving orderTree // all of them
	cold    orderTree // those in slow start
	ejected [Free + 1]orderTree
	keys    keyTrie
	first   *server // where walks begin; nil for the first of all
}

func newPart(visits *int) part {
	p := part{serving: orderTree{visits: visits}, cold: orderTree{visits: visits}, keys: keyTrie{visits: visits}}
	for i := range p.ejected {
		p.ejected[i].visits = visits
	}
	return p
}

// insert adds a server, for which the indexes know no status yet.
func (p *part) insert(s *server, byKey bool) {
	p.serving.insert(s, allAbsent)
	if byKey {
		p.keys.insert(s)
	}
}

// remove takes a server out, after its status.
func (p *part) remove(s *server, byKey bool) {
	p.serving.remove(s)
	if byKey {
		p.keys.remove(s)
	}
	if p.first == s {
		p.first = nil
	}
}

// update follows a change of a server's status.
func (p *part) update(s *server, was, now status) {
	if was.keys != now.keys {
		p.serving.set(s, now.keys)
	}
	move(&p.cold, s, was.cold, now.cold, was.keys, now.keys)
	move(&p.ejected[s.group.safest], s, was.out, now.out, treeKeys{readyKey: was.ready}, treeKeys{readyKey: now.ready})
}

// move has a tree hold a server or not.
func move(t *orderTree, s *server, was, is bool, old, keys treeKeys) {
	switch {
	case was && !is:
		t.remove(s)
	case is && !was:
		t.insert(s, keys)
	case is && keys != old:
		t.set(s, keys)
	}
}

// turn lets walks begin at the k-th server, counted from 0.
func (p *part) turn(k int) {
	p.first = nil
	if n := p.serving.len(); n > 0 {
		p.first = p.serving.at(k % n)
	}
}

// serverHeap is a heap of servers that knows the place of each.
type serverHeap struct {
	servers []*server
	less    func(s, t *server) bool
	spot    int
	visits  *int
}

// set puts s in its place, or takes it out.
func (h *serverHeap) set(s *server, in bool) {
	switch at := s.spots[h.spot] - 1; {
	case in && at < 0:
		heap.Push(h, s)
	case in:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

func (h *serverHeap) Len() int { return len(h.servers) }

func (h *serverHeap) Less(i, j int) bool {
	*h.visits++
	return h.less(h.servers[i], h.servers[j])
}

func (h *serverHeap) Swap(i, j int) {
	h.servers[i], h.servers[j] = h.servers[j], h.servers[i]
	h.servers[i].spots[h.spot], h.servers[j].spots[h.spot] = i+1, j+1
}

func (h *serverHeap) Push(s any) {
	h.servers = append(h.servers, s.(*server))
	h.servers[len(h.servers)-1].spots[h.spot] = len(h.servers)
}

func (h *serverHeap) Pop() any {
	last := len(h.servers) - 1
	s := h.servers[last]
	h.servers[last] = nil
	h.servers, s.spots[h.spot] = h.servers[:last], 0
	return s
}
