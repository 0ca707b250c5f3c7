package publisher

import (
	"context"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/tabler"
)

// snapshotThresholdBytes is the size of a revision row above which its revision
// also gets a snapshot, so that a new entry need not read many large rows.
const snapshotThresholdBytes = 64 << 10

// commit writes the transaction of a draft and returns nil once it is known to
// have taken effect.
func (p *Publisher) commit(ctx context.Context, edit Edit, d draft) error {
	token := p.options.Token()
	result, uncertain, err := p.commitWithRetry(ctx, p.buildTransaction(edit, d, token))
	if err != nil && uncertain {
		return uncertainError(err, d.next.Revision, token)
	}
	if err != nil || result.Applied {
		return err
	}
	return p.resolveConflict(ctx, edit, d, token, uncertain)
}

// commitWithRetry commits a transaction that can take effect only once, and
// repeats it while an earlier attempt may have taken effect, until the store
// replies or ctx ends. If uncertain is true, at least one attempt got no reply,
// so that conflicts may be with the transaction itself.
func (p *Publisher) commitWithRetry(ctx context.Context, writes []tabler.Write) (result tabler.Result, uncertain bool, err error) {
	for {
		result, err = p.options.Table.Commit(ctx, writes)
		if err == nil {
			return result, uncertain, nil
		}
		if fault.KindOf(err) == fault.Uncertain {
			uncertain = true
		}
		if !uncertain || p.options.Pause(ctx) != nil {
			return result, uncertain, err
		}
	}
}

// resolveConflict handles a transaction that was refused for a conflict, so
// that no attempt of it can take effect any more. If an earlier attempt is
// uncertain, it reads the revision row: the token there shows whether that
// attempt published it.
func (p *Publisher) resolveConflict(ctx context.Context, edit Edit, d draft, token historian.Token, uncertain bool) error {
	for uncertain {
		existing, err := p.historian.Revision(ctx, d.next.Revision)
		if err == nil && existing.Token == token {
			return nil
		}
		if kind := fault.KindOf(err); err == nil || kind != fault.Unavailable && kind != fault.Uncertain {
			break
		}
		if p.options.Pause(ctx) != nil {
			return uncertainError(err, d.next.Revision, token)
		}
	}
	head, err := p.historian.Head(ctx)
	if err != nil || head.Revision <= edit.Base {
		head = historian.Head{Revision: d.next.Revision}
	}
	return p.newConflictError(ctx, edit, head)
}

// uncertainError returns the error of a publish that may have taken effect.
func uncertainError(err error, revision uint64, token historian.Token) error {
	return fault.Wrap(err, fault.Uncertain,
		"run agatevalve config history once the store answers, and apply again only if the token is not there",
		"it is not known whether revision %d was published with token %s", revision, token)
}

// buildTransaction returns the writes of a draft. The head row comes last, for
// stores that apply rows in order.
func (p *Publisher) buildTransaction(edit Edit, d draft, token historian.Token) []tabler.Write {
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
	if number-d.head.Snapshot >= historian.SnapshotEvery || len(value) > snapshotThresholdBytes {
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
