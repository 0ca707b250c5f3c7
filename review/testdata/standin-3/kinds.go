package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"agatevalve/common/work"
)

func init() { cases["other-kind"] = otherKind }

const (
	// cutTime is the length of the partition, shorter than the silence after which the
	// ends of a link close it.
	cutTime = 450 * time.Millisecond
	// jobInterval is the interval between two jobs.
	jobInterval = 20 * time.Millisecond
	// required is the kind that all jobs require.
	required = "b"
)

func shortWork(work.Task) time.Duration { return 100 * time.Millisecond }

// otherKind cuts an entry off for a moment, in which a minion crashes and starts again at
// its address as one of another kind. All jobs require the kind that it had before.
func otherKind(c *cluster, trouble bool) ([]string, error) {
	c.workOf = shortWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	entry, replaced := c.entries[0], c.minions[slices.Index(kinds, required)]
	var clients sync.WaitGroup
	jobs := make(map[string]bool)
	begin := time.Now()
	change := begin.Add(time.Second)
	for at := begin; time.Since(begin) < 3*time.Second; at = at.Add(jobInterval) {
		time.Sleep(time.Until(at))
		if trouble && !change.IsZero() && time.Now().After(change) {
			change = time.Time{}
			go c.changeKind(c.links[0], replaced)
		}
		id := newJobID()
		jobs[id] = true
		pending := c.submit(entry, id, step{"count": 1, "cpu": 1600, "mem_mb": 64, "est_ms": 100, "requires": required}, 1500*time.Millisecond)
		clients.Go(func() { <-pending })
	}
	clients.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for _, r := range c.runs {
		if labels := c.labels[r.minion]; jobs[r.run.Job] && !slices.Contains(labels, required) {
			violations = append(violations, fmt.Sprintf("ROUTE: task %s.0.0.%d, which requires %s, started on %s with the labels %v", r.run.Job, r.run.Index, required, r.minion, labels))
		}
	}
	return violations, nil
}

// changeKind cuts the entry off and replaces the minion.
func (c *cluster) changeKind(links *proxy, m *minion) {
	c.add("front-0 is cut off")
	links.hold(true)
	end := time.Now().Add(cutTime)
	time.Sleep(50 * time.Millisecond)
	m.crash()
	time.Sleep(100 * time.Millisecond)
	m.begin(fmt.Sprintf("i-%d-2", m.number), []string{"a", "r1-1"})
	if err := m.listen(); err != nil {
		c.add("minion: %v", err)
	}
	m.reportOnce()
	c.add("a minion of kind a has started at the address")
	time.Sleep(time.Until(end))
	links.hold(false)
	c.add("front-0 is not cut off any more")
}
