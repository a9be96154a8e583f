package vwagent_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// stop begins a planned stop. It returns a group to wait for and the time at which the stop ended.
func (f *fixture) stop(t *testing.T) (*vwgroup.Group, *time.Time) {
	var ended time.Time
	group := vwgroup.Make(t.Context())
	group.Go(func(ctx context.Context) error {
		err := f.agent.Stop(ctx)
		ended = time.Now()
		return err
	})
	return group, &ended
}

// Guards against a planned stop that aborts running tasks, loses results or waits longer than needed.
func TestPlannedStop(t *testing.T) {
	cases := map[string]struct {
		acknowledge bool
		want        time.Duration
	}{
		"acknowledged":     {true, 4 * time.Second},
		"not acknowledged": {false, 8 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
				f.backend.set(func() { f.backend.runTime = 3 * time.Second })
				id := vwid.MakeSubmissionID()
				e1.start(t, id, 1, "a", "b", "c")
				advance(10 * time.Millisecond)
				begun := time.Now()
				stopped, ended := f.stop(t)
				advance(time.Second)
				require.Equal(t, 1, e1.leavingMessages)
				require.Equal(t, 1, e2.leavingMessages)
				e1.start(t, id, 1, "late")
				advance(2500 * time.Millisecond)
				if c.acknowledge {
					e1.send(t, &vwmessage.Acknowledge{SubmissionID: id, Epoch: 1})
				}
				require.NoError(t, stopped.Wait())
				require.NoError(t, <-f.ended)
				require.Less(t, ended.Sub(begun), c.want+tolerance)
				for _, task := range []vwid.TaskID{"a", "b", "c"} {
					require.Equal(t, vwverdict.Ran, e1.result(t, id, task).Verdict)
				}
				require.Equal(t, vwverdict.NotRun, e1.result(t, id, "late").Verdict)
				require.Zero(t, f.backend.aborted)
			})
		})
	}
}

// A stop asked the entries once more after they had confirmed, cancelled that at once, and warned of each entry.
func TestStopWarnsOfNoEntryThatHasConfirmed(t *testing.T) {
	var log bytes.Buffer
	withOptions(t, func(options *vwagent.Options) { options.Logger = slog.New(slog.NewTextHandler(&log, nil)) }, func(t *testing.T, f *fixture, _, _ *fakeEntry) {
		stopped, _ := f.stop(t)
		require.NoError(t, stopped.Wait())
		require.NoError(t, <-f.ended)
	})
	require.NotContains(t, log.String(), "has not confirmed")
}

// Guards against a task whose outcome is unknown to its entry because the agent had stopped before the start, which was under
// way, had reached it.
func TestStartUnderWayIsAnsweredByStoppingAgent(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		id := vwid.MakeSubmissionID()
		holder := e1
		if e1.heldCredits() == 0 {
			holder = e2
		}
		holder.start(t, id, 1, "t")
		stopped, _ := f.stop(t)
		advance(time.Second)
		result := holder.result(t, id, "t")
		require.NotNil(t, result)
		require.Equal(t, vwverdict.NotRun, result.Verdict)
		require.NoError(t, stopped.Wait())
		require.NoError(t, <-f.ended)
	})
}

// tolerance covers the ticks of the agent and the delay of the network.
const tolerance = 200 * time.Millisecond

// Guards against tasks for a backend server between its leave and its return, and against one that gets none
// after its return.
func TestBackendServerReturns(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.stopAnnouncing(t)
		require.NoError(t, f.agent.Leave(t.Context()))
		advance(time.Second)
		require.Equal(t, 1, e1.leavingMessages)
		require.Zero(t, e1.heldCredits()+e2.heldCredits())
		registers := len(e1.registers)
		f.startAnnouncing(t)
		advance(time.Second)
		require.Len(t, e1.registers, registers+1)
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits())
		id := vwid.MakeSubmissionID()
		// The entry that registers first gets the idle credits.
		holder := e1
		if e1.heldCredits() == 0 {
			holder = e2
		}
		holder.start(t, id, 1, "t")
		advance(time.Second)
		require.Equal(t, vwverdict.Ran, holder.result(t, id, "t").Verdict)
	})
}

// Guards against an agent that stays useless after its registration has expired: it must finish its tasks under
// the old incarnation and continue under a new one with empty records.
func TestExpiredRegistration(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.runTime = 2 * time.Second })
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		advance(10 * time.Millisecond)
		for _, e := range []*fakeEntry{e1, e2} {
			e.set(func() { e.lease.Expired = []vwid.Incarnation{f.hellos[0].Incarnation} })
		}
		advance(time.Second)
		require.Len(t, f.hellos, 1, "a new incarnation began while a task still ran under the old one")
		require.Zero(t, e1.heldCredits()+e2.heldCredits())
		advance(1500 * time.Millisecond)
		require.Equal(t, vwverdict.Ran, e1.result(t, id, "t").Verdict)
		e1.send(t, &vwmessage.Acknowledge{SubmissionID: id, Epoch: 1})
		advance(time.Second)
		require.Len(t, f.hellos, 2)
		require.NotEqual(t, f.hellos[0].Incarnation, f.hellos[1].Incarnation)
		require.Equal(t, f.hellos[1].Incarnation, e1.registers[len(e1.registers)-1].Incarnation)
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits())
		next := vwid.MakeSubmissionID()
		e1.start(t, next, 1, "t")
		advance(3 * time.Second)
		require.Equal(t, vwverdict.Ran, e1.result(t, next, "t").Verdict)
	})
}

// Guards against a slow registration that lets the lease expire: entries must continue to relay renewals
// meanwhile.
func TestLeaseDuringSlowRegistration(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		for _, e := range []*fakeEntry{e1, e2} {
			e.set(func() { e.ignoresRegister = true })
		}
		f.stopAnnouncing(t)
		more := announcement()
		more.Slots = 7
		require.NoError(t, f.agent.Announce(t.Context(), more))
		advance(2500 * time.Millisecond)
		require.Equal(t, 7, e1.heldCredits()+e2.heldCredits(), "the lease expired, and all credits were recalled")
	})
}
