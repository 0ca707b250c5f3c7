package attendant

import "context"

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
			ended := a.minion.run(c.ctx, c.start)
			a.inputs.Put(context.Background(), input{event: ended}) // False only when the attendant has closed.
		}
		clear(batch)
	}
}
