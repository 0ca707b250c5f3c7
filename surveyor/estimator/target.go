// Package estimator extrapolates the costs of agatevalve to the size of a large
// fleet from the slopes of a survey, and writes the tables of the capacity page.
// It does no I/O and reads no clock, so the same survey always gives the same
// tables.
package estimator

import (
	"time"

	"agatevalve/announcer"
	"agatevalve/claimer"
	"agatevalve/linker"
)

// Target describes the size and the load of a fleet.
type Target struct {
	// Agents is the number of workers, each with one agent. Accelerators are
	// slots of their workers' minions and cause no messages of their own.
	Agents int
	// Entries is the number of entries, which share the starts equally.
	Entries int
	// StartsPerSecond is the rate of task starts in the whole fleet.
	StartsPerSecond int
	// JobSizes are the numbers of tasks per job that estimates are made for.
	JobSizes []int
	Teams    int
	Zones    int
	// ChangesPerDay is the number of configuration changes a day, and Routes and
	// Pools are the size of the configuration.
	ChangesPerDay int
	Routes        int
	Pools         int
	// ReplacedPerDay is the number of agents that fail or are replaced on an
	// ordinary day.
	ReplacedPerDay int
	// AgentsPerRack is the number of agents in one rack.
	AgentsPerRack int
	// MeanTaskTime is the mean duration of a task, and AnswerWithin the time from
	// its submission to its deadline.
	MeanTaskTime time.Duration
	AnswerWithin time.Duration
	// AgentRetention is the time for which an agent remembers a task after its
	// deadline, and EntryRetention that for which an entry keeps an answer.
	AgentRetention time.Duration
	EntryRetention time.Duration
}

// FleetTarget returns the fleet size that the design has to support.
func FleetTarget() Target {
	return Target{
		Agents:          1100,
		Entries:         16,
		StartsPerSecond: 64_000,
		JobSizes:        []int{10, 100, 1300},
		Teams:           27,
		Zones:           4,
		ChangesPerDay:   2600,
		Routes:          2000,
		Pools:           500,
		ReplacedPerDay:  299,
		AgentsPerRack:   3,
		MeanTaskTime:    200 * time.Millisecond,
		AnswerWithin:    10 * time.Second,
		AgentRetention:  5 * time.Second,
		EntryRetention:  2 * time.Minute,
	}
}

// agentsPerEntry returns the mean number of agents that announce themselves to
// one entry.
func (t Target) agentsPerEntry(d Design) float64 {
	return float64(t.Agents*min(d.SubsetSize, t.Entries)) / float64(t.Entries)
}

func (t Target) startsPerEntry() float64 { return float64(t.StartsPerSecond) / float64(t.Entries) }

func (t Target) startsPerAgent() float64 { return float64(t.StartsPerSecond) / float64(t.Agents) }

// Limits bound the control overhead of one node and the load of the store.
type Limits struct {
	// CorePercent is a share of one core.
	CorePercent float64
	// Megabytes are units of 1,000,000 bytes.
	Megabytes      float64
	BytesPerSecond float64
	// WritesPerSecond and ReadsPerSecond count transactions of the store.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// FleetLimits returns the limits for FleetTarget. The store's limits are those
// of the emulated table service that the survey measures claims with.
func FleetLimits() Limits {
	return Limits{CorePercent: 4.5, Megabytes: 128, BytesPerSecond: 4000, WritesPerSecond: 400, ReadsPerSecond: 2000}
}

// Design holds the intervals and counts that determine how often a cost occurs.
type Design struct {
	Name string
	// SubsetSize is the number of entries that an agent announces itself to.
	SubsetSize       int
	AnnounceInterval time.Duration
	// AgentListInterval is the interval at which an agent lists the entries,
	// EntryListInterval that at which an entry does, and RenewInterval that at
	// which an entry renews its registration.
	AgentListInterval time.Duration
	EntryListInterval time.Duration
	RenewInterval     time.Duration
	PollInterval      time.Duration
	PingInterval      time.Duration
	// MinClaimAgents is the number of agents that the claim of a small job names.
	// The claim of a larger job names two for each task.
	MinClaimAgents int
	// ClaimWritesPerSecond limits the claim transactions of all entries together.
	ClaimWritesPerSecond int
}

// ShippedDesign returns the design of the current code. The registrar's mean
// renewal interval is its interval less half its maximum jitter.
func ShippedDesign() Design {
	const meanRenewInterval = 4375 * time.Millisecond
	return Design{
		Name:              "ships",
		SubsetSize:        announcer.SubsetSize,
		AnnounceInterval:  announcer.Interval,
		AgentListInterval: announcer.ListInterval,
		EntryListInterval: meanRenewInterval,
		RenewInterval:     meanRenewInterval,
		PollInterval:      1500 * time.Millisecond,
		PingInterval:      linker.DefaultIdlePingAfter,

		MinClaimAgents:       16,
		ClaimWritesPerSecond: claimer.DefaultLimits().FleetCommitsPerSecond,
	}
}

// ProposedDesign returns the design that stays within the limits.
func ProposedDesign() Design {
	return Design{
		Name:                 "proposed",
		SubsetSize:           announcer.SubsetSize,
		AnnounceInterval:     time.Minute,
		AgentListInterval:    10 * time.Second,
		EntryListInterval:    10 * time.Second,
		RenewInterval:        5 * time.Second,
		PollInterval:         1500 * time.Millisecond,
		PingInterval:         linker.DefaultIdlePingAfter,
		MinClaimAgents:       16,
		ClaimWritesPerSecond: claimer.DefaultLimits().FleetCommitsPerSecond,
	}
}

// agentsPerClaim returns the number of agents that the claim of a job names.
func (t Target) agentsPerClaim(d Design, tasks int) float64 {
	return min(t.agentsPerEntry(d), float64(max(d.MinClaimAgents, 2*tasks)))
}

func perSecond(period time.Duration) float64 { return 1 / period.Seconds() }
