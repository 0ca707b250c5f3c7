package dispatcher

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/heap"
	"agatevalve/common/task"
)

// Chooser places tasks on minions; see balancer.Balancer.
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
	// Self is this run of the entry; Address is where other entries reach it.
	Self    task.Process
	Address netip.AddrPort
	// Zone is the entry's availability zone.
	Zone string
	// QueueTasks caps the waiting tasks of a pool that names no limit.
	QueueTasks int
	// KeepAnswers is how long an answer stays for resubmissions.
	KeepAnswers time.Duration
	// KeepBytes caps the kept answers; the oldest go first.
	KeepBytes int
	// AnswerBytes caps the responses of one submission.
	AnswerBytes int
	// Random makes ids and breaks ties.
	Random *rand.Rand
	// Chooser places tasks; nil takes the Expected policy.
	Chooser Chooser
}

// Core is the state machine of an entry.
type Core struct {
	options Options
	chooser Chooser
	// now is the time of the step under way.
	now time.Time
	// out collects the commands of the step under way.
	out []Command
	// jobs holds every live job and every kept answer.
	jobs map[task.JobID]*job
	// aliases maps the key-derived id of an unclaimed job to its id in jobs.
	aliases map[task.JobID]task.JobID
	// waiters holds every ticket that has not had its reply.
	waiters map[Ticket]*waiter
	// pools holds the queue of each pool that ever had work here.
	pools map[string]*pool
	// peers holds the address of every agent that may hold an attempt.
	peers map[task.Process]*peer
	// routes holds the learned service times.
	routes map[string]*serviceTimes
	timers *heap.Heap[timer]
	// budgets holds the retries and hedges of each pool.
	budgets map[string]*budget
	// dirty lists the pools to pump at the end of the step.
	dirty []*pool
	// kept lists finished keyed jobs in the order in which they ended.
	kept      []*job
	keptBytes int
	draining  bool
	counters  Counters
}

// Counters count what the entry did since its start.
type Counters struct {
	// Submitted counts submissions; Joined those that met a job already here.
	Submitted, Joined uint64
	// Completed, NotRun, Failed and MayHaveRun count the ends of jobs.
	Completed, NotRun, Failed, MayHaveRun uint64
	// Sends counts starts sent; Answered the responses that were used.
	Sends, Answered uint64
	// Refusals counts starts that an agent refused, Resends starts sent after
	// an earlier one failed, Hedges second starts beside a slow first one, and
	// Unused responses that nobody waited for.
	Refusals, Resends, Hedges, Unused uint64
	// Strays counts reports that match no attempt of this entry.
	Strays uint64
	// Takeovers counts jobs taken from another owner.
	Takeovers uint64
}

// New returns a core that knows no agents.
func New(o Options) *Core {
	if o.Chooser == nil {
		o.Chooser = balancer.New(balancer.ShortestExpectedDelay{}, balancer.Options{Zone: o.Zone, QueueLimit: balancer.DefaultQueueLimit, Random: o.Random})
	}
	return &Core{
		options: o,
		chooser: o.Chooser,
		jobs:    make(map[task.JobID]*job),
		aliases: make(map[task.JobID]task.JobID),
		waiters: make(map[Ticket]*waiter),
		pools:   make(map[string]*pool),
		peers:   make(map[task.Process]*peer),
		routes:  make(map[string]*serviceTimes),
		timers:  heap.New(timer.before),
		budgets: make(map[string]*budget),
	}
}

// Step takes in one event and returns what to do about it. Time never runs
// backwards: an earlier now counts as the latest one seen. The returned slice
// is valid until the next step.
func (c *Core) Step(now time.Time, event Event) []Command {
	if now.After(c.now) {
		c.now = now
	}
	c.out = c.out[:0]
	c.runTimers()
	c.handle(event)
	c.pumpAll()
	return c.out
}

// NextWake returns when the core wants a Tick at the latest; zero means never.
func (c *Core) NextWake() time.Time {
	if c.timers.Len() == 0 {
		return time.Time{}
	}
	return c.timers.Top().at
}

// Counters returns the counts since the start.
func (c *Core) Counters() Counters { return c.counters }

// Idle reports whether no caller waits and no task runs.
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
	case Withdrawn:
		c.withdraw(e.Ticket)
	case Asked:
		c.asked(e)
	case Drained:
		c.draining = true
	case Tick:
	case Announced, LoadSeen:
		c.handleMember(event)
	case ClaimWon, ClaimHeld, ClaimFailed, OwnerAnswered, OwnerLost, Fenced, FenceFailed:
		c.handleClaim(event)
	default:
		c.handleReport(event)
	}
}

func (c *Core) handleMember(event Event) {
	switch e := event.(type) {
	case Announced:
		c.announced(e.Announcement)
	case LoadSeen:
		c.loadSeen(e)
	}
}

func (c *Core) handleClaim(event Event) {
	switch e := event.(type) {
	case ClaimWon:
		c.claimWon(e.Claim)
	case ClaimHeld:
		c.claimHeld(e.Claim)
	case ClaimFailed:
		c.claimFailed(e)
	case OwnerAnswered:
		if !c.abandoned(e.Job) {
			c.ownerAnswered(e)
		}
	case OwnerLost:
		if !c.abandoned(e.Job) {
			c.ownerLost(e.Job)
		}
	case Fenced:
		c.fenced(e)
	case FenceFailed:
		c.fenceFailed(e)
	}
}

func (c *Core) handleReport(event Event) {
	switch e := event.(type) {
	case Accepted:
		c.accepted(e)
	case Refused:
		c.refused(e.Agent, e.Report)
	case Ended:
		c.ended(e.Agent, e.Report)
	case LinkLost:
		c.linkLost(e.Agent)
	case Settled:
		c.settled(e)
	case SettleFailed:
		c.settleFailed(e)
	}
}

func (c *Core) emit(command Command) { c.out = append(c.out, command) }
