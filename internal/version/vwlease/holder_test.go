package vwlease

import (
	"fmt"
	"slices"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	lease    = 2 * time.Second
	interval = 500 * time.Millisecond
)

// start is when tests begin. It carries a monotonic reading as the times of a running process do.
var start = time.Now()

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// textOf returns rules that tell their version by the quota.
func textOf(version vwid.ConfigVersion) []byte {
	return fmt.Appendf(nil, "Quota.All.All = { Slots = %d } # test\n", version)
}

// grantOf returns what a leader with a version answers to a request.
func grantOf(version vwid.ConfigVersion, request Request) Grant {
	grant := Grant{Version: version, Remaining: lease}
	if request.Held < version {
		grant.Text = textOf(version)
	}
	return grant
}

func renew(t *testing.T, h *Holder, request Request, version vwid.ConfigVersion) {
	t.Helper()
	_, err := h.Renew(request, grantOf(version, request))
	require.NoError(t, err)
}

// A process that never had a lease must not start tasks, whatever the time.
func TestFirstLease(t *testing.T) {
	h := Make(lease, interval)
	require.False(t, h.Fresh(at(0)))
	require.Zero(t, h.Version())
	require.True(t, h.Rules().AllowsTeam("any"))
	renew(t, h, h.Request(at(0)), 0)
	require.True(t, h.Fresh(at(1999)))
	require.False(t, h.Fresh(at(2000)))
}

// Best-effort jobs must go on for a minute without control and not longer, and never under rules that nobody granted.
func TestBestEffortOutlastsLease(t *testing.T) {
	h := Make(lease, interval)
	renew(t, h, h.Request(at(0)), 0)
	require.False(t, h.Current().IsRecent(at(1)), "version 0 was never granted")
	renew(t, h, h.Request(at(500)), 1)
	const end = 500 + 2000
	require.False(t, h.Fresh(at(end)))
	require.True(t, h.Current().IsRecent(at(end+59_999)))
	require.False(t, h.Current().IsRecent(at(end+60_000)))
}

// A grant that is longer than the holder's own settings must not delay a change of the rules for longer.
func TestLongGrantIsCut(t *testing.T) {
	h := Make(lease, interval)
	_, err := h.Renew(h.Request(at(0)), Grant{Remaining: time.Hour})
	require.NoError(t, err)
	require.True(t, h.Fresh(at(1999)))
	require.False(t, h.Fresh(at(2000)))
}

// The time that a reply needs must be taken from the lease, not added to it.
func TestLateReplies(t *testing.T) {
	h := Make(lease, interval)
	first := h.Request(at(0))
	renew(t, h, first, 1)
	require.False(t, h.Fresh(at(2000)))

	late := h.Request(at(500))
	renew(t, h, late, 1)
	require.True(t, h.Fresh(at(2400)))
	require.False(t, h.Fresh(at(2500)))

	tooLate := h.Request(at(1000))
	renew(t, h, h.Request(at(3500)), 1)
	renew(t, h, tooLate, 1)
	require.True(t, h.Fresh(at(5400)), "a reply to an older request must not shorten the lease")
	require.False(t, h.Fresh(at(5500)))
}

// Replies may overtake each other when a leader changes. A lower version must not return or renew.
func TestLowerVersionIsIgnored(t *testing.T) {
	h := Make(lease, interval)
	older, newer := h.Request(at(0)), h.Request(at(100))
	renew(t, h, newer, 7)
	renew(t, h, older, 6)
	require.EqualValues(t, 7, h.Version())
	require.Equal(t, 7, h.Rules().Team("any", "any").Quota)

	renew(t, h, h.Request(at(1000)), 6)
	require.EqualValues(t, 7, h.Version())
	require.False(t, h.Fresh(at(2100)))
}

// A reply without text to a request that named a higher version must not be read as empty rules.
func TestReplyToAnotherHolder(t *testing.T) {
	h := Make(lease, interval)
	renew(t, h, h.Request(at(0)), 3)
	_, err := h.Renew(Request{Held: 9, Sent: at(0)}, Grant{Version: 8, Remaining: lease})
	require.Error(t, err)
	require.EqualValues(t, 3, h.Version())
}

// Rules that this build cannot read must stop starts instead of leaving older rules in effect.
func TestUnreadableRules(t *testing.T) {
	h := Make(lease, interval)
	renew(t, h, h.Request(at(0)), 1)
	_, err := h.Renew(h.Request(at(500)), Grant{Version: 2, Remaining: lease, Text: []byte("Future.x = {} # y\n")})
	require.True(t, vwrule.IsErrRules(err))
	require.EqualValues(t, 1, h.Version())
	require.False(t, h.Fresh(at(2000)))
}

// The holder must not keep memory of the caller, which may reuse a receive buffer.
func TestTextIsCopied(t *testing.T) {
	h := Make(lease, interval)
	text := textOf(5)
	_, err := h.Renew(h.Request(at(0)), Grant{Version: 5, Remaining: lease, Text: text})
	require.NoError(t, err)
	text[0] = '!'
	grant, granted := h.Relay(at(0), 0)
	require.True(t, granted)
	require.Equal(t, string(textOf(5)), string(grant.Text))
}

// stepWall returns t with its wall clock moved and its monotonic reading unchanged, as after a step of the
// system clock. It relies on the layout of time.Time with a monotonic reading: the seconds of the wall
// clock are in the bits from 30 of the first word.
func stepWall(t time.Time, seconds int64) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << 30
	return t
}

// A step of the wall clock must neither end nor prolong a lease.
func TestWallClockSteps(t *testing.T) {
	for name, seconds := range map[string]int64{"forward": 3600, "back": -3600} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, time.Duration(seconds)*time.Second, stepWall(start, seconds).Round(0).Sub(start.Round(0)))
			h := Make(lease, interval)
			renew(t, h, h.Request(at(0)), 1)
			require.True(t, h.Fresh(stepWall(at(1999), seconds)))
			require.False(t, h.Fresh(stepWall(at(2000), seconds)))
			require.Equal(t, interval/5, h.Wait(stepWall(at(400), seconds)))
			grant, granted := h.Relay(stepWall(at(1500), seconds), 1)
			require.True(t, granted)
			require.Equal(t, 500*time.Millisecond, grant.Remaining)
		})
	}
}

// An announcement must cause one renewal at once, and a repeated or old one none.
func TestAnnounce(t *testing.T) {
	h := Make(lease, interval)
	require.Zero(t, h.Wait(at(0)))
	renew(t, h, h.Request(at(0)), 2)
	require.False(t, h.Announce(2))
	require.Equal(t, interval, h.Wait(at(0)))
	require.True(t, h.Announce(3))
	require.Zero(t, h.Wait(at(100)))
	request := h.Request(at(100))
	require.False(t, h.Announce(3), "the request under way answers the announcement")
	require.Equal(t, interval, h.Wait(at(100)))
	renew(t, h, request, 3)
	require.Equal(t, 400*time.Millisecond, h.Wait(at(200)))
	require.Zero(t, h.Wait(at(900)))
}

// An entry must never grant more than it has, and nothing once its own lease is gone.
func TestRelay(t *testing.T) {
	entry := Make(lease, interval)
	_, granted := entry.Relay(at(0), 0)
	require.False(t, granted)
	renew(t, entry, entry.Request(at(0)), 4)

	cases := map[string]struct {
		now  time.Time
		held vwid.ConfigVersion
		want Grant
	}{
		"agent with older rules":   {at(500), 3, Grant{Version: 4, Remaining: 1500 * time.Millisecond, Text: textOf(4)}},
		"agent with current rules": {at(500), 4, Grant{Version: 4, Remaining: 1500 * time.Millisecond}},
		"rounds down":              {at(500).Add(time.Microsecond), 4, Grant{Version: 4, Remaining: 1499 * time.Millisecond}},
		"under a millisecond":      {at(1999).Add(time.Microsecond), 4, Grant{}},
		"lease is over":            {at(2500), 3, Grant{}},
		"agent is ahead":           {at(500), 5, Grant{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			grant, granted := entry.Relay(c.now, c.held)
			require.Equal(t, c.want.Remaining > 0, granted)
			require.Equal(t, c.want, grant)
		})
	}
	require.Zero(t, entry.Wait(at(100)), "an agent that is ahead must make the entry renew at once")
}

// An agent whose entry loses its lease must stop with it, however long its replies were under way.
func TestEntryLosesLease(t *testing.T) {
	entry, agent := Make(lease, interval), Make(lease, interval)
	renew(t, entry, entry.Request(at(0)), 1)
	request := agent.Request(at(1700))
	grant, granted := entry.Relay(at(1800), request.Held)
	require.True(t, granted)
	_, err := agent.Renew(request, grant)
	require.NoError(t, err)
	require.True(t, agent.Fresh(at(1850)))
	require.False(t, agent.Fresh(at(1900)))
	require.False(t, entry.Fresh(at(2000)))
	_, granted = entry.Relay(at(2000), agent.Version())
	require.False(t, granted)
}

// message is a request or reply under way in the simulation.
type message struct {
	request Request
	grant   Grant
	replied bool
}

// simulation is one leader, an entry and an agent with messages that are late, reordered or lost.
type simulation struct {
	now          time.Time
	changed      []time.Time
	entry, agent *Holder
	toLeader     []message
	toEntry      []message
	// highest are the versions seen at the entry and the agent.
	highest [2]vwid.ConfigVersion
}

// take removes one message at random.
func take(t *rapid.T, queue *[]message) (message, bool) {
	if len(*queue) == 0 {
		return message{}, false
	}
	i := rapid.IntRange(0, len(*queue)-1).Draw(t, "message")
	m := (*queue)[i]
	*queue = slices.Delete(*queue, i, i+1)
	return m, true
}

// deliver lets one message of a queue arrive: a request at the granter, a reply at the holder.
func (s *simulation) deliver(t *rapid.T, queue *[]message, h *Holder, granter func(Request) (Grant, bool)) {
	m, found := take(t, queue)
	if !found {
		return
	}
	if m.replied {
		_, err := h.Renew(m.request, m.grant)
		require.NoError(t, err)
		return
	}
	grant, granted := granter(m.request)
	if granted {
		*queue = append(*queue, message{request: m.request, grant: grant, replied: true})
	}
}

func (s *simulation) grantAsLeader(request Request) (Grant, bool) {
	return grantOf(vwid.ConfigVersion(len(s.changed)), request), true
}

func (s *simulation) grantAsEntry(request Request) (Grant, bool) {
	return s.entry.Relay(s.now, request.Held)
}

// check requires that a holder with a fresh lease knows every version older than one lease.
func (s *simulation) check(t *rapid.T) {
	for i, h := range []*Holder{s.entry, s.agent} {
		version := h.Version()
		require.GreaterOrEqual(t, version, s.highest[i])
		s.highest[i] = version
		require.Equal(t, int(version), h.Rules().Team("any", "any").Quota)
		if !h.Fresh(s.now) {
			continue
		}
		for known, changed := range s.changed {
			if s.now.Sub(changed) >= lease {
				require.Greater(t, int(version), known)
			}
		}
	}
}

// A start under rules older than one lease duration would break the bound on taking a data centre out.
func TestFreshLeaseIsNeverOutdated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, entry: Make(lease, interval), agent: Make(lease, interval)}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"change":        func(*rapid.T) { s.changed = append(s.changed, s.now) },
			"ask leader":    func(*rapid.T) { s.toLeader = append(s.toLeader, message{request: s.entry.Request(s.now)}) },
			"ask entry":     func(*rapid.T) { s.toEntry = append(s.toEntry, message{request: s.agent.Request(s.now)}) },
			"at leader":     func(t *rapid.T) { s.deliver(t, &s.toLeader, s.entry, s.grantAsLeader) },
			"at entry":      func(t *rapid.T) { s.deliver(t, &s.toEntry, s.agent, s.grantAsEntry) },
			"lose":          func(t *rapid.T) { take(t, &s.toLeader) },
			"lose at entry": func(t *rapid.T) { take(t, &s.toEntry) },
			"":              s.check,
		})
	})
}
