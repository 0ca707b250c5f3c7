package encoder

import (
	"google.golang.org/protobuf/types/known/timestamppb"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	v1 "agatevalve/wire/agatevalvev1"
)

// SettleToWire encodes a question about attempts.
func SettleToWire(to task.Process, tasks []dispatcher.AttemptRef) *v1.SettleRequest {
	m := &v1.SettleRequest{To: ProcessToWire(to)}
	for _, s := range tasks {
		m.Tasks = append(m.Tasks, RefToWire(s.Task, s.Attempt))
		m.Deadlines = append(m.Deadlines, TimeToWire(s.Deadline))
	}
	return m
}

// SettleFromWire decodes a question about attempts, each with its deadline.
func SettleFromWire(m *v1.SettleRequest) (task.Process, []dispatcher.AttemptRef, error) {
	to, err := ProcessFromWire(m.GetTo())
	if err != nil {
		return task.Process{}, nil, err
	}
	if len(m.GetTasks()) != len(m.GetDeadlines()) {
		err := invalid("%d attempts come with %d deadlines", len(m.GetTasks()), len(m.GetDeadlines()))
		return task.Process{}, nil, err
	}
	sent := make([]dispatcher.AttemptRef, len(m.GetTasks()))
	for i, ref := range m.GetTasks() {
		if sent[i], err = sentFromWire(ref, m.GetDeadlines()[i]); err != nil {
			return task.Process{}, nil, err
		}
	}
	return to, sent, nil
}

// FenceToWire encodes a fence.
func FenceToWire(f dispatcher.Fence) *v1.FenceRequest {
	return &v1.FenceRequest{
		To:         ProcessToWire(f.Agent.Process),
		Job:        JobToWire(f.Job),
		Generation: uint64(f.Generation),
		Deadline:   TimeToWire(f.Deadline),
	}
}

// FenceFromWire decodes a fence. The agent's address stays empty, because the
// agent itself is the reader.
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

// FetchToWire encodes another entry's wait for an answer. The ticket stays at
// the entry that asks.
func FetchToWire(to task.Process, a dispatcher.AnswerRequested) *v1.FetchRequest {
	return &v1.FetchRequest{
		To:       ProcessToWire(to),
		Team:     textToWire(string(a.Team)),
		Job:      JobToWire(a.Job),
		Digest:   a.Digest[:],
		Deadline: TimeToWire(a.Deadline),
	}
}

// FetchFromWire decodes another entry's wait for an answer, without a ticket.
func FetchFromWire(m *v1.FetchRequest) (task.Process, dispatcher.AnswerRequested, error) {
	to, err := ProcessFromWire(m.GetTo())
	if err != nil {
		return task.Process{}, dispatcher.AnswerRequested{}, err
	}
	a, err := askedFromWire(m)
	return to, a, err
}

func askedFromWire(m *v1.FetchRequest) (dispatcher.AnswerRequested, error) {
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

func sentFromWire(ref *v1.TaskRef, deadline *timestamppb.Timestamp) (dispatcher.AttemptRef, error) {
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
