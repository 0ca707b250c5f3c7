package router

import (
	"slices"
	"strings"

	"agatevalve/common/fault"
)

// Match returns the route and pool that serve a request. The path must be
// decoded and have no query. It returns a fault of kind NotFound when no route
// matches, and one of kind Invalid when no route could match.
func (t *Table) Match(request Request) (Plan, error) {
	if err := checkRequest(request); err != nil {
		return Plan{}, err
	}
	host := normalizeHost(request.Host)
	if host != "" {
		if plan := t.hosts[host].find(request); plan != nil {
			return *plan, nil
		}
	}
	if plan := t.hosts[""].find(request); plan != nil {
		return *plan, nil
	}
	return Plan{}, fault.New(fault.NotFound, "ask an operator for a route, or run agatevalve explain",
		"no route matches %s %s%s at revision %d", request.Method, request.Host, request.Path, t.revision)
}

// checkRequest returns a fault of kind Invalid for a request that no route
// could match.
func checkRequest(request Request) error {
	if !strings.HasPrefix(request.Path, "/") {
		return fault.New(fault.Invalid, "begin the path with a slash", "bad path %q", request.Path)
	}
	if hasDotSegment(request.Path) {
		return fault.New(fault.Invalid, "resolve dot segments before sending", "bad path %q", request.Path)
	}
	if !slices.Contains(methods, request.Method) {
		return fault.New(fault.Invalid, "use one of "+strings.Join(methods, ", "), "method %q is not dispatched", request.Method)
	}
	return nil
}

// hasDotSegment reports whether the path has a dot segment. A minion might
// resolve it to a path outside the prefix that is matched here.
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

// normalizeHost returns the host in lower case without a final dot.
func normalizeHost(host string) string {
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// find returns the plan of the most specific route for the path and method, or
// nil. It tries the prefixes of the path from the longest to the shortest.
func (h *hostRoutes) find(request Request) *Plan {
	if h == nil {
		return nil
	}
	prefix := firstSegments(request.Path, h.maxSegments)
	for {
		if p := h.prefixes[prefix]; p != nil {
			if plan := p.find(request.Method); plan != nil {
				return plan
			}
		}
		if prefix == "" {
			return nil
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

// find returns the plan of the route for the method, or of the route for any
// method, or nil.
func (p *prefixRoutes) find(method string) *Plan {
	for i := range p.byMethod {
		if p.byMethod[i].method == method {
			return p.byMethod[i].plan
		}
	}
	return p.anyMethod
}

// firstSegments returns the first count segments of a path that starts with a
// slash.
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
