package testscripts_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// buildCommand is the command with which the pages build the programs. TestScripts
// runs it at the root of the repository, with a temporary directory in place of
// bin/.
const buildCommand = "go build -o bin/ . ./agatevalve-agent"

// pages are the pages whose commands have to be run by scripts.
var pages = []string{"README.md", "docs/OPERATIONS.md"}

// notInScripts holds the commands that no script can run, because they run the
// scripts themselves.
var notInScripts = map[string]bool{".ci/run": true}

// scriptCommand matches a script line that runs a command, and captures the
// command.
var scriptCommand = regexp.MustCompile(`^(?:exec|exits [0-9]+|shows '[^']*'|shows [^' ]+) (.*?)(?: &[a-z0-9]+&)?$`)

// TestPageCommandsRunInScripts checks that each command in the pages is run by a
// script, so that the pages don't show commands that fail.
func TestPageCommandsRunInScripts(t *testing.T) {
	executed := scriptCommands(t)
	executed = append(executed, buildCommand)
	for _, page := range pages {
		commands := pageCommands(t, page)
		if len(commands) == 0 {
			t.Errorf("%s shows no command", page)
		}
		for _, command := range commands {
			if !notInScripts[command] && !isExecuted(executed, toScriptCommand(command)) {
				t.Errorf("%s: no script runs: %s\n\tas: %s", page, command, toScriptCommand(command))
			}
		}
	}
}

// isExecuted reports whether a script runs the command. Scripts may append flags
// to shorten waits or to change addresses.
func isExecuted(executed []string, command string) bool {
	for _, c := range executed {
		if c == command || strings.HasPrefix(c, command+" --") {
			return true
		}
	}
	return false
}

// toScriptCommand converts a command of a page to the form that scripts use.
func toScriptCommand(command string) string {
	for _, program := range []struct{ shown, run string }{
		{"go run . ", "agatevalve "},
		{"go run ./agatevalve-agent ", "agatevalve-agent "},
		{"export ", "env "},
	} {
		if rest, ok := strings.CutPrefix(command, program.shown); ok {
			command = program.run + rest
		}
	}
	return exampleAddress.ReplaceAllString(command, "$$ADDRESS_$1")
}

// pageCommands returns the commands in the code blocks of a page with the language
// sh.
func pageCommands(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", page))
	if err != nil {
		t.Fatal(err)
	}
	joined := strings.ReplaceAll(string(text), "\\\n", "")
	var commands []string
	inBlock := false
	for line := range strings.Lines(joined) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inBlock = line == "```sh"
		case inBlock && line != "" && !strings.HasPrefix(line, "#"):
			commands = append(commands, strings.Join(strings.Fields(line), " "))
		}
	}
	return commands
}

// scriptCommands returns the commands that all scripts run.
func scriptCommands(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.txt")
	if err != nil {
		t.Fatal(err)
	}
	var commands []string
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSpace(line)
			if strings.HasPrefix(line, "env ") {
				commands = append(commands, line)
			}
			if match := scriptCommand.FindStringSubmatch(line); match != nil {
				commands = append(commands, strings.Join(strings.Fields(match[1]), " "))
			}
		}
	}
	return commands
}
