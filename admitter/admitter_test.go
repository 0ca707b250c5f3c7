package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/admitter"
	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/router"
)

var (
	arrived = time.Unix(1_800_000_000, 0)
	plan    = router.Plan{
		Route: router.Route{Name: "r", AnswerWithin: 1500 * time.Millisecond, Jobs: router.JobPolicy{Priority: 2, Stretch: 1.6}},
		Pool:  router.Pool{Name: "desk"},
	}
)

func submission() work.Submission {
	return work.Submission{ID: "a", Arrived: arrived, Steps: []work.Step{{Count: 4, Room: work.Room{CPU: 500}, Hint: time.Second}}}
}

func TestJobGetsTheLimitsOfItsRoute(t *testing.T) {
	is := is.New(t)
	job, err := admitter.Admit(submission(), plan)
	is.NoErr(err)
	is.Equal(job.Service, "desk")
	is.Equal(job.Count, 4)
	is.Equal(job.Priority, 2)
	is.Equal(job.Attempts, 1) // The default of a route that sets none.
	is.Equal(job.Hint, time.Second)
}

func TestRouteDoesNotShortenTheDeadlineOfACaller(t *testing.T) {
	cases := []struct{ caller, route, want time.Duration }{
		{0, 1500 * time.Millisecond, 1488 * time.Millisecond},
		{800 * time.Millisecond, 1500 * time.Millisecond, 788 * time.Millisecond},
		{2 * time.Second, 1500 * time.Millisecond, 1988 * time.Millisecond},
		{23 * time.Second, 1500 * time.Millisecond, 22988 * time.Millisecond},
		{2 * time.Minute, 0, 2*time.Minute - 12*time.Millisecond},
		{2 * time.Second, 0, 1988 * time.Millisecond},
		{0, 0, time.Minute - 12*time.Millisecond},
		{10 * time.Millisecond, 0, 5 * time.Millisecond}, // The margin takes at most half of the time.
	}
	for _, tc := range cases {
		is := is.New(t)
		s, p := submission(), plan
		if tc.caller > 0 {
			s.Deadline = arrived.Add(tc.caller)
		}
		p.Route.AnswerWithin = tc.route
		job, err := admitter.Admit(s, p)
		is.NoErr(err)
		is.Equal(job.Deadline.Sub(arrived), tc.want)
	}
}

func TestUnsupportedFeaturesAreUnavailable(t *testing.T) {
	cases := map[string]func(*work.Submission){
		"stored":  func(s *work.Submission) { s.Stored = true },
		"steps":   func(s *work.Submission) { s.Steps = append(s.Steps, work.Step{Count: 1}) },
		"timed":   func(s *work.Submission) { s.Timed = true },
		"gang":    func(s *work.Submission) { s.Steps[0].Gang = true },
		"lasting": func(s *work.Submission) { s.Steps[0].Lasting = true },
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := submission()
			modify(&s)
			_, err := admitter.Admit(s, plan)
			is.Equal(fault.KindOf(err), fault.Unavailable)
		})
	}
}

func TestInvalidStepsAreRefused(t *testing.T) {
	cases := map[string]func(*work.Submission){
		"no steps":          func(s *work.Submission) { s.Steps = nil },
		"no tasks":          func(s *work.Submission) { s.Steps[0].Count = 0 },
		"too many tasks":    func(s *work.Submission) { s.Steps[0].Count = 100_001 },
		"negative cpu":      func(s *work.Submission) { s.Steps[0].Room.CPU = -1 },
		"negative memory":   func(s *work.Submission) { s.Steps[0].Room.Memory = -1 },
		"negative gpu":      func(s *work.Submission) { s.Steps[0].Room.Accelerators = -1 },
		"negative estimate": func(s *work.Submission) { s.Steps[0].Hint = -1 },
		"negative cap":      func(s *work.Submission) { s.Steps[0].MaxPerMinion = -1 },
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := submission()
			modify(&s)
			_, err := admitter.Admit(s, plan)
			is.Equal(fault.KindOf(err), fault.Invalid)
			is.True(fault.RemedyOf(err) != "")
		})
	}
}
