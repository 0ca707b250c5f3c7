package router

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the values in CompileAccepted, which uses the nearest limit in place
// of a value beyond it.
const (
	// MaxAcceptedTime caps Route.AnswerWithin and JobPolicy.Allowance. No connection
	// lasts longer, and the sum of a few such times doesn't overflow.
	MaxAcceptedTime = 365 * 24 * time.Hour
	// MaxAcceptedStretch caps JobPolicy.Stretch. The objective is then later than the
	// deadline.
	MaxAcceptedStretch = 1_000_000.0
	// MaxAcceptedCount caps JobPolicy.Attempts and JobPolicy.Priority, for which
	// messages have 32 bits.
	MaxAcceptedCount = math.MaxInt32
)

// CompileAccepted builds the table of a configuration that another system has
// accepted, so that refusing it would only keep an older one in force. A value
// that Compile refuses costs the row at most: it is replaced, or no request
// matches the row, or the row is left out since another one takes the same
// requests. Each of these is a warning. Pools are those that the routes name.
func CompileAccepted(revision uint64, routes []Route) *Table {
	a := &acceptance{nameCounts: make(map[string]int, len(routes)), byMatch: make(map[matchKey]string, len(routes)), poolNames: make(map[string]bool)}
	for _, r := range routes {
		a.nameCounts[r.Name]++
	}
	for _, r := range routes {
		a.accept(r)
	}
	return newTable(revision, a.routes, a.pools, a.warnings)
}

// matchKey is equal for routes that match the same requests.
type matchKey struct {
	host, prefix, method string
	prefixMatch          PrefixMatch
}

// acceptance collects the rows of an accepted configuration.
type acceptance struct {
	routes   []Route
	pools    []Pool
	warnings []Finding
	// nameCounts holds the number of routes with each name.
	nameCounts map[string]int
	// byMatch holds the name of the route by what it matches.
	byMatch   map[matchKey]string
	poolNames map[string]bool
}

func (a *acceptance) warn(cause Cause, row, remedy, format string, args ...any) {
	a.warnings = append(a.warnings, Finding{
		Cause: cause, Table: routesTable, Row: row, Text: fmt.Sprintf(format, args...), Remedy: remedy, Warning: true,
	})
}

// accept adds a route and its pool.
func (a *acceptance) accept(r Route) {
	r.Host = cmp.Or(normalizeHost(r.Host), r.Host) // A dot alone must not stand for any host.
	key := matchKey{r.Host, r.requiredPrefix(), r.Method, r.PrefixMatch}
	r.Name = a.uniqueName(r.Name, key)
	if other, ok := a.byMatch[key]; ok {
		a.warn(AmbiguousRoute, r.Name, "change or delete one of the two", "left out, since route %q matches the same requests", other)
		return
	}
	a.byMatch[key] = r.Name
	a.warnUnmatchable(r)
	a.limitValues(&r)
	a.routes = append(a.routes, r)
	if !a.poolNames[r.Pool] {
		a.poolNames[r.Pool] = true
		a.pools = append(a.pools, Pool{Name: r.Pool})
	}
}

// uniqueName returns the name of a route, or one derived from it and its key if it
// is empty, too long for messages, or that of several routes. What is learned about
// the jobs of a route is kept by its name.
func (a *acceptance) uniqueName(name string, key matchKey) string {
	count := a.nameCounts[name]
	if name != "" && len(name) <= MaxNameBytes && count == 1 {
		return name
	}
	shortened := strings.ToValidUTF8(name[:min(len(name), MaxNameBytes/2)], "")
	unique := fmt.Sprintf("%s#%016x", shortened, xxhash.Sum64String(fmt.Sprintf("%q", key)))
	if count > 1 {
		a.warn(SimilarName, unique, "give each route a name of its own", "%d routes are named %q", count, shortened)
	} else {
		a.warn(BadName, unique, fmt.Sprintf("use 1 to %d bytes", MaxNameBytes), "the name has %d bytes", len(name))
	}
	return unique
}

// warnUnmatchable warns of values for which no request matches a route.
func (a *acceptance) warnUnmatchable(r Route) {
	if r.Host != "" && !validHost(r.Host) {
		a.warn(BadHost, r.Name, "use a host name", "requests may not match host %q", r.Host)
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		a.warn(BadPath, r.Name, "begin it with a slash", "no request matches path prefix %q", r.PathPrefix)
	}
	if r.Method != "" && !slices.Contains(methods, r.Method) {
		a.warn(BadMethod, r.Name, "leave it empty for any, or use one of "+strings.Join(methods, ", "), "no request matches method %q", r.Method)
	}
}

// limitValues replaces the values of a route that are out of range.
func (a *acceptance) limitValues(r *Route) {
	limit(a, r.Name, "answer-within", &r.AnswerWithin, 0, MaxAcceptedTime)
	limit(a, r.Name, "waste weight", &r.WasteWeight, 0, MaxWasteWeight)
	limit(a, r.Name, "number of attempts", &r.Jobs.Attempts, 0, MaxAcceptedCount)
	limit(a, r.Name, "priority", &r.Jobs.Priority, 0, MaxAcceptedCount)
	limit(a, r.Name, "stretch", &r.Jobs.Stretch, 0, MaxAcceptedStretch)
	limit(a, r.Name, "allowance", &r.Jobs.Allowance, 0, MaxAcceptedTime)
	limit(a, r.Name, "longest wait for data", &r.Jobs.DataWait.MaxWait, 0, MaxDataWait)
	limit(a, r.Name, "weight of a wait for data", &r.Jobs.DataWait.Weight, 0, MaxDataWaitWeight)
}

// limit replaces a value that is not between two limits by the nearest of them.
func limit[T cmp.Ordered](a *acceptance, row, what string, value *T, lower, upper T) {
	if *value >= lower && *value <= upper {
		return
	}
	given := *value
	*value = lower // Also for NaN.
	if given > upper {
		*value = upper
	}
	a.warn(OutOfRange, row, fmt.Sprintf("use %v to %v", lower, upper), "%s %v is out of range, %v is used", what, given, *value)
}
