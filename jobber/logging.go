package jobber

import (
	"context"
	"log/slog"
	"time"

	"agatevalve/common/clock"
	"agatevalve/common/work"
	"agatevalve/scheduler"
)

const (
	// firstNumber is the number of a task's first run. First runs that are done leave
	// no line: their agents log them, and entries end thousands a second.
	firstNumber = 1
	// doneLinesPerSecond and doneLinesBurst bound the lines on later runs that were
	// done, which are many only after a loss of minions or links.
	doneLinesPerSecond = 100
	doneLinesBurst     = 200
	// extraAttributes is the number of attributes that logMessage adds.
	extraAttributes = 5
)

// logPlaced logs that a run was placed. First runs are too many; the lines on their
// ends tell when they were placed.
func (j *Jobber) logPlaced(c scheduler.Place) {
	level := slog.LevelDebug
	if c.Order.Run.Number > firstNumber {
		level = slog.LevelInfo
	}
	if !j.options.Log.Enabled(context.Background(), level) {
		return
	}
	j.options.Log.LogAttrs(context.Background(), level, "scheduler: Placed a run",
		slog.String("run", c.Order.Run.String()), j.task(c.Order.Run.Task), slog.String("agent", c.Agent.Name), slog.Uint64("link", c.Link),
		slog.Duration("expected", c.Order.Work))
}

// logStoppedEnd logs that a run which was ordered to stop counts as ended.
func (j *Jobber) logStoppedEnd(c scheduler.StoppedRunEnded) {
	if c.Report.State == work.Done && !j.doneLines.Allow(clock.Now()) {
		return
	}
	j.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "scheduler: A stopped run ended",
		slog.String("run", c.Report.Run.String()), j.task(c.Report.Run.Task), slog.String("state", c.Report.State.String()),
		slog.String("reason", string(c.Report.Reason)), slog.String("agent", c.Agent.Name), slog.Duration("took", c.Report.Took),
		slog.String("minion", c.Minion), slog.Uint64("incarnation", c.Incarnation))
}

// logMessage logs a message of the core, and counts the end of a run. First runs that
// were done are left out, and later ones if there are too many.
func (j *Jobber) logMessage(c scheduler.LogMessage) {
	if c.State.Ended() {
		j.metrics.endedRuns[c.State].Inc(1)
	}
	level := slog.LevelInfo
	if c.State == work.Done && (c.Run.Number <= firstNumber || !j.doneLines.Allow(clock.Now())) {
		level = slog.LevelDebug
	}
	if !j.options.Log.Enabled(context.Background(), level) {
		return
	}
	attributes := make([]any, 0, len(c.Attributes)+extraAttributes)
	if c.Job != "" {
		attributes = append(attributes, slog.String("run", c.Run.String()), j.task(c.Run.Task), slog.String("state", c.State.String()),
			slog.String("reason", c.Reason))
	}
	attributes = append(attributes, slog.String("agent", c.Agent.Name))
	attributes = append(attributes, c.Attributes...)
	j.options.Log.Log(context.Background(), level, "scheduler: "+c.Text, attributes...)
}

// logOmitted logs how many lines were left out, if that is due.
func (j *Jobber) logOmitted(now time.Time) {
	if omitted := j.doneLines.TakeOmitted(now); omitted > 0 {
		j.options.Log.Info("scheduler: Left out lines on runs that were done", "lines", omitted)
	}
}

// task returns the attribute that names a task as the platform does; an empty one,
// which is not logged, without a name.
func (j *Jobber) task(t work.Task) slog.Attr {
	if j.options.TaskName == nil || t.Job == "" {
		return slog.Attr{}
	}
	return slog.String("task", j.options.TaskName(t))
}
