package vwagent_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// ownedJob is a submission with its owners so far; the last one is the newest.
type ownedJob struct {
	id     vwid.SubmissionID
	owners []*fakeEntry
}

// chaos drives an agent with random messages of two entries under random faults.
type chaos struct {
	*fixture
	random  *rand.Rand
	entries []*fakeEntry
	jobs    []*ownedJob
	fences  int
}

func (c *chaos) step(t *testing.T) {
	e := c.entries[c.random.IntN(len(c.entries))]
	switch c.random.IntN(60) {
	case 0:
		c.network.SilenceOpen("agent", e.address)
	case 1:
		c.setOut(t, true)
		advance(time.Duration(c.random.IntN(300)) * time.Millisecond)
		c.setOut(t, false)
	case 2:
		c.network.Isolate("agent", true)
		advance(time.Duration(c.random.IntN(5000)) * time.Millisecond)
		c.network.Isolate("agent", false)
	case 3:
		require.NoError(t, c.agent.Leave(t.Context()))
	case 4:
		c.backend.set(func() { c.backend.unreachable = true })
		advance(time.Duration(c.random.IntN(300)) * time.Millisecond)
		c.backend.set(func() { c.backend.unreachable = false })
	case 5:
		c.jobs = append(c.jobs, &ownedJob{id: vwid.MakeSubmissionID(), owners: []*fakeEntry{e}})
	case 6, 7, 8, 9:
		c.fence(t)
	case 10:
		c.send(t, func(epoch vwid.Epoch, id vwid.SubmissionID) vwmessage.Body {
			return &vwmessage.Cancel{SubmissionID: id, Epoch: epoch}
		})
	default:
		c.send(t, c.start)
	}
	advance(time.Duration(c.random.IntN(100)) * time.Millisecond)
}

func (c *chaos) setOut(t *testing.T, out bool) {
	for _, e := range c.entries {
		e.setOut(t, out)
	}
}

// send sends a message about a job from any of its owners. Only the last owner has the current epoch.
func (c *chaos) send(t *testing.T, compose func(epoch vwid.Epoch, id vwid.SubmissionID) vwmessage.Body) {
	job := c.jobs[c.random.IntN(len(c.jobs))]
	owner := c.random.IntN(len(job.owners))
	e := job.owners[owner]
	session := e.session(t, c.random.IntN(e.newestSession()+1))
	_ = session.Send(context.Background(), compose(vwid.Epoch(owner+1), job.id))
}

func (c *chaos) start(epoch vwid.Epoch, id vwid.SubmissionID) vwmessage.Body {
	start := &vwmessage.Start{SubmissionID: id, Epoch: epoch, Service: "pedidos"}
	for range 1 + c.random.IntN(3) {
		start.Tasks = append(start.Tasks, vwmessage.StartTask{TaskID: vwid.TaskID(fmt.Sprint(c.random.IntN(20)))})
	}
	return start
}

// fence lets an entry take over a job, and checks the reply against the starts at the backend server.
func (c *chaos) fence(t *testing.T) {
	job, e := c.jobs[c.random.IntN(len(c.jobs))], c.entries[c.random.IntN(len(c.entries))]
	job.owners = append(job.owners, e)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	request := &vwmessage.Fence{SubmissionID: job.id, Epoch: vwid.Epoch(len(job.owners))}
	reply, err := vwlink.Call[*vwmessage.FenceReply](ctx, e.session(t, e.newestSession()), request)
	if err != nil {
		return
	}
	c.fences++
	require.False(t, reply.Refused)
	listed := map[vwid.TaskID]bool{}
	for _, started := range reply.Started {
		listed[started.TaskID] = true
	}
	for _, begun := range c.backend.started() {
		if begun.submission == job.id {
			require.True(t, listed[begun.task], "a fence reply omits a started task")
		}
	}
}

// Guards against a task that starts twice, a start under an epoch below one that was seen, and a fence reply
// that omits a started task, under random orders of messages and faults.
func TestChaos(t *testing.T) {
	fences, starts := 0, 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			overCommit := func(options *vwagent.Options) { options.Settings.OverCommit = 2 }
			withOptions(t, overCommit, func(t *testing.T, f *fixture, e1, e2 *fakeEntry) {
				c := &chaos{fixture: f, random: rand.New(rand.NewPCG(seed, 1)), entries: []*fakeEntry{e1, e2}}
				c.jobs = []*ownedJob{{id: vwid.MakeSubmissionID(), owners: []*fakeEntry{e1}}}
				for range 600 {
					c.step(t)
				}
				fences += c.fences
				starts += len(f.backend.started())
				highest := map[vwid.SubmissionID]vwid.Epoch{}
				for _, begun := range f.backend.started() {
					require.GreaterOrEqual(t, begun.epoch, highest[begun.submission])
					highest[begun.submission] = begun.epoch
				}
			})
		})
	}
	require.Greater(t, fences, 200, "too few fences or starts to check")
	require.Greater(t, starts, 500, "too few fences or starts to check")
}
