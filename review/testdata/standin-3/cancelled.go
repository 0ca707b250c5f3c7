package main

import (
	"fmt"
	"time"
)

func init() { cases["late-copy"] = lateCopy }

const (
	cancelBound = 3 * time.Second // cancel_ms
	stopBound   = 50 * time.Millisecond
	stableTime  = 3 * time.Second
)

// lateCopy cancels a job while it runs. Some seconds after the responses its request
// arrives once more.
func lateCopy(c *cluster, trouble bool) ([]string, error) {
	if err := c.startSite(); err != nil {
		return nil, err
	}
	entries := c.entries
	var violations []string
	for i, again := range []*process{entries[1], entries[0]} { // Another entry, and the one that ran it.
		id := newJobID()
		s := step{"count": 2, "cpu": 1600, "mem_mb": 64, "est_ms": 900}
		replies := c.submit(entries[0], id, s, 4*time.Second)
		if !await(2*time.Second, func() bool { return c.activeRuns(id) == 2 }) {
			return nil, fmt.Errorf("%w: job %d has not started", errUnable, i+1)
		}
		cancelled := c.cancelJob(entries[2], id)
		first := <-replies
		if cancelled.status != 200 || first.status/100 != 2 {
			return nil, fmt.Errorf("%w: the cancel got %d and the job %d", errUnable, cancelled.status, first.status)
		}
		time.Sleep(cancelBound + 500*time.Millisecond)
		if trouble {
			<-c.submit(again, id, s, 4*time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		if n := c.startsAfter(id, cancelled.at.Add(cancelBound)); n > 0 {
			violations = append(violations, fmt.Sprintf("UNASKED: %d tasks of job %s started later than cancel_ms after its cancelling was acknowledged", n, id))
		}
	}
	return violations, nil
}
