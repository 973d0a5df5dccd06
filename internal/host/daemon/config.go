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
	// watchersPerDomain is how many routers of a failure domain read the configuration
	// from the store; the others learn it from peers.
	watchersPerDomain = 2
	// confirmInterval is the time between two confirmations by the store, a
	// fraction of the freshness limit of 4 s.
	confirmInterval    = time.Second
	configFetchTimeout = 500 * time.Millisecond
)

// activeConfig returns the configuration in force, an empty one before the first.
func (d *Daemon) activeConfig() *fleet.Document { return d.config.Load() }

// ConfigVersion returns the version in force, 0 before the first.
func (d *Daemon) ConfigVersion() uint64 { return d.activeConfig().Version() }

// Config returns the version and text in force.
func (d *Daemon) Config() (uint64, []byte) {
	c := d.activeConfig()
	return c.Version(), c.Text()
}

// ApplyConfig checks a document and puts it in force if its version is higher than
// the present one. It returns the version in force afterwards.
func (d *Daemon) ApplyConfig(text []byte) (uint64, error) {
	_, err := d.applyConfig(text, "operator")
	return d.ConfigVersion(), err
}

// applyConfig returns the version of the document, whether or not a higher one is
// in force.
func (d *Daemon) applyConfig(text []byte, source string) (uint64, error) {
	next, err := fleet.Parse(text)
	if err != nil {
		return 0, fmt.Errorf("configuration refused: %w", err)
	}
	for {
		current := d.config.Load()
		if next.Version() <= current.Version() {
			return next.Version(), nil
		}
		if d.config.CompareAndSwap(current, next) {
			d.announceConfig(current, next, source)
			return next.Version(), nil
		}
	}
}

func (d *Daemon) announceConfig(old, next *fleet.Document, source string) {
	d.members.SetConfig(time.Now(), next.Version(), time.Time{})
	d.log.WithFields(logrus.Fields{
		"event": "config", "version": next.Version(), "previous": old.Version(), "from": source,
		"changes": len(fleet.Diff(old, next)),
	}).Info("configuration in force")
}

// fetchRequest is a configuration version that a peer has.
type fetchRequest struct {
	address string
	version uint64
}

// requestConfigFetch asks runConfigFetches for the configuration of the router at address. If a
// fetch is under way already, the next message of the peer asks again.
func (d *Daemon) requestConfigFetch(address string, version uint64) {
	select {
	case d.fetchRequests <- fetchRequest{address, version}:
	default:
	}
}

// runConfigFetches gets newer configurations from peers, one at a time.
func (d *Daemon) runConfigFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-d.fetchRequests:
			if r.version <= d.ConfigVersion() {
				continue
			}
			if err := d.fetchConfig(ctx, r.address, r.version); err != nil {
				d.log.WithFields(logrus.Fields{"event": "config-fetch", "peer": r.address, "version": r.version, "error": err}).Warn("configuration not fetched")
			}
		}
	}
}

func (d *Daemon) fetchConfig(ctx context.Context, address string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	r, err := d.peerClients.Client(address).FetchConfig(ctx, &rpc.FetchConfigRequest{AtLeast: version})
	if err != nil {
		return err
	}
	_, err = d.applyConfig(r.Document, address)
	return err
}

// isConfigWatcher reports whether this router is one of those of its failure
// domain that read the configuration from the store. A router without a
// configuration, or whose configuration nobody confirms, always does: when all
// routers start together, none of them is live yet.
func (d *Daemon) isConfigWatcher(now time.Time) bool {
	var ids []string
	for _, p := range d.members.Live(now) {
		if p.FailureDomain == d.settings.FailureDomain() {
			ids = append(ids, p.ID)
		}
	}
	order := place.Order(place.Key("config"), ids)
	for _, id := range order[:min(watchersPerDomain, len(order))] {
		if id == d.settings.ID() {
			return true
		}
	}
	return d.ConfigVersion() == 0 || !d.members.Fresh(now)
}

// runConfigWatch keeps the configuration up to date from the store while this
// router is one that watches it.
func (d *Daemon) runConfigWatch(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	stopWatch := context.CancelFunc(func() {})
	watchDone := make(chan error, 1)
	watching := false
	for {
		watcher := d.isConfigWatcher(time.Now())
		if watcher {
			d.confirmConfig(ctx)
		}
		if watcher && !watching {
			var watchCtx context.Context
			watchCtx, stopWatch = context.WithCancel(ctx)
			watching = true
			go func() { watchDone <- d.watchConfig(watchCtx) }()
		}
		if !watcher && watching {
			stopWatch()
		}
		select {
		case <-ctx.Done():
			stopWatch()
			if watching {
				<-watchDone
			}
			return ctx.Err()
		case err := <-watchDone:
			watching = false
			stopWatch()
			d.log.WithFields(logrus.Fields{"event": "config-watch-end", "error": err}).Debug("watch ended")
		case <-ticker.C:
		}
	}
}

// confirmConfig notes when the store confirmed the version in force, and reads the
// document if it has changed there. The time counts from before the call, so
// that a slow answer is not taken for a fresh one.
func (d *Daemon) confirmConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmInterval)
	defer cancel()
	sent := time.Now()
	revision, err := d.store.Revision(ctx, configKey)
	if err != nil || revision == 0 || revision == d.storedConfig.invalidRevision {
		return
	}
	if revision == d.storedConfig.revision {
		d.recordConfirmation(d.storedConfig.version, sent)
		return
	}
	kv, found, err := d.store.Get(ctx, configKey)
	if err != nil || !found {
		return
	}
	version, err := d.applyConfig(kv.Value(), "store")
	if err != nil {
		d.storedConfig.invalidRevision = kv.ModRevision()
		d.log.WithFields(logrus.Fields{"event": "config-refused", "revision": kv.ModRevision(), "error": err}).Error("stored configuration is not valid")
		return
	}
	d.storedConfig = storedConfig{revision: kv.ModRevision(), version: version}
	d.recordConfirmation(version, sent)
}

// storedConfig is what the store held when it was last read.
type storedConfig struct {
	revision int64
	version  uint64
	// invalidRevision is the revision of a document that is not valid.
	invalidRevision int64
}

// recordConfirmation notes that the store held a version as the newest. A higher version
// that arrived on another path has not been confirmed yet.
func (d *Daemon) recordConfirmation(version uint64, sent time.Time) {
	if version == d.ConfigVersion() {
		d.members.SetConfig(time.Now(), version, sent)
	}
}

// watchConfig delivers changes as the store announces them.
func (d *Daemon) watchConfig(ctx context.Context) error {
	err := d.store.Watch(ctx, configKey, 0, func(e etcd.Event) {
		if e.Deleted() {
			return
		}
		if _, err := d.applyConfig(e.KeyValue().Value(), "watch"); err != nil {
			d.log.WithFields(logrus.Fields{"event": "config-refused", "error": err}).Error("announced configuration is not valid")
		}
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
