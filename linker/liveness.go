package linker

import (
	"sync"
	"time"
)

// probeAction is what the probe loop has to do next.
type probeAction uint8

const (
	// noAction means that the link is fine or that a ping is in flight.
	noAction probeAction = iota
	// sendPing means that a ping is due.
	sendPing
	// failLink means that no frame arrived in time after a ping.
	failLink
)

// liveness decides when a link must be pinged and when it has timed out. A ping
// is due after pingAfter without a frame if attempts are outstanding, else
// after idlePingAfter. The link has timed out when no frame of any kind arrives
// within probeTimeout of a ping.
type liveness struct {
	pingAfter     time.Duration
	probeTimeout  time.Duration
	idlePingAfter time.Duration

	mu sync.Mutex
	// lastActivity is the time of the last frame, or of the first start on an
	// idle link if that is later.
	lastActivity time.Time
	// probedAt is the time of the last ping, or zero if a frame arrived since.
	// It starts as the time at which the link was made, because the handshake
	// contains a ping.
	probedAt time.Time
}

// frameReceived records the arrival of a frame.
func (p *liveness) frameReceived(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastActivity = now
	p.probedAt = time.Time{}
}

// workStarted records that a link without outstanding attempts got one.
func (p *liveness) workStarted(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastActivity = now
}

// check returns the action that is due and the time of the next check. Here
// busy means that attempts are outstanding.
func (p *liveness) check(now time.Time, busy bool) (probeAction, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.probedAt.IsZero() {
		timeout := p.probedAt.Add(p.probeTimeout)
		if now.Before(timeout) {
			return noAction, timeout
		}
		return failLink, timeout
	}
	due := p.lastActivity.Add(p.idlePingAfter)
	if busy {
		due = p.lastActivity.Add(p.pingAfter)
	}
	if now.Before(due) {
		return noAction, due
	}
	p.probedAt = now
	return sendPing, now.Add(p.probeTimeout)
}
