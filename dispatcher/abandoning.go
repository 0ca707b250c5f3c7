package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/common/task"
)

// abandonIfNoWaiters fails a job that another entry owns and that no caller
// waits for here any more, and reports whether it did. Such a job must not be
// taken over: its owner may have answered a later caller that nothing ran, and
// nobody here would get the answer.
func (c *Core) abandonIfNoWaiters(id task.JobID) bool {
	j := c.jobs[id]
	if j == nil || j.phase != phaseAsking || len(j.waiters) > 0 {
		return false
	}
	c.finish(j, errorAnswer(task.MayHaveRun, http.StatusConflict,
		"another entry owns the job, and nobody waits for it here",
		"send it again with the same key", time.Time{}))
	return true
}
