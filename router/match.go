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
	plan := t.hosts[host].find(request.Path, request.Method)
	if plan == nil && host != "" {
		plan = t.hosts[""].find(request.Path, request.Method)
	}
	if plan != nil && plan.Route.PrefixMatch == Literal {
		return *plan, nil
	}
	if hasDotSegment(request.Path) {
		return Plan{}, fault.New(fault.Invalid, "resolve dot segments before sending", "bad path %q", request.Path)
	}
	if plan != nil {
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
