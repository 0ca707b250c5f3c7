package coupler

import (
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/jobber"
	v1 "agatevalve/wire/agatevalvev1"
)

// jobToWire encodes a job that is handed over. Times are sent as the time since or
// until them, because the clocks of two VMs may differ.
func jobToWire(j work.Job, now time.Time) *v1.RelayedJob {
	return &v1.RelayedJob{
		Id: j.ID, Route: j.Route, Service: j.Service, Spec: j.Spec, Count: uint32(j.Count), Room: roomToWire(j.Room), Label: j.Label,
		MostBeside: uint32(min(j.MaxPerMinion, math.MaxInt32)), Rack: j.Rack, Hint: durationpb.New(j.Hint), Attempts: uint32(min(j.Attempts, math.MaxInt32)), Priority: int32(j.Priority),
		Stretch: j.Stretch, Allowance: durationpb.New(j.Allowance), Age: durationpb.New(now.Sub(j.Arrived)), Left: durationpb.New(j.Deadline.Sub(now)),
		DataWait: durationpb.New(j.DataWait.MaxWait), DataWaitWeight: j.DataWait.Weight,
	}
}

// jobFromWire decodes a job that was received at now.
func jobFromWire(j *v1.RelayedJob, now time.Time) (work.Job, error) {
	const remedy = "compare the versions of the entries"
	switch {
	case j.GetId() == "" || j.GetService() == "":
		return work.Job{}, fault.New(fault.Invalid, remedy, "a job that was handed over has no id or no service")
	case j.GetCount() == 0 || j.GetCount() > work.MaxTasks || j.GetAttempts() == 0 || j.GetAttempts() > math.MaxInt32 || j.GetMostBeside() > math.MaxInt32:
		return work.Job{}, fault.New(fault.Invalid, remedy, "job %s has %d tasks and %d attempts", j.GetId(), j.GetCount(), j.GetAttempts())
	case !isFinite(j.GetStretch()) || !isFinite(j.GetDataWaitWeight()):
		return work.Job{}, fault.New(fault.Invalid, remedy, "the objective of job %s, or its wait for data, is no number", j.GetId())
	}
	room := roomFromWire(j.GetRoom())
	if room.CPU < 0 || room.Memory < 0 || room.Accelerators < 0 {
		return work.Job{}, fault.New(fault.Invalid, remedy, "job %s has a negative size", j.GetId())
	}
	return work.Job{
		ID: j.GetId(), Route: j.GetRoute(), Service: j.GetService(), Spec: j.GetSpec(), Count: int(j.GetCount()), Room: room,
		Label: j.GetLabel(), MaxPerMinion: int(j.GetMostBeside()), Rack: j.GetRack(), Hint: j.GetHint().AsDuration(), Attempts: int(j.GetAttempts()),
		Priority: int(j.GetPriority()), Stretch: j.GetStretch(), Allowance: j.GetAllowance().AsDuration(),
		Arrived: now.Add(-j.GetAge().AsDuration()), Deadline: now.Add(j.GetLeft().AsDuration()),
		DataWait: work.DataWait{MaxWait: j.GetDataWait().AsDuration(), Weight: j.GetDataWaitWeight()},
	}, nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// resultToWire encodes the result of a job. The outcome is left out if the job was
// not taken.
func resultToWire(id string, result jobber.Result, taken bool) *v1.RelayResult {
	if !taken {
		return &v1.RelayResult{Job: id}
	}
	return &v1.RelayResult{Job: id, Outcome: result.Outcome.String(), Reason: result.Reason, RetryAfter: durationpb.New(result.RetryAfter)}
}

// resultFromWire decodes the result of a job, and whether the job was taken.
func resultFromWire(r *v1.RelayResult) (result jobber.Result, taken bool, err error) {
	if r.GetOutcome() == "" {
		return jobber.Result{}, false, nil
	}
	outcome, known := work.ParseOutcome(r.GetOutcome())
	if !known {
		return jobber.Result{}, false, fault.New(fault.Invalid, "compare the versions of the entries", "job %s has the outcome %q", r.GetJob(), r.GetOutcome())
	}
	return jobber.Result{Outcome: outcome, Reason: r.GetReason(), RetryAfter: r.GetRetryAfter().AsDuration()}, true, nil
}
