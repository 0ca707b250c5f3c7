package supervisor_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// oddInt draws ordinary values and those of a malformed message.
func oddInt() *rapid.Generator[int64] {
	return rapid.OneOf(rapid.Int64Range(-2, 20_000), rapid.SampledFrom([]int64{math.MinInt64, math.MaxInt64, -1, 0}))
}

func oddRun() *rapid.Generator[work.Run] {
	return rapid.Custom(func(t *rapid.T) work.Run {
		return work.Run{Task: work.Task{Job: fmt.Sprint("job-", rapid.IntRange(0, 3).Draw(t, "job")), Index: rapid.IntRange(-1, 2).Draw(t, "index")}, Number: rapid.IntRange(-1, 2).Draw(t, "number")}
	})
}

func oddOrder(now time.Time) *rapid.Generator[work.Order] {
	return rapid.Custom(func(t *rapid.T) work.Order {
		return work.Order{
			Run: oddRun().Draw(t, "run"), Room: work.Room{CPU: oddInt().Draw(t, "cpu"), Memory: oddInt().Draw(t, "memory")}, MaxPerMinion: int(oddInt().Draw(t, "most")),
			Priority: int(oddInt().Draw(t, "priority")), StartBefore: now.Add(time.Duration(oddInt().Draw(t, "start"))), EndBefore: now.Add(time.Duration(oddInt().Draw(t, "end"))),
			Work: time.Duration(oddInt().Draw(t, "work")),
		}
	})
}

// drawEvent draws an event that a malformed frame or answer may lead to.
func drawEvent(t *rapid.T, now time.Time) supervisor.Event {
	name, link := fmt.Sprint("entry-", rapid.IntRange(0, 2).Draw(t, "entry")), rapid.Uint64Range(0, 3).Draw(t, "link")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return supervisor.LinkOpened{Entry: name, Link: link}
	case 1:
		return supervisor.FrameReceived{
			Entry: name, Link: link, Acked: uint64(oddInt().Draw(t, "acked")), Orders: rapid.SliceOfN(oddOrder(now), 0, 3).Draw(t, "orders"),
			Stops: rapid.SliceOfN(oddRun(), 0, 2).Draw(t, "stops"),
		}
	case 2:
		m := minion(uint64(rapid.IntRange(0, 2).Draw(t, "incarnation")))
		m.Room.CPU, m.Draining = oddInt().Draw(t, "room"), rapid.Bool().Draw(t, "draining")
		return supervisor.MinionDescribed{Minion: m}
	case 3:
		return supervisor.StartAnswered{
			Run: oddRun().Draw(t, "run"), Incarnation: uint64(rapid.IntRange(0, 2).Draw(t, "incarnation")),
			Answer: supervisor.StartAnswer(rapid.IntRange(0, 12).Draw(t, "answer")), Clock: time.Duration(oddInt().Draw(t, "clock")),
		}
	case 4:
		return supervisor.StopAnswered{
			Run: oddRun().Draw(t, "run"), Incarnation: uint64(rapid.IntRange(0, 2).Draw(t, "incarnation")),
			Answered: rapid.Bool().Draw(t, "answered"), Clock: time.Duration(oddInt().Draw(t, "clock")),
		}
	case 5:
		return supervisor.LinkRetiring{Entry: name, Link: link, Retiring: rapid.Bool().Draw(t, "retiring")}
	}
	return supervisor.RunsListed{
		Incarnation: uint64(rapid.IntRange(0, 2).Draw(t, "incarnation")), RequestedAt: now, Clock: time.Duration(oddInt().Draw(t, "clock")),
		Running: []supervisor.ListedRun{{Run: oddRun().Draw(t, "run"), Percent: int(oddInt().Draw(t, "percent"))}},
		Ended:   []supervisor.ListedEnd{{Number: uint64(oddInt().Draw(t, "end")), Run: oddRun().Draw(t, "ended"), State: work.State(rapid.IntRange(0, 9).Draw(t, "state"))}},
	}
}

// No message of an entry or answer of the minion, however malformed, may end the
// process.
func TestMalformedMessagesDontEndTheCore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := supervisor.New(supervisor.Options{})
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			core.Step(now, []supervisor.Event{drawEvent(t, now), drawEvent(t, now)})
			core.HasTimers()
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "elapsed")) * time.Millisecond)
		}
	})
}
