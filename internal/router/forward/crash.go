package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/crash"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

const (
	// crashCheckTimeout limits the check whether an upstream still accepts
	// connections; the next attempt waits for it.
	crashCheckTimeout = 100 * time.Millisecond
	// maxCrashDelay is the time after the first event of a response in which its
	// request counts as a possible cause of a crash.
	maxCrashDelay = time.Second
)

// recordBroken records that the connection of the current attempt ended, and checks
// whether the upstream has crashed. An upstream that leaves ends without a crash.
func (j *job) recordBroken(u *directory.Upstream, err error) {
	now := clock.Now()
	if j.info.Parts == nil || !connectionEnded(err) || !j.Directory.Receives(u) || j.attemptBegan != 0 && now.Sub(j.attemptBegan) > maxCrashDelay {
		return
	}
	if !j.Crashes.RecordBroken(now, u.Engine(), u.ID(), j.serviceName, crash.Request{ID: j.info.ID, Parts: j.parts()}) {
		return
	}
	// A crash is evidence also if the time of the request is over.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(j.ctx), crashCheckTimeout)
	defer cancel()
	switch err := j.Pools.Get(u.ID(), u.Incarnation(), u.Address()).Check(ctx); {
	case err == nil:
		j.Crashes.Alive(u.Engine())
	case errors.Is(err, syscall.ECONNREFUSED):
		j.recordGone(u)
	}
}

// recordGone records that an incarnation of an upstream does not exist any more.
func (j *job) recordGone(u *directory.Upstream) {
	if r, ok := j.Crashes.Gone(clock.Now(), u.Engine()); ok {
		j.ReportCrash(r)
	}
}

// connectionEnded reports whether an attempt failed because the upstream ended its
// connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
