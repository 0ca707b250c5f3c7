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
	// maxPeriod is the longest time of an entry for each transaction, so that
	// its share never falls to zero.
	maxPeriod = time.Second
	// ahead is how many periods a transaction may come before its turn. After
	// a pause claims thereby find the store at once.
	ahead = 2
)

// pacer spaces the transactions of one entry in two ways. Each is followed by
// a rest in proportion to the time that it took. Entries that share a busy
// store thereby fill their transactions instead of its queue, and an idle
// store costs little. It needs no estimate of the time of an idle store, which
// an entry that starts under load can't learn. The rest alone would let many
// entries take all that the store has; so each entry also keeps to its share
// of what the fleet may commit.
type pacer struct {
	random *rand.Rand
	// fleet is the transactions a second of all entries together.
	fleet int
	// entries is how many share them.
	entries int
	// rested is when the rest after the last transaction ends.
	rested time.Time
	// due is when the turns of all transactions so far have passed.
	due time.Time
	// share is when the next transaction keeps to the share.
	share time.Time
	// took is the time of the last transaction; 0 before the first.
	took time.Duration
}

func newPacer(fleet int, random *rand.Rand) *pacer {
	return &pacer{random: random, fleet: max(1, fleet), entries: 1}
}

// ready returns when the next transaction may be sent.
func (p *pacer) ready() time.Time { return later(p.rested, p.share) }

// hurry ends the rest. The share stays.
func (p *pacer) hurry() { p.rested = time.Time{} }

// sent counts a transaction that is sent now, whatever becomes of it. Turns are
// a period apart, and a transaction may come ahead of its turn, with half a
// period of jitter so that entries don't stay in step. Within any time there
// are at most as many transactions as turns, and ahead+1 more.
func (p *pacer) sent(now time.Time) {
	period := min(time.Second*time.Duration(p.entries)/time.Duration(p.fleet), maxPeriod)
	p.due = later(p.due, now).Add(period)
	early := ahead*period - time.Duration(p.random.Int64N(int64(period)/2+1))
	p.share = p.due.Add(-early)
}

// answered sets the rest after a transaction that was answered now, with half
// of it as jitter to either side.
func (p *pacer) answered(sent, now time.Time) {
	p.took = now.Sub(sent)
	rest := float64(min(restFactor*p.took, maxRest))
	p.rested = now.Add(time.Duration(rest * (0.5 + p.random.Float64())))
}

// late returns how long a call may take before others stop waiting for it.
func (p *pacer) late() time.Duration { return max(lateFactor*p.took, minLate) }
