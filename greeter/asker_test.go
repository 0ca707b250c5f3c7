package greeter_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/greeter"
)

// askerFixture is an Asker with the events that it published.
type askerFixture struct {
	asker  *greeter.Asker
	events *ring.Ring[dispatcher.Event]
}

func newAskerFixture(t *testing.T) *askerFixture {
	t.Helper()
	a := &askerFixture{events: ring.New[dispatcher.Event](8)}
	a.asker = greeter.NewAsker(greeter.AskerOptions{Events: a.events})
	t.Cleanup(a.asker.Close)
	return a
}

// next returns the next event, and fails the test if none arrives.
func (a *askerFixture) next(t *testing.T) dispatcher.Event {
	t.Helper()
	select {
	case <-a.events.Ready():
	case <-time.After(testTimeout):
		t.Fatal("no event arrived in time")
	}
	events, _ := a.events.TakeUpTo(nil, 1)
	return events[0]
}

// askOwner returns the command to fetch the answer of a job from its owner.
func askOwner(address netip.AddrPort, to task.Process) dispatcher.AskOwner {
	deadline := time.Now().Add(testTimeout)
	return dispatcher.AskOwner{
		Claim:    dispatcher.Claim{Job: job, Team: "desk", Owner: to, OwnerAddress: address, Generation: 1, Deadline: deadline},
		Deadline: deadline,
	}
}

func TestOwnerAnswers(t *testing.T) {
	is := is.New(t)
	f, a := newFixture(t), newAskerFixture(t)
	a.asker.Ask(askOwner(f.address, self))
	asked := f.next(t).(dispatcher.AnswerRequested)
	f.waiters.Deliver(dispatcher.Reply{Ticket: asked.Ticket, Known: true, Answer: dispatcher.Answer{
		Outcome: task.Complete, Responses: []task.Response{{Status: 204}},
	}})
	answered := a.next(t).(dispatcher.OwnerAnswered)
	is.Equal(answered.Job, job)
	is.True(answered.Known)
	is.Equal(answered.Answer.Responses[0].Status, 204)
}

func TestRestartedOwnerDoesNotKnowTheJob(t *testing.T) {
	is := is.New(t)
	f, a := newFixture(t), newAskerFixture(t)
	a.asker.Ask(askOwner(f.address, task.Process{Name: self.Name, Incarnation: 1}))
	is.True(!a.next(t).(dispatcher.OwnerAnswered).Known)
}

func TestDeadOwnerIsLost(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	is.NoErr(listener.Close())
	a := newAskerFixture(t)
	a.asker.Ask(askOwner(address, self))
	is.Equal(a.next(t).(dispatcher.OwnerLost).Job, job)
}

func TestSilentOwnerIsLostBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // It accepts connections and never sends.
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	a := newAskerFixture(t)
	q := askOwner(netip.MustParseAddrPort(listener.Addr().String()), self)
	q.Deadline = time.Now().Add(time.Hour)
	a.asker.Ask(q)
	is.Equal(a.next(t).(dispatcher.OwnerLost).Job, job)
}
