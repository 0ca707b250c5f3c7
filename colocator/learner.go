package colocator

import (
	"math"
	"time"
)

const (
	// DefaultFactor is the factor by which a task takes longer away from its data
	// if the settings give none.
	DefaultFactor = 1.5
	// minFactor and maxFactor bound what is learned.
	minFactor, maxFactor = 1, 4
	// priorRuns is the number of runs that the prior counts for.
	priorRuns = 4
	// minWeight is the weight of a new run once many are known; about twenty runs
	// make up most of the average.
	minWeight = 0.05
	// runSpread is the spread of the runtimes of tasks of one job at one minion.
	runSpread = 0.15
	// priorSpread is the uncertainty of the prior of a factor.
	priorSpread = 0.2
	// maxPlaces caps the places whose waits are known.
	maxPlaces = 1024
	// minWaitRatio and maxWaitRatio bound the ratio of waits to expected waits.
	minWaitRatio, maxWaitRatio = 0.25, 8
	// minWait is the least wait that enters a ratio.
	minWait = time.Millisecond
)

// average is a moving average of logarithms.
type average struct {
	mean  float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	a.mean += (sample - a.mean) * max(minWeight, 1/float64(a.count+priorRuns))
}

// costs are the ratios of runtimes to expectation of one route.
type costs struct{ near, away average }

// Learner learns by route how much longer tasks take away from their data, and
// by place how long waits are. Routes that it has not seen have the prior.
type Learner struct {
	prior  float64
	routes map[string]*costs
	places map[string]*average
}

// NewLearner returns a learner that expects the factor prior at first; 0 for
// DefaultFactor.
func NewLearner(prior float64) *Learner {
	if prior == 0 {
		prior = DefaultFactor
	}
	return &Learner{prior: clampFactor(prior), routes: make(map[string]*costs), places: make(map[string]*average)}
}

// Factor returns the factor of a route.
func (l *Learner) Factor(route string) float64 {
	c := l.routes[route]
	if c == nil {
		return l.prior
	}
	return clampFactor(math.Exp(c.away.mean - c.near.mean))
}

// Spread returns the spread of runtimes near the data of a route and away from
// it, which includes the uncertainty of the factor.
func (l *Learner) Spread(route string) (near, away float64) {
	runs := 0
	if c := l.routes[route]; c != nil {
		runs = c.away.count
	}
	return runSpread, math.Hypot(runSpread, priorSpread/math.Sqrt(1+float64(runs)))
}

// ObserveRun adds a run that was done: its runtime, and the one that was
// expected near the data at the same minion. Both averages count, since
// estimates of the work may be off on a route.
func (l *Learner) ObserveRun(route string, away bool, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	c := l.routes[route]
	if c == nil {
		c = &costs{away: average{mean: math.Log(l.prior)}}
		l.routes[route] = c
	}
	bound := math.Log(2 * maxFactor)
	sample := min(max(math.Log(float64(took)/float64(expected)), -bound), bound)
	if away {
		c.away.add(sample)
	} else {
		c.near.add(sample)
	}
}

// ExpectedWait corrects the wait for a place that follows from its load by the
// waits there.
func (l *Learner) ExpectedWait(place string, computed time.Duration) time.Duration {
	a := l.places[place]
	if a == nil {
		return computed
	}
	return time.Duration(float64(computed) * min(max(math.Exp(a.mean), minWaitRatio), maxWaitRatio))
}

// ObserveWait adds a wait for a place, and what the load made expect. A wait that
// ended without room would have been longer.
func (l *Learner) ObserveWait(place string, waited, computed time.Duration, hadRoom bool) {
	if !hadRoom {
		waited = max(2*waited, computed)
	}
	a := l.places[place]
	if a == nil {
		if len(l.places) >= maxPlaces {
			clear(l.places)
		}
		a = &average{}
		l.places[place] = a
	}
	ratio := float64(max(waited, minWait)) / float64(max(computed, minWait))
	a.add(math.Log(min(max(ratio, minWaitRatio), maxWaitRatio)))
}

func clampFactor(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }
