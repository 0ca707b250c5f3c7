package scheduler

import (
	"math"
	"time"
)

// arrivalWindow is the time constant with which the rate of admitted work is
// averaged.
const arrivalWindow = time.Second

// arrivals measures the rate at which work of each priority is admitted, as an
// exponentially decaying average.
type arrivals struct{ rates map[int]decayingRate }

// decayingRate is a rate in work per second at a moment.
type decayingRate struct {
	perSecond float64
	at        time.Time
}

func newArrivals() arrivals { return arrivals{rates: make(map[int]decayingRate)} }

// add records admitted work, in thousandths of a core times nanoseconds.
func (a *arrivals) add(now time.Time, priority int, admitted float64) {
	r := a.rates[priority]
	a.rates[priority] = decayingRate{perSecond: r.decayed(now) + admitted/float64(arrivalWindow), at: now}
}

// before returns the rate of the work that goes before a priority, in
// thousandths of a core.
func (a *arrivals) before(now time.Time, priority int) float64 {
	sum := 0.0
	for p, r := range a.rates {
		if p < priority {
			sum += r.decayed(now)
		}
	}
	return sum
}

func (r decayingRate) decayed(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(arrivalWindow))
}
