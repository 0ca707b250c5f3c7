package commands

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

const (
	// auditBatchSize is the number of revisions read at a time, newest first.
	auditBatchSize = 100
	// maxAuditPeriod caps --since, since manual actions take one read per day.
	maxAuditPeriod = 366 * 24 * time.Hour
	day            = 24 * time.Hour
)

// AuditCommand prints the audit trail: publishes, drains and undrains.
type AuditCommand struct {
	Since time.Duration `help:"How far to look back, with its unit." default:"168h"`
}

// Run prints publishes and manual actions, oldest first.
func (a *AuditCommand) Run(c *console) error {
	if a.Since <= 0 || a.Since > maxAuditPeriod {
		return fault.New(fault.Invalid, "use a duration up to "+maxAuditPeriod.String(), "--since %s is out of range", a.Since)
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		now := time.Now()
		from := now.Add(-a.Since)
		publishActions, err := s.publishActionsSince(ctx, from)
		if err != nil {
			return err
		}
		manualActions, err := s.manualActionsSince(ctx, from, now)
		if err != nil {
			return err
		}
		actions := slices.Concat(publishActions, manualActions)
		slices.SortStableFunc(actions, func(x, y historian.Action) int { return x.When.Compare(y.When) })
		return c.printActions(actions)
	})
}

// publishActionsSince reads publishes in batches, newest first, until a whole
// batch is older than from. The clocks of operators may differ, so a single
// older row does not end the search.
func (s *store) publishActionsSince(ctx context.Context, from time.Time) ([]historian.Action, error) {
	head, err := s.historian.Head(ctx)
	if err != nil {
		return nil, err
	}
	var found []historian.Action
	for last := head.Revision; last > 0; {
		first := firstRevision(last, auditBatchSize)
		batch, err := s.historian.PublishActions(ctx, first, last)
		if err != nil {
			return nil, err
		}
		recent := slices.DeleteFunc(batch, func(a historian.Action) bool { return a.When.Before(from) })
		if len(recent) == 0 {
			break
		}
		found = append(found, recent...)
		last = first - 1
	}
	return found, nil
}

// manualActionsSince returns the manual actions in a period, read day by day in
// UTC.
func (s *store) manualActionsSince(ctx context.Context, from, to time.Time) ([]historian.Action, error) {
	var found []historian.Action
	for date := from.UTC().Truncate(day); !date.After(to); date = date.Add(day) {
		actions, err := s.historian.ManualActions(ctx, date)
		if err != nil {
			return nil, err
		}
		for _, a := range actions {
			if !a.When.Before(from) {
				found = append(found, a)
			}
		}
	}
	return found, nil
}

// printActions prints actions as JSON or as one line each.
func (c *console) printActions(actions []historian.Action) error {
	if c.wantsJSON() {
		rows := make([]json.RawMessage, 0, len(actions))
		for _, a := range actions {
			rows = append(rows, historian.FormatAction(a))
		}
		return c.printJSON(rows)
	}
	for _, a := range actions {
		if err := c.printAction(a); err != nil {
			return err
		}
	}
	return nil
}

// printAction prints one action, and for a publish the rows that it changed.
func (c *console) printAction(a historian.Action) error {
	timestamp := a.When.UTC().Format(time.RFC3339)
	if a.Kind != historian.Published {
		return c.print("%s %s %s %s at revision %d: %s\n", timestamp, a.Who, a.Kind, a.Subject, a.Revision, a.Why)
	}
	if err := c.print("%s %s %s revision %d from %d: %s\n", timestamp, a.Who, a.Kind, a.Revision, a.Base, a.Why); err != nil {
		return err
	}
	return c.printChanges(a.Changes)
}
