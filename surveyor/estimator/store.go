package estimator

import "fmt"

func (e *Estimator) storeReads() Table {
	t := e.target
	entries := float64(t.Entries)
	return Table{Name: "store-reads", Rows: withTotal("reads", e.limits.ReadsPerSecond,
		e.row("lists by agents", unitReadsPerSecond, "agents / period", func(d Design) float64 {
			return float64(t.Agents) * perSecond(d.AgentListInterval)
		}),
		e.row("lists by entries", unitReadsPerSecond, "entries / period", func(d Design) float64 { return entries * perSecond(d.EntryListInterval) }),
		e.row("polls of the head", unitReadsPerSecond, "entries / period", func(d Design) float64 { return entries * perSecond(d.PollInterval) }),
		e.row("reads of changes", unitReadsPerSecond, "entries x changes a day / 86,400", func(Design) float64 {
			return entries * float64(t.ChangesPerDay) / secondsPerDay
		}),
		e.row("sweep of claims of a day ago, if that second was a peak of jobs of 10", unitReadsPerSecond, "claim-transactions-10 at all entries, as measured", func(Design) float64 {
			return e.measuredAt(fmt.Sprintf(claimTransactionsSlope, 10), entries)
		}),
	)}
}

func (e *Estimator) storeWrites() Table {
	t := e.target
	entries := float64(t.Entries)
	rows := []Row{e.row("claim transactions that all entries share", unitWritesPerSecond, "`claim-writes-per-second` of the settings, by default; after a pause each entry may commit 3 more", func(d Design) float64 {
		return float64(d.ClaimWritesPerSecond)
	})}
	for _, tasks := range t.JobSizes {
		claims := float64(t.StartsPerSecond) / float64(tasks)
		name := fmt.Sprintf("jobs of %d: ", tasks)
		transactions := e.measuredAt(fmt.Sprintf(claimTransactionsSlope, tasks), entries)
		writes := withTotal(name+"writes", e.limits.WritesPerSecond,
			e.row(name+"claim transactions", unitWritesPerSecond, fmt.Sprintf(claimTransactionsSlope, tasks)+" at all entries, as measured", func(Design) float64 { return transactions }),
			e.row(name+"renewals", unitWritesPerSecond, "entries / period", func(d Design) float64 { return entries * perSecond(d.RenewInterval) }),
			e.row(name+"publishes", unitWritesPerSecond, "changes a day / 86,400", func(Design) float64 { return float64(t.ChangesPerDay) / secondsPerDay }),
		)
		sweep := e.row(name+"sweep of as many claims a day later", unitWritesPerSecond, "one transaction for each claim transaction", func(Design) float64 { return transactions })
		sweep.Formula += "; it yields to nothing, so it counts when both days peak together"
		rows = append(rows, writes...)
		rows = append(rows, sweep, totalRow(name+"writes with that sweep", e.limits.WritesPerSecond, append(writes[:len(writes)-1:len(writes)-1], sweep)),
			e.row(name+"rows", "rows/s", "one for each claim, one index row for each transaction", func(Design) float64 { return claims + transactions }),
			e.row(name+"row bytes", "MB/s", "claim-row-bytes at the claim's agents x claims", func(d Design) float64 {
				return e.line("claim-row-bytes").At(t.agentsPerClaim(d, tasks)) * claims / bytesPerMegabyte
			}),
			e.row(name+"wait for a claim", "ms", fmt.Sprintf("claim-wait-%d at all entries", tasks), func(Design) float64 {
				return e.measuredAt(fmt.Sprintf("claim-wait-%d", tasks), entries)
			}))
	}
	return Table{Name: "store-writes", Rows: rows}
}

// events computes the load of single events: agents that are replaced, a lost
// rack, a zone or store that is lost or returns, and a configuration change.
func (e *Estimator) events() Table {
	t := e.target
	entries := float64(t.Entries)
	subset := func(d Design) float64 { return float64(min(d.SubsetSize, t.Entries)) }
	zoneAgents := float64(t.Agents) / float64(t.Zones)
	remainingAgents := float64(t.Agents) - zoneAgents
	return Table{Name: "events", Rows: []Row{
		e.row("ordinary day: replaced agents, first announcements and links", "a day at one entry", "299 x subset / entries", func(d Design) float64 {
			return float64(t.ReplacedPerDay) * subset(d) / entries
		}),
		e.row("ordinary day: replaced agents, announcements", "bytes/s at one entry", "announcement-bytes x those / 86,400", func(d Design) float64 {
			return e.perItem("announcement-bytes") * float64(t.ReplacedPerDay) * subset(d) / entries / secondsPerDay
		}),
		e.row("rack lost: links that break", "links at all entries", "3 x subset", func(d Design) float64 { return float64(t.AgentsPerRack) * subset(d) }),
		e.row("zone lost: links that break at the entries left", "links at one entry", "agents of the zone x subset / entries", func(d Design) float64 {
			return zoneAgents * subset(d) / entries
		}),
		e.row("zone lost: agents left that choose another entry", "announcements at one entry left", "agents left x subset x lost part / entries left", func(d Design) float64 {
			return remainingAgents * subset(d) / float64(t.Zones) / (entries - entries/float64(t.Zones))
		}),
		e.row("zone back, all within 1 s: lists", unitReadsPerSecond, "agents of the zone", func(Design) float64 { return zoneAgents }),
		e.row("zone back, all within 1 s: announcements and links", "a second at one entry", "agents of the zone x subset / entries", func(d Design) float64 {
			return zoneAgents * subset(d) / entries
		}),
		e.row("zone back, all within 1 s: announcements", "% of a core at one entry", "announcement-time x those", func(d Design) float64 {
			return percent * micro * e.perItem("announcement-time") * zoneAgents * subset(d) / entries
		}),
		e.row("store back after an hour: lists by agents within one period", unitReadsPerSecond, "agents / period", func(d Design) float64 {
			return float64(t.Agents) * perSecond(d.AgentListInterval)
		}),
		e.row("store back after an hour: changes to catch up with", "changes", "changes a day / 24", func(Design) float64 { return float64(t.ChangesPerDay) / 24 }),
		e.row("one change: reads that bring it to all entries", "reads", "2 x entries", func(Design) float64 { return 2 * entries }),
		{
			Label: "one change: time until it is in force at all entries", Unit: "ms", Formula: "change-in-force at all entries, as measured; the letter allows 5 s",
			Shipped: e.measuredAt("change-in-force", entries), Proposed: e.measuredAt("change-in-force", entries), Limit: 5000,
		},
	}}
}
