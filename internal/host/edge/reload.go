package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// WatchReload checks the settings file at each SIGHUP and logs the outcome.
// Addresses and bounds are fixed for the life of a process, so a change takes
// effect at the next start. The channel is closed when ctx is done.
func WatchReload(ctx context.Context, path string, log logrus.FieldLogger) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				_, err := LoadSettings(path)
				log.WithError(err).WithField("settings", path).Info("reload")
			}
		}
	}()
	return done
}
