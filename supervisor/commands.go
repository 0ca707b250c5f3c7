package supervisor

import (
	"time"

	"agatevalve/common/work"
)

// Command is something that an agent has to do.
type Command interface{ command() }

// Greet is the first frame on a link: all that the agent holds for the entry.
type Greet struct {
	Entry   string
	Link    uint64
	Reports []work.Report
	Minion  work.Minion
	Usable  bool
	Leaving bool
	Load    work.Load
}

// Report tells an entry of one run.
type Report struct {
	Entry  string
	Report work.Report
}

// ReportLoad tells an entry of the minion's load.
type ReportLoad struct {
	Entry string
	Load  work.Load
	// Taken counts the orders of the entry's link that the load includes.
	Taken uint64
}

// ReportMinion tells an entry of a change of the minion.
type ReportMinion struct {
	Entry   string
	Minion  work.Minion
	Usable  bool
	Leaving bool
}

// CutLink closes a link, which is then opened anew.
type CutLink struct {
	Entry string
	Link  uint64
}

// StartRun orders the minion to start a run.
type StartRun struct {
	Run         work.Run
	Spec        string
	Minion      string
	Incarnation uint64
	// Until is the end of the lease on the minion's clock.
	Until time.Duration
}

// StopRun orders the minion to stop a run, whether it runs or not.
type StopRun struct{ Run work.Run }

// HoldLease renews the lease of all that runs, and asks for lists.
type HoldLease struct {
	Minion      string
	Incarnation uint64
	// Until is the end of the lease on the minion's clock; 0 renews nothing.
	Until time.Duration
	// Wait is how long the minion may hold back its answer until a run ends.
	Wait  time.Duration
	Acked uint64
	// Patience is how much longer than Wait the answer may take.
	Patience time.Duration
	// Look marks a request for lists beside a renewal that is held back.
	Look bool
}

// Note is a line for the log.
type Note struct {
	Text   string
	Entry  string
	Reason string
	Count  int
	Minion work.Minion
}

func (Greet) command()        {}
func (Report) command()       {}
func (ReportLoad) command()   {}
func (ReportMinion) command() {}
func (CutLink) command()      {}
func (StartRun) command()     {}
func (StopRun) command()      {}
func (HoldLease) command()    {}
func (Note) command()         {}
