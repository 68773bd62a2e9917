package policy

import (
	"math"
	"math/bits"
)

// Rendezvous hashing of keys over servers, in time logarithmic in these: a choice between the two halves of a binary
// trie at each of its forks, weighted by the servers in each ("weighted rendezvous" and "skeleton" of Thaler and Ravishankar,
// and of Wang and Ravishankar). A server that comes or goes moves hardly more keys than its own; the
// one that takes a key over from a server that went is the one that came second for it.

// keyTrie holds servers by the bits of their hashes. The zero value with visits set is empty.
type keyTrie struct {
	root   *trieNode
	visits *int // entries looked at so far
}

// trieNode is a leaf where server is set, else a fork at a bit.
type trieNode struct {
	child  [2]*trieNode
	server *server
	place  uint64 // of the mixed hash
	bit    int    // that its children differ in, from the top; of a leaf 64
	count  int
}

// mixHash spreads a hash over all bits (the finalizer of SplitMix64, Steele and others 2014).
func mixHash(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func bitOf(place uint64, bit int) int { return int(place >> (63 - bit) & 1) }

// insert adds a server. Two with the same hash stand for one.
func (t *keyTrie) insert(s *server) {
	leaf := &trieNode{server: s, place: mixHash(s.hash), bit: 64, count: 1}
	t.root = t.insertAt(t.root, leaf)
}

func (t *keyTrie) insertAt(at, leaf *trieNode) *trieNode {
	*t.visits++
	if at == nil || at.place == leaf.place && at.server != nil {
		return leaf
	}
	differ := bits.LeadingZeros64(at.place ^ leaf.place)
	if differ < at.bit {
		fork := &trieNode{place: leaf.place, bit: differ, count: at.count + 1}
		fork.child[bitOf(leaf.place, differ)], fork.child[bitOf(at.place, differ)] = leaf, at
		return fork
	}
	side := bitOf(leaf.place, at.bit)
	at.child[side] = t.insertAt(at.child[side], leaf)
	at.count = at.child[0].count + at.child[1].count
	return at
}

// remove takes a server out.
func (t *keyTrie) remove(s *server) { t.root = t.removeAt(t.root, s, mixHash(s.hash)) }

func (t *keyTrie) removeAt(at *trieNode, s *server, place uint64) *trieNode {
	switch *t.visits++; {
	case at == nil:
		return nil
	case at.server != nil:
		if at.server == s {
			return nil
		}
		return at
	}
	side := bitOf(place, at.bit)
	at.child[side] = t.removeAt(at.child[side], s, place)
	if at.child[side] == nil {
		return at.child[1-side]
	}
	at.count = at.child[0].count + at.child[1].count
	return at
}

// candidates are the servers that a key goes to, in turn; nil where there are not so many.
func (t *keyTrie) candidates(key uint64) (best [keyCandidates]*server) {
	for i := range best {
		if best[i] = t.choose(key, best[:i]); best[i] == nil {
			break
		}
	}
	return best
}

// choose returns the server for a key were those taken not there.
func (t *keyTrie) choose(key uint64, taken []*server) *server {
	n := t.root
	if n == nil || n.without(taken) <= 0 {
		return nil
	}
	for n.server == nil {
		*t.visits++
		n = n.preferred(key, taken)
	}
	return n.server
}

// preferred is the child of a fork that a key goes to.
func (n *trieNode) preferred(key uint64, taken []*server) *trieNode {
	left, right := n.child[0], n.child[1]
	if right.score(key, n.bit+1, taken) > left.score(key, n.bit+1, taken) {
		return right
	}
	return left
}

// without is how many of n's servers are not taken.
func (n *trieNode) without(taken []*server) int {
	left := n.count
	for _, s := range taken {
		if (mixHash(s.hash)^n.place)>>(64-n.bit) == 0 {
			left--
		}
	}
	return left
}

// score of one side of a fork for a key is the greatest of as many random numbers as it has servers. The side
// is known by the bits that lead to it, which stay when servers come or go.
func (n *trieNode) score(key uint64, bits int, taken []*server) float64 {
	weight := n.without(taken)
	if weight <= 0 {
		return math.Inf(-1)
	}
	prefix := n.place >> (64 - bits)
	u := (float64(mixHash(key^mixHash(prefix*128+uint64(bits)))>>11) + 0.5) / (1 << 53)
	return math.Log(u) / float64(weight)
}
