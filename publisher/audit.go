package publisher

import (
	"context"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/tabler"
)

// RecordAction writes a manual action, such as a drain, to the audit trail.
func (p *Publisher) RecordAction(ctx context.Context, author Author, kind historian.ActionKind, subject string) error {
	if err := author.validate(); err != nil {
		return err
	}
	head, err := p.historian.Head(ctx)
	if err != nil {
		return err
	}
	token, now := p.options.Token(), p.options.Now()
	write := tabler.Write{
		Key: historian.ManualActionKey(now, token),
		Value: historian.EncodeAction(historian.Action{
			Kind: kind, Subject: subject, Token: token, Who: author.Who, When: now, Why: author.Why,
			Base: head.Revision, Revision: head.Revision,
		}),
	}
	// The key contains the token, so a conflict means that the row is already
	// written.
	_, uncertain, err := p.commitWithRetry(ctx, []tabler.Write{write})
	if err != nil && uncertain {
		return fault.Wrap(err, fault.Uncertain, "look for it with agatevalve audit", "it is not known whether the act was recorded")
	}
	return err
}
