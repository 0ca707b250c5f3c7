package testscripts_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	// exportedMetric matches the TYPE line of a metric in the exposition format.
	exportedMetric = regexp.MustCompile(`(?m)^# TYPE agatevalve_([a-z_]+) [a-z]+$`)
	// documentedMetric matches the name of a metric in the table.
	documentedMetric = regexp.MustCompile("`([a-z-]+)`")
)

// compareMetrics implements the script command "documented-metrics entry|agent". It
// compares the metrics in the output of the last command with the table of metrics
// in docs/OPERATIONS.md.
func compareMetrics(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: documented-metrics entry|agent")
	}
	documented := documentedMetrics(ts, args[0])
	var exported []string
	for _, match := range exportedMetric.FindAllStringSubmatch(ts.ReadFile("stdout"), -1) {
		name := strings.TrimSuffix(strings.TrimSuffix(match[1], "_total"), "_seconds")
		exported = append(exported, strings.ReplaceAll(name, "_", "-"))
	}
	for _, name := range exported {
		if !slices.Contains(documented, name) {
			ts.Fatalf("docs/OPERATIONS.md does not document the metric %s", name)
		}
	}
	for _, name := range documented {
		if !slices.Contains(exported, name) {
			ts.Fatalf("docs/OPERATIONS.md documents the metric %s, which the %s does not export", name, args[0])
		}
	}
}

// documentedMetrics returns the metrics that docs/OPERATIONS.md documents for a
// program, "entry" or "agent".
func documentedMetrics(ts *testscript.TestScript, role string) []string {
	page, err := os.ReadFile(filepath.Join(filepath.Dir(ts.Getenv("EXAMPLES")), "docs", "OPERATIONS.md"))
	ts.Check(err)
	_, section, _ := strings.Cut(string(page), "\n| metric of an "+role+" |")
	section, _, _ = strings.Cut(section, "\n\n")
	var documented []string
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) != 4 {
			continue
		}
		for _, match := range documentedMetric.FindAllStringSubmatch(cells[1], -1) {
			documented = append(documented, match[1])
		}
	}
	return documented
}
