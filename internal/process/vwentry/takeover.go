package vwentry

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// settlement collects the start records of a job that was taken over. Until it ends the entry sends
// no task of the job.
type settlement struct {
	// phase is how far the former owner had come; only a running job may go on.
	phase vwstate.Phase
	// pending are the agents whose records are still to be collected, and asked those of them that
	// have been sent a fence.
	pending map[vwid.Incarnation]bool
	asked   map[vwid.Incarnation]bool
	// gone tells that the records of an agent cannot be had: any task may have run there.
	gone bool
}

// takeOver makes this entry the owner at the next epoch, and collects what the agents started.
func (e *Entry) takeOver(ctx context.Context, s submission, record *vwstate.Submission) (*reply, error) {
	limited, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := e.control.Propose(limited, vwstate.Command{TakeOver: &vwstate.TakeOver{
		SubmissionID: record.SubmissionID,
		FromEpoch:    record.Epoch,
		Owner:        e.incarnation,
	}})
	if err != nil && ctx.Err() == nil && !vwverdict.IsNotRun(err) {
		// The record tells whether the command got into the log.
		return nil, nil
	}
	if err != nil {
		return nil, refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "the submission could not be taken over: "+reasonOf(err))
	}
	switch outcome.Refusal {
	case vwstate.RefusalNone:
	case vwstate.RefusalOwnerLive, vwstate.RefusalNotOwner:
		return nil, nil
	case vwstate.RefusalUnknown:
		return nil, e.explain(vwstate.RefusalTooOld)
	default:
		return nil, refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "control refused the takeover with "+string(outcome.Refusal)+"; use another entry")
	}
	e.log.Info("submission taken over", "submission", string(record.SubmissionID), "epoch", uint64(outcome.Submission.Epoch))
	e.counters.Takeovers.Add(1)
	j, err := makeJob(s.spec, outcome.Submission.Epoch, s.digest, true)
	if err != nil {
		return nil, err
	}
	return askError(ctx, e, func() (*reply, error) {
		// A second call of this entry gets the outcome of the first one's takeover.
		if known := e.jobs[j.SubmissionID]; known != nil && known.Epoch() >= j.Epoch() {
			return &reply{job: known}, nil
		}
		e.applyDefaultDeadline(j)
		j.SetUncertain(true)
		e.adopt(j)
		e.recordJob(vwevent.TookOver, j)
		e.settle(j, outcome)
		return &reply{job: j}, nil
	})
}

func (e *Entry) settle(j *job, outcome vwstate.Outcome) {
	j.settlement = &settlement{phase: outcome.Submission.Phase, pending: map[vwid.Incarnation]bool{}, asked: map[vwid.Incarnation]bool{}}
	e.settling++
	for i := range outcome.Agents {
		j.settlement.pending[outcome.Agents[i].Incarnation] = true
	}
	for incarnation := range j.settlement.pending {
		if w := e.workers[incarnation]; w != nil && w.session != nil {
			e.settleWith(j, w)
		}
	}
	e.checkSettled(j)
}

// settleReachable asks an agent that has just opened a link for the records that settlements lack.
func (e *Entry) settleReachable(w *worker) {
	for _, j := range e.jobs {
		if j.settlement != nil && j.settlement.pending[w.Incarnation] {
			e.settleWith(j, w)
		}
	}
}

func (e *Entry) settleWith(j *job, w *worker) {
	w.jobs[j.SubmissionID] = j
	e.fence(w, j, func(answer *vwmessage.FenceReply) { e.takeRecords(j, w, answer) })
}

func (e *Entry) takeRecords(j *job, w *worker, answer *vwmessage.FenceReply) {
	if j.settlement == nil || !j.settlement.pending[w.Incarnation] {
		return
	}
	if answer.Refused && answer.Epoch > j.Epoch() {
		e.loseJob(j)
		return
	}
	delete(j.settlement.pending, w.Incarnation)
	if answer.Refused {
		// The agent has dropped its records of the job.
		j.settlement.gone = true
	} else {
		j.Reconcile(w.Incarnation, nil, answer)
	}
	e.checkSettled(j)
}

// settleGone gives up on the records of agents whose registration has ended and that have no link.
func (e *Entry) settleGone(j *job, live map[vwid.Incarnation]bool) {
	for incarnation := range j.settlement.pending {
		if w := e.workers[incarnation]; live[incarnation] || (w != nil && w.session != nil) {
			continue
		}
		delete(j.settlement.pending, incarnation)
		j.settlement.gone = true
	}
	e.checkSettled(j)
}

func (e *Entry) checkSettled(j *job) {
	if j.settlement == nil || (len(j.settlement.pending) > 0 && !j.Ended()) {
		return
	}
	s := j.settlement
	j.settlement = nil
	e.settling--
	if j.Ended() {
		e.checkEnd(j)
		return
	}
	waiting := len(j.Waiting())
	switch {
	case waiting == 0:
		// All tasks have started; the results follow from the agents.
	case s.phase != vwstate.PhaseRunning:
		j.FailWith(vwapi.CodeAnswerGone, verdictOf(s.phase), "the job has ended and its answer is no longer kept")
		e.checkEnd(j)
	case s.gone:
		j.FailWith(vwapi.CodeWorkerLost, vwverdict.MayHaveRun, "the former owner of the job and a worker that may have started tasks of it are gone")
		e.checkEnd(j)
	default:
		j.SetUncertain(false)
		if err := e.enqueue(time.Now(), j); err != nil {
			e.failJob(j, limitCode(err), err.Error())
		}
	}
}

func verdictOf(phase vwstate.Phase) vwverdict.Verdict {
	if phase == vwstate.PhaseDone {
		return vwverdict.Ran
	}
	return vwverdict.MayHaveRun
}
