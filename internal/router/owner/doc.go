// Package owner decides on the admission of requests to the upstreams that this
// router owns. It counts the load of each upstream exactly, grants requests
// within the load bound of the upstream's pool and the cold-start limit, queues
// others for a short time, and records which chats were placed away from their
// home.
//
// Each upstream has one lock. PoolView, Policies and LeaseStatus are called
// while it is held, so their implementations must not call back into the Table.
package owner
