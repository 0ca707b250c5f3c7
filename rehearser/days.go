package rehearser

import (
	"time"

	"agatevalve/common/work"
)

// Named is a day with a name.
type Named struct {
	Name string
	// Answers says which load or trouble the day has.
	Answers string
	Day     Day
}

// Days returns the days that figures are taken of, by seed.
func Days(seed uint64) []Named {
	desk, reed := []float64{0.7, 0.7, 1.7}, []float64{0.55, 1.2, 1.2, 1.2}
	days := []Named{
		{"desk-0.7", "a calm day of the desk", sized(seed, desk, 0.7)},
		{"desk-1.0", "its usual load", sized(seed, desk, 1)},
		{"desk-1.6", "a long rush", sized(seed, desk, 1.6)},
		{"reed-1.0", "minions of which few are fast", sized(seed, reed, 1)},
		{"reed-1.6", "a long rush there", sized(seed, reed, 1.6)},
	}
	add := func(name, answers string, change func(*Day)) {
		day := sized(seed, desk, 1)
		change(&day)
		days = append(days, Named{name, answers, day})
	}
	add("burst", "twice the work for two seconds", func(d *Day) { d.Burst = Burst{At: 4 * time.Second, For: 2 * time.Second, Times: 2} })
	add("lost-answers", "orders carried out late", func(d *Day) { d.LostAnswers = 0.04 })
	add("hopeless", "jobs that can never be done", func(d *Day) { d.Poison = 0.07 })
	add("leave", "a wave of callers that leave", func(d *Day) { d.Leave = 0.3 })
	trouble := func(name, answers string, kind FaultKind, count int, lasts time.Duration) {
		add(name, answers, func(d *Day) {
			for i := range count {
				d.Faults = append(d.Faults, Fault{Kind: kind, At: 3 * time.Second, For: lasts, Entry: i, Minion: 4 * i})
			}
		})
	}
	trouble("slow", "minions that turn slow", SlowMinion, 2, 5*time.Second)
	trouble("stall", "minions that stand still", StallMinion, 2, 5*time.Second)
	trouble("failing", "minions that fail all, and report well", FailMinion, 2, 5*time.Second)
	trouble("crash", "minions that are lost", CrashMinion, 2, 4*time.Second)
	trouble("cut", "minions that orders don't reach", CutMinion, 2, 4*time.Second)
	trouble("entry-killed", "an entry that is killed", KillEntry, 1, 0)
	trouble("agents-killed", "agents that are killed", KillAgent, 3, 0)
	trouble("entry-frozen", "an entry that stands still", FreezeEntry, 1, 3*time.Second)
	return days
}

// Grown returns the desk after it has grown to 13 entries and 71 minions.
func Grown(seed uint64) Day {
	day := sized(seed, []float64{0.7, 0.7, 1.7}, 6)
	day.Length, day.Entries = 4*time.Second, 13
	for len(day.Paces) < 71 {
		day.Paces = append(day.Paces, day.Paces[len(day.Paces)-3])
	}
	return day
}

// sized returns a day of three entries and eleven minions at some load.
func sized(seed uint64, paces []float64, load float64) Day {
	day := Day{
		Seed: seed, Length: 10 * time.Second, Entries: 3, Room: work.Room{CPU: 16000, Memory: 65536},
		Routes: []Route{
			{Name: "hold", PerSecond: 34.4 * load, Tasks: 8, Work: 60 * time.Millisecond, CPU: 1600, Worth: 0.0291},
			{Name: "assign", PerSecond: 6.25 * load, Tasks: 4, Work: 900 * time.Millisecond, CPU: 1600, Worth: 0.16, Priority: 2},
			{Name: "check", PerSecond: 100 * load, Tasks: 2, Work: 200 * time.Millisecond, CPU: 1600, Worth: 0.01, Priority: 1},
		},
	}
	for i := range 11 {
		day.Paces = append(day.Paces, paces[i%len(paces)])
	}
	return day
}
