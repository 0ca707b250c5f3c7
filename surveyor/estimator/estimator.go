package estimator

import (
	"fmt"

	"agatevalve/surveyor"
)

const (
	micro       = 1e-6
	percent     = 100
	million     = 1e6
	daySeconds  = 86_400
	claimsTable = "claim-transactions-%d"
)

// Estimator works out the tables of the page.
type Estimator struct {
	survey   surveyor.Report
	target   Target
	limits   Limits
	ships    Design
	proposed Design
	// err is the first slope that was missing.
	err error
}

// New returns an estimator of a fleet.
func New(survey surveyor.Report, target Target, limits Limits) *Estimator {
	return &Estimator{survey: survey, target: target, limits: limits, ships: Present(), proposed: Proposed()}
}

// Tables returns the tables of the page, in its order.
func (e *Estimator) Tables() ([]Table, error) {
	tables := []Table{
		e.entryControl(), e.entryData(), e.agentControl(), e.agentData(),
		e.operator(), e.storeReads(), e.storeWrites(), e.events(),
	}
	return tables, e.err
}

// line returns the line of a slope.
func (e *Estimator) line(name string) surveyor.Line {
	s, err := e.survey.Slope(name)
	if err != nil && e.err == nil {
		e.err = err
	}
	return s.Line
}

// each returns the cost of one more.
func (e *Estimator) each(name string) float64 { return e.line(name).Each }

// at returns the cost that was measured at a size, or that the line gives when
// none was. It serves costs that are known not to grow in a line.
func (e *Estimator) at(name string, size float64) float64 {
	line := e.line(name)
	s, err := e.survey.Slope(name)
	if err != nil {
		return 0 // line has noted it.
	}
	for _, p := range s.Points {
		if p.Size == size {
			return p.Cost
		}
	}
	return line.At(size)
}

// row works a figure out for both designs.
func (e *Estimator) row(what, unit, how string, cost func(d Design) float64) Row {
	return Row{What: what, Unit: unit, How: how, Ships: cost(e.ships), Proposed: cost(e.proposed)}
}

// total adds rows up and sets the limit.
func total(what string, limit float64, rows []Row) Row {
	sum := Row{What: "**" + what + "**", Unit: rows[0].Unit, Limit: limit, How: "sum"}
	for _, r := range rows {
		sum.Ships += r.Ships
		sum.Proposed += r.Proposed
	}
	return sum
}

func withTotal(what string, limit float64, rows ...Row) []Row {
	return append(rows, total(what, limit, rows))
}

func (e *Estimator) entryControl() Table {
	t := e.target
	agents := t.agentsPerEntry
	bytes := withTotal("control messages", e.limits.BytesPerSecond,
		e.row("announcements", rate, "announcement-bytes x agents of the entry / period", func(d Design) float64 {
			return e.each("announcement-bytes") * agents(d) * perSecond(d.Announce)
		}),
		e.row("pings of idle links", rate, "ping-bytes x links / period", func(d Design) float64 {
			return e.each("ping-bytes") * agents(d) * perSecond(d.Ping)
		}),
		e.row("list of the entries", rate, "list-bytes at all entries / period", func(d Design) float64 {
			return e.line("list-bytes").At(float64(t.Entries)) * perSecond(d.EntryList)
		}),
		e.row("renewal of its row", rate, "renewal-bytes at all entries / period", func(d Design) float64 {
			return e.line("renewal-bytes").At(float64(t.Entries)) * perSecond(d.Renew)
		}),
		e.row("polls of the head", rate, "poll-bytes / period", func(d Design) float64 {
			return e.each("poll-bytes") * perSecond(d.Poll)
		}),
		e.row("changes of the configuration", rate, "change-bytes at all routes x changes a day / 86,400", func(Design) float64 {
			return e.line("change-bytes").At(float64(t.Routes)) * float64(t.ChangesPerDay) / daySeconds
		}),
	)
	return Table{Name: "entry-control", Rows: append(append(bytes, e.entryTime()...), e.entryMemory()...)}
}

func (e *Estimator) entryTime() []Row {
	t := e.target
	agents := t.agentsPerEntry
	return withTotal("control processor time", e.limits.CorePercent,
		e.row("announcements", core, "announcement-time x agents of the entry / period", func(d Design) float64 {
			return percent * micro * e.each("announcement-time") * agents(d) * perSecond(d.Announce)
		}),
		e.row("pings of idle links", core, "ping-time x links / period", func(d Design) float64 {
			return percent * micro * e.each("ping-time") * agents(d) * perSecond(d.Ping)
		}),
		e.row("list of the entries", core, "list-time at all entries / period", func(d Design) float64 {
			return percent * micro * e.line("list-time").At(float64(t.Entries)) * perSecond(d.EntryList)
		}),
		e.row("renewal of its row", core, "renewal-time at all entries / period", func(d Design) float64 {
			return percent * micro * e.line("renewal-time").At(float64(t.Entries)) * perSecond(d.Renew)
		}),
		e.row("polls of the head", core, "poll-time / period", func(d Design) float64 {
			return percent * micro * e.each("poll-time") * perSecond(d.Poll)
		}),
		e.row("changes of the configuration", core, "change-time at all routes x changes a day / 86,400", func(Design) float64 {
			return percent * micro * e.line("change-time").At(float64(t.Routes)) * float64(t.ChangesPerDay) / daySeconds
		}),
	)
}

func (e *Estimator) entryMemory() []Row {
	t := e.target
	agents := t.agentsPerEntry
	return withTotal("control state", e.limits.Megabytes,
		e.row("agents", megabytes, "entry-agent-memory x agents of the entry", func(d Design) float64 {
			return e.each("entry-agent-memory") * agents(d) / million
		}),
		e.row("links", megabytes, "link-memory (both ends) x links", func(d Design) float64 {
			return e.each("link-memory") * agents(d) / million
		}),
		e.row("routes and pools", megabytes, "route-memory x routes, twice during a change", func(Design) float64 {
			return 2 * e.each("route-memory") * float64(t.Routes) / million
		}),
		e.row("teams", megabytes, "team-memory x teams x pools", func(Design) float64 {
			return e.each("team-memory") * float64(t.Teams*t.Pools) / million
		}),
	)
}

func (e *Estimator) entryData() Table {
	t := e.target
	starts := t.startsPerEntry()
	rows := []Row{
		e.row("callers' single requests, if all starts are such", rate, "request-bytes x starts of the entry", func(Design) float64 {
			return e.each("request-bytes") * starts
		}),
		e.row("the whole way of single requests: callers, entry, agents, minions", core, "request-time x starts of the entry", func(Design) float64 {
			return percent * micro * e.each("request-time") * starts
		}),
		e.row("starts, results and acknowledgements", rate, "(start-bytes of a burst of 1) x starts of the entry", func(Design) float64 {
			return e.line("start-bytes").At(1) * starts
		}),
		e.row("links and agents", core, "(start-time of a burst of 1, both ends and minion) x starts", func(Design) float64 {
			return percent * micro * e.line("start-time").At(1) * starts
		}),
		e.row("core, keyless jobs of 10", "% of its goroutine", "core-start-time at the entry's agents x starts", func(d Design) float64 {
			return percent * micro * e.line("core-start-time").At(t.agentsPerEntry(d)) * starts
		}),
		e.row("core, keyed jobs of 10", "% of its goroutine", "core-claimed-start-time at the entry's agents x starts", func(d Design) float64 {
			return percent * micro * e.line("core-claimed-start-time").At(t.agentsPerEntry(d)) * starts
		}),
		e.row("tasks that wait, if all wait 1 s", megabytes, "waiting-task-memory x starts of the entry", func(Design) float64 {
			return e.each("waiting-task-memory") * starts / million
		}),
	}
	for _, tasks := range t.JobTasks {
		jobs := starts / float64(tasks)
		rows = append(rows,
			e.row(fmt.Sprintf("claims, jobs of %d", tasks), rate, "claim-wire-bytes at the claim's agents x jobs of the entry", func(d Design) float64 {
				return e.line("claim-wire-bytes").At(t.claimAgents(d, tasks)) * jobs
			}),
			e.row(fmt.Sprintf("claims, jobs of %d", tasks), core, "claim-time at the claim's agents x jobs of the entry", func(d Design) float64 {
				return percent * micro * e.line("claim-time").At(t.claimAgents(d, tasks)) * jobs
			}))
	}
	kept := e.row("answers kept for 2 min, keyed jobs of 10, uncapped", megabytes, "kept-answer-memory x jobs of the entry x 120 s", func(Design) float64 {
		return e.each("kept-answer-memory") * starts / 10 * t.EntryKeeps.Seconds() / million
	})
	return Table{Name: "entry-data", Rows: append(rows, kept)}
}

func (e *Estimator) agentControl() Table {
	t := e.target
	subset := func(d Design) float64 { return float64(min(d.Subset, t.Entries)) }
	bytes := withTotal("control messages", e.limits.BytesPerSecond,
		e.row("announcements", rate, "announcement-bytes x subset / period", func(d Design) float64 {
			return e.each("announcement-bytes") * subset(d) * perSecond(d.Announce)
		}),
		e.row("pings of idle links", rate, "ping-bytes x links / period", func(d Design) float64 {
			return e.each("ping-bytes") * subset(d) * perSecond(d.Ping)
		}),
		e.row("list of the entries", rate, "list-bytes at all entries / period", func(d Design) float64 {
			return e.line("list-bytes").At(float64(t.Entries)) * perSecond(d.AgentList)
		}),
	)
	time := withTotal("control processor time", e.limits.CorePercent,
		e.row("announcements", core, "announcement-time x subset / period", func(d Design) float64 {
			return percent * micro * e.each("announcement-time") * subset(d) * perSecond(d.Announce)
		}),
		e.row("pings of idle links", core, "ping-time x links / period", func(d Design) float64 {
			return percent * micro * e.each("ping-time") * subset(d) * perSecond(d.Ping)
		}),
		e.row("list of the entries", core, "list-time at all entries / period", func(d Design) float64 {
			return percent * micro * e.line("list-time").At(float64(t.Entries)) * perSecond(d.AgentList)
		}),
	)
	memory := withTotal("control state", e.limits.Megabytes,
		e.row("the agent", megabytes, "agent-memory", func(Design) float64 { return e.each("agent-memory") / million }),
		e.row("links", megabytes, "link-memory (both ends) x subset", func(d Design) float64 {
			return e.each("link-memory") * subset(d) / million
		}),
	)
	return Table{Name: "agent-control", Rows: append(append(bytes, time...), memory...)}
}

func (e *Estimator) agentData() Table {
	t := e.target
	starts := t.startsPerAgent()
	remembered := starts * (t.AnswerWithin + t.AgentKeeps).Seconds()
	return Table{Name: "agent-data", Rows: []Row{
		e.row("starts, results and acknowledgements", rate, "(start-bytes of a burst of 1) x starts of the agent", func(Design) float64 {
			return e.line("start-bytes").At(1) * starts
		}),
		e.row("links, minion calls", core, "(start-time of a burst of 1, both ends and minion) x starts", func(Design) float64 {
			return percent * micro * e.line("start-time").At(1) * starts
		}),
		e.row("core", core, "agent-start-time x starts", func(Design) float64 {
			return percent * micro * e.each("agent-start-time") * starts
		}),
		e.row("tasks that run", "tasks", "starts x 200 ms", func(Design) float64 { return starts * t.TaskTakes.Seconds() }),
		e.row("tasks that are remembered", "tasks", "starts x (10 s deadline + 5 s)", func(Design) float64 { return remembered }),
		e.row("remembered tasks", megabytes, "remembered-task-memory x tasks", func(Design) float64 {
			return e.each("remembered-task-memory") * remembered / million
		}),
		e.row("results while no entry acknowledges for 10 s", megabytes, "kept-result-memory x starts x 10 s", func(Design) float64 {
			return e.each("kept-result-memory") * starts * t.AnswerWithin.Seconds() / million
		}),
	}}
}

func (e *Estimator) operator() Table {
	t := e.target
	return Table{Name: "operator", Rows: []Row{
		e.row("one publish of one row", "bytes", "publish-bytes at all routes", func(Design) float64 {
			return e.line("publish-bytes").At(float64(t.Routes))
		}),
		e.row("all publishes", rate, "publish-bytes at all routes x changes a day / 86,400", func(Design) float64 {
			return e.line("publish-bytes").At(float64(t.Routes)) * float64(t.ChangesPerDay) / daySeconds
		}),
		e.row("configuration in memory while it runs", megabytes, "2 x route-memory x routes", func(Design) float64 {
			return 2 * e.each("route-memory") * float64(t.Routes) / million
		}),
	}}
}
