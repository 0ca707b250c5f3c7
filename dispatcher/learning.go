package dispatcher

import "time"

const (
	// firstGuess is the expected service time before the first answer.
	firstGuess = 200 * time.Millisecond
	// firstAnswers is how many answers make a learned time trustworthy.
	firstAnswers = 8
	// meanGain is the weight of a new answer in the mean.
	meanGain = 1.0 / 64
	// quantileStep is the relative step of the quantile estimates.
	quantileStep = 0.05
	// lowQuantile and highQuantile are the estimated quantiles.
	lowQuantile  = 0.05
	highQuantile = 0.95
)

// serviceTimes are the learned service times of one route. The quantiles
// follow the stochastic approximation of Robbins and Monro (1951), with steps
// relative to the estimate.
type serviceTimes struct {
	mean time.Duration
	low  time.Duration
	high time.Duration
	// rate is the mean of the inverse time, per second.
	rate float64
	// answers counts the answers observed.
	answers int
}

// times returns the learned times of a route.
func (c *Core) times(route string) *serviceTimes {
	t := c.routes[route]
	if t == nil {
		t = &serviceTimes{mean: firstGuess}
		c.routes[route] = t
	}
	return t
}

func (c *Core) meanOf(u *unit) time.Duration {
	return c.times(u.job.submission.Plan.Route.Name).mean
}

func (t *serviceTimes) learned() bool { return t.answers >= firstAnswers }

func (t *serviceTimes) observe(elapsed time.Duration) {
	t.answers++
	if t.answers == 1 {
		t.mean, t.low, t.high = elapsed, elapsed, elapsed
		t.rate = rateOf(elapsed)
		return
	}
	gain := max(meanGain, 1/float64(t.answers))
	t.mean += time.Duration(float64(elapsed-t.mean) * gain)
	t.rate += (rateOf(elapsed) - t.rate) * gain
	t.low = follow(t.low, elapsed, lowQuantile)
	t.high = follow(t.high, elapsed, highQuantile)
}

// typical returns the harmonic mean of the service time, or the mean before
// the first answer.
func (t *serviceTimes) typical() time.Duration {
	if t.rate == 0 {
		return t.mean
	}
	return time.Duration(float64(time.Second) / t.rate)
}

// rateOf returns the inverse of a time, per second.
func rateOf(elapsed time.Duration) float64 {
	return 1 / max(elapsed, time.Millisecond).Seconds()
}

// follow moves a quantile estimate towards a new observation.
func follow(estimate, observed time.Duration, quantile float64) time.Duration {
	step := quantileStep * quantile
	if observed < estimate {
		step = -quantileStep * (1 - quantile)
	}
	return time.Duration(float64(estimate) * (1 + step))
}
