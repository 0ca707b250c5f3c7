// Package tracer collects the log lines about one request from the logs of several
// processes, sorted by time.
package tracer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"agatevalve/common/fault"
)

// maxLineBytes is the maximum length of a log line; longer ones are skipped.
const maxLineBytes = 1 << 20

// Line is one log line about the request.
type Line struct {
	Time time.Time
	// Node names the process that logged the line; empty if the line does not.
	Node    string
	Message string
	// Details are the other attributes in the form name=value, sorted.
	Details []string
}

// Trace holds the log lines about one request.
type Trace struct {
	// Lines are sorted by time.
	Lines []Line
	// UnparsedLines counts the lines that could not be parsed as log lines of
	// agatevalve.
	UnparsedLines int
}

// Query tells which lines to collect.
type Query struct {
	// ID is the id that was asked for.
	ID string
	// Names are other forms of the id. They match only as whole words, so that the
	// name of a task does not match those that it is a prefix of. If there are any, so
	// does ID; alone it matches wherever it stands.
	Names []string
}

// matches reports whether a line is one to collect.
func (q Query) matches(text string) bool {
	if len(q.Names) == 0 {
		return strings.Contains(text, q.ID)
	}
	return containsWord(text, q.ID) || slices.ContainsFunc(q.Names, func(name string) bool { return containsWord(text, name) })
}

// containsWord reports whether a text contains a word that no letter or digit
// precedes or follows.
func containsWord(text, word string) bool {
	for at := strings.Index(text, word); at >= 0; {
		end := at + len(word)
		if (at == 0 || !isAlphanumeric(text[at-1])) && (end == len(text) || !isAlphanumeric(text[end])) {
			return true
		}
		next := strings.Index(text[at+1:], word)
		if next < 0 {
			return false
		}
		at += 1 + next
	}
	return false
}

func isAlphanumeric(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}

// Read collects the lines that contain the id from logs; see ReadAny.
func Read(id string, logs ...io.Reader) (Trace, error) { return ReadAny(Query{ID: id}, logs...) }

// ReadAny collects the lines that match a query from logs. Lines may have a prefix
// before the JSON. Truncated lines and output of other programs are counted as
// unparsed. If no line matches, it returns a fault of kind NotFound.
func ReadAny(query Query, logs ...io.Reader) (Trace, error) {
	var t Trace
	for _, log := range logs {
		if err := t.readLog(query, log); err != nil {
			return Trace{}, err
		}
	}
	if len(t.Lines) == 0 {
		return Trace{}, fault.New(fault.NotFound, "check the id, and give the logs of all entries and agents", "no log line names %s", query.ID)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

// Write prints the lines, each with the time since the first one.
func (t Trace) Write(w io.Writer) error {
	for _, l := range t.Lines {
		since := float64(l.Time.Sub(t.Lines[0].Time)) / float64(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%10.1f ms  %-22s %s  %s\n", since, l.Node, l.Message, strings.Join(l.Details, " ")); err != nil {
			return fault.Wrap(err, fault.Internal, "check the output", "write the story")
		}
	}
	if t.UnparsedLines > 0 {
		if _, err := fmt.Fprintf(w, "(%d lines were no log lines)\n", t.UnparsedLines); err != nil {
			return fault.Wrap(err, fault.Internal, "check the output", "write the story")
		}
	}
	return nil
}

// readLog adds the matching lines of one log.
func (t *Trace) readLog(query Query, log io.Reader) error {
	lines := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, tooLong, err := lines.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "check the file", "read a log")
		}
		t.addLine(query, string(text), tooLong)
	}
}

// addLine parses one line, and adds it if it matches the query.
func (t *Trace) addLine(query Query, text string, tooLong bool) {
	start := strings.IndexByte(text, '{')
	if strings.TrimSpace(text) == "" {
		return
	}
	if start < 0 || tooLong {
		t.UnparsedLines++
		return
	}
	fields, ok := parseFields(text[start:])
	if !ok {
		t.UnparsedLines++
		return
	}
	if !query.matches(text[start:]) {
		return
	}
	loggedAt, err := time.Parse(time.RFC3339Nano, stringValue(fields["time"]))
	if err != nil {
		t.UnparsedLines++
		return
	}
	l := Line{Time: loggedAt, Node: stringValue(fields["node"]), Message: stringValue(fields["msg"])}
	for name, value := range fields {
		if name != "time" && name != "node" && name != "msg" && name != "level" && value != "" {
			l.Details = append(l.Details, name+"="+formatValue(name, value))
		}
	}
	slices.Sort(l.Details)
	t.Lines = append(t.Lines, l)
}

// parseFields returns the fields of a JSON object with nothing after it. Numbers keep
// their digits, which those of incarnations need.
func parseFields(text string) (fields map[string]any, ok bool) {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return nil, false
	}
	_, err := decoder.Token()
	return fields, errors.Is(err, io.EOF)
}

// formatValue formats an attribute's value. Durations are logged in nanoseconds.
func formatValue(name string, value any) string {
	if number, ok := value.(json.Number); ok && slices.Contains(durationKeys, name) {
		if nanoseconds, err := number.Float64(); err == nil {
			return time.Duration(nanoseconds).String()
		}
	}
	return fmt.Sprint(value)
}

// durationKeys are the attributes whose values are durations.
var durationKeys = []string{
	"took", "since-placed", "left", "projected", "elsewhere", "until-deadline", "retry-after", "expected", "wait", "after", "until-objective", "age",
	"since-ordered", "since-answered", "since-listed", "since-stop-sent", "since-stop-confirmed", "lease-left", "since-link-lost",
}

// stringValue returns the value if it is a string, and "" otherwise.
func stringValue(value any) string {
	text, _ := value.(string)
	return text
}
