package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"agatevalve/common/fault"
	"agatevalve/soaker"
)

// SoakCommand runs the real programs as processes under injected faults.
type SoakCommand struct {
	First        uint64        `help:"First seed." default:"1"`
	Seeds        int           `help:"How many seeds to run, one after the other from the first." default:"1"`
	Concurrency  int           `help:"How many to run at a time." name:"at-once" default:"2"`
	Faults       time.Duration `help:"How long faults come; work goes on 5 s longer." default:"6s"`
	Longest      time.Duration `help:"Longest duration of a fault." default:"2.5s"`
	Only         string        `help:"Regular expression that selects the faults by their names." placeholder:"PATTERN"`
	Entries      int           `help:"Entries, 1 to 20." default:"3"`
	Agents       int           `help:"Agents with a minion each, 1 to 20." default:"4"`
	ProcessShare float64       `help:"Share of the minions that are processes of their own; the others are in this process." default:"0.5"`
	EntryShare   float64       `help:"Share of a core that each entry may use; 0 for no limit."`
	AgentShare   float64       `help:"Share of a core that each agent may use; 0 for no limit."`
	Rate         float64       `help:"Jobs per second." default:"40"`
	LongShare    float64       `help:"Share of jobs whose task takes 1 to 4 s." default:"0.03"`
	Agent        string        `help:"Program of the agent; by default the one beside this program." type:"path" placeholder:"PATH"`
	Dir          string        `help:"Directory for settings and logs of each seed." type:"path" default:"soak-logs"`
}

// SoakMinionCommand runs a minion of a soak test.
type SoakMinionCommand struct{}

// Run runs the minion until the soak test ends it.
func (*SoakMinionCommand) Run() error { return soaker.RunMinion(os.Stdin) }

// Help describes the test bed and what is checked.
func (*SoakCommand) Help() string {
	return "Entries and agents run as processes of their own on loopback addresses, with a stand-in of the store, a minion for each agent and callers that keep their connections. Processes are killed, frozen and stopped, connections are delayed, reset, cut and silenced, the store and minions misbehave. Judged are the promises that callers, minions and the operator can see. The exit code is 1 if one was broken; the logs of that seed are kept."
}

// Run runs one soak test per seed, Concurrency of them at a time, and prints the
// result of each.
func (s *SoakCommand) Run(c *console) error {
	entry, agent, err := s.programPaths()
	if err != nil {
		return err
	}
	var pattern *regexp.Regexp
	if s.Only != "" {
		if pattern, err = regexp.Compile(s.Only); err != nil {
			return fault.Wrap(err, fault.Invalid, "correct --only", "read the pattern of faults")
		}
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	var lastErr error
	brokenPromises := 0
	semaphore := make(chan struct{}, s.Concurrency)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for i := range s.Seeds {
		seed := s.First + uint64(i)
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			dir := filepath.Join(s.Dir, fmt.Sprintf("seed-%d", seed))
			result, err := soaker.Run(ctx, soaker.Options{
				Seed: seed, FaultDuration: s.Faults, MaxFault: s.Longest, FaultPattern: pattern, Entries: s.Entries, Agents: s.Agents, ProcessShare: s.ProcessShare, LongShare: s.LongShare,
				EntryShare: s.EntryShare, AgentShare: s.AgentShare, JobsPerSecond: s.Rate, Entry: entry, Agent: agent, Dir: dir,
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				c.printToStderr("seed %d: %v", seed, err)
				return
			}
			brokenPromises += len(result.Violations)
			if err := s.printResult(c, result, dir); err != nil {
				lastErr = err
			}
		})
	}
	group.Wait()
	if lastErr != nil {
		return lastErr
	}
	if brokenPromises > 0 {
		return fault.New(fault.Internal, "read the logs of the seeds above with agatevalve trace", "%d promises were broken", brokenPromises)
	}
	return nil
}

// programPaths validates the flags, and returns the paths of the programs to
// run.
func (s *SoakCommand) programPaths() (entry, agent string, err error) {
	if !s.inRange() {
		return "", "", fault.New(fault.Invalid, "see agatevalve soak --help", "a number is out of range")
	}
	if entry, err = os.Executable(); err != nil {
		return "", "", fault.Wrap(err, fault.Internal, "run it from a plain file", "find this program")
	}
	if agent = s.Agent; agent == "" {
		agent = filepath.Join(filepath.Dir(entry), "agatevalve-agent")
	}
	if _, err := os.Stat(agent); err != nil {
		return "", "", fault.Wrap(err, fault.Invalid, "build it there, or name it with --agent", "find the agent's program")
	}
	return entry, agent, nil
}

// inRange reports whether all numbers are in range.
func (s *SoakCommand) inRange() bool {
	for _, share := range []float64{s.ProcessShare, s.LongShare, s.EntryShare, s.AgentShare} {
		if share < 0 {
			return false
		}
	}
	return s.Seeds >= 1 && s.Concurrency >= 1 && s.Entries >= 1 && s.Entries <= 20 && s.Agents >= 1 && s.Agents <= 20 &&
		s.Faults > 0 && s.Longest > 0 && s.Rate > 0 && s.ProcessShare <= 1 && s.LongShare <= 1
}

// printResult prints the result of one seed. It removes the logs if no promise was
// broken.
func (s *SoakCommand) printResult(c *console, r soaker.Result, dir string) error {
	if err := c.print("seed %d: %d faults, %d starts, jobs %v\n", r.Seed, len(r.Faults), r.Starts, r.Jobs); err != nil {
		return err
	}
	if len(r.Violations) == 0 {
		return os.RemoveAll(dir)
	}
	return c.print("%s\nbroken:\n%s\nlogs: %s\n", strings.Join(r.Faults, "\n"), strings.Join(r.Violations, "\n"), dir)
}
