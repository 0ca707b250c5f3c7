// Package encoder converts domain types to generated protobuf messages and back.
//
// Encoding never fails. Decoding validates every field and returns errors of
// kind fault.Invalid, so that the rest of a process sees only well-formed values.
package encoder

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	v1 "agatevalve/wire/agatevalvev1"
)

// remedy is the remedy for messages that can't be decoded. They come from a
// process of another release.
const remedy = "run the same release of agatevalve in every process"

// maxNameBytes is the maximum length of the names of processes, zones, workers,
// racks and pools.
const maxNameBytes = 256

// ProcessToWire encodes a process.
func ProcessToWire(p task.Process) *v1.Process {
	return &v1.Process{Name: p.Name, Incarnation: uint64(p.Incarnation)}
}

// ProcessFromWire decodes a process, which must have a name and an incarnation.
func ProcessFromWire(m *v1.Process) (task.Process, error) {
	if m == nil {
		return task.Process{}, missing("process")
	}
	if err := checkName("process name", m.GetName()); err != nil {
		return task.Process{}, err
	}
	if m.GetIncarnation() == 0 {
		return task.Process{}, missing("incarnation of process %q", m.GetName())
	}
	p := task.Process{Name: m.GetName(), Incarnation: task.Incarnation(m.GetIncarnation())}
	return p, nil
}

// JobToWire encodes the id of a job.
func JobToWire(j task.JobID) []byte { return j[:] }

// JobFromWire decodes the id of a job, which must have the length of a
// task.JobID.
func JobFromWire(b []byte) (task.JobID, error) {
	var j task.JobID
	if len(b) != len(j) {
		return j, invalid("the job id has %d bytes instead of %d", len(b), len(j))
	}
	copy(j[:], b)
	return j, nil
}

// RefToWire encodes a reference to an attempt of a task.
func RefToWire(id task.ID, a task.Attempt) *v1.TaskRef {
	return &v1.TaskRef{Job: JobToWire(id.Job), Index: int32(id.Index), Attempt: uint32(a)}
}

// RefFromWire decodes a reference to an attempt of a task.
func RefFromWire(m *v1.TaskRef) (task.ID, task.Attempt, error) {
	if m == nil {
		return task.ID{}, 0, missing("task reference")
	}
	return attemptFromWire(m.GetJob(), m.GetIndex(), m.GetAttempt())
}

// TimeToWire encodes a time.
func TimeToWire(t time.Time) *timestamppb.Timestamp { return timestamppb.New(t) }

// TimeFromWire decodes a time, which must be set. Errors refer to it as field.
func TimeFromWire(field string, m *timestamppb.Timestamp) (time.Time, error) {
	if m == nil {
		return time.Time{}, missing("%s", field)
	}
	if err := m.CheckValid(); err != nil {
		return time.Time{}, fault.Wrap(err, fault.Invalid, remedy, "the %s is not a time", field)
	}
	return m.AsTime(), nil
}

func attemptFromWire(job []byte, index int32, attempt uint32) (task.ID, task.Attempt, error) {
	j, err := JobFromWire(job)
	if err != nil {
		return task.ID{}, 0, err
	}
	if index < 0 {
		return task.ID{}, 0, invalid("the task index %d of job %s is negative", index, j)
	}
	if attempt == 0 {
		return task.ID{}, 0, missing("attempt of task %s-%d", j, index)
	}
	return task.ID{Job: j, Index: int(index)}, task.Attempt(attempt), nil
}

// checkName checks that a name is not empty and not too long. Errors refer to it
// as field.
func checkName(field, name string) error {
	if name == "" {
		return missing("%s", field)
	}
	if len(name) > maxNameBytes {
		return invalid("the %s has %d bytes, more than %d", field, len(name), maxNameBytes)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fault.New(fault.Invalid, remedy, "invalid message: "+format, args...)
}

func missing(format string, args ...any) error {
	return fault.New(fault.Invalid, remedy, "invalid message: missing "+format, args...)
}
