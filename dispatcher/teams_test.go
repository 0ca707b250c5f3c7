package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestStateOfIdleTeamsIsDropped sends one request from each of many teams.
// Callers choose the team names, so their number is unbounded.
func TestStateOfIdleTeamsIsDropped(t *testing.T) {
	is := is.New(t)
	e := newTestEntry("one")
	e.announce("a", 4)
	for i := range 2000 {
		s := e.submission("", 1, false)
		s.Team = task.Team(fmt.Sprint("team-", i))
		s.Job = task.KeyedJobID(s.Team, "job")
		sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: s}))
		is.Equal(len(sends), 1)
		e.now = e.now.Add(50 * time.Millisecond)
		e.step(finishedEvent(sends[0]))
		e.now = e.now.Add(50 * time.Millisecond)
	}
	is.True(e.core.View().Teams < 400) // the teams of about the last 30 s
}
