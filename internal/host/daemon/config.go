package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	configKey = "/hemlock/config"
	// watchers is how many routers of a failure domain read the configuration
	// from the store; the others learn it from peers.
	watchers = 2
	// confirmInterval is the time between two confirmations by the store, a
	// fraction of the freshness limit of 4 s.
	confirmInterval = time.Second
	fetchTimeout    = 500 * time.Millisecond
)

// document returns the configuration in force, an empty one before the first.
func (d *Daemon) document() *fleet.Document { return d.config.Load() }

// ConfigVersion returns the version in force, 0 before the first.
func (d *Daemon) ConfigVersion() uint64 { return d.document().Version() }

// Config returns the version and text in force.
func (d *Daemon) Config() (uint64, []byte) {
	c := d.document()
	return c.Version(), c.Text()
}

// Deliver checks a document and puts it in force if its version is higher than
// the present one. It returns the version in force afterwards.
func (d *Daemon) Deliver(text []byte) (uint64, error) {
	_, err := d.deliver(text, "operator")
	return d.ConfigVersion(), err
}

// deliver returns the version of the document, whether or not a higher one is
// in force.
func (d *Daemon) deliver(text []byte, from string) (uint64, error) {
	next, err := fleet.Parse(text)
	if err != nil {
		return 0, fmt.Errorf("configuration refused: %w", err)
	}
	for {
		present := d.config.Load()
		if next.Version() <= present.Version() {
			return next.Version(), nil
		}
		if d.config.CompareAndSwap(present, next) {
			d.logConfig(present, next, from)
			return next.Version(), nil
		}
	}
}

func (d *Daemon) logConfig(old, next *fleet.Document, from string) {
	d.members.SetConfig(time.Now(), next.Version(), time.Time{})
	d.log.WithFields(logrus.Fields{
		"event": "config", "version": next.Version(), "previous": old.Version(), "from": from,
		"changes": len(fleet.Diff(old, next)),
	}).Info("configuration in force")
}

// newer is a configuration version that a peer has.
type newer struct {
	address string
	version uint64
}

// fetchFrom asks runFetch for the configuration of the router at address. If a
// fetch is under way already, the next message of the peer asks again.
func (d *Daemon) fetchFrom(address string, version uint64) {
	select {
	case d.fetches <- newer{address, version}:
	default:
	}
}

// runFetch gets newer configurations from peers, one at a time.
func (d *Daemon) runFetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-d.fetches:
			if n.version <= d.ConfigVersion() {
				continue
			}
			if err := d.fetch(ctx, n.address, n.version); err != nil {
				d.log.WithFields(logrus.Fields{"event": "config-fetch", "peer": n.address, "version": n.version, "error": err}).Warn("configuration not fetched")
			}
		}
	}
}

func (d *Daemon) fetch(ctx context.Context, address string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := d.dialer.Client(address).FetchConfig(ctx, &rpc.FetchConfigRequest{AtLeast: version})
	if err != nil {
		return err
	}
	_, err = d.deliver(r.Document, address)
	return err
}

// watchesStore reports whether this router is one of those of its failure
// domain that read the configuration from the store. A router without a
// configuration, or whose configuration nobody confirms, always does: when all
// routers start together, none of them is live yet.
func (d *Daemon) watchesStore(now time.Time) bool {
	var ids []string
	for _, p := range d.members.Live(now) {
		if p.FailureDomain == d.settings.FailureDomain() {
			ids = append(ids, p.ID)
		}
	}
	order := place.Order(place.Key("config"), ids)
	for _, id := range order[:min(watchers, len(order))] {
		if id == d.settings.ID() {
			return true
		}
	}
	return d.ConfigVersion() == 0 || !d.members.Fresh(now)
}

// runConfig keeps the configuration up to date from the store while this
// router is one that watches it.
func (d *Daemon) runConfig(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	stopWatch := context.CancelFunc(func() {})
	watchEnd := make(chan error, 1)
	watching := false
	for {
		active := d.watchesStore(time.Now())
		if active {
			d.confirm(ctx)
		}
		if active && !watching {
			var watchCtx context.Context
			watchCtx, stopWatch = context.WithCancel(ctx)
			watching = true
			go func() { watchEnd <- d.watch(watchCtx) }()
		}
		if !active && watching {
			stopWatch()
		}
		select {
		case <-ctx.Done():
			stopWatch()
			if watching {
				<-watchEnd
			}
			return ctx.Err()
		case err := <-watchEnd:
			watching = false
			stopWatch()
			d.log.WithFields(logrus.Fields{"event": "config-watch-end", "error": err}).Debug("watch ended")
		case <-ticker.C:
		}
	}
}

// confirm notes when the store confirmed the version in force, and reads the
// document if it has changed there. The time counts from before the call, so
// that a slow answer is not taken for a fresh one.
func (d *Daemon) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmInterval)
	defer cancel()
	sent := time.Now()
	revision, err := d.store.Revision(ctx, configKey)
	if err != nil || revision == 0 || revision == d.stored.refused {
		return
	}
	if revision == d.stored.revision {
		d.confirmed(d.stored.version, sent)
		return
	}
	kv, found, err := d.store.Get(ctx, configKey)
	if err != nil || !found {
		return
	}
	version, err := d.deliver(kv.Value(), "store")
	if err != nil {
		d.stored.refused = kv.ModRevision()
		d.log.WithFields(logrus.Fields{"event": "config-refused", "revision": kv.ModRevision(), "error": err}).Error("stored configuration is not valid")
		return
	}
	d.stored = stored{revision: kv.ModRevision(), version: version}
	d.confirmed(version, sent)
}

// stored is what the store held when it was last read.
type stored struct {
	revision int64
	version  uint64
	// refused is the revision of a document that is not valid.
	refused int64
}

// confirmed notes that the store held a version as the newest. A higher version
// that arrived on another path has not been confirmed yet.
func (d *Daemon) confirmed(version uint64, sent time.Time) {
	if version == d.ConfigVersion() {
		d.members.SetConfig(time.Now(), version, sent)
	}
}

// watch delivers changes as the store announces them.
func (d *Daemon) watch(ctx context.Context) error {
	err := d.store.Watch(ctx, configKey, 0, func(e etcd.Event) {
		if e.Deleted() {
			return
		}
		if _, err := d.deliver(e.KeyValue().Value(), "watch"); err != nil {
			d.log.WithFields(logrus.Fields{"event": "config-refused", "error": err}).Error("announced configuration is not valid")
		}
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
