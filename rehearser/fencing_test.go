package rehearser_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"agatevalve/common/work"
	"agatevalve/rehearser"
)

// killedAgentsDay returns a day on which agents are killed again and again while
// orders are unanswered, and return before the leases have expired.
func killedAgentsDay(seed uint64, leasesCount bool) rehearser.Day {
	day := rehearser.Day{
		Seed: seed, Length: 6 * time.Second, Entries: 2, Room: work.Room{CPU: 8000, Memory: 65536}, DurationFactors: []float64{1, 1, 1, 1},
		Routes: []rehearser.Route{
			{Name: "long", JobsPerSecond: 12, Tasks: 3, Work: 600 * time.Millisecond, CPU: 800, Worth: 1},
		},
		LostAnswerShare: 0.2, MinLateDelay: 150 * time.Millisecond, MaxLateDelay: 900 * time.Millisecond, LateLeasesCount: leasesCount,
		AgentRestartDelay: 100 * time.Millisecond, MaxClockStep: 3 * time.Second,
	}
	for i := range 40 {
		day.Faults = append(day.Faults, rehearser.Fault{Kind: rehearser.KillAgent, At: time.Duration(500+130*i) * time.Millisecond, Minion: i})
	}
	return day
}

// Guards against runs of a killed agent that begin beside those that replaced
// them: the minion carried out late what the agent had left unanswered.
func TestLateOrdersOfKilledAgentsStartNothingTwice(t *testing.T) {
	t.Parallel()
	for _, leasesCount := range []bool{false, true} {
		t.Run(fmt.Sprintf("leases count from arrival %t", leasesCount), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				result := rehearser.Play(killedAgentsDay(seed, leasesCount))
				if len(result.Violations) > 0 {
					t.Errorf("seed %d: %s", seed, strings.Join(result.Violations, "\n"))
				}
				if result.Starts < 100 {
					t.Errorf("seed %d: only %d starts", seed, result.Starts)
				}
			}
		})
	}
}
