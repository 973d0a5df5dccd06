package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// quarantineKey holds the quarantined messages. It has no lease, since it must
	// outlast all routers; its content has its own time limits.
	quarantineKey = "/hemlock/quarantine"
	// loadRetryDelay is the time between two attempts to read it at the start.
	loadRetryDelay = 2 * time.Second
)

// errSavedMeanwhile means that another router saved the quarantine at the same time.
var errSavedMeanwhile = errors.New("another router saved the quarantine")

// SaveQuarantine stores a document in place of the last one.
func (g *partGuard) SaveQuarantine(ctx context.Context, document []byte) error {
	current, found, err := g.daemon.store.Get(ctx, quarantineKey)
	if err != nil {
		return err
	}
	var done bool
	if found {
		done, _, err = g.daemon.store.Swap(ctx, quarantineKey, current.ModRevision(), document, 0)
	} else {
		done, _, err = g.daemon.store.Create(ctx, quarantineKey, document, 0)
	}
	if err == nil && !done {
		err = errSavedMeanwhile
	}
	return err
}

// QuarantineRouters returns the ID of this router and of all live ones.
func (g *partGuard) QuarantineRouters() (self string, all []string) {
	for _, p := range g.daemon.members.Live(time.Now()) {
		all = append(all, p.ID)
	}
	return g.daemon.settings.ID(), all
}

// QuarantineSaved logs that the quarantined sets were saved.
func (g *partGuard) QuarantineSaved(bytes int, err error) {
	g.daemon.log.WithFields(logrus.Fields{"event": "quarantine-saved", "bytes": bytes, "error": err}).Info("quarantine saved")
}

// load adopts the saved sets once after the start.
func (g *partGuard) load(ctx context.Context) error {
	for ctx.Err() == nil {
		saved, found, err := g.daemon.store.Get(ctx, quarantineKey)
		if err == nil && found {
			if err := g.saver.Load(saved.Value()); err != nil {
				g.daemon.log.WithFields(logrus.Fields{"event": "quarantine-load", "error": err}).Warn("ignoring invalid entry of the saved quarantine")
			}
		}
		if err == nil {
			break
		}
		clock.Sleep(ctx, loadRetryDelay)
	}
	<-ctx.Done()
	return ctx.Err()
}
