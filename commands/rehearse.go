package commands

import (
	"fmt"
	"strconv"

	"agatevalve/common/fault"
	"agatevalve/rehearser"
)

// RehearseCommand simulates days of jobs of leased tasks in virtual time.
type RehearseCommand struct {
	Day   string `help:"Day to play, or all." default:"all"`
	Seeds int    `help:"How many seeds to play of each day, from 1." default:"2"`
}

// Help describes the method and lists the days.
func (*RehearseCommand) Help() string {
	help := "The shipped cores of entries and agents run under virtual time against emulated callers and minions, beside two simpler ways to place tasks. Worth is what answers earned over what they could: a late one earns a fifth. The exit code is 1 if a promise to callers was broken.\n\nDays:\n"
	for _, d := range allDays(1) {
		help += fmt.Sprintf("  %s: %s\n", d.Name, d.Description)
	}
	return help
}

// dayResult is the result of one day under one policy, over all seeds: the mean
// of Worth and the sums of the counts.
type dayResult struct {
	Day    string  `json:"day"`
	Policy string  `json:"policy"`
	Worth  float64 `json:"worth"`
	Jobs   int     `json:"jobs"`
	OnTime int     `json:"on-time"`
	Late   int     `json:"late"`
	// Refused counts jobs that did not run, Unfinished those that were given up
	// after a task may have started.
	Refused    int      `json:"refused"`
	Unfinished int      `json:"unfinished"`
	Failed     int      `json:"failed"`
	Starts     int      `json:"starts"`
	Wasted     int      `json:"wasted"`
	Frames     int      `json:"frames"`
	Broken     []string `json:"broken"`
}

// Run simulates the days under each policy and prints their results.
func (r *RehearseCommand) Run(c *console) error {
	if r.Seeds < 1 {
		return fault.New(fault.Invalid, "use 1 or more", "%d seeds", r.Seeds)
	}
	var rows []dayResult
	brokenPromises := 0
	for i, day := range allDays(1) {
		if r.Day != "all" && r.Day != day.Name {
			continue
		}
		for _, policy := range []rehearser.Policy{rehearser.Agatevalve, rehearser.LeastLoaded, rehearser.Random} {
			row := r.simulate(i, day.Name, policy)
			rows = append(rows, row)
			if policy == rehearser.Agatevalve {
				brokenPromises += len(row.Broken)
			}
		}
	}
	if len(rows) == 0 {
		return fault.New(fault.Invalid, "see agatevalve rehearse --help", "no day is called %q", r.Day)
	}
	if err := printDayResults(c, rows); err != nil {
		return err
	}
	if brokenPromises > 0 {
		return fault.New(fault.Internal, "report the lines above with the seed", "%d promises were broken", brokenPromises)
	}
	return nil
}

// allDays returns all days for one seed: those of the rehearser, and a larger
// deployment.
func allDays(seed uint64) []rehearser.NamedDay {
	grown := rehearser.NamedDay{Name: "grown", Description: "13 entries and 71 minions", Day: rehearser.LargeDay(seed)}
	return append(rehearser.Days(seed), grown)
}

// simulate simulates one day with each seed and aggregates the results.
func (r *RehearseCommand) simulate(index int, name string, policy rehearser.Policy) dayResult {
	row := dayResult{Day: name, Policy: string(policy), Broken: []string{}}
	if policy == rehearser.Agatevalve {
		row.Policy = "agatevalve"
	}
	for seed := 1; seed <= r.Seeds; seed++ {
		d := allDays(uint64(seed))[index].Day
		d.Policy = policy
		result := rehearser.Play(d)
		row.Worth += result.Worth / float64(r.Seeds)
		row.Jobs += result.Jobs
		row.OnTime += result.OnTime
		row.Late += result.Late
		row.Refused += result.Refused
		row.Unfinished += result.Unfinished
		row.Failed += result.Failed
		row.Starts += result.Starts
		row.Wasted += result.Wasted
		row.Frames += result.Frames
		row.Broken = append(row.Broken, result.Violations...)
	}
	return row
}

// printDayResults prints the results as JSON, or as a table that is followed by
// the broken promises.
func printDayResults(c *console, rows []dayResult) error {
	if c.wantsJSON() {
		return c.printJSON(rows)
	}
	table := [][]string{{
		"DAY", "POLICY", "WORTH", "JOBS", "ON-TIME", "LATE", "REFUSED", "UNFINISHED", "FAILED", "STARTS", "WASTED", "FRAMES", "BROKEN",
	}}
	for _, r := range rows {
		table = append(table, []string{
			r.Day, r.Policy, fmt.Sprintf("%.3f", r.Worth), strconv.Itoa(r.Jobs), strconv.Itoa(r.OnTime), strconv.Itoa(r.Late),
			strconv.Itoa(r.Refused), strconv.Itoa(r.Unfinished), strconv.Itoa(r.Failed), strconv.Itoa(r.Starts),
			strconv.Itoa(r.Wasted), strconv.Itoa(r.Frames), strconv.Itoa(len(r.Broken)),
		})
	}
	if err := c.printTable(table); err != nil {
		return err
	}
	for _, r := range rows {
		for _, line := range r.Broken {
			if err := c.print("broken: %s, %s: %s\n", r.Day, r.Policy, line); err != nil {
				return err
			}
		}
	}
	return nil
}
