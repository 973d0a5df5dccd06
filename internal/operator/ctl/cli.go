package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
)

// cli is one run of hemlockctl: its flags and its clients for the store and the
// routers.
type cli struct {
	out          io.Writer
	openStore    func(endpoints []string) Store
	routerClient *routerClient

	storeURLs       []string
	hostListURL     string
	routerAddresses []string
	timeout         time.Duration
	storeRetryDelay time.Duration // between attempts of a write whose response was lost
	dryRun          bool
	reason          string
	author          string
	requestID       string
	upstreamID      string
	secretFile      string
	generation      int // generation of the key to issue, 0 for the workspace's current one
}

func newCLI(out io.Writer) *cli {
	openStore := func(endpoints []string) Store { return etcd.New(endpoints) }
	return &cli{out: out, openStore: openStore, routerClient: newRouterClient(), storeRetryDelay: storeRetryDelay}
}

func (c *cli) printf(format string, args ...any) { fmt.Fprintf(c.out, format+"\n", args...) }

// store returns a client of the store given by --store.
func (c *cli) store() (Store, error) {
	if len(c.storeURLs) == 0 {
		return nil, errors.New("no store given, use --store")
	}
	return c.openStore(c.storeURLs), nil
}

// readDocument returns the document in the store, or ErrNoDocument.
func (c *cli) readDocument(ctx context.Context) (*fleetconfig.Document, error) {
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	base, err := readSnapshot(ctx, store)
	if err == nil && base.document == nil {
		err = ErrNoDocument
	}
	return base.document, err
}

// hostList reads the host list given by --hosts. It returns nil without the
// flag.
func (c *cli) hostList(ctx context.Context) (*hosts.List, error) {
	if c.hostListURL == "" {
		return nil, nil
	}
	p := hosts.NewPoller(c.hostListURL, time.Hour, hosts.NewClient(0))
	if err := p.Poll(ctx); err != nil {
		return nil, err
	}
	return p.Current(), nil
}

// targetRouters returns the routers of the host list. If --routers is given and
// the list is missing or has no operators' addresses, it returns the routers of
// that flag.
func (c *cli) targetRouters(list *hosts.List) []router {
	var targets []router
	if list != nil {
		targets = listedRouters(list)
	}
	if slices.ContainsFunc(targets, func(r router) bool { return r.address != "" }) || len(c.routerAddresses) == 0 {
		return targets
	}
	targets = nil
	for _, address := range c.routerAddresses {
		targets = append(targets, router{id: address, address: address})
	}
	return targets
}

// edit returns the changed document; base is the current one, nil if the store
// has none.
type edit func(base *fleetconfig.Document) (*fleetconfig.Document, error)

// requireDocument returns an edit that fails with ErrNoDocument if the store has
// no document.
func requireDocument(change func(base *fleetconfig.Document) (*fleetconfig.Document, error)) edit {
	return func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		if base == nil {
			return nil, ErrNoDocument
		}
		return change(base)
	}
}

// writeEdit reads the document, applies the edit, prints the difference and
// writes the result, unless nothing changed or --dry-run is given. It returns
// the document that the store holds now and whether it was written.
func (c *cli) writeEdit(ctx context.Context, list *hosts.List, e edit) (*fleetconfig.Document, bool, error) {
	store, err := c.store()
	if err != nil {
		return nil, false, err
	}
	base, err := readSnapshot(ctx, store)
	if err != nil {
		return nil, false, err
	}
	next, err := e(base.document)
	if err != nil {
		return nil, false, err
	}
	if err := checkNewExceptions(list, base.document, next); err != nil {
		return nil, false, err
	}
	changes := fleetconfig.Diff(base.document, next)
	for _, change := range changes {
		c.printf("%s", change)
	}
	if base.document != nil && len(changes) == 0 {
		c.printf("no change, version %d stays", base.version())
		return base.document, false, nil
	}
	if c.dryRun {
		c.printf("not written")
		return base.document, false, nil
	}
	d, err := documentWriter{store, storeRetryTimeout, c.storeRetryDelay}.write(ctx, base, next)
	if err != nil {
		return nil, false, err
	}
	c.printf("version %d written", d.Version())
	return d, true, nil
}

// applyEdit writes an edited document to the store and pushes it to all routers.
func (c *cli) applyEdit(ctx context.Context, e edit) error {
	list, err := c.hostList(ctx)
	if err != nil {
		return err
	}
	d, changed, err := c.writeEdit(ctx, list, e)
	if err != nil || !changed {
		return err
	}
	c.push(ctx, c.targetRouters(list), d, func(router) {})
	return nil
}

// push sends the document to the routers and prints how many confirmed it. It
// calls onConfirmation for each router that did.
func (c *cli) push(ctx context.Context, targets []router, d *fleetconfig.Document, onConfirmation func(router)) {
	var failed []routerResponse
	c.routerClient.push(ctx, c.timeout, targets, d, func(r routerResponse) {
		if r.err != nil {
			failed = append(failed, r)
			return
		}
		onConfirmation(r.router)
	})
	slices.SortFunc(failed, compareResponses)
	for _, r := range failed {
		c.printf("not confirmed by %s: %s", r.router.id, r.err)
	}
	c.printf("confirmed by %d of %d routers within %s", len(targets)-len(failed), len(targets), c.timeout)
}
