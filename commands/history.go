package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"agatevalve/historian"
)

// ConfigHistoryCommand lists revisions of the configuration.
type ConfigHistoryCommand struct {
	Limit  uint64  `help:"How many revisions to list." default:"20"`
	Before *uint64 `help:"List only revisions before this one." placeholder:"REVISION"`
}

// wireRevision is one revision in the JSON output of config history.
type wireRevision struct {
	Revision uint64          `json:"revision"`
	When     time.Time       `json:"when"`
	Who      string          `json:"who"`
	Why      string          `json:"why"`
	Reverts  uint64          `json:"reverts,omitempty"`
	Token    string          `json:"token"`
	Changes  json.RawMessage `json:"changes"`
}

// Run lists revisions, newest first.
func (h *ConfigHistoryCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		head, err := s.historian.Head(ctx)
		if err != nil {
			return err
		}
		last := head.Revision
		if h.Before != nil && *h.Before <= last {
			last = max(*h.Before, 1) - 1
		}
		revisions, err := s.historian.Revisions(ctx, firstRevision(last, h.Limit), last)
		if err != nil {
			return err
		}
		slices.Reverse(revisions)
		if c.wantsJSON() {
			return c.printJSON(encodeRevisions(revisions))
		}
		return c.printTable(revisionTable(revisions))
	})
}

// firstRevision returns the first of the count revisions that end with last, or
// 1 if there are fewer.
func firstRevision(last, count uint64) uint64 {
	if last < count {
		return 1
	}
	return last - count + 1
}

// encodeRevisions converts revisions to their JSON output.
func encodeRevisions(revisions []historian.Revision) []wireRevision {
	outputs := make([]wireRevision, 0, len(revisions))
	for _, r := range revisions {
		outputs = append(outputs, wireRevision{
			r.Number, r.When.UTC(), r.Who, r.Why, r.Reverts, string(r.Token), historian.FormatChanges(r.Changes),
		})
	}
	return outputs
}

// revisionTable formats revisions as a table.
func revisionTable(revisions []historian.Revision) [][]string {
	table := [][]string{{"REVISION", "WHEN", "WHO", "ROUTES", "POOLS", "TOKEN", "WHY"}}
	for _, r := range revisions {
		why := r.Why
		if r.Reverts > 0 {
			why = fmt.Sprintf("%s (back to revision %d)", why, r.Reverts)
		}
		table = append(table, []string{
			strconv.FormatUint(r.Number, 10), r.When.UTC().Format(time.RFC3339), r.Who,
			strconv.Itoa(len(r.Changes.Routes)), strconv.Itoa(len(r.Changes.Pools)), string(r.Token), why,
		})
	}
	return table
}
