package minder

import (
	"context"
	"log/slog"
	"time"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

const (
	// doneLinesPerSecond and doneLinesBurst bound the lines on runs that were done. A
	// minion ends 60 runs a second at the peak on average (docs/DEVELOPERS.md), so
	// that only bursts exceed the rate.
	doneLinesPerSecond = 100
	doneLinesBurst     = 200
	// maxEndAttributes is the maximum number of attributes of the line on an end.
	maxEndAttributes = 20
)

// logEnd logs the end of a run with what was known of it. Times are logged as ages,
// so that a changed time of day doesn't distort them. Only lines on first runs that
// were done without a doubt are left out if there are too many.
func (m *Minder) logEnd(now time.Time, c supervisor.ReportRun) {
	h := &c.History
	routine := c.Report.State == work.Done && c.Report.Run.Number <= 1 && !h.Doubtful
	if routine && !m.doneLines.Allow(now) {
		return
	}
	attributes := make([]slog.Attr, 0, maxEndAttributes)
	attributes = append(attributes,
		slog.String("run", c.Report.Run.String()), m.task(c.Report.Run), slog.String("state", c.Report.State.String()),
		slog.String("reason", string(c.Report.Reason)), slog.String("entry", c.Entry), slog.Duration("took", c.Report.Took))
	if h.StopCause != "" {
		attributes = append(attributes, slog.String("stop-cause", h.StopCause))
	}
	if h.Orders > 0 {
		attributes = appendHistory(attributes, now, h)
	}
	m.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "supervisor: A run ended", attributes...)
}

// appendHistory appends the attributes on the orders for a run.
func appendHistory(attributes []slog.Attr, now time.Time, h *supervisor.History) []slog.Attr {
	attributes = append(attributes,
		slog.String("proof", h.Proof.String()), slog.String("minion", h.Minion), slog.Uint64("incarnation", h.Incarnation),
		slog.String("answer", h.Answer.String()))
	if h.CurrentIncarnation != h.Incarnation {
		attributes = append(attributes, slog.Uint64("current-incarnation", h.CurrentIncarnation))
	}
	if h.Orders > 1 {
		attributes = append(attributes, slog.Int("orders", h.Orders))
	}
	attributes = appendAge(attributes, "since-ordered", now, h.OrderedAt)
	attributes = appendAge(attributes, "since-answered", now, h.AnsweredAt)
	attributes = appendAge(attributes, "since-listed", now, h.ListedAt)
	attributes = appendAge(attributes, "since-stop-sent", now, h.StopSentAt)
	attributes = appendAge(attributes, "since-stop-confirmed", now, h.StopAckedAt)
	if !h.LeaseEndsAt.IsZero() {
		attributes = append(attributes, slog.Duration("lease-left", h.LeaseEndsAt.Sub(now)))
	}
	return attributes
}

// appendAge appends the age of what happened at a time, unless the time is zero.
func appendAge(attributes []slog.Attr, name string, now, at time.Time) []slog.Attr {
	if at.IsZero() {
		return attributes
	}
	return append(attributes, slog.Duration(name, now.Sub(at)))
}

// logMessage logs a message of the core.
func (m *Minder) logMessage(c supervisor.LogMessage) {
	var run slog.Attr
	if c.Run.Job != "" {
		run = slog.String("run", c.Run.String())
	}
	m.options.Log.Info("supervisor: "+c.Text, run, m.task(c.Run), "entry", c.Entry, "reason", c.Reason, "count", c.Count,
		"minion", c.Minion.Name, "incarnation", c.Minion.Incarnation)
}

// logOmitted logs how many lines were left out, if that is due.
func (m *Minder) logOmitted(now time.Time) {
	if omitted := m.doneLines.TakeOmitted(now); omitted > 0 {
		m.options.Log.Info("supervisor: Left out lines on runs that were done", "lines", omitted)
	}
}

// task returns the attribute that names the task of a run as the platform does; an
// empty one, which is not logged, without a run or a name.
func (m *Minder) task(run work.Run) slog.Attr {
	if m.options.TaskName == nil || run.Job == "" {
		return slog.Attr{}
	}
	return slog.String("task", m.options.TaskName(run.Task))
}
