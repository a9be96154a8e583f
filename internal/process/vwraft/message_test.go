package vwraft_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// Guards against a panic on malformed bytes from another process, and against an encoding that changes when it is
// decoded and encoded again.
func FuzzDecodeMessage(f *testing.F) {
	membership := vwraft.Membership{Voters: []vwraft.Voter{voter(0)}, Learners: []vwraft.Voter{voter(1)}}
	for _, m := range []vwraft.Message{
		{Kind: vwraft.MessageVote, From: "m0", To: "m1", Term: 3, Index: 9, LogTerm: 2, Transfer: true},
		{Kind: vwraft.MessageAppend, Entries: []vwraft.Entry{{Index: 1, Term: 1, Data: []byte("x")}}, Round: 4},
		{Kind: vwraft.MessageSnapshot, Snapshot: &vwraft.Snapshot{Index: 5, Membership: membership}, Size: 10},
	} {
		data, err := m.Encode()
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := vwraft.DecodeMessage(data)
		if err != nil {
			return
		}
		encoded, err := m.Encode()
		require.NoError(t, err)
		again, err := vwraft.DecodeMessage(encoded)
		require.NoError(t, err)
		twice, err := again.Encode()
		require.NoError(t, err)
		require.Equal(t, encoded, twice)
	})
}
