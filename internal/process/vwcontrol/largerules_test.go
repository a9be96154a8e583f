package vwcontrol

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// applyWithin is the shortest time in which a deployment wants a change in force, less what an entry needs to parse it.
	applyWithin = time.Second
	// manyRoutes makes a text of about a megabyte.
	manyRoutes = 4245
	megabit    = 1e6 / 8
)

// platformTiming is the timing of links on the users' platform.
var platformTiming = vwlink.Timing{Ping: 160 * time.Millisecond, Silence: 500 * time.Millisecond}

func rulesWithRoutes(routes, edition int) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "Edition.platform = { Number = %d } # test\nService.s = {} # test\n", edition)
	for route := range routes {
		// The numbers are spread, since the names of real routes compress badly.
		spread := uint32(route+1) * 2654435761
		fmt.Fprintf(&text, "Route.r%07d = { Host = \"host%d.example\", Prefix = \"/p%d/\", Service = \"s\", Timeout = \"1.5s\", Level = %d, Slowdown = 1.600000, Attempts = 2, Idempotent = false, Target = \"60ms\" } # platform operator\n",
			route, spread%90000, spread, 1+spread%9)
	}
	return text.Bytes()
}

// slowLinkFixture is a control cluster with an entry whose link to it is slow.
type slowLinkFixture struct {
	t       *testing.T
	network *vwlinktest.Network
	group   *vwgroup.Group
	members []*Member
	initial []string
	pools   []*vwlink.Pool
	entries []*vwentry.Entry
}

func makeSlowLinkFixture(t *testing.T, timing vwlink.Timing) *slowLinkFixture {
	f := &slowLinkFixture{t: t, network: vwlinktest.MakeNetwork(time.Millisecond), group: vwgroup.Make(context.Background()), initial: []string{"a0", "a1", "a2"}}
	f.network.SetTiming(timing)
	for at := range f.initial {
		f.members = append(f.members, serveLinks(t, f.group, f.network, at, f.initial))
	}
	return f
}

func (f *slowLinkFixture) startEntry(name string, rate int) *vwentry.Entry {
	f.network.SetRate(name, rate)
	end := f.network.MakeEndpoint(name, hello(name))
	pool := vwlink.MakePool(f.group.Context(), end, vwlink.HandlerFunc(func(*vwlink.Session, vwmessage.Body, vwlink.Reply) {}))
	settings := vwentry.DefaultSettings()
	settings.Process = vwid.Process(name)
	entry := vwentry.Make(settings, vwid.Incarnation(name), MakeClient(Retry(MakeLinkCaller(pool, f.initial))), end, slog.New(slog.DiscardHandler))
	entry.Start()
	f.pools, f.entries = append(f.pools, pool), append(f.entries, entry)
	return entry
}

// change proposes rules and returns the version.
func (f *slowLinkFixture) change(id string, base vwid.ConfigVersion, text []byte) vwid.ConfigVersion {
	outcome, err := f.members[0].Client().Propose(f.t.Context(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: vwid.ChangeID(id), Base: base, Text: text, Source: text}})
	require.NoError(f.t, err)
	require.Equal(f.t, vwstate.RefusalNone, outcome.Refusal)
	return outcome.Version
}

// requireInForce requires that an entry puts a version in force within the given time.
func (f *slowLinkFixture) requireInForce(entry *vwentry.Entry, version vwid.ConfigVersion, within time.Duration) {
	f.t.Helper()
	start := time.Now()
	for entry.Version(f.t.Context()) < version {
		require.Less(f.t, time.Since(start), within, "version %d is not in force; held: %d", version, entry.Version(f.t.Context()))
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *slowLinkFixture) stop() {
	for _, entry := range f.entries {
		entry.Kill()
	}
	for _, m := range f.members {
		require.NoError(f.t, m.Kill())
	}
	for _, pool := range f.pools {
		require.NoError(f.t, pool.Close())
	}
	_ = f.group.Stop()
	_ = f.network.Close()
}

// Guards against rules of thousands of routes that never come into force behind a slow link: a renewal that carried the text
// was given up before the text had arrived, and was repeated with the whole text.
func TestLargeRulesComeIntoForceOverSlowLinks(t *testing.T) {
	cases := map[string]struct {
		rate   int
		within time.Duration
		// disturb runs after the entry has its lease and before the change.
		disturb func(f *slowLinkFixture)
	}{
		"25 Mbit/s": {rate: 25 * megabit, within: applyWithin},
		// The text takes 0.7 s at this rate.
		"2 Mbit/s": {rate: 2 * megabit, within: 2 * applyWithin},
		"25 Mbit/s, one member silent": {rate: 25 * megabit, within: applyWithin, disturb: func(f *slowLinkFixture) {
			f.network.Isolate("a2", true)
		}},
		"25 Mbit/s, each member silent to the entry in turn": {rate: 25 * megabit, within: 2 * applyWithin, disturb: func(f *slowLinkFixture) {
			f.group.Run(func(ctx context.Context) {
				for turn := 0; ctx.Err() == nil; turn++ {
					from := f.initial[turn%len(f.initial)]
					f.network.SetFault(from, "e", vwlinktest.Fault{Silent: true})
					if vwgroup.Sleep(ctx, 150*time.Millisecond) != nil {
						return
					}
					f.network.SetFault(from, "e", vwlinktest.Fault{Delay: time.Millisecond})
				}
			})
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := makeSlowLinkFixture(t, platformTiming)
				defer f.stop()
				entry := f.startEntry("e", c.rate)
				version := f.change("small", 0, rulesWithRoutes(45, 1))
				f.requireInForce(entry, version, 10*time.Second)
				if c.disturb != nil {
					c.disturb(f)
				}
				version = f.change("large", version, rulesWithRoutes(manyRoutes, 2))
				f.requireInForce(entry, version, c.within)
				require.NoError(t, entry.Ready(t.Context()), "the lease must be fresh with the new rules")
			})
		})
	}
}

// Guards against an entry that starts while large rules are in force and never gets its first lease.
func TestEntryStartsWhileLargeRulesAreInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := makeSlowLinkFixture(t, platformTiming)
		defer f.stop()
		first := f.startEntry("e", 25*megabit)
		version := f.change("large", 0, rulesWithRoutes(manyRoutes, 1))
		f.requireInForce(first, version, 10*time.Second)
		second := f.startEntry("f", 25*megabit)
		f.requireInForce(second, version, applyWithin)
	})
}

// Guards against versions that follow each other faster than a whole text crosses the link: none would ever come into force.
// What a version shares with the one before must not cross the link again.
func TestChangesOfLargeRulesFasterThanTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := makeSlowLinkFixture(t, platformTiming)
		defer f.stop()
		entry := f.startEntry("e", 2*megabit)
		version := f.change("small", 0, rulesWithRoutes(45, 1))
		f.requireInForce(entry, version, 10*time.Second)
		for round := range 40 {
			version = f.change(fmt.Sprint(round), version, rulesWithRoutes(manyRoutes, 2+round))
			time.Sleep(200 * time.Millisecond)
			require.LessOrEqual(t, version-entry.Version(t.Context()), vwid.ConfigVersion(2*applyWithin/(200*time.Millisecond)), "round %d", round)
		}
		f.requireInForce(entry, version, applyWithin)
	})
}

// Guards against an operator at an entry who can never read large rules, because the attempt at each member is given up
// before the text has crossed the link, and one who waits for a member that is silent.
func TestLargeRulesAreReadOverSlowLinks(t *testing.T) {
	for name, silent := range map[string]bool{"all members answer": false, "the preferred member is silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := makeSlowLinkFixture(t, vwlink.DefaultTiming)
				defer f.stop()
				text := rulesWithRoutes(manyRoutes, 1)
				f.change("large", 0, text)
				f.network.SetRate("operator", 25*megabit)
				pool := vwlink.MakePool(f.group.Context(), f.network.MakeEndpoint("operator", hello("operator")), vwlink.HandlerFunc(func(*vwlink.Session, vwmessage.Body, vwlink.Reply) {}))
				f.pools = append(f.pools, pool)
				client := MakeClient(Retry(MakeLinkCaller(pool, f.initial)))
				_, err := client.Read(t.Context(), vwstate.Query{Registrations: true})
				require.NoError(t, err)
				f.network.SetFault(f.initial[0], "operator", vwlinktest.Fault{Delay: time.Millisecond, Silent: silent})
				ctx, cancel := context.WithTimeout(t.Context(), vwlink.DefaultTiming.Silence+2*time.Second)
				defer cancel()
				view, err := client.Read(ctx, vwstate.Query{Config: true})
				require.NoError(t, err)
				require.True(t, bytes.Equal(text, view.Config.Text))
			})
		})
	}
}

// Guards against a process of an earlier build that cannot fetch parts and gets rules without a text.
func TestRenewalWithoutFetchCarriesTheText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(t, 3, 1)
		defer c.stop()
		c.startAll()
		client := c.member(c.waitForLeader()).Client()
		_, err := client.Propose(t.Context(), vwstate.Command{Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: "e", Role: vwstate.RoleEntry}}})
		require.NoError(t, err)
		_, err = client.Propose(t.Context(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "1", Text: rulesWithRoutes(1, 1)}})
		require.NoError(t, err)
		reply, err := client.Renew(t.Context(), &vwmessage.LeaseRequest{Incarnation: "e"})
		require.NoError(t, err)
		require.Equal(t, string(rulesWithRoutes(1, 1)), string(reply.Rules))
		require.Empty(t, reply.RulesParts)
	})
}
