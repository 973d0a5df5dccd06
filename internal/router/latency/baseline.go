package latency

const (
	// maxRoutes limits the routes whose usual times are known.
	maxRoutes = 1024
	// minResponses is the number of responses of a route before its usual time is
	// used.
	minResponses = 3
	// baselineWeight is the weight of a response time in the usual time of its route.
	baselineWeight = 0.1
	// maxBaselineRise and maxBaselineFall limit the influence of one response (natural
	// logarithms). With the lower limit upwards, the usual time is that of the faster
	// upstreams while others are slow.
	maxBaselineRise, maxBaselineFall = 0.2, 0.7
)

// baseline is the usual response time of a route, over all upstreams. A route of
// long requests is thereby not taken for a slow upstream.
type baseline struct {
	// logSeconds is the natural logarithm of the time in seconds.
	logSeconds float64
	responses  int
}

// learn adds a response time, given by its natural logarithm.
func (b *baseline) learn(logSeconds float64) {
	if b.responses < minResponses {
		b.responses++
		b.logSeconds += (logSeconds - b.logSeconds) / float64(b.responses)
		return
	}
	b.logSeconds += baselineWeight * min(max(logSeconds-b.logSeconds, -maxBaselineFall), maxBaselineRise)
}

// usual returns the usual time and whether there were enough responses.
func (b *baseline) usual() (float64, bool) { return b.logSeconds, b.responses >= minResponses }
