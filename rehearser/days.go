package rehearser

import (
	"time"

	"agatevalve/common/work"
)

// NamedDay is a day with a name and a description.
type NamedDay struct {
	Name string
	// Description is the load or the faults of the day, as the help of the
	// rehearse command shows it.
	Description string
	Day         Day
}

// Days returns the standard days with the given seed.
func Days(seed uint64) []NamedDay {
	desk, reed := []float64{0.7, 0.7, 1.7}, []float64{0.55, 1.2, 1.2, 1.2}
	days := []NamedDay{
		{"desk-0.7", "a calm day of the desk", newDay(seed, desk, 0.7)},
		{"desk-1.0", "its usual load", newDay(seed, desk, 1)},
		{"desk-1.6", "a long rush", newDay(seed, desk, 1.6)},
		{"reed-1.0", "minions of which few are fast", newDay(seed, reed, 1)},
		{"reed-1.6", "a long rush there", newDay(seed, reed, 1.6)},
		{"orders-0.9", "wide tasks on few minions", newOrdersDay(seed, 0.9)},
		{"orders-1.1", "a little more than they can do", newOrdersDay(seed, 1.1)},
		{"orders-1.3", "a rush there", newOrdersDay(seed, 1.3)},
	}
	addDay := func(name, description string, change func(*Day)) {
		day := newDay(seed, desk, 1)
		change(&day)
		days = append(days, NamedDay{name, description, day})
	}
	addDay("burst", "twice the work for two seconds", func(d *Day) { d.Burst = Burst{At: 4 * time.Second, For: 2 * time.Second, Factor: 2} })
	addDay("lost-answers", "orders carried out late", func(d *Day) { d.LostAnswerShare = 0.04 })
	addDay("hopeless", "jobs that can never be done", func(d *Day) { d.FailingJobShare = 0.07 })
	addDay("leave", "a wave of callers that leave", func(d *Day) { d.LeavingCallerShare = 0.3 })
	addDay("deadly", "work of one route that crashes its minions", func(d *Day) {
		d.DeadlyWork = DeadlyWork{Route: "hold", Share: 0.1, At: 2 * time.Second, For: 5 * time.Second}
	})
	addFaultDay := func(name, description string, kind FaultKind, count int, duration time.Duration) {
		addDay(name, description, func(d *Day) {
			for i := range count {
				d.Faults = append(d.Faults, Fault{Kind: kind, At: 3 * time.Second, For: duration, Entry: i, Minion: 4 * i})
			}
		})
	}
	addFaultDay("slow", "minions that turn slow", SlowMinion, 2, 5*time.Second)
	addFaultDay("stall", "minions that stand still", StallMinion, 2, 5*time.Second)
	addFaultDay("failing", "minions that fail all, and report well", FailMinion, 2, 5*time.Second)
	addFaultDay("crash", "minions that are lost", CrashMinion, 2, 4*time.Second)
	addFaultDay("cut", "minions that orders don't reach", CutMinion, 2, 4*time.Second)
	addFaultDay("entry-killed", "an entry that is killed", KillEntry, 1, 0)
	addFaultDay("agents-killed", "agents that are killed", KillAgent, 3, 0)
	addFaultDay("entry-frozen", "an entry that stands still", FreezeEntry, 1, 3*time.Second)
	addFaultDay("shrunk", "minions whose capacity shrinks", ShrinkMinion, 3, 4*time.Second)
	return days
}

// LargeDay returns a day of a system with 13 entries and 71 minions.
func LargeDay(seed uint64) Day { return newFleetDay(seed, 13, 71) }

// FleetDay returns a day of a system with 55 entries and 240 minions, of which
// each agent knows a few entries only.
func FleetDay(seed uint64) Day { return newFleetDay(seed, 55, 240) }

// newFleetDay returns a day of the desk, with its load for each minion.
func newFleetDay(seed uint64, entries, minions int) Day {
	day := newDay(seed, []float64{0.7, 0.7, 1.7}, float64(minions)/11)
	day.Length, day.Entries = 4*time.Second, entries
	for len(day.DurationFactors) < minions {
		day.DurationFactors = append(day.DurationFactors, day.DurationFactors[len(day.DurationFactors)-3])
	}
	return day
}

// newDay returns a day of three entries and eleven minions. load 1 is the usual
// load, and the minions take durationFactors in turn.
func newDay(seed uint64, durationFactors []float64, load float64) Day {
	day := Day{
		Seed: seed, Length: 10 * time.Second, Entries: 3, Room: work.Room{CPU: 16000, Memory: 65536},
		Routes: []Route{
			{Name: "hold", JobsPerSecond: 34.4 * load, Tasks: 8, Work: 60 * time.Millisecond, CPU: 1600, Worth: 0.0291},
			{Name: "assign", JobsPerSecond: 6.25 * load, Tasks: 4, Work: 900 * time.Millisecond, CPU: 1600, Worth: 0.16, Priority: 2},
			{Name: "check", JobsPerSecond: 100 * load, Tasks: 2, Work: 200 * time.Millisecond, CPU: 1600, Worth: 0.01, Priority: 1},
		},
	}
	for i := range 11 {
		day.DurationFactors = append(day.DurationFactors, durationFactors[i%len(durationFactors)])
	}
	return day
}

// newOrdersDay returns a day of eight minions with tasks of a tenth of their
// room each, which is what is left of eleven after losses. load 1 is about all
// that they can do.
func newOrdersDay(seed uint64, load float64) Day {
	day := newDay(seed, []float64{0.55, 1.2, 1.2, 1.2}, load)
	day.DurationFactors, day.Room = day.DurationFactors[:8], work.Room{CPU: 37000, Memory: 65536}
	for i := range day.Routes {
		day.Routes[i].CPU = 3100
	}
	return day
}
