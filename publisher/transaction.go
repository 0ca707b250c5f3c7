package publisher

import (
	"context"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/tabler"
)

// mostDeltaBytes is the size of a revision row from which a snapshot is
// written beside it, so that a new entry need not read many such rows.
const mostDeltaBytes = 64 << 10

// commit brings a draft into force.
func (p *Publisher) commit(ctx context.Context, edit Edit, d draft) error {
	token := p.options.Token()
	result, doubt, err := p.persist(ctx, p.writes(edit, d, token))
	if err != nil && doubt {
		return errFate(err, d.next.Revision, token)
	}
	if err != nil || result.Applied {
		return err
	}
	return p.settle(ctx, edit, d, token, doubt)
}

// persist sends a transaction that can take effect only once, again and again
// until its fate is known or ctx ends. Doubt is true when one of the tries had
// no reply, so that conflicts may be with the transaction itself.
func (p *Publisher) persist(ctx context.Context, writes []tabler.Write) (result tabler.Result, doubt bool, err error) {
	for {
		result, err = p.options.Table.Commit(ctx, writes)
		if err == nil {
			return result, doubt, nil
		}
		if fault.KindOf(err) == fault.Uncertain {
			doubt = true
		}
		if !doubt || p.options.Pause(ctx) != nil {
			return result, doubt, err
		}
	}
}

// settle tells whose publish took the revision, once it is known that the
// transaction of this one can't take effect any more.
func (p *Publisher) settle(ctx context.Context, edit Edit, d draft, token historian.Token, doubt bool) error {
	for doubt {
		holder, err := p.historian.Revision(ctx, d.next.Revision)
		if err == nil && holder.Token == token {
			return nil
		}
		if kind := fault.KindOf(err); err == nil || kind != fault.Unavailable && kind != fault.Uncertain {
			break
		}
		if p.options.Pause(ctx) != nil {
			return errFate(err, d.next.Revision, token)
		}
	}
	head, err := p.historian.Head(ctx)
	if err != nil || head.Revision <= edit.Base {
		head = historian.Head{Revision: d.next.Revision}
	}
	return p.conflict(ctx, edit, head)
}

func errFate(err error, revision uint64, token historian.Token) error {
	return fault.Wrap(err, fault.Uncertain,
		"run agatevalve config history once the store answers, and apply again only if the token is not there",
		"it is not known whether revision %d was published with token %s", revision, token)
}

// writes returns the transaction of a draft. The head row stands last, for
// stores that apply rows in order.
func (p *Publisher) writes(edit Edit, d draft, token historian.Token) []tabler.Write {
	number := d.next.Revision
	now := p.options.Now()
	revision := historian.Revision{
		Number: number, Token: token, Who: edit.Author.Who, When: now, Why: edit.Author.Why,
		Reverts: edit.Reverts, Digest: d.next.Digest(), Snapshot: d.head.Snapshot, Changes: d.changes,
	}
	action := historian.Action{
		Kind: historian.Published, Token: token, Who: edit.Author.Who, When: now, Why: edit.Author.Why,
		Base: edit.Base, Revision: number, Reverts: edit.Reverts, Changes: d.changes,
	}
	value := historian.EncodeRevision(revision)
	var writes []tabler.Write
	if number-d.head.Snapshot >= historian.SnapshotEvery || len(value) > mostDeltaBytes {
		revision.Snapshot = number
		value = historian.EncodeRevision(revision)
		writes = append(writes, tabler.Write{Key: historian.SnapshotKey(number), Value: historian.EncodeSnapshot(d.next)})
	}
	head := historian.Head{Revision: number, Token: token, Snapshot: revision.Snapshot}
	return append(writes,
		tabler.Write{Key: historian.RevisionKey(number), Value: value},
		tabler.Write{Key: historian.PublishKey(number), Value: historian.EncodeAction(action)},
		tabler.Write{Key: historian.HeadKey, Expect: d.head.Version, Value: historian.EncodeHead(head)},
	)
}
