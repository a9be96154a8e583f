package vwagent_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// stop begins a planned stop and returns the time at which it ended.
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

// A planned stop must cut no running task, deliver each result, and not wait longer than needed.
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
				f.backend.set(func() { f.backend.run = 3 * time.Second })
				id := vwid.MakeSubmissionID()
				e1.start(t, id, 1, "a", "b", "c")
				pass(10 * time.Millisecond)
				begun := time.Now()
				stopped, ended := f.stop(t)
				pass(time.Second)
				require.Equal(t, 1, e1.leaving)
				require.Equal(t, 1, e2.leaving)
				e1.start(t, id, 1, "late")
				pass(2500 * time.Millisecond)
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
				require.Zero(t, f.backend.cut)
			})
		})
	}
}

// tolerance covers the ticks of the agent and the delay of the network.
const tolerance = 200 * time.Millisecond

// A backend server that leaves and comes back must get no task in between and work again after.
func TestBackendServerReturns(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.silence(t)
		require.NoError(t, f.agent.Leave(t.Context()))
		pass(time.Second)
		require.Equal(t, 1, e1.leaving)
		require.Zero(t, e1.held()+e2.held())
		registers := len(e1.registers)
		f.announce(t)
		pass(time.Second)
		require.Len(t, e1.registers, registers+1)
		require.Equal(t, 8, e1.held()+e2.held())
		id := vwid.MakeSubmissionID()
		// The entry that registers first gets the idle credits.
		holder := e1
		if e1.held() == 0 {
			holder = e2
		}
		holder.start(t, id, 1, "t")
		pass(time.Second)
		require.Equal(t, vwverdict.Ran, holder.result(t, id, "t").Verdict)
	})
}

// An agent whose registration has expired must finish its tasks under the old incarnation and go
// on under a new one with empty records.
func TestExpiredRegistration(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.backend.set(func() { f.backend.run = 2 * time.Second })
		id := vwid.MakeSubmissionID()
		e1.start(t, id, 1, "t")
		pass(10 * time.Millisecond)
		for _, e := range []*fakeEntry{e1, e2} {
			e.set(func() { e.lease.Expired = []vwid.Incarnation{f.hellos[0].Incarnation} })
		}
		pass(time.Second)
		require.Len(t, f.hellos, 1, "a task still runs under the old incarnation")
		require.Zero(t, e1.held()+e2.held())
		pass(1500 * time.Millisecond)
		require.Equal(t, vwverdict.Ran, e1.result(t, id, "t").Verdict)
		e1.send(t, &vwmessage.Acknowledge{SubmissionID: id, Epoch: 1})
		pass(time.Second)
		require.Len(t, f.hellos, 2)
		require.NotEqual(t, f.hellos[0].Incarnation, f.hellos[1].Incarnation)
		require.Equal(t, f.hellos[1].Incarnation, e1.registers[len(e1.registers)-1].Incarnation)
		require.Equal(t, 8, e1.held()+e2.held())
		next := vwid.MakeSubmissionID()
		e1.start(t, next, 1, "t")
		pass(3 * time.Second)
		require.Equal(t, vwverdict.Ran, e1.result(t, next, "t").Verdict)
	})
}

// A slow registration must not let the lease run out: entries go on to relay it meanwhile.
func TestLeaseOutlivesSlowRegistration(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		for _, e := range []*fakeEntry{e1, e2} {
			e.set(func() { e.deaf = true })
		}
		f.silence(t)
		more := announcement()
		more.Slots = 7
		require.NoError(t, f.agent.Announce(t.Context(), more))
		pass(2500 * time.Millisecond)
		require.Equal(t, 7, e1.held()+e2.held(), "the lease ran out, and all credits were recalled")
	})
}
