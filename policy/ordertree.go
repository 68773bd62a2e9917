package policy

import (
	"cmp"
	"math"
)

// A tree of servers by id, each with keys such as its load. It finds the first server at or after an id whose
// key is low enough, and the server with the lowest key, each in time logarithmic in the number of servers. It
// makes no decisions.

// treeKey selects one of the keys of a server in an orderTree.
type treeKey int

const (
	roomKey      treeKey   = iota // outstanding attempts / threshold; absent while the server has no room whatever its load
	loadKey                       // the same with one attempt more
	trialAtKey   = roomKey        // in a tree of ejected servers: the time from which a trial is allowed
	treeKeyCount = 2
)

// absent is the key of a server that searches skip.
var absent = math.Inf(1)

// treeKeys are the keys of one server, by treeKey.
type treeKeys [treeKeyCount]float64

var allAbsent = treeKeys{absent, absent}

// orderTree is a treap of servers by id in which each node stores the lowest keys of its subtree. The zero
// value with visits set is an empty tree.
type orderTree struct {
	root   *treeNode
	visits *int // nodes visited so far
}

type treeNode struct {
	left, right   *treeNode
	server        *server
	size          int32
	priority      uint32
	keys, minKeys treeKeys
}

// treePriority mixes the hash of the server's id, so that trees are balanced for any pattern of ids.
func treePriority(s *server) uint32 {
	return uint32(mixHash(s.hash) >> 32)
}

func (n *treeNode) count() int32 {
	if n == nil {
		return 0
	}
	return n.size
}

// update recomputes what a node stores about its subtree.
func (n *treeNode) update() {
	n.size = 1 + n.left.count() + n.right.count()
	n.minKeys = n.keys
	for _, child := range [...]*treeNode{n.left, n.right} {
		if child == nil {
			continue
		}
		for k := range n.minKeys {
			n.minKeys[k] = min(n.minKeys[k], child.minKeys[k])
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

// split divides a subtree into the servers with lower ids than the given one and the others.
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

// remove deletes a server that is in the tree.
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

// join merges two subtrees; all ids of the first are lower than those of the second.
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

// at returns the k-th server by id, counted from 0, or nil if there are fewer.
func (t *orderTree) at(k int) *server {
	for n, remaining := t.root, int32(k); n != nil; {
		*t.visits++
		switch before := n.left.count(); {
		case remaining < before:
			n = n.left
		case remaining == before:
			return n.server
		default:
			remaining -= before + 1
			n = n.right
		}
	}
	return nil
}

// firstFrom returns the first server with the given id or a higher one whose key is at most maxKey, or nil.
func (t *orderTree) firstFrom(id string, key treeKey, maxKey float64) *server {
	return t.firstIn(t.root, id, key, maxKey)
}

func (t *orderTree) firstIn(n *treeNode, from string, key treeKey, maxKey float64) *server {
	if n == nil || !(n.minKeys[key] <= maxKey) || n.minKeys[key] == absent {
		return nil
	}
	*t.visits++
	if n.server.Server < from {
		return t.firstIn(n.right, from, key, maxKey)
	}
	if s := t.firstIn(n.left, from, key, maxKey); s != nil {
		return s
	}
	if n.keys[key] <= maxKey && n.keys[key] != absent {
		return n.server
	}
	return t.firstIn(n.right, "", key, maxKey)
}

// first returns the first server from the given one on, wrapping around, whose key is at most maxKey, or nil.
func (t *orderTree) first(from *server, key treeKey, maxKey float64) *server {
	if from == nil {
		return t.firstFrom("", key, maxKey)
	}
	if s := t.firstFrom(from.Server, key, maxKey); s != nil {
		return s
	}
	return t.firstFrom("", key, maxKey) // wrap around
}

// minServer returns the server with the lowest key, the first of equals from the given server on, wrapping
// around; nil if all keys are absent.
func (t *orderTree) minServer(from *server, key treeKey) *server {
	if t.root == nil || t.root.minKeys[key] == absent {
		return nil
	}
	return t.first(from, key, t.root.minKeys[key])
}

// each calls yield for the servers from the given one on, wrapping around, until yield returns false. It
// reports whether all were visited.
func (t *orderTree) each(from *server, yield func(*server) bool) bool {
	if from == nil {
		return t.eachIn(t.root, "", "", yield)
	}
	return t.eachIn(t.root, from.Server, "", yield) && t.eachIn(t.root, "", from.Server, yield)
}

// eachIn visits the servers of a subtree with ids from the first given one on and, unless until is empty,
// below until.
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
