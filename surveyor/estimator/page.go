package estimator

import (
	"strings"

	"agatevalve/common/fault"
	"agatevalve/surveyor"
)

// Rebuild returns the page with all tables recomputed from a survey. A table
// stands between the marker lines <!-- begin NAME --> and <!-- end NAME -->.
func Rebuild(page string, survey surveyor.Report) (string, error) {
	tables, err := New(survey, FleetTarget(), FleetLimits()).Tables()
	if err != nil {
		return "", err
	}
	page, err = replaceTable(page, "slopes", slopesTable(survey))
	if err != nil {
		return "", err
	}
	for _, t := range tables {
		if page, err = replaceTable(page, t.Name, t.Markdown()); err != nil {
			return "", err
		}
	}
	return page, nil
}

// replaceTable replaces the text between the markers of a table.
func replaceTable(page, name, table string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->\n"
	before, rest, found := strings.Cut(page, begin)
	_, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		return "", fault.New(fault.Invalid, "put both marks back", "the page has no table %q", name)
	}
	return before + begin + table + end + after, nil
}
