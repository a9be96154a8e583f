package vwagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
)

// leaseRequestCount returns the number of lease requests that the entry has received.
func (e *fakeEntry) leaseRequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaseRequests
}

// Guards against losing the link to an entry that only lease replies list when the replies omit an unchanged
// list, and against keeping the link when the list no longer contains the entry.
func TestUnchangedEntriesKeepLinks(t *testing.T) {
	addressOf := func(e *fakeEntry) vwmessage.EntryAddress {
		return vwmessage.EntryAddress{Incarnation: e.incarnation, Process: "entry", DataCentre: "a", Address: e.address}
	}
	onlyFirst := func(o *vwagent.Options) { o.Settings.Entries = []string{"e1"} }
	withOptions(t, onlyFirst, func(t *testing.T, _ *fixture, e1, e2 *fakeEntry) {
		require.Zero(t, e2.leaseRequestCount())
		name := func(entries ...vwmessage.EntryAddress) {
			for _, e := range []*fakeEntry{e1, e2} {
				e.set(func() { e.lease.Entries = entries })
			}
		}
		name(addressOf(e1), addressOf(e2))
		advance(time.Minute)
		before := e2.leaseRequestCount()
		advance(10 * time.Second)
		require.GreaterOrEqual(t, e2.leaseRequestCount()-before, 18)
		name(addressOf(e1))
		advance(10 * time.Second)
		before = e2.leaseRequestCount()
		advance(10 * time.Second)
		require.Equal(t, before, e2.leaseRequestCount())
	})
}
