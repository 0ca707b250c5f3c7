package main

import (
	"fmt"
	"time"

	"agatevalve/common/work"
)

func init() { cases["dropped-route"] = droppedRoute }

const (
	// ackBound is ack_ms of the settings.
	ackBound = 4 * time.Second
	// askInterval is the interval at which a client whose cancelling was not acknowledged
	// asks again.
	askInterval = 500 * time.Millisecond
	// droppedTask is the duration of the tasks, which outlast both bounds of a cancelling.
	droppedTask = 9 * time.Second
)

// droppedRoute drops the route of a job that runs, and cancels the job at all entries in
// turn until that is acknowledged.
func droppedRoute(c *cluster, trouble bool) ([]string, error) {
	c.workOf = func(work.Task) time.Duration { return droppedTask }
	if err := c.startSite(); err != nil {
		return nil, err
	}
	c.putManifest(2, holdRoute, checkRoute)
	time.Sleep(applyBound + stableTime)
	id := newJobID()
	pending := c.submitTo(c.entries[0], checkRoute.prefix+id, step{"count": 2, "cpu": 1600, "mem_mb": 64, "est_ms": droppedTask.Milliseconds()}, 20*time.Second)
	if !await(2*time.Second, func() bool { return c.activeRuns(id) == 2 }) {
		return nil, fmt.Errorf("%w: the job has not started", errUnable)
	}
	if trouble {
		c.putManifest(7, holdRoute)
	}
	time.Sleep(askInterval)
	asked := time.Now()
	acked := time.Time{} // By a response, or by waiting for one for ackBound.
	for n := 0; acked.IsZero(); n++ {
		r := c.cancelAt(c.entries[n%len(c.entries)], checkRoute.prefix+id)
		switch {
		case r.acknowledges():
			acked = r.at
		case time.Since(asked) > ackBound:
			acked = asked.Add(ackBound)
			c.add("the cancelling has waited ack_ms for its ack")
		default:
			time.Sleep(askInterval)
		}
	}
	time.Sleep(time.Until(acked.Add(cancelBound + stopBound)))
	var violations []string
	if n := c.activeRuns(id); n > 0 {
		violations = append(violations, fmt.Sprintf("UNASKED: %d tasks of job %s still run %.2f s after its cancelling, which was not acknowledged", n, id, time.Since(asked).Seconds()))
	}
	<-pending
	return violations, nil
}
