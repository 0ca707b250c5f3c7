package router

import (
	"slices"
	"strings"

	"agatevalve/common/fault"
)

// Match decides which route and pool serve a request. Its path is decoded and
// carries no query. It returns a fault of kind NotFound when no route matches,
// and one of kind Invalid for a request that no route may match.
func (t *Table) Match(m Match) (Plan, error) {
	if err := checkMatch(m); err != nil {
		return Plan{}, err
	}
	host := normalHost(m.Host)
	if host != "" {
		if plan := t.hosts[host].find(m); plan != nil {
			return *plan, nil
		}
	}
	if plan := t.hosts[""].find(m); plan != nil {
		return *plan, nil
	}
	return Plan{}, fault.New(fault.NotFound, "ask an operator for a route, or run agatevalve explain",
		"no route matches %s %s%s at revision %d", m.Method, m.Host, m.Path, t.revision)
}

func checkMatch(m Match) error {
	if !strings.HasPrefix(m.Path, "/") {
		return fault.New(fault.Invalid, "begin the path with a slash", "bad path %q", m.Path)
	}
	if hasDotSegment(m.Path) {
		return fault.New(fault.Invalid, "resolve dot segments before sending", "bad path %q", m.Path)
	}
	if !slices.Contains(methods, m.Method) {
		return fault.New(fault.Invalid, "use one of "+strings.Join(methods, ", "), "method %q is not dispatched", m.Method)
	}
	return nil
}

// hasDotSegment reports whether a minion might resolve the path to one outside
// of the prefix that it matches here.
func hasDotSegment(path string) bool {
	for path != "" {
		path = path[1:]
		end := strings.IndexByte(path, '/')
		if end < 0 {
			end = len(path)
		}
		if segment := path[:end]; segment == "." || segment == ".." {
			return true
		}
		path = path[end:]
	}
	return false
}

func normalHost(host string) string {
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// find returns the most specific route for the path and method, or nil.
func (h *hostRoutes) find(m Match) *Plan {
	if h == nil {
		return nil
	}
	prefix := firstSegments(m.Path, h.deepest)
	for {
		if p := h.prefixes[prefix]; p != nil {
			if plan := p.find(m.Method); plan != nil {
				return plan
			}
		}
		if prefix == "" {
			return nil
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

func (p *prefixRoutes) find(method string) *Plan {
	for i := range p.plans {
		if p.plans[i].method == method {
			return p.plans[i].plan
		}
	}
	return p.any
}

// firstSegments cuts a path that starts with a slash after count segments.
func firstSegments(path string, count int) string {
	end := 0
	for range count {
		next := strings.IndexByte(path[end+1:], '/')
		if next < 0 {
			return path
		}
		end += 1 + next
	}
	return path[:end]
}
