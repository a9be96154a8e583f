package vwagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/request/vwrun"
)

// drain makes the address of a link one that is no longer chosen, and keeps it so for as long as the agent ticks.
func (e *entryLink) drain(address string) {
	f := e.fixture
	f.agent.do(func(time.Time) {
		r := f.agent.current
		e.link.target = &target{address: address, link: e.link, stop: func() {}}
		r.targets[address], r.links[e.link.entry] = e.link.target, e.link
		r.refreshTargets()
	})
	time.Sleep(time.Millisecond)
}

func (e *entryLink) isRetired() bool {
	retired := false
	e.fixture.agent.do(func(time.Time) { retired = e.link.retired })
	return retired
}

// With more entries than an agent has links, another choice of entries closed links whose entries had runs here. The runs
// were stopped, and their entries started them again elsewhere.
func TestRunsGoOnWhenTheirEntryIsNoLongerChosen(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		f.worker.RunTime = func(vwworker.Task) time.Duration { return 600 * time.Millisecond }
		e := f.attach("e9", "e9-1")
		e.run("j", 1, 600*time.Millisecond)
		e.drain("e9")
		require.False(t, e.load().Accepting, "the entry must send no more tasks")
		e.run("late", 1, 100*time.Millisecond)
		require.Equal(t, map[int]vwrun.Outcome{0: vwrun.OutcomeRefused}, e.ends("late"))

		time.Sleep(500 * time.Millisecond)
		require.False(t, e.isRetired(), "a run of the entry has not ended")
		require.Empty(t, e.ends("j"))
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, map[int]vwrun.Outcome{0: vwrun.OutcomeDone}, e.ends("j"))
		require.Equal(t, 1, f.starts("j", 0))
		// The entry that the test plays confirms nothing.
		time.Sleep(2 * runnerTiming.Silence)
		require.True(t, e.isRetired())
	})
}

// The entry must know that the agent accepts nothing more before it is asked whether it has handled all messages. A task that
// it sends after its answer would be refused over a link that closes.
func TestEntryLearnsOfADrainBeforeItConfirms(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		e := f.attach("e9", "e9-1")
		e.drain("e9")
		var order []string
		e.conn.mu.Lock()
		defer e.conn.mu.Unlock()
		for _, body := range e.conn.sent {
			switch body := body.(type) {
			case *vwmessage.Load:
				if !body.Accepting {
					order = append(order, "not accepting")
				}
			case *vwmessage.LeaseRequest:
				order = append(order, "asked")
			}
		}
		require.Equal(t, []string{"not accepting", "asked"}, order)
	})
}
