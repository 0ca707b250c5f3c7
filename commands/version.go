package commands

import (
	"runtime"
	"runtime/debug"
)

// VersionCommand shows the version.
type VersionCommand struct{}

type wireVersion struct {
	Version  string `json:"version"`
	Revision string `json:"source-revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// Run shows what the program was built from.
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
	if c.json() {
		return c.encode(v)
	}
	return c.print("agatevalve %s, source %s, %s\n", v.Version, v.Revision, v.Go)
}
