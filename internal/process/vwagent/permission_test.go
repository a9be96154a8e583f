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

// alwaysFreshLease is an injected fault: a lease that never expires, under which no data centre is out of
// service.
type alwaysFreshLease struct{ vwagent.Lease }

func (alwaysFreshLease) Rules(time.Time) (*vwrule.Rules, bool) {
	return vwrule.Empty(), true
}

func makeAlwaysFreshLease() vwagent.Lease {
	return alwaysFreshLease{vwagent.MakeConfigLease()}
}

// startsAfter floods the agent from both entries, calls end, which ends the permission to start, and returns
// how many tasks started later than the duration after from then on.
func startsAfter(t *testing.T, f *fixture, e1, e2 *fakeEntry, after time.Duration, end func()) int {
	group := vwgroup.Make(t.Context())
	group.Run(e1.flood)
	group.Run(e2.flood)
	advance(time.Second)
	require.Greater(t, len(f.backend.started()), 50, "the flood did not reach the backend server")
	end()
	limit := time.Now().Add(after)
	advance(5 * time.Second)
	require.NoError(t, group.Stop())
	late := 0
	for _, begun := range f.backend.started() {
		if begun.at.After(limit) {
			late++
		}
	}
	return late
}

// Guards against tasks that start after the permission to start has ended. The cases with an injected fault
// show that the check can fail.
func TestNothingStartsLate(t *testing.T) {
	loseLease := func(_ *testing.T, _ *fixture, entries ...*fakeEntry) {
		for _, e := range entries {
			e.set(func() { e.grantsLeases = false })
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
		"lease is lost":                 {end: loseLease, after: 2 * time.Second},
		"lease is lost, injected fault": {end: loseLease, after: 2 * time.Second, fault: makeAlwaysFreshLease},
		// The announcement, the request and the reply take 1 ms each.
		"data centre is out":                 {end: takeOut, after: 4 * time.Millisecond},
		"data centre is out, injected fault": {end: takeOut, after: 4 * time.Millisecond, fault: makeAlwaysFreshLease},
		"agent is isolated":                  {end: isolate, after: 2 * time.Second},
		"backend server leaves": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) {
			f.stopAnnouncing(t)
			require.NoError(t, f.agent.Leave(t.Context()))
		}},
		"backend server leaves during an announcement": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) {
			f.stopAnnouncing(t)
			require.NoError(t, f.agent.Leave(t.Context()))
			require.NoError(t, f.agent.Announce(t.Context(), announcement()))
		}},
		"announcements stop": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) { f.stopAnnouncing(t) }, after: 3100 * time.Millisecond},
		"agent stops": {end: func(t *testing.T, f *fixture, _ ...*fakeEntry) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			require.Error(t, f.agent.Stop(ctx))
		}, after: time.Millisecond},
		"registration has expired": {end: func(_ *testing.T, f *fixture, entries ...*fakeEntry) {
			for _, e := range entries {
				e.set(func() { e.lease.Expired, e.ignoresRegister = []vwid.Incarnation{f.hellos[0].Incarnation}, true })
			}
		}, after: 510 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			injectFault := func(options *vwagent.Options) {
				if c.fault != nil {
					options.MakeLease = c.fault
				}
			}
			withOptions(t, injectFault, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
				late := startsAfter(t, f, e1, e2, c.after, func() { c.end(t, f, e1, e2) })
				if c.fault != nil {
					require.Positive(t, late, "the check does not detect the injected fault")
					return
				}
				require.Zero(t, late)
			})
		})
	}
}

// Guards against a data centre that gets no credits after it is back in service, and against one that gets them
// early because an entry still relays an older version.
func TestDataCentreReturns(t *testing.T) {
	withAgent(t, func(t *testing.T, _ *fixture, e1, e2 *fakeEntry) {
		e1.setOut(t, true)
		advance(100 * time.Millisecond)
		require.Zero(t, e1.heldCredits()+e2.heldCredits(), "credits were not recalled")
		// e2 still relays the older version, which must not put the data centre back in service.
		advance(2 * time.Second)
		require.Zero(t, e1.heldCredits()+e2.heldCredits())
		e1.setOut(t, false)
		advance(time.Second)
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits())
	})
}

// Guards against a lease that counts from the reply instead of the request: a grant whose reply takes longer
// than the grant lasts must permit no start.
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
				advance(3 * time.Second)
				begun := len(f.backend.started())
				for range 40 {
					e1.start(t, vwid.MakeSubmissionID(), 1, "t")
					advance(50 * time.Millisecond)
				}
				advance(time.Second)
				require.Equal(t, c.starts, len(f.backend.started()) > begun)
			})
		})
	}
}

// Guards against a failed backend server that keeps attracting tasks: credits must end at the first refused
// dial and return with the next announcement.
func TestUnreachableBackendServer(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
		f.stopAnnouncing(t)
		f.backend.set(func() { f.backend.unreachable = true })
		for i := range 100 {
			if e1.heldCredits() > 0 {
				e1.start(t, vwid.MakeSubmissionID(), 1, vwid.TaskID(rune('a'+i)))
			}
			advance(10 * time.Millisecond)
		}
		require.Empty(t, f.backend.started())
		require.Zero(t, e1.heldCredits()+e2.heldCredits())
		require.LessOrEqual(t, int(f.agent.Counters().Started.Load()), 16, "the unreachable server kept attracting tasks")
		f.backend.set(func() { f.backend.unreachable = false })
		f.startAnnouncing(t)
		advance(time.Second)
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits())
	})
}
