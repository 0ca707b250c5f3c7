package measurer

import (
	"math/rand/v2"
	"time"

	"agatevalve/claimer"
	"agatevalve/common/fault"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

const (
	// writeTime and readTime are the durations of a call to the table service.
	writeTime = 4 * time.Millisecond
	readTime  = 500 * time.Microsecond
	// writeInterval is the time between two writes at the service's maximum rate.
	writeInterval = 2 * time.Millisecond
	// refusalTime is the duration of a call that is refused, and lostReplyTimeout
	// that of a write whose reply is lost.
	refusalTime      = 2 * time.Millisecond
	lostReplyTimeout = 500 * time.Millisecond
)

// store emulates the platform's table service.
type store struct {
	world  *world
	rows   map[tabler.Key]tabler.Row
	random *rand.Rand
	// down makes the store refuse every call.
	down bool
	// slowness multiplies the duration of each call; 1 is normal.
	slowness int
	// nextWriteAt is the earliest time at which the next write may begin.
	nextWriteAt time.Time
	// writes and reads count the calls that were accepted.
	writes, reads uint64
}

func newStore(w *world) *store {
	return &store{
		world: w, rows: make(map[tabler.Key]tabler.Row), random: w.randomStream(storeStream, 0), slowness: 1,
	}
}

// call executes one batch of a claimer.
func (s *store) call(batch *claimer.Batch, done func(rows []tabler.Row, result tabler.Result, err error)) {
	switch {
	case s.down:
		s.world.after(refusalTime, func() { done(nil, tabler.Result{}, errDown()) })
	case len(batch.Keys) > 0:
		s.read(batch.Keys, done)
	default:
		s.write(batch.Writes, done)
	}
}

func (s *store) read(keys []tabler.Key, done func([]tabler.Row, tabler.Result, error)) {
	s.reads++
	s.world.after(readTime*time.Duration(s.slowness), func() {
		if s.down {
			done(nil, tabler.Result{}, errDown())
			return
		}
		var rows []tabler.Row
		for _, k := range keys {
			if row, ok := s.rows[k]; ok {
				rows = append(rows, row)
			}
		}
		done(rows, tabler.Result{}, nil)
	})
}

// write commits after its duration. If the store goes down meanwhile, the write
// takes effect or not, at random, and its reply is lost either way.
func (s *store) write(writes []tabler.Write, done func([]tabler.Row, tabler.Result, error)) {
	s.writes++
	w := s.world
	begin := w.now
	if s.nextWriteAt.After(begin) {
		begin = s.nextWriteAt
	}
	slowness := time.Duration(s.slowness)
	s.nextWriteAt = begin.Add(writeInterval * slowness)
	w.at(begin.Add(writeTime*slowness), func() {
		if !s.down {
			done(nil, s.commit(writes), nil)
			return
		}
		if s.random.IntN(2) == 0 {
			s.commit(writes)
		}
		w.after(lostReplyTimeout, func() { done(nil, tabler.Result{}, errLost()) })
	})
}

func (s *store) commit(writes []tabler.Write) tabler.Result {
	var conflicts []tabler.Row
	for _, write := range writes {
		row := s.rows[write.Key]
		row.Key = write.Key
		if !write.Unconditional && row.Version != write.Expect {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return tabler.Result{Conflicts: conflicts}
	}
	for _, write := range writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		s.rows[write.Key] = tabler.Row{Key: write.Key, Version: s.rows[write.Key].Version + 1, Value: write.Value}
	}
	return tabler.Result{Applied: true}
}

func errDown() error {
	return fault.New(fault.Unavailable, "wait for the store", "the store is down")
}

func errLost() error {
	return fault.New(fault.Uncertain, "read the rows again", "the reply to the write was lost")
}

// claimDriver runs the shipped core of an entry's claimer against the store.
type claimDriver struct {
	entry *entryNode
	core  *claimer.Core
	alarm wakeTimer
}

func newClaimDriver(e *entryNode, random *rand.Rand) *claimDriver {
	return &claimDriver{
		entry: e, core: claimer.NewCore(claimer.DefaultLimits(), random),
		alarm: wakeTimer{loop: e.world.loop},
	}
}

func (c *claimDriver) insert(command dispatcher.WriteClaim) {
	c.deliver(c.core.Insert(command, c.entry.world.now))
}

func (c *claimDriver) replace(command dispatcher.ReplaceClaim) {
	c.deliver(c.core.Replace(command, c.entry.world.now))
}

// deliver passes each event to the entry's core in a step of its own.
func (c *claimDriver) deliver(events []dispatcher.Event) {
	for _, ev := range events {
		c.entry.stepAfter(0, ev)
	}
}

// sendDue sends the batches that are due.
func (c *claimDriver) sendDue() {
	w := c.entry.world
	c.core.SetEntries(len(w.entries)) // Stopped entries count until their rows expire.
	for batch := c.core.Next(w.now); batch != nil; batch = c.core.Next(w.now) {
		c.sendBatch(batch)
	}
	if wake, ok := c.core.WakeTime(); ok {
		c.alarm.set(wake, c.entry.guard(func() {
			c.deliver(c.core.Expire(w.now))
			c.sendDue()
		}))
	}
}

func (c *claimDriver) sendBatch(batch *claimer.Batch) {
	w := c.entry.world
	latency := w.deployment.InZoneLatency
	w.after(latency, func() {
		w.store.call(batch, func(rows []tabler.Row, result tabler.Result, err error) {
			w.after(latency, c.entry.guard(func() { c.batchDone(batch, rows, result, err) }))
		})
	})
}

func (c *claimDriver) batchDone(batch *claimer.Batch, rows []tabler.Row, result tabler.Result, err error) {
	now := c.entry.world.now
	if len(batch.Keys) > 0 {
		c.deliver(c.core.ReadDone(batch, rows, err, now))
	} else {
		c.deliver(c.core.CommitDone(batch, result, err, now))
	}
	c.sendDue()
}
