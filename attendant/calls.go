package attendant

import (
	"context"
	"time"

	"agatevalve/runner"
)

// runSlot is the goroutine of one slot: it sends one task at a time to the
// minion until the attendant closes.
func (a *Attendant) runSlot() {
	var batch []minionCall
	for {
		select {
		case <-a.calls.Ready():
		case <-a.ctx.Done():
			return
		}
		batch, _ = a.calls.TakeUpTo(batch[:0], 1)
		for _, c := range batch {
			ended := a.callMinion(c)
			a.inputs.Put(context.Background(), loopInput{event: ended}) // Put fails only when the attendant has closed.
		}
		clear(batch)
	}
}

// callMinion sends a task to the minion. It checks the deadline again, because
// the process may have been paused since the core checked it.
func (a *Attendant) callMinion(c minionCall) runner.Event {
	if c.ctx.Err() != nil || !time.Now().Before(c.start.Deadline) {
		return runner.MinionUnreached{Task: c.start.Task, Attempt: c.start.Attempt}
	}
	return a.minion.Run(c.ctx, c.start)
}
