package runner_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"agatevalve/common/task"
	"agatevalve/runner"
)

// BenchmarkTask handles one task from its start to the acknowledgement of its
// result. The time between tasks is chosen so that tasks expire at the rate at
// which they arrive, which keeps the number of remembered tasks constant. It
// also reports the memory per remembered task.
func BenchmarkTask(b *testing.B) {
	const remember = 100_000
	core := runner.New(runner.Options{
		Slots: 8, QueueLength: 2, Remember: remember, ResponseBytes: 1 << 20, ResultBytes: 32 << 20,
	})
	core.Step(epoch, runner.LinkOpened{Entry: firstEntry})
	lifetime := 10 * time.Second
	step := (lifetime + runner.ClockAllowance) / remember
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now, number := epoch, uint64(0)
	runTask := func() {
		number++
		now = now.Add(step + 1)
		var id task.ID
		binary.BigEndian.PutUint64(id.Job[:], number)
		core.Step(now, runner.StartReceived{From: firstEntry, Start: task.Start{Task: id, Attempt: 1, Deadline: now.Add(lifetime)}})
		core.Step(now, runner.MinionAnswered{Task: id, Attempt: 1, Response: task.Response{Status: 200}})
		core.Step(now, runner.Acknowledged{Task: id, Attempt: 1})
	}
	for range remember {
		runTask()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		runTask()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/remember, "B/remembered")
	runtime.KeepAlive(core)
}
