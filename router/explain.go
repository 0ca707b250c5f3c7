package router

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Verdict says what became of a route that was weighed for a request.
type Verdict string

// Verdicts, from the best.
const (
	// Chosen is the route that serves the request.
	Chosen Verdict = "chosen"
	// LessSpecific matches too, and yields to the chosen route.
	LessSpecific Verdict = "less-specific"
	// OtherMethod matches host and path, and names another method.
	OtherMethod Verdict = "other-method"
	// OtherHost matches the path, and names another host.
	OtherHost Verdict = "other-host"
)

// Weighed is one route that Explain looked at.
type Weighed struct {
	Route   Route
	Verdict Verdict
	// Why is a sentence without a period.
	Why string
}

// Explanation tells how a request was matched.
type Explanation struct {
	// Plan is set when Found is true.
	Plan  Plan
	Found bool
	// Weighed holds the routes whose path matches, the most specific first.
	Weighed []Weighed
}

// Explain returns the decision of Match and the routes that were weighed for
// it. It returns the error of Match for a request that no route may match.
func (t *Table) Explain(m Match) (Explanation, error) {
	if err := checkMatch(m); err != nil {
		return Explanation{}, err
	}
	var e Explanation
	if plan, err := t.Match(m); err == nil {
		e.Plan, e.Found = plan, true
	}
	host := normalHost(m.Host)
	for _, r := range t.routes {
		if covers(r.PathPrefix, m.Path) {
			e.Weighed = append(e.Weighed, e.weigh(r, m, host))
		}
	}
	slices.SortStableFunc(e.Weighed, func(a, b Weighed) int {
		return compareSpecificity(a.Route, b.Route)
	})
	return e, nil
}

func covers(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func (e *Explanation) weigh(r Route, m Match, host string) Weighed {
	if r.Host != "" && r.Host != host {
		return Weighed{r, OtherHost, fmt.Sprintf("names host %q", r.Host)}
	}
	if r.Method != "" && r.Method != m.Method {
		return Weighed{r, OtherMethod, "names method " + r.Method}
	}
	if r.Name == e.Plan.Route.Name {
		return Weighed{r, Chosen, "is the most specific that matches"}
	}
	return Weighed{r, LessSpecific, whyLess(r, e.Plan.Route)}
}

func whyLess(r, chosen Route) string {
	if r.Host != chosen.Host {
		return fmt.Sprintf("names no host, %q does", chosen.Name)
	}
	if r.PathPrefix != chosen.PathPrefix {
		return fmt.Sprintf("has a shorter path than %q", chosen.Name)
	}
	return fmt.Sprintf("names no method, %q does", chosen.Name)
}

// compareSpecificity orders routes from the most specific: host, then segments
// of the path, then method.
func compareSpecificity(a, b Route) int {
	return cmp.Or(
		compareNamed(a.Host, b.Host),
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		compareNamed(a.Method, b.Method),
		cmp.Compare(a.Name, b.Name),
	)
}

func compareNamed(a, b string) int {
	if (a == "") == (b == "") {
		return 0
	}
	if a != "" {
		return -1
	}
	return 1
}
