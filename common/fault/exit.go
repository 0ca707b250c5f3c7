package fault

// Exit codes of agatevalve's programs.
const (
	// ExitDone means that everything was done.
	ExitDone = 0
	// ExitFailed means that it ran and failed.
	ExitFailed = 1
	// ExitBadInput means that the same input never succeeds.
	ExitBadInput = 2
	// ExitConflict means that another operator or caller was first.
	ExitConflict = 3
	// ExitUnreachable means that nothing was changed, and a later try may do.
	ExitUnreachable = 4
	// ExitUncertain means that it isn't known whether it was done.
	ExitUncertain = 5
)

// ExitCode returns the exit code of a program that ends with err.
func ExitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	switch KindOf(err) {
	case Invalid, NotFound, TooLarge, Denied:
		return ExitBadInput
	case Conflict:
		return ExitConflict
	case Unavailable, Expired:
		return ExitUnreachable
	case Uncertain:
		return ExitUncertain
	case Internal:
		return ExitFailed
	}
	return ExitFailed
}
