package rehearser

import (
	"fmt"
	"slices"
	"time"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// localityFigures count jobs by route, and the work with data on the hot rack.
type localityFigures struct {
	// jobs and onTime count jobs by route; those with data stand under withData too.
	jobs, onTime map[string]int
	// coreTime is the time of cores that the runs of jobs with data used.
	coreTime time.Duration
	// waited is the total length of the waits.
	waited time.Duration
	// elsewhereEnds has, for tasks that waited, the time at which they would have
	// ended elsewhere.
	elsewhereEnds map[work.Task]time.Time
}

// withData is the key of the jobs with data on the hot rack.
const withData = ""

// knownFactor returns the factor that entries expect at first.
func (h HotRack) knownFactor() float64 {
	if h.KnownFactor > 0 {
		return h.KnownFactor
	}
	return h.Factor
}

// drawRack draws the rack with the data of a new job of a route.
func (w *world) drawRack(route Route) string {
	h, elapsed := w.day.HotRack, w.now.Sub(w.start)
	if h.Share > 0 && h.Route == route.Name && elapsed >= h.At && elapsed < h.At+h.For && w.callerRandom.Float64() < h.Share {
		return h.Rack
	}
	return ""
}

// count adds jobs of the route of a caller, and those of them on time.
func (f *localityFigures) count(c *caller, jobs, onTime int) {
	if f.jobs == nil {
		f.jobs, f.onTime, f.elsewhereEnds = make(map[string]int), make(map[string]int), make(map[work.Task]time.Time)
	}
	keys := []string{c.route.Name}
	if c.rack != "" {
		keys = append(keys, withData)
	}
	for _, k := range keys {
		f.jobs[k] += jobs
		f.onTime[k] += onTime
	}
}

// countPlace counts the start of a run by its place.
func (v *verifier) countPlace(c *caller, minion string) {
	if c.rack == "" {
		return
	}
	for _, a := range v.world.agents {
		if a.minion.Describe().Name != minion {
			continue
		}
		if slices.Contains(a.labels(), c.rack) {
			v.result.NearStarts++
		} else {
			v.result.RemoteStarts++
		}
	}
}

// countRun counts the core time of a run that has ended, and whether its task is
// late because it waited.
func (v *verifier) countRun(run work.Run, state work.State, took time.Duration, at time.Time) {
	c := v.world.callers[run.Job]
	if c == nil || c.rack == "" {
		return
	}
	v.locality.coreTime += time.Duration(float64(took) * float64(c.route.CPU) / 1000)
	end, waited := v.locality.elsewhereEnds[run.Task]
	if state != work.Done || !waited {
		return
	}
	delete(v.locality.elsewhereEnds, run.Task)
	if at.After(c.objective) && !end.After(c.objective) {
		v.result.LateByWait++
	}
}

// dataWaitEnded counts a wait, and notes when its task would have ended
// elsewhere.
func (v *verifier) dataWaitEnded(ev scheduler.DataWaitEnded) {
	v.result.DataWaits++
	v.locality.waited += ev.Length
	if ev.Paid {
		v.result.DataWaitsPaid++
	}
	if _, waitedBefore := v.locality.elsewhereEnds[ev.Run.Task]; waitedBefore {
		return
	}
	for _, a := range v.world.agents {
		if fmt.Sprintf("agent-%02d", a.index) == ev.Elsewhere.Name {
			runtime := float64(v.world.profile(ev.Run.Task).Work) * v.world.day.DurationFactors[a.index] * v.world.day.HotRack.Factor
			begin := v.world.now.Add(-ev.Length)
			v.locality.elsewhereEnds[ev.Run.Task] = begin.Add(ev.ElsewhereWait + linkDelay + orderDelay + time.Duration(runtime))
		}
	}
}

// summarize sets the figures of the result.
func (f *localityFigures) summarize(r *Result) {
	r.OnTimeByRoute = make(map[string]float64)
	for name, jobs := range f.jobs {
		share := float64(f.onTime[name]) / float64(max(jobs, 1))
		if name == withData {
			r.OnTimeWithData = share
			r.DataCoreSeconds = f.coreTime.Seconds() / float64(max(jobs, 1))
			continue
		}
		r.OnTimeByRoute[name] = share
	}
	if r.DataWaits > 0 {
		r.MeanDataWait = f.waited / time.Duration(r.DataWaits)
	}
}
