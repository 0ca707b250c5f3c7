// Package commands implements the command line of agatevalve. The struct of each
// command declares its flags and their help, from which kong builds the parser;
// its method Run executes it.
//
// Types with the prefix wire define JSON that commands print or read.
package commands

import (
	"io"
	"log/slog"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	"agatevalve/common/fault"
)

// description precedes the list of commands in the output of --help.
const description = `Dispatch sub-second tasks, and edit what is dispatched where.

A route says which requests go to which pool; a pool groups the minions (back ends) that serve them. Routes and pools are two tables, kept in the platform's table service. Every edit is made from a revision of both tables; it comes into force as a whole, or not at all.

Commands that read or edit the tables need --store or AGATEVALVE_STORE.

Exit codes: 0 done; 1 failed; 2 bad input; 3 conflict with another operator; 4 not reachable or too late, and nothing was changed; 5 not known whether it was done, or done and not yet in force everywhere.`

// sharedFlags are the flags of all commands.
type sharedFlags struct {
	Store   netip.AddrPort `help:"Address of the platform's table service (IP number and port)." placeholder:"IP:PORT" env:"AGATEVALVE_STORE"`
	Format  string         `help:"Form of the output: table for people, json for programs." enum:"table,json" default:"table"`
	Timeout time.Duration  `help:"How long to try, with its unit, such as 500ms or 1m." default:"20s"`
}

// serveRoot is the command line of an entry alone. kong takes some 10 ms of
// processor time to build its model of all commands, for which callers of an
// entry that restarts on a small VM would wait a tenth of a second.
type serveRoot struct {
	sharedFlags

	Serve ServeCommand `cmd:"" help:"Run an entry: the process that takes requests and jobs from callers."`
}

// root is the command line: the shared flags and the commands.
type root struct {
	sharedFlags

	Serve    ServeCommand    `cmd:"" help:"Run an entry: the process that takes requests and jobs from callers."`
	Demo     DemoCommand     `cmd:"" help:"Run a whole small system in one process, to try it."`
	Submit   SubmitCommand   `cmd:"" help:"Send a job from a file and print its answer."`
	Platform PlatformCommand `cmd:"" help:"Run a stand-in of the platform's table service, for trials."`
	Minion   MinionCommand   `cmd:"" help:"Run a stand-in of a minion (a back end that answers requests), for trials."`

	Routes     RoutesCommand     `cmd:"" help:"Show and edit the table of routes."`
	Pools      PoolsCommand      `cmd:"" help:"Show and edit the table of pools."`
	Config     ConfigCommand     `cmd:"" help:"Check, compare, apply and revert whole configurations."`
	Audit      AuditCommand      `cmd:"" help:"Show who changed what, when and why, drains included."`
	Explain    ExplainCommand    `cmd:"" help:"Tell which route, pool and minions serve a request, and why."`
	Status     StatusCommand     `cmd:"" help:"Show the store, the entries and the agents beside minions, and the revision in force at each."`
	Drain      DrainCommand      `cmd:"" help:"Keep new tasks from a minion, or from all minions of a worker (machine). What it has accepted runs to its end; the drain lasts until undrain or the agent's restart."`
	Undrain    UndrainCommand    `cmd:"" help:"Let a drained minion or worker take tasks again."`
	Settings   SettingsCommand   `cmd:"" help:"Check settings files."`
	Measure    MeasureCommand    `cmd:"" help:"Measure how tasks are placed under load and faults; for developers."`
	Rehearse   RehearseCommand   `cmd:"" help:"Play days of jobs of leased tasks in virtual time, beside simpler ways to place them; for developers."`
	Soak       SoakCommand       `cmd:"" help:"Run the real programs between stand-ins on the loopback, under faults drawn from a seed; for developers."`
	SoakMinion SoakMinionCommand `cmd:"" hidden:"" help:"Run a minion of soak; started by soak itself."`
	Trace      TraceCommand      `cmd:"" help:"Tell the story of one job from the logs of entries and agents."`
	Version    VersionCommand    `cmd:"" help:"Show the version."`
}

// Execute parses and runs a command line, given without the program's name, and
// returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	slog.SetDefault(slog.New(slog.NewTextHandler(stderr, nil)))
	if len(args) > 0 && args[0] == "serve" {
		var r serveRoot
		return execute(&r, &r.sharedFlags, args, stdout, stderr)
	}
	var r root
	return execute(&r, &r.sharedFlags, args, stdout, stderr)
}

// execute parses and runs a command line that is declared by grammar, of which
// shared is a part.
func execute(grammar any, shared *sharedFlags, args []string, stdout, stderr io.Writer) int {
	exitCode := -1 // Set by kong once it has printed help.
	app, err := kong.New(grammar,
		kong.Name("agatevalve"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exitCode = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		panic("commands: the declarations of flags and commands are invalid: " + err.Error())
	}
	command, err := app.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	c := newConsole(*shared, stdout, stderr)
	if err != nil {
		return c.printError(errUsage(err))
	}
	if shared.Timeout <= 0 {
		return c.printError(fault.New(fault.Invalid, "use a duration above 0s", "--timeout %s is out of range", shared.Timeout))
	}
	if err := command.Run(c); err != nil {
		return c.printError(err)
	}
	return fault.ExitDone
}
