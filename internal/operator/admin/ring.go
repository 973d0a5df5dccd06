package admin

import (
	"sync"
	"time"
)

// Step is the outcome of asking one owner to admit a request at one candidate
// upstream.
type Step struct {
	Upstream string `json:"upstream"`
	Owner    string `json:"owner,omitempty"`
	Outcome  string `json:"outcome"`
}

// Decision records the upstream chosen for one attempt of a request, or the reason
// for its refusal, and the steps that led there.
type Decision struct {
	Time          time.Time `json:"time"`
	Request       string    `json:"request"`
	Attempt       uint32    `json:"attempt"`
	Workspace     string    `json:"workspace"`
	Class         string    `json:"class,omitempty"`
	Home          string    `json:"home"`
	Upstream      string    `json:"upstream,omitempty"`
	Refusal       string    `json:"refusal,omitempty"`
	ConfigVersion uint64    `json:"config_version"`
	Steps         []Step    `json:"steps"`
}

// DecisionRing is a ring buffer of the most recent decisions. It is safe for
// concurrent use.
type DecisionRing struct {
	mu        sync.Mutex
	decisions []Decision
	oldest    int
}

// NewDecisionRing returns a ring buffer for size decisions.
func NewDecisionRing(size int) *DecisionRing {
	return &DecisionRing{decisions: make([]Decision, 0, size)}
}

// Add stores a decision, replacing the oldest if the ring is full.
func (r *DecisionRing) Add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.decisions) < cap(r.decisions) {
		r.decisions = append(r.decisions, d)
		return
	}
	r.decisions[r.oldest] = d
	r.oldest = (r.oldest + 1) % len(r.decisions)
}

// Request returns the decisions on one request, oldest first.
func (r *DecisionRing) Request(id string) []Decision {
	return r.filter(func(d Decision) bool { return d.Request == id })
}

// Upstream returns the decisions that considered one upstream, oldest first.
func (r *DecisionRing) Upstream(id string) []Decision {
	return r.filter(func(d Decision) bool {
		for _, s := range d.Steps {
			if s.Upstream == id {
				return true
			}
		}
		return false
	})
}

func (r *DecisionRing) filter(match func(Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Decision{}
	for i := range r.decisions {
		if d := r.decisions[(r.oldest+i)%len(r.decisions)]; match(d) {
			found = append(found, d)
		}
	}
	return found
}
