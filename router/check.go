package router

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Limits of the values in a configuration.
const (
	// MaxRoutes and MaxPools cap the rows of the two tables.
	MaxRoutes = 20_000
	MaxPools  = 5_000
	// MaxNameBytes caps the names of routes, pools, hosts and teams.
	MaxNameBytes = 200
	// MaxPathBytes caps a path prefix, in bytes.
	MaxPathBytes = 1_000
	// MaxWasteWeight caps Route.WasteWeight.
	MaxWasteWeight = 100
	// MaxAnswerWithin caps Route.AnswerWithin.
	MaxAnswerWithin = time.Hour
	// MaxDataWait and MaxDataWaitWeight cap the values of JobPolicy.DataWait.
	MaxDataWait       = time.Minute
	MaxDataWaitWeight = 10.0
	// MaxSlotsPerMinion caps Pool.SlotsPerMinion.
	MaxSlotsPerMinion = 10_000
	// MaxQueueLimit caps Pool.QueueLimit.
	MaxQueueLimit = 10_000_000
	// MaxQuotaWeight caps Quota.Weight.
	MaxQuotaWeight = 10_000
	// MaxQuotaRunning caps Quota.MaxRunning.
	MaxQuotaRunning = 1_000_000
	// MaxQuotas caps the quotas of one pool.
	MaxQuotas = 1_000
)

const (
	routesTable = "routes"
	poolsTable  = "pools"
)

// methods lists the HTTP methods that can be dispatched. CONNECT and TRACE are
// excluded, since they are not requests to a resource behind the dispatcher.
var methods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut,
}

// Check validates a configuration and returns all findings, those on single
// routes before those on single pools, each in the order of the rows. When a
// table has too many rows, it checks nothing else.
func Check(routes []Route, pools []Pool) []Finding {
	c := &checker{}
	c.checkCount(routesTable, len(routes), MaxRoutes)
	c.checkCount(poolsTable, len(pools), MaxPools)
	if len(c.findings) > 0 {
		return c.findings
	}
	c.checkNames(routesTable, len(routes), func(i int) string { return routes[i].Name })
	c.checkNames(poolsTable, len(pools), func(i int) string { return pools[i].Name })
	for _, r := range routes {
		c.checkRoute(r)
	}
	for _, p := range pools {
		c.checkPool(p)
	}
	c.checkPoolReferences(routes, pools)
	c.checkOverlaps(routes)
	return c.findings
}

// checker collects the findings of one validation.
type checker struct{ findings []Finding }

func (c *checker) add(cause Cause, table, row, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Cause: cause, Table: table, Row: row, Text: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

func (c *checker) checkCount(table string, count, limit int) {
	if count > limit {
		c.add(TooManyRows, table, "", fmt.Sprintf("keep at most %d rows", limit), "%d rows", count)
	}
}

// checkNames checks that each name is valid and that no two names look alike.
func (c *checker) checkNames(table string, count int, name func(i int) string) {
	seen := make(map[string]string, count)
	for i := range count {
		n := name(i)
		if !validName(n) {
			remedy := fmt.Sprintf("use 1 to %d printable characters without blanks at the ends", MaxNameBytes)
			c.add(BadName, table, n, remedy, "bad name")
		}
		folded := foldName(n)
		if other, ok := seen[folded]; ok {
			c.add(SimilarName, table, n, "rename or delete one of the two", "the name differs from %q at most by case or blanks", other)
			continue
		}
		seen[folded] = n
	}
}

// validName reports whether a name is printable, not too long, and has no
// blanks at its ends.
func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || strings.TrimSpace(name) != name {
		return false
	}
	for _, r := range name {
		if !unicode.IsPrint(r) || r == unicode.ReplacementChar {
			return false
		}
	}
	return true
}

// foldName maps names that differ only by case or blanks, and so look alike, to
// the same string.
func foldName(name string) string {
	return strings.ToLower(strings.Join(strings.Fields(name), ""))
}

func (c *checker) checkRoute(r Route) {
	if r.Host != "" && !validHost(r.Host) {
		c.add(BadHost, routesTable, r.Name, "use a host name in lower case without port or final dot", "bad host %q", r.Host)
	}
	if !validPrefix(r.PathPrefix) {
		remedy := "use a path such as /quotes, without query, dot segments or a final slash"
		c.add(BadPath, routesTable, r.Name, remedy, "bad path prefix %q", r.PathPrefix)
	}
	if r.Method != "" && !slices.Contains(methods, r.Method) {
		remedy := "leave it empty for any, or use one of " + strings.Join(methods, ", ")
		c.add(BadMethod, routesTable, r.Name, remedy, "bad method %q", r.Method)
	}
	checkRange(c, routesTable, r.Name, "waste weight", r.WasteWeight, 0, MaxWasteWeight)
	checkRange(c, routesTable, r.Name, "answer-within", r.AnswerWithin, 0, MaxAnswerWithin)
	checkRange(c, routesTable, r.Name, "longest wait for data", r.Jobs.DataWait.MaxWait, 0, MaxDataWait)
	checkRange(c, routesTable, r.Name, "weight of a wait for data", r.Jobs.DataWait.Weight, 0, MaxDataWaitWeight)
}

func (c *checker) checkPool(p Pool) {
	checkRange(c, poolsTable, p.Name, "slots per minion", p.SlotsPerMinion, 0, MaxSlotsPerMinion)
	checkRange(c, poolsTable, p.Name, "queue limit", p.QueueLimit, 0, MaxQueueLimit)
	checkRange(c, poolsTable, p.Name, "number of quotas", len(p.Quotas), 0, MaxQuotas)
	seen := make(map[string]bool, len(p.Quotas))
	for _, q := range p.Quotas {
		team := string(q.Team)
		if team != "" && !validName(team) {
			c.add(BadName, poolsTable, p.Name, "use printable characters without blanks at the ends", "bad team %q", team)
		}
		if seen[foldName(team)] {
			c.add(DuplicateQuota, poolsTable, p.Name, "keep one quota per team", "a second quota for team %q", team)
		}
		seen[foldName(team)] = true
		checkRange(c, poolsTable, p.Name, "weight of team "+team, q.Weight, 1, MaxQuotaWeight)
		checkRange(c, poolsTable, p.Name, "max running of team "+team, q.MaxRunning, 0, MaxQuotaRunning)
	}
}

// checkRange checks that a value is between two limits, both inclusive.
func checkRange[T cmp.Ordered](c *checker, table, row, what string, value, lower, upper T) {
	if value < lower || value > upper {
		c.add(OutOfRange, table, row, fmt.Sprintf("use %v to %v", lower, upper), "%s %v is out of range", what, value)
	}
}

// checkPoolReferences checks that each route names an existing pool and that
// each pool is used by a route.
func (c *checker) checkPoolReferences(routes []Route, pools []Pool) {
	byName := make(map[string]bool, len(pools))
	byFoldedName := make(map[string]string, len(pools))
	for _, p := range pools {
		byName[p.Name] = true
		byFoldedName[foldName(p.Name)] = p.Name
	}
	used := make(map[string]bool, len(pools))
	for _, r := range routes {
		used[r.Pool] = true
		if byName[r.Pool] {
			continue
		}
		remedy := "add the pool, or name one that exists"
		if similarName, ok := byFoldedName[foldName(r.Pool)]; ok {
			remedy = fmt.Sprintf("write %q", similarName)
		}
		c.add(MissingPool, routesTable, r.Name, remedy, "pool %q does not exist", r.Pool)
	}
	for _, p := range pools {
		if !used[p.Name] {
			c.findings = append(c.findings, Finding{
				Cause: UnusedPool, Table: poolsTable, Row: p.Name, Warning: true,
				Text: "no route leads to the pool", Remedy: "add a route or delete the pool",
			})
		}
	}
}

// hostPrefix is the key by which routes with the same host and path prefix are
// grouped.
type hostPrefix struct{ host, prefix string }

// checkOverlaps checks that every route can be chosen for some request. Only
// routes with the same host and path prefix can hide each other: a longer
// prefix or an exact host always leaves some requests to the shorter prefix or
// to the route for any host.
func (c *checker) checkOverlaps(routes []Route) {
	byHostPrefix := make(map[hostPrefix]map[string]string, len(routes))
	for _, r := range routes {
		p := hostPrefix{r.Host, r.PathPrefix}
		if byHostPrefix[p] == nil {
			byHostPrefix[p] = make(map[string]string, 1)
		}
		if other, ok := byHostPrefix[p][r.Method]; ok {
			c.add(AmbiguousRoute, routesTable, r.Name, "change or delete one of the two",
				"matches the same requests as route %q", other)
			continue
		}
		byHostPrefix[p][r.Method] = r.Name
	}
	for _, r := range routes {
		if r.Method == "" && coversAllMethods(byHostPrefix[hostPrefix{r.Host, r.PathPrefix}]) {
			c.add(UnreachableRoute, routesTable, r.Name, "delete it, or one of the routes that name a method",
				"routes with the same host and path take every method")
		}
	}
}

// coversAllMethods reports whether there is a route for each of the methods.
func coversAllMethods(byMethod map[string]string) bool {
	for _, m := range methods {
		if _, ok := byMethod[m]; !ok {
			return false
		}
	}
	return true
}

// validHost reports whether a host is a lower-case name without port or final
// dot.
func validHost(host string) bool {
	if len(host) > MaxNameBytes || strings.HasSuffix(host, ".") || strings.HasPrefix(host, ".") {
		return false
	}
	for _, r := range host {
		letter := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		if !letter && r != '-' && r != '.' && r != '_' {
			return false
		}
	}
	return true
}

// validPrefix reports whether a path prefix is absolute, and has no empty or
// dot segment, no final slash and no query.
func validPrefix(prefix string) bool {
	if prefix == "/" {
		return true
	}
	if !strings.HasPrefix(prefix, "/") || len(prefix) > MaxPathBytes {
		return false
	}
	for _, segment := range strings.Split(prefix[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	for _, r := range prefix {
		if !unicode.IsPrint(r) || r == unicode.ReplacementChar || strings.ContainsRune("?#%\\", r) {
			return false
		}
	}
	return true
}
