package rollout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	// To is the version of the upstreams that replace the others.
	To string
	// Duration is the time from the order to the deadline.
	Duration time.Duration
	// Revision is the revision of the order in the store.
	Revision uint64
}

// ID returns a hash that tells orders apart.
func (o Order) ID() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d\x00%d", o.Service, o.To, o.Duration, o.Revision))
}

// Stage is how far a roll-out has come.
type Stage uint8

const (
	// Running means that the new version gets a share of the requests.
	Running Stage = iota
	// Completed means that only the new version serves requests.
	Completed
	// RolledBack means that the new version serves no requests.
	RolledBack
)

// String returns the name of the stage for logs.
func (s Stage) String() string {
	switch s {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	default:
		return "running"
	}
}

// Record is what the store holds of a roll-out.
type Record struct {
	Order Order
	Stage Stage
	// Begun is the wall-clock time at which the order was first seen. It is used only if
	// no router remembers it.
	Begun time.Time
	// Writer is the name of the router that wrote the record.
	Writer string
	// Revision is the revision of the record in the store, 0 if there is none.
	Revision uint64
}
