// Package estimator works out what agatevalve costs at the size of a large
// fleet, from the slopes of a survey, and writes the tables of the capacity
// page. It is pure, so that the same survey always gives the same tables.
package estimator

import (
	"time"

	"agatevalve/announcer"
	"agatevalve/claimer"
	"agatevalve/linker"
)

// Target is the size of a fleet.
type Target struct {
	// Agents is the number of workers, each with one agent. Accelerators are
	// slots of their workers' minions and cost no message of their own.
	Agents int
	// Entries take an equal part of the starts each.
	Entries         int
	StartsPerSecond int
	// JobTasks are the sizes of jobs that are worked out.
	JobTasks []int
	Teams    int
	Zones    int
	// ChangesPerDay are changes of the configuration of Routes and Pools.
	ChangesPerDay int
	Routes        int
	Pools         int
	// Replaced are the agents that fail or are replaced on an ordinary day.
	Replaced int
	// RackAgents is how many agents one rack holds.
	RackAgents int
	// TaskTakes is the mean time of a task, and AnswerWithin the deadline.
	TaskTakes    time.Duration
	AnswerWithin time.Duration
	// Keeps is how long an agent remembers a task after its deadline, and an
	// entry an answer.
	AgentKeeps time.Duration
	EntryKeeps time.Duration
}

// FleetTarget returns the size to build towards.
func FleetTarget() Target {
	return Target{
		Agents:          1100,
		Entries:         16,
		StartsPerSecond: 64_000,
		JobTasks:        []int{10, 100, 1300},
		Teams:           27,
		Zones:           4,
		ChangesPerDay:   2600,
		Routes:          2000,
		Pools:           500,
		Replaced:        299,
		RackAgents:      3,
		TaskTakes:       200 * time.Millisecond,
		AnswerWithin:    10 * time.Second,
		AgentKeeps:      5 * time.Second,
		EntryKeeps:      2 * time.Minute,
	}
}

// agentsPerEntry is how many agents announce themselves to one entry.
func (t Target) agentsPerEntry(d Design) float64 {
	return float64(t.Agents*min(d.Subset, t.Entries)) / float64(t.Entries)
}

func (t Target) startsPerEntry() float64 { return float64(t.StartsPerSecond) / float64(t.Entries) }

func (t Target) startsPerAgent() float64 { return float64(t.StartsPerSecond) / float64(t.Agents) }

// Limits bound what control costs one node, and what the store serves.
type Limits struct {
	// CorePercent is the part of one core.
	CorePercent float64
	// Megabytes are of 1,000,000 bytes.
	Megabytes      float64
	BytesPerSecond float64
	// Writes and Reads are transactions a second.
	Writes float64
	Reads  float64
}

// FleetLimits returns the limits of the target. The store's are those of the
// stand-in that the claims are measured with.
func FleetLimits() Limits {
	return Limits{CorePercent: 4.5, Megabytes: 128, BytesPerSecond: 4000, Writes: 400, Reads: 2000}
}

// Design holds the periods and counts that decide how often a cost arises.
type Design struct {
	Name string
	// Subset is how many entries an agent announces itself to.
	Subset   int
	Announce time.Duration
	// AgentList is the time between two lists of the entries by an agent,
	// EntryList between two by an entry, and Renew between two renewals.
	AgentList time.Duration
	EntryList time.Duration
	Renew     time.Duration
	Poll      time.Duration
	Ping      time.Duration
	// ClaimAgents is how many agents the claim of a small job names. A larger
	// one names two for each task.
	ClaimAgents int
	// ClaimWrites bounds the claim transactions a second of all entries.
	ClaimWrites int
}

// Present returns the design that ships. The mean of the keeper's pause is its
// period less half its jitter.
func Present() Design {
	const keeperPause = 4375 * time.Millisecond
	return Design{
		Name:      "ships",
		Subset:    announcer.SubsetSize,
		Announce:  announcer.Interval,
		AgentList: announcer.ListInterval,
		EntryList: keeperPause,
		Renew:     keeperPause,
		Poll:      1500 * time.Millisecond,
		Ping:      linker.DefaultIdlePingAfter,

		ClaimAgents: 16,
		ClaimWrites: claimer.DefaultLimits().FleetCommitsPerSecond,
	}
}

// Proposed returns the design that keeps the limits.
func Proposed() Design {
	return Design{
		Name:        "proposed",
		Subset:      announcer.SubsetSize,
		Announce:    time.Minute,
		AgentList:   10 * time.Second,
		EntryList:   10 * time.Second,
		Renew:       5 * time.Second,
		Poll:        1500 * time.Millisecond,
		Ping:        linker.DefaultIdlePingAfter,
		ClaimAgents: 16,
		ClaimWrites: claimer.DefaultLimits().FleetCommitsPerSecond,
	}
}

// claimAgents is how many agents the claim of a job names.
func (t Target) claimAgents(d Design, tasks int) float64 {
	return min(t.agentsPerEntry(d), float64(max(d.ClaimAgents, 2*tasks)))
}

func perSecond(period time.Duration) float64 { return 1 / period.Seconds() }
