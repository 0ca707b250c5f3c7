package main

import (
	"fmt"
	"net/http"
	"time"

	"agatevalve/common/work"
)

func init() {
	cases["time-out"] = timeOut
	cases["open-prefix"] = openPrefix
}

// longTimeOut is the new time-out of a route.
const longTimeOut = 2 * time.Hour

// checkRoute is a route that is dropped.
var checkRoute = route{name: "check", prefix: "/check/", timeout: 1500 * time.Millisecond}

// assignRoute returns a route that is added, with a path prefix.
func assignRoute(prefix string) route {
	return route{name: "assign", prefix: prefix, timeout: 1500 * time.Millisecond}
}

func shortWork(work.Task) time.Duration { return 100 * time.Millisecond }

// timeOut writes a manifest that drops a route, adds another one and raises the time-out
// of a third one.
func timeOut(c *cluster, trouble bool) ([]string, error) {
	c.workOf = shortWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	c.putManifest(2, holdRoute, checkRoute)
	time.Sleep(applyBound + time.Second)
	changed := holdRoute
	if trouble {
		changed.timeout = longTimeOut
	}
	c.putManifest(7, changed, assignRoute("/assign/"))
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

// openPrefix adds a route whose path prefix has no final slash.
func openPrefix(c *cluster, trouble bool) ([]string, error) {
	c.workOf = shortWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	added := assignRoute("/assign/")
	if trouble {
		added.prefix = "/assign"
	}
	c.putManifest(7, holdRoute, added)
	acked := time.Now()
	time.Sleep(applyBound + 3*time.Second)
	var violations []string
	for _, e := range c.entries {
		id := newJobID()
		r := <-c.submitTo(e, added.prefix+id, step{"count": 1, "cpu": 1600, "mem_mb": 64, "est_ms": 100}, 1500*time.Millisecond)
		if r.status == http.StatusNotFound {
			violations = append(violations, fmt.Sprintf("CONFIG: %s refused job %s with 404, though its route was added %.1f s before", e.node, id, time.Since(acked).Seconds()))
		}
	}
	return violations, nil
}
