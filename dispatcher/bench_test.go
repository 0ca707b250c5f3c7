package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// BenchmarkJob measures keyed jobs from submission to reply, with as many
// agents as an entry of a large fleet has.
func BenchmarkJob(b *testing.B) {
	const agents, slots = 275, 8
	for _, tasks := range []int{1, 10, 100, 1300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			e := newTestEntry("one")
			for i := range agents {
				e.announce(fmt.Sprintf("agent-%d", i), slots)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.now = e.now.Add(time.Millisecond)
				s := e.submission(task.Key(fmt.Sprint(i)), tasks, false)
				s.Plan.Pool.QueueLimit = tasks
				e.runJob(b, s)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/start")
		})
	}
}

// runJob submits a job and simulates the store and the agents until it has a
// reply.
func (e *testEntry) runJob(b *testing.B, s dispatcher.Submission) {
	commands := e.step(dispatcher.Submitted{Submission: s})
	replies := 0
	for len(commands) > 0 {
		command := commands[0]
		commands = commands[1:]
		switch c := command.(type) {
		case dispatcher.WriteClaim:
			commands = append(commands, e.step(dispatcher.ClaimWon(c))...)
		case dispatcher.SendStart:
			commands = append(commands, e.step(finishedEvent(c))...)
		case dispatcher.Reply:
			replies++
			if c.Answer.Outcome != task.Complete {
				b.Fatalf("the job ended as %v: %s", c.Answer.Outcome, c.Answer.Reason)
			}
		}
	}
	if replies != 1 {
		b.Fatalf("got %d replies, want one", replies)
	}
}
