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
	// defaultJobsPerSecond is the mean total submission rate of all callers.
	defaultJobsPerSecond = 40
	// callerCount is the number of callers, each with its own connections.
	callerCount = 6
	// disconnectShare is the share of jobs whose caller disconnects early.
	disconnectShare = 0.05
	// returnShare is the share of jobs whose caller disconnects within returnWithin
	// and submits the job again later, at another entry.
	returnShare  = 0.15
	returnWithin = 900 * time.Millisecond
	// cancelShare is the share of jobs that are cancelled early.
	cancelShare = 0.05
	// connectionLossGrace is the time after a request within which its connection
	// may end, as the entry may have closed it while the request was in flight.
	connectionLossGrace = 200 * time.Millisecond
	// defaultLongShare is the share of jobs with one task of minLongTask to maxLongTask.
	// Their callers wait for longAnswerTimeout, which exceeds a graceful stop.
	defaultLongShare  = 0.03
	minLongTask       = time.Second
	maxLongTask       = 4 * time.Second
	longAnswerTimeout = 13 * time.Second
	// poisonShare is the share of jobs whose tasks always fail.
	poisonShare = 0.03
	// deadlyShare is the share of jobs whose first task crashes its minion, and
	// crashDelay the time from its start until it does.
	deadlyShare = 0.005
	crashDelay  = 20 * time.Millisecond
	// crashDowntime is the time from such a crash until the minion is back.
	crashDowntime = 1200 * time.Millisecond
)

// jobKinds are the kinds of jobs that callers submit.
var jobKinds = []struct {
	work.Step

	// prefix is the path prefix of the route.
	prefix string
	// taskDuration is the duration of one task at normal speed.
	taskDuration time.Duration
}{
	{work.Step{Count: 6, Room: work.Room{CPU: 800}}, "/hold/", 50 * time.Millisecond},
	{work.Step{Count: 2, Room: work.Room{CPU: 800}}, "/check/", 150 * time.Millisecond},
	{work.Step{Count: 3, Room: work.Room{CPU: 800}}, "/assign/", 500 * time.Millisecond},
	{work.Step{Count: 2, Room: work.Room{CPU: 500}, Label: "b"}, "/hold/", 50 * time.Millisecond},
	{work.Step{Count: 4, Room: work.Room{CPU: 500}, MaxPerMinion: 1}, "/check/", 60 * time.Millisecond},
}

// submitJobs submits jobs as a Poisson process until ctx is done, and waits for
// their answers.
func (h *harness) submitJobs(ctx context.Context) {
	var jobs sync.WaitGroup
	clients := make([]*http.Client, callerCount)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}
	}
	for ctx.Err() == nil {
		job, prefix, behaviour := h.drawJob()
		deadly := h.trafficRandom.Float64() < deadlyShare
		client := clients[h.trafficRandom.IntN(callerCount)]
		firstEntry := h.trafficRandom.IntN(len(h.entries))
		h.mu.Lock()
		measured := h.operator.measured
		deadly = deadly && !h.faultsOver
		h.mu.Unlock()
		if deadly {
			job.profiles[0].CrashesAfter = crashDelay
		}
		if h.childCount() > 0 {
			job.Spec = formatProfiles(job.profiles)
		}
		h.checker.jobSubmitted(job)
		jobs.Go(func() {
			outcome := h.submitUntilAnswered(client, job, prefix, firstEntry, behaviour)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.outcomes[outcome.String()]++
			if measured && behaviour.kind == staysConnected {
				h.measuredJobs++
				if outcome == work.Succeeded || outcome == work.Exhausted {
					h.measuredServed++
				}
			}
		})
		pause := time.Duration(h.trafficRandom.ExpFloat64() / h.options.JobsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	jobs.Wait()
}

// callerKind says what a caller does before its job is answered.
type callerKind uint8

const (
	staysConnected callerKind = iota
	disconnects
	cancels
	// returns disconnects and submits the job again later.
	returns
)

// callerBehaviour is what a caller does, and how long after its first submission.
type callerBehaviour struct {
	kind  callerKind
	after time.Duration
}

// drawJob draws the next job and what its caller does.
func (h *harness) drawJob() (job *jobRecord, prefix string, behaviour callerBehaviour) {
	kind := jobKinds[h.trafficRandom.IntN(len(jobKinds))]
	job = &jobRecord{Job: work.Job{
		ID: fmt.Sprintf("%016x", h.trafficRandom.Uint64()), Spec: "spec", Count: kind.Count, Room: kind.Room, Label: kind.Label, MaxPerMinion: kind.MaxPerMinion,
		Hint: time.Duration((0.6 + 0.8*h.trafficRandom.Float64()) * float64(kind.taskDuration)),
	}}
	job.answerTimeout = answerTimeout
	duration := kind.taskDuration
	if h.trafficRandom.Float64() < h.options.LongShare {
		duration = minLongTask + time.Duration(h.trafficRandom.Int64N(int64(maxLongTask-minLongTask)))
		job.Count, job.Hint, job.answerTimeout = 1, duration, longAnswerTimeout
	}
	poison := h.trafficRandom.Float64() < poisonShare
	for range job.Count {
		job.profiles = append(job.profiles, emulator.TaskProfile{Room: kind.Room, Work: duration, Fails: poison})
	}
	switch draw := h.trafficRandom.Float64(); {
	case draw < disconnectShare:
		behaviour = callerBehaviour{disconnects, time.Duration(h.trafficRandom.Int64N(int64(answerTimeout / 3)))}
	case draw < disconnectShare+cancelShare:
		behaviour = callerBehaviour{cancels, time.Duration(h.trafficRandom.Int64N(int64(answerTimeout / 3)))}
	case draw < disconnectShare+cancelShare+returnShare:
		behaviour = callerBehaviour{returns, time.Duration(h.trafficRandom.Int64N(int64(returnWithin)))}
	}
	return job, kind.prefix, behaviour
}

// submitUntilAnswered submits a job until it is answered, maxSubmissions or the
// time that its caller waits are used up, or the caller disconnects. It returns the
// last outcome.
func (h *harness) submitUntilAnswered(client *http.Client, job *jobRecord, prefix string, entryIndex int, behaviour callerBehaviour) work.Outcome {
	ctx, disconnect := context.WithCancel(h.ctx)
	defer disconnect()
	switch cancelEntry := h.pickEntry(entryIndex + 1); behaviour.kind {
	case disconnects:
		timer := time.AfterFunc(behaviour.after, func() {
			disconnect()
			h.checker.callerLeft(job)
		})
		defer timer.Stop()
	case cancels: // At any entry.
		timer := time.AfterFunc(behaviour.after, func() {
			if status := imitator.Cancel(h.ctx, client, cancelEntry.callersAddress(), prefix, job.ID); status == http.StatusOK {
				h.checker.callerLeft(job)
			}
		})
		defer timer.Stop()
	}
	var reply imitator.Reply
	firstSent := time.Now()
	for n := 1; n <= maxSubmissions; n++ {
		e := h.pickEntry(entryIndex)
		entryIndex++
		sent, incarnation := time.Now(), e.incarnation()
		patience := job.answerTimeout
		if behaviour.kind == returns && n == 1 {
			patience = behaviour.after
		}
		submitCtx, cancelSubmit := context.WithTimeout(ctx, patience)
		reply = imitator.Submit(submitCtx, client, e.callersAddress(), prefix, job.Job, job.answerTimeout)
		cancelSubmit()
		disconnected := ctx.Err() != nil
		resubmit := !disconnected && n < maxSubmissions && job.isWorthResubmitting(reply, time.Since(firstSent))
		h.syncMinions()
		h.checker.jobAnswered(job, reply.Outcome, !resubmit)
		if reply.Status == http.StatusNotFound {
			h.checker.addViolation("config: %s answered job %s with 404, though each version has the route of %s", e.vm.Node, job.ID, prefix)
		}
		if elapsed := time.Since(sent); !reply.Complete && !disconnected && elapsed < min(patience, job.answerTimeout/2) {
			h.checkConnectionLoss(job, e, incarnation, sent, elapsed)
		}
		if !resubmit {
			break
		}
		time.Sleep(resubmitDelay)
	}
	return reply.Outcome
}

// isWorthResubmitting reports whether the caller submits the job again after a
// reply. Callers of long jobs do so only while they would have waited.
func (j *jobRecord) isWorthResubmitting(reply imitator.Reply, waited time.Duration) bool {
	if j.answerTimeout > answerTimeout && waited > j.answerTimeout {
		return false
	}
	return !reply.Complete || reply.Outcome == work.Unfinished
}

// checkConnectionLoss reports the end of a connection without an answer, unless it
// came early or the entry was disturbed or restarted.
func (h *harness) checkConnectionLoss(job *jobRecord, e *entry, incarnation int, sent time.Time, elapsed time.Duration) {
	if elapsed <= connectionLossGrace {
		return
	}
	time.Sleep(connectionLossGrace) // A fault that cut the connection may not be marked yet.
	if e.incarnation() == incarnation && h.checker.undisturbedSince(sent, e.vm.Node) {
		h.checker.addViolation("lost: %s was cut at %s after %s, undisturbed", job.ID, e.vm.Node, elapsed)
	}
}

// pickEntry returns the first entry in rotation from an index on, or the one at
// that index if none is.
func (h *harness) pickEntry(from int) *entry {
	for i := range h.entries {
		if e := h.entries[(from+i)%len(h.entries)]; e.inRotation() {
			return e
		}
	}
	return h.entries[from%len(h.entries)]
}

// callersAddress returns the address of the entry's proxy for callers.
func (e *entry) callersAddress() netip.AddrPort { return e.proxy.address }
