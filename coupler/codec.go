package coupler

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	v1 "agatevalve/wire/agatevalvev1"
)

func roomToWire(r work.Room) *v1.Room {
	return &v1.Room{CpuMillis: r.CPU, MemoryMb: r.Memory, Accelerators: r.Accelerators}
}

func roomFromWire(r *v1.Room) work.Room {
	return work.Room{CPU: r.GetCpuMillis(), Memory: r.GetMemoryMb(), Accelerators: r.GetAccelerators()}
}

func runToWire(r work.Run) *v1.RunRef {
	return &v1.RunRef{Job: r.Job, Index: uint32(r.Index), Number: uint32(r.Number)}
}

func runFromWire(r *v1.RunRef) (work.Run, error) {
	if r.GetJob() == "" || r.GetNumber() == 0 || r.GetIndex() > math.MaxInt32 || r.GetNumber() > math.MaxInt32 {
		return work.Run{}, fault.New(fault.Invalid, "compare the versions of entry and agent", "a frame names no run")
	}
	return work.Run{Task: work.Task{Job: r.GetJob(), Index: int(r.GetIndex())}, Number: int(r.GetNumber())}, nil
}

// ordersToWire adds orders to a frame. Orders with the same spec share one copy
// of it. Deadlines are sent as the time that remains, because the clocks of two
// VMs may differ.
func ordersToWire(frame *v1.RunOrders, orders []work.Order, now time.Time) {
	specs := make(map[string]uint32, len(orders))
	for _, o := range orders {
		specIndex, found := specs[o.Spec]
		if !found {
			specIndex = uint32(len(frame.Specs))
			specs[o.Spec] = specIndex
			frame.Specs = append(frame.Specs, o.Spec)
		}
		frame.Starts = append(frame.Starts, &v1.RunStart{
			Run: runToWire(o.Run), Room: roomToWire(o.Room), Label: o.Label, Spec: specIndex, MostBeside: uint32(o.MaxPerMinion),
			StartBefore: durationpb.New(o.StartBefore.Sub(now)), EndBefore: durationpb.New(o.EndBefore.Sub(now)),
			Work: durationpb.New(o.Work), Priority: int32(o.Priority), Route: o.Route, Probation: probationToWire(o.Probation),
		})
	}
}

// orderFromWire decodes one order of a frame that was received at now.
func orderFromWire(frame *v1.RunOrders, s *v1.RunStart, now time.Time) (work.Order, error) {
	run, err := runFromWire(s.GetRun())
	if err != nil {
		return work.Order{}, err
	}
	if int(s.GetSpec()) >= len(frame.GetSpecs()) {
		return work.Order{}, fault.New(fault.Invalid, "compare the versions of entry and agent", "the start of %s has no spec", run)
	}
	return work.Order{
		Run: run, Room: roomFromWire(s.GetRoom()), Label: s.GetLabel(), Spec: frame.GetSpecs()[s.GetSpec()],
		MaxPerMinion: int(s.GetMostBeside()), Priority: int(s.GetPriority()),
		StartBefore: now.Add(s.GetStartBefore().AsDuration()), EndBefore: now.Add(s.GetEndBefore().AsDuration()),
		Work: s.GetWork().AsDuration(), Route: s.GetRoute(), Probation: s.GetProbation().AsDuration(),
	}, nil
}

// probationToWire leaves out the probation of runs that are not suspected.
func probationToWire(probation time.Duration) *durationpb.Duration {
	if probation == 0 {
		return nil
	}
	return durationpb.New(probation)
}

// crashToWire sends the time of a crash as the time since, because the clocks of
// two VMs may differ. A withdrawal is a crash without runs.
func crashToWire(c work.Crash, now time.Time) *v1.MinionCrash {
	crash := &v1.MinionCrash{Minion: c.Minion, Incarnation: c.Incarnation, Ago: durationpb.New(now.Sub(c.At))}
	for _, r := range c.Runs {
		crash.Runs = append(crash.Runs, &v1.CrashedRun{Run: runToWire(r.Run), Route: r.Route, Age: durationpb.New(r.Age), OnProbation: r.OnProbation})
	}
	return crash
}

func crashFromWire(c *v1.MinionCrash, now time.Time) (work.Crash, error) {
	crash := work.Crash{Minion: c.GetMinion(), Incarnation: c.GetIncarnation(), At: now.Add(-c.GetAgo().AsDuration())}
	for _, r := range c.GetRuns() {
		run, err := runFromWire(r.GetRun())
		if err != nil {
			return work.Crash{}, err
		}
		crash.Runs = append(crash.Runs, work.CrashedRun{Run: run, Route: r.GetRoute(), Age: r.GetAge().AsDuration(), OnProbation: r.GetOnProbation()})
	}
	crash.Withdrawn = len(crash.Runs) == 0
	return crash, nil
}

// wireStates maps the states of runs to their values on the wire.
var wireStates = map[work.State]v1.RunState{
	work.Queued: v1.RunState_RUN_STATE_QUEUED, work.Started: v1.RunState_RUN_STATE_STARTED,
	work.Done: v1.RunState_RUN_STATE_DONE, work.Failed: v1.RunState_RUN_STATE_FAILED,
	work.Stopped: v1.RunState_RUN_STATE_STOPPED, work.Refused: v1.RunState_RUN_STATE_REFUSED,
	work.Lost: v1.RunState_RUN_STATE_LOST,
}

func reportToWire(r work.Report) *v1.RunReport {
	return &v1.RunReport{
		Run: runToWire(r.Run), State: wireStates[r.State], Took: durationpb.New(r.Took), Reason: string(r.Reason), Number: r.Number,
		Left: durationpb.New(r.Remaining), Sure: r.Reliable,
	}
}

func reportFromWire(r *v1.RunReport) (work.Report, error) {
	run, err := runFromWire(r.GetRun())
	if err != nil {
		return work.Report{}, err
	}
	report := work.Report{
		Run: run, Took: r.GetTook().AsDuration(), Remaining: r.GetLeft().AsDuration(),
		Reason: work.Reason(r.GetReason()), Number: r.GetNumber(), Reliable: r.GetSure(),
	}
	for state, wireState := range wireStates {
		if wireState == r.GetState() {
			report.State = state
			return report, nil
		}
	}
	return work.Report{}, fault.New(fault.Invalid, "compare the versions of entry and agent", "the report on %s has the state %s", run, r.GetState())
}

func loadToWire(l work.Load) *v1.RunLoad {
	return &v1.RunLoad{
		Running: roomToWire(l.Running), Queued: roomToWire(l.Queued), QueuedWork: durationpb.New(l.QueuedWork), Slowness: l.Slowness,
		LeastUrgent: int32(l.LeastUrgent),
	}
}

func loadFromWire(l *v1.RunLoad) work.Load {
	return work.Load{
		Running: roomFromWire(l.GetRunning()), Queued: roomFromWire(l.GetQueued()), QueuedWork: l.GetQueuedWork().AsDuration(),
		Slowness: l.GetSlowness(), LeastUrgent: int(l.GetLeastUrgent()),
	}
}

func minionToWire(m work.Minion, usable bool) *v1.MinionState {
	return &v1.MinionState{
		Name: m.Name, Incarnation: m.Incarnation, Service: m.Service, Zone: m.Zone, Labels: m.Labels,
		Room: roomToWire(m.Room), Draining: m.Draining, Usable: usable,
	}
}

func minionFromWire(m *v1.MinionState) work.Minion {
	return work.Minion{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Service: m.GetService(), Zone: m.GetZone(), Labels: m.GetLabels(),
		Room: roomFromWire(m.GetRoom()), Draining: m.GetDraining(),
	}
}

// zonesToWire returns nil if no decision on zones is known.
func zonesToWire(z work.Zones) *v1.Zones {
	if z.Version == 0 {
		return nil
	}
	return &v1.Zones{Version: z.Version, Names: z.Evacuated}
}

func zonesFromWire(z *v1.Zones) work.Zones {
	return work.Zones{Version: z.GetVersion(), Evacuated: slices.Sorted(slices.Values(z.GetNames()))}
}

// addressesFromWire decodes a list of addresses. One malformed address makes the
// whole list invalid.
func addressesFromWire(texts []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "compare the versions of entry and agent", "read the list of entries")
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

func addressesToWire(addresses []netip.AddrPort) []string {
	texts := make([]string, 0, len(addresses))
	for _, a := range addresses {
		texts = append(texts, a.String())
	}
	return texts
}

// incarnationName returns the name that cores use for one incarnation of a
// process, such as entry-1/000000000000002a.
func incarnationName(p *v1.Process) (string, error) {
	if p.GetName() == "" || p.GetIncarnation() == 0 {
		return "", fault.New(fault.Invalid, "compare the versions of entry and agent", "a frame names no process")
	}
	return fmt.Sprintf("%s/%016x", p.GetName(), p.GetIncarnation()), nil
}
