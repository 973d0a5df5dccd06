package rendezvous

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var names = rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}-[0-9]{1,3}`), 1, 40, rapid.ID[string])

// TestOrder guards against an order that depends on the order of the input, and
// against moving keys whose first node was not removed.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, key := names.Draw(t, "nodes"), rapid.Uint64().Draw(t, "key")
		order := Order(key, nodes)
		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		if !slices.Equal(order, Order(key, shuffled)) || order[0] != First(key, shuffled) {
			t.Fatalf("the order of %v depends on the order of the input", nodes)
		}
		removed := rapid.SampledFrom(nodes).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == removed })
		if got := Order(key, slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == removed })); !slices.Equal(got, rest) {
			t.Fatalf("without %s the order is %v, want %v", removed, got, rest)
		}
	})
}

// TestSpread guards against a hash that gives one engine far more chats than
// the others: 9,000 chats on 9 engines, on average 1,000 each.
func TestSpread(t *testing.T) {
	nodes := []string{"drafter-1", "drafter-2", "drafter-3", "drafter-4", "drafter-5", "drafter-6", "drafter-7", "drafter-8", "drafter-9"}
	chatsByNode := map[string]int{}
	for i := range 9000 {
		chatsByNode[First(ChatKey("studio", "kit", string(rune('a'+i%26))+string(rune(i))), nodes)]++
	}
	for _, n := range nodes {
		// Ten standard deviations of a binomial distribution are about 300.
		if chatsByNode[n] < 700 || chatsByNode[n] > 1300 {
			t.Errorf("%s is the home of %d chats of 9,000", n, chatsByNode[n])
		}
	}
}
