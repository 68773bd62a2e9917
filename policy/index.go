package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"iter"
	"math"
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
	list  int  // the last whole list that named it, or came before it; 0: none yet
	turn  int  // place in the roll
	gone  bool // not listed any more
	in    bool // in service: running and listed
	group *group
	adds  int // its part of crowdOut,
	one   int // and of crowdOf
	wake  Time
	fault float64 // faults as of its last rank
	spots [3]int  // place in each of the heaps, from 1; 0: in none
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
		{&x.wakes, inWakes, func(s, t *server) bool { return s.wake < t.wake }},
		{&x.lower, inLower, func(s, t *server) bool { return s.fault > t.fault }},
		{&x.upper, inUpper, func(s, t *server) bool { return s.fault < t.fault }},
	} {
		*h.heap = serverHeap{spot: h.spot, less: h.less, visits: x.visits}
	}
	return x
}

// pool is the servers that the classes of one binding are open to.
type pool struct {
	own, others part   // of this node's zone, and of the others
	ejected     int    // servers of it that are ejected
	named       bool   // classes of the settings are sent to it
	safest      Repeat // of these classes
	class       *class // the first of them, of one that is bound
}

func newPool(visits *int) pool { return pool{own: part{visits: visits}, others: part{visits: visits}} }

func (p *pool) len() int { return p.own.n + p.others.n }

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
}

type groupKey struct{ kind, zone string }

// group is what all servers of one kind in one zone have alike.
type group struct {
	groupKey
	pools  []*pool // that they lie in, the fleet first
	safest Repeat  // of the classes that they are open to: those give the trials
}

// groupOf finds the group of s. Groups are never changed, so one that was forgotten still serves.
func (b *Balancer) groupOf(s *server) *group {
	key := groupKey{s.Kind, s.Zone}
	if g := b.groups[key]; g != nil {
		return g
	}
	if len(b.groups) > 2*len(b.servers)+64 { // most have no servers any more
		clear(b.groups)
	}
	g := &group{groupKey: key, pools: []*pool{&b.fleet}, safest: b.fleet.safest}
	for _, among := range [][]*pool{b.byKind[s.Kind], b.anyKind} {
		for _, p := range among {
			if *b.visits++; p.class.permits(s) {
				g.pools, g.safest = append(g.pools, p), max(g.safest, p.safest)
			}
		}
	}
	b.groups[key] = g
	return g
}

// walk goes through the servers of p in packing order. All pools are walked from where the fleet is, so
// each has the fleet's order.
func (b *Balancer) walk(p *pool) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		_ = p.own.walk(b.fleet.own.first, yield) && p.others.walk(b.fleet.others.first, yield)
	}
}

// walkOwn goes through those of this node's zone.
func (b *Balancer) walkOwn(p *pool) iter.Seq[*server] {
	return func(yield func(*server) bool) { p.own.walk(b.fleet.own.first, yield) }
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
	delete(b.servers, s.Server)
}

// enter brings a server into service, with the place, the group and the health that it has now.
func (b *Balancer) enter(s *server) {
	s.in, s.own = true, s.Zone == b.set.Zone
	b.zones[s.Zone]++
	for _, p := range s.group.pools {
		p.part(s).insert(s)
		if s.health.out {
			p.ejected++
		}
	}
	b.recount(s)
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
	for _, p := range s.group.pools {
		p.part(s).remove(s)
		if s.health.out {
			p.ejected--
		}
	}
	b.recount(s)
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
	b.recount(s)
}

const never = Time(math.MaxInt64)

// recount puts right what s adds to the crowd. It has to follow each change of what s holds, of its health
// and of its place; what time alone changes is looked at in crowd.
func (b *Balancer) recount(s *server) {
	if !b.many() { // nothing asks for it
		return
	}
	adds, one, wake := 0, 0, never
	switch {
	case !s.in:
	case b.crowds(s):
		adds, one = b.holds(s), 1
		for _, g := range s.lateResponses {
			wake = min(wake, g.until)
		}
	case !s.health.out: // cold; a start far ahead of the clock must not wrap around
		if at := s.OnlineSince + b.set.Rules.ColdFor; at >= s.OnlineSince {
			wake = at
		}
	}
	b.crowdOut += adds - s.adds
	b.crowdOf += one - s.one
	s.adds, s.one, s.wake = adds, one, wake
	b.wakes.set(s, wake < never)
}

// crowd is how many attempts the servers that count hold by now, and how many these servers are.
func (b *Balancer) crowd() (out, of int) {
	for len(b.wakes.servers) > 0 && b.wakes.servers[0].wake <= b.now {
		b.recount(b.wakes.servers[0])
	}
	return b.crowdOut, b.crowdOf
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

// chunkMost is how many servers a change may move in a part: these lie in a few kilobytes.
const chunkMost = 512

// part is a set of servers in id order, in chunks.
type part struct {
	chunks [][]*server // none is empty
	n      int
	first  *server // where walks begin; nil for the first of all
	before int     // servers before that
	visits *int
}

// find returns the place of the first server with that id or a greater one, which may be a chunk's end.
func (p *part) find(id string) (c, i int) {
	c, _ = slices.BinarySearchFunc(p.chunks, id, func(chunk []*server, id string) int {
		*p.visits++
		return cmp.Compare(chunk[0].Server, id)
	})
	if c < len(p.chunks) && p.chunks[c][0].Server == id {
		return c, 0
	}
	if c = max(0, c-1); len(p.chunks) > 0 {
		i, _ = slices.BinarySearchFunc(p.chunks[c], id, func(s *server, id string) int {
			*p.visits++
			return cmp.Compare(s.Server, id)
		})
	}
	return c, i
}

func (p *part) insert(s *server) {
	c, i := p.find(s.Server)
	if len(p.chunks) == 0 {
		p.chunks = append(p.chunks, nil)
	}
	chunk := slices.Insert(p.chunks[c], i, s)
	p.chunks[c] = chunk
	if half := len(chunk) / 2; len(chunk) > chunkMost {
		p.chunks = slices.Insert(p.chunks, c+1, slices.Clone(chunk[half:]))
		p.chunks[c] = slices.Delete(chunk, half, len(chunk))
	}
	p.n++
	if p.first != nil && s.Server < p.first.Server {
		p.before++
	}
}

func (p *part) remove(s *server) {
	c, i := p.find(s.Server)
	p.chunks[c] = slices.Delete(p.chunks[c], i, i+1)
	if next := c + 1; next < len(p.chunks) && len(p.chunks[c])+len(p.chunks[next]) <= chunkMost/2 {
		p.chunks[c] = append(p.chunks[c], p.chunks[next]...)
		p.chunks = slices.Delete(p.chunks, next, next+1)
	}
	if len(p.chunks[c]) == 0 {
		p.chunks = slices.Delete(p.chunks, c, c+1)
	}
	p.n--
	switch {
	case p.first == s:
		p.first = nil
	case p.first != nil && s.Server < p.first.Server:
		p.before--
	}
}

// turn lets walks begin at the k-th server, counted from 0. It goes there from the last place, as one
// change shifts it by one or two.
func (p *part) turn(k int) {
	if p.n == 0 {
		p.first = nil
		return
	}
	k %= p.n
	c, i := 0, 0
	if p.first == nil {
		p.before = 0
	} else {
		c, i = p.find(p.first.Server)
	}
	for i += k - p.before; i < 0; i += len(p.chunks[c]) {
		*p.visits++
		c--
	}
	for ; i >= len(p.chunks[c]); c++ {
		*p.visits++
		i -= len(p.chunks[c])
	}
	p.first, p.before = p.chunks[c][i], k
}

// walk goes through the part from the first server with from's id or a greater one, and around.
func (p *part) walk(from *server, yield func(*server) bool) bool {
	if p.n == 0 {
		return true
	}
	c, i := 0, 0
	if from != nil {
		c, i = p.find(from.Server)
	}
	if !p.each(p.chunks[c][i:], yield) {
		return false
	}
	for _, chunk := range p.chunks[c+1:] {
		if !p.each(chunk, yield) {
			return false
		}
	}
	for _, chunk := range p.chunks[:c] {
		if !p.each(chunk, yield) {
			return false
		}
	}
	return p.each(p.chunks[c][:i], yield)
}

func (p *part) each(servers []*server, yield func(*server) bool) bool {
	for _, s := range servers {
		if *p.visits++; !yield(s) {
			return false
		}
	}
	return true
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
