package etcd

import "expvar"

// Fields of the counters of each kind of call.
const (
	countCalls       = "calls"
	countFailures    = "failures"
	countRateLimited = "over_budget"
	countSent        = "sent_bytes"
	countReceived    = "received_bytes"
)

// Counters counts calls, failures, calls over the rate limit, and bytes of
// request and response bodies by kind of call. It implements expvar.Var.
type Counters struct{ byKind map[string]*expvar.Map }

func newCounters() *Counters {
	c := &Counters{byKind: map[string]*expvar.Map{}}
	for kind := range callKinds {
		c.byKind[kind] = new(expvar.Map).Init()
		for _, field := range []string{countCalls, countFailures, countRateLimited, countSent, countReceived} {
			c.byKind[kind].Add(field, 0)
		}
	}
	return c
}

// String returns the counters as a JSON object of objects.
func (c *Counters) String() string {
	all := new(expvar.Map).Init()
	for kind, fields := range c.byKind {
		all.Set(kind, fields)
	}
	return all.String()
}

// Calls returns the number of calls sent of a kind, such as "get".
func (c *Counters) Calls(kind string) int64 { return c.get(kind, countCalls) }

// Bytes returns the total sizes of request and response bodies in bytes.
func (c *Counters) Bytes() (sent, received int64) {
	for kind := range c.byKind {
		sent += c.get(kind, countSent)
		received += c.get(kind, countReceived)
	}
	return sent, received
}

func (c *Counters) get(kind, field string) int64 {
	fields, ok := c.byKind[kind]
	if !ok {
		return 0
	}
	return fields.Get(field).(*expvar.Int).Value()
}

func (c *Counters) add(kind, field string, n int) { c.byKind[kind].Add(field, int64(n)) }
