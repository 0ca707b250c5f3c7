package work

import "slices"

// Zones is an operator's decision which availability zones are evacuated. No task
// is started at the minions of these zones.
type Zones struct {
	// Version orders decisions; 0 if none is known.
	Version uint64
	// Evacuated holds the names of the zones, sorted.
	Evacuated []string
}

// Evacuates reports whether a zone is evacuated.
func (z Zones) Evacuates(zone string) bool { return slices.Contains(z.Evacuated, zone) }

// NewerThan reports whether the decision replaces another one.
func (z Zones) NewerThan(o Zones) bool { return z.Version > o.Version }
