package vwloadtest

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// askAgainInterval spaces the attempts of a caller whose connection broke or whose job still runs.
const askAgainInterval = 100 * time.Millisecond

// Outcome is what happened to one arrival.
type Outcome struct {
	Arrival Arrival
	ID      vwid.SubmissionID
	// Planned and Sent are the planned and the actual time of the first attempt.
	Planned time.Time
	Sent    time.Time
	// Answered is the time of the final reply.
	Answered time.Time
	Final    Reply
	// Replies are all replies of all attempts, in the order of their arrival.
	Replies []Reply
}

// notRun reports whether every attempt was refused with NotRun, so that no task may have started.
func (o Outcome) notRun() bool {
	for _, reply := range o.Replies {
		if reply.complete() || reply.verdict() != vwverdict.NotRun {
			return false
		}
	}
	return len(o.Replies) > 0
}

// driver sends a plan to a target.
type driver struct {
	scenario Scenario
	target   Target
	control  standInControl
	log      *slog.Logger

	mu       sync.Mutex
	outcomes []Outcome
	outages  []vwstandin.Outage
	failing  []failingSpan
	failures []string
}

// standInControl carries out changes of stand-ins.
type standInControl interface {
	Change(ctx context.Context, change Change) error
}

// run sends all arrivals at their planned times and returns when the last has its final reply.
func (d *driver) run(ctx context.Context, plan []Arrival) error {
	group := vwgroup.Make(ctx)
	begin := time.Now()
	d.outcomes = make([]Outcome, len(plan))
	for _, change := range d.scenario.Changes {
		group.Go(func(ctx context.Context) error {
			return d.change(ctx, begin.Add(time.Duration(change.At)), change)
		})
	}
	for index, arrival := range plan {
		planned := begin.Add(arrival.At)
		if err := sleepUntil(ctx, planned); err != nil {
			break
		}
		group.Run(func(ctx context.Context) { d.outcomes[index] = d.send(ctx, arrival, planned) })
	}
	return trace.Wrap(group.Wait())
}

// change carries out one change. One that fails is reported; the run goes on.
func (d *driver) change(ctx context.Context, at time.Time, change Change) error {
	if err := sleepUntil(ctx, at); err != nil {
		return trace.Wrap(err)
	}
	asked := time.Now()
	var err error
	if change.Action == ActionOut || change.Action == ActionIn {
		err = d.target.Move(ctx, change.DataCentre, change.Action)
	} else {
		err = d.control.Change(ctx, change)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.log.Error("a change failed", "action", string(change.Action), "error", err)
		d.failures = append(d.failures, string(change.Action)+": "+trace.UserMessage(err))
		return nil
	}
	d.noteOutage(change, asked, time.Now())
	d.noteFailing(change, asked, time.Now())
	return nil
}

// noteOutage lets an outage begin when the change was accepted and end when its end was asked for,
// which is the narrowest span that the operator could mean.
func (d *driver) noteOutage(change Change, asked, accepted time.Time) {
	switch change.Action {
	case ActionOut:
		d.outages = append(d.outages, vwstandin.Outage{DataCentre: change.DataCentre, Span: vwstandin.Span{Begin: accepted}})
	case ActionIn:
		for index := range d.outages {
			if d.outages[index].DataCentre == change.DataCentre && d.outages[index].End.IsZero() {
				d.outages[index].End = asked
			}
		}
	}
}

// noteFailing does the same for the spans in which a stand-in fails everything.
func (d *driver) noteFailing(change Change, asked, accepted time.Time) {
	if change.Action != ActionBehave {
		return
	}
	for index := range d.failing {
		if d.failing[index].backend == change.Backend && d.failing[index].End.IsZero() {
			d.failing[index].End = asked
		}
	}
	if change.Mode == vwstandin.ModeFail {
		d.failing = append(d.failing, failingSpan{backend: change.Backend, Span: vwstandin.Span{Begin: accepted}})
	}
}

// send makes the attempts of one arrival.
func (d *driver) send(ctx context.Context, arrival Arrival, planned time.Time) Outcome {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(time.Duration(d.scenario.AnswerTimeout)))
	defer cancel()
	caller := caller{
		driver:  d,
		done:    make(chan struct{}),
		outcome: Outcome{Arrival: arrival, ID: vwid.MakeSubmissionID(), Planned: planned, Sent: time.Now()},
	}
	group := vwgroup.Make(ctx)
	group.Run(func(ctx context.Context) { caller.attempt(ctx, arrival.Index) })
	if arrival.ResubmitAfter > 0 {
		group.Run(func(ctx context.Context) {
			if caller.wait(ctx, time.Until(planned.Add(arrival.ResubmitAfter))) {
				caller.attempt(ctx, arrival.Index+1)
			}
		})
	}
	if arrival.CancelAfter > 0 {
		group.Run(func(ctx context.Context) {
			if caller.wait(ctx, time.Until(planned.Add(arrival.CancelAfter))) {
				caller.cancel(ctx)
			}
		})
	}
	_ = group.Wait()
	return caller.result()
}

// caller is one caller with its attempts, which may run at the same time.
type caller struct {
	driver *driver
	// done is closed with the first final reply. Attempts that are under way go on, so that their
	// answers are checked too.
	done    chan struct{}
	mu      sync.Mutex
	outcome Outcome
}

// attempt asks until a final reply comes, each time at the next entry.
func (c *caller) attempt(ctx context.Context, entry int) {
	for {
		if c.note(c.call(ctx, entry)) || !c.wait(ctx, askAgainInterval) {
			return
		}
		entry++
	}
}

// wait reports whether the time has passed without a final reply.
func (c *caller) wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.done:
		return false
	case <-timer.C:
		return true
	}
}

func (c *caller) cancel(ctx context.Context) {
	if err := c.driver.target.Cancel(ctx, c.outcome.Arrival.Index, c.outcome.ID); err != nil {
		c.driver.log.Debug("a cancellation failed", "submission", string(c.outcome.ID), "error", err)
	}
}

func (c *caller) call(ctx context.Context, entry int) Reply {
	arrival, service := c.outcome.Arrival, c.driver.scenario.Service
	if arrival.Request {
		request := vwapi.Request{
			ID: c.outcome.ID, Service: service, Team: arrival.Team, Idempotent: arrival.Idempotent,
			DeclaredRunMillis: arrival.Tasks[0].DeclaredMillis, Payload: arrival.Tasks[0].payload(),
		}
		return c.driver.target.Request(ctx, entry, request)
	}
	submission := vwapi.Submission{ID: c.outcome.ID, Service: service, Team: arrival.Team}
	for index, task := range arrival.Tasks {
		submission.Tasks = append(submission.Tasks, vwapi.Task{
			ID: taskID(index), DeclaredRunMillis: task.DeclaredMillis, Payload: task.payload(),
		})
	}
	return c.driver.target.Submit(ctx, entry, submission)
}

// note records a reply and reports whether it is final. The first final reply counts as the answer.
func (c *caller) note(reply Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcome.Replies = append(c.outcome.Replies, reply)
	if reply.pending() {
		return false
	}
	if c.outcome.Answered.IsZero() {
		c.outcome.Final, c.outcome.Answered = reply, time.Now()
		close(c.done)
	}
	return true
}

func (c *caller) result() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome
}

func taskID(index int) vwid.TaskID {
	return vwid.TaskID(strconv.Itoa(index))
}

func (t PlannedTask) payload() json.RawMessage {
	echo, _ := json.Marshal(t.Tag)
	payload, _ := json.Marshal(vwstandin.Payload{RunMillis: t.RunMillis, Fail: t.Fail, Echo: echo, Tag: t.Tag})
	return payload
}

func sleepUntil(ctx context.Context, at time.Time) error {
	return vwgroup.Sleep(ctx, time.Until(at))
}
