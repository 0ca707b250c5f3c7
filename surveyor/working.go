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
	// jobTasks is the size of the jobs of most slopes.
	jobTasks = 10
	// startsTimed is how many starts one figure of processor time covers.
	startsTimed = 4000
)

// work drives the core of an entry through whole jobs.
type work struct {
	core *dispatcher.Core
	now  time.Time
	jobs int
}

func newWork(agents, slots int) *work {
	w := &work{core: newCore(), now: time.Now()}
	for i := range agents {
		a := announcementOf(i)
		a.Load.Slots, a.Load.Running = slots, 0
		a.Expires = w.now.Add(farAhead)
		w.core.Step(w.now, dispatcher.Announced{Announcement: a})
	}
	return w
}

func (w *work) submission(tasks int, keyed bool) dispatcher.Submission {
	w.jobs++
	s := dispatcher.Submission{
		Ticket:   dispatcher.Ticket(w.jobs),
		Team:     "climbs",
		Job:      task.KeyedJobID("climbs", task.Key(fmt.Sprint(w.jobs))),
		Deadline: w.now.Add(farAhead),
		Plan: router.Plan{
			Route: router.Route{Name: "holds", Pool: poolName},
			Pool:  router.Pool{Name: poolName},
		},
	}
	if keyed {
		s.Key = task.Key(fmt.Sprint(w.jobs))
	}
	for range tasks {
		s.Tasks = append(s.Tasks, requestOf())
	}
	return s
}

// run brings one job to its end.
func (w *work) run(s dispatcher.Submission) error {
	w.now = w.now.Add(time.Millisecond)
	pending := append([]dispatcher.Command{}, w.core.Step(w.now, dispatcher.Submitted{Submission: s})...)
	replied := false
	for len(pending) > 0 {
		command := pending[0]
		pending = pending[1:]
		switch c := command.(type) {
		case dispatcher.WriteClaim:
			pending = append(pending, w.core.Step(w.now, dispatcher.ClaimWon(c))...)
		case dispatcher.SendStart:
			pending = append(pending, w.finish(c)...)
		case dispatcher.Reply:
			replied = c.Answer.Outcome == task.Complete
		}
	}
	if !replied {
		return fault.New(fault.Internal, "report this", "a job of %d tasks got no whole answer", len(s.Tasks))
	}
	return nil
}

// finish lets an agent accept and end a start, with its load on each frame.
func (w *work) finish(c dispatcher.SendStart) []dispatcher.Command {
	agent := c.Agent.Process
	load := dispatcher.LoadReported{Agent: agent, Load: dispatcher.Load{Slots: slots}}
	w.core.Step(w.now, dispatcher.Accepted{Agent: agent, Task: c.Start.Task, Attempt: c.Start.Attempt})
	var commands []dispatcher.Command
	commands = append(commands, w.core.Step(w.now, dispatcher.Ended{Agent: agent, Report: task.Report{
		Task: c.Start.Task, Attempt: c.Start.Attempt, State: task.Finished,
		Response: task.Response{Status: 200, Body: responseBody},
	}})...)
	return append(commands, w.core.Step(w.now, load)...)
}

// coreStarts measures the deciding core of an entry against the agents that it
// chooses from.
func (s *survey) coreStarts(context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "core-start-time", Unit: unitTime, Per: "agent of the pool",
			Method: fmt.Sprintf("processor time of the entry's core per start of keyless jobs of %d tasks, from submission to reply, with every frame carrying a load", jobTasks),
		},
		{
			Name: "core-claimed-start-time", Unit: unitTime, Per: "agent of the pool",
			Method: fmt.Sprintf("as core-start-time for keyed jobs of %d tasks, whose claims name the agents", jobTasks),
		},
	}
	return collect(slopes, s.sizes(25, 100, 275, 550), func(n int) ([]float64, error) {
		var costs []float64
		for _, keyed := range []bool{false, true} {
			w := newWork(n, slots)
			spent, err := used(func() error {
				for range startsTimed / jobTasks {
					if err := w.run(w.submission(jobTasks, keyed)); err != nil {
						return err
					}
				}
				return nil
			})
			if err != nil {
				return nil, err
			}
			costs = append(costs, spent/startsTimed)
		}
		return costs, nil
	})
}

func newRunner() *runner.Core {
	const plenty = 1 << 30
	return runner.New(runner.Options{
		Slots: agentSlots, QueueLength: 2, Remember: plenty, ResponseBytes: 1 << 20, ResultBytes: plenty,
	})
}

// runTask brings one start to its end at an agent.
func runTask(core *runner.Core, now time.Time, start task.Start, acknowledge bool) {
	core.Step(now, runner.StartReceived{From: entryProcess, Start: start})
	core.Step(now, runner.MinionAnswered{
		Task: start.Task, Attempt: start.Attempt, Response: task.Response{Status: 200, Body: responseBody},
	})
	if acknowledge {
		core.Step(now, runner.Acknowledged{Task: start.Task, Attempt: start.Attempt})
	}
}

// agentStarts measures the deciding core of an agent.
func (s *survey) agentStarts(context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "agent-start-time", Unit: unitTime, Per: "start",
			Method: "processor time of the agent's core, from arrival to acknowledgement",
		},
		{
			Name: "remembered-task-memory", Unit: unitBytes, Per: "remembered task",
			Method: fmt.Sprintf("live heap of the agent's core after the acknowledgement, for jobs with %d tasks here", jobTasks),
		},
	}
	return collect(slopes, s.sizes(4000, 8000, 16000, 32000), func(n int) ([]float64, error) {
		var spent float64
		bytes, err := held(func() (*runner.Core, error) {
			core := newRunner()
			var err error
			spent, err = used(func() error { runTasks(core, n, true); return nil })
			return core, err
		})
		return []float64{spent, bytes}, err
	})
}

func runTasks(core *runner.Core, n int, acknowledge bool) {
	now := time.Now()
	for i := range n {
		runTask(core, now, startOf(i/jobTasks, i%jobTasks, now.Add(farAhead)), acknowledge)
	}
}

// tasks measures what waits and what is kept.
func (s *survey) tasks(context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "waiting-task-memory", Unit: unitBytes, Per: "waiting task",
			Method: fmt.Sprintf("live heap of the entry's core for keyless jobs of %d tasks that find no free slot; requests share one body of %d bytes", jobTasks, len(requestBody)),
		},
		{
			Name: "kept-answer-memory", Unit: unitBytes, Per: "kept job",
			Method: fmt.Sprintf("live heap of the entry's core for ended keyed jobs of %d tasks; responses share one body of %d bytes", jobTasks, len(responseBody)),
		},
		{
			Name: "kept-result-memory", Unit: unitBytes, Per: "unacknowledged result",
			Method: "live heap of the agent's core before the acknowledgement, the remembered task included",
		},
	}
	return collect(slopes, s.sizes(1000, 2000, 4000, 8000), func(n int) ([]float64, error) {
		waiting, err := held(func() (*work, error) { return newWaiting(n), nil })
		if err != nil {
			return nil, err
		}
		kept, err := held(func() (*work, error) { return newKept(n) })
		if err != nil {
			return nil, err
		}
		results, err := held(func() (*runner.Core, error) {
			core := newRunner()
			runTasks(core, n, false)
			return core, nil
		})
		return []float64{waiting, kept, results}, err
	})
}

func newWaiting(tasks int) *work {
	w := newWork(1, 1)
	for range tasks / jobTasks {
		w.core.Step(w.now, dispatcher.Submitted{Submission: w.submission(jobTasks, false)})
	}
	return w
}

func newKept(jobs int) (*work, error) {
	w := newWork(jobTasks, slots)
	for range jobs {
		if err := w.run(w.submission(jobTasks, true)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// teams measures the line of one team in the queue of one pool.
func (s *survey) teams(context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "team-memory", Unit: unitBytes, Per: "team with work in a pool",
		Method: "live heap of a fair queue with one item for each team",
	}
	return collect([]Slope{slope}, s.sizes(270, 540, 1080, 2160), func(n int) ([]float64, error) {
		bytes, err := held(func() (*queuer.FairQueue[int], error) {
			queue := queuer.NewFairQueue[int]()
			for i := range n {
				queue.Push(task.Team(fmt.Sprintf("team-%04d", i)), 1, time.Now(), i)
			}
			return queue, nil
		})
		return []float64{bytes}, err
	})
}
