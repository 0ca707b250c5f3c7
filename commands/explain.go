package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/platform"
	"agatevalve/router"
)

// ExplainCommand prints which route, pool and minions would serve a request, and
// why.
type ExplainCommand struct {
	Method     string  `arg:"" help:"HTTP method of the request."`
	Path       string  `arg:"" help:"Path of the request, decoded, without query."`
	Host       string  `help:"Host of the request, without port." placeholder:"HOST"`
	At         *uint64 `help:"Explain by an older revision." placeholder:"REVISION"`
	File       string  `help:"Explain by a configuration file, without the store and minions." placeholder:"FILE"`
	OnPlatform bool    `help:"The file is a configuration document of the users' platform."`
}

// wireExplanation is the JSON output of explain.
type wireExplanation struct {
	Revision   uint64                `json:"revision"`
	Found      bool                  `json:"found"`
	Route      json.RawMessage       `json:"route,omitempty"`
	Pool       json.RawMessage       `json:"pool,omitempty"`
	Considered []wireConsideredRoute `json:"weighed"`
	// EntriesQueried is false with --file: Minions and EntryErrors are then
	// empty.
	EntriesQueried bool             `json:"asked"`
	Minions        []wireMinion     `json:"minions"`
	EntryErrors    []wireEntryError `json:"silent"`
}

// wireConsideredRoute is a route that the router considered, and its verdict.
type wireConsideredRoute struct {
	Route   string `json:"route"`
	Verdict string `json:"verdict"`
	Why     string `json:"why"`
}

// wireMinion is a minion of the pool, and whether it may get a task.
type wireMinion struct {
	wireAgent
	Eligible bool   `json:"eligible"`
	Why      string `json:"why"`
}

// wireEntryError is an entry that did not answer the status call.
type wireEntryError struct {
	Entry string `json:"entry"`
	Error string `json:"error"`
}

// Run explains the request by a file, or by the store and the live entries.
func (e *ExplainCommand) Run(c *console) error {
	switch {
	case e.OnPlatform:
		return e.explainDocument(c)
	case e.File != "":
		configuration, err := readConfiguration(e.File)
		if err != nil {
			return err
		}
		return e.explainConfiguration(c, configuration, nil)
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		configuration, err := s.configurationAt(ctx, e.At)
		if err != nil {
			return err
		}
		views, err := queryEntries(ctx, s, nil)
		if err != nil {
			return err
		}
		return e.explainConfiguration(c, configuration, &views)
	})
}

// requestLine formats the request, such as GET example.com/path.
func (e *ExplainCommand) requestLine() string { return e.Method + " " + e.Host + e.Path }

// explainDocument explains by a document of the platform, and warns of the values in
// it that entries don't use as written.
func (e *ExplainCommand) explainDocument(c *console) error {
	if e.File == "" {
		return fault.New(fault.Invalid, "name the document with --file", "--on-platform needs a file")
	}
	content, err := readConfigurationFile(e.File)
	if err != nil {
		return err
	}
	document, err := platform.ParseDocument(content)
	if err != nil {
		return err
	}
	configuration, err := platform.Compile(document)
	if err != nil {
		return err
	}
	for _, w := range configuration.Warnings {
		c.printToStderr("warning: %s", w)
	}
	return e.explain(c, configuration.Table, nil)
}

// explainConfiguration explains by a configuration of the product's own tables.
func (e *ExplainCommand) explainConfiguration(c *console, configuration historian.Configuration, views *[]entryView) error {
	table, err := configuration.Compile()
	if err != nil {
		return err
	}
	return e.explain(c, table, views)
}

// explain prints the explanation. views is nil if the entries were not queried.
func (e *ExplainCommand) explain(c *console, table *router.Table, views *[]entryView) error {
	explanation, err := table.Explain(router.Request{Host: e.Host, Path: e.Path, Method: e.Method})
	if err != nil {
		return err
	}
	output := encodeExplanation(table.Revision(), explanation)
	if views != nil {
		output.EntriesQueried = true
		output.addMinions(explanation, *views)
	}
	if err := c.printExplanation(e.requestLine(), output, explanation); err != nil {
		return err
	}
	if !explanation.Found {
		return fault.New(fault.NotFound, "add a route, or change one of those weighed", "no route matches %s", e.requestLine())
	}
	return nil
}

// encodeExplanation converts an explanation of the router, without minions.
func encodeExplanation(revision uint64, e router.Explanation) wireExplanation {
	output := wireExplanation{
		Revision: revision, Found: e.Found,
		Considered: []wireConsideredRoute{}, Minions: []wireMinion{}, EntryErrors: []wireEntryError{},
	}
	for _, w := range e.Considered {
		output.Considered = append(output.Considered, wireConsideredRoute{w.Route.Name, string(w.Verdict), w.Reason})
	}
	if e.Found {
		output.Route = historian.FormatRoute(e.Plan.Route)
		output.Pool = historian.FormatPool(e.Plan.Pool)
	}
	return output
}

// addMinions adds the minions of the matched pool that the entries know, and the
// entries that did not answer.
func (w *wireExplanation) addMinions(e router.Explanation, views []entryView) {
	for _, v := range views {
		if v.status == nil {
			w.EntryErrors = append(w.EntryErrors, wireEntryError{v.member.Process.Name, v.err.Error()})
		}
	}
	if !e.Found {
		return
	}
	for _, view := range mergeAgents(views) {
		if slices.Contains(view.agent.GetPools(), e.Plan.Pool.Name) {
			w.Minions = append(w.Minions, encodeMinion(encodeAgent(view)))
		}
	}
}

// encodeMinion adds whether a minion may get a task of its pool. One without a
// free slot stays eligible.
func encodeMinion(a wireAgent) wireMinion {
	m := wireMinion{wireAgent: a}
	switch {
	case a.Leaving:
		m.Why = "is leaving"
	case len(a.EjectedBy) > 0:
		m.Why = fmt.Sprintf("is ejected by %d entries", len(a.EjectedBy))
	case a.Running >= a.Slots:
		m.Eligible, m.Why = true, "has no free slot now"
	default:
		m.Eligible, m.Why = true, fmt.Sprintf("has %d free slots", a.Slots-a.Running)
	}
	return m
}
