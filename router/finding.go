package router

import (
	"fmt"
	"strings"
)

// Cause tells programs why a row was found at fault.
type Cause string

// Causes of findings.
const (
	// MissingPool is a route to a pool that does not exist.
	MissingPool Cause = "missing-pool"
	// AmbiguousRoute matches exactly the requests of another route.
	AmbiguousRoute Cause = "ambiguous-route"
	// UnreachableRoute loses every request to more specific routes.
	UnreachableRoute Cause = "unreachable-route"
	// SimilarName differs from another row's name only by case or blanks.
	SimilarName Cause = "similar-name"
	// BadName is empty, too long, or holds characters that can't be told apart.
	BadName Cause = "bad-name"
	// BadHost, BadPath and BadMethod can match no request.
	BadHost   Cause = "bad-host"
	BadPath   Cause = "bad-path"
	BadMethod Cause = "bad-method"
	// OutOfRange is a limit that is too low or too high.
	OutOfRange Cause = "out-of-range"
	// DoubledQuota is a second quota row for one team.
	DoubledQuota Cause = "doubled-quota"
	// UnusedPool is a pool that no route names. It is a warning, since pools
	// are made before the routes that lead to them.
	UnusedPool Cause = "unused-pool"
	// TooMany is a table with too many rows.
	TooMany Cause = "too-many-rows"
)

// Finding is one fault in a configuration.
type Finding struct {
	Cause Cause
	// Table is "routes" or "pools".
	Table string
	// Row is the name of the row at fault; it is empty for the whole table.
	Row string
	// Text says what is wrong.
	Text string
	// Remedy says what to change; it is never empty.
	Remedy string
	// Warning findings don't keep the configuration from being accepted.
	Warning bool
}

// String returns the finding in one line with its remedy.
func (f Finding) String() string {
	return fmt.Sprintf("%s %q: %s; %s", f.Table, f.Row, f.Text, f.Remedy)
}

// FindingsError is the error that refuses a configuration. It is never empty.
type FindingsError []Finding

// Error returns one line per finding.
func (f FindingsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d findings", len(f))
	for _, finding := range f {
		b.WriteString("\n  ")
		b.WriteString(finding.String())
	}
	return b.String()
}
