package commands

import (
	"io"
	"os"

	"agatevalve/common/fault"
	"agatevalve/tracer"
)

// TraceCommand prints the log lines about one job from the logs of several
// processes.
type TraceCommand struct {
	ID   string   `arg:"" help:"Id of the job."`
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
	trace, err := tracer.Read(t.ID, logs...)
	if err != nil {
		return err
	}
	return trace.Write(c.stdout)
}
