package vwentry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// A peer closes a link over which it gets a kind of message that it does not know, so during an upgrade agents of the version
// before must get the messages that they know.
func TestMessagesSuitTheRevisionOfThePeer(t *testing.T) {
	long, short := bytes.Repeat([]byte("reference; "), 100), []byte("short")
	cases := map[string]struct {
		revision int
		payload  []byte
		kind     vwmessage.Kind
	}{
		"long payload, current peer":  {vwmessage.CurrentRevision, long, vwmessage.KindPackedRun},
		"short payload, current peer": {vwmessage.CurrentRevision, short, vwmessage.KindRun},
		"long payload, older peer":    {0, long, vwmessage.KindRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := &bestEffortJobs{calls: map[vwid.SubmissionID]*pendingCalls{"j": {job: vwplace.Job{ID: "j"}}}}
			run := &vwmessage.Run{JobID: "j", Payload: c.payload, Tasks: []vwmessage.RunTask{{Index: 1, Attempt: 2}}}
			for range 2 {
				message := b.runMessage(c.revision, run)
				require.Equal(t, c.kind, message.MessageKind())
				if packed, ok := message.(*vwmessage.PackedRun); ok {
					payload, err := vwmessage.UnpackPayload(packed.Run.Payload)
					require.NoError(t, err)
					require.Equal(t, c.payload, payload)
					require.Equal(t, run.Tasks, packed.Run.Tasks)
				}
			}
			require.Equal(t, c.payload, run.Payload)
		})
	}
	want := &vwmessage.RankedWant{Want: vwmessage.Want{Tasks: 3}, Level: 2}
	require.Equal(t, vwmessage.Body(want), wantMessage(vwmessage.CurrentRevision, want))
	require.Equal(t, vwmessage.Body(&want.Want), wantMessage(0, want))
}
