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

// call is a batch that an entry has sent to the table.
type call struct {
	entry int
	batch *claimer.Batch
	// applied is the result of a commit that has reached the table, whether it
	// was applied or not; nil before.
	applied *tabler.Result
	// answered is true once the entry got a reply or an error. A commit that
	// hasn't reached the table by then may still do so.
	answered bool
}

// simulation runs the cores of several entries on one table, with random
// delays, losses and errors.
type simulation struct {
	*oracle
	now   time.Time
	cores []*claimer.Core
	calls []*call
	// token is the last token that was used.
	token uint64
	// seenClaims holds the claims in the events of all entries, as candidates
	// for takeover.
	seenClaims []dispatcher.Claim
	// coverage counts the kinds of events that occurred, so that a test can
	// check that it covered them.
	coverage map[string]int
}

func newSimulation() *simulation {
	s := &simulation{oracle: newOracle(), now: epoch, coverage: map[string]int{}}
	for i := range entries {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		s.cores = append(s.cores, claimer.NewCore(smallLimits(), random))
	}
	return s
}

// deadline draws a deadline, which may have passed already.
func (s *simulation) deadline(t *rapid.T) time.Time {
	within := rapid.IntRange(-1, 3000).Draw(t, "within")
	return s.now.Add(time.Duration(within) * time.Millisecond)
}

// insert gives an entry a claim for a job.
func (s *simulation) insert(t *rapid.T) {
	s.token++
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	job := rapid.IntRange(0, jobs-1).Draw(t, "job")
	claim := claimOf(entry, job, s.token, s.deadline(t))
	s.recordCommand(claim)
	s.handleEvents(entry, s.cores[entry].Insert(dispatcher.WriteClaim{Claim: claim}, s.now))
}

// take gives an entry a takeover of a claim that some entry has seen.
func (s *simulation) take(t *rapid.T) {
	if len(s.seenClaims) == 0 {
		t.Skip("no claim was seen yet")
	}
	s.token++
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	old := rapid.SampledFrom(s.seenClaims).Draw(t, "old")
	command := takeoverOf(old, entry, s.token, s.deadline(t))
	s.replaces[s.token] = old.Token
	s.recordCommand(command.Claim)
	s.handleEvents(entry, s.cores[entry].Replace(command, s.now))
}

// send takes the next batch of each entry, if any.
func (s *simulation) send(t *rapid.T) {
	sent := len(s.calls)
	for entry, core := range s.cores {
		if batch := core.Next(s.now); batch != nil {
			s.calls = append(s.calls, &call{entry: entry, batch: batch})
		}
	}
	if sent == len(s.calls) {
		t.Skip("nothing to send")
	}
}

// apply lets a commit reach the table, without answering it.
func (s *simulation) apply(t *rapid.T) {
	c := s.pickCall(t, func(c *call) bool { return c.applied == nil && len(c.batch.Keys) == 0 })
	result := s.commit(c.batch.Writes)
	c.applied = &result
	switch {
	case c.answered && result.Applied:
		s.coverage["late write applied"]++
	case c.answered:
		s.coverage["late write refused"]++
	}
}

// answer draws a call and completes it.
func (s *simulation) answer(t *rapid.T) {
	s.complete(s.pickCall(t, isUnanswered))
}

// complete answers a call, after applying it to the table if that hasn't
// happened yet.
func (s *simulation) complete(c *call) {
	c.answered = true
	core := s.cores[c.entry]
	if len(c.batch.Keys) > 0 {
		s.handleEvents(c.entry, core.ReadDone(c.batch, s.read(c.batch.Keys), nil, s.now))
		return
	}
	if c.applied == nil {
		result := s.commit(c.batch.Writes)
		c.applied = &result
	}
	s.handleEvents(c.entry, core.CommitDone(c.batch, *c.applied, nil, s.now))
}

// lose ends a call with an uncertain outcome; its commit may still reach the
// table later.
func (s *simulation) lose(t *rapid.T) {
	c := s.pickCall(t, isUnanswered)
	c.answered = true
	err := fault.New(fault.Uncertain, "read", "the reply was lost")
	s.fail(c, err)
}

// refuse ends a call with an error that proves that it wasn't applied.
func (s *simulation) refuse(t *rapid.T) {
	c := s.pickCall(t, func(c *call) bool { return !c.answered && c.applied == nil })
	kind := rapid.SampledFrom([]fault.Kind{fault.Unavailable, fault.TooLarge}).Draw(t, "kind")
	c.answered = true
	c.applied = &tabler.Result{}
	s.fail(c, fault.New(kind, "wait", "refused"))
}

// fail answers a call with an error.
func (s *simulation) fail(c *call, err error) {
	core := s.cores[c.entry]
	if len(c.batch.Keys) > 0 {
		s.handleEvents(c.entry, core.ReadDone(c.batch, nil, err, s.now))
		return
	}
	s.handleEvents(c.entry, core.CommitDone(c.batch, tabler.Result{}, err, s.now))
}

// advance moves the clock on.
func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
}

// expire lets an entry fail its claims whose deadline has passed.
func (s *simulation) expire(t *rapid.T) {
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	s.handleEvents(entry, s.cores[entry].Expire(s.now))
}

func isUnanswered(c *call) bool { return !c.answered }

// pickCall draws one of the calls that match; it skips the action if there is
// none.
func (s *simulation) pickCall(t *rapid.T, matches func(*call) bool) *call {
	var matching []*call
	for _, c := range s.calls {
		if matches(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		t.Skip("no call matches")
	}
	return rapid.SampledFrom(matching).Draw(t, "call")
}

// handleEvents checks the events of an entry and records what they cover.
func (s *simulation) handleEvents(entry int, events []dispatcher.Event) {
	owner := claimOf(entry, 0, 0, epoch).Owner
	for _, e := range events {
		s.checkEvent(owner, e, s.now)
		switch e := e.(type) {
		case dispatcher.ClaimWon:
			s.seenClaims = append(s.seenClaims, e.Claim)
			s.coverage["won"]++
			if e.Claim.Generation > 1 {
				s.coverage["won by takeover"]++
			}
		case dispatcher.ClaimHeld:
			s.seenClaims = append(s.seenClaims, e.Claim)
			s.coverage["held"]++
		case dispatcher.ClaimFailed:
			s.coverage["failed"]++
		}
	}
}

// completeAll answers all calls until every claim has ended.
func (s *simulation) completeAll() {
	for range 10_000 {
		for _, c := range s.calls {
			if !c.answered {
				s.complete(c)
			}
		}
		for i, core := range s.cores {
			s.handleEvents(i, core.Expire(s.now))
			if batch := core.Next(s.now); batch != nil {
				s.calls = append(s.calls, &call{entry: i, batch: batch})
			}
		}
		if len(s.outstanding) == 0 {
			return
		}
		s.now = s.now.Add(time.Millisecond)
	}
	s.addViolation("%d claims never ended", len(s.outstanding))
}

// check fails the test if the oracle has found violations.
func (s *simulation) check(t *rapid.T) {
	if len(s.violations) > 0 {
		t.Fatal(s.violations)
	}
}

// TestFuzzClaims runs random sequences of commands, calls and faults, and checks
// each event with the oracle. It fails if a kind of event never occurred.
func TestFuzzClaims(t *testing.T) {
	coverage := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.coverage = coverage
		t.Repeat(map[string]func(*rapid.T){
			"insert": s.insert, "take": s.take, "send": s.send, "send-again": s.send, "apply": s.apply,
			"answer": s.answer, "lose": s.lose, "refuse": s.refuse, "advance": s.advance, "expire": s.expire,
			"": s.check,
		})
		s.completeAll()
		s.check(t)
	})
	t.Log("reached:", coverage)
	for _, event := range []string{"won", "won by takeover", "held", "failed", "late write applied", "late write refused"} {
		if coverage[event] == 0 {
			t.Errorf("never occurred: %s", event)
		}
	}
}

// TestOracleDetectsIgnoredVersions checks the oracle itself: it must report two
// winners if the table ignores the expected versions.
func TestOracleDetectsIgnoredVersions(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	s.ignoreVersions = true
	for entry := range 2 {
		claim := claimOf(entry, 0, uint64(entry+1), epoch.Add(time.Second))
		s.recordCommand(claim)
		s.handleEvents(entry, s.cores[entry].Insert(dispatcher.WriteClaim{Claim: claim}, s.now))
	}
	s.completeAll()
	is.Equal(s.violations, []string{"tokens 1 and 2 won the same generation"})
}

func TestConflictEndsOnlyItsClaim(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	deadline := epoch.Add(time.Second)
	held := claimOf(1, 0, 1, deadline)
	s.recordCommand(held)
	s.handleEvents(1, s.cores[1].Insert(dispatcher.WriteClaim{Claim: held}, s.now))
	s.completeAll()

	core := s.cores[0]
	for job := range 3 {
		core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(10+job), deadline)}, s.now)
	}
	batch := core.Next(s.now)
	is.Equal(len(batch.Writes), 4) // Three claims and their index row.
	events := core.CommitDone(batch, s.commit(batch.Writes), nil, s.now)
	is.Equal(events, []dispatcher.Event{dispatcher.ClaimHeld{Claim: held}})
	batch = core.Next(s.now) // Without a cooldown.
	is.Equal(len(batch.Writes), 3)
	events = core.CommitDone(batch, s.commit(batch.Writes), nil, s.now)
	is.Equal(len(events), 2)
}

func TestFailureReasonStatesUncertainty(t *testing.T) {
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
			core := newSimulation().cores[0]
			claim := claimOf(0, 0, 1, epoch.Add(time.Second))
			core.Insert(dispatcher.WriteClaim{Claim: claim}, epoch)
			batch := core.Next(epoch)
			core.CommitDone(batch, tabler.Result{}, fault.New(tt.kind, "wait", "no reply"), epoch)
			is.Equal(core.Expire(epoch.Add(999*time.Millisecond)), nil)
			is.Equal(core.Expire(claim.Deadline), []dispatcher.Event{dispatcher.ClaimFailed{Job: claim.Job, Reason: tt.reason}})
		})
	}
}

func TestQueueStaysBoundedDuringOutage(t *testing.T) {
	is := is.New(t)
	core := newSimulation().cores[0]
	now := epoch
	core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 0, 0, now.Add(time.Hour))}, now)
	core.CommitDone(core.Next(now), tabler.Result{}, fault.New(fault.Unavailable, "wait", "down"), now)
	for job := range 10_000 {
		deadline := now.Add(time.Microsecond)
		core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job+1, uint64(job), deadline)}, now)
		core.Expire(deadline)
	}
	is.Equal(core.PendingClaims(), 1)
	is.True(core.Queued() < 100)
}

func TestOneCallInFlightDuringOutage(t *testing.T) {
	is := is.New(t)
	core := newSimulation().cores[0]
	now := epoch
	for job := range 6 {
		core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, uint64(job), epoch.Add(time.Hour))}, now)
	}
	full := core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 6, 6, epoch.Add(time.Hour))}, now)
	is.Equal(full, []dispatcher.Event{dispatcher.ClaimFailed{Job: claimOf(0, 6, 6, epoch).Job, Reason: "too many claims wait for the store"}})
	first := core.Next(now)
	is.Equal(core.Next(now), nil)
	second := core.Next(now.Add(250 * time.Millisecond)) // The first call is overdue.
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
	is.True(calls < 200) // The mean backoff is half of MaxBackoff.
	wake, ok := core.WakeTime()
	is.True(ok)
	is.True(!wake.After(now.Add(claimer.DefaultLimits().MaxBackoff)))
	is.True(core.Next(wake) != nil)
}
