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

// Guards against a task that starts again when its start is repeated, at any epoch and by any entry, and
// against an answer that says that it has not run.
func TestRepeatedStart(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		e1.start(t, id, 1, "t")
		advance(10 * time.Millisecond)
		e2.start(t, id, 2, "t")
		for range 20 {
			e1.start(t, id, 1, "t")
		}
		advance(time.Second)
		e2.start(t, id, 3, "t")
		advance(time.Second)
		require.Len(t, f.backend.started(), 1)
		require.NotEmpty(t, e2.results)
		for _, result := range append(e1.results, e2.results...) {
			require.Equal(t, vwverdict.Ran, result.Verdict, result.Message)
		}
	})
}

// Guards against starts by the old owner after a takeover, and against results that do not reach the new one.
func TestTakeover(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.runTime = time.Second })
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "a", "b")
		advance(100 * time.Millisecond)
		reply := e2.fence(t, id, 2)
		require.False(t, reply.Refused)
		require.Len(t, reply.Started, 2)
		for i := range 50 {
			e1.start(t, id, 1, vwid.TaskID(rune('c'+i%4)))
			advance(20 * time.Millisecond)
		}
		e2.start(t, id, 2, "c")
		advance(2 * time.Second)
		for _, task := range []vwid.TaskID{"a", "b", "c"} {
			require.Equal(t, vwid.Epoch(2), e2.result(t, id, task).Epoch)
			require.Equal(t, vwverdict.Ran, e2.result(t, id, task).Verdict)
		}
		require.Len(t, f.backend.started(), 3)
		for _, result := range e1.results {
			require.Equal(t, vwverdict.NotRun, result.Verdict)
			require.True(t, result.Fenced)
		}
		require.True(t, e1.fence(t, id, 1).Refused)
		require.Len(t, e2.fence(t, id, 3).Started, 3)
	})
}

// Guards against a half-open link that is not replaced. The fence on the new link must list each start, and no
// task that it does not list may start afterwards.
func TestSilentLinkIsReplaced(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.runTime = 4 * time.Second })
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "a", "b")
		advance(100 * time.Millisecond)
		f.network.SilenceOpen("agent", "e1")
		e1.start(t, id, 1, "lost")
		advance(3 * time.Second)
		require.Equal(t, 1, e1.newestSession(), "the link was not replaced")
		require.Len(t, e1.fence(t, id, 1).Started, 2)
		require.Equal(t, 6, e1.heldCredits()+e2.heldCredits(), "the credits of the replaced link were not granted again")
		advance(3 * time.Second)
		require.NotNil(t, e1.result(t, id, "a"))
		require.NotNil(t, e1.result(t, id, "b"))
		require.Len(t, f.backend.started(), 2)
	})
}

// Guards against starts on an older link after a new one to the same entry is open: the entry has learnt by its
// fence that they have not run.
func TestReplacedLinkIsIgnored(t *testing.T) {
	twoAddresses := func(options *vwagent.Options) { options.Settings.Entries = []string{"e1", "e1-new", "e2"} }
	withOptions(t, twoAddresses, func(t *testing.T, f *fixture, e1, _ *fakeEntry) {
		other := f.addEntryAs("e1-new", e1.incarnation)
		f.backend.set(func() { f.backend.runTime = time.Millisecond })
		id := vwid.MakeSubmissionID()
		old := e1.session(t, 0)
		send := func(task vwid.TaskID) {
			_ = old.Send(t.Context(), &vwmessage.Start{
				SubmissionID: id, Epoch: 1, Service: "pedidos", Tasks: []vwmessage.StartTask{{TaskID: task}},
			})
		}
		for i := 0; other.newestSession() < 0; i++ {
			send(vwid.TaskID(rune('a' + i%26)))
			advance(10 * time.Millisecond)
		}
		send("crossed")
		listed := len(other.fence(t, id, 1).Started)
		require.Len(t, f.backend.started(), listed)
		send("late")
		advance(10 * time.Second)
		require.Len(t, f.backend.started(), listed)
		require.Zero(t, other.newestSession(), "the links to two addresses of one entry replaced each other")
	})
}

// Guards against results that are lost with a failed entry: any entry must get them by a fence.
func TestResultsAfterEntryFailure(t *testing.T) {
	withAgent(t, func(t *testing.T, _ *fixture, e1, e2 *fakeEntry) {
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		advance(50 * time.Millisecond)
		require.NoError(t, e1.endpoint.Close())
		advance(time.Second)
		reply := e2.fence(t, id, 2)
		require.Len(t, reply.Started, 1)
		require.Equal(t, "result of t", string(reply.Started[0].Result.Payload))
		e2.send(t, &vwmessage.Acknowledge{SubmissionID: id, Epoch: 2})
		advance(10 * time.Millisecond)
		require.True(t, e2.fence(t, id, 3).Refused, "an empty list would mean that the task has not run")
	})
}

// Guards against many cancellations, most of unknown submissions, that leave tasks running, allow more starts
// or leak slots.
func TestManyCancellations(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.runTime = time.Hour })
		var ids []vwid.SubmissionID
		for range 4 {
			id := vwid.MakeSubmissionID()
			e1.start(t, id, 1, "t")
			ids = append(ids, id)
		}
		advance(100 * time.Millisecond)
		require.Len(t, f.backend.started(), 4)
		for range 1000 {
			e1.send(t, &vwmessage.Cancel{SubmissionID: vwid.MakeSubmissionID(), Epoch: 1})
		}
		for _, id := range ids {
			e1.send(t, &vwmessage.Cancel{SubmissionID: id, Epoch: 1})
		}
		advance(100 * time.Millisecond)
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits(), "the slots of the aborted tasks were not granted again")
		for _, id := range ids {
			e1.start(t, id, 1, "later")
		}
		advance(100 * time.Millisecond)
		for _, id := range ids {
			require.Equal(t, vwverdict.MayHaveRun, e1.result(t, id, "t").Verdict)
			require.Equal(t, vwverdict.NotRun, e1.result(t, id, "later").Verdict)
		}
		require.Len(t, f.backend.started(), 4)
		require.Equal(t, 4, f.backend.aborted)
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits())
	})
}

// Guards against a result that is sent or kept although its submission was acknowledged before.
func TestLateResult(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, _ *fakeEntry) {
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		advance(10 * time.Millisecond)
		e1.send(t, &vwmessage.Acknowledge{SubmissionID: id, Epoch: 1})
		advance(time.Second)
		require.Empty(t, e1.results)
		require.Equal(t, uint64(1), f.agent.Counters().Late.Load())
		e1.start(t, id, 1, "t")
		advance(time.Second)
		require.Len(t, f.backend.started(), 1)
	})
}
