package promptwork

// copyShare is the time to copy a cached part from another engine, as a share of the
// time to read it. Engines copy several times faster than they read.
const copyShare = 1.0 / 3

// Prompt is the size of a prompt in tokens.
type Prompt struct {
	// Shared holds, for each shared prefix in ascending length, its number of tokens.
	Shared []int
	// Total is the number of tokens of the whole prompt.
	Total int
}

// Cost is what a prompt costs at one engine.
type Cost struct {
	// Uncached is the number of tokens that the engine has to read.
	Uncached int
	// Reread is the part of them that another engine has cached, so that reading it
	// costs the service capacity that it could save.
	Reread int
}

// Costs returns the cost of a prompt at each engine. cached holds, for each of them, how
// many of the shared prefixes it is known to have. complete states that a prefix which
// is not known to be cached anywhere is cached nowhere; otherwise it may be cached at
// any engine. copies states that engines copy what others have.
func Costs(p Prompt, cached []int, complete, copies bool) []Cost {
	tokens := func(n int) int {
		if n == 0 {
			return 0
		}
		return p.Shared[n-1]
	}
	longest := 0
	for _, n := range cached {
		longest = max(longest, n)
	}
	list := make([]Cost, len(cached))
	for i, n := range cached {
		missing := tokens(longest) - tokens(n)
		uncached := p.Total - tokens(n)
		if copies {
			uncached -= int((1 - copyShare) * float64(missing))
			missing = int(copyShare * float64(missing))
		}
		if !complete {
			missing = max(missing, tokens(len(p.Shared))-tokens(n))
		}
		list[i] = Cost{Uncached: max(0, uncached), Reread: max(0, missing)}
	}
	return list
}
