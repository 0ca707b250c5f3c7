package fault

// Exit codes of agatevalve's programs.
const (
	// ExitDone means that the program succeeded.
	ExitDone = 0
	// ExitFailed means that the program ran and failed.
	ExitFailed = 1
	// ExitBadInput means that the input was rejected; retrying with it can't
	// succeed.
	ExitBadInput = 2
	// ExitConflict means that a concurrent change by another operator or
	// caller came first.
	ExitConflict = 3
	// ExitUnreachable means that nothing was changed, and a later try may
	// succeed.
	ExitUnreachable = 4
	// ExitUncertain means that the operation may or may not have had its
	// effect.
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
