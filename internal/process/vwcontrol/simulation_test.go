package vwcontrol

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// step is an action that rapid has drawn, the member that it affects and the pause after it.
type step struct {
	Action action
	Member int
	Pause  time.Duration
}

// Guards against the same violations as TestFaults under random sequences of crashes, restarts, partitions, packet loss,
// slow and full disks, planned stops and lost disks.
func TestSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(rt, "size")
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				Action: rapid.SampledFrom(actions).Draw(rt, "action"),
				Member: rapid.IntRange(0, size-1).Draw(rt, "member"),
				Pause:  rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, time.Second, 3 * time.Second}).Draw(rt, "pause"),
			}
		}), 1, 8).Draw(rt, "steps")
		r := &recorder{}
		synctest.Test(t, func(*testing.T) { simulate(r, size, seed, steps) })
		if r.failure != "" {
			rt.Fatal(r.failure)
		}
	})
}

func simulate(r *recorder, size int, seed uint64, steps []step) {
	defer r.recover()
	c := makeCluster(r, size, seed)
	defer c.stop()
	c.startAll()
	c.waitForLeader()
	end := c.startOperators(2)
	defer end()
	for _, s := range steps {
		s.Action.do(c, s.Member)
		time.Sleep(s.Pause)
	}
	end()
	c.recoverAndCheck()
}

// recorder records a failure inside a synctest bubble instead of ending the test, so that rapid can shrink the sequence
// of steps.
type recorder struct{ failure string }

// Errorf implements require.TestingT.
func (r *recorder) Errorf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
}

// FailNow implements require.TestingT.
func (r *recorder) FailNow() {
	panic(r)
}

func (r *recorder) recover() {
	if found := recover(); found != nil && found != r {
		panic(found)
	}
}

// action is what a step of the simulation does. rapid prints its name.
type action struct {
	name string
	do   func(c *cluster, at int)
}

// String implements fmt.Stringer.
func (a action) String() string { return a.name }

var actions = []action{
	{"crash", (*cluster).crash},
	{"start", (*cluster).start},
	{"isolate", func(c *cluster, at int) { c.isolate(at, false, true) }},
	{"isolate one way", func(c *cluster, at int) { c.isolate(at, true, true) }},
	{"connect", func(c *cluster, at int) { c.isolate(at, false, false) }},
	{"lossy network", func(c *cluster, _ int) { c.network.setLoss(0.3) }},
	{"heal", func(c *cluster, _ int) { c.network.heal() }},
	{"slow disk", func(c *cluster, at int) { c.disks[at].SetSyncDelay(300 * time.Millisecond) }},
	{"fast disk", func(c *cluster, at int) { c.disks[at].SetSyncDelay(time.Millisecond) }},
	{"full disk", func(c *cluster, at int) { c.disks[at].SetFull(c.random.IntN(300), false) }},
	{"full disk that frees nothing", func(c *cluster, at int) { c.disks[at].SetFull(c.random.IntN(300), true) }},
	{"room on the disk", func(c *cluster, at int) { c.disks[at].EndFull() }},
	{"planned stop", (*cluster).shutDown},
	{"lose disk", (*cluster).loseDisk},
}

func (c *cluster) shutDown(at int) {
	if m := c.member(at); m != nil {
		c.set(at, nil)
		_ = m.Stop()
	}
}

// loseDisk replaces the disk of a member, but only while all members run and vote: committed entries do not survive the
// loss of a majority of the disks.
func (c *cluster) loseDisk(at int) {
	for other := range c.disks {
		m := c.member(other)
		if m == nil {
			return
		}
		membership := m.Status().Log.Membership
		if len(membership.Voters) != len(c.disks) || !membership.Votes(m.Status().Self.Member) {
			return
		}
	}
	c.wipe(at)
}
