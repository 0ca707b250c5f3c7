// Package coupler joins entries and the agents that run leased tasks by one
// stream for each pair, which the agent opens. Both ends probe a quiet stream,
// and end a silent one. Nothing is written twice: after a stream was replaced,
// the agent's greeting tells what had arrived.
package coupler

import (
	"errors"
	"sync"
	"time"
)

const (
	// busyPing is the pause after which a link in use is probed; silentPings make
	// the silence that ends it, below the silence after which an agent stops the
	// runs of an entry.
	busyPing = 200 * time.Millisecond
	// idlePing is the pause for links that have carried no work for idleAfter.
	idlePing = 600 * time.Millisecond
	// idleAfter is above the longest deadline of sub-second tasks.
	idleAfter = 8 * time.Second
	// silentPings is how many missed probes end a link.
	silentPings = 3
	// ringSize caps the frames that wait for one link.
	ringSize = 4096
	// messageBytes caps one frame.
	messageBytes = 8 << 20
)

var errSilent = errors.New("no frame came in time")

// pulse paces the probes of one link and ends it when it is silent.
type pulse struct {
	mu sync.Mutex
	// worked is when the link last carried more than a probe.
	worked time.Time
	// heard is when the last frame came.
	heard time.Time
	watch *time.Timer
	end   func(error)
}

// newPulse returns the pulse of a link that begins now.
func newPulse(end func(error)) *pulse {
	now := time.Now()
	p := &pulse{heard: now, end: end}
	p.watch = time.AfterFunc(silentPings*idlePing, p.check)
	return p
}

// sent notes a frame that was written, and returns the pause before the next probe.
func (p *pulse) sent(work bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(work)
	return p.interval(time.Now())
}

// got notes a frame that came.
func (p *pulse) got(work bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = time.Now()
	p.note(work)
}

func (p *pulse) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch.Stop()
}

// note wakes the watch when a link comes into use.
func (p *pulse) note(work bool) {
	if !work {
		return
	}
	now := time.Now()
	wasIdle := now.Sub(p.worked) > idleAfter
	p.worked = now
	if wasIdle {
		// The peer answers work at once, so its silence counts from now.
		p.heard = now
		p.watch.Reset(silentPings * busyPing)
	}
}

func (p *pulse) interval(now time.Time) time.Duration {
	if now.Sub(p.worked) > idleAfter {
		return idlePing
	}
	return busyPing
}

// check ends the link when it is silent, and otherwise looks again later.
func (p *pulse) check() {
	p.mu.Lock()
	now := time.Now()
	left := p.heard.Add(silentPings * p.interval(now)).Sub(now)
	if left > 0 {
		p.watch.Reset(left)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.end(errSilent)
}
