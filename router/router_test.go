package router_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/common/fault"
	"agatevalve/router"
)

// TestMain sets a fixed seed for rapid, unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var deskPools = []router.Pool{{Name: "desk"}}

// route returns a route to the pool of deskPool.
func route(name, host, prefix, method string) router.Route {
	return router.Route{Name: name, Host: host, PathPrefix: prefix, Method: method, Pool: "desk"}
}

func TestMostSpecificWins(t *testing.T) {
	table, err := router.Compile(7, []router.Route{
		route("any", "", "/", ""),
		route("holds", "", "/holds", ""),
		route("holds-post", "", "/holds", "POST"),
		route("deep", "", "/holds/now", "GET"),
		route("host", "a.example", "/", ""),
		route("host-get", "b.example", "/x", "GET"),
	}, deskPools)
	is.New(t).NoErr(err)
	cases := []struct{ method, host, path, want string }{
		{"GET", "", "/", "any"},
		{"GET", "", "/holdsome", "any"},
		{"GET", "", "/holds", "holds"},
		{"GET", "", "/holds/", "holds"},
		{"POST", "", "/holds/7", "holds-post"},
		{"GET", "", "/holds/now/7", "deep"},
		{"POST", "", "/holds/now/7", "holds-post"},
		{"PUT", "", "/holds/now", "holds"},
		{"GET", "a.example", "/holds/now", "host"},
		{"GET", "A.Example.", "/holds/now", "host"},
		{"GET", "b.example", "/x/y", "host-get"},
		{"POST", "b.example", "/x/y", "any"},
		{"POST", "c.example", "/holds", "holds-post"},
	}
	for _, c := range cases {
		t.Run(c.method+c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			request := router.Request{Host: c.host, Path: c.path, Method: c.method}
			plan, err := table.Match(request)
			is.NoErr(err)
			is.Equal(plan.Route.Name, c.want)
			is.Equal(plan.Revision, uint64(7))
			is.Equal(plan.Pool.Name, "desk")
			e, err := table.Explain(request)
			is.NoErr(err)
			is.Equal(e.Plan, plan)
		})
	}
}

func TestMatchRefusals(t *testing.T) {
	is := is.New(t)
	table, err := router.Compile(1, []router.Route{route("a", "", "/a", "GET")}, deskPools)
	is.NoErr(err)
	_, err = table.Match(router.Request{Path: "/a", Method: "POST"})
	is.Equal(fault.KindOf(err), fault.NotFound)
	for _, request := range []router.Request{
		{Path: "", Method: "GET"},
		{Path: "/a/../b", Method: "GET"},
		{Path: "/a/.", Method: "GET"},
		{Path: "/a", Method: "CONNECT"},
		{Path: "/a", Method: "get"},
	} {
		_, err = table.Match(request)
		is.Equal(fault.KindOf(err), fault.Invalid)
	}
}

func TestExplainListsConsideredRoutes(t *testing.T) {
	is := is.New(t)
	table, err := router.Compile(1, []router.Route{
		route("any", "", "/", ""),
		route("other", "b.example", "/a", ""),
		route("put", "", "/a", "PUT"),
		route("get", "", "/a", "GET"),
		route("away", "", "/b", ""),
	}, deskPools)
	is.NoErr(err)
	e, err := table.Explain(router.Request{Host: "a.example", Path: "/a/1", Method: "GET"})
	is.NoErr(err)
	var got []string
	for _, w := range e.Considered {
		got = append(got, w.Route.Name+" "+string(w.Verdict))
	}
	is.Equal(got, []string{"other other-host", "get chosen", "put other-method", "any less-specific"})
}

func TestFindings(t *testing.T) {
	allMethods := []router.Route{route("any", "", "/", "")}
	for _, m := range []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"} {
		allMethods = append(allMethods, route("m-"+m, "", "/", m))
	}
	change := func(edit func(r *router.Route)) []router.Route {
		r := route("a", "", "/a", "")
		edit(&r)
		return []router.Route{r}
	}
	cases := []struct {
		name   string
		routes []router.Route
		pools  []router.Pool
		want   router.Cause
	}{
		{"missing pool", change(func(r *router.Route) { r.Pool = "Desk" }), deskPools, router.MissingPool},
		{"similar routes", []router.Route{route("a b", "", "/a", ""), route("AB", "", "/b", "")}, deskPools, router.SimilarName},
		{"same routes", []router.Route{route("a", "", "/a", ""), route("a", "", "/b", "")}, deskPools, router.SimilarName},
		{"similar pools", allMethods[:1], []router.Pool{{Name: "desk"}, {Name: "DESK"}}, router.SimilarName},
		{"ambiguous", []router.Route{route("a", "", "/a", "GET"), route("b", "", "/a", "GET")}, deskPools, router.AmbiguousRoute},
		{"unreachable", allMethods, deskPools, router.UnreachableRoute},
		{"empty name", change(func(r *router.Route) { r.Name = "" }), deskPools, router.BadName},
		{"control name", change(func(r *router.Route) { r.Name = "a\tb" }), deskPools, router.BadName},
		{"port", change(func(r *router.Route) { r.Host = "a:80" }), deskPools, router.BadHost},
		{"upper host", change(func(r *router.Route) { r.Host = "A" }), deskPools, router.BadHost},
		{"relative", change(func(r *router.Route) { r.PathPrefix = "a" }), deskPools, router.BadPath},
		{"empty path", change(func(r *router.Route) { r.PathPrefix = "" }), deskPools, router.BadPath},
		{"final slash", change(func(r *router.Route) { r.PathPrefix = "/a/" }), deskPools, router.BadPath},
		{"dots", change(func(r *router.Route) { r.PathPrefix = "/a/../b" }), deskPools, router.BadPath},
		{"query", change(func(r *router.Route) { r.PathPrefix = "/a?b" }), deskPools, router.BadPath},
		{"method", change(func(r *router.Route) { r.Method = "get" }), deskPools, router.BadMethod},
		{"weight", change(func(r *router.Route) { r.WasteWeight = 101 }), deskPools, router.OutOfRange},
		{"deadline", change(func(r *router.Route) { r.AnswerWithin = -time.Second }), deskPools, router.OutOfRange},
		{"data wait", change(func(r *router.Route) { r.Jobs.DataWait.MaxWait = -time.Second }), deskPools, router.OutOfRange},
		{"weight of a data wait", change(func(r *router.Route) { r.Jobs.DataWait.Weight = 11 }), deskPools, router.OutOfRange},
		{"slots", allMethods[:1], []router.Pool{{Name: "desk", SlotsPerMinion: -1}}, router.OutOfRange},
		{"quota", allMethods[:1], []router.Pool{{Name: "desk", Quotas: []router.Quota{{Team: "a"}}}}, router.OutOfRange},
		{"quotas", allMethods[:1], []router.Pool{{Name: "desk", Quotas: []router.Quota{{Team: "a", Weight: 1}, {Team: "a", Weight: 1}}}}, router.DuplicateQuota},
		{"too many", make([]router.Route, router.MaxRoutes+1), deskPools, router.TooManyRows},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := router.Compile(1, c.routes, c.pools)
			is.Equal(fault.KindOf(err), fault.Invalid)
			var findings router.FindingsError
			is.True(errors.As(err, &findings))
			is.True(slices.ContainsFunc(findings, func(f router.Finding) bool {
				return f.Cause == c.want && f.Remedy != "" && !f.Warning
			}))
		})
	}
}

func TestAllFindingsAtOnce(t *testing.T) {
	is := is.New(t)
	bad := router.Route{Name: "a", Host: "A", PathPrefix: "a", Method: "x", Pool: "none", WasteWeight: -1}
	_, err := router.Compile(1, []router.Route{bad}, nil)
	var findings router.FindingsError
	is.True(errors.As(err, &findings))
	is.Equal(len(findings), 5)
}

func TestUnusedPoolIsAWarning(t *testing.T) {
	is := is.New(t)
	table, err := router.Compile(1, nil, deskPools)
	is.NoErr(err)
	is.Equal(len(table.Warnings()), 1)
	is.Equal(table.Warnings()[0].Cause, router.UnusedPool)
}

// TestMatchAgreesWithScan compares the index with a linear scan on random
// configurations and requests.
func TestMatchAgreesWithScan(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"", "", "a", "b"})
	paths := rapid.Custom(func(t *rapid.T) string {
		segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "aa", "b"}), 0, 3).Draw(t, "segments")
		return "/" + strings.Join(segments, "/")
	})
	methods := rapid.SampledFrom([]string{"", "GET", "POST"})
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		var routes []router.Route
		for i := range rapid.IntRange(0, 20).Draw(t, "routes") {
			r := route(fmt.Sprintf("r%d", i), hosts.Draw(t, "host"), paths.Draw(t, "path"), methods.Draw(t, "method"))
			id := r.Host + " " + r.PathPrefix + " " + r.Method
			if !seen[id] {
				routes = append(routes, r)
			}
			seen[id] = true
		}
		table, err := router.Compile(1, routes, deskPools)
		if err != nil {
			t.Fatal(err)
		}
		request := router.Request{Host: hosts.Draw(t, "to"), Path: paths.Draw(t, "at"), Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "by")}
		plan, err := table.Match(request)
		if want := matchByScan(routes, request); want != plan.Route.Name || (want == "") != (err != nil) {
			t.Fatalf("got %q (%v), want %q", plan.Route.Name, err, want)
		}
	})
}

// matchByScan returns the name of the most specific route that matches, or "".
func matchByScan(routes []router.Route, request router.Request) string {
	best, score := "", -1
	for _, r := range routes {
		inside := r.PathPrefix == "/" || request.Path == r.PathPrefix || strings.HasPrefix(request.Path, r.PathPrefix+"/")
		if !inside || r.Host != "" && r.Host != request.Host || r.Method != "" && r.Method != request.Method {
			continue
		}
		s := 10*len(r.PathPrefix) + len(r.Method)
		if r.Host != "" {
			s += 10_000
		}
		if s > score {
			best, score = r.Name, s
		}
	}
	return best
}

// largeConfiguration returns 2000 routes on 20 hosts, and 500 pools.
func largeConfiguration() ([]router.Route, []router.Pool) {
	var routes []router.Route
	var pools []router.Pool
	for i := range 500 {
		pools = append(pools, router.Pool{Name: fmt.Sprintf("pool-%d", i)})
	}
	for i := range 2000 {
		routes = append(routes, router.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("h%d.example", i%20),
			PathPrefix: fmt.Sprintf("/team/%d/work", i), Pool: pools[i%500].Name,
		})
	}
	return routes, pools
}

func TestMatchDoesNotAllocate(t *testing.T) {
	routes, pools := largeConfiguration()
	table, err := router.Compile(1, routes, pools)
	is.New(t).NoErr(err)
	request := router.Request{Host: "h3.example", Path: "/team/1983/work/of/today", Method: "GET"}
	if n := testing.AllocsPerRun(100, func() { _, _ = table.Match(request) }); n != 0 {
		t.Fatalf("Match made %v allocations, want none", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	routes, pools := largeConfiguration()
	table, _ := router.Compile(1, routes, pools)
	request := router.Request{Host: "h3.example", Path: "/team/1983/work/of/today", Method: "GET"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Match(request); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	routes, pools := largeConfiguration()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := router.Compile(1, routes, pools); err != nil {
			b.Fatal(err)
		}
	}
}
