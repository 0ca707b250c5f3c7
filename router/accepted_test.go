package router_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/router"
)

// drawOddRoute draws a route from values of which many are refused by Check.
func drawOddRoute(t *rapid.T) router.Route {
	number := rapid.OneOf(rapid.IntRange(-1, 3), rapid.Int())
	return router.Route{
		Name:       rapid.OneOf(rapid.SampledFrom([]string{"", "a", "A", " a", "a\n"}), rapid.String()).Draw(t, "name"),
		Host:       rapid.OneOf(rapid.SampledFrom([]string{"", "a", "A.", "a:80", "."}), rapid.String()).Draw(t, "host"),
		PathPrefix: rapid.OneOf(rapid.SampledFrom([]string{"", "/", "/a", "/a/b", "a"}), rapid.String()).Draw(t, "prefix"),
		Pool:       rapid.SampledFrom([]string{"", "desk", "Desk"}).Draw(t, "pool"),
		Jobs: router.JobPolicy{
			Attempts: number.Draw(t, "attempts"), Priority: number.Draw(t, "priority"), Stretch: rapid.Float64().Draw(t, "stretch"),
		},
	}
}

// TestAcceptedConfigurationKeepsEachRoute guards against a route that leaves out or
// changes another one.
func TestAcceptedConfigurationKeepsEachRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfN(rapid.Custom(drawOddRoute), 0, 8).Draw(t, "routes")
		prefixMatch := rapid.SampledFrom([]router.PrefixMatch{router.WholeSegments, router.Literal}).Draw(t, "match")
		for i := range routes {
			routes[i].PrefixMatch = prefixMatch
		}
		table := router.CompileAccepted(3, routes)
		leftOut := 0
		for _, w := range table.Warnings() {
			if !w.Warning || w.Remedy == "" || w.Row == "" {
				t.Fatalf("a finding is no warning, or has no remedy or row: %+v", w)
			}
			if w.Cause == router.AmbiguousRoute {
				leftOut++
			}
		}
		if len(table.Routes())+leftOut != len(routes) {
			t.Fatalf("%d of %d routes, %d left out", len(table.Routes()), len(routes), leftOut)
		}
		names := map[string]bool{}
		for _, r := range table.Routes() {
			if names[r.Name] {
				t.Fatalf("two routes are named %q", r.Name)
			}
			names[r.Name] = true
			if p := r.Jobs; p.Attempts < 0 || p.Attempts > math.MaxInt32 || p.Priority < 0 || p.Priority > math.MaxInt32 || !(p.Stretch >= 0 && p.Stretch <= router.MaxAcceptedStretch) {
				t.Fatalf("out of range: %+v", p)
			}
			checkAcceptedMatch(t, table, r)
		}
	})
}

// checkAcceptedMatch checks that a request for a route finds it if there can be one.
func checkAcceptedMatch(t *rapid.T, table *router.Table, r router.Route) {
	request := router.Request{Host: r.Host, Path: r.PathPrefix, Method: "POST"}
	if strings.HasSuffix(r.Host, ".") {
		request.Host += "." // One final dot of a request's host does not count.
	}
	plan, err := table.Match(request)
	mustMatch := r.PrefixMatch == router.Literal && strings.HasPrefix(r.PathPrefix, "/")
	if err != nil && mustMatch {
		t.Fatalf("%+v finds no route: %v", request, err)
	}
	if err == nil && (plan.Route.Name != r.Name || plan.Pool.Name != r.Pool) {
		t.Fatalf("%+v leads to %+v, not to %+v", request, plan.Route, r)
	}
}

// TestRefusedFindingsAreWarningsOfAcceptedConfigurations checks each finding on the
// values of a route that Check makes.
func TestRefusedFindingsAreWarningsOfAcceptedConfigurations(t *testing.T) {
	sound := route("sound", "", "/sound", "")
	for i, r := range []router.Route{
		{Name: "", PathPrefix: "/a"},
		{Name: "a", Host: "a b", PathPrefix: "/a"},
		{Name: "a", PathPrefix: "a"},
		{Name: "a", PathPrefix: "/a", Method: "get"},
		{Name: "a", PathPrefix: "/a", WasteWeight: -1},
		{Name: "a", PathPrefix: "/a", AnswerWithin: math.MaxInt64},
		{Name: "a", PathPrefix: "/a", AnswerWithin: -1},
		{Name: "a", PathPrefix: "/a", Jobs: router.JobPolicy{Stretch: math.NaN()}},
		{Name: "a", PathPrefix: "/sound"},
		{Name: "sound", PathPrefix: "/a"},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			table := router.CompileAccepted(1, []router.Route{sound, r})
			plan, err := table.Match(router.Request{Path: "/sound", Method: "POST"})
			is.NoErr(err)
			is.Equal(plan.Pool.Name, "desk")
			is.True(len(table.Warnings()) > 0)
		})
	}
}
