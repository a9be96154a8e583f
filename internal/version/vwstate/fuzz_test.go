package vwstate_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// allocatedBytes returns the number of bytes that f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

const submissionID vwid.SubmissionID = "01890a5d-ac96-774b-bcce-b302099a8057"

var commands = []vwstate.Command{
	{At: 1688700000000, Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: "e", Role: vwstate.RoleEntry, Address: "e:1"}}},
	{Accept: &vwstate.Accept{SubmissionID: submissionID, Owner: "e", Service: "s", Digest: []byte{1}}},
	{Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: "f", Role: vwstate.RoleEntry}}},
	{Expire: &vwstate.Expire{Incarnations: []vwid.Incarnation{"e"}}},
	{TakeOver: &vwstate.TakeOver{SubmissionID: submissionID, FromEpoch: 1, Owner: "f"}},
	{ChangeRules: &vwstate.ChangeRules{ChangeID: "c", Text: []byte("x"), By: "Ana"}},
	{Release: &vwstate.Release{SubmissionID: submissionID, Epoch: 2, Owner: "f"}},
	{Finish: &vwstate.Finish{SubmissionID: submissionID, Epoch: 2, Owner: "f", Failed: true}},
}

// A decoded command must encode and decode to itself, or members that apply the same log entry diverge. A header that
// declares more elements than the entry holds must not make Decode allocate for them.
func FuzzDecode(f *testing.F) {
	for _, command := range commands {
		data, err := vwstate.Encode(command)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("\x81\xa6Expire\x81\xacIncarnations\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var command vwstate.Command
		var err error
		require.LessOrEqual(t, allocatedBytes(func() { command, err = vwstate.Decode(data) }), uint64(64<<10+256*len(data)))
		if err != nil {
			return
		}
		first, err := vwstate.Encode(command)
		require.NoError(t, err)
		redecoded, err := vwstate.Decode(first)
		require.NoError(t, err)
		second, err := vwstate.Encode(redecoded)
		require.NoError(t, err)
		require.Equal(t, first, second)
		vwstate.Make().Apply(command)
	})
}

// A restored state must save to the same snapshot, or members that were restored from it diverge.
func FuzzRestore(f *testing.F) {
	state := vwstate.Make()
	for _, command := range commands {
		state.Apply(command)
		data, err := state.Save()
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("\x81\xabSubmissions\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var restored *vwstate.State
		var err error
		// The bound is above that of FuzzDecode, because each element is in the decoded snapshot and in a map.
		require.LessOrEqual(t, allocatedBytes(func() { restored, err = vwstate.Restore(data) }), uint64(64<<10+1024*len(data)))
		if err != nil {
			return
		}
		first, err := restored.Save()
		require.NoError(t, err)
		redecoded, err := vwstate.Restore(first)
		require.NoError(t, err)
		second, err := redecoded.Save()
		require.NoError(t, err)
		require.Equal(t, first, second)
		for _, command := range commands {
			restored.Apply(command)
		}
	})
}
