package vwagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// detach ends the link, as the entry does it.
func (e *entryLink) detach() {
	e.fixture.agent.do(func(now time.Time) { e.fixture.agent.runner.detach(now, e.link) })
}

// An entry starts the tasks at an agent without a link again once its runs must have ended. It counts from the end of the last
// link that it has opened, so links that it has not opened must not prolong the runs: an entry that is short of processor
// time accepts links and lets them end before it handles their first message.
func TestLinksThatTheEntryHasNotOpenedProlongNoRun(t *testing.T) {
	cases := map[string]struct {
		// lasts is how long each link lasts, and opened tells whether the entry shows that it has opened it.
		lasts  time.Duration
		opened bool
		// running is the number of runs once the entry would start their tasks again.
		running int
	}{
		"short links":        {200 * time.Millisecond, false, 0},
		"silent links":       {runnerTiming.Silence - 10*time.Millisecond, false, 0},
		"one link":           {time.Minute, false, 0},
		"short opened links": {200 * time.Millisecond, true, 1},
		"one opened link":    {time.Minute, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, f *runnerFixture) {
				f.worker.RunTime = func(vwworker.Task) time.Duration { return 10 * time.Second }
				e := f.attach("e1", "e1-1")
				e.run("j", 1, 10*time.Second)
				settle := time.Duration(e.resume().Offer.SettleMilliseconds) * time.Millisecond
				e.detach()
				end := time.Now().Add(settle)
				for time.Now().Before(end) {
					time.Sleep(100 * time.Millisecond)
					next := f.attachPeer(vwlink.Peer{Process: "e1", Incarnation: "e1-1", Revision: vwmessage.CurrentRevision})
					if c.opened {
						next.deliver(&vwmessage.Want{})
					}
					time.Sleep(min(c.lasts, time.Until(end)))
					if c.lasts < time.Minute {
						next.detach()
					}
				}
				require.Equal(t, c.running, f.worker.Running())
			})
		})
	}
}
