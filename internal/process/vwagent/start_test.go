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

// A start that is repeated, at any epoch and by any entry, must not start the task again, and its answer must
// not say that the task has not run.
func TestRepeatedStart(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		e1.start(t, id, 1, "t")
		pass(10 * time.Millisecond)
		e2.start(t, id, 2, "t")
		for range 20 {
			e1.start(t, id, 1, "t")
		}
		pass(time.Second)
		e2.start(t, id, 3, "t")
		pass(time.Second)
		require.Len(t, f.backend.started(), 1)
		require.NotEmpty(t, e2.results)
		for _, result := range append(e1.results, e2.results...) {
			require.Equal(t, vwverdict.Ran, result.Verdict, result.Message)
		}
	})
}

// After a takeover the old owner must start nothing more, and the new one must get every result.
func TestTakeover(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.run = time.Second })
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "a", "b")
		pass(100 * time.Millisecond)
		reply := e2.fence(t, id, 2)
		require.False(t, reply.Refused)
		require.Len(t, reply.Started, 2)
		for i := range 50 {
			e1.start(t, id, 1, vwid.TaskID(rune('c'+i%4)))
			pass(20 * time.Millisecond)
		}
		e2.start(t, id, 2, "c")
		pass(2 * time.Second)
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

// A link that falls silent must be replaced. The fence on the new link must list each start, and
// nothing that it does not list may start afterwards.
func TestSilentLinkIsReplaced(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.run = 4 * time.Second })
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "a", "b")
		pass(100 * time.Millisecond)
		f.network.SilenceOpen("agent", "e1")
		e1.start(t, id, 1, "lost")
		pass(3 * time.Second)
		require.Equal(t, 1, e1.newest(), "the link was not replaced")
		require.Len(t, e1.fence(t, id, 1).Started, 2)
		require.Equal(t, 6, e1.held()+e2.held(), "the credits of the silent link were not granted again")
		pass(3 * time.Second)
		require.NotNil(t, e1.result(t, id, "a"))
		require.NotNil(t, e1.result(t, id, "b"))
		require.Len(t, f.backend.started(), 2)
	})
}

// Once a new link to the same entry is open, starts on the older one must not be processed: the
// entry has learnt by its fence that they have not run.
func TestReplacedLinkIsIgnored(t *testing.T) {
	twoAddresses := func(options *vwagent.Options) { options.Settings.Entries = []string{"e1", "e1-new", "e2"} }
	withOptions(t, twoAddresses, func(t *testing.T, f *fixture, e1, _ *fakeEntry) {
		other := f.addEntryAs("e1-new", e1.incarnation)
		f.backend.set(func() { f.backend.run = time.Millisecond })
		id := vwid.MakeSubmissionID()
		old := e1.session(t, 0)
		send := func(task vwid.TaskID) {
			_ = old.Send(t.Context(), &vwmessage.Start{
				SubmissionID: id, Epoch: 1, Service: "pedidos", Tasks: []vwmessage.StartTask{{TaskID: task}},
			})
		}
		for i := 0; other.newest() < 0; i++ {
			send(vwid.TaskID(rune('a' + i%26)))
			pass(10 * time.Millisecond)
		}
		send("crossed")
		listed := len(other.fence(t, id, 1).Started)
		require.Len(t, f.backend.started(), listed)
		send("late")
		pass(10 * time.Second)
		require.Len(t, f.backend.started(), listed)
		require.Zero(t, other.newest(), "the two addresses of one entry replace each other")
	})
}

// An entry that dies must not lose results: any entry gets them by a fence.
func TestResultsOutliveTheEntry(t *testing.T) {
	withAgent(t, func(t *testing.T, _ *fixture, e1, e2 *fakeEntry) {
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		pass(50 * time.Millisecond)
		require.NoError(t, e1.endpoint.Close())
		pass(time.Second)
		reply := e2.fence(t, id, 2)
		require.Len(t, reply.Started, 1)
		require.Equal(t, "result of t", string(reply.Started[0].Result.Payload))
		e2.send(t, &vwmessage.Acknowledge{SubmissionID: id, Epoch: 2})
		pass(10 * time.Millisecond)
		require.True(t, e2.fence(t, id, 3).Refused, "an empty list would say that the task has not run")
	})
}

// A wave of cancellations must abort what runs, start nothing more, and free the slots.
func TestCancellationWave(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.run = time.Hour })
		var ids []vwid.SubmissionID
		for range 4 {
			id := vwid.MakeSubmissionID()
			e1.start(t, id, 1, "t")
			ids = append(ids, id)
		}
		pass(100 * time.Millisecond)
		require.Len(t, f.backend.started(), 4)
		for range 1000 {
			e1.send(t, &vwmessage.Cancel{SubmissionID: vwid.MakeSubmissionID(), Epoch: 1})
		}
		for _, id := range ids {
			e1.send(t, &vwmessage.Cancel{SubmissionID: id, Epoch: 1})
		}
		pass(100 * time.Millisecond)
		require.Equal(t, 8, e1.held()+e2.held(), "the slots of the aborted tasks are not granted again")
		for _, id := range ids {
			e1.start(t, id, 1, "later")
		}
		pass(100 * time.Millisecond)
		for _, id := range ids {
			require.Equal(t, vwverdict.MayHaveRun, e1.result(t, id, "t").Verdict)
			require.Equal(t, vwverdict.NotRun, e1.result(t, id, "later").Verdict)
		}
		require.Len(t, f.backend.started(), 4)
		require.Equal(t, 4, f.backend.cut)
		require.Equal(t, 8, e1.held()+e2.held())
	})
}

// A result that arrives after its acknowledgement must not come back, and must not be kept.
func TestLateResult(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, _ *fakeEntry) {
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		pass(10 * time.Millisecond)
		e1.send(t, &vwmessage.Acknowledge{SubmissionID: id, Epoch: 1})
		pass(time.Second)
		require.Empty(t, e1.results)
		require.Equal(t, uint64(1), f.agent.Counters().Late.Load())
		e1.start(t, id, 1, "t")
		pass(time.Second)
		require.Len(t, f.backend.started(), 1)
	})
}
