package scheduler

import (
	"math"
	"time"
)

// tooMuchWaits is the reason of refusals for the backlog.
const tooMuchWaits = "too much work waits before it"

const (
	// leastShare is the least part of the room that an entry counts on, where
	// others have taken nearly all of it: it then gets what becomes free.
	leastShare = 0.1
	// ownPart is the part of its own work that a job waits for, since its tasks
	// start one after the other where room is short.
	ownPart = 0.5
)

// prospect is what the minions of a service offer a job.
type prospect struct {
	// fits is true when a minion could ever hold a task of the job.
	fits bool
	// open is true when one may be given work now.
	open bool
	// best is the least time until a task would end, its wait included, and
	// quickest the least time that one takes.
	best, quickest time.Duration
}

// prospectOf looks at all minions.
func (c *Core) prospectOf(now time.Time, j *job) prospect {
	p := prospect{best: math.MaxInt64, quickest: math.MaxInt64}
	for _, a := range c.ordered {
		if a.minion.Service != j.Service || !a.fits(j) {
			continue
		}
		p.fits = true
		if !a.open(now) {
			continue
		}
		p.open = true
		p.quickest = min(p.quickest, a.expectedWork(j))
		p.best = min(p.best, a.expectedEnd(j))
	}
	return p
}

// refusal returns why a job can't be taken, or "". It answers overload and the
// loss of all minions, before anything has started.
func (c *Core) refusal(now time.Time, j *job) (reason string, retry time.Duration) {
	p := c.prospectOf(now, j)
	switch {
	case !p.open && c.awaits(now):
		return "", 0
	case !p.fits:
		return "no minion of the service can hold its tasks", leastRetry
	case !p.open:
		return "no minion of the service is in reach", leastRetry
	}
	if end := now.Add(p.best); end.After(j.Deadline) {
		return "it can't end before its deadline", retryAfter(end.Sub(j.Deadline))
	}
	ahead, all := c.backlog(now, j)
	if ahead > 0 && now.Add(ahead+p.quickest).After(j.objective) {
		return tooMuchWaits, retryAfter(all)
	}
	return "", 0
}

// retryAfter bounds the time after which a refused caller may expect room.
func retryAfter(wait time.Duration) time.Duration { return min(max(wait, leastRetry), mostRetry) }

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

// backlogOnTime returns how long the waiting tasks of a service take that can
// still be on time, which go before all others.
func (c *Core) backlogOnTime(now time.Time, service string) time.Duration {
	sound := 0.0
	for _, t := range c.waiting {
		if t.job.Service == service && !now.After(t.startBefore()) {
			sound += float64(t.job.Room.CPU) * float64(t.job.expected)
		}
	}
	if sound == 0 {
		return 0
	}
	return time.Duration(sound / c.ownSpeed(service))
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
