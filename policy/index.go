package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"iter"
	"slices"
)

// Indexes over the servers in service, so that the cost of an event depends on what it changes and not on the
// size of the fleet. They make no decisions, and only the methods in this file and in status.go modify them.

// serverIndex holds the indexes over all servers in service.
type serverIndex struct {
	fleet            pool
	poolsByBinding   map[string]*pool // pools of classes that are bound to kinds or zones, by the binding
	poolsByKind      map[string][]*pool
	poolsOfAnyKind   []*pool // pools of classes that are bound to zones only
	groups           map[groupKey]*group
	totalSize        float64        // sum of the sizes of the servers in service
	serversByZone    map[string]int // number of servers in service in each zone that has any
	warmOutstanding  int            // outstanding attempts of warm servers that are not ejected
	warmServers      int            // number of these servers
	reevaluationHeap serverHeap     // by the time at which a server's status changes without an event
	rotation         []*server      // servers whose status also depends on other servers, reevaluated round-robin
	rotationCursor   int            // round-robin position in rotation
	splitByCell      bool           // some class may be repeated within a cell
	lowerFaults      serverHeap     // max-heap of the lower half of the fault rates of servers that have answered
	upperFaults      serverHeap     // min-heap of the upper half
	listGeneration   int            // number of full lists received, plus 1
	membershipOrder  []*server      // by the last full list, then by addition; may contain delisted servers
	previousOrder    []*server      // while a full list is applied: membershipOrder before it
	previousNext     int            // position in previousOrder of the next expected server
	previousUnseen   int            // listed servers of previousOrder that the list has not named yet
	visits           *int           // entries visited so far; tests compare it with the size of the fleet
}

// indexEntry is the indexes' part of each server. The fields that are read while a full list is applied are
// adjacent.
type indexEntry struct {
	generation       int  // listGeneration when a list last named it; 0: not yet
	listPosition     int  // position in membershipOrder
	delisted         bool // not listed any more
	inService        bool // in service: running and listed
	group            *group
	status           status  // as indexed
	rankedFaultRate  float64 // fault rate as of the last call of rankFaults
	heapPositions    [3]int  // 1-based position in each of the heaps; 0: not in it
	rotationPosition int     // 1-based position in serverIndex.rotation; 0: not in it
}

const (
	reevaluationHeapID = iota
	lowerFaultsID
	upperFaultsID
)

func newServerIndex() serverIndex {
	x := serverIndex{poolsByBinding: make(map[string]*pool), poolsByKind: make(map[string][]*pool),
		groups: make(map[groupKey]*group), serversByZone: make(map[string]int), listGeneration: 1, visits: new(int)}
	x.fleet = newPool(x.visits)
	for _, h := range []struct {
		heap *serverHeap
		id   int
		less func(s, t *server) bool
	}{
		{&x.reevaluationHeap, reevaluationHeapID, func(s, t *server) bool { return s.status.reevaluateAt < t.status.reevaluateAt }},
		{&x.lowerFaults, lowerFaultsID, func(s, t *server) bool { return s.rankedFaultRate > t.rankedFaultRate }},
		{&x.upperFaults, upperFaultsID, func(s, t *server) bool { return s.rankedFaultRate < t.rankedFaultRate }},
	} {
		*h.heap = serverHeap{id: h.id, less: h.less, visits: x.visits}
	}
	return x
}

// pool holds the servers that the classes of one binding may use, or those of them in one zone or cell.
type pool struct {
	ownZone, otherZones serverSet // servers in this node's zone, and in the others
	ejectedCount        int       // number of ejected servers in the pool
	hasClasses          bool      // at least one class of the settings uses the pool
	mostRepeatable      Repeat    // highest Repeat of these classes
	boundClass          *class    // first of these classes, if the pool has a binding

	splitByZone, splitByCell bool             // a request that may have run can be repeated within its zone, or its cell
	zonePools                map[string]*pool // the pool's servers by zone, for such repeats
	cellPools                map[int64]*pool
	groupCount               int // of a zone or cell pool: number of groups in it
}

func newPool(visits *int) pool {
	return pool{ownZone: newServerSet(visits), otherZones: newServerSet(visits)}
}

func (p *pool) len() int { return p.ownZone.serving.len() + p.otherZones.serving.len() }

// setOf returns the set of p that s belongs to.
func (p *pool) setOf(s *server) *serverSet {
	if s.inOwnZone {
		return &p.ownZone
	}
	return &p.otherZones
}

// assignPool gives c the pool of its binding, and creates it if needed.
func (b *Balancer) assignPool(c *class) {
	c.eligible = &b.fleet
	if len(c.Kinds)+len(c.Zones) > 0 {
		kinds := slices.Compact(slices.Sorted(slices.Values(c.Kinds)))
		zones := slices.Compact(slices.Sorted(slices.Values(c.Zones)))
		key := fmt.Sprintf("%q %q", kinds, zones)
		if b.poolsByBinding[key] == nil {
			p := newPool(b.visits)
			p.boundClass = c
			b.poolsByBinding[key] = &p
			for _, kind := range kinds {
				b.poolsByKind[kind] = append(b.poolsByKind[kind], &p)
			}
			if len(kinds) == 0 {
				b.poolsOfAnyKind = append(b.poolsOfAnyKind, &p)
			}
		}
		c.eligible = b.poolsByBinding[key]
	}
	c.eligible.hasClasses, c.eligible.mostRepeatable = true, max(c.eligible.mostRepeatable, c.Repeat)
	if c.Repeat == Guarded {
		c.eligible.splitByZone = c.eligible.splitByZone || c.Group == GroupZone
		c.eligible.splitByCell = c.eligible.splitByCell || c.Group == GroupCell
		b.splitByCell = b.splitByCell || c.eligible.splitByCell
	}
}

// groupKey identifies a group. The cell is 0 unless some class may be repeated within a cell.
type groupKey struct {
	kind, zone string
	cell       int64
}

// group is what all servers of one kind in one zone have in common; if some class may be repeated within a
// cell, also of one cell.
type group struct {
	groupKey
	serverCount    int     // listed servers in the group
	pools          []*pool // pools that contain its servers, the fleet first
	mostRepeatable Repeat  // highest Repeat of the classes that may use its servers; their requests are used for trials
}

// joinGroup returns the group of s, which is created if needed, and counts s in it.
func (b *Balancer) joinGroup(s *server) *group {
	key := groupKey{kind: s.Kind, zone: s.Zone}
	if b.splitByCell {
		key.cell = s.Cell
	}
	g := b.groups[key]
	if g == nil {
		g = b.newGroup(key, s)
		b.groups[key] = g
	}
	g.serverCount++
	return g
}

func (b *Balancer) newGroup(key groupKey, s *server) *group {
	g := &group{groupKey: key, pools: []*pool{&b.fleet}, mostRepeatable: b.fleet.mostRepeatable}
	for _, pools := range [][]*pool{b.poolsByKind[s.Kind], b.poolsOfAnyKind} {
		for _, p := range pools {
			if *b.visits++; p.boundClass.permits(s) {
				g.pools, g.mostRepeatable = append(g.pools, p), max(g.mostRepeatable, p.mostRepeatable)
			}
		}
	}
	for _, p := range g.pools[:len(g.pools):len(g.pools)] {
		if p.splitByZone {
			g.pools = append(g.pools, acquireSubPool(&p.zonePools, key.zone, b.visits))
		}
		if p.splitByCell {
			g.pools = append(g.pools, acquireSubPool(&p.cellPools, key.cell, b.visits))
		}
	}
	return g
}

// acquireSubPool returns the pool for a zone or cell, which is created if needed, and counts one more group
// in it.
func acquireSubPool[K comparable](pools *map[K]*pool, key K, visits *int) *pool {
	if *pools == nil {
		*pools = make(map[K]*pool)
	}
	p := (*pools)[key]
	if p == nil {
		made := newPool(visits)
		p = &made
		(*pools)[key] = p
	}
	p.groupCount++
	return p
}

// leaveGroup counts one server less in g, and deletes g with its last server.
func (b *Balancer) leaveGroup(g *group) {
	if g.serverCount--; g.serverCount > 0 {
		return
	}
	delete(b.groups, g.groupKey)
	for _, p := range g.pools {
		if p.splitByZone {
			releaseSubPool(p.zonePools, g.zone)
		}
		if p.splitByCell {
			releaseSubPool(p.cellPools, g.cell)
		}
	}
}

func releaseSubPool[K comparable](pools map[K]*pool, key K) {
	p := pools[key]
	if p.groupCount--; p.groupCount == 0 {
		delete(pools, key)
	}
}

// walk iterates over the servers of p in packing order. Every pool is walked from the fleet's starting
// points, so that its order agrees with the fleet's.
func (b *Balancer) walk(p *pool) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		_ = p.ownZone.serving.each(b.fleet.ownZone.walkStart, yield) && p.otherZones.serving.each(b.fleet.otherZones.walkStart, yield)
	}
}

// comparePacking compares two servers in service by packing order.
func (b *Balancer) comparePacking(x, y *server) int {
	if x.inOwnZone != y.inOwnZone {
		if x.inOwnZone {
			return -1
		}
		return 1
	}
	first := b.fleet.setOf(x).walkStart.Server
	if before := x.Server < first; before != (y.Server < first) {
		if before {
			return 1
		}
		return -1
	}
	return cmp.Compare(x.Server, y.Server)
}

// beginFullList starts to apply a full list with the given number of entries.
func (b *Balancer) beginFullList(entries int) {
	b.listGeneration++
	b.previousOrder, b.previousNext, b.previousUnseen = b.membershipOrder, 0, len(b.servers)
	b.membershipOrder = make([]*server, 0, entries)
}

// findListed returns the listed server with the given id, or nil. Full lists mostly keep the order of the
// previous one, and following that order is far cheaper than tens of thousands of map look-ups scattered over
// memory.
func (b *Balancer) findListed(id string) *server {
	*b.visits++
	if b.previousNext < len(b.previousOrder) {
		if s := b.previousOrder[b.previousNext]; !s.delisted && s.Server == id {
			b.previousNext++
			return s
		}
	}
	s := b.servers[id]
	if s != nil {
		b.previousNext = s.listPosition + 1
	}
	return s
}

// markListed records that a list names s.
func (b *Balancer) markListed(s *server) {
	if s.generation == b.listGeneration {
		return
	}
	if len(b.membershipOrder) > 2*len(b.servers)+64 && b.previousOrder == nil { // most are delisted
		b.membershipOrder = slices.DeleteFunc(b.membershipOrder, func(s *server) bool { return s.delisted })
		for i, s := range b.membershipOrder {
			*b.visits++
			s.listPosition = i
		}
	}
	if s.generation > 0 {
		b.previousUnseen--
	}
	s.generation, s.listPosition = b.listGeneration, len(b.membershipOrder)
	b.membershipOrder = append(b.membershipOrder, s)
}

// endFullList returns the servers that the full list did not name.
func (b *Balancer) endFullList() (missing []*server) {
	for i := 0; i < len(b.previousOrder) && len(missing) < b.previousUnseen; i++ {
		if *b.visits++; !b.previousOrder[i].delisted && b.previousOrder[i].generation != b.listGeneration {
			missing = append(missing, b.previousOrder[i])
		}
	}
	b.previousOrder = nil
	return missing
}

// deleteServer removes s from the list and from the indexes.
func (b *Balancer) deleteServer(s *server) {
	b.leaveService(s)
	if s.delisted = true; s.generation > 0 && s.generation < b.listGeneration {
		b.previousUnseen--
	}
	b.leaveGroup(s.group)
	delete(b.servers, s.Server)
	if s.recentlyUsedElem != nil {
		b.recentlyUsed.Remove(s.recentlyUsedElem)
		s.recentlyUsedElem = nil
	}
}

// enterService puts s into service with its present zone, group and health.
func (b *Balancer) enterService(s *server) {
	s.inService, s.inOwnZone = true, s.Zone == b.settings.Zone
	b.totalSize += s.size
	b.serversByZone[s.Zone]++
	for _, p := range s.group.pools {
		p.setOf(s).insert(s, b.settings.WarmKeys)
		if s.health.ejected {
			p.ejectedCount++
		}
	}
	b.updateStatus(s)
	b.rankFaults(s)
}

// leaveService takes s out of service, if it is in service. It must be called before the Member of s changes.
func (b *Balancer) leaveService(s *server) {
	if !s.inService {
		return
	}
	s.inService = false
	b.totalSize -= s.size
	if b.serversByZone[s.Zone]--; b.serversByZone[s.Zone] == 0 {
		delete(b.serversByZone, s.Zone)
	}
	b.updateStatus(s)
	for _, p := range s.group.pools {
		p.setOf(s).remove(s, b.settings.WarmKeys)
		if s.health.ejected {
			p.ejectedCount--
		}
	}
	if b.fleet.len() == 0 { // the sum of fractional sizes may be off by a rounding error
		b.totalSize = 0
	}
	b.rankFaults(s)
}

// setEjected ejects s or readmits it. Pools count ejected servers only while these are in service.
func (b *Balancer) setEjected(s *server, ejected bool) {
	if s.inService && s.health.ejected != ejected {
		delta := 1
		if !ejected {
			delta = -1
		}
		for _, p := range s.group.pools {
			*b.visits++
			p.ejectedCount += delta
		}
	}
	s.health.ejected = ejected
	b.updateStatus(s)
}

// rankFaults updates the place of s in the heaps of fault rates. It must be called after every change of the
// fault rate or of inService; that a server has answered for the first time takes effect at the next call.
func (b *Balancer) rankFaults(s *server) {
	in, was := s.inService && s.lastAnswer > 0, s.heapPositions[lowerFaultsID]+s.heapPositions[upperFaultsID] > 0
	if in == was && s.rankedFaultRate == s.faultRate {
		return
	}
	s.rankedFaultRate = s.faultRate
	switch low, up := b.lowerFaults.servers, b.upperFaults.servers; {
	case in && s.heapPositions[lowerFaultsID] > 0 && (len(up) == 0 || s.rankedFaultRate <= up[0].rankedFaultRate):
		b.lowerFaults.set(s, true)
		return
	case in && s.heapPositions[upperFaultsID] > 0 && s.rankedFaultRate >= low[0].rankedFaultRate:
		b.upperFaults.set(s, true)
		return
	}
	b.lowerFaults.set(s, false)
	b.upperFaults.set(s, false)
	b.balanceFaults()
	if !in {
		return
	}
	half := &b.lowerFaults
	if low := b.lowerFaults.servers; len(low) > 0 && s.rankedFaultRate > low[0].rankedFaultRate {
		half = &b.upperFaults
	}
	half.set(s, true)
	b.balanceFaults()
}

// balanceFaults moves servers between the halves until they are equal, or the lower one has one more.
func (b *Balancer) balanceFaults() {
	for len(b.lowerFaults.servers) > len(b.upperFaults.servers)+1 {
		s := b.lowerFaults.servers[0]
		b.lowerFaults.set(s, false)
		b.upperFaults.set(s, true)
	}
	for len(b.lowerFaults.servers) < len(b.upperFaults.servers) {
		s := b.upperFaults.servers[0]
		b.upperFaults.set(s, false)
		b.lowerFaults.set(s, true)
	}
}

// medianByFaults returns the server with the lower median of the fault rates among those that have answered,
// or nil if none has.
func (b *Balancer) medianByFaults() *server {
	if len(b.lowerFaults.servers) == 0 {
		return nil
	}
	return b.lowerFaults.servers[0]
}

// serverSet is a set of servers in service, ordered by id.
type serverSet struct {
	serving   orderTree           // all of them
	cold      orderTree           // those in slow start
	ejected   [Free + 1]orderTree // ejected ones, by the mostRepeatable of their group
	keys      keyTrie
	walkStart *server // where walks begin; nil: at the lowest id
}

func newServerSet(visits *int) serverSet {
	p := serverSet{serving: orderTree{visits: visits}, cold: orderTree{visits: visits}, keys: keyTrie{visits: visits}}
	for i := range p.ejected {
		p.ejected[i].visits = visits
	}
	return p
}

// insert adds a server whose indexed status is still outOfService.
func (p *serverSet) insert(s *server, byKey bool) {
	p.serving.insert(s, allAbsent)
	if byKey {
		p.keys.insert(s)
	}
}

// remove deletes a server whose indexed status is outOfService again.
func (p *serverSet) remove(s *server, byKey bool) {
	p.serving.remove(s)
	if byKey {
		p.keys.remove(s)
	}
	if p.walkStart == s {
		p.walkStart = nil
	}
}

// update applies a change of a server's status to the trees.
func (p *serverSet) update(s *server, was, now status) {
	if was.keys != now.keys {
		p.serving.set(s, now.keys)
	}
	updateTree(&p.cold, s, was.cold, now.cold, was.keys, now.keys)
	updateTree(&p.ejected[s.group.mostRepeatable], s, was.ejected, now.ejected, treeKeys{trialAtKey: was.trialAt}, treeKeys{trialAtKey: now.trialAt})
}

// updateTree inserts s into a tree, removes it, or changes its keys, as its presence before and after a
// change requires.
func updateTree(t *orderTree, s *server, was, is bool, old, keys treeKeys) {
	switch {
	case was && !is:
		t.remove(s)
	case is && !was:
		t.insert(s, keys)
	case is && keys != old:
		t.set(s, keys)
	}
}

// setWalkStart makes walks begin at the k-th server, counted from 0 and modulo the size of the set.
func (p *serverSet) setWalkStart(k int) {
	p.walkStart = nil
	if n := p.serving.len(); n > 0 {
		p.walkStart = p.serving.at(k % n)
	}
}

// serverHeap is a heap of servers that records each server's position, so that a server can be moved or
// removed.
type serverHeap struct {
	servers []*server
	less    func(s, t *server) bool
	id      int
	visits  *int
}

// set inserts s, moves it after a change, or removes it if in is false.
func (h *serverHeap) set(s *server, in bool) {
	switch at := s.heapPositions[h.id] - 1; {
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
	h.servers[i].heapPositions[h.id], h.servers[j].heapPositions[h.id] = i+1, j+1
}

func (h *serverHeap) Push(s any) {
	h.servers = append(h.servers, s.(*server))
	h.servers[len(h.servers)-1].heapPositions[h.id] = len(h.servers)
}

func (h *serverHeap) Pop() any {
	last := len(h.servers) - 1
	s := h.servers[last]
	h.servers[last] = nil
	h.servers, s.heapPositions[h.id] = h.servers[:last], 0
	return s
}
