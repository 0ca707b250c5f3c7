package testscripts_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// formField matches a field in the table of JSON forms. Brackets mark optional
// fields.
var formField = regexp.MustCompile("(\\[?)`([a-z0-9-]+)`")

// compareJSONForm implements the script command "documented STREAM ROW [FIELD]".
// It compares the fields of the JSON output of the last command with the table of
// JSON forms in docs/OPERATIONS.md. ROW is the start of the first cell of the
// table row, without backquotes. FIELD selects a nested value. Of a list only the
// first item is compared.
func compareJSONForm(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: documented STREAM ROW [FIELD]")
	}
	value := json.RawMessage(ts.ReadFile(args[0]))
	for _, field := range args[2:] {
		value = decodeObject(ts, value)[field]
	}
	got := decodeObject(ts, value)
	required, optional := documentedFields(ts, args[1])
	for _, name := range required {
		if _, ok := got[name]; !ok {
			ts.Fatalf("%s: documented field %s is missing", args[1], name)
		}
	}
	for name := range got {
		if !slices.Contains(required, name) && !slices.Contains(optional, name) {
			ts.Fatalf("%s: field %s is not documented", args[1], name)
		}
	}
}

// decodeObject returns the fields of a JSON object, or of the first item of a list.
func decodeObject(ts *testscript.TestScript, value json.RawMessage) map[string]json.RawMessage {
	var items []json.RawMessage
	if json.Unmarshal(value, &items) == nil {
		if len(items) == 0 {
			ts.Fatalf("JSON list is empty, so its fields can't be compared")
		}
		value = items[0]
	}
	var fields map[string]json.RawMessage
	ts.Check(json.Unmarshal(value, &fields))
	return fields
}

// documentedFields returns the fields that a row of the table documents.
func documentedFields(ts *testscript.TestScript, row string) (required, optional []string) {
	page, err := os.ReadFile(filepath.Join(filepath.Dir(ts.Getenv("EXAMPLES")), "docs", "OPERATIONS.md"))
	ts.Check(err)
	_, section, _ := strings.Cut(string(page), "\n## JSON output\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) != 4 || !strings.HasPrefix(strings.ReplaceAll(cells[1], "`", ""), " "+row) {
			continue
		}
		for _, match := range formField.FindAllStringSubmatch(cells[2], -1) {
			if match[1] == "" {
				required = append(required, match[2])
			} else {
				optional = append(optional, match[2])
			}
		}
		return required, optional
	}
	ts.Fatalf("docs/OPERATIONS.md has no JSON form for %q", row)
	return nil, nil
}
