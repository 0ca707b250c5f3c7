package supervisor

// StartAnswer is the result of a start order.
type StartAnswer uint8

const (
	// StartAccepted means that the run was started, by this order or a copy of it.
	StartAccepted StartAnswer = iota + 1
	// StartUnanswered means that no answer came; the run may still start.
	StartUnanswered
	// StartNoRoom means that the minion lacked the capacity for the run.
	StartNoRoom
	// StartTooLate means that the lease in the order had expired on the
	// minion's clock.
	StartTooLate
	// StartOld means that the minion has seen a run of the task with this
	// number or a higher one.
	StartOld
	// StartUnhealthy means that the minion refuses all runs.
	StartUnhealthy
	// StartUnreachable means that the order provably did not reach the minion.
	StartUnreachable
	// StartMalformed means that the minion could not decode the order.
	StartMalformed
	// StartOtherIncarnation means that another incarnation of the minion answered.
	StartOtherIncarnation
	// StartFenced means that the minion has seen a higher fencing token.
	StartFenced
)

// String returns the kebab-case name of the answer.
func (a StartAnswer) String() string {
	names := [...]string{
		"none", "taken", "unknown", "no-room", "too-late", "old", "unhealthy", "unreachable", "malformed", "elsewhere", "fenced",
	}
	if int(a) < len(names) {
		return names[a]
	}
	return names[0]
}
