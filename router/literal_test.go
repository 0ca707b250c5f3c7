package router_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/common/fault"
	"agatevalve/router"
)

// literalRoute returns a route whose prefix matches literally.
func literalRoute(name, host, prefix string) router.Route {
	r := route(name, host, prefix, "")
	r.PrefixMatch = router.Literal
	return r
}

// TestLongestLiteralPrefixWins guards against a literal prefix that is found at the
// end of a segment only.
func TestLongestLiteralPrefixWins(t *testing.T) {
	table := router.CompileAccepted(7, []router.Route{
		literalRoute("any", "", ""),
		literalRoute("a", "h", "/a"),
		literalRoute("a-slash", "h", "/a/"),
		literalRoute("ab", "h", "/ab"),
		literalRoute("abc-d", "h", "/abc/d"),
		literalRoute("dots", "h", "/../x"),
		literalRoute("empty segments", "h", "/a//"),
		literalRoute("other length", "h", "/zzzzzzzzzzzzzzzzzzz"),
	})
	for path, want := range map[string]string{
		"/": "any", "/b": "any", "/x/..": "any", "/a": "a", "/a1": "a", "/a/": "a-slash", "/a/1": "a-slash", "/a/../b": "a-slash",
		"/ab": "ab", "/abc": "ab", "/abc/": "ab", "/abc/d": "abc-d", "/abc/de": "abc-d", "/abc/d/e": "abc-d", "/../x1": "dots", "/a//1": "empty segments",
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			request := router.Request{Host: "h", Path: path, Method: "POST"}
			plan, err := table.Match(request)
			is.NoErr(err)
			is.Equal(plan.Route.Name, want)
			e, err := table.Explain(request)
			is.NoErr(err)
			is.Equal(e.Plan, plan)
			is.Equal(e.Considered[0].Route.Name, want)
			is.Equal(e.Considered[0].Verdict, router.Chosen)
		})
	}
}

func TestExplainTellsLiteralPrefixesFromWholeSegments(t *testing.T) {
	is := is.New(t)
	table := router.CompileAccepted(1, []router.Route{
		literalRoute("shorter", "", "/a"), literalRoute("same", "", "/a/b"), route("segments", "", "/a/b", ""), route("away", "", "/a/bc", ""),
	})
	e, err := table.Explain(router.Request{Path: "/a/b/1", Method: "POST"})
	is.NoErr(err)
	is.Equal(e.Considered[0].Route.Name, "segments")
	is.Equal(e.Considered[1].Route.Name, "same")
	is.Equal(e.Considered[1].Reason, `may match a part of a segment, "segments" does not`)
	is.Equal(e.Considered[2].Reason, `has a shorter path than "segments"`)
	is.Equal(len(e.Considered), 3)
	_, err = table.Explain(router.Request{Path: "/a/b/../c", Method: "POST"})
	is.Equal(fault.KindOf(err), fault.Invalid) // Whole segments match no dot segments.
}

// TestLiteralMatchAgreesWithScan compares the index with a linear scan on random
// routes, of which some match whole segments.
func TestLiteralMatchAgreesWithScan(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"", "a"})
	texts := rapid.StringOfN(rapid.SampledFrom([]rune("/ab")), 0, 6, -1)
	rapid.Check(t, func(t *rapid.T) {
		var routes []router.Route
		for i := range rapid.IntRange(0, 20).Draw(t, "routes") {
			r := literalRoute(fmt.Sprint("r", i), hosts.Draw(t, "host"), texts.Draw(t, "prefix"))
			if rapid.IntRange(0, 3).Draw(t, "match") == 0 {
				r.PrefixMatch, r.PathPrefix = router.WholeSegments, "/"+r.PathPrefix
			}
			routes = append(routes, r)
		}
		table := router.CompileAccepted(1, routes)
		request := router.Request{Host: hosts.Draw(t, "to"), Path: "/" + texts.Draw(t, "path"), Method: "POST"}
		plan, err := table.Match(request)
		if want := matchLiterallyByScan(routes, request); want != plan.Route.Name || (want == "") != (err != nil) {
			t.Fatalf("got %q (%v), want %q", plan.Route.Name, err, want)
		}
		e, err := table.Explain(request)
		if err != nil || e.Found && e.Plan.Route.Name != plan.Route.Name || e.Found && e.Considered[0].Verdict != router.Chosen && e.Considered[0].Verdict != router.OtherHost {
			t.Fatalf("explained as %+v (%v)", e, err)
		}
	})
}

// matchLiterallyByScan returns the name of the most specific route that matches, the
// first of several, or "".
func matchLiterallyByScan(routes []router.Route, request router.Request) string {
	best, bestScore := "", -1
	for _, r := range routes {
		prefix, score := r.PathPrefix, 0
		if r.PrefixMatch == router.WholeSegments {
			prefix = strings.TrimSuffix(prefix, "/")
			score++
		}
		rest, ok := strings.CutPrefix(request.Path, prefix)
		if !ok || r.PrefixMatch == router.WholeSegments && rest != "" && rest[0] != '/' || r.Host != "" && r.Host != request.Host {
			continue
		}
		score += 10 * len(prefix)
		if r.Host != "" {
			score += 10_000
		}
		if score > bestScore {
			best, bestScore = r.Name, score
		}
	}
	return best
}

// platformConfiguration returns 500 routes with literal prefixes of a few lengths.
func platformConfiguration() []router.Route {
	var routes []router.Route
	for i := range 500 {
		routes = append(routes, literalRoute(fmt.Sprint("route-", i), "desk.example", fmt.Sprintf("/q%x%d/", i*2654435761%65536, i)))
	}
	return routes
}

func TestLiteralMatchDoesNotAllocate(t *testing.T) {
	routes := platformConfiguration()
	table := router.CompileAccepted(1, routes)
	request := router.Request{Host: "desk.example", Path: routes[321].PathPrefix + "5c0e7a21d94b36f8", Method: "POST"}
	if n := testing.AllocsPerRun(100, func() { _, _ = table.Match(request) }); n != 0 {
		t.Fatalf("Match made %v allocations, want none", n)
	}
}

func BenchmarkLiteralMatch(b *testing.B) {
	routes := platformConfiguration()
	table := router.CompileAccepted(1, routes)
	request := router.Request{Host: "desk.example", Path: routes[321].PathPrefix + "5c0e7a21d94b36f8", Method: "POST"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Match(request); err != nil {
			b.Fatal(err)
		}
	}
}
