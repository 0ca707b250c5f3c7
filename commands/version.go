package commands

import (
	"runtime"
	"runtime/debug"
)

// VersionCommand prints the version.
type VersionCommand struct{}

// wireVersion is the JSON output of version.
type wireVersion struct {
	Version  string `json:"version"`
	Revision string `json:"source-revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// Run prints the versions of the program, its source and Go.
func (*VersionCommand) Run(c *console) error {
	v := wireVersion{Version: "(devel)", Revision: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" {
			v.Version = info.Main.Version
		}
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				v.Revision = s.Value
			case "vcs.modified":
				v.Modified = s.Value == "true"
			}
		}
	}
	if c.wantsJSON() {
		return c.printJSON(v)
	}
	return c.print("agatevalve %s, source %s, %s\n", v.Version, v.Revision, v.Go)
}
