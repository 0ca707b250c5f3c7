package supervisor

import (
	"time"

	"agatevalve/common/work"
)

// Command is an action that the agent must execute.
type Command interface{ command() }

// ReportSnapshot sends the first frame on a link: the state of all runs that
// the agent holds for the entry, the minion and its load.
type ReportSnapshot struct {
	Entry   string
	Link    uint64
	Reports []work.Report
	Minion  work.Minion
	Usable  bool
	Leaving bool
	Load    work.Load
	// Crashes are the recent crashes of the minion, oldest first.
	Crashes []work.Crash
	// Zones is the newest decision on evacuated zones that the agent knows.
	Zones work.Zones
}

// ReportZones sends an entry a newer decision on evacuated zones.
type ReportZones struct {
	Entry string
	Zones work.Zones
}

// ReportRun sends an entry the state of one run.
type ReportRun struct {
	Entry  string
	Report work.Report
	// History is for the log, and set for a run that was accepted and has ended.
	History History
}

// ReportLoad sends an entry the minion's load.
type ReportLoad struct {
	Entry string
	Load  work.Load
	// OrdersReceived counts the orders received over the entry's current link.
	// The load includes these orders.
	OrdersReceived uint64
}

// ReportMinion notifies an entry of a change of the minion.
type ReportMinion struct {
	Entry   string
	Minion  work.Minion
	Usable  bool
	Leaving bool
}

// ReportCrash notifies an entry of a crash of the minion. It precedes the reports
// of the runs that were lost.
type ReportCrash struct {
	Entry string
	Crash work.Crash
}

// CutLink closes a link. The agent then opens a new one, unless it was retired.
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
	// LeaseExpiry is the expiry time of the lease on the minion's clock.
	LeaseExpiry time.Duration
	// FencingToken makes the minion do nothing if it has seen a higher one.
	FencingToken int64
	// SendBefore is the time from which the order must not be sent any more, since the
	// run has been given up or ordered again; zero for any time.
	SendBefore time.Time
}

// StopRun orders the minion to stop a run, and never to start it if it has not
// started.
type StopRun struct {
	Run work.Run
	// Incarnation is the incarnation of the minion that the order is for.
	Incarnation uint64
	// FencingToken makes the minion do nothing if it has seen a higher one.
	FencingToken int64
	// AnswerTimeout is the timeout for the answer. Each order must be followed by a
	// StopAnswered, also if it is not sent: until then the run gets no other one.
	AnswerTimeout time.Duration
	// Repeated is true if the last order for the run went unanswered. The first orders
	// of other runs should not wait behind it.
	Repeated bool
}

// RenewLease renews the lease of all runs at the minion, and requests the lists
// of running and ended runs.
type RenewLease struct {
	Minion      string
	Incarnation uint64
	// LeaseExpiry is the expiry time of the lease on the minion's clock; 0 renews
	// nothing.
	LeaseExpiry time.Duration
	// Wait is the long-poll time: how long the minion may delay its answer
	// while no run ends.
	Wait time.Duration
	// Acked is the number of the newest end that the agent has processed; 0 if
	// another incarnation may answer.
	Acked uint64
	// AnswerTimeout is the timeout for the answer, on top of Wait.
	AnswerTimeout time.Duration
	// ListOnly marks a request for lists only, sent while a renewal is in flight.
	ListOnly bool
	// FencingToken makes the minion do nothing if it has seen a higher one.
	FencingToken int64
}

// StoreMinion stores the minion's description for an agent process that follows.
type StoreMinion struct{ Minion work.Minion }

// IgnoreDescription notes that a description of the minion was not taken.
type IgnoreDescription struct {
	// Ignored is the description, and Current the one that stays in force.
	Ignored, Current work.Minion
	Reason           string
}

// LogMessage writes a message to the log.
type LogMessage struct {
	Text string
	// Run is the run that the message is on; zero for none.
	Run    work.Run
	Entry  string
	Reason string
	Count  int
	Minion work.Minion
}

func (ReportSnapshot) command()    {}
func (ReportRun) command()         {}
func (ReportLoad) command()        {}
func (ReportMinion) command()      {}
func (ReportZones) command()       {}
func (ReportCrash) command()       {}
func (CutLink) command()           {}
func (StartRun) command()          {}
func (StopRun) command()           {}
func (RenewLease) command()        {}
func (StoreMinion) command()       {}
func (IgnoreDescription) command() {}
func (LogMessage) command()        {}
