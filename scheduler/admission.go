package scheduler

import (
	"math"
	"time"
)

const (
	// leastShare is the least part of the room that an entry counts on, where
	// others have taken nearly all of it: it then gets what becomes free.
	leastShare = 0.1
	// ownPart is the part of its own work that a job waits for, since its tasks
	// start one after the other where room is short.
	ownPart = 0.5
)

// refusal returns why a job can't be taken, or "". It answers overload and the
// loss of all minions, before anything has started.
func (c *Core) refusal(now time.Time, j *job) (reason string, retry time.Duration) {
	best, quickest := time.Duration(-1), time.Duration(math.MaxInt64)
	fits := false
	for _, a := range c.ordered {
		if a.minion.Service != j.Service {
			continue
		}
		if a.fits(j) {
			fits = true
		}
		if !a.open(now) || !a.fits(j) {
			continue
		}
		quickest = min(quickest, a.expectedWork(j))
		if end := a.expectedEnd(j); best < 0 || end < best {
			best = end
		}
	}
	switch {
	case best < 0 && !fits:
		if c.awaits(now) {
			return "", 0
		}
		return "no minion of the service can hold its tasks", leastRetry
	case best < 0 && c.awaits(now):
		return "", 0
	case best < 0:
		return "no minion of the service is in reach", leastRetry
	}
	if end := now.Add(best); end.After(j.Deadline) {
		return "it can't end before its deadline", min(max(end.Sub(j.Deadline), leastRetry), mostRetry)
	}
	ahead, all := c.backlog(now, j)
	if ahead > 0 && now.Add(ahead+quickest).After(j.objective) {
		return "too much work waits before it", min(max(all, leastRetry), mostRetry)
	}
	return "", 0
}

// backlog returns how long the waiting tasks of the job's service keep it
// waiting that go before it, and all of them. It answers rushes that last
// longer than the time limit, in which jobs would be begun and given up.
func (c *Core) backlog(now time.Time, j *job) (ahead, all time.Duration) {
	before, total := 0.0, 0.0
	start := j.objective.Add(-j.expected)
	for _, t := range c.waiting {
		if t.job.Service != j.Service {
			continue
		}
		sound := float64(t.job.Room.CPU) * float64(t.job.expected)
		total += sound
		latest := t.startBefore()
		if !now.After(latest) && (t.job.Priority < j.Priority || t.job.Priority == j.Priority && latest.Before(start)) {
			before += sound
		}
	}
	if total == 0 {
		return 0, 0
	}
	speed := c.ownSpeed(j.Service)
	before += ownPart * float64(j.Count) * float64(j.Room.CPU) * float64(j.expected)
	return time.Duration(before / speed), time.Duration(total / speed)
}

// ownSpeed is the work that minions do for this entry at a time, in thousandths
// of a core of mean speed: all that they do, by the part of their taken room
// that is this entry's.
func (c *Core) ownSpeed(service string) float64 {
	speed, own, taken := 0.0, int64(0), int64(0)
	for _, a := range c.ordered {
		if a.minion.Service != service || !a.serves() {
			continue
		}
		speed += float64(a.minion.Room.CPU) * math.Exp(-a.load.Slowness)
		taken += a.committed().CPU
		for _, t := range a.runs {
			own += t.order.Room.CPU
		}
	}
	share := 1.0
	if taken > 0 {
		share = math.Min(1, math.Max(leastShare, float64(own)/float64(taken)))
	}
	return math.Max(1, speed*share)
}
