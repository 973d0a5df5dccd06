package daemon

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// status is the JSON document that operators and hemlockctl read.
type status struct {
	Version          uint64    `json:"version"`
	State            string    `json:"state"`
	Router           string    `json:"router"`
	BootID           string    `json:"boot"`
	FailureDomain    string    `json:"failure_domain"`
	Fresh            bool      `json:"fresh"`
	FullLimit        bool      `json:"full_limit"`
	Owned            []string  `json:"owned"`
	Live             []string  `json:"live"`
	OpenRequests     int64     `json:"open_requests"`
	Grants           int       `json:"grants"`
	HostListTime     time.Time `json:"host_list_time"`
	StoreLastContact time.Time `json:"store_last_contact"`
}

// stateNames are the names of the router states in status.
var stateNames = map[rpc.RouterState]string{
	rpc.RouterState_ROUTER_STATE_STARTING: "starting",
	rpc.RouterState_ROUTER_STATE_READY:    "ready",
	rpc.RouterState_ROUTER_STATE_LEAVING:  "leaving",
	rpc.RouterState_ROUTER_STATE_STALE:    "stale",
}

// Status returns the state of this router for operators.
func (d *Daemon) Status() any {
	now := time.Now()
	live := []string{}
	for _, p := range d.members.Live(now) {
		live = append(live, p.ID)
	}
	return status{
		Version: d.ConfigVersion(), State: stateNames[d.state(now)], Router: d.settings.ID(), BootID: d.bootID,
		FailureDomain: d.settings.FailureDomain(), Fresh: d.members.Fresh(now), FullLimit: d.claims.FullLimitAllowed(now),
		Owned: d.ownerTable.Owned(), Live: live, OpenRequests: d.openRequests.Load(), Grants: d.grantClient.ActiveGrants(),
		HostListTime: d.poller.LastSuccess(), StoreLastContact: d.store.LastContact(),
	}
}
