package claimer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/claimer"
	"agatevalve/common/fault"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

const (
	entries = 3
	jobs    = 4
)

// call is a batch on its way to the table or back.
type call struct {
	entry int
	batch *claimer.Batch
	// applied has the result of a commit that took effect.
	applied *tabler.Result
	// heard means that the entry was given an answer. A commit that wasn't
	// applied by then may still arrive.
	heard bool
}

// world is several entries that share a table.
type world struct {
	*oracle
	now   time.Time
	cores []*claimer.Core
	calls []*call
	token uint64
	// known has claims that entries have seen, to take over from.
	known []dispatcher.Claim
	// reached counts what happened, so that a test sees what it covered.
	reached map[string]int
}

func newWorld() *world {
	w := &world{oracle: newOracle(), now: epoch, reached: map[string]int{}}
	for i := range entries {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		w.cores = append(w.cores, claimer.NewCore(smallLimits(), random))
	}
	return w
}

func (w *world) deadline(t *rapid.T) time.Time {
	within := rapid.IntRange(-1, 3000).Draw(t, "within")
	return w.now.Add(time.Duration(within) * time.Millisecond)
}

func (w *world) insert(t *rapid.T) {
	w.token++
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	job := rapid.IntRange(0, jobs-1).Draw(t, "job")
	claim := claimOf(entry, job, w.token, w.deadline(t))
	w.ask(claim)
	w.give(entry, w.cores[entry].Insert(dispatcher.WriteClaim{Claim: claim}, w.now))
}

func (w *world) take(t *rapid.T) {
	if len(w.known) == 0 {
		t.Skip("no claim is known")
	}
	w.token++
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	old := rapid.SampledFrom(w.known).Draw(t, "old")
	command := takeoverOf(old, entry, w.token, w.deadline(t))
	w.replaces[w.token] = old.Token
	w.ask(command.Claim)
	w.give(entry, w.cores[entry].Take(command, w.now))
}

func (w *world) send(t *rapid.T) {
	sent := len(w.calls)
	for entry, core := range w.cores {
		if batch := core.Next(w.now); batch != nil {
			w.calls = append(w.calls, &call{entry: entry, batch: batch})
		}
	}
	if sent == len(w.calls) {
		t.Skip("nothing to send")
	}
}

func (w *world) apply(t *rapid.T) {
	c := w.pick(t, func(c *call) bool { return c.applied == nil && len(c.batch.Keys) == 0 })
	result := w.commit(c.batch.Writes)
	c.applied = &result
	switch {
	case c.heard && result.Applied:
		w.reached["late write applied"]++
	case c.heard:
		w.reached["late write refused"]++
	}
}

// answer completes a call, and first applies it if that hasn't happened.
func (w *world) answer(t *rapid.T) {
	w.complete(w.pick(t, unheard))
}

func (w *world) complete(c *call) {
	c.heard = true
	core := w.cores[c.entry]
	if len(c.batch.Keys) > 0 {
		w.give(c.entry, core.ReadDone(c.batch, w.read(c.batch.Keys), nil, w.now))
		return
	}
	if c.applied == nil {
		result := w.commit(c.batch.Writes)
		c.applied = &result
	}
	w.give(c.entry, core.CommitDone(c.batch, *c.applied, nil, w.now))
}

// lose leaves the entry without an answer; the commit may arrive later.
func (w *world) lose(t *rapid.T) {
	c := w.pick(t, unheard)
	c.heard = true
	err := fault.New(fault.Uncertain, "read", "the reply was lost")
	w.fail(c, err)
}

// refuse proves to the entry that a commit had no effect.
func (w *world) refuse(t *rapid.T) {
	c := w.pick(t, func(c *call) bool { return !c.heard && c.applied == nil })
	kind := rapid.SampledFrom([]fault.Kind{fault.Unavailable, fault.TooLarge}).Draw(t, "kind")
	c.heard = true
	c.applied = &tabler.Result{}
	w.fail(c, fault.New(kind, "wait", "refused"))
}

func (w *world) fail(c *call, err error) {
	core := w.cores[c.entry]
	if len(c.batch.Keys) > 0 {
		w.give(c.entry, core.ReadDone(c.batch, nil, err, w.now))
		return
	}
	w.give(c.entry, core.CommitDone(c.batch, tabler.Result{}, err, w.now))
}

func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
}

func (w *world) expire(t *rapid.T) {
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	w.give(entry, w.cores[entry].Expire(w.now))
}

func unheard(c *call) bool { return !c.heard }

// pick draws one of the calls that fit.
func (w *world) pick(t *rapid.T, fits func(*call) bool) *call {
	var fitting []*call
	for _, c := range w.calls {
		if fits(c) {
			fitting = append(fitting, c)
		}
	}
	if len(fitting) == 0 {
		t.Skip("no call fits")
	}
	return rapid.SampledFrom(fitting).Draw(t, "call")
}

func (w *world) give(entry int, events []dispatcher.Event) {
	owner := claimOf(entry, 0, 0, epoch).Owner
	for _, e := range events {
		w.see(owner, e, w.now)
		switch e := e.(type) {
		case dispatcher.ClaimWon:
			w.known = append(w.known, e.Claim)
			w.reached["won"]++
			if e.Claim.Generation > 1 {
				w.reached["won by takeover"]++
			}
		case dispatcher.ClaimHeld:
			w.known = append(w.known, e.Claim)
			w.reached["held"]++
		case dispatcher.ClaimFailed:
			w.reached["failed"]++
		}
	}
}

// settle answers all calls until every claim has its event.
func (w *world) settle() {
	for range 10_000 {
		for _, c := range w.calls {
			if !c.heard {
				w.complete(c)
			}
		}
		for i, core := range w.cores {
			w.give(i, core.Expire(w.now))
			if batch := core.Next(w.now); batch != nil {
				w.calls = append(w.calls, &call{entry: i, batch: batch})
			}
		}
		if len(w.asked) == 0 {
			return
		}
		w.now = w.now.Add(time.Millisecond)
	}
	w.violate("%d claims never ended", len(w.asked))
}

func (w *world) check(t *rapid.T) {
	if len(w.violations) > 0 {
		t.Fatal(w.violations)
	}
}

func TestFuzzClaims(t *testing.T) {
	reached := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.reached = reached
		t.Repeat(map[string]func(*rapid.T){
			"insert": w.insert, "take": w.take, "send": w.send, "send-again": w.send, "apply": w.apply,
			"answer": w.answer, "lose": w.lose, "refuse": w.refuse, "advance": w.advance, "expire": w.expire,
			"": w.check,
		})
		w.settle()
		w.check(t)
	})
	t.Log("reached:", reached)
	for _, event := range []string{"won", "won by takeover", "held", "failed", "late write applied", "late write refused"} {
		if reached[event] == 0 {
			t.Errorf("never reached: %s", event)
		}
	}
}

func TestOracleCatchesABlindTable(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.blind = true
	for entry := range 2 {
		claim := claimOf(entry, 0, uint64(entry+1), epoch.Add(time.Second))
		w.ask(claim)
		w.give(entry, w.cores[entry].Insert(dispatcher.WriteClaim{Claim: claim}, w.now))
	}
	w.settle()
	is.Equal(w.violations, []string{"tokens 1 and 2 won the same generation"})
}

func TestConflictFailsItsClaimAlone(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	deadline := epoch.Add(time.Second)
	held := claimOf(1, 0, 1, deadline)
	w.ask(held)
	w.give(1, w.cores[1].Insert(dispatcher.WriteClaim{Claim: held}, w.now))
	w.settle()

	core := w.cores[0]
	for job := range 3 {
		core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(10+job), deadline)}, w.now)
	}
	batch := core.Next(w.now)
	is.Equal(len(batch.Writes), 4) // Three claims and their index row.
	events := core.CommitDone(batch, w.commit(batch.Writes), nil, w.now)
	is.Equal(events, []dispatcher.Event{dispatcher.ClaimHeld{Claim: held}})
	batch = core.Next(w.now) // At once.
	is.Equal(len(batch.Writes), 3)
	events = core.CommitDone(batch, w.commit(batch.Writes), nil, w.now)
	is.Equal(len(events), 2)
}

func TestFailureTellsWhatIsKnown(t *testing.T) {
	tests := []struct {
		name   string
		kind   fault.Kind
		reason string
	}{
		{"not sent", fault.Unavailable, "the deadline passed before the claim was stored"},
		{"in doubt", fault.Uncertain, "the deadline passed before the claim was stored; it isn't known whether it was stored, and nothing was started under it"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			core := newWorld().cores[0]
			claim := claimOf(0, 0, 1, epoch.Add(time.Second))
			core.Insert(dispatcher.WriteClaim{Claim: claim}, epoch)
			batch := core.Next(epoch)
			core.CommitDone(batch, tabler.Result{}, fault.New(tt.kind, "wait", "no reply"), epoch)
			is.Equal(core.Expire(epoch.Add(999*time.Millisecond)), nil)
			is.Equal(core.Expire(claim.Deadline), []dispatcher.Event{dispatcher.ClaimFailed{Job: claim.Job, Reason: tt.reason}})
		})
	}
}

func TestQueueStaysBoundedInAnOutage(t *testing.T) {
	is := is.New(t)
	core := newWorld().cores[0]
	now := epoch
	core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 0, 0, now.Add(time.Hour))}, now)
	core.CommitDone(core.Next(now), tabler.Result{}, fault.New(fault.Unavailable, "wait", "down"), now)
	for job := range 10_000 {
		deadline := now.Add(time.Microsecond)
		core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job+1, uint64(job), deadline)}, now)
		core.Expire(deadline)
	}
	is.Equal(core.Waiting(), 1)
	is.True(core.Queued() < 100)
}

func TestOutageIsProbedByOneCallAtATime(t *testing.T) {
	is := is.New(t)
	core := newWorld().cores[0]
	now := epoch
	for job := range 6 {
		core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(job), epoch.Add(time.Hour))}, now)
	}
	full := core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 6, 6, epoch.Add(time.Hour))}, now)
	is.Equal(full, []dispatcher.Event{dispatcher.ClaimFailed{Job: claimOf(0, 6, 6, epoch).Job, Reason: "too many claims wait for the store"}})
	first := core.Next(now)
	is.Equal(core.Next(now), nil)
	second := core.Next(now.Add(250 * time.Millisecond)) // The first call is late and may be stuck.
	is.True(second != nil)
	down := fault.New(fault.Unavailable, "wait", "down")
	core.CommitDone(first, tabler.Result{}, down, now)
	core.CommitDone(second, tabler.Result{}, down, now)
	calls := 0
	for now = epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(time.Millisecond) {
		batch := core.Next(now)
		if batch == nil {
			continue
		}
		calls++
		is.Equal(core.Next(now), nil)
		core.CommitDone(batch, tabler.Result{}, down, now)
	}
	is.True(calls < 200) // The mean wait is half of MaxBackoff.
	wake, ok := core.Wake()
	is.True(ok)
	is.True(!wake.After(now.Add(claimer.DefaultLimits().MaxBackoff)))
	is.True(core.Next(wake) != nil)
}
