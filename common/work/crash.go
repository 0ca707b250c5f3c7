package work

import "time"

// Crash is the unplanned end of a minion, together with all runs there.
type Crash struct {
	Minion      string
	Incarnation uint64
	At          time.Time
	// Runs are the runs that may have been running, of all entries. An agent reports
	// no crash without runs.
	Runs []CrashedRun
	// Withdrawn is true if an earlier report of the crash is withdrawn, since the
	// minion has answered. There are no runs then.
	Withdrawn bool
}

// CrashedRun is a run at a minion that crashed.
type CrashedRun struct {
	Run   Run
	Route string
	// Age is the time from the start order to the crash.
	Age time.Duration
	// OnProbation is true if the run had not survived its probation.
	OnProbation bool
}
