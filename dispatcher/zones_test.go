package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// known returns what an answer tells of the job. The sentences for the caller
// may tell what each entry went through.
func known(a *dispatcher.Answer) dispatcher.Answer {
	return dispatcher.Answer{Outcome: a.Outcome, Status: a.Status, Responses: a.Responses}
}

// parted submits a keyed job in zone 0, cuts the zones while four of its six
// tasks run, and submits it again in zone 1.
func (s *span) parted() (first, second *dispatcher.Answer) {
	first = s.submit(s.zones[0], "key", 20*time.Second)
	s.part()
	second = s.submit(s.zones[1], "key", 20*time.Second)
	return first, second
}

func TestZonesCutOffStartTasksOnce(t *testing.T) {
	for _, heals := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 40 * time.Second} {
		t.Run(heals.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSpan()
			first, second := s.parted()
			is.Equal(len(s.starts), 4) // Two slots at each agent.
			refused := s.submit(s.zones[1], "other", time.Second)
			s.advance(time.Second) // No agent in reach has a slot.
			is.Equal(refused.Outcome, task.NotRun)
			for range 10 {
				s.answer()
				s.advance(heals / 10)
			}
			s.heal()
			for range 30 {
				s.answer()
				s.advance(time.Second)
			}
			one, other := s.submit(s.zones[0], "key", 10*time.Second), s.submit(s.zones[1], "key", 10*time.Second)
			for range 12 {
				s.answer()
				s.advance(time.Second)
			}
			is.Equal(s.startedOnce(), nil)
			for id := range s.starts {
				is.True(id.Job != task.KeyedJobID("climbs", "other")) // Not run is true.
			}
			for _, a := range []*dispatcher.Answer{first, second, one, other} {
				is.True(a.Outcome != 0)
				is.True(a.Outcome != task.NotRun) // Four tasks had started.
			}
			is.Equal(known(one), known(other))
		})
	}
}

// TestZonesCatchAFalseFence shows that the check above can fail.
func TestZonesCatchAFalseFence(t *testing.T) {
	s := newSpan()
	s.liar = true
	s.parted()
	for range 10 {
		s.answer()
		s.advance(time.Second)
	}
	is.New(t).True(len(s.startedOnce()) > 0)
}

// TestRegionCutOffForAnHour cuts zone 1 off from zone 0 and from the store.
func TestRegionCutOffForAnHour(t *testing.T) {
	is := is.New(t)
	s := newSpan()
	s.storeCut = true
	s.part()
	near := s.submit(s.zones[0], "key", 10*time.Second)
	far := s.submit(s.zones[1], "key", 10*time.Second)
	for range 60 {
		keyless := s.submit(s.zones[1], "", 10*time.Second)
		for range 12 {
			s.answer()
			s.advance(5 * time.Second)
		}
		is.Equal(keyless.Outcome, task.Complete)
	}
	is.Equal(near.Outcome, task.Complete)
	is.Equal(far.Outcome, task.MayHaveRun)
	s.heal()
	late := s.submit(s.zones[1], "new", 10*time.Second)
	s.answer()
	is.Equal(late.Outcome, task.Complete)
	one, other := s.submit(s.zones[0], "key", 10*time.Second), s.submit(s.zones[1], "key", 10*time.Second)
	s.advance(12 * time.Second)
	is.Equal(known(one), known(other))
	is.Equal(s.startedOnce(), nil)
}
