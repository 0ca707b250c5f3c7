// Package publisher changes the configuration in the table service.
//
// A publish is one transaction: the new revision row, its audit row, at times
// a snapshot, and the head row by compare-and-set from the version that the
// change was checked against. So the whole configuration that is checked is the
// one that comes into force, and accepted revisions form one line.
//
// An edit names its base revision. If another revision is in force the edit is
// refused, also when the two touch different rows: two changes that are valid
// alone can be invalid together, and only the operator knows whether both are
// still meant. The refusal names who changed what since.
//
// When the reply to a publish is lost, the same transaction is sent again. It
// can take effect only once, since its revision row must be absent. Reading
// alone would not do: a write that hangs in the service may still take effect
// after the read. The revision row's token then tells whose publish it was.
package publisher

import (
	"context"
	"time"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/router"
	"agatevalve/tabler"
)

const (
	// LongestWho caps the name of an author, in bytes.
	LongestWho = 200
	// LongestWhy caps the reason for a change, in bytes.
	LongestWhy = 2_000
)

// Options configure a Publisher.
type Options struct {
	Table tabler.Table
	// Now returns the time of the audit trail.
	Now func() time.Time
	// Token returns a new token that no other publish has.
	Token func() historian.Token
	// Pause waits before a publish with an unknown fate is sent again; it
	// returns early with an error when ctx ends.
	Pause func(ctx context.Context) error
}

// Publisher publishes revisions. It keeps nothing between calls.
type Publisher struct {
	options   Options
	historian *historian.Historian
}

// Author is what the audit trail keeps about a change.
type Author struct {
	// Who and Why are not empty.
	Who string
	Why string
}

// Edit is a change of the configuration.
type Edit struct {
	Author Author
	// Base is the revision that the edit was made from.
	Base uint64
	// Changes need no Before.
	Changes historian.Changes
	// Reverts is the revision whose content comes back, or 0.
	Reverts uint64
}

// Receipt tells what a publish did.
type Receipt struct {
	// Revision is the one in force after the publish; it equals the base when
	// the edit changes nothing.
	Revision uint64
	// Changes hold each row before and after.
	Changes historian.Changes
	// Warnings are findings that did not keep the edit from being accepted.
	Warnings []router.Finding
}

// New returns a Publisher.
func New(options Options) *Publisher {
	return &Publisher{options: options, historian: historian.New(options.Table)}
}

// Check returns the receipt that Publish would return, and writes nothing.
func (p *Publisher) Check(ctx context.Context, edit Edit) (Receipt, error) {
	draft, err := p.draft(ctx, edit)
	if err != nil {
		return Receipt{}, err
	}
	return draft.receipt(), nil
}

// Publish brings an edit into force as a new revision. Its error is of kind
// Invalid for a configuration that is refused, Conflict when the base is not in
// force, Unavailable when nothing was written, and Uncertain when ctx ended
// before the fate of the publish was known.
func (p *Publisher) Publish(ctx context.Context, edit Edit) (Receipt, error) {
	if err := edit.Author.check(); err != nil {
		return Receipt{}, err
	}
	draft, err := p.draft(ctx, edit)
	if err != nil {
		return Receipt{}, err
	}
	if draft.changes.Len() == 0 {
		return draft.receipt(), nil
	}
	if err := p.commit(ctx, edit, draft); err != nil {
		return Receipt{}, err
	}
	return draft.receipt(), nil
}

// Revert publishes the content of an older revision as a new one.
func (p *Publisher) Revert(ctx context.Context, author Author, base, to uint64) (Receipt, error) {
	if to >= base {
		return Receipt{}, fault.New(fault.Invalid, "name an older revision", "revision %d is not older than %d", to, base)
	}
	old, err := p.historian.At(ctx, to)
	if err != nil {
		return Receipt{}, err
	}
	current, err := p.historian.At(ctx, base)
	if err != nil {
		return Receipt{}, err
	}
	return p.Publish(ctx, Edit{Author: author, Base: base, Changes: historian.Diff(current, old), Reverts: to})
}

func (a Author) check() error {
	if a.Who == "" || len(a.Who) > LongestWho {
		return fault.New(fault.Invalid, "say who changes the configuration, with --who or the variable AGATEVALVE_WHO", "who has %d bytes, not 1 to %d", len(a.Who), LongestWho)
	}
	if a.Why == "" || len(a.Why) > LongestWhy {
		return fault.New(fault.Invalid, "say why, with --why", "why has %d bytes, not 1 to %d", len(a.Why), LongestWhy)
	}
	return nil
}

// draft is a checked edit.
type draft struct {
	head    historian.Head
	next    historian.Configuration
	changes historian.Changes
	table   *router.Table
}

func (d draft) receipt() Receipt {
	return Receipt{Revision: d.next.Revision, Changes: d.changes, Warnings: d.table.Warnings()}
}

func (p *Publisher) draft(ctx context.Context, edit Edit) (draft, error) {
	head, err := p.historian.Head(ctx)
	if err != nil {
		return draft{}, err
	}
	if head.Revision != edit.Base {
		return draft{}, p.conflict(ctx, edit, head)
	}
	current, err := p.historian.Advance(ctx, historian.Configuration{}, head)
	if err != nil {
		return draft{}, err
	}
	next, err := current.Apply(edit.Base+1, edit.Changes)
	if err != nil {
		return draft{}, err
	}
	d := draft{head: head, next: next, changes: historian.Diff(current, next)}
	if d.changes.Len() == 0 {
		d.next.Revision = edit.Base
	}
	d.table, err = d.next.Compile()
	return d, err
}
