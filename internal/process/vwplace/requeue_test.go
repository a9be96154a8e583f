package vwplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Tasks that are placed again without a report of their end must be reported with the cause. Without that the logs do not show
// why a task has run twice.
func TestRequeuesWithoutAnEndAreReported(t *testing.T) {
	cases := map[string]struct {
		reason RequeueReason
		lose   func(f *fixture)
		tasks  []int
	}{
		"not held": {RequeueNotHeld, func(f *fixture) {
			f.open(at(time.Millisecond), "w1", 3, func(_ *Worker, resume *vwmessage.Resume) {
				resume.Held = []vwmessage.RunRef{{JobID: "j1", Index: 1, Attempt: 1}}
			})
		}, []int{0, 2}},
		"restarted": {RequeueRestarted, func(f *fixture) {
			f.open(at(time.Millisecond), "w2", 3, func(description *Worker, _ *vwmessage.Resume) { description.Process = "side-w1" })
		}, []int{0, 1, 2}},
		"settled": {RequeueSettled, func(f *fixture) {
			f.queue.LinkDown(at(time.Millisecond), "w1")
			f.queue.Tick(at(time.Millisecond + settleTime))
		}, []int{0, 1, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := makeFixture(t)
			f.open(at(0), "w1", 3)
			f.submit(at(0), "j1", 3, func(j *Job) { j.Estimate = 5 * time.Second })
			require.Len(t, f.dispatch(at(0)), 3)
			require.Empty(t, f.queue.TakeRequeues())
			c.lose(f)
			requeues := f.queue.TakeRequeues()
			require.Len(t, requeues, 1)
			require.Equal(t, Requeue{JobID: "j1", Agent: "side-w1", Incarnation: vwid.Incarnation("w1"), Reason: c.reason, Tasks: c.tasks}, requeues[0])
			require.Empty(t, f.queue.TakeRequeues())
		})
	}
}
