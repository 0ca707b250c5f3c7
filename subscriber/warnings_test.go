package subscriber_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/router"
	"agatevalve/subscriber"
)

// changeSource returns changes in turn, and then none.
type changeSource struct{ changes []subscriber.Change }

// Next implements subscriber.Source.
func (s *changeSource) Next(context.Context) (subscriber.Change, error) {
	time.Sleep(10 * time.Millisecond)
	if len(s.changes) == 0 {
		return subscriber.Change{}, nil
	}
	next := s.changes[0]
	s.changes = s.changes[1:]
	return next, nil
}

// adopt runs a subscriber until it has seen all changes. The configuration of each
// version has as many warnings. It returns the log, and the version in force.
func adopt(t *testing.T, registry metrics.Registry, changes ...subscriber.Change) (log string, version int64) {
	synctest.Test(t, func(*testing.T) {
		var lines bytes.Buffer
		changes[0].Zones = work.Zones{Version: 1}
		s := subscriber.New(subscriber.Options{
			Source: &changeSource{changes}, Log: slog.New(slog.NewTextHandler(&lines, nil)), Metrics: registry,
			Compile: func(d subscriber.Document) (subscriber.Configuration, error) {
				c := subscriber.Configuration{Table: router.CompileAccepted(uint64(d.Version), nil)}
				for i := range d.Version {
					c.Warnings = append(c.Warnings, router.Finding{Table: "routes", Row: fmt.Sprint("row-", i), Text: "bad value", Remedy: "correct it"})
				}
				return c, nil
			},
		})
		time.Sleep(time.Duration(len(changes)+1) * 20 * time.Millisecond)
		s.Close()
		log, version = lines.String(), s.Document().Version
	})
	return log, version
}

// Guards against values that are silently not used as the operator wrote them.
func TestWarningsOfAConfigurationAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	log, version := adopt(t, registry, subscriber.Change{Document: subscriber.Document{Version: 2}})
	is.Equal(version, int64(2))
	is.Equal(strings.Count(log, "remedy=\"correct it\""), 2)
	is.True(strings.Contains(log, "row=row-1"))
	is.Equal(registry.Get("configuration-warnings").(metrics.Gauge).Value(), int64(2))
}

func TestFewWarningsOfAConfigurationAreLogged(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	log, _ := adopt(t, registry, subscriber.Change{Document: subscriber.Document{Version: 500}})
	is.Equal(strings.Count(log, "remedy="), 20)
	is.True(strings.Contains(log, "warnings=500"))
	is.Equal(registry.Get("configuration-warnings").(metrics.Gauge).Value(), int64(500))
}

// Guards against a configuration that can't be read and leaves no trace in the metrics.
func TestUnreadableConfigurationIsCountedAndTheNextComesIntoForce(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	log, version := adopt(t, registry,
		subscriber.Change{Unreadable: fault.New(fault.Invalid, "write it again", "no version")},
		subscriber.Change{Document: subscriber.Document{Version: 3}},
	)
	is.Equal(version, int64(3))
	is.Equal(registry.Get("configurations-refused").(metrics.Counter).Count(), int64(1))
	is.True(strings.Contains(log, "no version; write it again"))
}
