package vwagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
)

// requested returns the number of lease requests that the entry has got.
func (e *fakeEntry) requested() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// An agent must keep its link to an entry that only lease replies name while they leave out an unchanged
// list, and must give it up once the list no longer has it.
func TestUnchangedEntriesKeepLinks(t *testing.T) {
	addressOf := func(e *fakeEntry) vwmessage.EntryAddress {
		return vwmessage.EntryAddress{Incarnation: e.incarnation, Process: "entry", DataCentre: "a", Address: e.address}
	}
	onlyFirst := func(o *vwagent.Options) { o.Settings.Entries = []string{"e1"} }
	withOptions(t, onlyFirst, func(t *testing.T, _ *fixture, e1, e2 *fakeEntry) {
		require.Zero(t, e2.requested())
		name := func(entries ...vwmessage.EntryAddress) {
			for _, e := range []*fakeEntry{e1, e2} {
				e.set(func() { e.lease.Entries = entries })
			}
		}
		name(addressOf(e1), addressOf(e2))
		pass(time.Minute)
		before := e2.requested()
		pass(10 * time.Second)
		require.GreaterOrEqual(t, e2.requested()-before, 18)
		name(addressOf(e1))
		pass(10 * time.Second)
		before = e2.requested()
		pass(10 * time.Second)
		require.Equal(t, before, e2.requested())
	})
}
