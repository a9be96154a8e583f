package vwplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

// The first message of a link may be handled after that of a newer link to the same agent, for example if a packet was lost. It
// does not name the tasks that were sent over the newer one, which would start again elsewhere while they run.
func TestFirstMessageOfAnOlderLinkRequeuesNothing(t *testing.T) {
	link := func(number uint64) func(*Worker, *vwmessage.Resume) {
		return func(description *Worker, _ *vwmessage.Resume) { description.Link = number }
	}
	agent := func(description *Worker, _ *vwmessage.Resume) { description.Process = "agent" }
	cases := map[string]struct {
		// older is the incarnation of the agent that has opened the older link.
		older string
		// ended tells whether the newer link has ended meanwhile.
		ended bool
	}{
		"newer link is open":  {"w1", false},
		"newer link has gone": {"w1", true},
		"agent has restarted": {"w0", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := makeFixture(t)
			f.open(at(0), "w2", 3)
			f.open(at(0), "w1", 3, agent, link(2))
			f.submit(at(0), "j1", 6, func(j *Job) { j.Estimate = 5 * time.Second })
			require.Len(t, f.dispatch(at(0)), 6)
			if c.ended {
				f.queue.LinkDown(at(time.Millisecond), "w1")
			}
			f.open(at(2*time.Millisecond), c.older, 9, agent, link(1))
			require.Empty(t, f.dispatch(at(3*time.Millisecond)))
			require.Empty(t, f.queue.TakeRequeues())
			f.open(at(4*time.Millisecond), "w1", 3, agent, link(3), func(_ *Worker, resume *vwmessage.Resume) {
				for _, send := range f.sent {
					for _, task := range send.Run.Tasks {
						resume.Held = append(resume.Held, vwmessage.RunRef{JobID: "j1", Index: task.Index, Attempt: task.Attempt})
					}
				}
			})
			require.Empty(t, f.queue.TakeRequeues())
			require.Equal(t, 2, f.queue.UsableWorkers(), "a link that is newer than all others must be used")
		})
	}
}
