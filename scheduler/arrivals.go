package scheduler

import (
	"cmp"
	"math"
	"time"
)

// arrivalWindow is the time constant with which the rate of admitted work is
// averaged.
const arrivalWindow = time.Second

// arrivals measures the rate at which work of each kind is admitted, as an
// exponentially decaying average.
type arrivals[K cmp.Ordered] struct{ rates map[K]decayingRate }

// decayingRate is a rate in work per second at a moment.
type decayingRate struct {
	perSecond float64
	at        time.Time
}

func newArrivals[K cmp.Ordered]() arrivals[K] { return arrivals[K]{rates: make(map[K]decayingRate)} }

// add records admitted work, in thousandths of a core times nanoseconds.
func (a *arrivals[K]) add(now time.Time, kind K, admitted float64) {
	r := a.rates[kind]
	a.rates[kind] = decayingRate{perSecond: r.decayed(now) + admitted/float64(arrivalWindow), at: now}
}

// before returns the rate of the work of lower kinds, in thousandths of a core.
func (a *arrivals[K]) before(now time.Time, kind K) float64 {
	sum := 0.0
	for k, r := range a.rates {
		if k < kind {
			sum += r.decayed(now)
		}
	}
	return sum
}

// shareOf returns the fraction of the rate that is work of one kind; 0 without
// any.
func (a *arrivals[K]) shareOf(now time.Time, kind K) float64 {
	sum := 0.0
	for _, r := range a.rates {
		sum += r.decayed(now)
	}
	if sum == 0 {
		return 0
	}
	return a.rates[kind].decayed(now) / sum
}

func (r decayingRate) decayed(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(arrivalWindow))
}
