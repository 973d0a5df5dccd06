package shedding

import (
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// rateWindow is the time constant of the exponentially weighted rates. A shorter one
// makes the rates of 90 routers with 3 requests per second too noisy, a longer one
// delays the use of an upstream that has returned.
const rateWindow = 400 * time.Millisecond

// slowWindow is the time constant of the rates of a router that hears of no peers and
// handles too few requests for rateWindow.
const slowWindow = 5 * time.Second

// rate is an exponentially weighted number of events per second, with both time
// constants.
type rate struct {
	fast, slow float64
	at         clock.Instant
}

// get returns the rate at a time.
func (r rate) get(now clock.Instant) float64 { return decay(r.fast, now.Sub(r.at), rateWindow) }

// getSlow returns the rate with slowWindow at a time.
func (r rate) getSlow(now clock.Instant) float64 { return decay(r.slow, now.Sub(r.at), slowWindow) }

// add counts events, or the sum of a quantity over them.
func (r *rate) add(now clock.Instant, n float64) {
	r.fast = r.get(now) + n/rateWindow.Seconds()
	r.slow = r.getSlow(now) + n/slowWindow.Seconds()
	r.at = now
}

func decay(value float64, age, window time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp(-max(0, age.Seconds())/window.Seconds())
}
