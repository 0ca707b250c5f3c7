// Package balancer chooses the minion for a task. It keeps what an entry knows
// of each minion - slots, load, speed and health - and leaves the choice to a
// policy. It is pure: time and random numbers are passed in.
package balancer

import (
	"math"
	"time"

	"agatevalve/common/task"
)

// Info is what an agent says about its minion.
type Info struct {
	ID    task.Process
	Zone  string
	Pools []string
	// Expires is when the minion is forgotten unless it is heard from again.
	Expires time.Time
}

// Load is the state that rides on each frame of an agent.
type Load struct {
	Slots   int
	Running int
	Queued  int
	Leaving bool
}

// Minion is what this entry knows of one minion.
type Minion struct {
	Info
	// Slots is how many tasks it runs at once, as declared.
	Slots int
	// Own counts the tasks that this entry sent and that have not ended.
	Own int
	// accepted is the part of Own that the agent has confirmed; <= Own.
	accepted int
	// Others is the number of tasks of other entries there when the agent's
	// last frame left; never negative.
	Others int
	// seen is when Others was reported, and usual its moving mean.
	seen  time.Time
	usual float64
	// service is the moving mean of the time that tasks take there.
	service time.Duration
	// Leaving means that no new work goes there.
	Leaving bool
	// Speed is its time per task over the mean of the pool; 1 is average.
	Speed float64
	// learned is when Speed was last observed; zero before the first answer.
	learned time.Time
	// blocked is until when a refusal keeps new work away.
	blocked time.Time
	// due is when the next answer is overdue; zero while Own is 0.
	due    time.Time
	health health
}

// busyAt returns the expected number of tasks at the minion. What the last
// frame said of other entries' tasks fades towards the usual number, as those
// tasks end and others begin.
func (m *Minion) busyAt(now time.Time) float64 {
	others := float64(m.Others)
	if m.service > 0 {
		age := float64(now.Sub(m.seen)) / float64(m.service)
		others = m.usual + (others-m.usual)*math.Exp(-age)
	}
	return float64(m.Own) + others
}

// Service returns the moving mean of the time that tasks take there, or 0.
func (m *Minion) Service() time.Duration { return m.service }

// stalled reports whether the minion has work and has been silent for too long.
func (m *Minion) stalled(now time.Time) bool {
	return m.Own > 0 && !m.due.IsZero() && now.After(m.due)
}

// speedAt returns Speed, pulled towards the average as the last answer ages,
// so that a minion that was slow once gets tried again.
func (m *Minion) speedAt(now time.Time) float64 {
	if m.learned.IsZero() {
		return 1
	}
	age := now.Sub(m.learned)
	if age <= forgetAfter || m.Speed <= 1 {
		return m.Speed
	}
	kept := float64(forgetAfter) / float64(age)
	return 1 + (m.Speed-1)*kept
}

// trial reports whether the speed is so old that one task must confirm it.
func (m *Minion) trial(now time.Time) bool {
	return m.Speed > trialSpeed && now.Sub(m.learned) > forgetAfter
}

// DefaultQueue is how many tasks an entry lets wait at a minion. Agents keep a
// longer queue, so that several entries may do so at once.
const DefaultQueue = 4

const (
	// forgetAfter is how long a learned speed holds without a new answer.
	forgetAfter = 10 * time.Second
	// trialSpeed is the learned speed above which a stale minion gets one task at a time.
	trialSpeed = 1.5
	// speedGain is the weight of a new answer in Speed.
	speedGain = 1.0 / 16
	// stallFactor times the expected time without an answer makes a minion stalled.
	stallFactor = 8
	// stallFloor is the least silence that makes a minion stalled.
	stallFloor = time.Second
	// usualGain is the weight of a new report in the usual number of others,
	// and of a new answer in the mean service time.
	usualGain = 1.0 / 32
	// busyPause keeps work away from a minion that refused as busy.
	busyPause = 5 * time.Millisecond
)
