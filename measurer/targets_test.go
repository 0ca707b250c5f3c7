package measurer_test

import (
	"testing"
	"time"

	"agatevalve/measurer"
)

// shortLength is the measured time of trials without faults.
const shortLength = 40 * time.Second

// TestTargets has one subtest per target, so that KNOWN-RED.txt can list a
// single missed target by name. The second deployment has a higher waste
// weight.
func TestTargets(t *testing.T) {
	for _, c := range []struct {
		deployment, scenario string
		ownOnly              bool
	}{
		{"campanario", "steady", false},
		{"campanario", "overload", true},
		{"campanario", "slow-minion", true},
		{"campanario", "failing-minion", true},
		{"campanario", "team-over-quota", true},
		{"campanario", "silent-link", true},
		{"campanario", "drain", true},
		{"reed-office", "steady", true},
	} {
		t.Run(c.deployment+"/"+c.scenario, func(t *testing.T) {
			o := shortOptions(c.scenario)
			o.Deployment, o.Duration, o.SkipBaselines = c.deployment, shortLength, c.ownOnly
			checkTargets(t, o)
		})
	}
}

func checkTargets(t *testing.T, o measurer.Options) {
	report, err := measurer.Run(o)
	if err != nil {
		t.Fatal(err)
	}
	if n := report.Violations(); n > 0 {
		t.Errorf("%d promises were broken", n)
	}
	for _, target := range report.Scenarios[0].Targets {
		t.Run(target.Name, func(t *testing.T) {
			if !target.Met() {
				t.Errorf("%g misses the bound %g", target.Value, target.Bound)
			}
		})
	}
}
