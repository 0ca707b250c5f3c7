package commands

import (
	"context"
	"os"
	"strconv"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

// maxConfigurationBytes is the maximum size of a configuration file.
const maxConfigurationBytes = 32 << 20

// ConfigCommand groups the commands that handle whole configurations.
type ConfigCommand struct {
	Check   ConfigCheckCommand   `cmd:"" help:"Check a configuration file without the store."`
	Diff    ConfigDiffCommand    `cmd:"" help:"Show the rows that differ between two configurations: - before, + after."`
	Apply   ConfigApplyCommand   `cmd:"" help:"Replace both tables by the content of a file, and wait until it is in force at every live entry."`
	History ConfigHistoryCommand `cmd:"" help:"List the newest revisions."`
	Show    ConfigShowCommand    `cmd:"" help:"Show both tables in the form of a file that config apply reads."`
	Revert  ConfigRevertCommand  `cmd:"" help:"Publish the content of an older revision as a new one; nothing is lost from the history."`
}

// readConfiguration reads and decodes a configuration file.
func readConfiguration(path string) (historian.Configuration, error) {
	data, err := readConfigurationFile(path)
	if err != nil {
		return historian.Configuration{}, err
	}
	return historian.DecodeConfiguration(path, data)
}

// readConfigurationFile returns the content of a configuration file.
func readConfigurationFile(path string) ([]byte, error) {
	const remedy = "name a configuration file that can be read"
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, remedy, "configuration file %s", path)
	}
	if info.Size() > maxConfigurationBytes {
		return nil, fault.New(fault.TooLarge, remedy, "%s has %d bytes, more than %d", path, info.Size(), maxConfigurationBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, remedy, "configuration file %s", path)
	}
	return data, nil
}

// ConfigCheckCommand validates a configuration file without the store.
type ConfigCheckCommand struct {
	File string `arg:"" help:"Configuration file (JSON) with routes and pools."`
}

// wireCheck is the JSON output of config check.
type wireCheck struct {
	Routes   int           `json:"routes"`
	Pools    int           `json:"pools"`
	Warnings []wireFinding `json:"warnings"`
}

// Run validates the file by the same rules as a publish.
func (f *ConfigCheckCommand) Run(c *console) error {
	configuration, err := readConfiguration(f.File)
	if err != nil {
		return err
	}
	table, err := configuration.Compile()
	if err != nil {
		return err
	}
	routes, pools := len(configuration.Routes), len(configuration.Pools)
	if c.wantsJSON() {
		return c.printJSON(wireCheck{routes, pools, encodeFindings(table.Warnings())})
	}
	for _, w := range table.Warnings() {
		c.printToStderr("warning: %s", w)
	}
	return c.print("%s is valid: %d routes, %d pools\n", f.File, routes, pools)
}

// ConfigDiffCommand prints the differences between two configurations.
type ConfigDiffCommand struct {
	From string `arg:"" help:"A revision number, the word head for the one in force, or a file."`
	To   string `arg:"" help:"A revision number, the word head for the one in force, or a file."`
}

// Run prints the rows that differ.
func (d *ConfigDiffCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		from, err := s.resolveConfiguration(ctx, d.From)
		if err != nil {
			return err
		}
		to, err := s.resolveConfiguration(ctx, d.To)
		if err != nil {
			return err
		}
		changes := historian.Diff(from, to)
		if c.wantsJSON() {
			return c.print("%s\n", historian.FormatChanges(changes))
		}
		return c.printChanges(changes)
	})
}

// resolveConfiguration returns the configuration that a revision number, the word
// head or the path of a file refers to.
func (s *store) resolveConfiguration(ctx context.Context, name string) (historian.Configuration, error) {
	if name == "head" {
		return s.configurationAt(ctx, nil)
	}
	if number, err := strconv.ParseUint(name, 10, 64); err == nil {
		return s.historian.ConfigurationAt(ctx, number)
	}
	return readConfiguration(name)
}

// ConfigApplyCommand publishes the content of a file as a new revision.
type ConfigApplyCommand struct {
	publishFlags
	File string `arg:"" help:"Configuration file (JSON). It names its base in the field revision, as config show writes it, unless --base is given."`
}

// Run publishes the differences between the base revision and the file.
func (a *ConfigApplyCommand) Run(c *console) error {
	desired, err := readConfiguration(a.File)
	if err != nil {
		return err
	}
	base := desired.Revision
	setIfGiven(&base, a.Base)
	if a.Base == nil && base == 0 {
		return fault.New(fault.Invalid, "give --base with the revision that the file was made from; 0 for the first one",
			"%s names no base revision", a.File)
	}
	if _, err := desired.Compile(); err != nil {
		return err
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		current, err := s.historian.ConfigurationAt(ctx, base)
		if err != nil {
			return err
		}
		return a.publish(ctx, c, s, base, historian.Diff(current, desired))
	})
}

// ConfigShowCommand prints a configuration.
type ConfigShowCommand struct {
	Revision *uint64 `arg:"" optional:"" help:"Revision; the one in force if not given."`
}

// Run prints the configuration in the file format that config apply reads.
func (h *ConfigShowCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		configuration, err := s.configurationAt(ctx, h.Revision)
		if err != nil {
			return err
		}
		return c.print("%s", historian.FormatConfiguration(configuration))
	})
}

// ConfigRevertCommand publishes the content of an older revision as a new one.
type ConfigRevertCommand struct {
	publishFlags
	Revision uint64 `arg:"" help:"The revision whose content comes back."`
}

// Run publishes the revert and reports its progress to the entries.
func (r *ConfigRevertCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		base, err := r.baseRevision(ctx, s)
		if err != nil {
			return err
		}
		receipt, err := s.publisher.Revert(ctx, r.author(), base, r.Revision)
		if err != nil {
			return err
		}
		return r.reportPublish(ctx, c, s, receipt)
	})
}
