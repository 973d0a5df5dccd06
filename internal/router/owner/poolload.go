package owner

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// digestWindow is how far back the total that Pools returns may look; older
// own digests no longer influence it.
const digestWindow = 3 * time.Second

const (
	// defaultLoadAge is the age of a total if Pools does not tell it: digests are
	// exchanged every 500 ms.
	defaultLoadAge = time.Second
	// runningTimeDecay is the time constant of the measured completion rate.
	runningTimeDecay = 30 * time.Second
	// initialDuration is the duration of requests before it is measured; it
	// weighs as much as one completion.
	initialDuration = 10 * time.Second
	// boundMargin is the stated factor of 2.0 over the default factor of the
	// rule, 1.5.
	boundMargin = 2.0 / 1.5
)

// poolLoad is this router's part of a pool: its exact load, the part of it
// without a recent renewal, and what was recently reported of the pool.
type poolLoad struct {
	ownLoad   atomic.Int64
	staleLoad atomic.Int64
	receiving atomic.Int64

	mu          sync.Mutex
	digestLoads loadHistory // as reported in digests

	// Completions and seconds of running time, with exponential decay.
	completions, runningSeconds float64
	updatedAt                   time.Time
}

// recordDigest notes a digest that Pools may count from now on.
func (s *poolLoad) recordDigest(now time.Time, load, receiving int64) {
	s.receiving.Store(receiving)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digestLoads.add(now, load)
}

// recordCompletion counts a completion.
func (s *poolLoad) recordCompletion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completions++
}

// recordRunningTime adds the running time since the last call.
func (s *poolLoad) recordRunningTime(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.updatedAt.IsZero() {
		s.updatedAt = now
	}
	seconds := now.Sub(s.updatedAt).Seconds()
	decay := math.Exp(-seconds / runningTimeDecay.Seconds())
	s.runningSeconds = s.runningSeconds*decay + float64(s.ownLoad.Load())*seconds
	s.completions *= decay
	s.updatedAt = now
}

// remainingLoad returns how much of a load of that age still runs, even if
// nothing was admitted since: the expected part at the measured completion
// rate, less one standard deviation. It may be exceeded by the margin
// between the factor of the rule and the stated one.
func (s *poolLoad) remainingLoad(load float64, age time.Duration) float64 {
	s.mu.Lock()
	rate := (s.completions + 1) / (s.runningSeconds + initialDuration.Seconds())
	s.mu.Unlock()
	survival := math.Exp(-age.Seconds() * rate)
	expectedMinimum := load*survival - math.Sqrt(load*survival*(1-survival))
	return min(load, max(expectedMinimum, 0)*boundMargin)
}

// correctedTotal replaces this router's part of a delayed total by its exact load, and
// the rest by what remains of it. The part is not known exactly, so the
// highest recent one is taken off.
func (s *poolLoad) correctedTotal(delayed int, age time.Duration) int {
	own := max(s.ownLoad.Load()-s.staleLoad.Load(), 0)
	s.mu.Lock()
	inTotal := s.digestLoads.highest()
	s.mu.Unlock()
	others := max(int64(delayed)-max(inTotal, own), 0)
	return int(own) + int(s.remainingLoad(float64(others), age))
}

// loadHistory is the recent history of a load.
type loadHistory []loadSample

// loadSample is a load at a time.
type loadSample struct {
	time time.Time
	load int64
}

// add adds a load and forgets those before the digest window, but for the
// newest of them, which was still valid when the window began.
func (w *loadHistory) add(now time.Time, load int64) {
	expired := 0
	for expired+1 < len(*w) && now.Sub((*w)[expired+1].time) > digestWindow {
		expired++
	}
	*w = append(slices.Delete(*w, 0, expired), loadSample{now, load})
}

func (w loadHistory) highest() int64 {
	var highest int64
	for _, s := range w {
		highest = max(highest, s.load)
	}
	return highest
}

// loadBound returns the highest load that one of n upstreams may reach by an
// admission: max(ceil(factor * (total + 1) / n), floor).
func loadBound(factor float64, total, n, floor int) int {
	return max(int(math.Ceil(factor*float64(total+1)/float64(max(n, 1)))), floor)
}
