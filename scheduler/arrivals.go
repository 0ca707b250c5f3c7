package scheduler

import (
	"cmp"
	"math"
	"time"
)

const (
	// arrivalWindow is the time constant with which the rate of admitted work is
	// averaged.
	arrivalWindow = time.Second
	// demandWindow is the same for the shares of routes, which change slowly.
	demandWindow = 10 * time.Second
)

// arrivals measures the rate at which work of each kind is admitted, as an
// exponentially decaying average.
type arrivals[K cmp.Ordered] struct {
	// window is the time constant.
	window time.Duration
	rates  map[K]decayingRate
	// since is the time of the first arrival; zero before it.
	since time.Time
}

// decayingRate is a rate in work per second at a moment.
type decayingRate struct {
	perSecond float64
	at        time.Time
}

func newArrivals[K cmp.Ordered](window time.Duration) arrivals[K] {
	return arrivals[K]{window: window, rates: make(map[K]decayingRate)}
}

// add records admitted work, in thousandths of a core times nanoseconds.
func (a *arrivals[K]) add(now time.Time, kind K, admitted float64) {
	if a.since.IsZero() {
		a.since = now
	}
	r := a.rates[kind]
	a.rates[kind] = decayingRate{perSecond: r.decayed(now, a.window) + admitted/float64(a.window), at: now}
}

// before returns the rate of the work of lower kinds, in thousandths of a core.
func (a *arrivals[K]) before(now time.Time, kind K) float64 {
	sum := 0.0
	for k, r := range a.rates {
		if k < kind {
			sum += r.decayed(now, a.window)
		}
	}
	return sum
}

// shareOf returns the fraction of the rate that is work of one kind; 0 if the
// arrivals of less than half a window are known.
func (a *arrivals[K]) shareOf(now time.Time, kind K) float64 {
	sum := 0.0
	for _, r := range a.rates {
		sum += r.decayed(now, a.window)
	}
	if sum == 0 || now.Sub(a.since) < a.window/2 {
		return 0
	}
	return a.rates[kind].decayed(now, a.window) / sum
}

func (r decayingRate) decayed(now time.Time, window time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(window))
}
