package loader_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/loader"
)

// referenceRow is a row of the settings reference in docs/OPERATIONS.md.
type referenceRow struct{ field, defaultValue, valueRange, description string }

// readReference returns the rows of the table under a heading.
func readReference(t *testing.T, heading string) []referenceRow {
	t.Helper()
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n### "+heading+"\n")
	if !found {
		t.Fatalf("docs/OPERATIONS.md has no section %s", heading)
	}
	section, _, _ = strings.Cut(section, "\n#")
	var rows []referenceRow
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 6 || !strings.Contains(cells[1], "`") {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		rows = append(rows, referenceRow{cells[1], cells[2], cells[3], cells[4]})
	}
	return rows
}

const (
	agentText    = `{"name":"a","zone":"z","listen":"127.0.0.1:1","store":"127.0.0.1:2","minion":"127.0.0.1:3","pools":["p"],"slots":1}`
	platformText = `{"listen":"127.0.0.1:1"}`
)

// settingsKind is a kind of settings file, or the object limits of an entry.
type settingsKind struct {
	heading string
	// minimal is a valid document in which all optional settings have their defaults.
	minimal string
	// withField returns the minimal document with one more field.
	withField func(field, value string) string
	decode    func(text string) (any, error)
}

func settingsKinds() []settingsKind {
	minimalEntry := strings.Replace(entryText, `{"answer-within": "3s"}`, "{}", 1)
	entry := func(text string) (any, error) { return loader.DecodeEntry("f", []byte(text)) }
	return []settingsKind{
		{"Entry", minimalEntry, fieldAppender(minimalEntry), entry},
		{"Limits", minimalEntry, func(field, value string) string {
			return strings.Replace(minimalEntry, "{}", fmt.Sprintf("{%q: %s}", field, value), 1)
		}, entry},
		{"Agent", agentText, fieldAppender(agentText), func(text string) (any, error) { return loader.DecodeAgent("f", []byte(text)) }},
		{"Platform", platformText, fieldAppender(platformText), func(text string) (any, error) { return loader.DecodePlatform("f", []byte(text)) }},
	}
}

// fieldAppender returns a function that adds a field to the JSON object text.
func fieldAppender(text string) func(field, value string) string {
	return func(field, value string) string {
		return strings.TrimSuffix(text, "}") + fmt.Sprintf(",%q:%s}", field, value)
	}
}

// TestReferenceNamesEachField compares the documented fields with those listed in
// the error for an unknown field.
func TestReferenceNamesEachField(t *testing.T) {
	for _, k := range settingsKinds() {
		t.Run(k.heading, func(t *testing.T) {
			is := is.New(t)
			_, err := k.decode(k.withField("unknown-field", "1"))
			_, list, found := strings.Cut(fault.RemedyOf(err), "use one of ")
			is.True(found)
			fields := strings.Split(list, ", ")
			var documented []string
			for _, row := range readReference(t, k.heading) {
				documented = append(documented, row.field)
				is.True(row.description != "")
			}
			slices.Sort(fields)
			slices.Sort(documented)
			is.Equal(documented, fields)
		})
	}
}

// TestReferenceDefaults checks that setting a field to its documented default
// changes nothing, and that errors contain the documented range.
func TestReferenceDefaults(t *testing.T) {
	for _, k := range settingsKinds() {
		if k.heading == "Entry" {
			continue // All its fields except limits are required.
		}
		for _, row := range readReference(t, k.heading) {
			t.Run(k.heading+"/"+row.field, func(t *testing.T) {
				checkDefault(t, k, row)
				checkRange(t, k, row)
			})
		}
	}
}

// checkDefault checks that the documented default of an optional field is the one
// that is used if the field is absent.
func checkDefault(t *testing.T, k settingsKind, row referenceRow) {
	t.Helper()
	if row.defaultValue == "required" {
		return
	}
	is := is.New(t)
	is.True(row.defaultValue != "")
	want, err := k.decode(k.minimal)
	is.NoErr(err)
	got, err := k.decode(k.withField(row.field, row.defaultValue))
	is.NoErr(err)
	is.Equal(got, want)
}

// checkRange checks that the error for a value out of range contains the documented
// range.
func checkRange(t *testing.T, k settingsKind, row referenceRow) {
	t.Helper()
	if row.valueRange == "" {
		// Only strings have no range.
		is.New(t).True(!strings.ContainsAny(row.defaultValue, "0123456789"))
		return
	}
	outOfRange, duration := "-1", strings.HasPrefix(row.defaultValue, `"`)
	if duration {
		outOfRange = `"-1s"`
	}
	is := is.New(t)
	least, most, found := strings.Cut(row.valueRange, " to ")
	is.True(found)
	want := fmt.Sprintf("use a whole number from %s to %s", least, most)
	if duration {
		want = fmt.Sprintf("use a duration from %q to %q with its unit", least, most)
	}
	text := k.withField(row.field, outOfRange)
	if row.defaultValue == "required" {
		text = strings.Replace(agentText, `"slots":1`, `"slots":-1`, 1)
	}
	_, err := k.decode(text)
	is.True(err != nil)
	if !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want %q", err, want)
	}
}
