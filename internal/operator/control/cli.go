package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
)

// cli holds the flags and peers of one run of hemlockctl.
type cli struct {
	out          io.Writer
	openStore    func(endpoints []string) Store
	routerClient *routerClient

	storeURLs       []string
	hostListURL     string
	routerAddresses []string
	timeout         time.Duration
	storeRetryDelay time.Duration // between attempts to settle a lost response
	dryRun          bool
	reason          string
	author          string
	request         string
	upstream        string
	secretFile      string
	generation      int // generation of an issued key, 0 for the workspace's own
}

func newCLI(out io.Writer) *cli {
	open := func(endpoints []string) Store { return etcd.New(endpoints) }
	return &cli{out: out, openStore: open, routerClient: newRouterClient(), storeRetryDelay: storeRetryDelay}
}

func (c *cli) printf(format string, args ...any) { fmt.Fprintf(c.out, format+"\n", args...) }

// store returns the store named by the flags.
func (c *cli) store() (Store, error) {
	if len(c.storeURLs) == 0 {
		return nil, errors.New("no store given, give --store")
	}
	return c.openStore(c.storeURLs), nil
}

// readDocument returns the document in the store.
func (c *cli) readDocument(ctx context.Context) (*fleet.Document, error) {
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

// hostList returns the host list, nil if none was named.
func (c *cli) hostList(ctx context.Context) (*hosts.List, error) {
	if c.hostListURL == "" {
		return nil, nil
	}
	p := hosts.NewPoller(c.hostListURL, time.Hour, &http.Client{})
	if err := p.Poll(ctx); err != nil {
		return nil, err
	}
	return p.Current(), nil
}

// targetRouters returns the routers to talk to: those of the host list, or those
// given by address if the list has no operators' addresses or is not given.
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

// edit makes the next document from the present one, which is nil if there is
// none.
type edit func(base *fleet.Document) (*fleet.Document, error)

// requireDocument is an edit that needs a document.
func requireDocument(change func(base *fleet.Document) (*fleet.Document, error)) edit {
	return func(base *fleet.Document) (*fleet.Document, error) {
		if base == nil {
			return nil, ErrNoDocument
		}
		return change(base)
	}
}

// writeEdit reads the document, edits it, shows the difference and writes the
// result. It returns the document in the store and whether it was changed.
func (c *cli) writeEdit(ctx context.Context, list *hosts.List, e edit) (*fleet.Document, bool, error) {
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
	changes := fleet.Diff(base.document, next)
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

// applyEdit makes a change and pushes it to all routers.
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

// push sends the document to the routers and shows how many confirmed it;
// confirmed is called for each that did.
func (c *cli) push(ctx context.Context, targets []router, d *fleet.Document, onConfirmation func(router)) {
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
