package balance

import "time"

const (
	// minPromptGain is the time by which the first event must come earlier at another
	// engine. For a smaller gain, leaving the affine engine costs more than it brings:
	// the prefix is kept twice, so others are evicted and read again.
	minPromptGain = 100 * time.Millisecond
	// rereadTokens is the number of tokens up to which reading them again counts as no
	// cost for the service: 2 to 4 ms of an engine.
	rereadTokens = 128
	// promptMargin is the share of the remaining objective within which the first event
	// must be expected at another engine for which the home is left. The estimate
	// misses short prompts of peers.
	promptMargin = 0.7
)

// ReasonPrompt is the reason of a choice that waits less for other prompts than the
// affine one.
const ReasonPrompt = "prompt"

// PickByPrompt picks like PickAffine, except if that engine has prompts to read first.
// An engine that can begin earlier is picked instead if nothing has to be read again
// there, or if the first event is expected after limit at the affine choice and well
// before limit at the other one: reading shared parts again costs the whole service, so
// the caller must gain clearly. limit 0 means that there is no objective.
func (b Balancer) PickByPrompt(candidates []Candidate, service ServiceLoad, limit time.Duration) Choice {
	home := b.PickAffine(candidates, service)
	if home.Index < 0 || home.Bound == 0 || candidates[home.Index].FirstEvent <= 0 {
		return home
	}
	best := home.Index
	for _, i := range eligibleCandidates(candidates) {
		if candidates[i].Load+1 <= home.Bound && betterForPrompt(candidates[i], candidates[home.Index], candidates[best], limit) {
			best = i
		}
	}
	if best == home.Index {
		return home
	}
	return Choice{Index: best, Reason: ReasonPrompt, Bound: home.Bound}
}

// betterForPrompt reports whether c is a reason to leave home and preferable to the
// best engine so far.
func betterForPrompt(c, home, best Candidate, limit time.Duration) bool {
	if c.FirstEvent <= 0 || c.FirstEvent+minPromptGain > home.FirstEvent {
		return false
	}
	free := c.Reread <= rereadTokens
	if !free && (limit <= 0 || home.FirstEvent <= limit || float64(c.FirstEvent) > promptMargin*float64(limit)) {
		return false
	}
	// The first engine found replaces the home. After that, fewer tokens to read again
	// come first, and the earlier first event second.
	if best.ID == home.ID {
		return true
	}
	if c.Reread+rereadTokens < best.Reread || best.Reread+rereadTokens < c.Reread {
		return c.Reread < best.Reread
	}
	return c.FirstEvent+minPromptGain <= best.FirstEvent
}
