package ctl

import (
	"context"
	"fmt"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
)

// domainOut takes a failure domain out of service. If it is out of service
// already, the document is pushed again, so that routers that have not confirmed
// an earlier command can do so.
func (c *cli) domainOut(ctx context.Context, args []string) error {
	name := args[0]
	return c.applyDomainEdit(ctx, name, "out of service", requireDocument(func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		if reason, out := base.DomainEvacuated(name); out {
			c.printf("out of service already: %s", reason)
			return base, nil
		}
		return base.WithException(fleetconfig.KindFailureDomain, name, c.reason, c.author, map[string]string{"out": "true"})
	}))
}

// domainIn brings a failure domain back into service. Like domainOut, it pushes the
// document even if nothing changed.
func (c *cli) domainIn(ctx context.Context, args []string) error {
	name := args[0]
	return c.applyDomainEdit(ctx, name, "in service", requireDocument(func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		if _, out := base.DomainEvacuated(name); !out {
			c.printf("in service already")
			return base, nil
		}
		return base.WithoutException(fleetconfig.KindFailureDomain, name)
	}))
}

// applyDomainEdit writes and pushes a change of a failure domain and prints when
// it is active, which is when a majority of the routers of the region have
// confirmed it. A majority is enough: a router admits new work only while the store
// or a majority of the region's routers has confirmed that there is no newer
// configuration, and any two majorities have a router in common. With fewer
// confirmations it returns ErrUnconfirmed.
func (c *cli) applyDomainEdit(ctx context.Context, name, state string, e edit) error {
	list, err := c.hostList(ctx)
	if err != nil {
		return err
	}
	if err := checkName(list, fleetconfig.KindFailureDomain, name); err != nil {
		return err
	}
	d, _, err := c.writeEdit(ctx, list, e)
	if err != nil || c.dryRun {
		return err
	}
	confirmed, majority := 0, 0
	region, targets := regionOf(list, name), c.targetRouters(list)
	// Routers given by --routers have no known region and count as in the region.
	inRegion := func(r router) bool { return r.region == region || r.region == "" }
	for _, t := range targets {
		if inRegion(t) {
			majority++
		}
	}
	majority = majority/2 + 1
	c.push(ctx, targets, d, func(r router) {
		if !inRegion(r) {
			return
		}
		confirmed++
		if confirmed == majority {
			c.printf("%s is %s: in force, version %d is confirmed by a majority of the routers of %s", name, state, d.Version(), region)
		}
	})
	if confirmed < majority {
		return fmt.Errorf("%s: %w: %d routers of %s confirmed, %d are needed", name, ErrUnconfirmed, confirmed, region, majority)
	}
	return nil
}
