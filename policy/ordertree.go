package policy

import (
	"cmp"
	"math"
)

// Servers in id order, searched by what they can take: the first one from a place on whose key is low enough, and the
// one with the least key, each in time logarithmic in the servers. No decisions here.

// treeKey names one of the keys of a server in an orderTree.
type treeKey int

const (
	roomKey    treeKey   = iota // how full the server is; absent while it has no room whatever its threshold
	loadKey                     // how full it would be with one attempt more
	readyKey   = roomKey        // in a tree of ejected servers: when it may be tried
	treeKeyCnt = 2
)

// absent is the key of a server that no search is to find.
var absent = math.Inf(1)

// treeKeys are the keys of one server.
type treeKeys [treeKeyCnt]float64

var allAbsent = treeKeys{absent, absent}

// orderTree is a treap of servers by id, each of whose nodes knows the least keys below it. The zero value with visits
// set is an empty tree.
type orderTree struct {
	root   *treeNode
	visits *int // entries looked at so far
}

type treeNode struct {
	left, right *treeNode
	server      *server
	size        int32
	priority    uint32
	keys, least treeKeys
}

// treePriority spreads servers' hashes, so that trees are balanced whatever the ids look like.
func treePriority(s *server) uint32 {
	return uint32(mixHash(s.hash) >> 32)
}

func (n *treeNode) count() int32 {
	if n == nil {
		return 0
	}
	return n.size
}

// update works out what a node knows of those below it.
func (n *treeNode) update() {
	n.size = 1 + n.left.count() + n.right.count()
	n.least = n.keys
	for _, child := range [...]*treeNode{n.left, n.right} {
		if child == nil {
			continue
		}
		for k := range n.least {
			n.least[k] = min(n.least[k], child.least[k])
		}
	}
}

func (t *orderTree) len() int { return int(t.root.count()) }

// insert adds a server that is not in the tree.
func (t *orderTree) insert(s *server, keys treeKeys) {
	n := &treeNode{server: s, priority: treePriority(s), keys: keys}
	n.update()
	t.root = t.insertAt(t.root, n)
}

func (t *orderTree) insertAt(at, n *treeNode) *treeNode {
	*t.visits++
	if at == nil {
		return n
	}
	if n.priority > at.priority {
		n.left, n.right = t.split(at, n.server.Server)
		n.update()
		return n
	}
	if n.server.Server < at.server.Server {
		at.left = t.insertAt(at.left, n)
	} else {
		at.right = t.insertAt(at.right, n)
	}
	at.update()
	return at
}

// split divides a subtree into those with ids before the given one and the others.
func (t *orderTree) split(at *treeNode, id string) (before, from *treeNode) {
	if at == nil {
		return nil, nil
	}
	*t.visits++
	if at.server.Server < id {
		at.right, from = t.split(at.right, id)
		at.update()
		return at, from
	}
	before, at.left = t.split(at.left, id)
	at.update()
	return before, at
}

// remove takes a server out that is in the tree.
func (t *orderTree) remove(s *server) { t.root = t.removeAt(t.root, s.Server) }

func (t *orderTree) removeAt(at *treeNode, id string) *treeNode {
	if at == nil {
		return nil
	}
	*t.visits++
	switch c := cmp.Compare(id, at.server.Server); {
	case c < 0:
		at.left = t.removeAt(at.left, id)
	case c > 0:
		at.right = t.removeAt(at.right, id)
	default:
		return t.join(at.left, at.right)
	}
	at.update()
	return at
}

// join makes one subtree of two, all ids of the first being before those of the second.
func (t *orderTree) join(before, after *treeNode) *treeNode {
	*t.visits++
	switch {
	case before == nil:
		return after
	case after == nil:
		return before
	case before.priority > after.priority:
		before.right = t.join(before.right, after)
		before.update()
		return before
	}
	after.left = t.join(before, after.left)
	after.update()
	return after
}

// set changes the keys of a server that is in the tree.
func (t *orderTree) set(s *server, keys treeKeys) { t.setAt(t.root, s.Server, keys) }

func (t *orderTree) setAt(at *treeNode, id string, keys treeKeys) {
	if at == nil {
		return
	}
	*t.visits++
	switch c := cmp.Compare(id, at.server.Server); {
	case c < 0:
		t.setAt(at.left, id, keys)
	case c > 0:
		t.setAt(at.right, id, keys)
	default:
		at.keys = keys
	}
	at.update()
}

// at returns the k-th server in id order, counted from 0; nil if there are not so many.
func (t *orderTree) at(k int) *server {
	for n, left := t.root, int32(k); n != nil; {
		*t.visits++
		switch before := n.left.count(); {
		case left < before:
			n = n.left
		case left == before:
			return n.server
		default:
			left -= before + 1
			n = n.right
		}
	}
	return nil
}

// firstFrom returns the first server with the given id or a later one whose key is at most so much; nil if none is.
func (t *orderTree) firstFrom(id string, key treeKey, most float64) *server {
	return t.firstIn(t.root, id, key, most)
}

func (t *orderTree) firstIn(n *treeNode, from string, key treeKey, most float64) *server {
	if n == nil || !(n.least[key] <= most) || n.least[key] == absent {
		return nil
	}
	*t.visits++
	if n.server.Server < from {
		return t.firstIn(n.right, from, key, most)
	}
	if s := t.firstIn(n.left, from, key, most); s != nil {
		return s
	}
	if n.keys[key] <= most && n.keys[key] != absent {
		return n.server
	}
	return t.firstIn(n.right, "", key, most)
}

// first returns the first server from the given one on, and around, whose key is at most so much; nil if none is.
func (t *orderTree) first(from *server, key treeKey, most float64) *server {
	if from == nil {
		return t.firstFrom("", key, most)
	}
	if s := t.firstFrom(from.Server, key, most); s != nil {
		return s
	}
	return t.firstFrom("", key, most) // none lies behind from
}

// least returns the server with the least key, of several the first from the given one on, and around; nil if there
// is no key.
func (t *orderTree) least(from *server, key treeKey) *server {
	if t.root == nil || t.root.least[key] == absent {
		return nil
	}
	return t.first(from, key, t.root.least[key])
}

// each goes through the servers from the given one on, and around, until yield says no.
func (t *orderTree) each(from *server, yield func(*server) bool) bool {
	if from == nil {
		return t.eachIn(t.root, "", "", yield)
	}
	return t.eachIn(t.root, from.Server, "", yield) && t.eachIn(t.root, "", from.Server, yield)
}

// eachIn goes through those of a subtree with ids at or behind from and, unless it is empty, before until.
func (t *orderTree) eachIn(n *treeNode, from, until string, yield func(*server) bool) bool {
	if n == nil {
		return true
	}
	*t.visits++
	id := n.server.Server
	if id >= from && !t.eachIn(n.left, from, until, yield) {
		return false
	}
	if id >= from && (until == "" || id < until) && !yield(n.server) {
		return false
	}
	return until != "" && id >= until || t.eachIn(n.right, from, until, yield)
}
