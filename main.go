// Command agatevalve is the entry, which dispatches sub-second tasks to
// minions, and the command-line tool of its operators.
package main

import (
	"os"

	"agatevalve/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
