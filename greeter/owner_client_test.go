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

// ownerClientFixture is an OwnerClient with the events that it published.
type ownerClientFixture struct {
	client *greeter.OwnerClient
	events *ring.Ring[dispatcher.Event]
}

func newOwnerClientFixture(t *testing.T) *ownerClientFixture {
	t.Helper()
	a := &ownerClientFixture{events: ring.New[dispatcher.Event](8)}
	a.client = greeter.NewOwnerClient(greeter.OwnerClientOptions{Events: a.events})
	t.Cleanup(a.client.Close)
	return a
}

// next returns the next event, and fails the test if none arrives.
func (a *ownerClientFixture) next(t *testing.T) dispatcher.Event {
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
	f, a := newFixture(t), newOwnerClientFixture(t)
	a.client.FetchAnswer(askOwner(f.address, self))
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
	f, a := newFixture(t), newOwnerClientFixture(t)
	a.client.FetchAnswer(askOwner(f.address, task.Process{Name: self.Name, Incarnation: 1}))
	is.True(!a.next(t).(dispatcher.OwnerAnswered).Known)
}

func TestDeadOwnerIsLost(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	is.NoErr(listener.Close())
	a := newOwnerClientFixture(t)
	a.client.FetchAnswer(askOwner(address, self))
	is.Equal(a.next(t).(dispatcher.OwnerLost).Job, job)
}

func TestSilentOwnerIsLostBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // It accepts connections and never sends.
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	a := newOwnerClientFixture(t)
	q := askOwner(netip.MustParseAddrPort(listener.Addr().String()), self)
	q.Deadline = time.Now().Add(time.Hour)
	a.client.FetchAnswer(q)
	is.Equal(a.next(t).(dispatcher.OwnerLost).Job, job)
}
