package vwstate_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

const id vwid.SubmissionID = "01890a5d-ac96-774b-bcce-b302099a8057"

var commands = []vwstate.Command{
	{At: 1688700000000, Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: "e", Role: vwstate.RoleEntry, Address: "e:1"}}},
	{Accept: &vwstate.Accept{SubmissionID: id, Owner: "e", Service: "s", Digest: []byte{1}}},
	{Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: "f", Role: vwstate.RoleEntry}}},
	{Expire: &vwstate.Expire{Incarnations: []vwid.Incarnation{"e"}}},
	{TakeOver: &vwstate.TakeOver{SubmissionID: id, FromEpoch: 1, Owner: "f"}},
	{ChangeRules: &vwstate.ChangeRules{ChangeID: "c", Text: []byte("x"), By: "Ana"}},
	{Release: &vwstate.Release{SubmissionID: id, Epoch: 2, Owner: "f"}},
	{Finish: &vwstate.Finish{SubmissionID: id, Epoch: 2, Owner: "f", Failed: true}},
}

// A log entry that one member reads and another cannot, or that one reads differently, would make the
// members of control disagree.
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
		require.LessOrEqual(t, allocated(func() { command, err = vwstate.Decode(data) }), uint64(64<<10+256*len(data)))
		if err != nil {
			return
		}
		first, err := vwstate.Encode(command)
		require.NoError(t, err)
		again, err := vwstate.Decode(first)
		require.NoError(t, err)
		second, err := vwstate.Encode(again)
		require.NoError(t, err)
		require.Equal(t, first, second)
		vwstate.Make().Apply(command)
	})
}

// A snapshot that is restored and saved must be the same one, or members that caught up by it differ.
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
		// Each element is held in the decoded snapshot and in a map.
		require.LessOrEqual(t, allocated(func() { restored, err = vwstate.Restore(data) }), uint64(64<<10+1024*len(data)))
		if err != nil {
			return
		}
		first, err := restored.Save()
		require.NoError(t, err)
		again, err := vwstate.Restore(first)
		require.NoError(t, err)
		second, err := again.Save()
		require.NoError(t, err)
		require.Equal(t, first, second)
		for _, command := range commands {
			restored.Apply(command)
		}
	})
}
