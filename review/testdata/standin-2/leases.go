package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// retryTime is the time after which a client sends a job again whose channel broke.
const retryTime = 1300 * time.Millisecond

// leaseChain submits a job again after its channel broke. The disruption: the agents are
// cut off from the entry that runs the job, the entry is killed, and the agent that runs
// the task freezes.
func leaseChain(w *world, trouble bool) verdict {
	links := newGate()
	d, ok := deploy(w, links, anyKind)
	if !ok {
		return invalid
	}
	stopTraffic := w.traffic(45)
	defer stopTraffic()
	const id = "5c0e7a21d94b36f8"
	body := job(3000, "")
	submitted := make(chan response, 1)
	go func() { submitted <- w.call("POST", 1, id, body, 4500*time.Millisecond) }()
	if !await(3*time.Second, func() bool { return w.runningOf(id) == 1 }) {
		return invalid
	}
	if !trouble {
		r := <-submitted
		w.log.line("%s", r)
		return w.overlaps(id)
	}
	runner := slices.IndexFunc(d.minions, func(m *minion) bool { return m.holds(id) })
	time.Sleep(300 * time.Millisecond)
	w.log.line("%s is cut off from the other machines", d.entries[0])
	links.cut()
	cutAt := time.Now()
	time.Sleep(10 * time.Millisecond)
	w.log.line("%s is killed", d.entries[0])
	_ = w.process(d.entries[0]).Kill()
	r := <-submitted
	brokeAt := time.Now()
	if r.err == nil {
		return invalid
	}
	time.Sleep(time.Until(cutAt.Add(700 * time.Millisecond)))
	agent := w.process(d.agents[runner])
	w.log.line("%s freezes", d.agents[runner])
	if agent.Signal(syscall.SIGSTOP) != nil {
		return invalid
	}
	frozenAt := time.Now()
	time.Sleep(time.Until(brokeAt.Add(retryTime)))
	go w.call("POST", 2, id, body, 4500*time.Millisecond)
	time.Sleep(time.Until(frozenAt.Add(1200 * time.Millisecond)))
	_ = agent.Signal(syscall.SIGCONT)
	w.log.line("%s wakes", d.agents[runner])
	links.heal()
	time.Sleep(5 * time.Second)
	return w.overlaps(id)
}

// traffic sends jobs of four small tasks to each entry, so many a second, until the
// returned function is called. It is about that of the small site.
func (w *world) traffic(perSecond int) (stop func()) {
	small := strings.Replace(job(60, ""), `"count":1`, `"count":4`, 1)
	ended := make(chan struct{})
	for n := range zones {
		go func() {
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(time.Second / time.Duration(perSecond)):
				}
				go w.call("POST", n+1, fmt.Sprintf("%08x%08x", 0x1b0e7a20+n, i), small, 1500*time.Millisecond)
			}
		}()
	}
	return func() { close(ended) }
}

// holds reports whether a run of a job is under way at the minion.
func (m *minion) holds(id string) bool {
	return slices.ContainsFunc(m.running(), func(key runKey) bool { return strings.HasPrefix(key.Task, id+".") })
}

// overlaps judges whether two runs of a task were under way at the same time.
func (w *world) overlaps(id string) verdict {
	result := held
	var runs []endedRun
	for _, m := range w.minions {
		runs = append(runs, m.history(id)...)
	}
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			from, to := a.from, a.to
			if b.from.After(from) {
				from = b.from
			}
			if b.to.Before(to) {
				to = b.to
			}
			if a.task == b.task && from.Before(to) {
				w.log.line("TWICE: task %s ran on %s (run %d) and on %s (run %d) at the same time, for %.3f s", a.task, a.minion, a.run, b.minion, b.run, to.Sub(from).Seconds())
				result = broken
			}
		}
	}
	return result
}
