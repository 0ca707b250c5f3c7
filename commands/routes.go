package commands

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"agatevalve/historian"
	"agatevalve/router"
)

// RoutesCommand groups the commands that show and edit the table of routes.
type RoutesCommand struct {
	Show   RoutesShowCommand   `cmd:"" help:"Show all routes, or one."`
	Set    RoutesSetCommand    `cmd:"" help:"Insert or update a route. What no flag names stays as it is; a new route needs --path-prefix and --pool."`
	Delete RoutesDeleteCommand `cmd:"" help:"Delete a route. Requests that match no other route are refused with not-run."`
}

// RoutesShowCommand prints all routes or one route.
type RoutesShowCommand struct {
	Name string  `arg:"" optional:"" help:"Name of the route."`
	At   *uint64 `help:"Show an older revision." placeholder:"REVISION"`
}

// wireRows is the JSON output of routes show and pools show.
type wireRows struct {
	Revision uint64            `json:"revision"`
	Rows     []json.RawMessage `json:"rows"`
}

// Run prints the routes.
func (r *RoutesShowCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		configuration, err := s.configurationAt(ctx, r.At)
		if err != nil {
			return err
		}
		routes := configuration.Routes
		if r.Name != "" {
			route, ok := configuration.Route(r.Name)
			if !ok {
				return errRowNotFound("routes", r.Name, configuration.Revision)
			}
			routes = []router.Route{route}
		}
		if !c.wantsJSON() {
			return c.printTable(routeTable(routes))
		}
		return c.printRows(configuration.Revision, formatRows(routes, historian.FormatRoute))
	})
}

// configurationAt returns the configuration at a revision, or at the head if at
// is nil.
func (s *store) configurationAt(ctx context.Context, at *uint64) (historian.Configuration, error) {
	if at != nil {
		return s.historian.ConfigurationAt(ctx, *at)
	}
	_, configuration, err := s.historian.Current(ctx)
	return configuration, err
}

// printRows prints the rows of a table as JSON.
func (c *console) printRows(revision uint64, rows []json.RawMessage) error {
	return c.printJSON(wireRows{Revision: revision, Rows: rows})
}

// formatRows formats each row as JSON.
func formatRows[T any](items []T, format func(T) []byte) []json.RawMessage {
	rows := make([]json.RawMessage, 0, len(items))
	for _, item := range items {
		rows = append(rows, format(item))
	}
	return rows
}

// routeTable formats routes as a table.
func routeTable(routes []router.Route) [][]string {
	table := [][]string{{"NAME", "HOST", "PATH-PREFIX", "METHOD", "POOL", "IDEMPOTENT", "WASTE-WEIGHT", "ANSWER-WITHIN"}}
	for _, r := range routes {
		answerWithin := "default"
		if r.AnswerWithin > 0 {
			answerWithin = r.AnswerWithin.String()
		}
		table = append(table, []string{
			r.Name, valueOrAny(r.Host), r.PathPrefix, valueOrAny(r.Method), r.Pool,
			strconv.FormatBool(r.Idempotent), strconv.Itoa(r.WasteWeight), answerWithin,
		})
	}
	return table
}

// valueOrAny returns the text, or the word any if it is empty: a route without
// host or method matches all of them.
func valueOrAny(text string) string {
	if text == "" {
		return "any"
	}
	return text
}

// RoutesSetCommand inserts or updates a route.
type RoutesSetCommand struct {
	publishFlags
	Name         string         `arg:"" help:"Name of the route."`
	Host         *string        `help:"Host that the route matches, in lower case without port; empty for any." placeholder:"HOST"`
	PathPrefix   *string        `help:"Path prefix in whole segments, such as /quotes." placeholder:"PATH"`
	Method       *string        `help:"HTTP method that the route matches; empty for any." placeholder:"METHOD"`
	Pool         *string        `help:"Pool that serves the route." placeholder:"POOL"`
	Idempotent   *bool          `help:"Whether a task may run again after a failure: only where running twice does no harm. Without it each task starts at most once." negatable:""`
	WasteWeight  *int           `help:"What a wasted message weighs against response time: 0 for the fastest answer, 100 to send nothing that may go unused." placeholder:"WEIGHT"`
	AnswerWithin *time.Duration `help:"Deadline of requests that name none, with its unit; 0s for the entry's." placeholder:"DURATION"`
}

// Run publishes the route with the flags applied to its row in the base revision.
func (r *RoutesSetCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		base, err := r.baseRevision(ctx, s)
		if err != nil {
			return err
		}
		configuration, err := s.historian.ConfigurationAt(ctx, base)
		if err != nil {
			return err
		}
		route, _ := configuration.Route(r.Name)
		r.applyFlags(&route)
		return r.publish(ctx, c, s, base, historian.Changes{Routes: newUpsert(r.Name, route)})
	})
}

// applyFlags applies the flags that were given to the route.
func (r *RoutesSetCommand) applyFlags(route *router.Route) {
	route.Name = r.Name
	setIfGiven(&route.Host, r.Host)
	setIfGiven(&route.PathPrefix, r.PathPrefix)
	setIfGiven(&route.Method, r.Method)
	setIfGiven(&route.Pool, r.Pool)
	setIfGiven(&route.Idempotent, r.Idempotent)
	setIfGiven(&route.WasteWeight, r.WasteWeight)
	setIfGiven(&route.AnswerWithin, r.AnswerWithin)
}

// setIfGiven sets the field if the flag was given.
func setIfGiven[T any](field, flag *T) {
	if flag != nil {
		*field = *flag
	}
}

// RoutesDeleteCommand deletes a route.
type RoutesDeleteCommand struct {
	publishFlags
	Name string `arg:"" help:"Name of the route."`
}

// Run publishes the deletion of the route.
func (r *RoutesDeleteCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		base, err := r.baseRevision(ctx, s)
		if err != nil {
			return err
		}
		return r.publish(ctx, c, s, base, historian.Changes{Routes: newDeletion[router.Route](r.Name)})
	})
}
