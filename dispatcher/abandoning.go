package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/common/task"
)

// abandoned gives up a job that another entry owns and that no caller waits for
// here any more, instead of taking it over. Its owner may have told a later
// caller that nothing ran, and nobody would get the answer.
func (c *Core) abandoned(id task.JobID) bool {
	j := c.jobs[id]
	if j == nil || j.phase != phaseAsking || len(j.waiters) > 0 {
		return false
	}
	c.finish(j, refuse(task.MayHaveRun, http.StatusConflict,
		"another entry owns the job, and nobody waits for it here",
		"send it again with the same key", time.Time{}))
	return true
}
