package rehearser_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/work"
	"agatevalve/rehearser"
)

var allKinds = []rehearser.FaultKind{
	rehearser.KillEntry, rehearser.KillAgent, rehearser.FreezeEntry, rehearser.FreezeAgent, rehearser.CutLink,
	rehearser.CrashMinion, rehearser.SlowMinion, rehearser.StallMinion, rehearser.FailMinion, rehearser.DrainMinion,
	rehearser.CutMinion, rehearser.ShrinkMinion, rehearser.EvacuateZone,
}

// drawDay draws a small day with up to eight faults, which may overlap.
func drawDay(t *rapid.T) rehearser.Day {
	day := rehearser.Day{
		Seed: rapid.Uint64().Draw(t, "seed"), Length: 4 * time.Second, Entries: rapid.IntRange(1, 3).Draw(t, "entries"),
		Room: work.Room{CPU: 8000, Memory: 65536},
		Routes: []rehearser.Route{
			{Name: "short", JobsPerSecond: 12, Tasks: 6, Work: 60 * time.Millisecond, CPU: 1600, Worth: 1},
			{Name: "long", JobsPerSecond: 3, Tasks: 3, Work: 800 * time.Millisecond, CPU: 1600, Worth: 1, Priority: 2},
			{Name: "labelled", JobsPerSecond: 2, Tasks: 2, Work: 100 * time.Millisecond, CPU: 3000, Worth: 1, Label: "b", Priority: 1},
			{Name: "apart", JobsPerSecond: 2, Tasks: 4, Work: 100 * time.Millisecond, CPU: 1000, Worth: 1, MaxPerMinion: 2, Priority: 1},
		},
		Labels:             [][]string{{"a"}, {"a", "b"}},
		AllowOvercommit:    rapid.Bool().Draw(t, "unguarded"),
		FailingJobShare:    rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "poison"),
		LostAnswerShare:    rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "lost"),
		LeavingCallerShare: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "leave"),
		Zones:              rapid.IntRange(1, 3).Draw(t, "zones"),
		LateReportShare:    rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "late reports"),
	}
	for range rapid.IntRange(2, 5).Draw(t, "minions") {
		day.DurationFactors = append(day.DurationFactors, rapid.SampledFrom([]float64{0.6, 1, 1.7}).Draw(t, "pace"))
	}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		day.Faults = append(day.Faults, rehearser.Fault{
			Kind:   rapid.SampledFrom(allKinds).Draw(t, "kind"),
			At:     time.Duration(rapid.IntRange(100, 4000).Draw(t, "at")) * time.Millisecond,
			For:    time.Duration(rapid.IntRange(50, 3000).Draw(t, "for")) * time.Millisecond,
			Entry:  rapid.IntRange(0, 2).Draw(t, "entry"),
			Minion: rapid.IntRange(0, 4).Draw(t, "minion"),

			OneEntry: rapid.Bool().Draw(t, "one entry"),
			Cold:     time.Duration(rapid.SampledFrom([]int{0, 1500}).Draw(t, "cold")) * time.Millisecond,
		})
	}
	day.PatientCallers = rapid.Bool().Draw(t, "patient")
	return day
}

// TestMain fixes the seed and the number of days, so that CI gets the same
// result on each run; -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40"} {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // Numbers are always valid.
		}
	}
	os.Exit(m.Run())
}

// Simulates random days. The verifier observes what callers and minions see:
// tasks that run twice at the same time, false refusals and answers, and starts
// that nobody requested, at draining or full minions, without the route's
// label, beyond its limit per minion, or after as many failures as it allows.
// Cores use monotonic clocks only, so that jumps of the wall clock can't affect
// them.
func TestRandomDaysCauseNoViolation(t *testing.T) {
	t.Parallel()
	days, steps := 0, 0
	t.Cleanup(func() { t.Logf("%d days, %d steps", days, steps) })
	rapid.Check(t, func(t *rapid.T) {
		day := drawDay(t)
		result := rehearser.Play(day)
		days++
		steps += result.Steps
		if len(result.Violations) > 0 {
			t.Fatalf("%+v\n%s", day, strings.Join(result.Violations, "\n"))
		}
	})
}

// Checks that the verifier detects double execution: minions that ignore lease
// expiry continue the runs of a frozen agent, whose tasks also run elsewhere.
func TestVerifierFindsDoubleExecution(t *testing.T) {
	t.Parallel()
	day := deskDay(4)
	day.Length = 4 * time.Second
	day.IgnoreLeaseExpiry = true
	for i := range 6 {
		for _, kind := range []rehearser.FaultKind{rehearser.FreezeAgent, rehearser.StallMinion} {
			day.Faults = append(day.Faults, rehearser.Fault{Kind: kind, At: time.Second, For: 4500 * time.Millisecond, Minion: i})
		}
	}
	if result := rehearser.Play(day); len(result.Violations) == 0 {
		t.Fatal("the verifier did not detect double execution")
	}
}

// Checks that the verifier detects wrong placement: the policy ignores labels
// and limits per minion.
func TestVerifierFindsWrongPlacement(t *testing.T) {
	t.Parallel()
	day := rehearser.Day{
		Seed: 5, Length: 2 * time.Second, Entries: 1, Room: work.Room{CPU: 8000, Memory: 65536}, DurationFactors: []float64{1, 1}, Policy: rehearser.LeastLoaded,
		Labels: [][]string{{"a"}, {"a", "b"}},
		Routes: []rehearser.Route{
			{Name: "labelled", JobsPerSecond: 5, Tasks: 2, Work: 100 * time.Millisecond, CPU: 1000, Worth: 1, Label: "b"},
			{Name: "apart", JobsPerSecond: 5, Tasks: 4, Work: 100 * time.Millisecond, CPU: 1000, Worth: 1, MaxPerMinion: 1},
		},
	}
	violations := strings.Join(rehearser.Play(day).Violations, "\n")
	if !strings.Contains(violations, "without its label") || !strings.Contains(violations, "of its job") {
		t.Fatal(violations)
	}
}

// Checks that the verifier detects too many attempts: entries retry tasks that
// never succeed more often than their route allows.
func TestVerifierFindsTooManyAttempts(t *testing.T) {
	t.Parallel()
	day := deskDay(6)
	day.Length, day.FailingJobShare, day.ExtraAttempts = 2*time.Second, 0.3, 2
	if violations := strings.Join(rehearser.Play(day).Violations, "\n"); !strings.Contains(violations, "budget:") {
		t.Fatal(violations)
	}
}
