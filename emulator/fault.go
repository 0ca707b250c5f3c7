package emulator

import (
	"time"

	"agatevalve/common/fault"
)

// FaultKind is a way in which the table service fails.
type FaultKind string

// The kinds of faults, with their names in the control API.
const (
	// Down rejects calls immediately.
	Down FaultKind = "down"
	// Hung leaves calls unanswered until the fault is cleared. A write that
	// hung takes effect then, even if its caller has given up.
	Hung FaultKind = "hung"
	// Slow delays the effect of calls by Fault.Delay.
	Slow FaultKind = "slow"
	// LoseReplies executes calls and drops their replies.
	LoseReplies FaultKind = "lose-replies"
)

// Operations is a group of calls that a fault applies to.
type Operations string

// The groups of operations, with their names in the control API.
const (
	// All stands for all calls.
	All Operations = "all"
	// Reads stands for reads and scans.
	Reads Operations = "reads"
	// Writes stands for commits.
	Writes Operations = "writes"
)

// Fault describes a fault to inject.
type Fault struct {
	Kind FaultKind
	// On selects the affected operations; empty for all.
	On Operations
	// Count is the number of calls that the fault affects; 0 for all calls
	// until it is cleared.
	Count int
	// Delay is the additional latency of Slow.
	Delay time.Duration
}

// activeFault is an injected fault.
type activeFault struct {
	fault Fault
	// remaining is the number of calls that the fault still affects, if
	// fault.Count is above 0.
	remaining int
	// released is closed when the fault is cleared.
	released chan struct{}
}

// faultSet holds the active faults, at most one of each kind.
type faultSet map[FaultKind]*activeFault

// effect is the combined effect of the active faults on one call.
type effect struct {
	down      bool
	delay     time.Duration
	released  <-chan struct{}
	loseReply bool
}

func newFaultSet() faultSet { return faultSet{} }

// SetFault injects a fault, which replaces an active one of the same kind.
func (t *Table) SetFault(f Fault) error {
	if f.On == "" {
		f.On = All
	}
	if err := f.validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.clear(f.Kind)
	t.faults[f.Kind] = &activeFault{fault: f, remaining: f.Count, released: make(chan struct{})}
	return nil
}

// ClearFault ends a fault; calls that it blocked continue.
func (t *Table) ClearFault(kind FaultKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.clear(kind)
}

// ClearFaults ends all faults.
func (t *Table) ClearFaults() {
	for _, kind := range []FaultKind{Down, Hung, Slow, LoseReplies} {
		t.ClearFault(kind)
	}
}

func (f Fault) validate() error {
	switch f.Kind {
	case Down, Hung, Slow, LoseReplies:
	default:
		return fault.New(fault.Invalid, "use down, hung, slow or lose-replies", "unknown fault %q", f.Kind)
	}
	switch f.On {
	case All, Reads, Writes:
	default:
		return fault.New(fault.Invalid, "use all, reads or writes", "unknown operations %q", f.On)
	}
	if f.Count < 0 || f.Delay < 0 {
		return fault.New(fault.Invalid, "use 0 or more", "negative count or delay")
	}
	return nil
}

func (s faultSet) clear(kind FaultKind) {
	if a, ok := s[kind]; ok {
		close(a.released)
		delete(s, kind)
	}
}

// apply returns the effect of the faults on the next call, and decrements their
// remaining counts.
func (s faultSet) apply(on Operations) effect {
	var e effect
	if s.match(Down, on) != nil {
		e.down = true
		return e
	}
	if a := s.match(Hung, on); a != nil {
		e.released = a.released
	}
	if a := s.match(Slow, on); a != nil {
		e.delay = a.fault.Delay
	}
	e.loseReply = s.match(LoseReplies, on) != nil
	return e
}

// match returns the active fault of the kind if it applies to the call, and
// decrements its remaining count; otherwise nil.
func (s faultSet) match(kind FaultKind, on Operations) *activeFault {
	a, ok := s[kind]
	if !ok || (a.fault.On != All && a.fault.On != on) {
		return nil
	}
	if a.fault.Count == 0 {
		return a
	}
	if a.remaining == 0 {
		return nil
	}
	a.remaining--
	return a
}
