package surveyor

import (
	"context"
	"fmt"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/queuer"
	"agatevalve/router"
	"agatevalve/runner"
)

const (
	// jobTasks is the number of tasks per job in most measurements.
	jobTasks = 10
	// startsPerPoint is the number of starts that a point averages over.
	startsPerPoint = 4000
)

// coreDriver runs jobs through the core of an entry, without goroutines or
// network. It simulates the agents and the claims.
type coreDriver struct {
	core *dispatcher.Core
	now  time.Time
	jobs int
}

// newCoreDriver returns a driver whose core has that many idle agents.
func newCoreDriver(agents, slots int) *coreDriver {
	d := &coreDriver{core: newCore(), now: time.Now()}
	for i := range agents {
		a := newAnnouncement(i)
		a.Load.Slots, a.Load.Running = slots, 0
		a.Expires = d.now.Add(farFuture)
		d.core.Step(d.now, dispatcher.Announced{Announcement: a})
	}
	return d
}

func (d *coreDriver) submission(tasks int, keyed bool) dispatcher.Submission {
	d.jobs++
	s := dispatcher.Submission{
		Ticket:   dispatcher.Ticket(d.jobs),
		Team:     "climbs",
		Job:      task.KeyedJobID("climbs", task.Key(fmt.Sprint(d.jobs))),
		Deadline: d.now.Add(farFuture),
		Plan: router.Plan{
			Route: router.Route{Name: "holds", Pool: poolName},
			Pool:  router.Pool{Name: poolName},
		},
	}
	if keyed {
		s.Key = task.Key(fmt.Sprint(d.jobs))
	}
	for range tasks {
		s.Tasks = append(s.Tasks, newRequest())
	}
	return s
}

// runJob submits one job and executes the core's commands until none is pending.
// It returns an error if the job wasn't answered completely.
func (d *coreDriver) runJob(s dispatcher.Submission) error {
	d.now = d.now.Add(time.Millisecond)
	pending := append([]dispatcher.Command{}, d.core.Step(d.now, dispatcher.Submitted{Submission: s})...)
	replied := false
	for len(pending) > 0 {
		command := pending[0]
		pending = pending[1:]
		switch c := command.(type) {
		case dispatcher.WriteClaim:
			pending = append(pending, d.core.Step(d.now, dispatcher.ClaimWon(c))...)
		case dispatcher.SendStart:
			pending = append(pending, d.acceptAndFinish(c)...)
		case dispatcher.Reply:
			replied = c.Answer.Outcome == task.Complete
		}
	}
	if !replied {
		return fault.New(fault.Internal, "report this", "a job of %d tasks got no whole answer", len(s.Tasks))
	}
	return nil
}

// acceptAndFinish simulates an agent that accepts and finishes a start, and
// reports its load.
func (d *coreDriver) acceptAndFinish(c dispatcher.SendStart) []dispatcher.Command {
	agent := c.Agent.Process
	load := dispatcher.LoadReported{Agent: agent, Load: dispatcher.Load{Slots: slots}}
	d.core.Step(d.now, dispatcher.Accepted{Agent: agent, Task: c.Start.Task, Attempt: c.Start.Attempt})
	var commands []dispatcher.Command
	commands = append(commands, d.core.Step(d.now, dispatcher.Ended{Agent: agent, Report: task.Report{
		Task: c.Start.Task, Attempt: c.Start.Attempt, State: task.Finished,
		Response: task.Response{Status: 200, Body: responseBody},
	}})...)
	return append(commands, d.core.Step(d.now, load)...)
}

// coreStarts measures the processor time of an entry's core as a function of the
// number of agents that it chooses from.
func (s *survey) coreStarts(context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "core-start-time", Unit: unitMicroseconds, SizeUnit: "agent of the pool",
			Method: fmt.Sprintf("processor time of the entry's core per start of keyless jobs of %d tasks, from submission to reply, with every frame carrying a load", jobTasks),
		},
		{
			Name: "core-claimed-start-time", Unit: unitMicroseconds, SizeUnit: "agent of the pool",
			Method: fmt.Sprintf("as core-start-time for keyed jobs of %d tasks, whose claims name the agents", jobTasks),
		},
	}
	return collect(slopes, s.scaleSizes(25, 100, 275, 550), func(n int) ([]float64, error) {
		var costs []float64
		for _, keyed := range []bool{false, true} {
			d := newCoreDriver(n, slots)
			cpuTime, err := measureProcessorTime(func() error {
				for range startsPerPoint / jobTasks {
					if err := d.runJob(d.submission(jobTasks, keyed)); err != nil {
						return err
					}
				}
				return nil
			})
			if err != nil {
				return nil, err
			}
			costs = append(costs, cpuTime/startsPerPoint)
		}
		return costs, nil
	})
}

// newRunner returns the core of an agent that remembers tasks and keeps results
// without effective limits.
func newRunner() *runner.Core {
	const unlimited = 1 << 30
	return runner.New(runner.Options{
		Slots: agentSlots, QueueLength: 2, Remember: unlimited, ResponseBytes: 1 << 20, ResultBytes: unlimited,
	})
}

// runTask runs one start through the core of an agent, from its arrival to the
// minion's response and, if acknowledge is set, to the acknowledgement.
func runTask(core *runner.Core, now time.Time, start task.Start, acknowledge bool) {
	core.Step(now, runner.StartReceived{From: entryProcess, Start: start})
	core.Step(now, runner.MinionAnswered{
		Task: start.Task, Attempt: start.Attempt, Response: task.Response{Status: 200, Body: responseBody},
	})
	if acknowledge {
		core.Step(now, runner.Acknowledged{Task: start.Task, Attempt: start.Attempt})
	}
}

// agentStarts measures the processor time and the memory of an agent's core.
func (s *survey) agentStarts(context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "agent-start-time", Unit: unitMicroseconds, SizeUnit: "start",
			Method: "processor time of the agent's core, from arrival to acknowledgement",
		},
		{
			Name: "remembered-task-memory", Unit: unitBytes, SizeUnit: "remembered task",
			Method: fmt.Sprintf("live heap of the agent's core after the acknowledgement, for jobs with %d tasks here", jobTasks),
		},
	}
	return collect(slopes, s.scaleSizes(4000, 8000, 16000, 32000), func(n int) ([]float64, error) {
		var cpuTime float64
		bytes, err := measureMemory(func() (*runner.Core, error) {
			core := newRunner()
			var err error
			cpuTime, err = measureProcessorTime(func() error { runTasks(core, n, true); return nil })
			return core, err
		})
		return []float64{cpuTime, bytes}, err
	})
}

// runTasks runs n tasks in jobs of jobTasks through the core of an agent.
func runTasks(core *runner.Core, n int, acknowledge bool) {
	now := time.Now()
	for i := range n {
		runTask(core, now, newStart(i/jobTasks, i%jobTasks, now.Add(farFuture)), acknowledge)
	}
}

// tasks measures the memory of waiting tasks, of kept answers, and of results
// that are not acknowledged.
func (s *survey) tasks(context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "waiting-task-memory", Unit: unitBytes, SizeUnit: "waiting task",
			Method: fmt.Sprintf("live heap of the entry's core for keyless jobs of %d tasks that find no free slot; requests share one body of %d bytes", jobTasks, len(requestBody)),
		},
		{
			Name: "kept-answer-memory", Unit: unitBytes, SizeUnit: "kept job",
			Method: fmt.Sprintf("live heap of the entry's core for ended keyed jobs of %d tasks; responses share one body of %d bytes", jobTasks, len(responseBody)),
		},
		{
			Name: "kept-result-memory", Unit: unitBytes, SizeUnit: "unacknowledged result",
			Method: "live heap of the agent's core before the acknowledgement, the remembered task included",
		},
	}
	return collect(slopes, s.scaleSizes(1000, 2000, 4000, 8000), func(n int) ([]float64, error) {
		waiting, err := measureMemory(func() (*coreDriver, error) { return newDriverWithWaitingTasks(n), nil })
		if err != nil {
			return nil, err
		}
		kept, err := measureMemory(func() (*coreDriver, error) { return newDriverWithKeptAnswers(n) })
		if err != nil {
			return nil, err
		}
		results, err := measureMemory(func() (*runner.Core, error) {
			core := newRunner()
			runTasks(core, n, false)
			return core, nil
		})
		return []float64{waiting, kept, results}, err
	})
}

// newDriverWithWaitingTasks submits more tasks than its single slot can run.
func newDriverWithWaitingTasks(tasks int) *coreDriver {
	d := newCoreDriver(1, 1)
	for range tasks / jobTasks {
		d.core.Step(d.now, dispatcher.Submitted{Submission: d.submission(jobTasks, false)})
	}
	return d
}

// newDriverWithKeptAnswers runs keyed jobs, whose answers the core keeps.
func newDriverWithKeptAnswers(jobs int) (*coreDriver, error) {
	d := newCoreDriver(jobTasks, slots)
	for range jobs {
		if err := d.runJob(d.submission(jobTasks, true)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// teams measures the memory of one team's queue in the fair queue of one pool.
func (s *survey) teams(context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "team-memory", Unit: unitBytes, SizeUnit: "team with work in a pool",
		Method: "live heap of a fair queue with one item for each team",
	}
	return collect([]Slope{slope}, s.scaleSizes(270, 540, 1080, 2160), func(n int) ([]float64, error) {
		bytes, err := measureMemory(func() (*queuer.FairQueue[int], error) {
			queue := queuer.NewFairQueue[int]()
			for i := range n {
				queue.Push(task.Team(fmt.Sprintf("team-%04d", i)), 1, time.Now(), i)
			}
			return queue, nil
		})
		return []float64{bytes}, err
	})
}
