package emulator

import (
	"time"

	"agatevalve/common/fault"
)

// FaultKind is a way in which the stand-in fails.
type FaultKind string

// Kinds of faults. Their values are the names on the control path.
const (
	// Down refuses calls at once.
	Down FaultKind = "down"
	// Hung leaves calls unanswered until the fault is cleared. A write that
	// hung takes effect then, even if its caller has left.
	Hung FaultKind = "hung"
	// Slow delays the effect of calls.
	Slow FaultKind = "slow"
	// LoseReplies lets calls take effect and loses their replies.
	LoseReplies FaultKind = "lose-replies"
)

// Operations are the calls that a fault applies to.
type Operations string

// Groups of operations. Their values are the names on the control path.
const (
	// All is every call.
	All Operations = "all"
	// Reads are reads and scans.
	Reads Operations = "reads"
	// Writes are commits.
	Writes Operations = "writes"
)

// Fault is a fault to switch on.
type Fault struct {
	Kind FaultKind
	// On is empty for all operations.
	On Operations
	// Count is the number of calls that the fault hits; 0 is until cleared.
	Count int
	// Delay is the extra time of Slow.
	Delay time.Duration
}

type activeFault struct {
	fault Fault
	// left is the number of calls still to be hit, when fault.Count > 0.
	left int
	// released is closed when the fault is cleared.
	released chan struct{}
}

// faultSet holds at most one fault of each kind.
type faultSet map[FaultKind]*activeFault

// effect is what the active faults do to one call.
type effect struct {
	down      bool
	delay     time.Duration
	released  <-chan struct{}
	loseReply bool
}

func newFaultSet() faultSet { return faultSet{} }

// SetFault switches a fault on. It replaces one of the same kind.
func (t *Table) SetFault(f Fault) error {
	if f.On == "" {
		f.On = All
	}
	if err := f.check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.clear(f.Kind)
	t.faults[f.Kind] = &activeFault{fault: f, left: f.Count, released: make(chan struct{})}
	return nil
}

// ClearFault switches a fault off; calls that hung go on.
func (t *Table) ClearFault(kind FaultKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.clear(kind)
}

// ClearFaults switches all faults off.
func (t *Table) ClearFaults() {
	for _, kind := range []FaultKind{Down, Hung, Slow, LoseReplies} {
		t.ClearFault(kind)
	}
}

func (f Fault) check() error {
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

// draw returns what the faults do to the next call, and counts it.
func (s faultSet) draw(on Operations) effect {
	var e effect
	if s.hit(Down, on) != nil {
		e.down = true
		return e
	}
	if a := s.hit(Hung, on); a != nil {
		e.released = a.released
	}
	if a := s.hit(Slow, on); a != nil {
		e.delay = a.fault.Delay
	}
	e.loseReply = s.hit(LoseReplies, on) != nil
	return e
}

// hit returns the active fault of the kind if it applies to the call.
func (s faultSet) hit(kind FaultKind, on Operations) *activeFault {
	a, ok := s[kind]
	if !ok || (a.fault.On != All && a.fault.On != on) {
		return nil
	}
	if a.fault.Count == 0 {
		return a
	}
	if a.left == 0 {
		return nil
	}
	a.left--
	return a
}
