package vwmessage_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

// A holder must end with the granter's list whatever list it holds, and one whose list is current must not
// be sent it again.
func TestEntryListReachesHolder(t *testing.T) {
	entries := makeEntries(3)
	moved := slices.Clone(entries)
	moved[1].Address = "192.0.2.101:4433"
	members := []string{"192.0.2.1:1", "192.0.2.2:1"}
	granter := vwmessage.MakeEntryList(entries, members)
	cases := map[string]struct {
		held    vwmessage.EntryList
		carried int
	}{
		"nothing held": {vwmessage.EntryList{}, 3},
		"current":      {vwmessage.MakeEntryList(slices.Clone(entries), slices.Clone(members)), 0},
		"entry added":  {vwmessage.MakeEntryList(entries[:2], members), 3},
		"entry gone":   {vwmessage.MakeEntryList(append(makeEntries(1), entries...), members), 3},
		"entry moved":  {vwmessage.MakeEntryList(moved, members), 3},
		"held empty":   {vwmessage.MakeEntryList(nil, members), 3},
		"member gone":  {vwmessage.MakeEntryList(entries, members[:1]), 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var reply vwmessage.LeaseReply
			granter.Write(&vwmessage.LeaseRequest{EntriesDigest: c.held.Digest}, &reply)
			require.Len(t, reply.Entries, c.carried)
			require.Equal(t, granter, c.held.Read(&reply))
		})
	}
}

// A granter that knows no list yet must not make a holder take an old list for a new one, or ask without
// ever getting the list.
func TestUnknownEntryListAsksAgain(t *testing.T) {
	held := vwmessage.MakeEntryList(makeEntries(2), nil)
	var reply vwmessage.LeaseReply
	vwmessage.EntryList{}.Write(&vwmessage.LeaseRequest{EntriesDigest: held.Digest}, &reply)
	held = held.Read(&reply)
	require.Zero(t, held)
	granter := vwmessage.MakeEntryList(makeEntries(2), nil)
	granter.Write(&vwmessage.LeaseRequest{EntriesDigest: held.Digest}, &reply)
	require.Equal(t, granter, held.Read(&reply))
}
