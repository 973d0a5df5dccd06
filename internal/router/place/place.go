package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChatKey returns the placement key of a chat. The parts are separated so that
// ("ab", "c") and ("a", "bc") differ.
func ChatKey(workspace, model, chat string) uint64 {
	return hash(workspace, model, chat)
}

// Key returns the placement key of any name, such as an upstream's.
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

// scored is a node with its rendezvous score for one key.
type scored struct {
	node  string
	score uint64
}

func score(key uint64, node string) uint64 { return mix(key, xxhash.Sum64String(node)) }

// mix mixes the key with the hash of a node's name; the multiplication and
// shifts of splitmix64 make scores of similar names independent.
func mix(key, name uint64) uint64 {
	x := key ^ name
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Order returns the nodes by descending rendezvous score for the key. A node
// that joins or leaves moves only the keys for which it comes first.
func Order(key uint64, nodes []string) []string {
	list := make([]scored, len(nodes))
	for i, n := range nodes {
		list[i] = scored{node: n, score: score(key, n)}
	}
	slices.SortFunc(list, func(a, b scored) int {
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

// First returns the first node of Order without sorting, or "" if there are
// no nodes.
func First(key uint64, nodes []string) string {
	var best scored
	for i, n := range nodes {
		s := scored{node: n, score: score(key, n)}
		if i == 0 || s.score > best.score || s.score == best.score && s.node < best.node {
			best = s
		}
	}
	return best.node
}

// Leaders returns the positions of the first most nodes of Order among count
// nodes, where name returns the xxhash of a node's name and whether the node is
// eligible. It neither hashes nor sorts the names of a large set.
func Leaders(key uint64, count, most int, name func(i int) (hash uint64, eligible bool)) []int {
	type leader struct {
		position int
		score    uint64
	}
	leaders := make([]leader, 0, most+1)
	for i := range count {
		h, ok := name(i)
		if !ok {
			continue
		}
		l := leader{i, mix(key, h)}
		if len(leaders) == most && l.score <= leaders[most-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(leaders, l, func(a, b leader) int { return cmp.Compare(b.score, a.score) })
		leaders = slices.Insert(leaders, at, l)
		leaders = leaders[:min(len(leaders), most)]
	}
	positions := make([]int, len(leaders))
	for i, l := range leaders {
		positions[i] = l.position
	}
	return positions
}
