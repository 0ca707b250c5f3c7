package measurer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/measurer"
	"agatevalve/runner"
)

// changingAnswers changes the answer of every reply of an entry.
func changingAnswers(change func(dispatcher.Answer) dispatcher.Answer) measurer.InjectedFaults {
	return measurer.InjectedFaults{EntryCommands: func(commands []dispatcher.Command) []dispatcher.Command {
		var out []dispatcher.Command
		for _, c := range commands {
			if r, ok := c.(dispatcher.Reply); ok {
				r.Answer = change(r.Answer)
				c = r
			}
			out = append(out, c)
		}
		return out
	}}
}

// dropping removes the commands of one type.
func dropping[T dispatcher.Command](commands []dispatcher.Command) []dispatcher.Command {
	var out []dispatcher.Command
	for _, c := range commands {
		if _, ok := c.(T); !ok {
			out = append(out, c)
		}
	}
	return out
}

// startingTwice starts every task twice at its minion.
func startingTwice(commands []runner.Command) []runner.Command {
	var out []runner.Command
	for _, c := range commands {
		out = append(out, c)
		if _, ok := c.(runner.Run); ok {
			out = append(out, c)
		}
	}
	return out
}

// previousAnswer gives each request the answer to the one before it.
func previousAnswer() func(dispatcher.Answer) dispatcher.Answer {
	var last []task.Response
	return func(a dispatcher.Answer) dispatcher.Answer {
		if len(a.Responses) == 1 {
			a.Responses, last = last, a.Responses
		}
		return a
	}
}

// changingBody appends a byte to each response that differs from reply to
// reply.
func changingBody() func(dispatcher.Answer) dispatcher.Answer {
	stamp := byte(0)
	return func(a dispatcher.Answer) dispatcher.Answer {
		stamp++
		var out []task.Response
		for _, r := range a.Responses {
			r.Body = append(append([]byte{}, r.Body...), stamp)
			out = append(out, r)
		}
		a.Responses = out
		return a
	}
}

// dropFirstPart removes the first response from the answers of jobs.
func dropFirstPart(a dispatcher.Answer) dispatcher.Answer {
	if len(a.Responses) > 1 {
		a.Responses = a.Responses[1:]
	}
	return a
}

// replyNotRun replaces an answer by a reply that nothing ran.
func replyNotRun(_ dispatcher.Answer) dispatcher.Answer {
	return dispatcher.Answer{Outcome: task.NotRun, Reason: "planted"}
}

// replyNotRunBeforeStart replies that nothing ran to every submission before
// its tasks start.
func replyNotRunBeforeStart() measurer.InjectedFaults {
	last := dispatcher.Ticket(0)
	return measurer.InjectedFaults{EntryCommands: func(commands []dispatcher.Command) []dispatcher.Command {
		var out []dispatcher.Command
		for _, c := range commands {
			if _, ok := c.(dispatcher.SendStart); ok {
				last++
				out = append(out, dispatcher.Reply{Ticket: last, Answer: replyNotRun(dispatcher.Answer{})})
			}
			out = append(out, c)
		}
		return out
	}}
}

func TestVerifierDetectsEachInjectedFault(t *testing.T) {
	for _, c := range []struct {
		promise  string
		scenario string
		faults   measurer.InjectedFaults
	}{
		{"at-most-once", "steady", measurer.InjectedFaults{AgentCommands: startingTwice}},
		{"not-run-is-true", "steady", changingAnswers(replyNotRun)},
		{"not-run-is-true", "steady", replyNotRunBeforeStart()},
		{"own-answer", "steady", changingAnswers(previousAnswer())},
		{"complete-or-failed", "steady", changingAnswers(dropFirstPart)},
		{"complete-or-failed", "steady", changingAnswers(func(dispatcher.Answer) dispatcher.Answer { return dispatcher.Answer{} })},
		{"same-answer", "resubmission-storm", changingAnswers(changingBody())},
		{"in-time", "steady", measurer.InjectedFaults{ReplyDelay: 20 * time.Second}},
		{"always-a-reply", "steady", measurer.InjectedFaults{EntryCommands: dropping[dispatcher.Reply]}},
		{"leaving-gets-nothing", "drain", measurer.InjectedFaults{IgnoreDrain: true}},
		{"cancelled-not-sent", "cancel-wave", measurer.InjectedFaults{IgnoreWithdrawal: true}},
	} {
		t.Run(c.promise+"/"+c.scenario, func(t *testing.T) {
			is := is.New(t)
			o := shortOptions(c.scenario)
			o.Duration = time.Second
			f, err := measurer.RunWithFaults(o, c.faults)
			is.NoErr(err)
			is.True(len(f.Violations) > 0) // the verifier reports violations
			found := false
			for _, v := range f.Violations {
				found = found || v.Promise == c.promise
				is.True(len(v.Trace) > 0) // each with a trace
			}
			is.True(found) // one is of the expected promise
		})
	}
}
