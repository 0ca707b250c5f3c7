// Package balancer chooses the minion for a task. It tracks the slots, load,
// speed and health of each minion as seen by one entry, and leaves the choice
// to a policy. It is deterministic: time and random numbers are passed in.
package balancer

import (
	"math"
	"time"

	"agatevalve/common/task"
)

// Info is the part of an announcement that describes the minion.
type Info struct {
	ID    task.Process
	Zone  string
	Pools []string
	// Expires is the time at which the minion is removed unless its agent sends
	// another message before.
	Expires time.Time
}

// Load is the load that an agent sends with each frame.
type Load struct {
	Slots   int
	Running int
	Queued  int
	Leaving bool
}

// Minion is the state of one minion, as known to this entry.
type Minion struct {
	Info
	// Slots is the declared number of tasks that the minion runs at the same time.
	Slots int
	// OwnTasks counts the tasks that this entry has sent and that have not ended.
	OwnTasks int
	// accepted counts those of OwnTasks that the agent has confirmed.
	accepted int
	// OtherTasks is the number of other entries' tasks at the time of the agent's
	// last load report; never negative.
	OtherTasks int
	// loadReportedAt is the time of the last load report.
	loadReportedAt time.Time
	// meanOthers is the moving average of OtherTasks.
	meanOthers float64
	// meanServiceTime is the moving average of the time from send to answer.
	meanServiceTime time.Duration
	// Leaving is set while the agent drains; the minion gets no new tasks.
	Leaving bool
	// Slowdown is the moving average of the minion's service time divided by the
	// pool's mean: 1 is average, above 1 is slower.
	Slowdown float64
	// slowdownUpdatedAt is the time of the last update of Slowdown; zero before
	// the first answer.
	slowdownUpdatedAt time.Time
	// blockedUntil is the time before which no new tasks are sent, because the
	// agent has refused one.
	blockedUntil time.Time
	// answerDue is the time after which the minion counts as stalled while it has
	// tasks of this entry.
	answerDue time.Time
	health    health
}

// expectedTasksAt estimates the number of tasks at the minion. The reported
// number of other entries' tasks decays exponentially towards its average, with
// the mean service time as time constant, as those tasks end and others start.
func (m *Minion) expectedTasksAt(now time.Time) float64 {
	others := float64(m.OtherTasks)
	if m.meanServiceTime > 0 {
		age := float64(now.Sub(m.loadReportedAt)) / float64(m.meanServiceTime)
		others = m.meanOthers + (others-m.meanOthers)*math.Exp(-age)
	}
	return float64(m.OwnTasks) + others
}

// MeanServiceTime returns the moving average of the time from send to answer,
// or 0 before the first answer.
func (m *Minion) MeanServiceTime() time.Duration { return m.meanServiceTime }

// stalled reports whether the minion has tasks of this entry and has not
// answered for too long.
func (m *Minion) stalled(now time.Time) bool {
	return m.OwnTasks > 0 && !m.answerDue.IsZero() && now.After(m.answerDue)
}

// slowdownAt returns Slowdown, adjusted for the age of the last answer: beyond
// slowdownValidity, the slowdown of a slow minion approaches 1, so that it gets
// tasks again.
func (m *Minion) slowdownAt(now time.Time) float64 {
	if m.slowdownUpdatedAt.IsZero() {
		return 1
	}
	age := now.Sub(m.slowdownUpdatedAt)
	if age <= slowdownValidity || m.Slowdown <= 1 {
		return m.Slowdown
	}
	decay := float64(slowdownValidity) / float64(age)
	return 1 + (m.Slowdown-1)*decay
}

// needsTrial reports whether the minion was slow and the observation is
// outdated. Such a minion gets one task at a time until an answer updates it.
func (m *Minion) needsTrial(now time.Time) bool {
	return m.Slowdown > trialSlowdown && now.Sub(m.slowdownUpdatedAt) > slowdownValidity
}

// DefaultQueueLimit is the default of Options.QueueLimit. Agents accept a
// longer queue, so that several entries can queue tasks at once.
const DefaultQueueLimit = 4

const (
	// slowdownValidity is the time for which an observed slowdown applies without
	// a new answer.
	slowdownValidity = 10 * time.Second
	// trialSlowdown is the slowdown above which a minion counts as slow: it gets
	// no queue, and one task at a time once the observation is outdated.
	trialSlowdown = 1.5
	// slowdownGain is the weight of a new answer in Slowdown.
	slowdownGain = 1.0 / 16
	// stallFactor is the multiple of the expected service time without an answer
	// after which a minion is stalled.
	stallFactor = 8
	// stallFloor is the minimum time without an answer after which a minion is
	// stalled.
	stallFloor = time.Second
	// meanGain is the weight of a new report in meanOthers, and of a new answer in
	// meanServiceTime.
	meanGain = 1.0 / 32
	// refusalBackoff is the time for which a minion gets no new tasks after a
	// refusal.
	refusalBackoff = 5 * time.Millisecond
)
