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

const mean = 200 * time.Millisecond

func id(name string) task.Process { return task.Process{Name: name, Incarnation: 1} }

// pool returns a balancer with minions of four slots each.
func pool(names ...string) *balancer.Balancer[balancer.Expected] {
	b := balancer.New(balancer.Expected{}, balancer.Options{
		Queue: balancer.DefaultQueue, Random: rand.New(rand.NewPCG(1, 1)),
	})
	for _, name := range names {
		info := balancer.Info{ID: id(name), Pools: []string{"desk"}, Expires: epoch.Add(time.Hour)}
		b.Announce(epoch, info, balancer.Load{Slots: 4})
	}
	return b
}

func choose(b *balancer.Balancer[balancer.Expected], now time.Time) (task.Process, bool) {
	work := balancer.Work{Mean: mean, Typical: mean}
	return b.Choose(now, "desk", 0, work, func(task.Process) bool { return true })
}

// answer lets a minion end one task, well or badly.
func answer(b *balancer.Balancer[balancer.Expected], now time.Time, name string, elapsed time.Duration, failed bool) {
	b.Sent(now, id(name), mean)
	b.Ended(now, id(name), balancer.Outcome{Answered: true, Failed: failed, Elapsed: elapsed, Mean: mean})
}

func TestMinionThatFailsAllIsEjectedAndComesBackOnOneTask(t *testing.T) {
	is := is.New(t)
	b := pool("bad", "good")
	for range 20 {
		answer(b, epoch, "bad", time.Millisecond, true)
		answer(b, epoch, "good", mean, false)
	}
	is.True(b.Ejected(epoch, id("bad")))
	for range 3 {
		chosen, ok := choose(b, epoch)
		is.True(ok)
		is.Equal(chosen, id("good"))
		b.Sent(epoch, chosen, mean)
	}
	later := epoch.Add(3 * time.Second)
	is.True(!b.Ejected(later, id("bad")))
	b.Sent(later, id("bad"), mean)
	for range 4 {
		chosen, ok := choose(b, later)
		is.True(!ok || chosen == id("good")) // one task at a time until it answers well
		b.Sent(later, id("good"), mean)
	}
}

func TestJobsThatFailEverywhereEjectNobody(t *testing.T) {
	is := is.New(t)
	b := pool("a", "b")
	for range 50 {
		answer(b, epoch, "a", time.Millisecond, true)
		answer(b, epoch, "b", time.Millisecond, true)
	}
	is.True(!b.Ejected(epoch, id("a")))
	is.True(!b.Ejected(epoch, id("b")))
	_, ok := choose(b, epoch.Add(time.Second))
	is.True(ok)
}

func TestSilentMinionGetsNothingNew(t *testing.T) {
	is := is.New(t)
	b := pool("silent", "good")
	b.Sent(epoch, id("silent"), mean)
	later := epoch.Add(5 * time.Second)
	for range 3 {
		chosen, _ := choose(b, later)
		is.Equal(chosen, id("good"))
		b.Sent(later, chosen, mean)
	}
}

func TestFasterMinionIsPreferredUntilItIsFull(t *testing.T) {
	is := is.New(t)
	b := pool("fast", "slow")
	for range 100 {
		answer(b, epoch, "fast", mean/2, false)
		answer(b, epoch, "slow", 2*mean, false)
	}
	for range 4 {
		chosen, _ := choose(b, epoch)
		is.Equal(chosen, id("fast"))
		b.Sent(epoch, chosen, mean)
	}
	chosen, ok := choose(b, epoch)
	is.True(ok)
	is.Equal(chosen, id("slow"))
}

func TestLeavingAndExpiredMinionsGetNothing(t *testing.T) {
	is := is.New(t)
	b := pool("leaving")
	b.Observe(epoch, id("leaving"), balancer.Load{Slots: 4, Leaving: true})
	_, ok := choose(b, epoch)
	is.True(!ok)
	_, ok = choose(pool("expired"), epoch.Add(2*time.Hour))
	is.True(!ok)
}
