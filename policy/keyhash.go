package policy

import (
	"math"
	"math/bits"
)

// Rendezvous hashing of keys over servers, in time logarithmic in their number: at each fork of a binary trie
// of the servers' hashes, a key chooses between the two subtrees, weighted by the servers in each ("weighted
// rendezvous" and "skeleton" of Thaler and Ravishankar, and of Wang and Ravishankar). Adding or removing a
// server moves few keys beyond those that it serves; a removed server's key goes to the server that was second
// for it.

// keyTrie holds servers by the bits of their mixed hashes. The zero value with visits set is empty.
type keyTrie struct {
	root   *trieNode
	visits *int // nodes visited so far
}

// trieNode is a leaf if server is set, else a fork at one bit.
type trieNode struct {
	child     [2]*trieNode
	server    *server
	mixedHash uint64 // its leading bits, up to bit, are those of all servers below
	bit       int    // the bit in which the children differ, counted from the top; 64 in a leaf
	count     int
}

// mixHash spreads a hash over all bits (the finalizer of SplitMix64, Steele and others 2014).
func mixHash(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func bitAt(mixed uint64, bit int) int { return int(mixed >> (63 - bit) & 1) }

// insert adds a server, in place of one with the same hash if there is one.
func (t *keyTrie) insert(s *server) {
	leaf := &trieNode{server: s, mixedHash: mixHash(s.hash), bit: 64, count: 1}
	t.root = t.insertAt(t.root, leaf)
}

func (t *keyTrie) insertAt(at, leaf *trieNode) *trieNode {
	*t.visits++
	if at == nil || at.mixedHash == leaf.mixedHash && at.server != nil {
		return leaf
	}
	differ := bits.LeadingZeros64(at.mixedHash ^ leaf.mixedHash)
	if differ < at.bit {
		fork := &trieNode{mixedHash: leaf.mixedHash, bit: differ, count: at.count + 1}
		fork.child[bitAt(leaf.mixedHash, differ)], fork.child[bitAt(at.mixedHash, differ)] = leaf, at
		return fork
	}
	side := bitAt(leaf.mixedHash, at.bit)
	at.child[side] = t.insertAt(at.child[side], leaf)
	at.count = at.child[0].count + at.child[1].count
	return at
}

// remove deletes a server.
func (t *keyTrie) remove(s *server) { t.root = t.removeAt(t.root, s, mixHash(s.hash)) }

func (t *keyTrie) removeAt(at *trieNode, s *server, mixed uint64) *trieNode {
	switch *t.visits++; {
	case at == nil:
		return nil
	case at.server != nil:
		if at.server == s {
			return nil
		}
		return at
	}
	side := bitAt(mixed, at.bit)
	at.child[side] = t.removeAt(at.child[side], s, mixed)
	if at.child[side] == nil {
		return at.child[1-side]
	}
	at.count = at.child[0].count + at.child[1].count
	return at
}

// candidates returns the servers for a key in order of preference, nil where there are fewer.
func (t *keyTrie) candidates(key uint64) (best [keyCandidates]*server) {
	for i := range best {
		if best[i] = t.choose(key, best[:i]); best[i] == nil {
			break
		}
	}
	return best
}

// choose returns the server for a key among those that are not taken.
func (t *keyTrie) choose(key uint64, taken []*server) *server {
	n := t.root
	if n == nil || n.countWithout(taken) <= 0 {
		return nil
	}
	for n.server == nil {
		*t.visits++
		n = n.preferredChild(key, taken)
	}
	return n.server
}

// preferredChild returns the child of a fork that a key goes to.
func (n *trieNode) preferredChild(key uint64, taken []*server) *trieNode {
	left, right := n.child[0], n.child[1]
	if right.score(key, n.bit+1, taken) > left.score(key, n.bit+1, taken) {
		return right
	}
	return left
}

// countWithout returns how many servers below n are not taken.
func (n *trieNode) countWithout(taken []*server) int {
	remaining := n.count
	for _, s := range taken {
		if (mixHash(s.hash)^n.mixedHash)>>(64-n.bit) == 0 {
			remaining--
		}
	}
	return remaining
}

// score returns the score of one side of a fork for a key. It is distributed like the logarithm of the
// maximum of as many uniform random numbers as the side has servers. The random number depends on the bits
// that lead to the side, which do not change when servers come or go.
func (n *trieNode) score(key uint64, bits int, taken []*server) float64 {
	weight := n.countWithout(taken)
	if weight <= 0 {
		return math.Inf(-1)
	}
	prefix := n.mixedHash >> (64 - bits)
	u := (float64(mixHash(key^mixHash(prefix*128+uint64(bits)))>>11) + 0.5) / (1 << 53)
	return math.Log(u) / float64(weight)
}
