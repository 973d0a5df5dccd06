package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// ReloadSignals returns the channel of signals that announce changed settings. It
// must be called first in a process, since an unhandled SIGHUP terminates it.
func ReloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// WatchReload validates the settings file at each signal and logs the result.
// Addresses and bounds are fixed for the life of a process, so changes take
// effect at the next start. The channel is closed when ctx is done.
func WatchReload(ctx context.Context, signals <-chan os.Signal, path string, log logrus.FieldLogger) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
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
