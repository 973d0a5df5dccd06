package owner

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// digestWindow is the age of the oldest digest that may count in the total of a
// PoolView. Own digests older than this no longer influence it.
const digestWindow = 3 * time.Second

const (
	// defaultLoadAge is the assumed age of a total if the PoolView does not
	// implement LoadAger. Digests are exchanged every 500 ms.
	defaultLoadAge = time.Second
	// runningTimeDecay is the time constant with which completions and running
	// time decay in the measured completion rate.
	runningTimeDecay = 30 * time.Second
	// initialDuration is the assumed duration of requests until it is measured;
	// it weighs as much as one completion.
	initialDuration = 10 * time.Second
	// boundMargin is the guaranteed factor of 2.0 divided by the default load
	// factor, 1.5.
	boundMargin = 2.0 / 1.5
)

// poolLoad accounts for this router's part of a pool's load: the exact load,
// the part of it that is stale, and the loads recently published in digests.
type poolLoad struct {
	ownLoad   atomic.Int64
	staleLoad atomic.Int64
	receiving atomic.Int64

	mu          sync.Mutex
	digestLoads loadHistory // as published in digests

	// Completions and seconds of running time, both with exponential decay.
	completions, runningSeconds float64
	updatedAt                   time.Time
}

// recordDigest records a digest that the PoolView may count from now on.
func (l *poolLoad) recordDigest(now time.Time, load, receiving int64) {
	l.receiving.Store(receiving)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.digestLoads.add(now, load)
}

func (l *poolLoad) recordCompletion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completions++
}

// recordRunningTime adds the running time since the last call and applies the
// decay.
func (l *poolLoad) recordRunningTime(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.updatedAt.IsZero() {
		l.updatedAt = now
	}
	seconds := now.Sub(l.updatedAt).Seconds()
	decay := math.Exp(-seconds / runningTimeDecay.Seconds())
	l.runningSeconds = l.runningSeconds*decay + float64(l.ownLoad.Load())*seconds
	l.completions *= decay
	l.updatedAt = now
}

// remainingLoad estimates how much of a load of this age is still running, even
// if nothing was admitted since: the expected part at the measured completion
// rate, less one standard deviation. That is multiplied by boundMargin, since the
// guaranteed factor exceeds the load factor by this margin.
func (l *poolLoad) remainingLoad(load float64, age time.Duration) float64 {
	l.mu.Lock()
	rate := (l.completions + 1) / (l.runningSeconds + initialDuration.Seconds())
	l.mu.Unlock()
	survival := math.Exp(-age.Seconds() * rate)
	expectedMinimum := load*survival - math.Sqrt(load*survival*(1-survival))
	return min(load, max(expectedMinimum, 0)*boundMargin)
}

// correctedTotal replaces this router's part of a delayed total by its exact
// load, and the rest by the estimate of what still runs. Which of its own
// digests the total contains is not known, so the highest recent one is
// subtracted.
func (l *poolLoad) correctedTotal(delayed int, age time.Duration) int {
	own := max(l.ownLoad.Load()-l.staleLoad.Load(), 0)
	l.mu.Lock()
	inTotal := l.digestLoads.highest()
	l.mu.Unlock()
	others := max(int64(delayed)-max(inTotal, own), 0)
	return int(own) + int(l.remainingLoad(float64(others), age))
}

// loadHistory is the recent history of a load, oldest first.
type loadHistory []loadSample

// loadSample is a load at a time.
type loadSample struct {
	time time.Time
	load int64
}

// add appends a load and removes samples older than digestWindow, except the
// newest of them, which was still valid when the window began.
func (h *loadHistory) add(now time.Time, load int64) {
	expired := 0
	for expired+1 < len(*h) && now.Sub((*h)[expired+1].time) > digestWindow {
		expired++
	}
	*h = append(slices.Delete(*h, 0, expired), loadSample{now, load})
}

func (h loadHistory) highest() int64 {
	var highest int64
	for _, s := range h {
		highest = max(highest, s.load)
	}
	return highest
}

// loadBound returns the highest load to which an admission may raise one of n
// upstreams: max(ceil(factor * (total + 1) / n), floor).
func loadBound(factor float64, total, n, floor int) int {
	return max(int(math.Ceil(factor*float64(total+1)/float64(max(n, 1)))), floor)
}
