package rehearser_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/rehearser"
)

// configuredDay returns a day on which the operator writes documents that are drawn
// from all that the platform accepts, while entries are killed.
func configuredDay(seed uint64) rehearser.Day {
	day := deskDay(seed)
	day.Length, day.Configurations.Interval = 8*time.Second, 700*time.Millisecond
	day.Faults = []rehearser.Fault{{Kind: rehearser.KillEntry, At: 3 * time.Second}, {Kind: rehearser.FreezeEntry, At: 4 * time.Second, For: time.Second, Entry: 1}}
	return day
}

// TestDrawnConfigurationsComeIntoForce guards against a value in a configuration that
// keeps it out of force, or that misleads the cores.
func TestDrawnConfigurationsComeIntoForce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			is := is.New(t)
			result := rehearser.Play(configuredDay(seed))
			is.Equal(result.Violations, nil)
			is.True(result.OnTime > result.Jobs/2)
		})
	}
}

// TestRefusedConfigurationsAreDetected tests the check on configurations.
func TestRefusedConfigurationsAreDetected(t *testing.T) {
	t.Parallel()
	day := configuredDay(1)
	day.Configurations.RefuseOdd = true
	result := rehearser.Play(day)
	is.New(t).True(strings.Contains(strings.Join(result.Violations, "\n"), "config:"))
}
