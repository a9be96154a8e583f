package vwplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// withFree sets the free capacity that a worker reports when it is linked.
func withFree(free int) func(*Worker, *vwmessage.Resume) {
	return func(_ *Worker, resume *vwmessage.Resume) { resume.Load.Free = cores(free) }
}

// asked returns the workers that are sent a demand with tasks, and those from which it is withdrawn.
func (f *fixture) asked(now time.Time) (asked, withdrawn []vwid.Incarnation) {
	f.Helper()
	f.queue.Dispatch(now)
	for _, demand := range f.queue.Demands(now) {
		if demand.Message.Want.Tasks > 0 {
			asked = append(asked, demand.Worker)
		} else {
			withdrawn = append(withdrawn, demand.Worker)
		}
	}
	return asked, withdrawn
}

// With hundreds of workers, one waiting task must not cause a message to each of them, and another one when it is placed.
func TestDemandGoesToSomeWorkers(t *testing.T) {
	const workers = 35
	f := makeFixture(t)
	for i := range workers {
		f.open(at(0), fmt.Sprintf("w%d", i), 4, withFree(0))
	}
	f.submit(at(0), "j1", 1, func(j *Job) { j.Estimate = time.Second })

	asked, _ := f.asked(at(0))
	require.Len(t, asked, minAskedWorkers)
	again, _ := f.asked(at(demandInterval / 2))
	require.Empty(t, again)
	next, _ := f.asked(at(demandInterval))
	require.Len(t, next, minAskedWorkers)
	for _, worker := range next {
		require.NotContains(t, asked, worker, "another worker is asked next, as the first ones have had no room")
	}

	f.queue.Cancel(at(demandInterval+time.Millisecond), "j1", "test")
	_, withdrawn := f.asked(at(demandInterval + time.Millisecond))
	require.ElementsMatch(t, append(asked, next...), withdrawn)
	_, withdrawn = f.asked(at(demandInterval + 2*time.Millisecond))
	require.Empty(t, withdrawn)
}

// Many waiting tasks need more workers than one does.
func TestDemandOfManyTasksGoesToMoreWorkers(t *testing.T) {
	const workers = 35
	f := makeFixture(t)
	for i := range workers {
		f.open(at(0), fmt.Sprintf("w%d", i), 4, withFree(0))
	}
	f.submit(at(0), "j1", 8)
	asked, _ := f.asked(at(0))
	require.Len(t, asked, 8*askedWorkersPerTask)
}

// A task that may run on a single worker must not wait until the others have been asked in turn.
func TestDemandForLabelledWorkersGoesToAll(t *testing.T) {
	const workers = 35
	f := makeFixture(t)
	for i := range workers {
		f.open(at(0), fmt.Sprintf("w%d", i), 4, withFree(0))
	}
	f.submit(at(0), "j1", 1)
	f.submit(at(0), "j2", 1, func(j *Job) { j.RequiredLabel = "rack-w34" })
	asked, _ := f.asked(at(0))
	require.Contains(t, asked, vwid.Incarnation("w34"))
}

// An entry that has turned to other workers, or is cut off, must not keep capacity reserved.
func TestDemandExpiresAtTheAgent(t *testing.T) {
	r := Reservations{}
	r.SetDemand(at(0), "e1", &vwmessage.Want{Tasks: 1, Needs: cores(1), WithinMilliseconds: 500}, 0)
	require.Empty(t, r.Reserve(at(demandValidity), cores(4)))
	r.SetDemand(at(demandValidity), "e1", &vwmessage.Want{Tasks: 1, Needs: cores(1), WithinMilliseconds: 500}, 0)
	require.Equal(t, []vwid.Incarnation{"e1"}, r.Reserve(at(2*demandValidity-time.Millisecond), cores(4)))
}

// Freed capacity goes to the demand of the highest level, even if one of a lower level must start sooner.
func TestHigherLevelIsReservedFirst(t *testing.T) {
	r := Reservations{}
	r.SetDemand(at(0), "low", &vwmessage.Want{Tasks: 1, Needs: cores(1), WithinMilliseconds: 5}, 1)
	r.SetDemand(at(0), "high", &vwmessage.Want{Tasks: 1, Needs: cores(1), WithinMilliseconds: 50}, 2)
	require.Equal(t, []vwid.Incarnation{"high"}, r.Reserve(at(0), cores(1)))
}
