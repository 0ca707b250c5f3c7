// Package coupler connects entries with the agents that run leased tasks. Each
// agent opens one link, a bidirectional stream, to each entry. Both ends send
// probe frames over a quiet link and close it when the peer is silent. Frames
// are never resent: the agent's first frame over a new link lists all runs that
// it holds for the entry, which shows which orders have arrived.
package coupler

import (
	"errors"
	"sync"
	"time"
)

const (
	// activeProbeInterval is the longest pause between two frames sent over a link
	// in use. After maxMissedProbes intervals without a received frame the link is
	// closed, which is sooner than an agent stops the runs of a silent entry.
	activeProbeInterval = 200 * time.Millisecond
	// idleProbeInterval is the same for idle links.
	idleProbeInterval = 600 * time.Millisecond
	// idleThreshold is the time without work after which a link is idle. It exceeds
	// the time for which callers wait for long tasks, whose links carry nothing else
	// meanwhile.
	idleThreshold = time.Minute
	// maxMissedProbes is the number of missed probes after which a link is closed.
	maxMissedProbes = 3
	// sendQueueSize is the maximum number of commands queued for one link.
	sendQueueSize = 4096
	// maxFrameBytes is the maximum size of a received message.
	maxFrameBytes = 8 << 20
)

// errUnresponsive closes a link whose peer sent no frame in time, or whose send
// queue is full because the peer does not read.
var errUnresponsive = errors.New("no frame came in time")

// heartbeat sets the probe interval of one link and closes the link when the
// peer is silent.
type heartbeat struct {
	mu sync.Mutex
	// lastWorkAt is the time of the last frame, sent or received, that carried
	// work; links without work are idle.
	lastWorkAt time.Time
	// lastReceivedAt is the time of the last received frame. It is also reset when
	// an idle link carries work again.
	lastReceivedAt time.Time
	timer          *time.Timer
	closeLink      func(error)
}

// newHeartbeat returns the heartbeat of a link that is opened now. It calls
// closeLink when the peer is silent.
func newHeartbeat(closeLink func(error)) *heartbeat {
	now := time.Now()
	hb := &heartbeat{lastReceivedAt: now, closeLink: closeLink}
	hb.timer = time.AfterFunc(maxMissedProbes*idleProbeInterval, hb.checkSilence)
	return hb
}

// frameSent records a sent frame and returns the interval until the next probe.
func (hb *heartbeat) frameSent(hasWork bool) time.Duration {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.recordWork(hasWork)
	return hb.probeInterval(time.Now())
}

// frameReceived records a received frame.
func (hb *heartbeat) frameReceived(hasWork bool) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.lastReceivedAt = time.Now()
	hb.recordWork(hasWork)
}

func (hb *heartbeat) stop() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.timer.Stop()
}

// recordWork records whether a frame carried work. When an idle link carries
// work again, the shorter limit on the peer's silence applies at once.
func (hb *heartbeat) recordWork(hasWork bool) {
	if !hasWork {
		return
	}
	now := time.Now()
	wasIdle := now.Sub(hb.lastWorkAt) > idleThreshold
	hb.lastWorkAt = now
	if wasIdle {
		// The peer answers work at once, so its silence is measured from now.
		hb.lastReceivedAt = now
		hb.timer.Reset(maxMissedProbes * activeProbeInterval)
	}
}

func (hb *heartbeat) probeInterval(now time.Time) time.Duration {
	if now.Sub(hb.lastWorkAt) > idleThreshold {
		return idleProbeInterval
	}
	return activeProbeInterval
}

// checkSilence closes the link if the peer has missed maxMissedProbes probes, and
// otherwise schedules the next check.
func (hb *heartbeat) checkSilence() {
	hb.mu.Lock()
	now := time.Now()
	remaining := hb.lastReceivedAt.Add(maxMissedProbes * hb.probeInterval(now)).Sub(now)
	if remaining > 0 {
		hb.timer.Reset(remaining)
		hb.mu.Unlock()
		return
	}
	hb.mu.Unlock()
	hb.closeLink(errUnresponsive)
}
