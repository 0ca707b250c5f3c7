package main

import (
	"fmt"
	"time"

	"agatevalve/common/work"
)

func init() {
	cases["refused-link"] = refusedLink
	cases["unlisted-entry"] = unlistedEntry
}

// longTask is the duration of a task of several seconds, as in the example of PROTOCOL.md.
const longTask = 7 * time.Second

func longWork(work.Task) time.Duration { return longTask }

// longStep returns a step of two tasks of several seconds.
func longStep() step {
	return step{"count": 2, "cpu": 1600, "mem_mb": 64, "est_ms": longTask.Milliseconds()}
}

// checkGone cancels a job at an entry, and reports the tasks that are not gone after a
// stretch of cancelBound and stopBound that begins stableTime after the end of the
// disruption. heal ends it.
func (c *cluster) checkGone(at *process, id string, pending <-chan reply, heal func()) ([]string, error) {
	cancelled := c.cancelJob(at, id)
	for !cancelled.acknowledges() { // Not acknowledged: the client asks again.
		time.Sleep(300 * time.Millisecond)
		if len(pending) > 0 {
			return nil, fmt.Errorf("%w: the job ended before its cancelling was acknowledged", errUnable)
		}
		cancelled = c.cancelJob(at, id)
	}
	time.Sleep(300 * time.Millisecond)
	heal()
	time.Sleep(stableTime + cancelBound + stopBound)
	var violations []string
	if n := c.activeRuns(id); n > 0 {
		violations = append(violations, fmt.Sprintf("UNASKED: %d tasks of job %s still run %.2f s after its cancelling was acknowledged with %d, with no disruption in the last %.2f s",
			n, id, time.Since(cancelled.at).Seconds(), cancelled.status, (stableTime+cancelBound+stopBound).Seconds()))
	}
	<-pending
	return violations, nil
}

// refusedLink cancels a job at an entry while the one that runs it is partitioned from
// all other machines, so that connections to it are refused.
func refusedLink(c *cluster, trouble bool) ([]string, error) {
	c.workOf = longWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	id := newJobID()
	pending := c.submit(c.entries[0], id, longStep(), 20*time.Second)
	if !await(2*time.Second, func() bool { return c.activeRuns(id) == 2 }) {
		return nil, fmt.Errorf("%w: the job has not started", errUnable)
	}
	if trouble {
		c.links[0].refuse()
		c.links[0].hold(true)
		c.add("%s is partitioned; connections to it are refused", c.entries[0].node)
	}
	return c.checkGone(c.entries[1], id, pending, func() {
		if trouble {
			c.links[0].hold(false)
			if err := c.links[0].listen(); err != nil {
				c.add("proxy: %v", err)
			}
			c.add("%s is not partitioned any more", c.entries[0].node)
		}
	})
}

// unlistedEntry adds an entry that the store turns away for a while, and cancels a job of
// it at an entry that is not among its seeds.
func unlistedEntry(c *cluster, trouble bool) ([]string, error) {
	c.workOf = longWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	// The first seed is an entry, and nothing is at the others any more.
	if err := c.addEntry(entryCount, []string{c.seed(0), c.seed(entryCount + 1), c.seed(entryCount + 2)}); err != nil {
		return nil, err
	}
	added := c.entries[entryCount]
	added.turnedAway.Store(trouble)
	if trouble {
		c.add("the store turns %s away", added.node)
	}
	if err := added.start(); err != nil {
		return nil, err
	}
	if !await(6*time.Second, added.ready) {
		return nil, fmt.Errorf("%w: %s is not ready", errUnable, added.node)
	}
	c.add("%s is ready", added.node)
	id := newJobID()
	pending := c.submit(added, id, longStep(), 20*time.Second)
	if !await(2*time.Second, func() bool { return c.activeRuns(id) == 2 }) {
		return nil, fmt.Errorf("%w: the job has not started", errUnable)
	}
	return c.checkGone(c.entries[1], id, pending, func() {
		if trouble {
			added.turnedAway.Store(false)
			c.add("the store serves %s again", added.node)
		}
	})
}
