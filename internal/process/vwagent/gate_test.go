package vwagent_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// blindLease is a planted fault: it is always fresh and has nothing out.
type blindLease struct{ vwagent.Lease }

func (blindLease) Rules(time.Time) (*vwrule.Rules, bool) {
	return vwrule.Empty(), true
}

func makeBlindLease() vwagent.Lease {
	return blindLease{vwagent.MakeConfigLease()}
}

// startsAfter floods the agent from both entries, ends its permission to start, and returns how many
// tasks started later than after from then on.
func startsAfter(t *testing.T, f *fixture, e1, e2 *fakeEntry, after time.Duration, end func()) int {
	group := vwgroup.Make(t.Context())
	group.Run(e1.flood)
	group.Run(e2.flood)
	pass(time.Second)
	require.Greater(t, len(f.backend.started()), 50, "the flood does not reach the backend server")
	end()
	limit := time.Now().Add(after)
	pass(5 * time.Second)
	require.NoError(t, group.Stop())
	late := 0
	for _, begun := range f.backend.started() {
		if begun.at.After(limit) {
			late++
		}
	}
	return late
}

// Nothing may start once the permission to start has ended. The cases with a planted fault show
// that the check can fail.
func TestNothingStartsLate(t *testing.T) {
	loseLease := func(_ *testing.T, _ *fixture, entries ...*fakeEntry) {
		for _, e := range entries {
			e.set(func() { e.leasing = false })
		}
	}
	takeOut := func(t *testing.T, _ *fixture, entries ...*fakeEntry) {
		for _, e := range entries {
			e.setOut(t, true)
		}
	}
	isolate := func(_ *testing.T, f *fixture, _ ...*fakeEntry) { f.network.Isolate("agent", true) }
	cases := map[string]struct {
		end   func(t *testing.T, f *fixture, entries ...*fakeEntry)
		after time.Duration
		fault func() vwagent.Lease
	}{
		"lease is lost":          {end: loseLease, after: 2 * time.Second},
		"lease is lost, planted": {end: loseLease, after: 2 * time.Second, fault: makeBlindLease},
		// The announcement, the request and the reply take 1 ms each.
		"data centre is out":          {end: takeOut, after: 4 * time.Millisecond},
		"data centre is out, planted": {end: takeOut, after: 4 * time.Millisecond, fault: makeBlindLease},
		"agent is isolated":           {end: isolate, after: 2 * time.Second},
		"backend server leaves": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) {
			f.silence(t)
			require.NoError(t, f.agent.Leave(t.Context()))
		}},
		"backend server leaves during an announcement": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) {
			f.silence(t)
			require.NoError(t, f.agent.Leave(t.Context()))
			require.NoError(t, f.agent.Announce(t.Context(), announcement()))
		}},
		"backend server is silent": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) { f.silence(t) }, after: 3100 * time.Millisecond},
		"agent stops": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			require.Error(t, f.agent.Stop(ctx))
		}, after: time.Millisecond},
		"registration has expired": {end: func(_ *testing.T, f *fixture, entries ...*fakeEntry) {
			for _, e := range entries {
				e.set(func() { e.lease.Expired, e.deaf = []vwid.Incarnation{f.hellos[0].Incarnation}, true })
			}
		}, after: 510 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			plant := func(options *vwagent.Options) {
				if c.fault != nil {
					options.MakeLease = c.fault
				}
			}
			withOptions(t, plant, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
				late := startsAfter(t, f, e1, e2, c.after, func() { c.end(t, f, e1, e2) })
				if c.fault != nil {
					require.Positive(t, late, "the check does not see the planted fault")
					return
				}
				require.Zero(t, late)
			})
		})
	}
}

// A data centre that comes back must get work again, under a version that never falls.
func TestDataCentreReturns(t *testing.T) {
	withAgent(t, func(t *testing.T, _ *fixture, e1, e2 *fakeEntry) {
		e1.setOut(t, true)
		pass(100 * time.Millisecond)
		require.Zero(t, e1.held()+e2.held(), "credits are recalled")
		// e2 still relays the older version, which must not bring the data centre back.
		pass(2 * time.Second)
		require.Zero(t, e1.held()+e2.held())
		e1.setOut(t, false)
		pass(time.Second)
		require.Equal(t, 8, e1.held()+e2.held())
	})
}

// A lease must count from the moment of the request: the same grant in a reply that took longer than it
// lasts permits nothing.
func TestSlowLeaseReply(t *testing.T) {
	cases := map[string]struct {
		delay  time.Duration
		starts bool
	}{"fast reply": {time.Millisecond, true}, "slow reply": {400 * time.Millisecond, false}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withAgent(t, func(t *testing.T, f *fixture, e1, _ *fakeEntry) {
				f.network.Isolate("e2", true)
				f.network.SetFault("e1", "agent", vwlinktest.Fault{Delay: c.delay})
				e1.set(func() { e1.lease.RemainingMilliseconds = 300 })
				pass(3 * time.Second)
				begun := len(f.backend.started())
				for range 40 {
					e1.start(t, vwid.MakeSubmissionID(), 1, "t")
					pass(50 * time.Millisecond)
				}
				pass(time.Second)
				require.Equal(t, c.starts, len(f.backend.started()) > begun)
			})
		})
	}
}

// A dead backend server must cost the tasks at it and no more: credits end at the first refused
// dial, and begin again with the next announcement.
func TestBackendDeath(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.silence(t)
		f.backend.set(func() { f.backend.dead = true })
		for i := range 100 {
			if e1.held() > 0 {
				e1.start(t, vwid.MakeSubmissionID(), 1, vwid.TaskID(rune('a'+i)))
			}
			pass(10 * time.Millisecond)
		}
		require.Empty(t, f.backend.started())
		require.Zero(t, e1.held()+e2.held())
		require.LessOrEqual(t, int(f.agent.Counters().Started.Load()), 16, "the dead server went on drawing tasks")
		f.backend.set(func() { f.backend.dead = false })
		f.announce(t)
		pass(time.Second)
		require.Equal(t, 8, e1.held()+e2.held())
	})
}
