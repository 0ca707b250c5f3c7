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
	// auditBatch is how many publishes one step back reads.
	auditBatch = 100
	// longestSince caps the days that are scanned.
	longestSince = 366 * 24 * time.Hour
	day          = 24 * time.Hour
)

// AuditCommand shows the audit trail.
type AuditCommand struct {
	Since time.Duration `help:"How far to look back, with its unit." default:"168h"`
}

// Run shows publishes and acts by hand, the oldest first.
func (a *AuditCommand) Run(c *console) error {
	if a.Since <= 0 || a.Since > longestSince {
		return fault.New(fault.Invalid, "use a duration up to "+longestSince.String(), "--since %s is out of range", a.Since)
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		now := time.Now()
		from := now.Add(-a.Since)
		publishes, err := s.publishesSince(ctx, from)
		if err != nil {
			return err
		}
		acts, err := s.actsSince(ctx, from, now)
		if err != nil {
			return err
		}
		actions := slices.Concat(publishes, acts)
		slices.SortStableFunc(actions, func(x, y historian.Action) int { return x.When.Compare(y.When) })
		return c.printActions(actions)
	})
}

// publishesSince walks back from the head until a whole batch is too old. The
// clocks of operators may differ, so one old row alone does not end it.
func (s *store) publishesSince(ctx context.Context, from time.Time) ([]historian.Action, error) {
	head, err := s.historian.Head(ctx)
	if err != nil {
		return nil, err
	}
	var found []historian.Action
	for last := head.Revision; last > 0; {
		first := firstOf(last, auditBatch)
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

func (s *store) actsSince(ctx context.Context, from, to time.Time) ([]historian.Action, error) {
	var found []historian.Action
	for at := from.UTC().Truncate(day); !at.After(to); at = at.Add(day) {
		acts, err := s.historian.ManualActions(ctx, at)
		if err != nil {
			return nil, err
		}
		for _, a := range acts {
			if !a.When.Before(from) {
				found = append(found, a)
			}
		}
	}
	return found, nil
}

func (c *console) printActions(actions []historian.Action) error {
	if c.json() {
		rows := make([]json.RawMessage, 0, len(actions))
		for _, a := range actions {
			rows = append(rows, historian.FormatAction(a))
		}
		return c.encode(rows)
	}
	for _, a := range actions {
		if err := c.printAction(a); err != nil {
			return err
		}
	}
	return nil
}

func (c *console) printAction(a historian.Action) error {
	when := a.When.UTC().Format(time.RFC3339)
	if a.Kind != historian.Published {
		return c.print("%s %s %s %s at revision %d: %s\n", when, a.Who, a.Kind, a.Subject, a.Revision, a.Why)
	}
	if err := c.print("%s %s %s revision %d from %d: %s\n", when, a.Who, a.Kind, a.Revision, a.Base, a.Why); err != nil {
		return err
	}
	return c.printChanges(a.Changes)
}
