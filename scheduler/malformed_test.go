package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// oddInt draws ordinary values and those of a malformed message.
func oddInt() *rapid.Generator[int64] {
	return rapid.OneOf(rapid.Int64Range(-2, 20_000), rapid.SampledFrom([]int64{math.MinInt64, math.MaxInt64, -1, 0}))
}

func oddRoom() *rapid.Generator[work.Room] {
	return rapid.Custom(func(t *rapid.T) work.Room {
		return work.Room{CPU: oddInt().Draw(t, "cpu"), Memory: oddInt().Draw(t, "memory"), Accelerators: oddInt().Draw(t, "accelerators")}
	})
}

func oddLoad() *rapid.Generator[work.Load] {
	return rapid.Custom(func(t *rapid.T) work.Load {
		return work.Load{
			Running: oddRoom().Draw(t, "running"), Queued: oddRoom().Draw(t, "queued"), QueuedWork: time.Duration(oddInt().Draw(t, "work")),
			LeastUrgent: int(oddInt().Draw(t, "urgent")),
			Slowness:    rapid.SampledFrom([]float64{0, 1, -1, 700, -700, math.NaN(), math.Inf(1), math.Inf(-1)}).Draw(t, "slowness"),
		}
	})
}

func oddReports() *rapid.Generator[[]work.Report] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) work.Report {
		return work.Report{
			Run:   work.Run{Task: work.Task{Job: fmt.Sprint("job-", rapid.IntRange(0, 5).Draw(t, "job")), Index: rapid.IntRange(-1, 3).Draw(t, "index")}, Number: rapid.IntRange(-1, 3).Draw(t, "number")},
			State: work.State(rapid.IntRange(0, 9).Draw(t, "state")), Took: time.Duration(oddInt().Draw(t, "took")), Remaining: time.Duration(oddInt().Draw(t, "remaining")),
			Reliable: rapid.Bool().Draw(t, "reliable"), Reason: work.Reason(rapid.SampledFrom([]string{"", "old", "late", "busy", "odd", "crashed", "survived"}).Draw(t, "reason")), Number: uint64(oddInt().Draw(t, "report")),
		}
	}), 0, 4)
}

func oddCrashes(now time.Time) *rapid.Generator[[]work.Crash] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) work.Crash {
		crash := work.Crash{Minion: fmt.Sprint("m-", rapid.IntRange(0, 3).Draw(t, "crashed")), Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"), At: now.Add(time.Duration(oddInt().Draw(t, "at")))}
		for _, r := range oddReports().Draw(t, "at risk") {
			crash.Runs = append(crash.Runs, work.CrashedRun{Run: r.Run, Route: "r", Age: r.Took, OnProbation: r.Reliable})
		}
		return crash
	}), 0, 3)
}

// drawEvent draws an event that a malformed frame or submission may lead to.
func drawEvent(t *rapid.T, now time.Time) scheduler.Event {
	id := agent(rapid.IntRange(0, 3).Draw(t, "agent"))
	link := rapid.Uint64Range(0, 5).Draw(t, "link")
	m := minion(rapid.IntRange(0, 3).Draw(t, "minion"))
	if rapid.Bool().Draw(t, "odd room") {
		m.Room = oddRoom().Draw(t, "room")
	}
	load := oddLoad().Draw(t, "load")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return scheduler.LinkOpened{Agent: id, Link: link, Reports: oddReports().Draw(t, "reports"), Minion: m, Usable: rapid.Bool().Draw(t, "usable"), Load: load, Crashes: oddCrashes(now).Draw(t, "crashes")}
	case 1:
		return scheduler.Reported{Agent: id, Link: link, Reports: oddReports().Draw(t, "reports"), Load: &load, OrdersTaken: uint64(oddInt().Draw(t, "taken")), Minion: &m, Usable: true, Crashes: oddCrashes(now).Draw(t, "crashes")}
	case 2:
		return scheduler.LinkClosed{Agent: id, Link: link}
	case 3:
		return scheduler.Cancelled{Job: fmt.Sprint("job-", rapid.IntRange(0, 5).Draw(t, "job"))}
	}
	return scheduler.Submitted{Ticket: 1, Job: work.Job{
		ID: fmt.Sprint("job-", rapid.IntRange(0, 5).Draw(t, "job")), Route: "r", Service: "desk", Count: rapid.IntRange(1, 3).Draw(t, "count"), Room: oddRoom().Draw(t, "room"),
		Hint: time.Duration(oddInt().Draw(t, "hint")), Attempts: rapid.IntRange(0, 3).Draw(t, "attempts"), Priority: int(oddInt().Draw(t, "priority")),
		Stretch: 1.6, Arrived: now, Deadline: now.Add(time.Duration(rapid.Int64Range(-5, 3000).Draw(t, "deadline")) * time.Millisecond),
	}}
}

// No message of an agent or caller, however malformed, may end the process.
func TestMalformedMessagesDontEndTheCore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := scheduler.New(scheduler.Options{Random: rand.New(rand.NewPCG(1, 1))})
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			core.Step(now, []scheduler.Event{drawEvent(t, now), drawEvent(t, now)})
			core.NextStep(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond)
		}
	})
}
