package commands

import (
	"fmt"

	"agatevalve/router"
)

// printExplanation prints an explanation like a query plan: the route, its pool
// and its minions, each indented below the one before, and then tables of the
// routes that were considered and of the minions.
func (c *console) printExplanation(request string, output wireExplanation, e router.Explanation) error {
	if c.wantsJSON() {
		return c.printJSON(output)
	}
	if err := c.print("plan for %s by revision %d\n", request, output.Revision); err != nil {
		return err
	}
	if err := c.printPlan(output, e); err != nil {
		return err
	}
	rows := [][]string{{"WEIGHED", "VERDICT", "WHY"}}
	for _, w := range output.Considered {
		rows = append(rows, []string{w.Route, w.Verdict, w.Why})
	}
	if err := c.printTable(rows); err != nil {
		return err
	}
	return c.printMinions(output)
}

// printPlan prints the route, pool and minions that serve the request.
func (c *console) printPlan(output wireExplanation, e router.Explanation) error {
	if !e.Found {
		return c.print("-> no route: the request is refused with not-run\n\n")
	}
	steps := []string{describeRoute(e.Plan.Route), "   " + describePool(e.Plan.Pool)}
	if output.EntriesQueried {
		steps = append(steps, "      "+describeMinions(output.Minions))
	}
	for _, step := range steps {
		if err := c.print("%s\n", step); err != nil {
			return err
		}
	}
	return c.print("\n")
}

// describeRoute formats a step of the plan.
func describeRoute(r router.Route) string {
	startPolicy := "each task starts at most once"
	if r.Idempotent {
		startPolicy = "a task may start again after a failure"
	}
	answerWithin := "the entry's default"
	if r.AnswerWithin > 0 {
		answerWithin = r.AnswerWithin.String()
	}
	prefix := r.PathPrefix
	if r.PrefixMatch == router.Literal {
		prefix = fmt.Sprintf("%q, literal", prefix)
	}
	return fmt.Sprintf("-> route %s (host %s, path prefix %s, method %s): %s; answer within %s; waste weight %d",
		r.Name, valueOrAny(r.Host), prefix, valueOrAny(r.Method), startPolicy, answerWithin, r.WasteWeight)
}

// describePool formats a step of the plan.
func describePool(p router.Pool) string {
	return fmt.Sprintf("-> pool %s: slots per minion %s; queue limit %s; quotas %s",
		p.Name, formatOrDefault(p.SlotsPerMinion, "declared"), formatOrDefault(p.QueueLimit, "default"), describeQuotas(p.Quotas))
}

// describeMinions formats a step of the plan.
func describeMinions(minions []wireMinion) string {
	eligible, freeSlots := 0, int32(0)
	for _, m := range minions {
		if m.Eligible {
			eligible++
			freeSlots += max(m.Slots-m.Running, 0)
		}
	}
	return fmt.Sprintf("-> minions: %d of %d may get a task; %d slots free", eligible, len(minions), freeSlots)
}

// printMinions prints the table of minions, if the entries were queried.
func (c *console) printMinions(output wireExplanation) error {
	if !output.EntriesQueried {
		return nil
	}
	for _, s := range output.EntryErrors {
		c.printToStderr("warning: entry %s did not answer: %s", s.Entry, s.Error)
	}
	if !output.Found {
		return nil
	}
	if len(output.Minions) == 0 {
		return c.print("\nno entry knows a minion of the pool: look at the agents, and at their setting pools\n")
	}
	rows := [][]string{{"MINION", "WORKER", "ZONE", "RUNNING/SLOTS", "MEAN", "WHY"}}
	for _, m := range output.Minions {
		rows = append(rows, []string{
			m.Name, m.Worker, m.Zone, fmt.Sprintf("%d/%d", m.Running, m.Slots), formatMeanTime(m.MeanSeconds), m.Why,
		})
	}
	if err := c.print("\n"); err != nil {
		return err
	}
	return c.printTable(rows)
}
