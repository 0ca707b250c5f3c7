package rehearser_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/rehearser"
)

// deadlyDay returns a day of the desk on which a share of the jobs of the shortest
// route is deadly from 2 to 7 s.
func deadlyDay(seed uint64, share float64) rehearser.Day {
	day := deskDay(seed)
	day.DeadlyWork = rehearser.DeadlyWork{Route: "hold", Share: share, At: 2 * time.Second, For: 5 * time.Second}
	return day
}

func TestTaskDoesNotCrashMinionAfterMinion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(3) {
		day := deadlyDay(seed, 0.1)
		day.Faults = []rehearser.Fault{{Kind: rehearser.KillEntry, At: 5 * time.Second}}
		result := rehearser.Play(day)
		t.Logf("%+v", result)
		is.Equal(strings.Join(result.Violations, "\n"), "")
		is.True(result.JobCrashes <= 2)
	}
}

// Once entries know of the work, sound routes lose a twentieth at most.
func TestSoundRoutesAreServedBesideDeadlyWork(t *testing.T) {
	t.Parallel()
	for _, share := range []float64{0.01, 0.1, 0.5} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				result, without := rehearser.Play(deadlyDay(seed, share)), rehearser.Play(deadlyDay(seed, 0))
				t.Logf("%+v, without: %v", result, without.SettledWorthByRoute)
				is.Equal(result.Violations, nil)
				for _, route := range []string{"assign", "check"} {
					is.True(result.SettledWorthByRoute[route] >= without.SettledWorthByRoute[route]-0.05)
				}
			}
		})
	}
}

func TestAtMostAThirdOfTheMinionsIsDownByDeadlyWork(t *testing.T) {
	t.Parallel()
	for _, share := range []float64{0.01, 0.1, 0.5} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(6) {
				day := deadlyDay(seed, share)
				result := rehearser.Play(day)
				t.Logf("%+v", result)
				is.True(result.SettledMostDown <= len(day.DurationFactors)/3)
			}
		})
	}
}
