package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChatKey returns the placement key of a chat. The parts are hashed with
// separators, so that ("ab", "c") and ("a", "bc") differ.
func ChatKey(workspace, model, chat string) uint64 {
	return hash(workspace, model, chat)
}

// Key returns the placement key of a single name, such as the ID of an
// upstream.
func Key(name string) uint64 { return hash(name) }

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		// Digest.WriteString never returns an error.
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// scoredNode is a node with its rendezvous score for one key.
type scoredNode struct {
	node  string
	score uint64
}

func score(key uint64, node string) uint64 { return mixHashes(key, xxhash.Sum64String(node)) }

// mixHashes combines the key with the hash of a node's name. The
// multiplications and shifts of splitmix64 make the scores of similar names
// independent.
func mixHashes(key, nodeHash uint64) uint64 {
	x := key ^ nodeHash
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Order returns the nodes by descending rendezvous score for the key. When a
// node joins or leaves, only the keys for which it comes first move.
func Order(key uint64, nodes []string) []string {
	list := make([]scoredNode, len(nodes))
	for i, n := range nodes {
		list[i] = scoredNode{node: n, score: score(key, n)}
	}
	slices.SortFunc(list, func(a, b scoredNode) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.node, b.node)
	})
	order := make([]string, len(list))
	for i, s := range list {
		order[i] = s.node
	}
	return order
}

// First returns the first node of Order without sorting, or "" if there are no
// nodes.
func First(key uint64, nodes []string) string {
	var best scoredNode
	for i, n := range nodes {
		s := scoredNode{node: n, score: score(key, n)}
		if i == 0 || s.score > best.score || s.score == best.score && s.node < best.node {
			best = s
		}
	}
	return best.node
}

// TopN returns the indexes of the first limit nodes of Order among count nodes.
// nodeHash returns the xxhash of a node's name and whether the node is
// eligible. For a large set this is cheaper than Order, since it neither hashes
// the names nor sorts them.
func TopN(key uint64, count, limit int, nodeHash func(i int) (hash uint64, eligible bool)) []int {
	type scoredIndex struct {
		position int
		score    uint64
	}
	top := make([]scoredIndex, 0, limit+1)
	for i := range count {
		h, ok := nodeHash(i)
		if !ok {
			continue
		}
		l := scoredIndex{i, mixHashes(key, h)}
		if len(top) == limit && l.score <= top[limit-1].score {
			continue
		}
		pos, _ := slices.BinarySearchFunc(top, l, func(a, b scoredIndex) int { return cmp.Compare(b.score, a.score) })
		top = slices.Insert(top, pos, l)
		top = top[:min(len(top), limit)]
	}
	indexes := make([]int, len(top))
	for i, l := range top {
		indexes[i] = l.position
	}
	return indexes
}
