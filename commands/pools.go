package commands

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/historian"
	"agatevalve/router"
)

// PoolsCommand groups the commands that show and edit the table of pools.
type PoolsCommand struct {
	Show   PoolsShowCommand   `cmd:"" help:"Show all pools, or one."`
	Set    PoolsSetCommand    `cmd:"" help:"Insert or update a pool. What no flag names stays as it is."`
	Delete PoolsDeleteCommand `cmd:"" help:"Delete a pool that no route leads to."`
}

// PoolsShowCommand prints all pools or one pool.
type PoolsShowCommand struct {
	Name string  `arg:"" optional:"" help:"Name of the pool."`
	At   *uint64 `help:"Show an older revision." placeholder:"REVISION"`
}

// Run prints the pools.
func (p *PoolsShowCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		configuration, err := s.configurationAt(ctx, p.At)
		if err != nil {
			return err
		}
		pools := configuration.Pools
		if p.Name != "" {
			pool, ok := configuration.Pool(p.Name)
			if !ok {
				return errRowNotFound("pools", p.Name, configuration.Revision)
			}
			pools = []router.Pool{pool}
		}
		if !c.wantsJSON() {
			return c.printTable(poolTable(pools))
		}
		return c.printRows(configuration.Revision, formatRows(pools, historian.FormatPool))
	})
}

// poolTable formats pools as a table.
func poolTable(pools []router.Pool) [][]string {
	table := [][]string{{"NAME", "SLOTS-PER-MINION", "QUEUE-LIMIT", "QUOTAS"}}
	for _, p := range pools {
		table = append(table, []string{
			p.Name, formatOrDefault(p.SlotsPerMinion, "declared"), formatOrDefault(p.QueueLimit, "default"), describeQuotas(p.Quotas),
		})
	}
	return table
}

// formatOrDefault formats a number, or returns the word if the number is 0.
func formatOrDefault(number int, zeroWord string) string {
	if number == 0 {
		return zeroWord
	}
	return strconv.Itoa(number)
}

// describeQuotas formats quotas in the form that parseQuota reads.
func describeQuotas(quotas []router.Quota) string {
	if len(quotas) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(quotas))
	for _, q := range quotas {
		part := fmt.Sprintf("%s=%d", q.Team, q.Weight)
		if q.MaxRunning > 0 {
			part += ":" + strconv.Itoa(q.MaxRunning)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " ")
}

// PoolsSetCommand inserts or updates a pool.
type PoolsSetCommand struct {
	publishFlags
	Name           string   `arg:"" help:"Name of the pool."`
	SlotsPerMinion *int     `help:"Most tasks at one minion; 0 takes the slots in the settings of its agent." placeholder:"SLOTS"`
	QueueLimit     *int     `help:"Most tasks that wait at one entry; 0 takes its setting queue-tasks." placeholder:"TASKS"`
	Quota          []string `help:"Quota of a team, as TEAM=WEIGHT or TEAM=WEIGHT:MAX-RUNNING: its share of a full pool, and its most running tasks for each entry. May be repeated; all given replace all of the pool." placeholder:"QUOTA"`
	NoQuotas       bool     `help:"Remove all quotas of the pool."`
}

// Run publishes the pool with the flags applied to its row in the base revision.
func (p *PoolsSetCommand) Run(c *console) error {
	quotas, err := p.parseQuotas()
	if err != nil {
		return err
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		base, err := p.baseRevision(ctx, s)
		if err != nil {
			return err
		}
		configuration, err := s.historian.ConfigurationAt(ctx, base)
		if err != nil {
			return err
		}
		pool, _ := configuration.Pool(p.Name)
		pool.Name = p.Name
		setIfGiven(&pool.SlotsPerMinion, p.SlotsPerMinion)
		setIfGiven(&pool.QueueLimit, p.QueueLimit)
		if len(quotas) > 0 || p.NoQuotas {
			pool.Quotas = quotas
		}
		return p.publish(ctx, c, s, base, historian.Changes{Pools: newUpsert(p.Name, pool)})
	})
}

// parseQuotas parses the flags --quota.
func (p *PoolsSetCommand) parseQuotas() ([]router.Quota, error) {
	if p.NoQuotas && len(p.Quota) > 0 {
		return nil, fault.New(fault.Invalid, "give one of the two", "both --quota and --no-quotas")
	}
	var quotas []router.Quota
	for _, text := range p.Quota {
		q, err := parseQuota(text)
		if err != nil {
			return nil, err
		}
		quotas = append(quotas, q)
	}
	return quotas, nil
}

// parseQuota parses TEAM=WEIGHT or TEAM=WEIGHT:MAX-RUNNING.
func parseQuota(text string) (router.Quota, error) {
	const remedy = "write TEAM=WEIGHT or TEAM=WEIGHT:MAX-RUNNING, such as cartago-desk=2:40"
	team, rest, ok := strings.Cut(text, "=")
	if !ok {
		return router.Quota{}, fault.New(fault.Invalid, remedy, "bad quota %q", text)
	}
	weight, maxRunning, hasLimit := strings.Cut(rest, ":")
	q := router.Quota{Team: task.Team(team)}
	var err error
	if q.Weight, err = strconv.Atoi(weight); err != nil {
		return router.Quota{}, fault.New(fault.Invalid, remedy, "bad weight in quota %q", text)
	}
	if !hasLimit {
		return q, nil
	}
	if q.MaxRunning, err = strconv.Atoi(maxRunning); err != nil {
		return router.Quota{}, fault.New(fault.Invalid, remedy, "bad limit in quota %q", text)
	}
	return q, nil
}

// PoolsDeleteCommand deletes a pool.
type PoolsDeleteCommand struct {
	publishFlags
	Name string `arg:"" help:"Name of the pool."`
}

// Run publishes the deletion of the pool.
func (p *PoolsDeleteCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		base, err := p.baseRevision(ctx, s)
		if err != nil {
			return err
		}
		return p.publish(ctx, c, s, base, historian.Changes{Pools: newDeletion[router.Pool](p.Name)})
	})
}
