package commands

import (
	"agatevalve/emulator"
	"agatevalve/loader"
)

// PlatformCommand runs a stand-in of the platform's table service until it is
// interrupted. It keeps its rows in memory.
type PlatformCommand struct {
	Settings string `arg:"" help:"Settings file (JSON) with listen address, write time and rates; see examples/platform.json."`
}

// Run serves the table service until it is interrupted.
func (c *PlatformCommand) Run() error {
	settings, err := loader.ReadPlatform(c.Settings)
	if err != nil {
		return err
	}
	table := emulator.NewTable(emulator.Options{
		WriteLatency:    settings.WriteTakes,
		WritesPerSecond: settings.WritesPerSecond,
		ReadsPerSecond:  settings.ReadsPerSecond,
	})
	return standIn{logPrefix: "platform", listen: settings.Listen, handler: emulator.Handler(table)}.run()
}
