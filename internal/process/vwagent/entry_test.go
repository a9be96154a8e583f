package vwagent_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// fakeEntry accepts links of agents, grants leases and records the messages that it receives.
type fakeEntry struct {
	address     string
	incarnation vwid.Incarnation
	endpoint    *vwlinktest.Endpoint

	mu       sync.Mutex
	sessions []*vwlink.Session
	// registered holds the links over which an agent has registered. Credits on others are dropped.
	registered   map[*vwlink.Session]bool
	lease        vwmessage.LeaseReply
	grantsLeases bool
	// ignoresRegister makes the entry leave registrations unanswered.
	ignoresRegister bool
	registers       []vwmessage.Register
	credits         int
	leavingMessages int
	leaseRequests   int
	results         []vwmessage.Result
}

func (f *fixture) addEntry(address string) *fakeEntry {
	return f.addEntryAs(address, vwid.Incarnation(address+"-1"))
}

func (f *fixture) addEntryAs(address string, incarnation vwid.Incarnation) *fakeEntry {
	e := &fakeEntry{address: address, incarnation: incarnation, grantsLeases: true, registered: map[*vwlink.Session]bool{}}
	e.lease = vwmessage.LeaseReply{Version: 1, RemainingMilliseconds: 2000}
	e.endpoint = f.network.MakeEndpoint(address, vwmessage.Hello{
		Cluster: "c", Process: vwid.Process(address), Incarnation: e.incarnation, Role: string(vwstate.RoleEntry), DataCentre: "a",
	})
	f.entries.Run(e.accept)
	return e
}

func (e *fakeEntry) accept(ctx context.Context) {
	group := vwgroup.Make(ctx)
	for {
		conn, err := e.endpoint.Accept(ctx)
		if err != nil {
			_ = group.Stop()
			return
		}
		session := vwlink.MakeSession(conn, e)
		e.mu.Lock()
		e.sessions = append(e.sessions, session)
		e.credits = 0
		e.mu.Unlock()
		group.Run(func(ctx context.Context) { _ = session.Run(ctx) })
	}
}

// HandleMessage implements vwlink.Handler.
func (e *fakeEntry) HandleMessage(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch body := body.(type) {
	case *vwmessage.Register:
		e.registers = append(e.registers, *body)
		if e.ignoresRegister {
			return
		}
		e.registered[session] = true
		outcome := vwstate.Outcome{}
		encoded, err := outcome.MarshalMsg(nil)
		reply(&vwmessage.Outcome{Outcome: encoded}, err)
	case *vwmessage.LeaseRequest:
		e.leaseRequests++
		if e.grantsLeases {
			copied := e.lease
			copied.Entries = nil
			vwmessage.MakeEntryList(e.lease.Entries, nil).Write(body, &copied)
			reply(&copied, nil)
		}
	case *vwmessage.Credit:
		if e.registered[session] {
			e.credits += body.Count
		}
	case *vwmessage.CreditRecall:
		returned := max(0, min(body.Count, e.credits))
		e.credits -= returned
		_ = session.Send(context.Background(), &vwmessage.CreditReturn{Count: returned})
	case *vwmessage.Leaving:
		e.leavingMessages++
		e.credits = 0
	case *vwmessage.Result:
		e.results = append(e.results, *body)
	}
}

// set runs change under the lock of the entry.
func (e *fakeEntry) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// heldCredits returns the credits that the entry holds.
func (e *fakeEntry) heldCredits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.credits
}

// session returns the link with the given index, counted from the first.
func (e *fakeEntry) session(t *testing.T, index int) *vwlink.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Less(t, index, len(e.sessions))
	return e.sessions[index]
}

func (e *fakeEntry) newestSession() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions) - 1
}

func (e *fakeEntry) send(t *testing.T, body vwmessage.Body) {
	require.NoError(t, e.session(t, e.newestSession()).Send(t.Context(), body))
}

func (e *fakeEntry) fence(t *testing.T, submission vwid.SubmissionID, epoch vwid.Epoch) *vwmessage.FenceReply {
	request := &vwmessage.Fence{SubmissionID: submission, Epoch: epoch}
	reply, err := vwlink.Call[*vwmessage.FenceReply](t.Context(), e.session(t, e.newestSession()), request)
	require.NoError(t, err)
	return reply
}

// start sends a start of tasks. It uses credits without checking that the entry holds any.
func (e *fakeEntry) start(t *testing.T, submission vwid.SubmissionID, epoch vwid.Epoch, tasks ...vwid.TaskID) {
	message := &vwmessage.Start{SubmissionID: submission, Epoch: epoch, Service: "pedidos", Team: "t"}
	for _, task := range tasks {
		message.Tasks = append(message.Tasks, vwmessage.StartTask{TaskID: task, Payload: []byte("1")})
	}
	e.set(func() { e.credits -= len(tasks) })
	e.send(t, message)
}

// flood sends starts until ctx ends: one per credit, or one without a credit if there is none. Each is sent
// twice.
func (e *fakeEntry) flood(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		e.mu.Lock()
		session, tasks := e.sessions[len(e.sessions)-1], max(1, e.credits)
		e.credits = 0
		e.mu.Unlock()
		message := &vwmessage.Start{SubmissionID: vwid.MakeSubmissionID(), Epoch: 1, Service: "pedidos"}
		for i := range tasks {
			message.Tasks = append(message.Tasks, vwmessage.StartTask{TaskID: vwid.TaskID(fmt.Sprint(number, "-", i))})
		}
		for range 2 {
			_ = session.Send(ctx, message)
		}
		timer := time.NewTimer(10 * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

// result returns the result of a task that the entry received, or nil. It fails the test if there are two.
func (e *fakeEntry) result(t *testing.T, submission vwid.SubmissionID, task vwid.TaskID) *vwmessage.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found *vwmessage.Result
	for i := range e.results {
		if e.results[i].SubmissionID == submission && e.results[i].TaskID == task {
			require.Nil(t, found, "task %s has two results", task)
			found = &e.results[i]
		}
	}
	return found
}

// setOut announces rules of a higher version with the data centre of the agents out of service or in service.
func (e *fakeEntry) setOut(t *testing.T, out bool) {
	e.mu.Lock()
	e.lease.Version++
	e.lease.Rules = nil
	if out {
		e.lease.Rules = []byte(rulesOut)
	}
	version := e.lease.Version
	e.mu.Unlock()
	// Without a link the next renewal delivers the version.
	_ = e.session(t, e.newestSession()).Send(t.Context(), &vwmessage.ConfigAnnounce{Version: version})
}
