package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// Guards against two runs of one task at once: an entry that was paused learns
// that a caller has left only after it has read the end of its connection.
func TestNothingIsPlacedRightAfterAPause(t *testing.T) {
	is := is.New(t)
	b, placed := started(t, false)
	b.now = b.now.Add(3 * time.Second)
	lost := work.Report{Run: placed.Order.Run, State: work.Lost, Number: 1}
	out := b.step(scheduler.ProcessPaused{}, scheduler.Reported{Agent: placed.Agent, Link: placed.Link, Reports: []work.Report{lost}})
	out = append(out, b.advance(40*time.Millisecond)...)
	is.Equal(len(commandsOf[scheduler.Place](out)), 0)
	again := commandsOf[scheduler.Place](b.advance(20 * time.Millisecond))
	is.Equal(len(again), 1) // The caller has stayed.
	is.Equal(again[0].Order.Run.Number, 2)
}
