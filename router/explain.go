package router

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"agatevalve/common/fault"
)

// Verdict is the reason why a route was or was not chosen for a request.
type Verdict string

// Verdicts, ordered from the chosen route to the worst match.
const (
	// Chosen is the route that serves the request.
	Chosen Verdict = "chosen"
	// LessSpecific is a route that matches the request as well, but less
	// specifically than the chosen one.
	LessSpecific Verdict = "less-specific"
	// OtherMethod is a route that matches the host and path, but names another
	// method.
	OtherMethod Verdict = "other-method"
	// OtherHost is a route that matches the path, but names another host.
	OtherHost Verdict = "other-host"
)

// ConsideredRoute is a route whose path prefix matches the request, with its
// verdict.
type ConsideredRoute struct {
	Route   Route
	Verdict Verdict
	// Reason explains the verdict in a sentence without a subject and without a
	// period.
	Reason string
}

// Explanation describes how a request was matched.
type Explanation struct {
	// Plan is valid when Found is true.
	Plan  Plan
	Found bool
	// Considered holds the routes whose path prefix matches, the most specific
	// first.
	Considered []ConsideredRoute
}

// Explain returns the result of Match and all routes that were considered for
// it. It fails like Match for an invalid request.
func (t *Table) Explain(request Request) (Explanation, error) {
	plan, err := t.Match(request)
	if err != nil && fault.KindOf(err) != fault.NotFound {
		return Explanation{}, err
	}
	e := Explanation{Plan: plan, Found: err == nil}
	host := normalizeHost(request.Host)
	for _, r := range t.routes {
		if r.matchesPath(request.Path) {
			e.Considered = append(e.Considered, e.consider(r, request, host))
		}
	}
	slices.SortStableFunc(e.Considered, func(a, b ConsideredRoute) int {
		return compareSpecificity(a.Route, b.Route)
	})
	return e, nil
}

// matchesPath reports whether a path matches the prefix of a route.
func (r Route) matchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, r.requiredPrefix())
	return ok && (r.PrefixMatch == Literal || rest == "" || rest[0] == '/')
}

// consider returns the verdict on a route whose path prefix matches.
func (e *Explanation) consider(r Route, request Request, host string) ConsideredRoute {
	if r.Host != "" && r.Host != host {
		return ConsideredRoute{r, OtherHost, fmt.Sprintf("names host %q", r.Host)}
	}
	if r.Method != "" && r.Method != request.Method {
		return ConsideredRoute{r, OtherMethod, "names method " + r.Method}
	}
	if r.Name == e.Plan.Route.Name {
		return ConsideredRoute{r, Chosen, "is the most specific that matches"}
	}
	return ConsideredRoute{r, LessSpecific, whyLessSpecific(r, e.Plan.Route)}
}

// whyLessSpecific explains why the route is less specific than the chosen one.
func whyLessSpecific(r, chosen Route) string {
	if r.Host != chosen.Host {
		return fmt.Sprintf("names no host, %q does", chosen.Name)
	}
	if r.requiredPrefix() != chosen.requiredPrefix() {
		return fmt.Sprintf("has a shorter path than %q", chosen.Name)
	}
	if r.PrefixMatch != chosen.PrefixMatch {
		return fmt.Sprintf("may match a part of a segment, %q does not", chosen.Name)
	}
	return fmt.Sprintf("names no method, %q does", chosen.Name)
}

// compareSpecificity orders routes from the most to the least specific: those
// that name the host first, then by length of the path prefix, then those that
// match whole segments, then those that name the method, then by name.
func compareSpecificity(a, b Route) int {
	return cmp.Or(
		compareRestriction(a.Host, b.Host),
		cmp.Compare(len(b.requiredPrefix()), len(a.requiredPrefix())),
		cmp.Compare(a.PrefixMatch, b.PrefixMatch),
		compareRestriction(a.Method, b.Method),
		cmp.Compare(a.Name, b.Name),
	)
}

// compareRestriction orders routes that restrict a field before those that
// accept any value.
func compareRestriction(a, b string) int {
	if (a == "") == (b == "") {
		return 0
	}
	if a != "" {
		return -1
	}
	return 1
}
