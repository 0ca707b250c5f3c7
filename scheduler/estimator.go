package scheduler

import (
	"math"
	"time"
)

const (
	// defaultWork is the expected work on a route without hints and history;
	// about the middle of the work that the users describe.
	defaultWork = 200 * time.Millisecond
	// minWork and maxWork bound the sample that is learned from one hint or run.
	minWork = time.Millisecond
	maxWork = time.Minute
	// sampleWeight is the weight of a new job in the moving average of its route;
	// about thirty jobs make up most of it.
	sampleWeight = 0.05
	// hintWeight is the weight of a caller's hint against the mean of its route.
	// Both are off by about the same factor.
	hintWeight = 0.5
)

// estimator learns the mean work of each route's tasks, in logarithms since
// work varies, and its estimates err, by factors. A single hint may be far off,
// but the mean of the hints is not. Unlike the mean of runtimes, it does not
// depend on the minions at which the tasks ran.
type estimator struct{ logMeans map[string]float64 }

func newEstimator() estimator { return estimator{logMeans: make(map[string]float64)} }

// estimate returns the expected work of a task at a minion of mean speed, and
// learns from the hint. A hint of 0 means none.
func (e *estimator) estimate(route string, hint time.Duration) time.Duration {
	if hint > 0 {
		e.learn(route, hint)
	}
	mean, known := e.logMeans[route]
	switch {
	case !known:
		return defaultWork
	case hint <= 0:
		return fromLog(mean)
	}
	return fromLog(hintWeight*toLog(hint) + (1-hintWeight)*mean)
}

// learn adds the work of a job to the mean of its route: the hint, or the
// observed work where there is no hint.
func (e *estimator) learn(route string, observed time.Duration) {
	sample := toLog(min(max(observed, minWork), maxWork))
	mean, known := e.logMeans[route]
	if !known {
		mean = sample
	}
	e.logMeans[route] = mean + sampleWeight*(sample-mean)
}

func toLog(d time.Duration) float64   { return math.Log(d.Seconds()) }
func fromLog(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }
