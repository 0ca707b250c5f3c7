package estimator

import (
	"fmt"

	"agatevalve/surveyor"
)

const (
	// micro converts microseconds to seconds.
	micro            = 1e-6
	percent          = 100
	bytesPerMegabyte = 1e6
	secondsPerDay    = 86_400
	// claimTransactionsSlope is the format of the slope's name for a job size.
	claimTransactionsSlope = "claim-transactions-%d"
)

// Estimator computes the tables of the capacity page from a survey.
type Estimator struct {
	survey   surveyor.Report
	target   Target
	limits   Limits
	shipped  Design
	proposed Design
	// err is the first failed lookup of a slope; Tables returns it.
	err error
}

// New returns an Estimator for a fleet of the size of target, with the shipped
// and the proposed design.
func New(survey surveyor.Report, target Target, limits Limits) *Estimator {
	return &Estimator{survey: survey, target: target, limits: limits, shipped: ShippedDesign(), proposed: ProposedDesign()}
}

// Tables returns the tables in the order of the page. It fails if the survey
// lacks a slope.
func (e *Estimator) Tables() ([]Table, error) {
	tables := []Table{
		e.entryControl(), e.entryData(), e.agentControl(), e.agentData(),
		e.operator(), e.storeReads(), e.storeWrites(), e.events(),
	}
	return tables, e.err
}

// line returns the fitted line of a slope. The first missing slope is recorded
// in e.err.
func (e *Estimator) line(name string) surveyor.Line {
	s, err := e.survey.Slope(name)
	if err != nil && e.err == nil {
		e.err = err
	}
	return s.Line
}

// perItem returns the gradient of a slope: the cost of one more item.
func (e *Estimator) perItem(name string) float64 { return e.line(name).Gradient }

// measuredAt returns the cost that was measured at a size, or the value of the
// fitted line if that size was not measured. It is for costs that are known not
// to grow linearly.
func (e *Estimator) measuredAt(name string, size float64) float64 {
	line := e.line(name)
	s, err := e.survey.Slope(name)
	if err != nil {
		return 0 // line has recorded the error.
	}
	for _, p := range s.Points {
		if p.Size == size {
			return p.Cost
		}
	}
	return line.At(size)
}

// row returns a row with the cost of both designs.
func (e *Estimator) row(label, unit, formula string, cost func(d Design) float64) Row {
	return Row{Label: label, Unit: unit, Formula: formula, Shipped: cost(e.shipped), Proposed: cost(e.proposed)}
}

// totalRow returns the sum of rows with a limit.
func totalRow(label string, limit float64, rows []Row) Row {
	total := Row{Label: "**" + label + "**", Unit: rows[0].Unit, Limit: limit, Formula: "sum"}
	for _, r := range rows {
		total.Shipped += r.Shipped
		total.Proposed += r.Proposed
	}
	return total
}

// withTotal appends the sum of rows to them.
func withTotal(label string, limit float64, rows ...Row) []Row {
	return append(rows, totalRow(label, limit, rows))
}

func (e *Estimator) entryControl() Table {
	t := e.target
	agents := t.agentsPerEntry
	bytes := withTotal("control messages", e.limits.BytesPerSecond,
		e.row("announcements", unitBytesPerSecond, "announcement-bytes x agents of the entry / period", func(d Design) float64 {
			return e.perItem("announcement-bytes") * agents(d) * perSecond(d.AnnounceInterval)
		}),
		e.row("pings of idle links", unitBytesPerSecond, "ping-bytes x links / period", func(d Design) float64 {
			return e.perItem("ping-bytes") * agents(d) * perSecond(d.PingInterval)
		}),
		e.row("list of the entries", unitBytesPerSecond, "list-bytes at all entries / period", func(d Design) float64 {
			return e.line("list-bytes").At(float64(t.Entries)) * perSecond(d.EntryListInterval)
		}),
		e.row("renewal of its row", unitBytesPerSecond, "renewal-bytes at all entries / period", func(d Design) float64 {
			return e.line("renewal-bytes").At(float64(t.Entries)) * perSecond(d.RenewInterval)
		}),
		e.row("polls of the head", unitBytesPerSecond, "poll-bytes / period", func(d Design) float64 {
			return e.perItem("poll-bytes") * perSecond(d.PollInterval)
		}),
		e.row("changes of the configuration", unitBytesPerSecond, "change-bytes at all routes x changes a day / 86,400", func(Design) float64 {
			return e.line("change-bytes").At(float64(t.Routes)) * float64(t.ChangesPerDay) / secondsPerDay
		}),
	)
	return Table{Name: "entry-control", Rows: append(append(bytes, e.entryProcessorTime()...), e.entryMemory()...)}
}

func (e *Estimator) entryProcessorTime() []Row {
	t := e.target
	agents := t.agentsPerEntry
	return withTotal("control processor time", e.limits.CorePercent,
		e.row("announcements", unitCorePercent, "announcement-time x agents of the entry / period", func(d Design) float64 {
			return percent * micro * e.perItem("announcement-time") * agents(d) * perSecond(d.AnnounceInterval)
		}),
		e.row("pings of idle links", unitCorePercent, "ping-time x links / period", func(d Design) float64 {
			return percent * micro * e.perItem("ping-time") * agents(d) * perSecond(d.PingInterval)
		}),
		e.row("list of the entries", unitCorePercent, "list-time at all entries / period", func(d Design) float64 {
			return percent * micro * e.line("list-time").At(float64(t.Entries)) * perSecond(d.EntryListInterval)
		}),
		e.row("renewal of its row", unitCorePercent, "renewal-time at all entries / period", func(d Design) float64 {
			return percent * micro * e.line("renewal-time").At(float64(t.Entries)) * perSecond(d.RenewInterval)
		}),
		e.row("polls of the head", unitCorePercent, "poll-time / period", func(d Design) float64 {
			return percent * micro * e.perItem("poll-time") * perSecond(d.PollInterval)
		}),
		e.row("changes of the configuration", unitCorePercent, "change-time at all routes x changes a day / 86,400", func(Design) float64 {
			return percent * micro * e.line("change-time").At(float64(t.Routes)) * float64(t.ChangesPerDay) / secondsPerDay
		}),
	)
}

func (e *Estimator) entryMemory() []Row {
	t := e.target
	agents := t.agentsPerEntry
	return withTotal("control state", e.limits.Megabytes,
		e.row("agents", unitMegabytes, "entry-agent-memory x agents of the entry", func(d Design) float64 {
			return e.perItem("entry-agent-memory") * agents(d) / bytesPerMegabyte
		}),
		e.row("links", unitMegabytes, "link-memory (both ends) x links", func(d Design) float64 {
			return e.perItem("link-memory") * agents(d) / bytesPerMegabyte
		}),
		e.row("routes and pools", unitMegabytes, "route-memory x routes, twice during a change", func(Design) float64 {
			return 2 * e.perItem("route-memory") * float64(t.Routes) / bytesPerMegabyte
		}),
		e.row("teams", unitMegabytes, "team-memory x teams x pools", func(Design) float64 {
			return e.perItem("team-memory") * float64(t.Teams*t.Pools) / bytesPerMegabyte
		}),
	)
}

func (e *Estimator) entryData() Table {
	t := e.target
	starts := t.startsPerEntry()
	rows := []Row{
		e.row("callers' single requests, if all starts are such", unitBytesPerSecond, "request-bytes x starts of the entry", func(Design) float64 {
			return e.perItem("request-bytes") * starts
		}),
		e.row("the whole way of single requests: callers, entry, agents, minions", unitCorePercent, "request-time x starts of the entry", func(Design) float64 {
			return percent * micro * e.perItem("request-time") * starts
		}),
		e.row("starts, results and acknowledgements", unitBytesPerSecond, "(start-bytes of a burst of 1) x starts of the entry", func(Design) float64 {
			return e.line("start-bytes").At(1) * starts
		}),
		e.row("links and agents", unitCorePercent, "(start-time of a burst of 1, both ends and minion) x starts", func(Design) float64 {
			return percent * micro * e.line("start-time").At(1) * starts
		}),
		e.row("core, keyless jobs of 10", "% of its goroutine", "core-start-time at the entry's agents x starts", func(d Design) float64 {
			return percent * micro * e.line("core-start-time").At(t.agentsPerEntry(d)) * starts
		}),
		e.row("core, keyed jobs of 10", "% of its goroutine", "core-claimed-start-time at the entry's agents x starts", func(d Design) float64 {
			return percent * micro * e.line("core-claimed-start-time").At(t.agentsPerEntry(d)) * starts
		}),
		e.row("tasks that wait, if all wait 1 s", unitMegabytes, "waiting-task-memory x starts of the entry", func(Design) float64 {
			return e.perItem("waiting-task-memory") * starts / bytesPerMegabyte
		}),
	}
	for _, tasks := range t.JobSizes {
		jobs := starts / float64(tasks)
		rows = append(rows,
			e.row(fmt.Sprintf("claims, jobs of %d", tasks), unitBytesPerSecond, "claim-wire-bytes at the claim's agents x jobs of the entry", func(d Design) float64 {
				return e.line("claim-wire-bytes").At(t.agentsPerClaim(d, tasks)) * jobs
			}),
			e.row(fmt.Sprintf("claims, jobs of %d", tasks), unitCorePercent, "claim-time at the claim's agents x jobs of the entry", func(d Design) float64 {
				return percent * micro * e.line("claim-time").At(t.agentsPerClaim(d, tasks)) * jobs
			}))
	}
	kept := e.row("answers kept for 2 min, keyed jobs of 10, uncapped", unitMegabytes, "kept-answer-memory x jobs of the entry x 120 s", func(Design) float64 {
		return e.perItem("kept-answer-memory") * starts / 10 * t.EntryRetention.Seconds() / bytesPerMegabyte
	})
	return Table{Name: "entry-data", Rows: append(rows, kept)}
}

func (e *Estimator) agentControl() Table {
	t := e.target
	subset := func(d Design) float64 { return float64(min(d.SubsetSize, t.Entries)) }
	bytes := withTotal("control messages", e.limits.BytesPerSecond,
		e.row("announcements", unitBytesPerSecond, "announcement-bytes x subset / period", func(d Design) float64 {
			return e.perItem("announcement-bytes") * subset(d) * perSecond(d.AnnounceInterval)
		}),
		e.row("pings of idle links", unitBytesPerSecond, "ping-bytes x links / period", func(d Design) float64 {
			return e.perItem("ping-bytes") * subset(d) * perSecond(d.PingInterval)
		}),
		e.row("list of the entries", unitBytesPerSecond, "list-bytes at all entries / period", func(d Design) float64 {
			return e.line("list-bytes").At(float64(t.Entries)) * perSecond(d.AgentListInterval)
		}),
	)
	time := withTotal("control processor time", e.limits.CorePercent,
		e.row("announcements", unitCorePercent, "announcement-time x subset / period", func(d Design) float64 {
			return percent * micro * e.perItem("announcement-time") * subset(d) * perSecond(d.AnnounceInterval)
		}),
		e.row("pings of idle links", unitCorePercent, "ping-time x links / period", func(d Design) float64 {
			return percent * micro * e.perItem("ping-time") * subset(d) * perSecond(d.PingInterval)
		}),
		e.row("list of the entries", unitCorePercent, "list-time at all entries / period", func(d Design) float64 {
			return percent * micro * e.line("list-time").At(float64(t.Entries)) * perSecond(d.AgentListInterval)
		}),
	)
	memory := withTotal("control state", e.limits.Megabytes,
		e.row("the agent", unitMegabytes, "agent-memory", func(Design) float64 { return e.perItem("agent-memory") / bytesPerMegabyte }),
		e.row("links", unitMegabytes, "link-memory (both ends) x subset", func(d Design) float64 {
			return e.perItem("link-memory") * subset(d) / bytesPerMegabyte
		}),
	)
	return Table{Name: "agent-control", Rows: append(append(bytes, time...), memory...)}
}

func (e *Estimator) agentData() Table {
	t := e.target
	starts := t.startsPerAgent()
	remembered := starts * (t.AnswerWithin + t.AgentRetention).Seconds()
	return Table{Name: "agent-data", Rows: []Row{
		e.row("starts, results and acknowledgements", unitBytesPerSecond, "(start-bytes of a burst of 1) x starts of the agent", func(Design) float64 {
			return e.line("start-bytes").At(1) * starts
		}),
		e.row("links, minion calls", unitCorePercent, "(start-time of a burst of 1, both ends and minion) x starts", func(Design) float64 {
			return percent * micro * e.line("start-time").At(1) * starts
		}),
		e.row("core", unitCorePercent, "agent-start-time x starts", func(Design) float64 {
			return percent * micro * e.perItem("agent-start-time") * starts
		}),
		e.row("tasks that run", "tasks", "starts x 200 ms", func(Design) float64 { return starts * t.MeanTaskTime.Seconds() }),
		e.row("tasks that are remembered", "tasks", "starts x (10 s deadline + 5 s)", func(Design) float64 { return remembered }),
		e.row("remembered tasks", unitMegabytes, "remembered-task-memory x tasks", func(Design) float64 {
			return e.perItem("remembered-task-memory") * remembered / bytesPerMegabyte
		}),
		e.row("results while no entry acknowledges for 10 s", unitMegabytes, "kept-result-memory x starts x 10 s", func(Design) float64 {
			return e.perItem("kept-result-memory") * starts * t.AnswerWithin.Seconds() / bytesPerMegabyte
		}),
	}}
}

func (e *Estimator) operator() Table {
	t := e.target
	return Table{Name: "operator", Rows: []Row{
		e.row("one publish of one row", "bytes", "publish-bytes at all routes", func(Design) float64 {
			return e.line("publish-bytes").At(float64(t.Routes))
		}),
		e.row("all publishes", unitBytesPerSecond, "publish-bytes at all routes x changes a day / 86,400", func(Design) float64 {
			return e.line("publish-bytes").At(float64(t.Routes)) * float64(t.ChangesPerDay) / secondsPerDay
		}),
		e.row("configuration in memory while it runs", unitMegabytes, "2 x route-memory x routes", func(Design) float64 {
			return 2 * e.perItem("route-memory") * float64(t.Routes) / bytesPerMegabyte
		}),
	}}
}
