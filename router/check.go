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

// Limits of the values that operators give.
const (
	// MostRoutes and MostPools cap the rows of the tables.
	MostRoutes = 20_000
	MostPools  = 5_000
	// LongestName caps the names of rows, hosts and teams, in bytes.
	LongestName = 200
	// LongestPath caps a path prefix, in bytes.
	LongestPath = 1_000
	// MostWasteWeight is the end of the scale of Route.WasteWeight.
	MostWasteWeight = 100
	// LongestAnswer caps Route.AnswerWithin.
	LongestAnswer = time.Hour
	// MostSlots caps Pool.SlotsPerMinion.
	MostSlots = 10_000
	// MostQueued caps Pool.QueueLimit.
	MostQueued = 10_000_000
	// MostWeight caps Quota.Weight.
	MostWeight = 10_000
	// MostRunning caps Quota.MaxRunning.
	MostRunning = 1_000_000
	// MostQuotas caps the quotas of one pool.
	MostQuotas = 1_000
)

const (
	routesTable = "routes"
	poolsTable  = "pools"
)

// methods lists the HTTP methods that are dispatched. CONNECT and TRACE are
// not requests to a resource behind the dispatcher.
var methods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut,
}

// Check returns everything that is wrong with a configuration, routes first,
// in the order of the rows.
func Check(routes []Route, pools []Pool) []Finding {
	c := &checker{}
	c.count(routesTable, len(routes), MostRoutes)
	c.count(poolsTable, len(pools), MostPools)
	if len(c.findings) > 0 {
		return c.findings
	}
	c.names(routesTable, len(routes), func(i int) string { return routes[i].Name })
	c.names(poolsTable, len(pools), func(i int) string { return pools[i].Name })
	for _, r := range routes {
		c.route(r)
	}
	for _, p := range pools {
		c.pool(p)
	}
	c.joins(routes, pools)
	c.overlaps(routes)
	return c.findings
}

// checker collects findings.
type checker struct{ findings []Finding }

func (c *checker) add(cause Cause, table, row, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Cause: cause, Table: table, Row: row, Text: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

func (c *checker) count(table string, count, most int) {
	if count > most {
		c.add(TooMany, table, "", fmt.Sprintf("keep at most %d rows", most), "%d rows", count)
	}
}

// names checks that each name is legible and that no two look alike.
func (c *checker) names(table string, count int, name func(i int) string) {
	seen := make(map[string]string, count)
	for i := range count {
		n := name(i)
		if !legible(n) {
			remedy := fmt.Sprintf("use 1 to %d printable characters without blanks at the ends", LongestName)
			c.add(BadName, table, n, remedy, "bad name")
		}
		folded := fold(n)
		if other, ok := seen[folded]; ok {
			c.add(SimilarName, table, n, "rename or delete one of the two", "the name differs from %q at most by case or blanks", other)
			continue
		}
		seen[folded] = n
	}
}

func legible(name string) bool {
	if name == "" || len(name) > LongestName || strings.TrimSpace(name) != name {
		return false
	}
	for _, r := range name {
		if !unicode.IsPrint(r) || r == unicode.ReplacementChar {
			return false
		}
	}
	return true
}

// fold maps names that people can't tell apart to one.
func fold(name string) string {
	return strings.ToLower(strings.Join(strings.Fields(name), ""))
}

func (c *checker) route(r Route) {
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
	between(c, routesTable, r.Name, "waste weight", r.WasteWeight, 0, MostWasteWeight)
	between(c, routesTable, r.Name, "answer-within", r.AnswerWithin, 0, LongestAnswer)
}

func (c *checker) pool(p Pool) {
	between(c, poolsTable, p.Name, "slots per minion", p.SlotsPerMinion, 0, MostSlots)
	between(c, poolsTable, p.Name, "queue limit", p.QueueLimit, 0, MostQueued)
	between(c, poolsTable, p.Name, "number of quotas", len(p.Quotas), 0, MostQuotas)
	seen := make(map[string]bool, len(p.Quotas))
	for _, q := range p.Quotas {
		team := string(q.Team)
		if team != "" && !legible(team) {
			c.add(BadName, poolsTable, p.Name, "use printable characters without blanks at the ends", "bad team %q", team)
		}
		if seen[fold(team)] {
			c.add(DoubledQuota, poolsTable, p.Name, "keep one quota per team", "a second quota for team %q", team)
		}
		seen[fold(team)] = true
		between(c, poolsTable, p.Name, "weight of team "+team, q.Weight, 1, MostWeight)
		between(c, poolsTable, p.Name, "max running of team "+team, q.MaxRunning, 0, MostRunning)
	}
}

func between[T cmp.Ordered](c *checker, table, row, what string, value, least, most T) {
	if value < least || value > most {
		c.add(OutOfRange, table, row, fmt.Sprintf("use %v to %v", least, most), "%s %v is out of range", what, value)
	}
}

// joins checks the join of routes and pools by name.
func (c *checker) joins(routes []Route, pools []Pool) {
	exact := make(map[string]bool, len(pools))
	similar := make(map[string]string, len(pools))
	for _, p := range pools {
		exact[p.Name] = true
		similar[fold(p.Name)] = p.Name
	}
	used := make(map[string]bool, len(pools))
	for _, r := range routes {
		used[r.Pool] = true
		if exact[r.Pool] {
			continue
		}
		remedy := "add the pool, or name one that exists"
		if near, ok := similar[fold(r.Pool)]; ok {
			remedy = fmt.Sprintf("write %q", near)
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

// place is what routes with the same host and prefix share.
type place struct{ host, prefix string }

// overlaps checks that every route wins some request. Only routes of one place
// can hide each other: a longer prefix or an exact host always leaves requests
// to the shorter prefix or to any host.
func (c *checker) overlaps(routes []Route) {
	places := make(map[place]map[string]string, len(routes))
	for _, r := range routes {
		p := place{r.Host, r.PathPrefix}
		if places[p] == nil {
			places[p] = make(map[string]string, 1)
		}
		if other, ok := places[p][r.Method]; ok {
			c.add(AmbiguousRoute, routesTable, r.Name, "change or delete one of the two",
				"matches the same requests as route %q", other)
			continue
		}
		places[p][r.Method] = r.Name
	}
	for _, r := range routes {
		if r.Method == "" && allNamed(places[place{r.Host, r.PathPrefix}]) {
			c.add(UnreachableRoute, routesTable, r.Name, "delete it, or one of the routes that name a method",
				"routes with the same host and path take every method")
		}
	}
}

func allNamed(byMethod map[string]string) bool {
	for _, m := range methods {
		if _, ok := byMethod[m]; !ok {
			return false
		}
	}
	return true
}

func validHost(host string) bool {
	if len(host) > LongestName || strings.HasSuffix(host, ".") || strings.HasPrefix(host, ".") {
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

func validPrefix(prefix string) bool {
	if prefix == "/" {
		return true
	}
	if !strings.HasPrefix(prefix, "/") || len(prefix) > LongestPath {
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
