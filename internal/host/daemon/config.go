package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	configKey = "/hemlock/config"
	// watchersPerDomain is the number of routers per failure domain that read the
	// configuration from the store; the others get it from peers.
	watchersPerDomain = 2
	// confirmInterval is the time between two confirmations of the configuration by
	// the store. It is well below the default freshness limit of 4 s.
	confirmInterval    = time.Second
	configFetchTimeout = 500 * time.Millisecond
)

// activeConfig returns the active configuration, which is empty until one is
// received.
func (d *Daemon) activeConfig() *fleetconfig.Document { return d.config.Load() }

// ConfigVersion returns the active version, or 0 before a configuration is
// received.
func (d *Daemon) ConfigVersion() uint64 { return d.activeConfig().Version() }

// Config returns the version and text of the active configuration.
func (d *Daemon) Config() (uint64, []byte) {
	c := d.activeConfig()
	return c.Version(), c.Text()
}

// ApplyConfig validates a configuration from an operator and activates it if its
// version is higher than the active one. It returns the version that is active
// afterwards.
func (d *Daemon) ApplyConfig(text []byte) (uint64, error) {
	_, err := d.applyConfig(text, "operator")
	return d.ConfigVersion(), err
}

// applyConfig validates a configuration and activates it if its version is higher
// than the active one. It returns the version of text, even if a higher one is
// active.
func (d *Daemon) applyConfig(text []byte, source string) (uint64, error) {
	next, err := fleetconfig.Parse(text)
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

// announceConfig sets the version that exchanges announce to peers and logs the
// change.
func (d *Daemon) announceConfig(old, next *fleetconfig.Document, source string) {
	d.members.SetConfig(time.Now(), next.Version(), time.Time{})
	d.log.WithFields(logrus.Fields{
		"event": "config", "version": next.Version(), "previous": old.Version(), "from": source,
		"changes": len(fleetconfig.Diff(old, next)),
	}).Info("configuration in force")
}

// fetchRequest asks for a configuration of at least a version from the peer at
// address.
type fetchRequest struct {
	address string
	version uint64
}

// requestConfigFetch queues a fetch of the configuration from the router at
// address. It drops the request if one is queued already; the peer's next message
// triggers another.
func (d *Daemon) requestConfigFetch(address string, version uint64) {
	select {
	case d.fetchRequests <- fetchRequest{address, version}:
	default:
	}
}

// runConfigFetches fetches newer configurations from peers, one at a time.
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

// isConfigWatcher reports whether this router reads the configuration from the
// store. In each failure domain the first watchersPerDomain live routers in
// rendezvous order do. A router whose configuration is missing or not fresh always
// does, since no router is live yet when all of them start together.
func (d *Daemon) isConfigWatcher(now time.Time) bool {
	var ids []string
	for _, p := range d.members.Live(now) {
		if p.FailureDomain == d.settings.FailureDomain() {
			ids = append(ids, p.ID)
		}
	}
	order := rendezvous.Order(rendezvous.Key("config"), ids)
	for _, id := range order[:min(watchersPerDomain, len(order))] {
		if id == d.settings.ID() {
			return true
		}
	}
	return d.ConfigVersion() == 0 || !d.members.Fresh(now)
}

// runConfigWatch reads and watches the configuration in the store while this
// router is a config watcher.
func (d *Daemon) runConfigWatch(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	stopWatch := context.CancelFunc(func() {})
	watchDone := make(chan error, 1)
	watchRunning := false
	for {
		watcher := d.isConfigWatcher(time.Now())
		if watcher {
			d.confirmConfig(ctx)
		}
		if watcher && !watchRunning {
			var watchCtx context.Context
			watchCtx, stopWatch = context.WithCancel(ctx)
			watchRunning = true
			go func() { watchDone <- d.watchConfig(watchCtx) }()
		}
		if !watcher && watchRunning {
			stopWatch()
		}
		select {
		case <-ctx.Done():
			stopWatch()
			if watchRunning {
				<-watchDone
			}
			return ctx.Err()
		case err := <-watchDone:
			watchRunning = false
			stopWatch()
			d.log.WithFields(logrus.Fields{"event": "config-watch-end", "error": err}).Debug("configuration watch ended")
		case <-ticker.C:
		}
	}
}

// confirmConfig checks the revision of the configuration in the store, applies the
// document if it changed, and records the confirmation. Its time is taken before the
// store call, so that a slow response does not make it look recent.
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

// storedConfig is the configuration that was last read from the store.
type storedConfig struct {
	revision int64
	version  uint64
	// invalidRevision is the revision of a document that was rejected, which is not
	// read again.
	invalidRevision int64
}

// recordConfirmation records that version was the newest in the store at the time
// sent. It ignores versions other than the active one: a higher version that came
// from a peer or an operator is not confirmed by it.
func (d *Daemon) recordConfirmation(version uint64, sent time.Time) {
	if version == d.ConfigVersion() {
		d.members.SetConfig(time.Now(), version, sent)
	}
}

// watchConfig applies configuration changes from a watch on the store until ctx
// ends or the watch fails.
func (d *Daemon) watchConfig(ctx context.Context) error {
	err := d.store.Watch(ctx, configKey, 0, func(e etcd.Event) {
		if e.Deleted() {
			return
		}
		if _, err := d.applyConfig(e.KeyValue().Value(), "watch"); err != nil {
			d.log.WithFields(logrus.Fields{"event": "config-refused", "error": err}).Error("configuration from watch is not valid")
		}
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
