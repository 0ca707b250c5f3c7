package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestTeamsThatCallersMakeUpCostNoMemory sends one request from each of many
// teams, as a caller that draws its team's name would.
func TestTeamsThatCallersMakeUpCostNoMemory(t *testing.T) {
	is := is.New(t)
	e := newEntry("one")
	e.announce("a", 4)
	for i := range 2000 {
		s := e.submission("", 1, false)
		s.Team = task.Team(fmt.Sprint("team-", i))
		s.Job = task.KeyedJobID(s.Team, "job")
		sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: s}))
		is.Equal(len(sends), 1)
		e.now = e.now.Add(50 * time.Millisecond)
		e.step(finished(sends[0]))
		e.now = e.now.Add(50 * time.Millisecond)
	}
	is.True(e.core.View().Teams < 400) // those of the last half minute or so
}
