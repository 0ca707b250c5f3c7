package linker

import (
	"sync"
	"time"
)

// verdict is what a look at the progress of a link asks for.
type verdict uint8

const (
	// wait asks for nothing.
	wait verdict = iota
	// probe asks for a ping.
	probe
	// silent says that the link is to be given up.
	silent
)

// progress decides when a link must be probed and when it is silent. A link
// with outstanding work is probed after pingAfter without a frame, an idle one
// after idlePing; without any frame within silentAfter of a probe it is silent.
type progress struct {
	pingAfter   time.Duration
	silentAfter time.Duration
	idlePing    time.Duration

	mu sync.Mutex
	// quietSince is the later of the last frame and the start of the work.
	quietSince time.Time
	// probedAt is zero when no probe waits for a frame.
	probedAt time.Time
}

// saw notes a frame.
func (p *progress) saw(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quietSince = now
	p.probedAt = time.Time{}
}

// began notes that an idle link got work.
func (p *progress) began(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quietSince = now
}

// check returns the verdict and when to look next.
func (p *progress) check(now time.Time, busy bool) (verdict, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.probedAt.IsZero() {
		limit := p.probedAt.Add(p.silentAfter)
		if now.Before(limit) {
			return wait, limit
		}
		return silent, limit
	}
	due := p.quietSince.Add(p.idlePing)
	if busy {
		due = p.quietSince.Add(p.pingAfter)
	}
	if now.Before(due) {
		return wait, due
	}
	p.probedAt = now
	return probe, now.Add(p.silentAfter)
}
