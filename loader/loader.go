package loader

import (
	"os"
	"time"

	"agatevalve/common/fault"
	"agatevalve/parser"
)

const (
	maxNameBytes = 100
	maxPools     = 500
	maxSlots     = 10_000
	kibibyte     = 1 << 10
	mebibyte     = 1 << 20
	gibibyte     = 1 << 30
	// maxFileBytes is the maximum size of a settings file.
	maxFileBytes = mebibyte
)

// ReadEntry reads the settings file of an entry.
func ReadEntry(path string) (Entry, error) { return readFile(path, DecodeEntry) }

// ReadAgent reads the settings file of an agent.
func ReadAgent(path string) (Agent, error) { return readFile(path, DecodeAgent) }

// ReadPlatform reads the settings file of the platform emulator.
func ReadPlatform(path string) (Platform, error) { return readFile(path, DecodePlatform) }

// readFile reads a settings file and decodes it with the given function.
func readFile[T any](path string, decode func(file string, data []byte) (T, error)) (T, error) {
	var zero T
	info, err := os.Stat(path)
	if err != nil {
		return zero, fault.Wrap(err, fault.NotFound, "name a settings file that can be read", "settings file %s", path)
	}
	if info.Size() > maxFileBytes {
		return zero, fault.New(fault.TooLarge, "name a settings file", "%s has %d bytes, more than %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, fault.Wrap(err, fault.NotFound, "name a settings file that can be read", "settings file %s", path)
	}
	return decode(path, data)
}

// DecodeEntry decodes the settings of an entry. Errors show file as the file name.
func DecodeEntry(file string, data []byte) (Entry, error) {
	return parser.Decode(file, data, parseEntry)
}

// DecodeAgent decodes the settings of an agent. Errors show file as the file name.
func DecodeAgent(file string, data []byte) (Agent, error) {
	return parser.Decode(file, data, parseAgent)
}

// DecodePlatform decodes the settings of the platform emulator. Errors show file as
// the file name.
func DecodePlatform(file string, data []byte) (Platform, error) {
	return parser.Decode(file, data, parsePlatform)
}

func parseEntry(o *parser.Object) Entry {
	readName := parser.Name(maxNameBytes)
	e := Entry{
		Name:      parser.Required(o, "name", readName),
		Zone:      parser.Required(o, "zone", readName),
		Callers:   parser.Required(o, "callers", parser.Address),
		Operators: parser.Required(o, "operators", parser.Address),
		Internal:  parser.Required(o, "internal", parser.ReachableAddress),
		Store:     parser.Required(o, "store", parser.ReachableAddress),
		Limits:    parser.Optional(o, "limits", DefaultLimits(), parser.Nested(parseLimits)),
	}
	checkListeners(o, e)
	return e
}

// checkListeners records a problem if two listeners of the entry have the same port.
func checkListeners(o *parser.Object, e Entry) {
	const remedy = "give each listener a port of its own"
	if e.Operators.IsValid() && e.Operators.Port() == e.Callers.Port() {
		o.Refuse("operators", remedy, "has the port of callers")
	}
	if e.Internal.IsValid() && e.Internal.Port() == e.Callers.Port() {
		o.Refuse("internal", remedy, "has the port of callers")
	}
	if e.Internal.IsValid() && e.Internal.Port() == e.Operators.Port() {
		o.Refuse("internal", remedy, "has the port of operators")
	}
}

func parseLimits(o *parser.Object) Limits {
	d := DefaultLimits()
	l := Limits{
		HeaderBytes: parser.Optional(o, "header-bytes", d.HeaderBytes, parser.Int(kibibyte, mebibyte)),
		BodyBytes:   parser.Optional(o, "body-bytes", d.BodyBytes, parser.Int(kibibyte, gibibyte)),
		JobTasks:    parser.Optional(o, "job-tasks", d.JobTasks, parser.Int(1, 100_000)),
		AnswerBytes: parser.Optional(o, "answer-bytes", d.AnswerBytes, parser.Int(kibibyte, gibibyte)),
		QueueTasks:  parser.Optional(o, "queue-tasks", d.QueueTasks, parser.Int(1, 10_000_000)),

		ClaimWritesPerSecond: parser.Optional(o, "claim-writes-per-second", d.ClaimWritesPerSecond, parser.Int(1, 1_000_000)),

		AnswerWithin: parser.Optional(o, "answer-within", d.AnswerWithin, parser.Duration(10*time.Millisecond, time.Hour)),
		MaxDeadline:  parser.Optional(o, "max-deadline", d.MaxDeadline, parser.Duration(10*time.Millisecond, 24*time.Hour)),
		KeepAnswers:  parser.Optional(o, "keep-answers", d.KeepAnswers, parser.Duration(time.Second, 24*time.Hour)),
		StopNotice:   parser.Optional(o, "stop-notice", d.StopNotice, parser.Duration(0, time.Minute)),
		StopWithin:   parser.Optional(o, "stop-within", d.StopWithin, parser.Duration(time.Second, time.Hour)),
	}
	if l.AnswerWithin > l.MaxDeadline {
		o.Refuse("answer-within", "lower it or raise max-deadline", "%s exceeds max-deadline %s", l.AnswerWithin, l.MaxDeadline)
	}
	if l.JobTasks > l.QueueTasks {
		o.Refuse("job-tasks", "lower it or raise queue-tasks", "%d exceeds queue-tasks %d", l.JobTasks, l.QueueTasks)
	}
	return l
}

func parseAgent(o *parser.Object) Agent {
	readName := parser.Name(maxNameBytes)
	d := DefaultAgent()
	a := Agent{
		Name:        parser.Required(o, "name", readName),
		Zone:        parser.Required(o, "zone", readName),
		Rack:        parser.Optional(o, "rack", d.Rack, parser.Text(maxNameBytes)),
		Worker:      parser.Optional(o, "worker", d.Worker, parser.Text(maxNameBytes)),
		Listen:      parser.Required(o, "listen", parser.ReachableAddress),
		Operators:   parser.Optional(o, "operators", d.Operators, parser.AddressOrNone),
		Store:       parser.Required(o, "store", parser.ReachableAddress),
		Minion:      parser.Required(o, "minion", parser.ReachableAddress),
		Pools:       parser.Required(o, "pools", parsePoolNames),
		Slots:       parser.Required(o, "slots", parser.Int(1, maxSlots)),
		Remember:    parser.Optional(o, "remember", d.Remember, parser.Int(1, 100_000_000)),
		ResultBytes: parser.Optional(o, "result-bytes", d.ResultBytes, parser.Int(kibibyte, 16*gibibyte)),
		StopWithin:  parser.Optional(o, "stop-within", d.StopWithin, parser.Duration(time.Second, time.Hour)),
	}
	if a.Operators.IsValid() && a.Operators.Port() == a.Listen.Port() {
		o.Refuse("operators", "give each listener a port of its own", "has the port of listen")
	}
	return a
}

// parsePoolNames reads the names of at least one pool, without duplicates.
func parsePoolNames(v *parser.Value) []string {
	names := parser.List(maxPools, parser.Name(maxNameBytes))(v)
	if names != nil && len(names) == 0 {
		v.Refuse("name at least one pool", "is empty")
	}
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			v.Refuse("name each pool once", "%q is given twice", name)
		}
		seen[name] = true
	}
	return names
}

func parsePlatform(o *parser.Object) Platform {
	d := DefaultPlatform()
	return Platform{
		Listen:          parser.Required(o, "listen", parser.Address),
		WriteTakes:      parser.Optional(o, "write-takes", d.WriteTakes, parser.Duration(0, time.Minute)),
		WritesPerSecond: parser.Optional(o, "writes-per-second", d.WritesPerSecond, parser.Int(1, 1_000_000)),
		ReadsPerSecond:  parser.Optional(o, "reads-per-second", d.ReadsPerSecond, parser.Int(1, 1_000_000)),
	}
}
