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
func (zp *zonePair) submitAcrossPartition() (first, second *dispatcher.Answer) {
	first = zp.submit(zp.zones[0], "key", 20*time.Second)
	zp.partition()
	second = zp.submit(zp.zones[1], "key", 20*time.Second)
	return first, second
}

// TestPartitionedZonesStartTasksOnce submits a job in both zones of a
// partition. No task may start twice, neither during the partition nor after
// it, and both entries must give the same answer in the end.
func TestPartitionedZonesStartTasksOnce(t *testing.T) {
	for _, healsAfter := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 40 * time.Second} {
		t.Run(healsAfter.String(), func(t *testing.T) {
			is := is.New(t)
			zp := newZonePair()
			first, second := zp.submitAcrossPartition()
			is.Equal(len(zp.starts), 4) // Two slots at each agent.
			refused := zp.submit(zp.zones[1], "other", time.Second)
			zp.advance(time.Second) // No reachable agent has a free slot.
			is.Equal(refused.Outcome, task.NotRun)
			for range 10 {
				zp.answerCalls()
				zp.advance(healsAfter / 10)
			}
			zp.heal()
			for range 30 {
				zp.answerCalls()
				zp.advance(time.Second)
			}
			inZone0, inZone1 := zp.submit(zp.zones[0], "key", 10*time.Second), zp.submit(zp.zones[1], "key", 10*time.Second)
			for range 12 {
				zp.answerCalls()
				zp.advance(time.Second)
			}
			is.Equal(zp.repeatedStarts(), nil)
			for id := range zp.starts {
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
	zp := newZonePair()
	zp.fakeFences = true
	zp.submitAcrossPartition()
	for range 10 {
		zp.answerCalls()
		zp.advance(time.Second)
	}
	is.New(t).True(len(zp.repeatedStarts()) > 0)
}

// TestZoneCutOffForAnHour cuts zone 1 off from zone 0 and from the store.
func TestZoneCutOffForAnHour(t *testing.T) {
	is := is.New(t)
	zp := newZonePair()
	zp.storeUnreachable = true
	zp.partition()
	near := zp.submit(zp.zones[0], "key", 10*time.Second)
	far := zp.submit(zp.zones[1], "key", 10*time.Second)
	for range 60 {
		keyless := zp.submit(zp.zones[1], "", 10*time.Second)
		for range 12 {
			zp.answerCalls()
			zp.advance(5 * time.Second)
		}
		is.Equal(keyless.Outcome, task.Complete)
	}
	is.Equal(near.Outcome, task.Complete)
	is.Equal(far.Outcome, task.MayHaveRun)
	zp.heal()
	late := zp.submit(zp.zones[1], "new", 10*time.Second)
	zp.answerCalls()
	is.Equal(late.Outcome, task.Complete)
	inZone0, inZone1 := zp.submit(zp.zones[0], "key", 10*time.Second), zp.submit(zp.zones[1], "key", 10*time.Second)
	zp.advance(12 * time.Second)
	is.Equal(withoutTexts(inZone0), withoutTexts(inZone1))
	is.Equal(zp.repeatedStarts(), nil)
}
