package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/router"
)

// ExplainCommand tells how a request would be served.
type ExplainCommand struct {
	Method string  `arg:"" help:"HTTP method of the request."`
	Path   string  `arg:"" help:"Path of the request, decoded, without query."`
	Host   string  `help:"Host of the request, without port." placeholder:"HOST"`
	At     *uint64 `help:"Explain by an older revision." placeholder:"REVISION"`
	File   string  `help:"Explain by a configuration file, without the store and minions." placeholder:"FILE"`
}

type wireExplanation struct {
	Revision uint64          `json:"revision"`
	Found    bool            `json:"found"`
	Route    json.RawMessage `json:"route,omitempty"`
	Pool     json.RawMessage `json:"pool,omitempty"`
	Weighed  []wireWeighed   `json:"weighed"`
	// Asked is false when the entries were not asked for minions.
	Asked   bool          `json:"asked"`
	Minions []wireMinion  `json:"minions"`
	Silent  []wireSilence `json:"silent"`
}

type wireWeighed struct {
	Route   string `json:"route"`
	Verdict string `json:"verdict"`
	Why     string `json:"why"`
}

type wireMinion struct {
	wireAgent
	Eligible bool   `json:"eligible"`
	Why      string `json:"why"`
}

type wireSilence struct {
	Entry string `json:"entry"`
	Error string `json:"error"`
}

// Run explains the request.
func (e *ExplainCommand) Run(c *console) error {
	if e.File != "" {
		configuration, err := readConfiguration(e.File)
		if err != nil {
			return err
		}
		return e.explain(c, configuration, nil)
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		configuration, err := s.revision(ctx, e.At)
		if err != nil {
			return err
		}
		views, err := askEntries(ctx, s, nil)
		if err != nil {
			return err
		}
		return e.explain(c, configuration, &views)
	})
}

// request returns the request as people write it.
func (e *ExplainCommand) request() string { return e.Method + " " + e.Host + e.Path }

// explain prints the explanation; views is nil when the entries were not asked.
func (e *ExplainCommand) explain(c *console, configuration historian.Configuration, views *[]entryView) error {
	table, err := configuration.Compile()
	if err != nil {
		return err
	}
	explanation, err := table.Explain(router.Request{Host: e.Host, Path: e.Path, Method: e.Method})
	if err != nil {
		return err
	}
	wire := encodeExplanation(configuration.Revision, explanation)
	if views != nil {
		wire.Asked = true
		wire.addMinions(explanation, *views)
	}
	if err := c.printExplanation(e.request(), wire, explanation); err != nil {
		return err
	}
	if !explanation.Found {
		return fault.New(fault.NotFound, "add a route, or change one of those weighed", "no route matches %s", e.request())
	}
	return nil
}

func encodeExplanation(revision uint64, e router.Explanation) wireExplanation {
	wire := wireExplanation{
		Revision: revision, Found: e.Found,
		Weighed: []wireWeighed{}, Minions: []wireMinion{}, Silent: []wireSilence{},
	}
	for _, w := range e.Considered {
		wire.Weighed = append(wire.Weighed, wireWeighed{w.Route.Name, string(w.Verdict), w.Reason})
	}
	if e.Found {
		wire.Route = historian.FormatRoute(e.Plan.Route)
		wire.Pool = historian.FormatPool(e.Plan.Pool)
	}
	return wire
}

func (w *wireExplanation) addMinions(e router.Explanation, views []entryView) {
	for _, v := range views {
		if v.status == nil {
			w.Silent = append(w.Silent, wireSilence{v.member.Process.Name, v.err.Error()})
		}
	}
	if !e.Found {
		return
	}
	for _, view := range agents(views) {
		if slices.Contains(view.agent.GetPools(), e.Plan.Pool.Name) {
			w.Minions = append(w.Minions, weighMinion(encodeAgent(view)))
		}
	}
}

// weighMinion says whether a minion may get a task of its pool.
func weighMinion(a wireAgent) wireMinion {
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
