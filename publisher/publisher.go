// Package publisher checks and publishes revisions of the configuration in the
// table service.
//
// A publish is one transaction: the new revision row, its audit row, for some
// revisions a snapshot, and a compare-and-set of the head row from the version
// that the edit was checked against. So the configuration that comes into force
// is exactly the one that was checked as a whole, and the accepted revisions
// form a linear history.
//
// An edit names its base revision. If another revision is in force, the edit is
// refused even if the two change different rows: two changes that are valid
// alone can be invalid together, and only the operator knows whether both are
// still wanted. The conflict error lists who changed what since the base.
//
// If the reply to a publish is lost, the same transaction is sent again. It can
// take effect only once, since it requires its revision row to be absent.
// Reading the row would not be enough: a write that hangs in the service may
// still take effect after the read. After a conflict, the token in the revision
// row shows which publish wrote it.
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
	// MaxWhoBytes is the maximum length of an author's name.
	MaxWhoBytes = 200
	// MaxWhyBytes is the maximum length of the reason for a change.
	MaxWhyBytes = 2_000
)

// Options configure a Publisher. All of them are required.
type Options struct {
	Table tabler.Table
	// Now returns the time that revisions and audit rows record.
	Now func() time.Time
	// Token returns a new token, unique among all publishes and manual actions.
	Token func() historian.Token
	// Pause waits before a commit or read that got no reply is repeated. It
	// returns an error as soon as ctx ends.
	Pause func(ctx context.Context) error
}

// Publisher publishes revisions. It keeps no state between calls.
type Publisher struct {
	options   Options
	historian *historian.Historian
}

// Author is who makes a change and why, as the audit trail records it.
type Author struct {
	// Who and Why must not be empty.
	Who string
	Why string
}

// Edit is a change of the configuration to be checked or published.
type Edit struct {
	Author Author
	// Base is the revision that the edit was made from.
	Base uint64
	// Changes are the rows to insert, update or delete. Their Before is
	// ignored.
	Changes historian.Changes
	// Reverts is the revision whose content the edit restores, or 0.
	Reverts uint64
}

// Receipt is the outcome of a publish or a check.
type Receipt struct {
	// Revision is the one in force after the publish; it equals the base when
	// the edit changes nothing.
	Revision uint64
	// Changes hold each row before and after.
	Changes historian.Changes
	// Warnings are findings that did not keep the edit from being accepted.
	Warnings []router.Finding
}

// New returns a Publisher to the table service of the options.
func New(options Options) *Publisher {
	return &Publisher{options: options, historian: historian.New(options.Table)}
}

// Check returns the receipt that Publish would return, and writes nothing. It
// doesn't check the author.
func (p *Publisher) Check(ctx context.Context, edit Edit) (Receipt, error) {
	draft, err := p.prepare(ctx, edit)
	if err != nil {
		return Receipt{}, err
	}
	return draft.receipt(), nil
}

// Publish brings an edit into force as a new revision, unless it changes
// nothing. Its error is of kind Invalid or NotFound for an edit that is
// refused, Conflict if the base is not in force, Unavailable if nothing was
// written, and Uncertain if ctx ended before it was known whether the publish
// took effect.
func (p *Publisher) Publish(ctx context.Context, edit Edit) (Receipt, error) {
	if err := edit.Author.validate(); err != nil {
		return Receipt{}, err
	}
	draft, err := p.prepare(ctx, edit)
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

// Revert publishes the content of an older revision as a new revision.
func (p *Publisher) Revert(ctx context.Context, author Author, base, to uint64) (Receipt, error) {
	if to >= base {
		return Receipt{}, fault.New(fault.Invalid, "name an older revision", "revision %d is not older than %d", to, base)
	}
	old, err := p.historian.ConfigurationAt(ctx, to)
	if err != nil {
		return Receipt{}, err
	}
	current, err := p.historian.ConfigurationAt(ctx, base)
	if err != nil {
		return Receipt{}, err
	}
	return p.Publish(ctx, Edit{Author: author, Base: base, Changes: historian.Diff(current, old), Reverts: to})
}

// validate checks that who and why are given and not too long.
func (a Author) validate() error {
	if a.Who == "" || len(a.Who) > MaxWhoBytes {
		return fault.New(fault.Invalid, "say who changes the configuration, with --who or the variable AGATEVALVE_WHO", "who has %d bytes, not 1 to %d", len(a.Who), MaxWhoBytes)
	}
	if a.Why == "" || len(a.Why) > MaxWhyBytes {
		return fault.New(fault.Invalid, "say why, with --why", "why has %d bytes, not 1 to %d", len(a.Why), MaxWhyBytes)
	}
	return nil
}

// draft is a checked edit, ready to be committed.
type draft struct {
	// head is the one that the edit was checked against.
	head historian.Head
	// next is the configuration after the edit.
	next historian.Configuration
	// changes hold each row before and after.
	changes historian.Changes
	// table is next, compiled.
	table *router.Table
}

// receipt returns the receipt of a publish of the draft.
func (d draft) receipt() Receipt {
	return Receipt{Revision: d.next.Revision, Changes: d.changes, Warnings: d.table.Warnings()}
}

// prepare applies an edit to the configuration in force and checks the result.
// It returns a conflict error if the base of the edit is not in force.
func (p *Publisher) prepare(ctx context.Context, edit Edit) (draft, error) {
	head, err := p.historian.Head(ctx)
	if err != nil {
		return draft{}, err
	}
	if head.Revision != edit.Base {
		return draft{}, p.newConflictError(ctx, edit, head)
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
