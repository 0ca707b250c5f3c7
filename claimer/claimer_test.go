package claimer_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/claimer"
	"agatevalve/common/fault"
	"agatevalve/connector"
	"agatevalve/dispatcher"
	"agatevalve/emulator"
	"agatevalve/tabler"
)

// start returns a Claimer and the events that it delivers.
func start(table tabler.Table, seed uint64) (*claimer.Claimer, chan dispatcher.Event) {
	events := make(chan dispatcher.Event, 1024)
	c := claimer.New(claimer.Options{
		Table:   table,
		Deliver: func(e dispatcher.Event) { events <- e },
		Random:  rand.New(rand.NewPCG(seed, seed)),
	})
	return c, events
}

func in(d time.Duration) time.Time { return time.Now().Add(d).UTC() }

// drain returns the events that wait once nothing moves any more.
func drain(events chan dispatcher.Event) []dispatcher.Event {
	synctest.Wait()
	var waiting []dispatcher.Event
	for len(events) > 0 {
		waiting = append(waiting, <-events)
	}
	return waiting
}

// inBubble runs a test with a table in a bubble.
func inBubble(t *testing.T, test func(t *testing.T, is *is.I, table *emulator.Table)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), emulator.NewTable(emulator.Options{})) })
}

func TestLostReplyIsWonOnce(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.LoseReplies, On: emulator.Writes, Count: 1}))
		c, events := start(table, 1)
		defer c.Close()
		claim := claimOf(0, 1, 7, in(time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claim}))
		is.Equal(<-events, dispatcher.ClaimWon{Claim: claim})
		time.Sleep(2 * time.Second)
		is.Equal(drain(events), nil)
		is.Equal(table.Counts().Commits, 1)
		is.Equal(table.Counts().Reads, 1)
	})
}

func TestLostReplyOverHTTPIsWonOnce(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	server := httptest.NewServer(emulator.Handler(table))
	defer server.Close()
	client := connector.New(connector.Options{Store: netip.MustParseAddrPort(server.Listener.Addr().String())})
	defer client.Close()
	is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.LoseReplies, On: emulator.Writes, Count: 1}))
	c, events := start(client, 1)
	claims := []dispatcher.Claim{claimOf(0, 1, 7, in(time.Hour)), claimOf(0, 2, 8, in(time.Hour))}
	is.True(c.Insert(dispatcher.WriteClaim{Claim: claims[0]}))
	is.Equal(<-events, dispatcher.ClaimWon{Claim: claims[0]})
	is.True(c.Insert(dispatcher.WriteClaim{Claim: claims[1]}))
	is.Equal(<-events, dispatcher.ClaimWon{Claim: claims[1]})
	c.Close()
	is.Equal(len(events), 0)
	is.Equal(table.Counts().Conflicts, 0)
}

func TestLateWriteOfALostCallIsWonOnce(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		hung := emulator.Fault{Kind: emulator.Hung, On: emulator.Writes, Count: 1}
		is.NoErr(table.SetFault(hung))
		c, events := start(impatient{table}, 1)
		defer c.Close()
		claim := claimOf(0, 1, 7, in(5*time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claim}))
		is.Equal(<-events, dispatcher.ClaimWon{Claim: claim}) // The second write, as the first one hangs.
		table.ClearFaults()
		time.Sleep(time.Second)
		is.Equal(drain(events), nil)
		is.Equal(table.Counts().Commits, 2)
		is.Equal(table.Counts().Conflicts, 1) // The first write arrived and changed nothing.
	})
}

// impatient gives up on each call after a second, as the connector does.
type impatient struct{ tabler.Table }

func (i impatient) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return i.Table.Commit(ctx, writes)
}

func TestRaceHasOneWinner(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		first, firstEvents := start(table, 1)
		defer first.Close()
		second, secondEvents := start(table, 2)
		defer second.Close()
		claims := []dispatcher.Claim{claimOf(0, 1, 7, in(time.Second)), claimOf(1, 1, 8, in(time.Second))}
		is.True(first.Insert(dispatcher.WriteClaim{Claim: claims[0]}))
		is.True(second.Insert(dispatcher.WriteClaim{Claim: claims[1]}))
		assertOneWinner(is, claims, []dispatcher.Event{<-firstEvents, <-secondEvents})
	})
}

func TestTakeoverRaceHasOneWinner(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		owner, ownerEvents := start(table, 1)
		old := claimOf(0, 1, 7, in(time.Second))
		is.True(owner.Insert(dispatcher.WriteClaim{Claim: old}))
		is.Equal(<-ownerEvents, dispatcher.ClaimWon{Claim: old})
		owner.Close()

		first, firstEvents := start(table, 2)
		defer first.Close()
		second, secondEvents := start(table, 3)
		defer second.Close()
		takes := []dispatcher.ReplaceClaim{takeoverOf(old, 1, 8, in(time.Second)), takeoverOf(old, 2, 9, in(time.Second))}
		is.True(first.Take(takes[0]))
		is.True(second.Take(takes[1]))
		claims := []dispatcher.Claim{takes[0].Claim, takes[1].Claim}
		assertOneWinner(is, claims, []dispatcher.Event{<-firstEvents, <-secondEvents})
	})
}

// assertOneWinner expects that one claim won and that the other event names it.
func assertOneWinner(is *is.I, claims []dispatcher.Claim, events []dispatcher.Event) {
	is.Helper()
	winner := claims[0]
	if _, won := events[0].(dispatcher.ClaimWon); !won {
		winner = claims[1]
		events[0], events[1] = events[1], events[0]
	}
	is.Equal(events, []dispatcher.Event{dispatcher.ClaimWon{Claim: winner}, dispatcher.ClaimHeld{Claim: winner}})
}

func TestTakeoverOfAChangedClaimIsHeld(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		c, events := start(table, 1)
		defer c.Close()
		stands := claimOf(0, 1, 7, in(time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: stands}))
		is.Equal(<-events, dispatcher.ClaimWon{Claim: stands})
		stale := claimOf(2, 1, 6, in(time.Second))
		is.True(c.Take(takeoverOf(stale, 1, 8, in(time.Second))))
		is.Equal(<-events, dispatcher.ClaimHeld{Claim: stands})
		gone := takeoverOf(claimOf(0, 2, 5, in(time.Second)), 1, 9, in(time.Second))
		is.True(c.Take(gone))
		is.Equal(<-events, dispatcher.ClaimFailed{Job: gone.Claim.Job, Reason: "the claim to take over has gone"})
	})
}

func TestOutageThenRecovery(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
		c, events := start(table, 1)
		defer c.Close()
		short, long := claimOf(0, 1, 1, in(2*time.Second)), claimOf(0, 2, 2, in(time.Minute))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: short}))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: long}))
		failed, ok := (<-events).(dispatcher.ClaimFailed)
		is.True(ok)
		is.Equal(failed.Job, short.Job)
		is.True(!time.Now().Before(short.Deadline))
		time.Sleep(10 * time.Second)
		is.Equal(drain(events), nil)
		table.ClearFaults()
		is.Equal(<-events, dispatcher.ClaimWon{Claim: long})
		rows, err := table.Read(t.Context(), []tabler.Key{claimer.KeyOf(short.Job)})
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}

func TestHungStoreWinsNothingAfterTheDeadline(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Hung}))
		c, events := start(table, 1)
		defer c.Close()
		claim := claimOf(0, 1, 1, in(time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claim}))
		_, failed := (<-events).(dispatcher.ClaimFailed)
		is.True(failed)
		table.ClearFaults()
		time.Sleep(time.Minute)
		is.Equal(drain(events), nil)
		rows, err := table.Read(t.Context(), []tabler.Key{claimer.KeyOf(claim.Job)})
		is.NoErr(err)
		is.Equal(len(rows), 1) // The write took effect after all, and nobody was told that it won.
	})
}

func TestHeldUpDeliveryIsNotWon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := make(chan dispatcher.Event)
		c := claimer.New(claimer.Options{
			Table:   emulator.NewTable(emulator.Options{}),
			Deliver: func(e dispatcher.Event) { events <- e },
		})
		defer c.Close()
		for job := range 2 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, 1, in(time.Second))}))
		}
		time.Sleep(2 * time.Second)
		_, won := (<-events).(dispatcher.ClaimWon) // Decided and offered in time.
		is.True(won)
		_, failed := (<-events).(dispatcher.ClaimFailed)
		is.True(failed)
	})
}

func TestClaimsShareTransactions(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		c, events := start(table, 1)
		defer c.Close()
		for job := range 1000 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(job), in(time.Second))}))
		}
		for range 1000 {
			_, won := (<-events).(dispatcher.ClaimWon)
			is.True(won)
		}
		is.True(table.Counts().Commits <= 3) // Two in flight at the start, and the rest.
	})
}

func TestCloseEndsAllClaims(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
		c, events := start(table, 1)
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 1, 1, in(time.Minute))}))
		c.Close()
		_, failed := (<-events).(dispatcher.ClaimFailed)
		is.True(failed)
		is.True(!c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 2, 2, in(time.Minute))}))
	})
}

func TestUnstorableClaimFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, events := start(poisoned{emulator.NewTable(emulator.Options{})}, 1)
		defer c.Close()
		for job := range 9 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(job), in(time.Second))}))
		}
		won, failed := 0, 0
		for range 9 {
			switch (<-events).(type) {
			case dispatcher.ClaimWon:
				won++
			case dispatcher.ClaimFailed:
				failed++
			}
		}
		is.Equal(won, 8)
		is.Equal(failed, 1)
	})
}

// poisoned refuses each transaction that has job 5.
type poisoned struct{ tabler.Table }

func (p poisoned) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	for _, w := range writes {
		if w.Key == claimer.KeyOf(claimOf(0, 5, 0, epoch).Job) {
			return tabler.Result{}, fault.New(fault.Invalid, "change the row", "the row is refused")
		}
	}
	return p.Table.Commit(ctx, writes)
}
