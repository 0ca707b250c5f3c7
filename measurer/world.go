package measurer

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/measurer/verifier"
	"agatevalve/router"
	"agatevalve/runner"
)

// Random streams. Each emulated part draws from its own, so that all policies
// get the same arrivals and service times.
const (
	arrivalStream = iota + 1
	callerStream
	storeStream
	entryStream
	agentStream
)

// world is the simulation of one experiment: the cores under test and
// everything that is emulated around them.
type world struct {
	*loop
	deployment Deployment
	trial      trial
	policy     policySpec
	seed       uint64
	tuning     Tuning
	entries    []*entryNode
	agents     []*agentNode
	store      *store
	callers    *callers
	verifier   *verifier.Verifier
	meter      *meter
	injected   injectedFaults
}

// injectedFaults are faults in the inputs and outputs of the cores. Tests use
// them to check that the verifier detects each kind; the zero value injects
// none.
type injectedFaults struct {
	entryCommands func([]dispatcher.Command) []dispatcher.Command
	agentCommands func([]runner.Command) []runner.Command
	// replyDelay delays every reply to a caller.
	replyDelay time.Duration
	// ignoreDrain and ignoreWithdrawal withhold these events from the cores.
	ignoreDrain      bool
	ignoreWithdrawal bool
}

func newWorld(d Deployment, t trial, p policySpec, o Options, injected injectedFaults) *world {
	w := &world{
		loop: newLoop(), deployment: d, trial: t, policy: p, seed: o.Seed, tuning: o.Tuning,
		verifier: verifier.New(epoch), injected: injected,
	}
	w.meter = newMeter(w)
	w.store = newStore(w)
	for i := range t.shares(d) {
		w.entries = append(w.entries, newEntryNode(w, i))
	}
	for i := range d.ServiceFactors {
		w.agents = append(w.agents, newAgentNode(w, i))
	}
	w.callers = newCallers(w)
	return w
}

func (w *world) randomStream(kind, index int) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, uint64(kind)<<32|uint64(index)))
}

// run simulates the experiment and returns its figures.
func (w *world) run() Figures {
	for _, a := range w.agents {
		a.boot()
	}
	// Every entry has received the announcements of all agents before the first
	// arrival.
	w.after(discoveryTime, w.callers.startArrivals)
	if w.trial.fault != nil {
		w.at(epoch.Add(w.trial.faultAt), func() { w.trial.fault(w) })
	}
	w.at(epoch.Add(w.trial.warmUp), w.meter.startMeasuring)
	w.at(epoch.Add(w.trial.end()), w.meter.stopMeasuring)
	w.loop.run(epoch.Add(w.trial.end() + completionTime))
	w.callers.checkReplies()
	return w.meter.figures()
}

const (
	// discoveryTime is the time for announcements before the first arrival.
	discoveryTime = 100 * time.Millisecond
	// completionTime is simulated after the last arrival, so that its deadline
	// passes.
	completionTime = jobDeadline + 5*time.Second
)

// routingPlan returns the routing plan of a submission.
func (w *world) routingPlan(idempotent bool) router.Plan {
	route := router.Route{Name: chargeRoute, Pool: w.deployment.Pool}
	if idempotent {
		route = router.Route{Name: checkRoute, Pool: w.deployment.Pool, Idempotent: true, WasteWeight: w.wasteWeight()}
	}
	return router.Plan{Revision: 1, Route: route, Pool: router.Pool{Name: w.deployment.Pool, Quotas: w.trial.quotas}}
}

func (w *world) wasteWeight() int {
	if w.trial.wasteWeight != nil {
		return *w.trial.wasteWeight
	}
	return w.deployment.WasteWeight
}

const (
	// Route names. Requests to checkRoute are idempotent; those to chargeRoute
	// are not.
	chargeRoute = "charges"
	checkRoute  = "checks"
)

// processAddress returns an address that is unique to a process.
func processAddress(kind, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(index >> 8), byte(index)}), 7000)
}

// liveEntry returns the running entry with this identity, or nil.
func (w *world) liveEntry(id task.Process) *entryNode {
	for _, e := range w.entries {
		if e.alive && e.self == id {
			return e
		}
	}
	return nil
}

// agentByAddress returns the agent at an address, whatever its incarnation, or
// nil.
func (w *world) agentByAddress(at netip.AddrPort) *agentNode {
	for _, a := range w.agents {
		if a.address == at {
			return a
		}
	}
	return nil
}

// nextIncarnation returns the identity of the next incarnation of a process.
func nextIncarnation(id task.Process) task.Process {
	id.Incarnation++
	return id
}

func processName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }

// requestBody returns a request body that is unique to a task, so that the
// verifier detects a response to another task.
func requestBody(job task.JobID, index int) []byte {
	body := make([]byte, 0, len(job)+4)
	body = append(body, job[:]...)
	return binary.BigEndian.AppendUint32(body, uint32(index))
}
