package queuer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/queuer"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// skipNone excludes no team.
func skipNone(task.Team) bool { return false }

func TestTeamsShareByWeight(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFairQueue[int]()
	for i := range 400 {
		f.Push("heavy", 3, epoch, i)
		f.Push("light", 1, epoch, i)
	}
	served := make(map[task.Team]int)
	for range 400 {
		team, _, ok := f.Peek(skipNone)
		is.True(ok)
		f.Pop(team)
		f.Charge(epoch, team, time.Second)
		served[team]++
	}
	is.Equal(served["heavy"], 300)
	is.Equal(served["light"], 100)
}

func TestRankOrdersATeamAndEqualRanksAreFirstComeFirstServed(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFairQueue[string]()
	f.Push("a", 1, epoch.Add(time.Second), "late")
	f.Push("a", 1, epoch, "first")
	f.Push("a", 1, epoch, "second")
	for _, want := range []string{"first", "second", "late"} {
		_, got, _ := f.Peek(skipNone)
		is.Equal(got, want)
		f.Pop("a")
	}
}

func TestIdleTeamGainsNoCredit(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFairQueue[int]()
	for i := range 100 {
		f.Push("busy", 1, epoch, i)
	}
	for range 50 {
		f.Pop("busy")
		f.Charge(epoch, "busy", time.Second)
	}
	for i := range 10 {
		f.Push("new", 1, epoch, i)
	}
	newTeamServed := 0
	for range 10 {
		team, _, _ := f.Peek(skipNone)
		f.Pop(team)
		f.Charge(epoch, team, time.Second)
		if team == "new" {
			newTeamServed++
		}
	}
	is.True(newTeamServed <= 6) // it gets its share from now on, without credit for the time before
}

func TestShareRatioIsRelativeToTheFairShare(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFairQueue[int]()
	f.Charge(epoch, "a", 3*time.Second)
	is.Equal(f.ShareRatio(epoch, "a"), 1.0) // alone
	f.Charge(epoch, "b", time.Second)
	is.Equal(f.ShareRatio(epoch, "a"), 1.5) // three quarters of the use, over a share of one half
	is.Equal(f.ShareRatio(epoch, "unknown"), 0.0)
}

// TestIdleTeamsAreRemoved guards against unbounded memory use: callers choose
// the names of teams, so there can be any number of them.
func TestIdleTeamsAreRemoved(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFairQueue[int]()
	for i := range 1000 {
		team := task.Team(fmt.Sprint("team-", i))
		f.Push(team, 1, epoch, i)
		f.Pop(team)
		f.Charge(epoch, team, time.Millisecond)
	}
	f.RemoveIdle(epoch.Add(time.Minute))
	is.True(f.TeamCount() == 0)
}
