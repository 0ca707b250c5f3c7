package encoder

import (
	"google.golang.org/protobuf/types/known/timestamppb"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	v1 "agatevalve/wire/agatevalvev1"
)

// SettleToWire encodes a request to settle attempts, with their deadlines.
func SettleToWire(to task.Process, attempts []dispatcher.AttemptRef) *v1.SettleRequest {
	m := &v1.SettleRequest{To: ProcessToWire(to)}
	for _, a := range attempts {
		m.Tasks = append(m.Tasks, RefToWire(a.Task, a.Attempt))
		m.Deadlines = append(m.Deadlines, TimeToWire(a.Deadline))
	}
	return m
}

// SettleFromWire decodes a request to settle attempts. Each attempt must have a
// deadline.
func SettleFromWire(m *v1.SettleRequest) (task.Process, []dispatcher.AttemptRef, error) {
	to, err := ProcessFromWire(m.GetTo())
	if err != nil {
		return task.Process{}, nil, err
	}
	if len(m.GetTasks()) != len(m.GetDeadlines()) {
		err := invalid("%d attempts come with %d deadlines", len(m.GetTasks()), len(m.GetDeadlines()))
		return task.Process{}, nil, err
	}
	attempts := make([]dispatcher.AttemptRef, len(m.GetTasks()))
	for i, ref := range m.GetTasks() {
		if attempts[i], err = attemptRefFromWire(ref, m.GetDeadlines()[i]); err != nil {
			return task.Process{}, nil, err
		}
	}
	return to, attempts, nil
}

// FenceToWire encodes a request to fence a job.
func FenceToWire(f dispatcher.Fence) *v1.FenceRequest {
	return &v1.FenceRequest{
		To:         ProcessToWire(f.Agent.Process),
		Job:        JobToWire(f.Job),
		Generation: uint64(f.Generation),
		Deadline:   TimeToWire(f.Deadline),
	}
}

// FenceFromWire decodes a request to fence a job. The agent's address stays
// empty, because the receiver is the agent itself.
func FenceFromWire(m *v1.FenceRequest) (dispatcher.Fence, error) {
	to, err := ProcessFromWire(m.GetTo())
	if err != nil {
		return dispatcher.Fence{}, err
	}
	job, err := JobFromWire(m.GetJob())
	if err != nil {
		return dispatcher.Fence{}, err
	}
	if m.GetGeneration() == 0 {
		return dispatcher.Fence{}, missing("generation of a fence")
	}
	deadline, err := TimeFromWire("deadline of a fence", m.GetDeadline())
	if err != nil {
		return dispatcher.Fence{}, err
	}
	return dispatcher.Fence{
		Agent:      dispatcher.Peer{Process: to},
		Job:        job,
		Generation: task.Generation(m.GetGeneration()),
		Deadline:   deadline,
	}, nil
}

// FetchToWire encodes a request for the answer of a job that another entry
// holds. The ticket is not sent, as it is local to the requesting entry.
func FetchToWire(to task.Process, a dispatcher.AnswerRequested) *v1.FetchRequest {
	return &v1.FetchRequest{
		To:       ProcessToWire(to),
		Team:     textToWire(string(a.Team)),
		Job:      JobToWire(a.Job),
		Digest:   a.Digest[:],
		Deadline: TimeToWire(a.Deadline),
	}
}

// FetchFromWire decodes the request of another entry for an answer. The ticket
// of the result is not set.
func FetchFromWire(m *v1.FetchRequest) (task.Process, dispatcher.AnswerRequested, error) {
	to, err := ProcessFromWire(m.GetTo())
	if err != nil {
		return task.Process{}, dispatcher.AnswerRequested{}, err
	}
	a, err := answerRequestedFromWire(m)
	return to, a, err
}

func answerRequestedFromWire(m *v1.FetchRequest) (dispatcher.AnswerRequested, error) {
	team, err := textFromWire("team", m.GetTeam())
	if err != nil {
		return dispatcher.AnswerRequested{}, err
	}
	job, err := JobFromWire(m.GetJob())
	if err != nil {
		return dispatcher.AnswerRequested{}, err
	}
	a := dispatcher.AnswerRequested{Team: task.Team(team), Job: job}
	if len(m.GetDigest()) != len(a.Digest) {
		return dispatcher.AnswerRequested{}, invalid("the digest has %d bytes instead of %d", len(m.GetDigest()), len(a.Digest))
	}
	copy(a.Digest[:], m.GetDigest())
	a.Deadline, err = TimeFromWire("deadline of a fetch", m.GetDeadline())
	return a, err
}

func attemptRefFromWire(ref *v1.TaskRef, deadline *timestamppb.Timestamp) (dispatcher.AttemptRef, error) {
	id, attempt, err := RefFromWire(ref)
	if err != nil {
		return dispatcher.AttemptRef{}, err
	}
	t, err := TimeFromWire("deadline of an attempt", deadline)
	if err != nil {
		return dispatcher.AttemptRef{}, err
	}
	return dispatcher.AttemptRef{Task: id, Attempt: attempt, Deadline: t}, nil
}
