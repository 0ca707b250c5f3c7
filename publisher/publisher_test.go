package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/emulator"
	"agatevalve/historian"
	"agatevalve/publisher"
	"agatevalve/router"
	"agatevalve/tabler"
)

var author = publisher.Author{Who: "ana", Why: "test"}

// newPublisher returns a publisher whose tokens are numbered.
func newPublisher(table tabler.Table) *publisher.Publisher {
	count := 0
	return publisher.New(publisher.Options{
		Table: table,
		Now:   time.Now,
		Token: func() historian.Token {
			count++
			return historian.Token(fmt.Sprintf("token-%d", count))
		},
		Pause: func(ctx context.Context) error {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			return ctx.Err()
		},
	})
}

// teamName returns the name of the team numbered i.
func teamName(i int) task.Team { return task.Team(fmt.Sprintf("team-%02d", i)) }

// setPool returns an edit that inserts or updates a pool.
func setPool(base uint64, p router.Pool) publisher.Edit {
	change := historian.Change[router.Pool]{Name: p.Name, After: &p}
	return publisher.Edit{Author: author, Base: base, Changes: historian.Changes{Pools: []historian.Change[router.Pool]{change}}}
}

// setRoute returns an edit that inserts or updates a route.
func setRoute(base uint64, r router.Route) publisher.Edit {
	change := historian.Change[router.Route]{Name: r.Name, After: &r}
	return publisher.Edit{Author: author, Base: base, Changes: historian.Changes{Routes: []historian.Change[router.Route]{change}}}
}

// withTable runs a test with an empty table in a synctest bubble.
func withTable(t *testing.T, test func(t *testing.T, is *is.I, table *emulator.Table)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), emulator.NewTable(emulator.Options{})) })
}

func TestPublishAndRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		table := emulator.NewTable(emulator.Options{})
		p, h := newPublisher(table), historian.New(table)
		receipt, err := p.Publish(ctx, setPool(0, router.Pool{Name: "desk", SlotsPerMinion: 1}))
		is.NoErr(err)
		is.Equal(receipt.Revision, uint64(1))
		is.Equal(len(receipt.Warnings), 1)
		for i := uint64(1); i < 100; i++ {
			_, err = p.Publish(ctx, setPool(i, router.Pool{Name: "desk", SlotsPerMinion: int(i) + 1}))
			is.NoErr(err)
		}
		for _, number := range []uint64{1, 31, 32, 33, 64, 99, 100} {
			c, err := h.ConfigurationAt(ctx, number)
			is.NoErr(err)
			is.Equal(c.Revision, number)
			is.Equal(c.Pools[0].SlotsPerMinion, int(number))
		}
		receipt, err = p.Revert(ctx, author, 100, 40)
		is.NoErr(err)
		is.Equal(receipt.Revision, uint64(101))
		head, c, err := h.Current(ctx)
		is.NoErr(err)
		is.Equal(head.Snapshot, uint64(96))
		is.Equal(c.Pools[0].SlotsPerMinion, 40)
		actions, err := h.PublishActions(ctx, 101, 101)
		is.NoErr(err)
		is.Equal(len(actions), 1)
		is.Equal(actions[0].Reverts, uint64(40))
		is.Equal(actions[0].Base, uint64(100))
		is.Equal(actions[0].Changes.Pools[0].Before.SlotsPerMinion, 100)
		is.Equal(actions[0].Changes.Pools[0].After.SlotsPerMinion, 40)
	})
}

func TestPublishRefusesInvalidEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		table := emulator.NewTable(emulator.Options{})
		p := newPublisher(table)
		_, err := p.Publish(ctx, setRoute(0, router.Route{Name: "holds", PathPrefix: "/holds", Pool: "desk"}))
		var findings router.FindingsError
		is.True(errors.As(err, &findings))
		is.Equal(findings[0].Cause, router.MissingPool)
		edit := setPool(0, router.Pool{Name: "desk"})
		edit.Author.Who = ""
		_, err = p.Publish(ctx, edit)
		is.Equal(fault.KindOf(err), fault.Invalid)
		_, err = p.Publish(ctx, setPool(7, router.Pool{Name: "desk"}))
		is.Equal(fault.KindOf(err), fault.Invalid)
		deleteMissing := publisher.Edit{Author: author, Changes: historian.Changes{Routes: []historian.Change[router.Route]{{Name: "x"}}}}
		_, err = p.Publish(ctx, deleteMissing)
		is.Equal(fault.KindOf(err), fault.NotFound)
		is.Equal(table.Counts().Commits, 0)
	})
}

func TestEmptyEditPublishesNothing(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		p := newPublisher(table)
		_, err := p.Publish(t.Context(), setPool(0, router.Pool{Name: "desk"}))
		is.NoErr(err)
		receipt, err := p.Publish(t.Context(), setPool(1, router.Pool{Name: "desk"}))
		is.NoErr(err)
		is.Equal(receipt.Revision, uint64(1))
		is.Equal(table.Counts().Commits, 1)
	})
}

func TestConflictNamesAuthorsAndRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		table := emulator.NewTable(emulator.Options{})
		p := newPublisher(table)
		_, err := p.Publish(ctx, setPool(0, router.Pool{Name: "desk"}))
		is.NoErr(err)
		_, err = p.Publish(ctx, setPool(0, router.Pool{Name: "other"}))
		is.Equal(fault.KindOf(err), fault.Conflict)
		var conflict *publisher.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Head, uint64(1))
		is.Equal(conflict.Since[0].Who, "ana")
		is.Equal(len(conflict.SharedRows), 0)
		_, err = p.Publish(ctx, setPool(0, router.Pool{Name: "desk", QueueLimit: 1}))
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.SharedRows, []string{`pool "desk"`})
	})
}

func TestPublishAfterLostReply(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.LoseReplies, On: emulator.Writes, Count: 1}))
		receipt, err := newPublisher(table).Publish(t.Context(), setPool(0, router.Pool{Name: "desk"}))
		is.NoErr(err)
		is.Equal(receipt.Revision, uint64(1))
		head, err := historian.New(table).Head(t.Context())
		is.NoErr(err)
		is.Equal(head.Revision, uint64(1))
	})
}

// TestHungWriteIsNotPublishedTwice has a write hang past the timeout of its
// commit and take effect only after the same transaction was sent again.
func TestHungWriteIsNotPublishedTwice(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		withTimeout := &timeoutTable{Table: table}
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Hung, On: emulator.Writes, Count: 1}))
		receipt, err := newPublisher(withTimeout).Publish(t.Context(), setPool(0, router.Pool{Name: "desk"}))
		is.NoErr(err)
		is.Equal(receipt.Revision, uint64(1))
		table.ClearFaults()
		synctest.Wait()
		time.Sleep(time.Second)
		is.Equal(table.Counts().Conflicts, 1)
		head, err := historian.New(table).Head(t.Context())
		is.NoErr(err)
		is.Equal(head.Revision, uint64(1))
	})
}

func TestUnknownOutcomeIsReportedAsUncertain(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.LoseReplies, On: emulator.Writes}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := newPublisher(table).Publish(ctx, setPool(0, router.Pool{Name: "desk"}))
		is.Equal(fault.KindOf(err), fault.Uncertain)
	})
}

func TestRecordAfterLostReply(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.LoseReplies, On: emulator.Writes, Count: 2}))
		is.NoErr(newPublisher(table).RecordAction(t.Context(), author, historian.Drained, "agent-1"))
		actions, err := historian.New(table).ManualActions(t.Context(), time.Now())
		is.NoErr(err)
		is.Equal(len(actions), 1)
		is.Equal(actions[0].Subject, "agent-1")
	})
}

// timeoutTable times out each commit after a second.
type timeoutTable struct{ tabler.Table }

func (t *timeoutTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return t.Table.Commit(ctx, writes)
}
