package dispatcher

import "time"

const (
	// initialServiceTime is the expected service time before the first response.
	initialServiceTime = 200 * time.Millisecond
	// minObservations is the number of responses needed before the estimates are
	// reliable.
	minObservations = 8
	// meanGain is the weight of a new observation in the moving means.
	meanGain = 1.0 / 64
	// quantileStep is the step size of the quantile estimates, relative to the
	// estimate.
	quantileStep = 0.05
	// lowQuantile and highQuantile are the quantiles that are estimated.
	lowQuantile  = 0.05
	highQuantile = 0.95
)

// serviceTimes estimates the distribution of the service time of one route. The
// quantiles are estimated by the stochastic approximation of Robbins and Monro
// (1951), with steps relative to the estimate.
type serviceTimes struct {
	// mean is the moving mean; low and high are the estimated quantiles.
	mean time.Duration
	low  time.Duration
	high time.Duration
	// meanRate is the moving mean of the inverse service time, in tasks per
	// second.
	meanRate float64
	// observations counts the responses observed.
	observations int
}

// serviceTimesOf returns the estimates for a route.
func (c *Core) serviceTimesOf(route string) *serviceTimes {
	t := c.routeTimes[route]
	if t == nil {
		t = &serviceTimes{mean: initialServiceTime}
		c.routeTimes[route] = t
	}
	return t
}

// meanServiceTime returns the mean service time of a task's route.
func (c *Core) meanServiceTime(jt *jobTask) time.Duration {
	return c.serviceTimesOf(jt.job.submission.Plan.Route.Name).mean
}

// reliable reports whether enough responses have been observed to rely on the
// estimates.
func (t *serviceTimes) reliable() bool { return t.observations >= minObservations }

// observe updates the estimates with the service time of a response.
func (t *serviceTimes) observe(elapsed time.Duration) {
	t.observations++
	if t.observations == 1 {
		t.mean, t.low, t.high = elapsed, elapsed, elapsed
		t.meanRate = inverse(elapsed)
		return
	}
	gain := max(meanGain, 1/float64(t.observations))
	t.mean += time.Duration(float64(elapsed-t.mean) * gain)
	t.meanRate += (inverse(elapsed) - t.meanRate) * gain
	t.low = updateQuantile(t.low, elapsed, lowQuantile)
	t.high = updateQuantile(t.high, elapsed, highQuantile)
}

// harmonicMean returns the harmonic mean of the service time, or the mean
// before the first response.
func (t *serviceTimes) harmonicMean() time.Duration {
	if t.meanRate == 0 {
		return t.mean
	}
	return time.Duration(float64(time.Second) / t.meanRate)
}

// inverse returns the inverse of a duration of at least 1 ms, in 1/s.
func inverse(elapsed time.Duration) float64 {
	return 1 / max(elapsed, time.Millisecond).Seconds()
}

// updateQuantile moves a quantile estimate one step towards a new observation.
func updateQuantile(estimate, observed time.Duration, quantile float64) time.Duration {
	step := quantileStep * quantile
	if observed < estimate {
		step = -quantileStep * (1 - quantile)
	}
	return time.Duration(float64(estimate) * (1 + step))
}
