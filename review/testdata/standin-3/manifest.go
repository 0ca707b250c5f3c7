package main

import (
	"fmt"
	"net/http"
	"time"

	"agatevalve/common/work"
)

func init() { cases["time-out"] = timeOut }

// longTimeOut is the new time-out of a route.
const longTimeOut = 2 * time.Hour

func shortWork(work.Task) time.Duration { return 100 * time.Millisecond }

// timeOut writes a manifest that drops a route, adds another one and raises the time-out
// of a third one.
func timeOut(c *cluster, trouble bool) ([]string, error) {
	c.workOf = shortWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	c.putManifest(2, holdRoute, route{name: "check", timeout: 1500 * time.Millisecond})
	time.Sleep(applyBound + time.Second)
	changed := holdRoute
	if trouble {
		changed.timeout = longTimeOut
	}
	c.putManifest(7, changed, route{name: "assign", timeout: 1500 * time.Millisecond})
	acked := time.Now()
	time.Sleep(applyBound + 3*time.Second)
	var violations []string
	s := step{"count": 1, "cpu": 1600, "mem_mb": 64, "est_ms": 100}
	for _, e := range c.entries {
		dropped, added := newJobID(), newJobID()
		<-c.submitTo(e, "/check/"+dropped, s, 1500*time.Millisecond)
		if n := c.startsAfter(dropped, acked); n > 0 {
			violations = append(violations, fmt.Sprintf("CONFIG: %s ran job %s with a route that was dropped %.1f s before", e.node, dropped, time.Since(acked).Seconds()))
		}
		if r := <-c.submitTo(e, "/assign/"+added, s, 1500*time.Millisecond); r.status == http.StatusNotFound {
			violations = append(violations, fmt.Sprintf("CONFIG: %s refused job %s with 404, though its route was added %.1f s before", e.node, added, time.Since(acked).Seconds()))
		}
	}
	return violations, nil
}
