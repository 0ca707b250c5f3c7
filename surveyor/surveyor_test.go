package surveyor_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"agatevalve/surveyor"
)

func TestFitLine(t *testing.T) {
	is := is.New(t)
	is.Equal(surveyor.FitLine([]surveyor.Point{{1, 5}, {2, 7}, {4, 11}}), surveyor.Line{Intercept: 3, Gradient: 2, RSquared: 1})
	is.Equal(surveyor.FitLine([]surveyor.Point{{1, 5}, {2, 5}}), surveyor.Line{Intercept: 5, Gradient: 0, RSquared: 1})
	scattered := surveyor.FitLine([]surveyor.Point{{1, 1}, {2, 3}, {3, 1}, {4, 3}})
	is.True(scattered.RSquared > 0.19 && scattered.RSquared < 0.21) // the exact value is 0.2
	is.Equal(surveyor.Line{Intercept: 3, Gradient: 2}.At(10), 23.0)
}

// TestSurvey runs every probe at small sizes, and checks that the report
// survives a round trip through JSON.
func TestSurvey(t *testing.T) {
	if testing.Short() {
		t.Skip("a survey takes seconds")
	}
	is := is.New(t)
	report, err := surveyor.Run(t.Context(), surveyor.Options{Scale: 0.02})
	is.NoErr(err)
	for _, s := range report.Slopes {
		is.Equal(len(s.Points), 4) // points of the slope
		is.True(s.Unit != "" && s.SizeUnit != "" && s.Method != "")
	}
	var text bytes.Buffer
	is.NoErr(report.WriteJSON(&text))
	decoded, err := surveyor.ReadJSON(bytes.NewReader(text.Bytes()))
	is.NoErr(err)
	is.Equal(decoded, report)
	_, err = report.Slope("no such slope")
	is.True(err != nil)
}

// TestReadJSONRejectsInconsistentLine changes a point in the JSON without
// changing the line.
func TestReadJSONRejectsInconsistentLine(t *testing.T) {
	is := is.New(t)
	r := surveyor.Report{Slopes: []surveyor.Slope{{
		Name: "a", Points: []surveyor.Point{{1, 5}, {2, 7}}, Line: surveyor.Line{Intercept: 3, Gradient: 2, RSquared: 1},
	}}}
	var text bytes.Buffer
	is.NoErr(r.WriteJSON(&text))
	_, err := surveyor.ReadJSON(strings.NewReader(strings.Replace(text.String(), `"cost": 7`, `"cost": 8`, 1)))
	is.True(err != nil)
}
