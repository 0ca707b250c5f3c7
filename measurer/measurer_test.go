package measurer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/measurer"
)

// shortOptions returns options for a short run of the shipped policy alone.
func shortOptions(scenario string) measurer.Options {
	return measurer.Options{
		Scenario: scenario, Deployment: "campanario", Seed: 1,
		Tuning: measurer.DefaultTuning(), Duration: 20 * time.Second, SkipBaselines: true,
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	is := is.New(t)
	for _, scenario := range []string{"unequal-entries", "entry-and-agent-killed"} {
		o := shortOptions(scenario)
		o.Duration = 5 * time.Second
		o.SkipBaselines = scenario != "unequal-entries"
		var runs [2]bytes.Buffer
		for i := range runs {
			report, err := measurer.Run(o)
			is.NoErr(err)
			is.NoErr(report.WriteJSON(&runs[i]))
		}
		is.True(runs[0].Len() > 0)
		is.Equal(runs[0].String(), runs[1].String())
	}
}

func TestAnotherSeedGivesOtherFigures(t *testing.T) {
	is := is.New(t)
	first, err := measurer.Run(shortOptions("unequal-entries"))
	is.NoErr(err)
	o := shortOptions("unequal-entries")
	o.Seed = 2
	second, err := measurer.Run(o)
	is.NoErr(err)
	is.True(first.Scenarios[0].Trials[0].Shipped().Ratio != second.Scenarios[0].Trials[0].Shipped().Ratio)
}

func TestUnknownNamesAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := measurer.Run(measurer.Options{Scenario: "none", Deployment: "campanario"})
	is.Equal(fault.KindOf(err), fault.NotFound)
	_, err = measurer.Run(measurer.Options{Scenario: "all", Deployment: "none"})
	is.Equal(fault.KindOf(err), fault.NotFound)
}

func TestTableNamesEveryTarget(t *testing.T) {
	is := is.New(t)
	report, err := measurer.Run(shortOptions("unequal-entries"))
	is.NoErr(err)
	var table bytes.Buffer
	is.NoErr(report.WriteTable(&table))
	for _, target := range report.Scenarios[0].Targets {
		is.True(strings.Contains(table.String(), target.Name))
	}
}
