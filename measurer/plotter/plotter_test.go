package plotter_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"agatevalve/measurer"
	"agatevalve/measurer/plotter"
)

func TestDrawWritesOneFileForEachTrialAndOneOfGoodput(t *testing.T) {
	is := is.New(t)
	points := []measurer.Point{{Ratio: 0.9, Share: 0.5}, {Ratio: 1.4, Share: 0.99}}
	trial := func(name string, load float64) measurer.Trial {
		return measurer.Trial{Name: name, Offered: load, Policies: []measurer.Figures{
			{Policy: measurer.ShippedPolicy, Goodput: load, Distribution: points},
			{Policy: "silent"},
		}}
	}
	report := measurer.Report{Deployment: "campanario", Scenarios: []measurer.Scenario{
		{Name: "steady", Trials: []measurer.Trial{trial("low", 0.5), trial("high", 0.9)}},
	}}
	dir := t.TempDir()
	is.NoErr(plotter.Draw(dir, report))
	for _, name := range []string{"low", "high", "goodput"} {
		content, err := os.ReadFile(filepath.Join(dir, "campanario-"+name+".svg"))
		is.NoErr(err)
		is.True(bytes.Contains(content, []byte("<svg")))
	}
}
