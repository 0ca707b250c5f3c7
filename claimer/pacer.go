package claimer

import (
	"math/rand/v2"
	"time"
)

const (
	// restFactor is the rest after a transaction, in multiples of its time.
	restFactor = 1
	// maxRest bounds the rest after a transaction.
	maxRest = 250 * time.Millisecond
	// lateFactor is how many times slower than the last one a call is that
	// nothing else shall wait for.
	lateFactor = 8
	// minLate is the least time after which a call is late.
	minLate = 250 * time.Millisecond
)

// pacer spaces the transactions of one entry: each is followed by a rest in
// proportion to the time that it took. Entries that share a busy store thereby
// fill their transactions instead of its queue, which stays short for other
// writers, and an idle store costs little. It needs no estimate of the time of
// an idle store, which an entry that starts under load can't learn.
type pacer struct {
	random *rand.Rand
	// ready is when the next transaction may be sent.
	ready time.Time
	// took is the time of the last transaction; 0 before the first.
	took time.Duration
}

// hurry ends the rest.
func (p *pacer) hurry() { p.ready = time.Time{} }

// answered sets the rest after a transaction that was answered now, with half
// of it as jitter to either side.
func (p *pacer) answered(sent, now time.Time) {
	p.took = now.Sub(sent)
	rest := float64(min(restFactor*p.took, maxRest))
	p.ready = now.Add(time.Duration(rest * (0.5 + p.random.Float64())))
}

// late returns how long a call may take before others stop waiting for it.
func (p *pacer) late() time.Duration { return max(lateFactor*p.took, minLate) }
