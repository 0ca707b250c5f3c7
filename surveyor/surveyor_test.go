package surveyor_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"agatevalve/surveyor"
)

func TestLineThroughPoints(t *testing.T) {
	is := is.New(t)
	is.Equal(surveyor.LineThrough([]surveyor.Point{{1, 5}, {2, 7}, {4, 11}}), surveyor.Line{Base: 3, Each: 2, Fit: 1})
	is.Equal(surveyor.LineThrough([]surveyor.Point{{1, 5}, {2, 5}}), surveyor.Line{Base: 5, Each: 0, Fit: 1})
	scattered := surveyor.LineThrough([]surveyor.Point{{1, 1}, {2, 3}, {3, 1}, {4, 3}})
	is.True(scattered.Fit > 0.19 && scattered.Fit < 0.21) // 0.2 by hand
	is.Equal(surveyor.Line{Base: 3, Each: 2}.At(10), 23.0)
}

// TestSmallSurvey runs every probe at small sizes, and brings its report
// through the codec.
func TestSmallSurvey(t *testing.T) {
	if testing.Short() {
		t.Skip("a survey takes seconds")
	}
	is := is.New(t)
	report, err := surveyor.Run(t.Context(), surveyor.Options{Scale: 0.02})
	is.NoErr(err)
	for _, s := range report.Slopes {
		is.Equal(len(s.Points), 4) // points of the slope
		is.True(s.Unit != "" && s.Per != "" && s.Method != "")
	}
	var text bytes.Buffer
	is.NoErr(report.WriteJSON(&text))
	again, err := surveyor.ReadJSON(bytes.NewReader(text.Bytes()))
	is.NoErr(err)
	is.Equal(again, report)
	_, err = report.Slope("no such slope")
	is.True(err != nil)
}

func TestLineMustFitItsPoints(t *testing.T) {
	is := is.New(t)
	r := surveyor.Report{Slopes: []surveyor.Slope{{
		Name: "a", Points: []surveyor.Point{{1, 5}, {2, 7}}, Line: surveyor.Line{Base: 3, Each: 2, Fit: 1},
	}}}
	var text bytes.Buffer
	is.NoErr(r.WriteJSON(&text))
	_, err := surveyor.ReadJSON(strings.NewReader(strings.Replace(text.String(), `"cost": 7`, `"cost": 8`, 1)))
	is.True(err != nil)
}
