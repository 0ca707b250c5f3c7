package commands

import (
	"context"
	"encoding/json"
	"fmt"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/publisher"
	"agatevalve/router"
)

// authorFlags holds the flags of commands that write to the audit trail.
type authorFlags struct {
	Who string `help:"Who makes the change; kept in the audit trail." env:"AGATEVALVE_WHO,USER" placeholder:"NAME"`
	Why string `help:"Why; kept in the audit trail and always needed." placeholder:"TEXT"`
}

// author returns the author to record in the audit trail.
func (a authorFlags) author() publisher.Author { return publisher.Author{Who: a.Who, Why: a.Why} }

// publishFlags holds the flags of commands that publish a revision.
type publishFlags struct {
	authorFlags
	Base   *uint64 `help:"The revision that the edit was made from, so that no other operator's change is lost. If not given, it is the one in force, or for config apply the one that the file names." placeholder:"REVISION"`
	NoWait bool    `help:"Don't wait until every live entry reports the revision; agatevalve status shows it."`
}

// baseRevision returns the revision given by --base, or the head revision.
func (f publishFlags) baseRevision(ctx context.Context, s *store) (uint64, error) {
	if f.Base != nil {
		return *f.Base, nil
	}
	head, err := s.historian.Head(ctx)
	return head.Revision, err
}

// publish publishes changes, prints them and waits until all live entries use
// them.
func (f publishFlags) publish(ctx context.Context, c *console, s *store, base uint64, changes historian.Changes) error {
	receipt, err := s.publisher.Publish(ctx, publisher.Edit{Author: f.author(), Base: base, Changes: changes})
	if err != nil {
		return err
	}
	return f.reportPublish(ctx, c, s, receipt)
}

// wireReceipt is the JSON output of commands that publish.
type wireReceipt struct {
	Revision uint64          `json:"revision"`
	Changes  json.RawMessage `json:"changes"`
	Warnings []wireFinding   `json:"warnings"`
	// WaitedForEntries is false with --no-wait: LiveEntries and Behind are then
	// unset.
	WaitedForEntries bool `json:"waited"`
	// LiveEntries is the number of live entries.
	LiveEntries int               `json:"live"`
	Behind      []wireEntryBehind `json:"behind"`
	// EmptyPools names the pools of changed rows that have no minion, as far as
	// the entries that answered know.
	EmptyPools []string `json:"unjoined"`
}

// wireEntryBehind is a live entry that still uses an older revision.
type wireEntryBehind struct {
	Entry    string `json:"entry"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
}

// reportPublish prints the outcome of a publish and, without --no-wait, waits
// until all live entries use the revision.
func (f publishFlags) reportPublish(ctx context.Context, c *console, s *store, receipt publisher.Receipt) error {
	if !c.wantsJSON() {
		if err := c.printReceipt(receipt); err != nil {
			return err
		}
	}
	var status rolloutStatus
	var waitErr error
	if !f.NoWait {
		status, waitErr = c.awaitRollout(ctx, s, receipt.Revision)
	}
	emptyPools := findEmptyPools(ctx, s, receipt.Changes)
	if err := f.reportRollout(c, receipt, status, emptyPools, waitErr == nil); err != nil {
		return err
	}
	return waitErr
}

// reportRollout prints which pools have no minion, and how many entries use the
// revision. With JSON it prints the whole outcome.
func (f publishFlags) reportRollout(c *console, receipt publisher.Receipt, status rolloutStatus, emptyPools []string, everywhere bool) error {
	for _, name := range emptyPools {
		c.printToStderr("warning: no minion joins pool %q yet; start agents with the pool in their settings, or delete it", name)
	}
	if c.wantsJSON() {
		return c.printJSON(wireReceipt{
			Revision: receipt.Revision, Changes: historian.FormatChanges(receipt.Changes),
			Warnings: encodeFindings(receipt.Warnings), WaitedForEntries: !f.NoWait, LiveEntries: status.live,
			Behind: append([]wireEntryBehind{}, status.behind...), EmptyPools: append([]string{}, emptyPools...),
		})
	}
	if f.NoWait || !everywhere {
		return nil
	}
	if status.live == 0 {
		return c.print("no entry is live; entries take revision %d when they start\n", receipt.Revision)
	}
	return c.print("revision %d is in force at all %d live entries\n", receipt.Revision, status.live)
}

// printReceipt prints the warnings and changes of a publish as text.
func (c *console) printReceipt(receipt publisher.Receipt) error {
	for _, w := range receipt.Warnings {
		c.printToStderr("warning: %s", w)
	}
	if receipt.Changes.Len() == 0 {
		return c.print("nothing to change in revision %d\n", receipt.Revision)
	}
	if err := c.printChanges(receipt.Changes); err != nil {
		return err
	}
	return c.print("revision %d is published\n", receipt.Revision)
}

// printChanges prints changed rows like a diff: a line with - for the row before
// and a line with + for the row after.
func (c *console) printChanges(changes historian.Changes) error {
	if err := printRowChanges(c, "route", changes.Routes, historian.FormatRoute); err != nil {
		return err
	}
	return printRowChanges(c, "pool", changes.Pools, historian.FormatPool)
}

// printRowChanges prints the changes of one table.
func printRowChanges[T any](c *console, table string, changes []historian.Change[T], format func(T) []byte) error {
	for _, change := range changes {
		if change.Before != nil {
			if err := c.print("- %s %s\n", table, format(*change.Before)); err != nil {
				return err
			}
		}
		if change.After != nil {
			if err := c.print("+ %s %s\n", table, format(*change.After)); err != nil {
				return err
			}
		}
	}
	return nil
}

// wireFinding is the JSON form of an error or warning about a row.
type wireFinding struct {
	Cause   string `json:"cause"`
	Table   string `json:"table"`
	Row     string `json:"row"`
	Text    string `json:"text"`
	Remedy  string `json:"remedy"`
	Warning bool   `json:"warning"`
}

// encodeFindings converts findings to their JSON output.
func encodeFindings(findings []router.Finding) []wireFinding {
	outputs := make([]wireFinding, 0, len(findings))
	for _, f := range findings {
		outputs = append(outputs, wireFinding{string(f.Cause), f.Table, f.Row, f.Text, f.Remedy, f.Warning})
	}
	return outputs
}

// newUpsert returns a change that inserts or updates one row.
func newUpsert[T any](name string, row T) []historian.Change[T] {
	return []historian.Change[T]{{Name: name, After: &row}}
}

// newDeletion returns a change that deletes one row.
func newDeletion[T any](name string) []historian.Change[T] {
	return []historian.Change[T]{{Name: name}}
}

// errRowNotFound reports that a table has no row of that name.
func errRowNotFound(table, name string, revision uint64) error {
	return fault.New(fault.NotFound, fmt.Sprintf("see agatevalve %s show", table), "no row %q in %s at revision %d", name, table, revision)
}
