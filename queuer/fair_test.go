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

func never(task.Team) bool { return false }

func TestTeamsShareByWeight(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFair[int]()
	for i := range 400 {
		f.Push("heavy", 3, epoch, i)
		f.Push("light", 1, epoch, i)
	}
	served := make(map[task.Team]int)
	for range 400 {
		team, _, ok := f.Peek(never)
		is.True(ok)
		f.Drop(team)
		f.Charge(epoch, team, time.Second)
		served[team]++
	}
	is.Equal(served["heavy"], 300)
	is.Equal(served["light"], 100)
}

func TestRankOrdersATeamAndEqualRanksAreFirstComeFirstServed(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFair[string]()
	f.Push("a", 1, epoch.Add(time.Second), "late")
	f.Push("a", 1, epoch, "first")
	f.Push("a", 1, epoch, "second")
	for _, want := range []string{"first", "second", "late"} {
		_, got, _ := f.Peek(never)
		is.Equal(got, want)
		f.Drop("a")
	}
}

func TestIdleTeamSavesNothingUp(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFair[int]()
	for i := range 100 {
		f.Push("busy", 1, epoch, i)
	}
	for range 50 {
		f.Drop("busy")
		f.Charge(epoch, "busy", time.Second)
	}
	for i := range 10 {
		f.Push("new", 1, epoch, i)
	}
	first := 0
	for range 10 {
		team, _, _ := f.Peek(never)
		f.Drop(team)
		f.Charge(epoch, team, time.Second)
		if team == "new" {
			first++
		}
	}
	is.True(first <= 6) // it shares from now on, and isn't paid for its absence
}

func TestExcessIsMeasuredAgainstTheFairPart(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFair[int]()
	f.Charge(epoch, "a", 3*time.Second)
	is.Equal(f.Excess(epoch, "a"), 1.0) // alone
	f.Charge(epoch, "b", time.Second)
	is.Equal(f.Excess(epoch, "a"), 1.5) // three quarters of a half
	is.Equal(f.Excess(epoch, "unknown"), 0.0)
}

func TestTeamsThatCallersMakeUpAreForgotten(t *testing.T) {
	is := is.New(t)
	f := queuer.NewFair[int]()
	for i := range 1000 {
		team := task.Team(fmt.Sprint("team-", i))
		f.Push(team, 1, epoch, i)
		f.Drop(team)
		f.Charge(epoch, team, time.Millisecond)
	}
	f.Forget(epoch.Add(time.Minute))
	is.True(f.Teams() == 0)
}
