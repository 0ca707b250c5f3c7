package commands

import (
	"encoding/json"
	"os"

	"agatevalve/common/fault"
	"agatevalve/loader"
)

// Kinds of settings files, with the names that --kind accepts.
const (
	entrySettings    = "entry"
	agentSettings    = "agent"
	platformSettings = "platform"
)

// SettingsCommand groups the commands that handle settings files.
type SettingsCommand struct {
	Check SettingsCheckCommand `cmd:"" help:"Check a settings file of an entry, an agent or the platform stand-in."`
}

// SettingsCheckCommand validates a settings file.
type SettingsCheckCommand struct {
	File string `arg:"" help:"Settings file (JSON)."`
	Kind string `help:"Whose settings they are; guessed from the fields if auto." enum:"auto,entry,agent,platform" default:"auto"`
}

// wireSettings is the JSON output of settings check.
type wireSettings struct {
	File  string `json:"file"`
	Kind  string `json:"kind"`
	Valid bool   `json:"valid"`
}

// Run reads the file with the loader that its process uses.
func (s *SettingsCheckCommand) Run(c *console) error {
	kind := s.Kind
	if kind == "auto" {
		kind = guessKind(s.File)
	}
	if err := checkSettings(kind, s.File); err != nil {
		return err
	}
	if c.wantsJSON() {
		return c.printJSON(wireSettings{s.File, kind, true})
	}
	return c.print("%s holds valid settings of: %s\n", s.File, kind)
}

// checkSettings reads a settings file of the kind and returns what is wrong.
func checkSettings(kind, file string) error {
	var err error
	switch kind {
	case entrySettings:
		_, err = loader.ReadEntry(file)
	case agentSettings:
		_, err = loader.ReadAgent(file)
	case platformSettings:
		_, err = loader.ReadPlatform(file)
	default:
		err = fault.New(fault.Invalid, "give --kind entry, agent or platform", "can't tell whose settings %s holds", file)
	}
	return err
}

// guessKind looks for fields that only one kind has, and returns an empty kind if
// there is none. It returns platform for a file that can't be read or parsed,
// since the loader of any kind reports that.
func guessKind(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return platformSettings
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return platformSettings
	}
	distinctFields := []struct{ field, kind string }{
		{"callers", entrySettings}, {"internal", entrySettings},
		{"minion", agentSettings}, {"pools", agentSettings}, {"slots", agentSettings},
		{"write-takes", platformSettings}, {"writes-per-second", platformSettings}, {"reads-per-second", platformSettings},
	}
	for _, f := range distinctFields {
		if _, ok := fields[f.field]; ok {
			return f.kind
		}
	}
	return ""
}
