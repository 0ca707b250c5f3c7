package estimator_test

import (
	"bytes"
	"flag"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"agatevalve/surveyor"
	"agatevalve/surveyor/estimator"
)

const (
	pageFile   = "../../docs/CAPACITY.md"
	surveyFile = "../../docs/measurements/slopes.json"
)

var update = flag.Bool("update", false, "write the tables of the capacity page anew")

func readSurvey(t *testing.T) ([]byte, surveyor.Report) {
	t.Helper()
	text, err := os.ReadFile(surveyFile)
	is.New(t).NoErr(err)
	survey, err := surveyor.ReadJSON(bytes.NewReader(text))
	is.New(t).NoErr(err)
	return text, survey
}

// TestPageMatchesSurvey recomputes the page's tables from the survey, and
// compares them with the page. With -update it rewrites the page instead.
func TestPageMatchesSurvey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pageFile)
	is.NoErr(err)
	_, survey := readSurvey(t)
	rebuilt, err := estimator.Rebuild(string(page), survey)
	is.NoErr(err)
	if *update {
		is.NoErr(os.WriteFile(pageFile, []byte(rebuilt), 0o644))
		return
	}
	if rebuilt != string(page) {
		t.Fatal("the tables of docs/CAPACITY.md are not those of the survey; run go test ./surveyor/estimator -update")
	}
}

// TestEveryPointAffectsPage changes one point of each slope, and expects the page
// to change, so that no slope is measured without being used.
func TestEveryPointAffectsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pageFile)
	is.NoErr(err)
	_, survey := readSurvey(t)
	for i, s := range survey.Slopes {
		changed := survey
		changed.Slopes = append([]surveyor.Slope{}, survey.Slopes...)
		points := append([]surveyor.Point{}, s.Points...)
		points[2].Cost *= 2
		changed.Slopes[i].Points = points
		changed.Slopes[i].Line = surveyor.FitLine(points)
		rebuilt, err := estimator.Rebuild(string(page), changed)
		is.NoErr(err)
		if rebuilt == string(page) {
			t.Errorf("the page does not depend on slope %s", s.Name)
		}
	}
}

func TestRebuildRequiresMarkersAndSlopes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pageFile)
	is.NoErr(err)
	_, survey := readSurvey(t)
	_, err = estimator.Rebuild(strings.Replace(string(page), "<!-- end operator -->", "", 1), survey)
	is.True(err != nil)
	survey.Slopes = survey.Slopes[1:]
	_, err = estimator.Rebuild(string(page), survey)
	is.True(err != nil)
}

// TestArithmetic compares rows with hand-computed values, for slopes that all
// have intercept 10 and gradient 1.
func TestArithmetic(t *testing.T) {
	is := is.New(t)
	_, survey := readSurvey(t)
	for i := range survey.Slopes {
		survey.Slopes[i].Line = surveyor.Line{Intercept: 10, Gradient: 1}
		survey.Slopes[i].Points = nil
	}
	tables, err := estimator.New(survey, estimator.FleetTarget(), estimator.FleetLimits()).Tables()
	is.NoErr(err)
	find := func(table, what string) estimator.Row {
		for _, candidate := range tables {
			for _, r := range candidate.Rows {
				if candidate.Name == table && r.Label == what {
					return r
				}
			}
		}
		t.Fatalf("no row %q in table %s", what, table)
		return estimator.Row{}
	}
	is.Equal(find("entry-control", "announcements").Shipped, 275*(1/60.0))      // 1,100 x 4 / 16 every minute
	is.Equal(find("agent-control", "list of the entries").Shipped, 26*(1/10.0)) // 10 + 16 every 10 s
	is.Equal(find("store-reads", "lists by agents").Shipped, 110.0)             // 1,100 every 10 s
	is.Equal(find("store-writes", "jobs of 100: rows").Shipped, 640.0+26)       // claims and index rows
	is.Equal(find("store-writes", "**jobs of 100: writes with that sweep**").Shipped, 2*26+find("store-writes", "jobs of 100: renewals").Shipped+find("store-writes", "jobs of 100: publishes").Shipped)
	is.Equal(find("entry-data", "claims, jobs of 10").Shipped, 30*400.0)                  // 10 + 2 x 10 agents, 400 jobs
	is.True(math.Abs(find("entry-data", "claims, jobs of 1300").Shipped-876.923) < 0.001) // 285 x 4,000 / 1,300
	is.True(find("entry-control", "**control messages**").Shipped > 0)
	is.True(!find("entry-control", "**control messages**").ExceedsLimit())
}

func TestFiguresHaveThreeSignificantDigits(t *testing.T) {
	is := is.New(t)
	for value, want := range map[float64]string{
		137_312: "137,000", -137_312: "-137,000", 1234: "1,230", -12.3456: "-12.3", 0.0012345: "0.00123", 0: "0", 5: "5",
	} {
		table := estimator.Table{Rows: []estimator.Row{{Shipped: value}}}
		is.True(strings.Contains(table.Markdown(), "|  |  | "+want+" |"))
	}
}
