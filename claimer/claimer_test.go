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

// startClaimer starts a Claimer and returns it with the channel of its events.
func startClaimer(table tabler.Table, seed uint64) (*claimer.Claimer, chan dispatcher.Event) {
	events := make(chan dispatcher.Event, 1024)
	c := claimer.New(claimer.Options{
		Table:   table,
		Deliver: func(e dispatcher.Event) { events <- e },
		Random:  rand.New(rand.NewPCG(seed, seed)),
	})
	return c, events
}

// fromNow returns the current time plus d.
func fromNow(d time.Duration) time.Time { return time.Now().Add(d).UTC() }

// drainEvents waits until all goroutines of the bubble are blocked and returns
// the events delivered until then.
func drainEvents(events chan dispatcher.Event) []dispatcher.Event {
	synctest.Wait()
	var waiting []dispatcher.Event
	for len(events) > 0 {
		waiting = append(waiting, <-events)
	}
	return waiting
}

// inBubble runs a test with an empty table and fake time, in a synctest bubble.
func inBubble(t *testing.T, test func(t *testing.T, is *is.I, table *emulator.Table)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), emulator.NewTable(emulator.Options{})) })
}

// The commit is applied, but its reply is lost. The Claimer reads the row back
// and recognises its token.
func TestClaimWithLostReplyIsWonOnce(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.LoseReplies, On: emulator.Writes, Count: 1}))
		c, events := startClaimer(table, 1)
		defer c.Close()
		claim := claimOf(0, 1, 7, fromNow(time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claim}))
		is.Equal(<-events, dispatcher.ClaimWon{Claim: claim})
		time.Sleep(2 * time.Second)
		is.Equal(drainEvents(events), nil)
		is.Equal(table.Counts().Commits, 1)
		is.Equal(table.Counts().Reads, 1)
	})
}

func TestClaimWithLostReplyOverHTTPIsWonOnce(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	server := httptest.NewServer(emulator.Handler(table))
	defer server.Close()
	client := connector.New(connector.Options{Store: netip.MustParseAddrPort(server.Listener.Addr().String())})
	defer client.Close()
	is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.LoseReplies, On: emulator.Writes, Count: 1}))
	c, events := startClaimer(client, 1)
	claims := []dispatcher.Claim{claimOf(0, 1, 7, fromNow(time.Hour)), claimOf(0, 2, 8, fromNow(time.Hour))}
	is.True(c.Insert(dispatcher.WriteClaim{Claim: claims[0]}))
	is.Equal(<-events, dispatcher.ClaimWon{Claim: claims[0]})
	is.True(c.Insert(dispatcher.WriteClaim{Claim: claims[1]}))
	is.Equal(<-events, dispatcher.ClaimWon{Claim: claims[1]})
	c.Close()
	is.Equal(len(events), 0)
	is.Equal(table.Counts().Conflicts, 0)
}

// The first commit times out and is applied only after its retry. It must
// conflict with the retry and change nothing.
func TestClaimWithDelayedWriteIsWonOnce(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		hung := emulator.Fault{Kind: emulator.Hung, On: emulator.Writes, Count: 1}
		is.NoErr(table.SetFault(hung))
		c, events := startClaimer(timeoutTable{table}, 1)
		defer c.Close()
		claim := claimOf(0, 1, 7, fromNow(5*time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claim}))
		is.Equal(<-events, dispatcher.ClaimWon{Claim: claim}) // By the retry of the commit.
		table.ClearFaults()
		time.Sleep(time.Second)
		is.Equal(drainEvents(events), nil)
		is.Equal(table.Counts().Commits, 2)
		is.Equal(table.Counts().Conflicts, 1) // The first commit arrived late and changed nothing.
	})
}

// timeoutTable adds a timeout of a second to commits, as the connector does.
type timeoutTable struct{ tabler.Table }

func (i timeoutTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return i.Table.Commit(ctx, writes)
}

func TestConcurrentInsertsHaveOneWinner(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		first, firstEvents := startClaimer(table, 1)
		defer first.Close()
		second, secondEvents := startClaimer(table, 2)
		defer second.Close()
		claims := []dispatcher.Claim{claimOf(0, 1, 7, fromNow(time.Second)), claimOf(1, 1, 8, fromNow(time.Second))}
		is.True(first.Insert(dispatcher.WriteClaim{Claim: claims[0]}))
		is.True(second.Insert(dispatcher.WriteClaim{Claim: claims[1]}))
		assertOneWinner(is, claims, []dispatcher.Event{<-firstEvents, <-secondEvents})
	})
}

func TestConcurrentTakeoversHaveOneWinner(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		owner, ownerEvents := startClaimer(table, 1)
		old := claimOf(0, 1, 7, fromNow(time.Second))
		is.True(owner.Insert(dispatcher.WriteClaim{Claim: old}))
		is.Equal(<-ownerEvents, dispatcher.ClaimWon{Claim: old})
		owner.Close()

		first, firstEvents := startClaimer(table, 2)
		defer first.Close()
		second, secondEvents := startClaimer(table, 3)
		defer second.Close()
		takes := []dispatcher.ReplaceClaim{takeoverOf(old, 1, 8, fromNow(time.Second)), takeoverOf(old, 2, 9, fromNow(time.Second))}
		is.True(first.Replace(takes[0]))
		is.True(second.Replace(takes[1]))
		claims := []dispatcher.Claim{takes[0].Claim, takes[1].Claim}
		assertOneWinner(is, claims, []dispatcher.Event{<-firstEvents, <-secondEvents})
	})
}

// assertOneWinner checks that one claim won and that the event of the other one
// contains the winner.
func assertOneWinner(is *is.I, claims []dispatcher.Claim, events []dispatcher.Event) {
	is.Helper()
	winner := claims[0]
	if _, won := events[0].(dispatcher.ClaimWon); !won {
		winner = claims[1]
		events[0], events[1] = events[1], events[0]
	}
	is.Equal(events, []dispatcher.Event{dispatcher.ClaimWon{Claim: winner}, dispatcher.ClaimHeld{Claim: winner}})
}

func TestTakeoverOfChangedClaimIsHeld(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		c, events := startClaimer(table, 1)
		defer c.Close()
		current := claimOf(0, 1, 7, fromNow(time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: current}))
		is.Equal(<-events, dispatcher.ClaimWon{Claim: current})
		stale := claimOf(2, 1, 6, fromNow(time.Second))
		is.True(c.Replace(takeoverOf(stale, 1, 8, fromNow(time.Second))))
		is.Equal(<-events, dispatcher.ClaimHeld{Claim: current})
		missing := takeoverOf(claimOf(0, 2, 5, fromNow(time.Second)), 1, 9, fromNow(time.Second))
		is.True(c.Replace(missing))
		is.Equal(<-events, dispatcher.ClaimFailed{Job: missing.Claim.Job, Reason: "the claim to take over has gone"})
	})
}

func TestOutageThenRecovery(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
		c, events := startClaimer(table, 1)
		defer c.Close()
		short, long := claimOf(0, 1, 1, fromNow(2*time.Second)), claimOf(0, 2, 2, fromNow(time.Minute))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: short}))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: long}))
		failed, ok := (<-events).(dispatcher.ClaimFailed)
		is.True(ok)
		is.Equal(failed.Job, short.Job)
		is.True(!time.Now().Before(short.Deadline))
		time.Sleep(10 * time.Second)
		is.Equal(drainEvents(events), nil)
		table.ClearFaults()
		is.Equal(<-events, dispatcher.ClaimWon{Claim: long})
		rows, err := table.Read(t.Context(), []tabler.Key{claimer.KeyOf(short.Job)})
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}

func TestClaimIsNotWonAfterItsDeadline(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Hung}))
		c, events := startClaimer(table, 1)
		defer c.Close()
		claim := claimOf(0, 1, 1, fromNow(time.Second))
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claim}))
		_, failed := (<-events).(dispatcher.ClaimFailed)
		is.True(failed)
		table.ClearFaults()
		time.Sleep(time.Minute)
		is.Equal(drainEvents(events), nil)
		rows, err := table.Read(t.Context(), []tabler.Key{claimer.KeyOf(claim.Job)})
		is.NoErr(err)
		is.Equal(len(rows), 1) // The commit was applied late, but no ClaimWon was delivered.
	})
}

// Two claims are stored in time, but the consumer of the events blocks until
// after their deadline. The second event must be a ClaimFailed.
func TestDelayedDeliveryFailsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := make(chan dispatcher.Event)
		c := claimer.New(claimer.Options{
			Table:   emulator.NewTable(emulator.Options{}),
			Deliver: func(e dispatcher.Event) { events <- e },
		})
		defer c.Close()
		for job := range 2 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, 1, fromNow(time.Second))}))
		}
		time.Sleep(2 * time.Second)
		_, won := (<-events).(dispatcher.ClaimWon) // Its delivery began before the deadline.
		is.True(won)
		_, failed := (<-events).(dispatcher.ClaimFailed)
		is.True(failed)
	})
}

func TestClaimsShareTransactions(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		c, events := startClaimer(table, 1)
		defer c.Close()
		for job := range 1000 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(job), fromNow(time.Second))}))
		}
		for range 1000 {
			_, won := (<-events).(dispatcher.ClaimWon)
			is.True(won)
		}
		is.True(table.Counts().Commits <= 3) // At most two early ones, and one for the rest.
	})
}

func TestCloseEndsAllClaims(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
		c, events := startClaimer(table, 1)
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 1, 1, fromNow(time.Minute))}))
		c.Close()
		_, failed := (<-events).(dispatcher.ClaimFailed)
		is.True(failed)
		is.True(!c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 2, 2, fromNow(time.Minute))}))
	})
}

// If the store rejects a transaction because of one claim, smaller transactions
// isolate it, so that the other claims are stored.
func TestRejectedClaimFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, events := startClaimer(rejectingTable{emulator.NewTable(emulator.Options{})}, 1)
		defer c.Close()
		for job := range 9 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(job), fromNow(time.Second))}))
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

// rejectingTable rejects each transaction that contains a claim for job 5.
type rejectingTable struct{ tabler.Table }

func (p rejectingTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	for _, w := range writes {
		if w.Key == claimer.KeyOf(claimOf(0, 5, 0, epoch).Job) {
			return tabler.Result{}, fault.New(fault.Invalid, "change the row", "the row is refused")
		}
	}
	return p.Table.Commit(ctx, writes)
}
