package attendant

import (
	"context"
	"time"

	"agatevalve/runner"
)

// callMinion takes the place of one slot: it calls the minion with one task
// after the other until the attendant closes.
func (a *Attendant) callMinion() {
	var batch []call
	for {
		select {
		case <-a.calls.Ready():
		case <-a.ctx.Done():
			return
		}
		batch, _ = a.calls.TakeUpTo(batch[:0], 1)
		for _, c := range batch {
			ended := a.call(c)
			a.inputs.Put(context.Background(), input{event: ended}) // False only when the attendant has closed.
		}
		clear(batch)
	}
}

// call looks at the deadline once more, because the process may have been
// paused since the core did.
func (a *Attendant) call(c call) runner.Event {
	if c.ctx.Err() != nil || !time.Now().Before(c.start.Deadline) {
		return runner.MinionUnreached{Task: c.start.Task, Attempt: c.start.Attempt}
	}
	return a.minion.Run(c.ctx, c.start)
}
