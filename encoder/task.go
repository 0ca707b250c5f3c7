package encoder

import (
	"strings"

	"agatevalve/common/task"
	v1 "agatevalve/wire/agatevalvev1"
)

// StartToWire encodes the start of an attempt.
func StartToWire(s task.Start) *v1.Start {
	return &v1.Start{
		Job:        JobToWire(s.Task.Job),
		Index:      int32(s.Task.Index),
		Attempt:    uint32(s.Attempt),
		Generation: uint64(s.Generation),
		Team:       textToWire(string(s.Team)),
		Pool:       s.Pool,
		Deadline:   TimeToWire(s.Deadline),
		Request:    RequestToWire(s.Request),
	}
}

// StartFromWire decodes the start of an attempt. The generation is 0 for jobs
// that were submitted without a key, and the team may be empty.
func StartFromWire(m *v1.Start) (task.Start, error) {
	if m == nil {
		return task.Start{}, missing("start")
	}
	id, attempt, err := attemptFromWire(m.GetJob(), m.GetIndex(), m.GetAttempt())
	if err != nil {
		return task.Start{}, err
	}
	team, err := textFromWire("team", m.GetTeam())
	if err != nil {
		return task.Start{}, err
	}
	if err := checkName("pool of a start", m.GetPool()); err != nil {
		return task.Start{}, err
	}
	deadline, err := TimeFromWire("deadline of a start", m.GetDeadline())
	if err != nil {
		return task.Start{}, err
	}
	request, err := RequestFromWire(m.GetRequest())
	if err != nil {
		return task.Start{}, err
	}
	return task.Start{
		Task:       id,
		Attempt:    attempt,
		Generation: task.Generation(m.GetGeneration()),
		Team:       task.Team(team),
		Pool:       m.GetPool(),
		Deadline:   deadline,
		Request:    request,
	}, nil
}

// ReportToWire encodes the report on an attempt. The response is included only
// if the state is Finished.
func ReportToWire(r task.Report) *v1.Report {
	m := &v1.Report{
		Task:    RefToWire(r.Task, r.Attempt),
		State:   v1.TaskState(r.State),
		Reason:  strings.ToValidUTF8(r.Reason, "?"),
		Refusal: uint32(r.Refusal),
	}
	if r.State == task.Finished {
		m.Response = ResponseToWire(r.Response)
	}
	return m
}

// ReportFromWire decodes the report on an attempt. Only a report of the state
// Finished may have a response, and only one of the state Unstarted a refusal.
func ReportFromWire(m *v1.Report) (task.Report, error) {
	if m == nil {
		return task.Report{}, missing("report")
	}
	id, attempt, err := RefFromWire(m.GetTask())
	if err != nil {
		return task.Report{}, err
	}
	r := task.Report{Task: id, Attempt: attempt, Reason: m.GetReason()}
	if r.State, err = stateFromWire(m.GetState()); err != nil {
		return task.Report{}, err
	}
	if r.Refusal, err = refusalFromWire(r.State, m.GetRefusal()); err != nil {
		return task.Report{}, err
	}
	if r.State != task.Finished {
		if m.GetResponse() != nil {
			return task.Report{}, invalid("a report of state %s holds a response", m.GetState())
		}
		return r, nil
	}
	if r.Response, err = ResponseFromWire(m.GetResponse()); err != nil {
		return task.Report{}, err
	}
	return r, nil
}

// ReportsToWire encodes reports and keeps their order.
func ReportsToWire(reports []task.Report) []*v1.Report {
	out := make([]*v1.Report, len(reports))
	for i, r := range reports {
		out[i] = ReportToWire(r)
	}
	return out
}

// ReportsFromWire decodes reports and keeps their order.
func ReportsFromWire(reports []*v1.Report) ([]task.Report, error) {
	out := make([]task.Report, len(reports))
	for i, m := range reports {
		r, err := ReportFromWire(m)
		if err != nil {
			return nil, err
		}
		out[i] = r
	}
	return out, nil
}

func stateFromWire(s v1.TaskState) (task.State, error) {
	if s < v1.TaskState(task.Unstarted) || s > v1.TaskState(task.Forgotten) {
		return 0, invalid("the task state %d is unknown", s)
	}
	return task.State(s), nil
}

func refusalFromWire(state task.State, refusal uint32) (task.Refusal, error) {
	if refusal > uint32(task.Malformed) {
		return 0, invalid("the refusal %d is unknown", refusal)
	}
	if refusal != 0 && state != task.Unstarted {
		return 0, invalid("a report of a started task holds the refusal %d", refusal)
	}
	return task.Refusal(refusal), nil
}
