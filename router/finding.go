package router

import (
	"fmt"
	"strings"
)

// Cause is the machine-readable reason of a finding.
type Cause string

// Causes of findings.
const (
	// MissingPool is a route to a pool that does not exist.
	MissingPool Cause = "missing-pool"
	// AmbiguousRoute is a route that matches exactly the same requests as another
	// one.
	AmbiguousRoute Cause = "ambiguous-route"
	// UnreachableRoute is a route for which a more specific one always takes
	// precedence.
	UnreachableRoute Cause = "unreachable-route"
	// SimilarName is a name that differs from that of another row only by case or
	// blanks.
	SimilarName Cause = "similar-name"
	// BadName is a name that is empty, too long, or has characters that cannot be
	// told apart when printed.
	BadName Cause = "bad-name"
	// BadHost, BadPath and BadMethod are values that no request can match.
	BadHost   Cause = "bad-host"
	BadPath   Cause = "bad-path"
	BadMethod Cause = "bad-method"
	// OutOfRange is a value below or above its limits.
	OutOfRange Cause = "out-of-range"
	// DuplicateQuota is a second quota for the same team.
	DuplicateQuota Cause = "doubled-quota"
	// UnusedPool is a pool that no route names. It is only a warning, because
	// pools are created before the routes that lead to them.
	UnusedPool Cause = "unused-pool"
	// BadValue is a value that can't be read.
	BadValue Cause = "bad-value"
	// TooManyRows is a table with too many rows.
	TooManyRows Cause = "too-many-rows"
)

// Finding is one error or warning about a configuration.
type Finding struct {
	Cause Cause
	// Table is "routes" or "pools".
	Table string
	// Row is the name of the affected row; it is empty when the finding is about
	// the whole table.
	Row string
	// Text describes the problem.
	Text string
	// Remedy describes what to change; it is never empty.
	Remedy string
	// Warning is set when the configuration is accepted in spite of the finding.
	Warning bool
}

// String returns the finding and its remedy in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %q: %s; %s", f.Table, f.Row, f.Text, f.Remedy)
}

// FindingsError lists the findings for which a configuration is refused. It is
// never empty.
type FindingsError []Finding

// Error returns the number of findings and each of them on a line of its own.
func (f FindingsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d findings", len(f))
	for _, finding := range f {
		b.WriteString("\n  ")
		b.WriteString(finding.String())
	}
	return b.String()
}
