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

// recovery collects the start records of a job that was taken over. The entry sends no task of the job
// until the recovery has ended.
type recovery struct {
	// phase is the phase that the former owner recorded; only a running job may be continued.
	phase vwstate.Phase
	// pending holds the agents whose records are outstanding. asked is not used.
	pending map[vwid.Incarnation]bool
	asked   map[vwid.Incarnation]bool
	// recordsLost is set when the records of an agent cannot be obtained: any task may have run there.
	recordsLost bool
}

// takeOver makes this entry the owner under the next epoch and starts to collect the start records of the
// agents. A nil result without an error means that the caller must read the record again.
func (e *Entry) takeOver(ctx context.Context, s submission, record *vwstate.Submission) (*answerSource, error) {
	limited, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := e.control.Propose(limited, vwstate.Command{TakeOver: &vwstate.TakeOver{
		SubmissionID: record.SubmissionID,
		FromEpoch:    record.Epoch,
		Owner:        e.incarnation,
	}})
	if err != nil && ctx.Err() == nil && !vwverdict.IsNotRun(err) {
		// The command may be in the log; reading the record again shows whether it is.
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
		return nil, e.refusalError(vwstate.RefusalTooOld)
	default:
		return nil, refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "control refused the takeover with "+string(outcome.Refusal)+"; use another entry")
	}
	e.log.Info("submission taken over", "submission", string(record.SubmissionID), "epoch", uint64(outcome.Submission.Epoch))
	e.counters.Takeovers.Add(1)
	j, err := makeJob(s.spec, outcome.Submission.Epoch, s.digest, true)
	if err != nil {
		return nil, err
	}
	return runOnLoopWithError(ctx, e, func() (*answerSource, error) {
		// A concurrent call on this entry has taken the job over; join its job.
		if existing := e.jobs[j.SubmissionID]; existing != nil && existing.Epoch() >= j.Epoch() {
			return &answerSource{job: existing}, nil
		}
		e.applyDefaultDeadline(j)
		j.SetPriorStartsUnknown(true)
		e.addJob(j)
		e.recordJob(vwevent.TookOver, j)
		e.startRecovery(j, outcome)
		return &answerSource{job: j}, nil
	})
}

func (e *Entry) startRecovery(j *job, outcome vwstate.Outcome) {
	j.recovery = &recovery{phase: outcome.Submission.Phase, pending: map[vwid.Incarnation]bool{}, asked: map[vwid.Incarnation]bool{}}
	e.recoveringJobs++
	for i := range outcome.Agents {
		j.recovery.pending[outcome.Agents[i].Incarnation] = true
	}
	for incarnation := range j.recovery.pending {
		if w := e.agents[incarnation]; w != nil && w.session != nil {
			e.requestRecords(j, w)
		}
	}
	e.finishRecovery(j)
}

// resumeRecoveries requests the outstanding records of all recoveries from an agent that has just opened a
// link.
func (e *Entry) resumeRecoveries(w *agentState) {
	for _, j := range e.jobs {
		if j.recovery != nil && j.recovery.pending[w.Incarnation] {
			e.requestRecords(j, w)
		}
	}
}

func (e *Entry) requestRecords(j *job, w *agentState) {
	w.jobs[j.SubmissionID] = j
	e.fence(w, j, func(answer *vwmessage.FenceReply) { e.handleRecords(j, w, answer) })
}

func (e *Entry) handleRecords(j *job, w *agentState, answer *vwmessage.FenceReply) {
	if j.recovery == nil || !j.recovery.pending[w.Incarnation] {
		return
	}
	if answer.Refused && answer.Epoch > j.Epoch() {
		e.abandonJob(j)
		return
	}
	delete(j.recovery.pending, w.Incarnation)
	if answer.Refused {
		// The agent has dropped its records of the job.
		j.recovery.recordsLost = true
	} else {
		j.Reconcile(w.Incarnation, nil, answer)
	}
	e.finishRecovery(j)
}

// dropUnreachableAgents stops waiting for the records of agents whose registration has ended and that have
// no link.
func (e *Entry) dropUnreachableAgents(j *job, live map[vwid.Incarnation]bool) {
	for incarnation := range j.recovery.pending {
		if w := e.agents[incarnation]; live[incarnation] || (w != nil && w.session != nil) {
			continue
		}
		delete(j.recovery.pending, incarnation)
		j.recovery.recordsLost = true
	}
	e.finishRecovery(j)
}

// finishRecovery ends the recovery of j once no records are outstanding, and then queues its waiting tasks or
// fails it.
func (e *Entry) finishRecovery(j *job) {
	if j.recovery == nil || (len(j.recovery.pending) > 0 && !j.Ended()) {
		return
	}
	r := j.recovery
	j.recovery = nil
	e.recoveringJobs--
	if j.Ended() {
		e.finishIfEnded(j)
		return
	}
	waiting := len(j.Waiting())
	switch {
	case waiting == 0:
		// All tasks have started; the agents will send their results.
	case r.phase != vwstate.PhaseRunning:
		j.FailWithVerdict(vwapi.CodeAnswerGone, verdictOfPhase(r.phase), "the job has ended and its answer is no longer kept")
		e.finishIfEnded(j)
	case r.recordsLost:
		j.FailWithVerdict(vwapi.CodeWorkerLost, vwverdict.MayHaveRun, "the former owner of the job and a worker that may have started tasks of it are gone")
		e.finishIfEnded(j)
	default:
		j.SetPriorStartsUnknown(false)
		if err := e.enqueue(time.Now(), j); err != nil {
			e.failByQueue(time.Now(), j, err, err.Error())
		}
	}
}

func verdictOfPhase(phase vwstate.Phase) vwverdict.Verdict {
	if phase == vwstate.PhaseDone {
		return vwverdict.Ran
	}
	return vwverdict.MayHaveRun
}
