package supervisor

import "time"

const (
	// maxFencingToken is the highest whole number that readers of JSON keep exactly
	// which hold numbers as float64.
	maxFencingToken = 1<<53 - 1
	// tokenRaise is the first raise of a refused token: a minute, where tokens are
	// times in microseconds. It doubles with each further refusal.
	tokenRaise = 60_000_000
	// maxRaiseDoublings keeps the doubled raise from overflowing.
	maxRaiseDoublings = 27
)

// fencing holds the fencing token of the agent process. The minion does nothing
// for a request whose token is lower than the highest that it has seen. So once it
// has answered this process, it refuses what earlier processes left unanswered.
type fencing struct {
	// token is the token of all requests from now on.
	token int64
	// raises counts the raises since the minion last answered the newest token.
	// Until it answers it, nothing is started: the process that follows counts on
	// each started run's token having been seen.
	raises int
	// retryAt is the earliest time of the next request for lists after a raise.
	retryAt time.Time
}

// newFencing returns the state of a process that begins with a token.
func newFencing(token int64) fencing {
	return fencing{token: min(max(token, 0), maxFencingToken)}
}

// fenceLastIncarnation raises the token, since the next incarnation of a minion has seen
// none. Once it has answered, it refuses the orders for the last one that are still
// under way.
func (c *Core) fenceLastIncarnation() {
	if c.fencing.token < maxFencingToken {
		c.fencing.token++
		c.fencing.raises++
	}
}

// answered records that the minion has carried out a request with a token.
func (f *fencing) answered(token int64) {
	if token == f.token {
		f.raises = 0
	}
}

// refuseToken raises the token, unless that has happened since the request was
// sent that the minion refused. The minion may have seen the token of an earlier
// process that went by a later time of day, for instance, if it carried out an
// order of that one late. The first retry is sent at once.
func (c *Core) refuseToken(now time.Time, token int64) {
	f := &c.fencing
	if token < f.token {
		return
	}
	// At most half of what is left, so that a raise is nearly always possible.
	f.token += min(tokenRaise<<min(f.raises, maxRaiseDoublings), (maxFencingToken-f.token+1)/2)
	f.retryAt = now
	if f.raises > 0 {
		f.retryAt = now.Add(min(minRenewalBackoff<<min(f.raises-1, maxBackoffDoublings), maxRenewalBackoff))
	}
	f.raises++
	c.emit(LogMessage{Text: "Raised the fencing token that the minion refused", Count: f.raises, Minion: c.minion.Minion})
}

// RenewalFenced means that the minion did nothing for a renewal or a request for
// lists, since it has seen a higher fencing token.
type RenewalFenced struct {
	// ListOnly and FencingToken are copied from the command that was refused.
	ListOnly     bool
	FencingToken int64
}

func (ev RenewalFenced) apply(c *Core, now time.Time) {
	if ev.ListOnly {
		c.minion.listInFlight = false
	} else {
		c.minion.renewalInFlight = false
	}
	c.refuseToken(now, ev.FencingToken)
}
