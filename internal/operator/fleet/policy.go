package fleet

import "time"

// Policy is the merged settings of one upstream.
type Policy struct {
	loadFactor, coldTTFTFactor                   float64
	loadFloor, coldLimit, maxLoad                int
	queueLength, candidates                      int
	queueDeadline, grantLifetime                 time.Duration
	resume, checksFencing, trustNotRun, disabled bool
	domainOut                                    bool
	model                                        string
}

// LoadFactor returns the multiple of the pool's mean load that the upstream's
// load must not exceed.
func (p Policy) LoadFactor() float64 { return p.loadFactor }

// LoadFloor returns the load in requests that is always within the load bound.
func (p Policy) LoadFloor() int { return p.loadFloor }

// ColdLimit returns the limit in requests during cold start, which is also the
// reserve of a new owner.
func (p Policy) ColdLimit() int { return p.coldLimit }

// MaxLoad returns the highest limit in requests.
func (p Policy) MaxLoad() int { return p.maxLoad }

// ColdTTFTFactor returns the multiple of the median time to first token above
// which an engine counts as cold.
func (p Policy) ColdTTFTFactor() float64 { return p.coldTTFTFactor }

// QueueLength returns the number of requests that may wait at the owner.
func (p Policy) QueueLength() int { return p.queueLength }

// QueueDeadline returns the longest wait in the owner's queue.
func (p Policy) QueueDeadline() time.Duration { return p.queueDeadline }

// GrantLifetime returns how long a grant lasts without renewal.
func (p Policy) GrantLifetime() time.Duration { return p.grantLifetime }

// Candidates returns how many upstreams an entry tries before it queues.
func (p Policy) Candidates() int { return p.candidates }

// Resume reports whether the engine resumes broken streams.
func (p Policy) Resume() bool { return p.resume }

// ChecksFencing reports whether the engine rejects orders with a stale fencing
// token.
func (p Policy) ChecksFencing() bool { return p.checksFencing }

// TrustNotRun reports whether the service's own statement that a call did not
// run is trusted.
func (p Policy) TrustNotRun() bool { return p.trustNotRun }

// Disabled reports whether the upstream must receive no new work.
func (p Policy) Disabled() bool { return p.disabled }

// DomainOut reports whether the upstream's failure domain is out of service.
func (p Policy) DomainOut() bool { return p.domainOut }

// Model returns the desired model, "" if the present one may stay.
func (p Policy) Model() string { return p.model }

// Workspace is the merged settings of one workspace.
type Workspace struct {
	weight, keyGeneration, maxBody int
	class                          string
	disabled                       bool
}

// Weight returns the share of the workspace relative to others.
func (w Workspace) Weight() int { return w.weight }

// KeyGeneration returns the lowest generation of keys that is accepted.
func (w Workspace) KeyGeneration() int { return w.keyGeneration }

// Class returns the class of requests that name none.
func (w Workspace) Class() string { return w.class }

// MaxBody returns the largest request body in bytes.
func (w Workspace) MaxBody() int { return w.maxBody }

// Disabled reports whether the workspace's requests are refused.
func (w Workspace) Disabled() bool { return w.disabled }

// Class is the settings of one priority class.
type Class struct {
	priority, rank int
	queueDeadline  time.Duration
}

// Rank returns the number of classes with a higher priority, 0 for the class
// that is served first. Queues and engines get ranks, since engines serve a
// lower Request-Priority first and document priorities count the other way.
func (c Class) Rank() int { return c.rank }

// QueueDeadline returns the longest wait of the class in an owner's queue. The
// upstream's deadline applies too, and the shorter one wins: the upstream's
// limits what its queue may hold, which no class may raise, and the class's is
// what its callers accept.
func (c Class) QueueDeadline() time.Duration { return c.queueDeadline }

// settings is what the keys of a document may change.
type settings struct {
	policy         Policy
	workspace      Workspace
	class          Class
	fleet          fleetSection
	reason, author string
}

// fleetSection is the content of the [fleet] section.
type fleetSection struct {
	version        int
	mark           string
	weightSlots    int
	weightInterval time.Duration
}

// maxQueueDeadline is the largest value of queue_deadline, and the one of
// classes that set none: it leaves the decision to the upstream's.
const maxQueueDeadline = 5 * time.Minute

// builtInSettings holds the values that apply where a document says nothing. Flags
// about engines default to the weaker assumption.
var builtInSettings = settings{
	policy: Policy{
		loadFactor: 1.5, loadFloor: 4, coldLimit: 2, maxLoad: 32, coldTTFTFactor: 4,
		queueLength: 16, queueDeadline: 2 * time.Second, grantLifetime: 6 * time.Second, candidates: 3,
	},
	workspace: Workspace{weight: 1, keyGeneration: 1, class: standardClass, maxBody: 4 << 20},
	fleet:     fleetSection{weightSlots: 2, weightInterval: 10 * time.Second},
}

// standardClass is the class whose settings hold for unknown class names.
const standardClass = "standard"

// classPriorities holds the built-in priority of each class.
var classPriorities = map[string]int{"interactive": 2, "standard": 1, "batch": 0}
