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

// asking is an asker with what it gave.
type asking struct {
	asker  *greeter.Asker
	events *ring.Ring[dispatcher.Event]
}

func newAsking(t *testing.T) *asking {
	t.Helper()
	a := &asking{events: ring.New[dispatcher.Event](8)}
	a.asker = greeter.NewAsker(greeter.AskerOptions{Events: a.events})
	t.Cleanup(a.asker.Close)
	return a
}

func (a *asking) next(t *testing.T) dispatcher.Event {
	t.Helper()
	select {
	case <-a.events.Ready():
	case <-time.After(patience):
		t.Fatal("no event came")
	}
	events, _ := a.events.TakeUpTo(nil, 1)
	return events[0]
}

func question(address netip.AddrPort, to task.Process) dispatcher.AskOwner {
	deadline := time.Now().Add(patience)
	return dispatcher.AskOwner{
		Claim:    dispatcher.Claim{Job: job, Team: "desk", Owner: to, OwnerAddress: address, Generation: 1, Deadline: deadline},
		Deadline: deadline,
	}
}

func TestOwnerAnswers(t *testing.T) {
	is := is.New(t)
	o, a := newOwner(t), newAsking(t)
	a.asker.Ask(question(o.address, self))
	asked := o.next(t).(dispatcher.AnswerRequested)
	o.waiters.Deliver(dispatcher.Reply{Ticket: asked.Ticket, Known: true, Answer: dispatcher.Answer{
		Outcome: task.Complete, Responses: []task.Response{{Status: 204}},
	}})
	answered := a.next(t).(dispatcher.OwnerAnswered)
	is.Equal(answered.Job, job)
	is.True(answered.Known)
	is.Equal(answered.Answer.Responses[0].Status, 204)
}

func TestRestartedOwnerKnowsNothing(t *testing.T) {
	is := is.New(t)
	o, a := newOwner(t), newAsking(t)
	a.asker.Ask(question(o.address, task.Process{Name: self.Name, Incarnation: 1}))
	is.True(!a.next(t).(dispatcher.OwnerAnswered).Known)
}

func TestDeadOwnerIsLost(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	is.NoErr(listener.Close())
	a := newAsking(t)
	a.asker.Ask(question(address, self))
	is.Equal(a.next(t).(dispatcher.OwnerLost).Job, job)
}

func TestSilentOwnerIsLostBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // It accepts and says nothing.
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	a := newAsking(t)
	q := question(netip.MustParseAddrPort(listener.Addr().String()), self)
	q.Deadline = time.Now().Add(time.Hour)
	a.asker.Ask(q)
	is.Equal(a.next(t).(dispatcher.OwnerLost).Job, job)
}
