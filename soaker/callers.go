package soaker

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	// jobsPerSecond is the rate of all callers together.
	jobsPerSecond = 40
	// callers is how many keep connections of their own.
	callers = 6
	// leaveShare and cancelShare of the jobs are left or cancelled early.
	leaveShare  = 0.05
	cancelShare = 0.05
	// lostSlack is how soon after a request its connection may end, as one that
	// was closed while the request was on its way.
	lostSlack = 200 * time.Millisecond
	// poisonShare of the jobs can never succeed.
	poisonShare = 0.03
)

// kinds are what callers ask for.
var kinds = []struct {
	work.Step

	prefix string
	work   time.Duration
}{
	{work.Step{Count: 6, Room: work.Room{CPU: 800}}, "/hold/", 50 * time.Millisecond},
	{work.Step{Count: 2, Room: work.Room{CPU: 800}}, "/check/", 150 * time.Millisecond},
	{work.Step{Count: 3, Room: work.Room{CPU: 800}}, "/assign/", 500 * time.Millisecond},
	{work.Step{Count: 2, Room: work.Room{CPU: 500}, Label: "b"}, "/hold/", 50 * time.Millisecond},
	{work.Step{Count: 4, Room: work.Room{CPU: 500}, MaxPerMinion: 1}, "/check/", 60 * time.Millisecond},
}

// traffic submits jobs until ctx ends, and waits for their answers.
func (w *world) traffic(ctx context.Context) {
	var jobs sync.WaitGroup
	clients := make([]*http.Client, callers)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	}
	for ctx.Err() == nil {
		job, prefix, leaveAfter, cancel := w.draw()
		client := clients[w.arrivals.IntN(callers)]
		first := w.arrivals.IntN(len(w.entries))
		w.mu.Lock()
		late := w.operator.late
		w.mu.Unlock()
		w.judge.submitted(job)
		jobs.Go(func() {
			outcome := w.call(client, job, prefix, first, leaveAfter, cancel)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.jobs[outcome.String()]++
			if late && leaveAfter == 0 && !cancel {
				w.late++
				if outcome == work.Succeeded || outcome == work.Exhausted {
					w.lateServed++
				}
			}
		})
		pause := time.Duration(w.arrivals.ExpFloat64() / jobsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	jobs.Wait()
}

// draw makes the next job.
func (w *world) draw() (job *soakedJob, prefix string, leaveAfter time.Duration, cancel bool) {
	k := kinds[w.arrivals.IntN(len(kinds))]
	job = &soakedJob{Job: work.Job{
		ID: fmt.Sprintf("%016x", w.arrivals.Uint64()), Spec: "spec", Count: k.Count, Room: k.Room, Label: k.Label, MaxPerMinion: k.MaxPerMinion,
		Hint: time.Duration((0.6 + 0.8*w.arrivals.Float64()) * float64(k.work)),
	}}
	poison := w.arrivals.Float64() < poisonShare
	for range k.Count {
		job.truths = append(job.truths, emulator.TaskProfile{Room: k.Room, Work: k.work, Fails: poison})
	}
	switch draw := w.arrivals.Float64(); {
	case draw < leaveShare:
		leaveAfter = time.Duration(w.arrivals.Int64N(int64(patience / 3)))
	case draw < leaveShare+cancelShare:
		leaveAfter, cancel = time.Duration(w.arrivals.Int64N(int64(patience/3))), true
	}
	return job, k.prefix, leaveAfter, cancel
}

// call submits a job until it has an answer, or its caller gives up.
func (w *world) call(client *http.Client, job *soakedJob, prefix string, entry int, leaveAfter time.Duration, cancel bool) work.Outcome {
	ctx, leave := context.WithCancel(w.ctx)
	defer leave()
	asked := w.rotation(entry + 1) // Any entry may be asked to cancel.
	if leaveAfter > 0 {
		timer := time.AfterFunc(leaveAfter, func() {
			if !cancel {
				leave()
				w.judge.leave(job)
				return
			}
			if status := imitator.Cancel(w.ctx, client, asked.callersAt(), prefix, job.ID); status == http.StatusOK {
				w.judge.leave(job)
			}
		})
		defer timer.Stop()
	}
	var last imitator.Reply
	for n := 1; n <= mostSubmissions; n++ {
		f := w.rotation(entry)
		entry++
		sent, life := time.Now(), f.life()
		answer, done := context.WithTimeout(ctx, patience+time.Second)
		last = imitator.Submit(answer, client, f.callersAt(), prefix, job.Job, patience)
		done()
		left := ctx.Err() != nil
		again := !left && n < mostSubmissions && (!last.Complete || last.Outcome == work.Unfinished)
		w.judge.answered(job, last.Outcome, !again)
		held, lost := time.Since(sent), false
		if !last.Complete && !left && held > lostSlack && held < patience/2 {
			time.Sleep(lostSlack) // Until a fault that has cut it is noted.
			lost = f.life() == life && w.judge.calmFor(sent, f.vm.Node)
		}
		if lost {
			w.judge.broke("lost: %s was cut at %s after %s, undisturbed", job.ID, f.vm.Node, held)
		}
		if !again {
			break
		}
		time.Sleep(resubmitAfter)
	}
	return last.Outcome
}

// rotation returns an entry that the balancer sends connections to, from one on.
func (w *world) rotation(from int) *front {
	for i := range w.entries {
		if f := w.entries[(from+i)%len(w.entries)]; f.inRotation() {
			return f
		}
	}
	return w.entries[from%len(w.entries)]
}

// callersAt is where callers reach the entry, through a proxy.
func (f *front) callersAt() netip.AddrPort {
	return netip.MustParseAddrPort(f.proxy.listener.Addr().String())
}
