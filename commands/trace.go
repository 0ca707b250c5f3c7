package commands

import (
	"io"
	"os"

	"agatevalve/common/fault"
	"agatevalve/platform"
	"agatevalve/tracer"
)

// TraceCommand prints the log lines about one job, or one task of it, from the logs of several
// processes.
type TraceCommand struct {
	ID   string   `arg:"" help:"Id of the job, or the platform's name of a task."`
	Logs []string `arg:"" optional:"" help:"Log files of entries and agents; standard input if none is named."`
}

// Run prints the log lines in order of time.
func (t *TraceCommand) Run(c *console) error {
	logs := []io.Reader{os.Stdin}
	if len(t.Logs) > 0 {
		logs = nil
	}
	for _, name := range t.Logs {
		f, err := os.Open(name)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "check the path", "open the log")
		}
		defer func() { _ = f.Close() }() // Nothing was written, so an error does not matter.
		logs = append(logs, f)
	}
	trace, err := tracer.ReadAny(t.query(), logs...)
	if err != nil {
		return err
	}
	return trace.Write(c.stdout)
}

// query returns what to look for. Lines of earlier builds name a task in the form of
// runs only.
func (t *TraceCommand) query() tracer.Query {
	task, err := platform.ParseTaskName(t.ID)
	if err != nil {
		return tracer.Query{ID: t.ID}
	}
	return tracer.Query{ID: t.ID, Names: []string{platform.TaskName(task), task.String()}}
}
