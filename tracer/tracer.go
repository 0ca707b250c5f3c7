// Package tracer collects the log lines about one request from the logs of several
// processes, sorted by time.
package tracer

import (
	"bufio"
	"encoding/json"
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

// Read collects the lines that contain the id from logs. Lines may have a prefix
// before the JSON. Truncated lines and output of other programs are counted as
// unparsed. If no line contains the id, it returns a fault of kind NotFound.
func Read(id string, logs ...io.Reader) (Trace, error) {
	var t Trace
	for _, log := range logs {
		if err := t.readLog(id, log); err != nil {
			return Trace{}, err
		}
	}
	if len(t.Lines) == 0 {
		return Trace{}, fault.New(fault.NotFound, "check the id, and give the logs of all entries and agents", "no log line names %s", id)
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
func (t *Trace) readLog(id string, log io.Reader) error {
	lines := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, tooLong, err := lines.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "check the file", "read a log")
		}
		t.addLine(id, string(text), tooLong)
	}
}

// addLine parses one line, and adds it if it contains the id.
func (t *Trace) addLine(id, text string, tooLong bool) {
	start := strings.IndexByte(text, '{')
	if strings.TrimSpace(text) == "" {
		return
	}
	if start < 0 || tooLong {
		t.UnparsedLines++
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		t.UnparsedLines++
		return
	}
	if !strings.Contains(text[start:], id) {
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

// formatValue formats an attribute's value. Durations are logged in nanoseconds.
func formatValue(name string, value any) string {
	number, ok := value.(float64)
	if ok && slices.Contains(durationKeys, name) {
		return time.Duration(number).String()
	}
	return fmt.Sprint(value)
}

// durationKeys are the attributes whose values are durations.
var durationKeys = []string{
	"took", "since-placed", "left", "projected", "elsewhere", "until-deadline", "retry-after", "expected", "wait", "after", "until-objective", "age",
}

// stringValue returns the value if it is a string, and "" otherwise.
func stringValue(value any) string {
	text, _ := value.(string)
	return text
}
