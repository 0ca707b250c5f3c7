package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// meanTime is the mean service time of all tasks.
const meanTime = 200 * time.Millisecond

func id(name string) task.Process { return task.Process{Name: name, Incarnation: 1} }

// newBalancer returns a balancer with one pool of minions, with four slots
// each.
func newBalancer(names ...string) *balancer.Balancer[balancer.ShortestExpectedDelay] {
	b := balancer.New(balancer.ShortestExpectedDelay{}, balancer.Options{
		QueueLimit: balancer.DefaultQueueLimit, Random: rand.New(rand.NewPCG(1, 1)),
	})
	for _, name := range names {
		info := balancer.Info{ID: id(name), Pools: []string{"desk"}, Expires: epoch.Add(time.Hour)}
		b.Announce(epoch, info, balancer.Load{Slots: 4})
	}
	return b
}

// choose chooses a minion for a task that has not waited.
func choose(b *balancer.Balancer[balancer.ShortestExpectedDelay], now time.Time) (task.Process, bool) {
	work := balancer.Work{Mean: meanTime, HarmonicMean: meanTime}
	return b.Choose(now, "desk", 0, work, func(task.Process) bool { return true })
}

// endTask sends one task to a minion and records its answer.
func endTask(b *balancer.Balancer[balancer.ShortestExpectedDelay], now time.Time, name string, elapsed time.Duration, failed bool) {
	b.RecordSent(now, id(name), meanTime)
	b.RecordEnd(now, id(name), balancer.Outcome{Answered: true, Failed: failed, Elapsed: elapsed, Mean: meanTime})
}

func TestFailingMinionIsEjectedAndReadmittedOnProbation(t *testing.T) {
	is := is.New(t)
	b := newBalancer("bad", "good")
	for range 20 {
		endTask(b, epoch, "bad", time.Millisecond, true)
		endTask(b, epoch, "good", meanTime, false)
	}
	is.True(b.Ejected(epoch, id("bad")))
	for range 3 {
		chosen, ok := choose(b, epoch)
		is.True(ok)
		is.Equal(chosen, id("good"))
		b.RecordSent(epoch, chosen, meanTime)
	}
	later := epoch.Add(3 * time.Second)
	is.True(!b.Ejected(later, id("bad")))
	b.RecordSent(later, id("bad"), meanTime)
	for range 4 {
		chosen, ok := choose(b, later)
		is.True(!ok || chosen == id("good")) // one task at a time until it succeeds
		b.RecordSent(later, id("good"), meanTime)
	}
}

func TestFailuresAtAllMinionsEjectNone(t *testing.T) {
	is := is.New(t)
	b := newBalancer("a", "b")
	for range 50 {
		endTask(b, epoch, "a", time.Millisecond, true)
		endTask(b, epoch, "b", time.Millisecond, true)
	}
	is.True(!b.Ejected(epoch, id("a")))
	is.True(!b.Ejected(epoch, id("b")))
	_, ok := choose(b, epoch.Add(time.Second))
	is.True(ok)
}

func TestStalledMinionGetsNoNewTasks(t *testing.T) {
	is := is.New(t)
	b := newBalancer("silent", "good")
	b.RecordSent(epoch, id("silent"), meanTime)
	later := epoch.Add(5 * time.Second)
	for range 3 {
		chosen, _ := choose(b, later)
		is.Equal(chosen, id("good"))
		b.RecordSent(later, chosen, meanTime)
	}
}

func TestFasterMinionIsPreferredUntilItIsFull(t *testing.T) {
	is := is.New(t)
	b := newBalancer("fast", "slow")
	for range 100 {
		endTask(b, epoch, "fast", meanTime/2, false)
		endTask(b, epoch, "slow", 2*meanTime, false)
	}
	for range 4 {
		chosen, _ := choose(b, epoch)
		is.Equal(chosen, id("fast"))
		b.RecordSent(epoch, chosen, meanTime)
	}
	chosen, ok := choose(b, epoch)
	is.True(ok)
	is.Equal(chosen, id("slow"))
}

func TestLeavingAndExpiredMinionsGetNoTasks(t *testing.T) {
	is := is.New(t)
	b := newBalancer("leaving")
	b.UpdateLoad(epoch, id("leaving"), balancer.Load{Slots: 4, Leaving: true})
	_, ok := choose(b, epoch)
	is.True(!ok)
	_, ok = choose(newBalancer("expired"), epoch.Add(2*time.Hour))
	is.True(!ok)
}
