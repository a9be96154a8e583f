package vwagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// fullCapacity is the capacity that withRunner announces, and smallCapacity one to which it shrinks.
var (
	fullCapacity  = vwresource.Amount{CPU: 4000, Memory: vwunit.GiB}
	smallCapacity = vwresource.Amount{CPU: 1000, Memory: vwunit.GiB}
)

// announceCapacity announces the worker's current incarnation with a capacity.
func (f *runnerFixture) announceCapacity(sequence uint64, amount vwresource.Amount) {
	f.t.Helper()
	require.NoError(f.t, f.agent.AnnounceWorker(f.t.Context(), f.offer(sequence, amount)))
	time.Sleep(time.Millisecond)
}

func (f *runnerFixture) offer(sequence uint64, amount vwresource.Amount) WorkerOffer {
	return WorkerOffer{Life: f.worker.Life(), Sequence: sequence, Service: "pedidos", Capacity: amount}
}

// lastOffer returns the last offer that the entry received.
func (e *entryLink) lastOffer() (last vwmessage.Offer) {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	for _, body := range e.conn.sent {
		switch body := body.(type) {
		case *vwmessage.Resume:
			last = body.Offer
		case *vwmessage.Offer:
			last = *body
		}
	}
	return last
}

// Guards against a late announcement that restores a capacity after it has shrunk, also if no announcement came for long.
func TestLateAnnouncementRestoresNoCapacity(t *testing.T) {
	for name, silence := range map[string]time.Duration{"at once": 0, "after a silence": lateAnnouncementLimit + time.Second} {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, f *runnerFixture) {
				e := f.attach("e1", "e1-1")
				f.announceCapacity(4, smallCapacity)
				time.Sleep(silence)
				f.setRules(2, "DataCentre.a = {} # test\n")
				f.announceCapacity(2, fullCapacity)
				f.announceCapacity(3, fullCapacity)
				require.Equal(t, smallCapacity, f.agent.runner.tracker.Capacity())
				require.Equal(t, smallCapacity, e.load().Free)
				time.Sleep(lateAnnouncementLimit)
				f.setRules(3, "DataCentre.a = {} # test\n")
				f.announceCapacity(5, fullCapacity)
				require.Equal(t, fullCapacity, e.load().Free)
			})
		})
	}
}

// Guards against late announcements that restore a capacity one after the other, each in order after the one before, while
// the worker is silent.
func TestLateAnnouncementsRestoreNoCapacity(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		f.announceCapacity(5, smallCapacity)
		for sequence := range uint64(3) {
			time.Sleep(lateAnnouncementLimit + time.Second)
			f.announceCapacity(2+sequence, fullCapacity)
			require.Equal(t, smallCapacity, f.agent.runner.tracker.Capacity())
		}
		f.announceCapacity(6, fullCapacity)
		require.Equal(t, fullCapacity, f.agent.runner.tracker.Capacity())
	})
}

// Guards against a false announcement with the worker's own id and start time, but a sequence number so large that all
// later ones counted as late: a capacity that has shrunk must be used at once.
func TestLargeSequenceHidesNoShrink(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		e := f.attach("e1", "e1-1")
		f.announceCapacity(1<<53, fullCapacity)
		f.announceCapacity(2, smallCapacity)
		require.Equal(t, smallCapacity, e.load().Free)
	})
}

// Guards against an announcement that arrives after a newer one of an incarnation that is still pending.
func TestPendingAnnouncementIsTheNewest(t *testing.T) {
	for name, id := range map[string]vwid.Worker{"same id": "w1", "other id": "w2"} {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, f *runnerFixture) {
				f.worker.Restart(id)
				f.agent.do(func(now time.Time) {
					f.agent.runner.onAnnounce(now, f.offer(2, smallCapacity))
					f.agent.runner.onAnnounce(now, f.offer(1, fullCapacity))
				})
				time.Sleep(time.Second)
				require.Equal(t, f.worker.Life(), f.agent.runner.tracker.Life())
				require.Equal(t, smallCapacity, f.agent.runner.tracker.Capacity())
				require.Equal(t, uint64(2), f.agent.runner.offer.Sequence)
			})
		})
	}
}

// Guards against a pending announcement that is accepted after a newer one of its incarnation.
func TestPendingAnnouncementReplacesNoNewerOne(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		f.worker.Restart("w2")
		f.agent.do(func(now time.Time) {
			f.agent.runner.onAnnounce(now, f.offer(1, fullCapacity))
			f.agent.runner.tracker.MarkGone(now, "test")
			f.agent.runner.onAnnounce(now, f.offer(2, smallCapacity))
		})
		time.Sleep(time.Second)
		require.Equal(t, f.offer(2, smallCapacity), f.agent.runner.offer)
		require.Equal(t, smallCapacity, f.agent.runner.tracker.Capacity())
	})
}

// Guards against entries that use an outdated capacity: a change of any resource must reach them at once, however small
// and however recent the last load.
func TestCapacityChangeReachesEntries(t *testing.T) {
	cases := map[string]vwresource.Amount{
		"cpu":       smallCapacity,
		"a bit":     {CPU: fullCapacity.CPU - 1, Memory: fullCapacity.Memory},
		"no memory": {CPU: fullCapacity.CPU},
		"nothing":   {},
		"more gpus": {CPU: fullCapacity.CPU, Memory: fullCapacity.Memory, GPUs: 1},
	}
	for name, changed := range cases {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, f *runnerFixture) {
				e := f.attach("e1", "e1-1")
				f.announceCapacity(2, changed)
				require.Equal(t, changed, e.load().Free)
				f.announceCapacity(3, fullCapacity)
				require.Equal(t, fullCapacity, e.load().Free)
			})
		})
	}
}

// Guards against entries that place tasks by outdated labels.
func TestLabelChangeReachesEntries(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		e := f.attach("e1", "e1-1")
		offer := f.offer(2, fullCapacity)
		offer.Labels = []string{"b"}
		require.NoError(t, f.agent.AnnounceWorker(t.Context(), offer))
		time.Sleep(time.Millisecond)
		require.Equal(t, offer.Labels, e.lastOffer().Labels)
	})
}

// Guards against runs that are stopped, or started beyond it, when the capacity shrinks.
func TestRunsContinueWhenCapacityShrinks(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		f.worker.RunTime = func(task vwworker.Task) time.Duration { return time.Duration(task.Index+1) * 100 * time.Millisecond }
		e := f.attach("e1", "e1-1")
		e.run("j", 4, 400*time.Millisecond)
		f.announceCapacity(2, smallCapacity)
		require.Equal(t, 4, f.worker.Running())
		time.Sleep(310 * time.Millisecond)
		e.run("k", 1, 100*time.Millisecond)
		require.Zero(t, f.starts("k", 0))
		time.Sleep(100 * time.Millisecond)
		e.run("l", 2, 100*time.Millisecond)
		require.Equal(t, 1, f.worker.Running())
		f.announceCapacity(3, fullCapacity)
		e.run("m", 3, 100*time.Millisecond)
		require.Equal(t, 4, f.worker.Running())
		require.Len(t, e.ends("j"), 4)
	})
}
