package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// withoutTexts returns an answer without its texts for the caller, which may
// differ between entries.
func withoutTexts(a *dispatcher.Answer) dispatcher.Answer {
	return dispatcher.Answer{Outcome: a.Outcome, Status: a.Status, Responses: a.Responses}
}

// submitAcrossPartition submits a keyed job in zone 0, partitions the zones
// while four of its six tasks run, and submits it again in zone 1.
func (s *zonePair) submitAcrossPartition() (first, second *dispatcher.Answer) {
	first = s.submit(s.zones[0], "key", 20*time.Second)
	s.partition()
	second = s.submit(s.zones[1], "key", 20*time.Second)
	return first, second
}

// TestPartitionedZonesStartTasksOnce submits a job in both zones of a
// partition. Before and after the partition heals, no task may start twice, and
// both entries must give the same answer in the end.
func TestPartitionedZonesStartTasksOnce(t *testing.T) {
	for _, healsAfter := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 40 * time.Second} {
		t.Run(healsAfter.String(), func(t *testing.T) {
			is := is.New(t)
			s := newZonePair()
			first, second := s.submitAcrossPartition()
			is.Equal(len(s.starts), 4) // Two slots at each agent.
			refused := s.submit(s.zones[1], "other", time.Second)
			s.advance(time.Second) // No reachable agent has a free slot.
			is.Equal(refused.Outcome, task.NotRun)
			for range 10 {
				s.answerCalls()
				s.advance(healsAfter / 10)
			}
			s.heal()
			for range 30 {
				s.answerCalls()
				s.advance(time.Second)
			}
			inZone0, inZone1 := s.submit(s.zones[0], "key", 10*time.Second), s.submit(s.zones[1], "key", 10*time.Second)
			for range 12 {
				s.answerCalls()
				s.advance(time.Second)
			}
			is.Equal(s.repeatedStarts(), nil)
			for id := range s.starts {
				is.True(id.Job != task.KeyedJobID("climbs", "other")) // The not-run answer was true.
			}
			for _, a := range []*dispatcher.Answer{first, second, inZone0, inZone1} {
				is.True(a.Outcome != 0)
				is.True(a.Outcome != task.NotRun) // Four tasks had started.
			}
			is.Equal(withoutTexts(inZone0), withoutTexts(inZone1))
		})
	}
}

// TestFakeFenceIsDetected shows that the check of repeated starts can fail.
func TestFakeFenceIsDetected(t *testing.T) {
	s := newZonePair()
	s.fakeFences = true
	s.submitAcrossPartition()
	for range 10 {
		s.answerCalls()
		s.advance(time.Second)
	}
	is.New(t).True(len(s.repeatedStarts()) > 0)
}

// TestZoneCutOffForAnHour cuts zone 1 off from zone 0 and from the store.
func TestZoneCutOffForAnHour(t *testing.T) {
	is := is.New(t)
	s := newZonePair()
	s.storeUnreachable = true
	s.partition()
	near := s.submit(s.zones[0], "key", 10*time.Second)
	far := s.submit(s.zones[1], "key", 10*time.Second)
	for range 60 {
		keyless := s.submit(s.zones[1], "", 10*time.Second)
		for range 12 {
			s.answerCalls()
			s.advance(5 * time.Second)
		}
		is.Equal(keyless.Outcome, task.Complete)
	}
	is.Equal(near.Outcome, task.Complete)
	is.Equal(far.Outcome, task.MayHaveRun)
	s.heal()
	late := s.submit(s.zones[1], "new", 10*time.Second)
	s.answerCalls()
	is.Equal(late.Outcome, task.Complete)
	inZone0, inZone1 := s.submit(s.zones[0], "key", 10*time.Second), s.submit(s.zones[1], "key", 10*time.Second)
	s.advance(12 * time.Second)
	is.Equal(withoutTexts(inZone0), withoutTexts(inZone1))
	is.Equal(s.repeatedStarts(), nil)
}
