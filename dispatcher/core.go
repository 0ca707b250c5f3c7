package dispatcher

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/heap"
	"agatevalve/common/task"
)

// Chooser tracks the load and health of minions and places tasks on them; see
// balancer.Balancer.
type Chooser interface {
	Announce(now time.Time, info balancer.Info, load balancer.Load)
	Remove(id task.Process)
	UpdateLoad(now time.Time, id task.Process, load balancer.Load)
	ExtendExpiry(id task.Process, until time.Time)
	Get(id task.Process) *balancer.Minion
	Pool(name string) []*balancer.Minion
	Expired(now time.Time) []task.Process
	Ejected(now time.Time, id task.Process) bool
	RecordSent(now time.Time, id task.Process, expected time.Duration)
	RecordAccepted(id task.Process)
	RecordEnd(now time.Time, id task.Process, o balancer.Outcome)
	Choose(now time.Time, pool string, slotCap int, work balancer.Work, allow func(task.Process) bool) (task.Process, bool)
	Capacity(now time.Time, pool string) balancer.Capacity
}

// Options configure a Core.
type Options struct {
	// Self identifies this run of the entry; Address is where other entries
	// reach it.
	Self    task.Process
	Address netip.AddrPort
	// Zone is the entry's availability zone.
	Zone string
	// QueueTasks limits the waiting tasks of each pool that sets no limit of its
	// own.
	QueueTasks int
	// KeepAnswers is the time for which answers are kept for resubmissions.
	KeepAnswers time.Duration
	// KeepBytes limits the total size of the kept answers; the oldest are
	// dropped first.
	KeepBytes int
	// AnswerBytes limits the total size of the responses to one submission; 0
	// means no limit.
	AnswerBytes int
	// Random is the source of ids and tokens, and breaks ties.
	Random *rand.Rand
	// Chooser places tasks; nil means a balancer with the Expected policy.
	Chooser Chooser
}

// Core is the state machine of an entry. It is not safe for concurrent use.
type Core struct {
	options Options
	chooser Chooser
	// now is the time of the current step.
	now time.Time
	// commands collects the commands of the current step.
	commands []Command
	// jobs holds all unfinished jobs and those whose answer is kept.
	jobs map[task.JobID]*job
	// aliases maps the key-derived id of a keyed job without a claim to its id
	// in jobs; see runID.
	aliases map[task.JobID]task.JobID
	// waiters holds the callers and entries that wait for a reply, by ticket.
	waiters map[Ticket]*waiter
	// pools holds the queues of the pools for which work has arrived.
	pools map[string]*pool
	// peers holds the agents that are announced or have open attempts.
	peers map[task.Process]*peer
	// routeTimes holds the observed service times of each route.
	routeTimes map[string]*serviceTimes
	timers     *heap.Heap[timer]
	// budgets holds the retry and hedge budgets of each pool.
	budgets map[string]*retryBudget
	// readyPools lists the pools to dispatch at the end of the step.
	readyPools []*pool
	// keptAnswers lists the finished jobs whose answer is kept, in the order in
	// which they ended.
	keptAnswers []*job
	// keptBytes is the total size of the kept answers.
	keptBytes int
	draining  bool
	counters  Counters
}

// Counters count events since the start of the entry.
type Counters struct {
	// Submitted counts submissions; Joined counts those that joined an existing
	// job of this entry.
	Submitted, Joined uint64
	// Completed, NotRun, Failed and MayHaveRun count finished jobs by outcome.
	Completed, NotRun, Failed, MayHaveRun uint64
	// Sends counts the starts sent; Answered counts the responses used.
	Sends, Answered uint64
	// Refusals counts starts that an agent refused; Resends starts that were
	// sent again after an earlier attempt failed; Hedges second starts sent in
	// parallel with a slow first one; Unused attempts that were cancelled
	// because another attempt of the same task answered first.
	Refusals, Resends, Hedges, Unused uint64
	// Strays counts reports that match no open attempt of this entry.
	Strays uint64
	// Takeovers counts jobs taken over from another owner.
	Takeovers uint64
}

// New returns a core without agents and jobs.
func New(o Options) *Core {
	if o.Chooser == nil {
		o.Chooser = balancer.New(balancer.ShortestExpectedDelay{}, balancer.Options{Zone: o.Zone, QueueLimit: balancer.DefaultQueueLimit, Random: o.Random})
	}
	return &Core{
		options:    o,
		chooser:    o.Chooser,
		jobs:       make(map[task.JobID]*job),
		aliases:    make(map[task.JobID]task.JobID),
		waiters:    make(map[Ticket]*waiter),
		pools:      make(map[string]*pool),
		peers:      make(map[task.Process]*peer),
		routeTimes: make(map[string]*serviceTimes),
		timers:     heap.New(timer.before),
		budgets:    make(map[string]*retryBudget),
	}
}

// Step processes one event and returns the commands to carry out. Time never
// runs backwards: if now is earlier than in a former step, the time of that
// step counts. The returned slice is valid until the next step.
func (c *Core) Step(now time.Time, event Event) []Command {
	if now.After(c.now) {
		c.now = now
	}
	c.commands = c.commands[:0]
	c.runTimers()
	c.handle(event)
	c.dispatchAll()
	return c.commands
}

// NextWake returns the time at which the next timer is due, when the core needs
// a Tick at the latest. It is zero if no timer is set.
func (c *Core) NextWake() time.Time {
	if c.timers.Len() == 0 {
		return time.Time{}
	}
	return c.timers.Top().at
}

// Counters returns the counts since the start.
func (c *Core) Counters() Counters { return c.counters }

// Idle reports whether no caller waits and all jobs are finished.
func (c *Core) Idle() bool {
	if len(c.waiters) > 0 {
		return false
	}
	for _, j := range c.jobs {
		if j.phase != phaseDone {
			return false
		}
	}
	return true
}

func (c *Core) handle(event Event) {
	switch e := event.(type) {
	case Submitted:
		c.submit(e.Submission)
	case WaitCancelled:
		c.cancelWait(e.Ticket)
	case AnswerRequested:
		c.handleAnswerRequested(e)
	case DrainRequested:
		c.draining = true
	case Tick:
	case Announced, LoadReported:
		c.handleMemberEvent(event)
	case ClaimWon, ClaimHeld, ClaimFailed, OwnerAnswered, OwnerLost, Fenced, FenceFailed:
		c.handleClaimEvent(event)
	default:
		c.handleAttemptEvent(event)
	}
}

func (c *Core) handleMemberEvent(event Event) {
	switch e := event.(type) {
	case Announced:
		c.handleAnnounced(e.Announcement)
	case LoadReported:
		c.handleLoadReported(e)
	}
}

func (c *Core) handleClaimEvent(event Event) {
	switch e := event.(type) {
	case ClaimWon:
		c.handleClaimWon(e.Claim)
	case ClaimHeld:
		c.handleClaimHeld(e.Claim)
	case ClaimFailed:
		c.handleClaimFailed(e)
	case OwnerAnswered:
		if !c.abandonIfNoWaiters(e.Job) {
			c.handleOwnerAnswered(e)
		}
	case OwnerLost:
		if !c.abandonIfNoWaiters(e.Job) {
			c.handleOwnerLost(e.Job)
		}
	case Fenced:
		c.handleFenced(e)
	case FenceFailed:
		c.handleFenceFailed(e)
	}
}

func (c *Core) handleAttemptEvent(event Event) {
	switch e := event.(type) {
	case Accepted:
		c.handleAccepted(e)
	case Refused:
		c.handleRefused(e.Agent, e.Report)
	case Ended:
		c.handleEnded(e.Agent, e.Report)
	case LinkLost:
		c.handleLinkLost(e.Agent)
	case Settled:
		c.handleSettled(e)
	case SettleFailed:
		c.handleSettleFailed(e)
	}
}

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }
