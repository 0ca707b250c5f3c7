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
	// writeTakes and readTakes are what the table service needs for one call.
	writeTakes = 4 * time.Millisecond
	readTakes  = 500 * time.Microsecond
	// writeEvery is the pause between two writes that its rate allows.
	writeEvery = 2 * time.Millisecond
	// refuseTakes is how long a failing call lasts, and lostTakes one whose
	// reply is lost.
	refuseTakes = 2 * time.Millisecond
	lostTakes   = 500 * time.Millisecond
)

// store emulates the platform's table service.
type store struct {
	world  *world
	rows   map[tabler.Key]tabler.Row
	random *rand.Rand
	// down refuses every call.
	down bool
	// slowness multiplies the time of each call; 1 is normal.
	slowness int
	// free is when the next write may begin.
	free time.Time
	// writes and reads count the calls served.
	writes, reads uint64
}

func newStore(w *world) *store {
	return &store{
		world: w, rows: make(map[tabler.Key]tabler.Row), random: w.stream(storeStream, 0), slowness: 1,
	}
}

// call serves one batch of a claimer.
func (s *store) call(batch *claimer.Batch, done func(rows []tabler.Row, result tabler.Result, err error)) {
	switch {
	case s.down:
		s.world.after(refuseTakes, func() { done(nil, tabler.Result{}, errDown()) })
	case len(batch.Keys) > 0:
		s.read(batch.Keys, done)
	default:
		s.write(batch.Writes, done)
	}
}

func (s *store) read(keys []tabler.Key, done func([]tabler.Row, tabler.Result, error)) {
	s.reads++
	s.world.after(readTakes*time.Duration(s.slowness), func() {
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

// write commits after its time. A write that is under way when the store goes
// down takes effect or not, and its reply is lost either way.
func (s *store) write(writes []tabler.Write, done func([]tabler.Row, tabler.Result, error)) {
	s.writes++
	w := s.world
	begin := w.now
	if s.free.After(begin) {
		begin = s.free
	}
	slowness := time.Duration(s.slowness)
	s.free = begin.Add(writeEvery * slowness)
	w.at(begin.Add(writeTakes*slowness), func() {
		if !s.down {
			done(nil, s.commit(writes), nil)
			return
		}
		if s.random.IntN(2) == 0 {
			s.commit(writes)
		}
		w.after(lostTakes, func() { done(nil, tabler.Result{}, errLost()) })
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

// claims drives the shipped core of an entry's claimer.
type claims struct {
	entry *entryNode
	core  *claimer.Core
	alarm alarm
}

func newClaims(e *entryNode, random *rand.Rand) *claims {
	return &claims{
		entry: e, core: claimer.NewCore(claimer.DefaultLimits(), random),
		alarm: alarm{loop: e.world.loop},
	}
}

func (c *claims) insert(command dispatcher.WriteClaim) {
	c.deliver(c.core.Insert(command, c.entry.world.now))
}

func (c *claims) take(command dispatcher.ReplaceClaim) {
	c.deliver(c.core.Replace(command, c.entry.world.now))
}

// deliver hands events to the entry's core in a step of their own.
func (c *claims) deliver(events []dispatcher.Event) {
	for _, ev := range events {
		c.entry.later(0, ev)
	}
}

// pump sends the calls that are due.
func (c *claims) pump() {
	w := c.entry.world
	c.core.SetEntries(len(w.entries)) // Those that are down count until their rows expire.
	for batch := c.core.Next(w.now); batch != nil; batch = c.core.Next(w.now) {
		c.send(batch)
	}
	if wake, ok := c.core.WakeTime(); ok {
		c.alarm.set(wake, c.entry.guard(func() {
			c.deliver(c.core.Expire(w.now))
			c.pump()
		}))
	}
}

func (c *claims) send(batch *claimer.Batch) {
	w := c.entry.world
	distance := w.deployment.NearLatency
	w.after(distance, func() {
		w.store.call(batch, func(rows []tabler.Row, result tabler.Result, err error) {
			w.after(distance, c.entry.guard(func() { c.done(batch, rows, result, err) }))
		})
	})
}

func (c *claims) done(batch *claimer.Batch, rows []tabler.Row, result tabler.Result, err error) {
	now := c.entry.world.now
	if len(batch.Keys) > 0 {
		c.deliver(c.core.ReadDone(batch, rows, err, now))
	} else {
		c.deliver(c.core.CommitDone(batch, result, err, now))
	}
	c.pump()
}
