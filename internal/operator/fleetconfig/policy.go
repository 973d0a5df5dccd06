package fleetconfig

import "time"

// Policy holds the merged settings of one upstream.
type Policy struct {
	loadFactor, coldTTFTFactor                   float64
	loadFloor, coldLimit, maxLoad                int
	queueLength, candidates                      int
	queueDeadline, grantLifetime                 time.Duration
	resume, checksFencing, trustNotRun, disabled bool
	domainOut                                    bool
	model                                        string
}

// LoadFactor returns the maximum load of the upstream as a multiple of the mean
// load of its pool.
func (p Policy) LoadFactor() float64 { return p.loadFactor }

// LoadFloor returns the load in requests up to which LoadFactor does not limit
// the upstream.
func (p Policy) LoadFloor() int { return p.loadFloor }

// ColdLimit returns the limit in concurrent requests at the beginning of a cold
// start. It is also the upper bound of an owner's reserve.
func (p Policy) ColdLimit() int { return p.coldLimit }

// MaxLoad returns the maximum number of concurrent requests.
func (p Policy) MaxLoad() int { return p.maxLoad }

// ColdTTFTFactor returns the multiple of the median time to first token above
// which an engine counts as cold.
func (p Policy) ColdTTFTFactor() float64 { return p.coldTTFTFactor }

// QueueLength returns the maximum number of requests in the owner's queue.
func (p Policy) QueueLength() int { return p.queueLength }

// QueueDeadline returns the maximum time of a request in the owner's queue.
func (p Policy) QueueDeadline() time.Duration { return p.queueDeadline }

// GrantLifetime returns how long a grant is valid without a renewal.
func (p Policy) GrantLifetime() time.Duration { return p.grantLifetime }

// Candidates returns how many upstreams an entry tries before it queues.
func (p Policy) Candidates() int { return p.candidates }

// Resumable reports whether the engine can resume an interrupted stream.
func (p Policy) Resumable() bool { return p.resume }

// ChecksFencing reports whether the engine rejects changes of its serving
// configuration that carry a stale fencing token.
func (p Policy) ChecksFencing() bool { return p.checksFencing }

// TrustNotRun reports whether a service response that says that the call was not
// executed is trusted.
func (p Policy) TrustNotRun() bool { return p.trustNotRun }

// Disabled reports whether the upstream must receive no new work.
func (p Policy) Disabled() bool { return p.disabled }

// DomainEvacuated reports whether the upstream's failure domain is out of service.
func (p Policy) DomainEvacuated() bool { return p.domainOut }

// Model returns the model that the engine should serve, "" to keep its current
// one.
func (p Policy) Model() string { return p.model }

// Workspace holds the merged settings of one workspace.
type Workspace struct {
	weight, keyGeneration, maxBody int
	class                          string
	disabled                       bool
}

// Weight returns the fair share of the workspace relative to other workspaces.
func (w Workspace) Weight() int { return w.weight }

// KeyGeneration returns the lowest accepted generation of the workspace's keys.
func (w Workspace) KeyGeneration() int { return w.keyGeneration }

// Class returns the priority class of requests that state none.
func (w Workspace) Class() string { return w.class }

// MaxBody returns the maximum size of a request body in bytes.
func (w Workspace) MaxBody() int { return w.maxBody }

// Disabled reports whether the workspace's requests are rejected.
func (w Workspace) Disabled() bool { return w.disabled }

// Class holds the settings of one priority class.
type Class struct {
	priority, rank int
	queueDeadline  time.Duration
}

// Rank returns the number of classes with a higher priority, 0 for the class
// that is served first. Queues and engines use ranks instead of priorities,
// since engines serve a lower Request-Priority first, while a higher priority in
// the document is served first.
func (c Class) Rank() int { return c.rank }

// QueueDeadline returns the maximum time of the class's requests in an owner's
// queue. The shorter of this and the upstream's deadline applies: the upstream's
// bounds its queue, which no class may raise, and the class's is the wait that
// its callers accept.
func (c Class) QueueDeadline() time.Duration { return c.queueDeadline }

// settings holds all values that the keys of a document can set.
type settings struct {
	policy         Policy
	workspace      Workspace
	class          Class
	fleet          fleetSection
	reason, author string
}

// fleetSection holds the values of the [fleet] section.
type fleetSection struct {
	version        int
	mark           string
	weightSlots    int
	weightInterval time.Duration
}

// maxQueueDeadline is the maximum of queue_deadline. Classes that set none have
// this value, so that the upstream's deadline applies.
const maxQueueDeadline = 5 * time.Minute

// builtInSettings holds the values that a document does not set. Flags about the
// abilities of engines default to false, the weaker assumption.
var builtInSettings = settings{
	policy: Policy{
		loadFactor: 1.5, loadFloor: 4, coldLimit: 2, maxLoad: 32, coldTTFTFactor: 4,
		queueLength: 16, queueDeadline: 2 * time.Second, grantLifetime: 6 * time.Second, candidates: 3,
	},
	workspace: Workspace{weight: 1, keyGeneration: 1, class: standardClass, maxBody: 4 << 20},
	fleet:     fleetSection{weightSlots: 2, weightInterval: 10 * time.Second},
}

// standardClass is the class whose settings apply to unknown class names.
const standardClass = "standard"

// classPriorities holds the built-in priorities by class name.
var classPriorities = map[string]int{"interactive": 2, "standard": 1, "batch": 0}
