package rehearser_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/common/work"
	"agatevalve/rehearser"
)

// busyDay returns a day of short and long tasks on four minions.
func busyDay(seed uint64) rehearser.Day {
	return rehearser.Day{
		Seed: seed, Length: 6 * time.Second, Entries: 2, Room: work.Room{CPU: 8000, Memory: 65536}, DurationFactors: []float64{1, 1, 1, 1},
		Routes: []rehearser.Route{
			{Name: "short", JobsPerSecond: 20, Tasks: 4, Work: 60 * time.Millisecond, CPU: 800, Worth: 1},
			{Name: "long", JobsPerSecond: 8, Tasks: 3, Work: 500 * time.Millisecond, CPU: 800, Worth: 1},
		},
	}
}

// withFaults adds a fault of each minion in turn at an interval. Their durations
// take the given ones in turn.
func withFaults(day rehearser.Day, kind rehearser.FaultKind, interval time.Duration, durations ...time.Duration) rehearser.Day {
	n := 0
	for at := 500 * time.Millisecond; at < day.Length; at += interval {
		day.Faults = append(day.Faults, rehearser.Fault{Kind: kind, At: at, For: durations[n%len(durations)], Minion: n})
		n++
	}
	return day
}

// checkDays checks that no guarantee is violated on the days of seeds 0 to 7, and
// that they start many runs.
func checkDays(t *testing.T, day func(seed uint64) rehearser.Day) {
	t.Helper()
	is := is.New(t)
	for seed := range uint64(8) {
		result := rehearser.Play(day(seed))
		t.Logf("seed %d: %d starts, %d wasted, worth %.3f, %d violations", seed, result.Starts, result.Wasted, result.Worth, len(result.Violations))
		is.True(result.Starts >= 100)
		if len(result.Violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(result.Violations, "\n"))
		}
	}
}

// A connection that is refused doesn't prove that the runs have ended.
func TestRefusingMinionsRunNothingTwice(t *testing.T) {
	t.Parallel()
	checkDays(t, func(seed uint64) rehearser.Day {
		return withFaults(busyDay(seed), rehearser.RefuseMinion, 300*time.Millisecond, 5*time.Millisecond, 150*time.Millisecond, 1500*time.Millisecond)
	})
}

// A start that was under way is not carried out beside the run that replaced it.
func TestRestartedMinionsRunNothingTwice(t *testing.T) {
	t.Parallel()
	for _, day := range []struct {
		name       string
		lost, held float64
	}{{"alone", 0, 0}, {"beside unanswered orders", 0.1, 0}, {"beside held orders", 0, 0.2}, {"beside both", 0.1, 0.2}} {
		t.Run(day.name, func(t *testing.T) {
			checkDays(t, func(seed uint64) rehearser.Day {
				d := withFaults(busyDay(seed), rehearser.RestartMinion, 150*time.Millisecond, 3*time.Millisecond, 40*time.Millisecond, 150*time.Millisecond, 800*time.Millisecond)
				d.LostAnswerShare, d.MinLateDelay, d.MaxLateDelay, d.HeldOrderShare = day.lost, 100*time.Millisecond, 6*time.Second, day.held
				return d
			})
		})
	}
}

// Guards against a held start that reaches the next incarnation before its agent does.
func TestHeldStartsRunNothingTwiceAfterARestart(t *testing.T) {
	t.Parallel()
	checkDays(t, func(seed uint64) rehearser.Day {
		d := withFaults(busyDay(100+seed), rehearser.RestartMinion, 150*time.Millisecond, 3*time.Millisecond, 40*time.Millisecond, 150*time.Millisecond, 800*time.Millisecond)
		d.HeldOrderShare = 0.2
		return d
	})
}

// The announcement of a departure doesn't prove that the runs have ended.
func TestDepartingMinionsRunNothingTwice(t *testing.T) {
	t.Parallel()
	checkDays(t, func(seed uint64) rehearser.Day {
		return withFaults(busyDay(seed), rehearser.DepartMinion, 300*time.Millisecond, 5*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond)
	})
}

// drawPortFaults adds one to six faults of a kind, which last up to 800 ms, or up to
// 300 ms for departures.
func drawPortFaults(t *rapid.T, day rehearser.Day, kind rehearser.FaultKind) rehearser.Day {
	longest := 800
	if kind == rehearser.DepartMinion {
		longest = 300
	}
	for range rapid.IntRange(1, 6).Draw(t, "port faults") {
		day.Faults = append(day.Faults, rehearser.Fault{
			Kind:   kind,
			At:     time.Duration(rapid.IntRange(100, 4000).Draw(t, "port fault at")) * time.Millisecond,
			For:    time.Duration(rapid.IntRange(2, longest).Draw(t, "port fault for")) * time.Millisecond,
			Minion: rapid.IntRange(0, 4).Draw(t, "port fault minion"),
		})
	}
	return day
}

// Guards against port faults that combine with others to a violation.
func TestRandomDaysOfPortFaultsCauseNoViolation(t *testing.T) {
	t.Parallel()
	for _, kind := range []rehearser.FaultKind{rehearser.RefuseMinion, rehearser.RestartMinion, rehearser.DepartMinion} {
		t.Run(string(kind), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				day := drawPortFaults(t, drawDay(t), kind)
				if result := rehearser.Play(day); len(result.Violations) > 0 {
					t.Fatalf("%+v\n%s", day, strings.Join(result.Violations, "\n"))
				}
			})
		})
	}
}
