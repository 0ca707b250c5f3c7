package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restarted"] = restarted }

const (
	// runningJobs is the number of jobs that run at one entry and are cancelled at
	// another one.
	runningJobs = 25
	// rounds is the number of times that the entry is killed.
	rounds = 4
	// cancelPause is the pause after which a client whose cancellation was not
	// acknowledged asks again.
	cancelPause = 10 * time.Millisecond
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 300 * time.Millisecond
)

// restarted kills an entry, which starts again, while clients cancel jobs there that run
// at another entry.
func restarted(c *cluster, trouble bool) ([]string, error) {
	c.workOf = longWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	var violations []string
	for range rounds {
		broken, err := c.cancelAtRestart(c.entries[0], c.entries[1], trouble)
		if err != nil {
			return nil, err
		}
		violations = append(violations, broken...)
	}
	return violations, nil
}

// cancelAtRestart submits jobs at one entry and cancels them at another one, which is
// killed before.
func (c *cluster) cancelAtRestart(runs, asked *process, trouble bool) ([]string, error) {
	ids := make([]string, runningJobs)
	pending := make([]<-chan reply, runningJobs)
	for i := range ids {
		ids[i] = newJobID()
		pending[i] = c.submit(runs, ids[i], longStep(), 20*time.Second)
	}
	for _, id := range ids {
		if !await(2*time.Second, func() bool { return c.activeRuns(id) == 2 }) {
			return nil, fmt.Errorf("%w: a job has not started", errUnable)
		}
	}
	if trouble {
		asked.kill(syscall.SIGKILL)
		asked.wait()
		time.AfterFunc(restartDelay, func() {
			if err := asked.start(); err != nil {
				c.add("%v", err)
			}
		})
	}
	acks := make([]reply, len(ids))
	var clients sync.WaitGroup
	for i, id := range ids {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * cancelPause / runningJobs) // They don't ask at the same moment.
			for acks[i] = c.cancelJob(asked, id); !acks[i].acknowledges(); acks[i] = c.cancelJob(asked, id) {
				time.Sleep(cancelPause)
			}
		})
	}
	clients.Wait()
	time.Sleep(stableTime + cancelBound + stopBound)
	var violations []string
	for i, id := range ids {
		if n := c.activeRuns(id); n > 0 {
			violations = append(violations, fmt.Sprintf("UNASKED: %d tasks of job %s still run %.2f s after its cancelling was acknowledged with %d, with no disruption in the last %.2f s",
				n, id, time.Since(acks[i].at).Seconds(), acks[i].status, (stableTime+cancelBound+stopBound).Seconds()))
		}
	}
	for _, p := range pending {
		<-p
	}
	return violations, nil
}
