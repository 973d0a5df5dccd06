package intake

import (
	"math"
	"syscall"
	"time"
)

const (
	// connectionCost is what an open connection takes: two goroutines of the HTTP
	// server, its buffers, and its entry here.
	connectionCost = 16 << 10
	// requestCost is what a request takes in addition while it is served: the stacks and
	// headers of its handler and of its attempts, a small body and response, and what the
	// kernel receives from the upstream before it is read.
	requestCost = 48 << 10
	// freeHeadBytes is the cost of a head that connectionCost covers. Heads of ordinary
	// callers stay below, so that they need no further step.
	freeHeadBytes = 8 << 10
	// headByteCost and headLineCost estimate what a head takes once it is decoded and
	// copied for the upstream. A field of a few bytes takes some hundred bytes.
	headByteCost = 4
	headLineCost = 384
	// headStep is the size of a reservation for a head.
	headStep = 8 << 10
	// freeBodyBytes is the length of a body that requestCost covers.
	freeBodyBytes = 8 << 10
	// smallBodyBytes is the length up to which a body is not refused in favour of others.
	smallBodyBytes = 64 << 10
	// receiveBufferCost is the kernel's receive buffer of a connection with a large body.
	receiveBufferCost = 128 << 10

	// heapShare is the share of the memory at which the garbage collector works harder,
	// and baseBytes what a router uses without callers: 25 to 60 MB, of which some is
	// outside the heap. What is left of the share is for callers, but at least
	// minBytesShare of the memory.
	heapShare     = 0.6
	baseBytes     = 48 << 20
	minBytesShare = 0.2
	// defaultBytes is the budget if the memory limit is not known.
	defaultBytes = 512 << 20
	// largeBodyShare is the share of the budget up to which bodies, waiting requests and
	// what is held of responses are accepted. The rest is for connections and requests
	// with small bodies.
	largeBodyShare = 0.75
	// roomyShare is the share of the budget up to which receive buffers are enlarged, so
	// that they are not enlarged at the cost of bodies.
	roomyShare = 0.5
	// connectionShare is the share of the budget that connections may take.
	connectionShare = 0.5
	// reservedFDs are the descriptors that the platform reserves for files.
	reservedFDs = 200
	// fdShare is the share of the other descriptors for callers' connections: each may
	// need another one to an upstream, and some are for the store and peers.
	fdShare = 0.48
	// minConnections is the lowest limit on connections.
	minConnections = 16

	// stallTime is the time without a byte after which an unfinished request may be
	// closed in favour of others: longer than a lost packet delays a caller, 200 ms. With
	// 1 s, bodies that stopped just short of their end held the budget for too long: 11
	// of 80 ordinary bodies were served in TestBodiesUnderLoad, with 300 ms 36.
	stallTime = 300 * time.Millisecond
	// defaultHeadTime is the time for a head if the configuration states none.
	defaultHeadTime = 10 * time.Second
	// headTimeMargin is added to the time for a head, since the caller's clock starts
	// later than the router's.
	headTimeMargin = 500 * time.Millisecond
	// bodyPeriod and minBodyBytes state the slowest body: that many bytes in each
	// period. A body of permitted size at this rate exceeds any request's time.
	bodyPeriod   = 4 * time.Second
	minBodyBytes = 4 << 10
	// drainTime is how long the rest of a request is read after its response.
	drainTime = 2 * time.Second
	// sweepInterval is how often the time limits are checked. A check that is late by
	// more than maxSweepDelay is skipped: the process was paused, and what callers sent
	// meanwhile is still to be read.
	sweepInterval = 500 * time.Millisecond
	maxSweepDelay = time.Second
)

// Limits are the limits of a process.
type Limits struct {
	// Bytes is the budget in bytes for all callers.
	Bytes int64
	// Connections is the maximum number of connections.
	Connections int
	// PerAddress is the maximum number of connections from one address, 0 for no limit.
	// A load balancer may forward all callers from one address.
	PerAddress int
}

// HeapLimit returns the size in bytes at which the garbage collector of a process with a
// memory in MB works harder. The rest is for the program's own pages and for what the
// kernel holds.
func HeapLimit(memoryMB int) int64 { return int64(heapShare * float64(memoryMB) * (1 << 20)) }

// LimitsFor derives the limits of a process from its memory in MB, 0 if that is not
// known, and its descriptors, 0 for the limit that the process has.
func LimitsFor(memoryMB, maxFDs, perAddress int) Limits {
	l := Limits{Bytes: defaultBytes, PerAddress: perAddress}
	if memoryMB > 0 {
		memory := float64(memoryMB) * (1 << 20)
		l.Bytes = int64(max(heapShare*memory-baseBytes, minBytesShare*memory))
	}
	l.Connections = int(connectionShare * float64(l.Bytes) / connectionCost)
	if maxFDs <= 0 {
		maxFDs = processFDs()
	}
	l.Connections = min(l.Connections, int(fdShare*float64(maxFDs-reservedFDs)))
	l.Connections = max(l.Connections, minConnections)
	return l
}

// processFDs returns the limit on descriptors that the process has.
func processFDs() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(l.Cur)
}
