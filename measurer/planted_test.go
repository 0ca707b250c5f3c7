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

// onReplies changes every reply with an answer that an entry gives.
func onReplies(change func(dispatcher.Answer) dispatcher.Answer) measurer.Plant {
	return measurer.Plant{EntryCommands: func(commands []dispatcher.Command) []dispatcher.Command {
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

func without[T dispatcher.Command](commands []dispatcher.Command) []dispatcher.Command {
	var out []dispatcher.Command
	for _, c := range commands {
		if _, ok := c.(T); !ok {
			out = append(out, c)
		}
	}
	return out
}

// twice starts every task twice at its minion.
func twice(commands []runner.Command) []runner.Command {
	var out []runner.Command
	for _, c := range commands {
		out = append(out, c)
		if _, ok := c.(runner.Run); ok {
			out = append(out, c)
		}
	}
	return out
}

func crossed() func(dispatcher.Answer) dispatcher.Answer {
	var last []task.Response
	return func(a dispatcher.Answer) dispatcher.Answer {
		if len(a.Responses) == 1 {
			a.Responses, last = last, a.Responses
		}
		return a
	}
}

// restamped changes what the minion added to its answer, differently each time.
func restamped() func(dispatcher.Answer) dispatcher.Answer {
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

func shortened(a dispatcher.Answer) dispatcher.Answer {
	if len(a.Responses) > 1 {
		a.Responses = a.Responses[1:]
	}
	return a
}

func denied(_ dispatcher.Answer) dispatcher.Answer {
	return dispatcher.Answer{Outcome: task.NotRun, Reason: "planted"}
}

// deniedAtOnce answers every submission before it starts.
func deniedAtOnce() measurer.Plant {
	last := dispatcher.Ticket(0)
	return measurer.Plant{EntryCommands: func(commands []dispatcher.Command) []dispatcher.Command {
		var out []dispatcher.Command
		for _, c := range commands {
			if _, ok := c.(dispatcher.SendStart); ok {
				last++
				out = append(out, dispatcher.Reply{Ticket: last, Answer: denied(dispatcher.Answer{})})
			}
			out = append(out, c)
		}
		return out
	}}
}

func TestVerifierSeesEachPlantedFault(t *testing.T) {
	for _, c := range []struct {
		promise  string
		scenario string
		plant    measurer.Plant
	}{
		{"at-most-once", "steady", measurer.Plant{AgentCommands: twice}},
		{"not-run-is-true", "steady", onReplies(denied)},
		{"not-run-is-true", "steady", deniedAtOnce()},
		{"own-answer", "steady", onReplies(crossed())},
		{"complete-or-failed", "steady", onReplies(shortened)},
		{"complete-or-failed", "steady", onReplies(func(dispatcher.Answer) dispatcher.Answer { return dispatcher.Answer{} })},
		{"same-answer", "resubmission-storm", onReplies(restamped())},
		{"in-time", "steady", measurer.Plant{ReplyDelay: 20 * time.Second}},
		{"always-a-reply", "steady", measurer.Plant{EntryCommands: without[dispatcher.Reply]}},
		{"leaving-gets-nothing", "drain", measurer.Plant{DeafToDrain: true}},
		{"cancelled-not-sent", "cancel-wave", measurer.Plant{DeafToWithdrawal: true}},
	} {
		t.Run(c.promise+"/"+c.scenario, func(t *testing.T) {
			is := is.New(t)
			o := short(c.scenario)
			o.Length = time.Second
			f, err := measurer.RunPlanted(o, c.plant)
			is.NoErr(err)
			is.True(len(f.Violations) > 0) // the planted fault is seen
			found := false
			for _, v := range f.Violations {
				found = found || v.Promise == c.promise
				is.True(len(v.Trace) > 0) // with its trace
			}
			is.True(found) // as what it is
		})
	}
}
