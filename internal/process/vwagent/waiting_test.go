package vwagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Guards against a task that waits under an over-committed credit and starts although its permission has ended
// meanwhile, or that starts after a fence reply that does not list it.
func TestWaitingStart(t *testing.T) {
	cases := map[string]struct {
		act    func(t *testing.T, f *fixture, e1, e2 *fakeEntry, id vwid.SubmissionID)
		starts int
		// verdict is that of the waiting task's result; nil if none is sent.
		verdict *vwverdict.Verdict
	}{
		"slot becomes free": {func(*testing.T, *fixture, *fakeEntry, *fakeEntry, vwid.SubmissionID) {}, 9, new(vwverdict.Ran)},
		"data centre is out": {func(t *testing.T, _ *fixture, e1, _ *fakeEntry, _ vwid.SubmissionID) {
			e1.setOut(t, true)
		}, 8, new(vwverdict.NotRun)},
		"backend server leaves": {func(t *testing.T, f *fixture, _, _ *fakeEntry, _ vwid.SubmissionID) {
			f.stopAnnouncing(t)
			require.NoError(t, f.agent.Leave(t.Context()))
		}, 8, new(vwverdict.NotRun)},
		"submission is cancelled": {func(t *testing.T, _ *fixture, e1, _ *fakeEntry, id vwid.SubmissionID) {
			e1.send(t, &vwmessage.Cancel{SubmissionID: id, Epoch: 1})
		}, 8, new(vwverdict.NotRun)},
		"submission is taken over": {func(t *testing.T, _ *fixture, _, e2 *fakeEntry, id vwid.SubmissionID) {
			require.Len(t, e2.fence(t, id, 2).Started, 8)
		}, 8, nil},
		"owner fences at its own epoch": {func(t *testing.T, _ *fixture, e1, _ *fakeEntry, id vwid.SubmissionID) {
			require.Len(t, e1.fence(t, id, 1).Started, 8)
		}, 8, nil},
		"link is replaced": {func(_ *testing.T, f *fixture, _, _ *fakeEntry, _ vwid.SubmissionID) {
			f.network.SilenceOpen("agent", "e1")
		}, 8, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			overCommit := func(options *vwagent.Options) { options.Settings.OverCommit, options.Settings.MaxEntries = 1, 2 }
			withOptions(t, overCommit, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
				f.backend.set(func() { f.backend.runTime = 4 * time.Second })
				e1.send(t, &vwmessage.Demand{Service: "pedidos", Teams: []vwmessage.TeamDemand{{Team: "t", Waiting: 100}}})
				advance(time.Second)
				require.Equal(t, 9, e1.heldCredits())
				id := vwid.MakeSubmissionID()
				e1.start(t, id, 1, "1", "2", "3", "4", "5", "6", "7", "8", "waiting")
				advance(100 * time.Millisecond)
				require.Len(t, f.backend.started(), 8)
				c.act(t, f, e1, e2, id)
				advance(10 * time.Second)
				require.Len(t, f.backend.started(), c.starts)
				require.Equal(t, 8, f.backend.maxActive)
				result := e1.result(t, id, "waiting")
				if c.verdict == nil {
					require.Nil(t, result)
					return
				}
				require.Equal(t, *c.verdict, result.Verdict)
			})
		})
	}
}

// Guards against an entry that waits for ever for results that do not fit in one message after its fence.
func TestFenceWithLargeResults(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.answer = make([]byte, 5<<20) })
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "a", "b", "c", "d")
		advance(time.Second)
		reply := e2.fence(t, id, 2)
		advance(time.Second)
		require.Len(t, reply.Started, 4)
		inside := 0
		for _, started := range reply.Started {
			result := started.Result
			if result != nil {
				inside++
			} else {
				result = e2.result(t, id, started.TaskID)
			}
			require.Len(t, result.Payload, 5<<20)
			require.Equal(t, vwid.Epoch(2), result.Epoch)
		}
		require.Equal(t, 1, inside)
	})
}

// Guards against an entry that loses its link before its tasks have ended, or gets more credits, once it is no
// longer chosen.
func TestUnchosenEntryIsDrained(t *testing.T) {
	one := func(options *vwagent.Options) {
		options.Settings.MaxEntries = 1
		options.Settings.Entries = []string{"e1"}
	}
	withOptions(t, one, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.runTime = 2 * time.Second })
		require.Equal(t, 8, e1.heldCredits())
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		e1.set(func() {
			e1.lease.Entries = []vwmessage.EntryAddress{{Incarnation: e2.incarnation, Process: "e2", DataCentre: "a", Address: "e2"}}
		})
		advance(time.Second)
		require.Equal(t, 1, e1.leavingMessages)
		require.Equal(t, 7, e2.heldCredits())
		advance(2 * time.Second)
		require.Equal(t, vwverdict.Ran, e1.result(t, id, "t").Verdict)
		require.True(t, e1.session(t, 0).Ended())
		require.Zero(t, e1.newestSession())
		require.Equal(t, 8, e2.heldCredits())
	})
}
