package vwagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// A malformed message of one entry must end its link only. Needs below zero used to raise the free capacity, so that other
// entries started more than the worker has room for.
func TestMalformedMessagesEndTheLinkOnly(t *testing.T) {
	negative := vwresource.Amount{CPU: -8000}
	task := []vwmessage.RunTask{{Index: 0, Attempt: 1}}
	cases := map[string]vwmessage.Body{
		"needs below zero":           &vwmessage.Run{JobID: "j", Needs: negative, Tasks: task, EndWithinMilliseconds: 1000},
		"index below zero":           &vwmessage.Run{JobID: "j", Needs: oneCore, Tasks: []vwmessage.RunTask{{Index: -1, Attempt: 1}}, EndWithinMilliseconds: 1000},
		"attempt zero":               &vwmessage.Run{JobID: "j", Needs: oneCore, Tasks: []vwmessage.RunTask{{Index: 0}}, EndWithinMilliseconds: 1000},
		"payload that is not packed": &vwmessage.PackedRun{Run: vwmessage.Run{JobID: "j", Payload: []byte("text"), Needs: oneCore, Tasks: task, EndWithinMilliseconds: 1000}},
		"demand below zero":          &vwmessage.Want{Tasks: 1, Needs: negative, WithinMilliseconds: 100},
		"tasks below zero":           &vwmessage.RankedWant{Want: vwmessage.Want{Tasks: -1, Needs: oneCore}},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, f *runnerFixture) {
				bad, good := f.attach("e1", "e1-1"), f.attach("e2", "e2-1")
				bad.deliver(message)
				require.True(t, bad.link.session.Ended())
				require.Zero(t, f.starts("j", 0))
				good.run("k", 5, 100*time.Millisecond)
				time.Sleep(200 * time.Millisecond)
				started := 0
				for i := range 5 {
					started += f.starts("k", i)
				}
				require.Equal(t, 4, started, "the worker has room for four")
			})
		})
	}
}
