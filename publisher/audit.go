package publisher

import (
	"context"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/tabler"
)

// Record writes an act by hand to the audit trail.
func (p *Publisher) Record(ctx context.Context, author Author, kind historian.ActionKind, subject string) error {
	if err := author.check(); err != nil {
		return err
	}
	head, err := p.historian.Head(ctx)
	if err != nil {
		return err
	}
	token, now := p.options.Token(), p.options.Now()
	write := tabler.Write{
		Key: historian.ActKey(now, token),
		Value: historian.EncodeAction(historian.Action{
			Kind: kind, Subject: subject, Token: token, Who: author.Who, When: now, Why: author.Why,
			Base: head.Revision, Revision: head.Revision,
		}),
	}
	// The row's name holds the token, so a row that is there already is this one.
	_, doubt, err := p.persist(ctx, []tabler.Write{write})
	if err != nil && doubt {
		return fault.Wrap(err, fault.Uncertain, "look for it with agatevalve audit", "it is not known whether the act was recorded")
	}
	return err
}
