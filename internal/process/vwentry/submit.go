package vwentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// proposeTimeout exceeds the time that control needs to elect a new leader.
	proposeTimeout = 4 * time.Second
	// joinRetryInterval is the pause between attempts to reach the owner of a submission.
	joinRetryInterval = 200 * time.Millisecond
)

// submission is a decoded and validated submission.
type submission struct {
	spec   vwjob.Spec
	digest string
	// hasCallerID is set if the caller chose the id, so that other calls may use it too.
	hasCallerID bool
	// noWait is set if the caller does not wait for the answer.
	noWait bool
}

// refuse returns an error that becomes a problem document.
func refuse(code string, verdict vwverdict.Verdict, message string) error {
	return vwverdict.Wrap(verdict, &vwapi.Problem{Code: code, Title: vwapi.TitleOf(code), Detail: message, Verdict: verdict})
}

// submit accepts a submission, joins the job that already has its id, or takes that job over.
// It returns as soon as the job is known; the answer may be pending.
func (e *Entry) submit(ctx context.Context, s submission) (*answerSource, error) {
	source, err := e.submitOnce(ctx, s)
	if err != nil {
		err = e.confirmNotRun(ctx, s, err)
		e.record(vwevent.Event{Kind: vwevent.SubmissionRefused, SubmissionID: s.spec.SubmissionID, Verdict: vwverdict.Of(err).String(), Message: err.Error()})
	}
	return source, err
}

func (e *Entry) submitOnce(ctx context.Context, s submission) (*answerSource, error) {
	existing, err := runOnLoopWithError(ctx, e, func() (*job, error) { return e.findJob(s) })
	if err != nil {
		return nil, err
	}
	if existing != nil {
		return &answerSource{job: existing}, nil
	}
	if err := runOnLoopForError(ctx, e, func() error { return e.admit(s) }); err != nil {
		return nil, err
	}
	defer e.post(func() { e.removePendingAccept(s.spec.SubmissionID) })
	outcome, err := e.accept(ctx, s)
	if err != nil {
		return nil, err
	}
	switch outcome.Refusal {
	case vwstate.RefusalNone:
		return e.startJob(ctx, s, outcome.Submission)
	case vwstate.RefusalExists:
		return e.join(ctx, s, outcome.Submission)
	}
	return nil, e.refusalError(outcome.Refusal)
}

func (e *Entry) accept(ctx context.Context, s submission) (vwstate.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	begun := time.Now()
	outcome, err := vweditor.Propose(ctx, e.control, vwstate.Command{Accept: &vwstate.Accept{
		SubmissionID: s.spec.SubmissionID,
		Owner:        e.incarnation,
		Acceptance:   vwid.MakeAcceptance(),
		Service:      s.spec.Service,
		Digest:       []byte(s.digest),
	}})
	if err != nil {
		// Even if the command is committed later, this entry starts no task for it, and a resubmission takes
		// over a job without started tasks. An earlier call with the same id may have started some.
		verdict := vwverdict.NotRun
		if s.hasCallerID {
			verdict = vwverdict.MayHaveRun
		}
		return outcome, refuse(vwapi.CodeUnavailable, verdict, "control did not accept the submission: "+reasonOf(err))
	}
	reportDuration(e.observer.Accepted, time.Since(begun))
	return outcome, nil
}

// confirmNotRun returns a refusal with the verdict that is valid for the submission id. If the caller chose
// the id, NotRun is valid only if control has no record of an earlier call with it. A conflict keeps its
// verdict, which is about the refused body, and that has not run.
func (e *Entry) confirmNotRun(ctx context.Context, s submission, refusal error) error {
	problem := problemOf(refusal, s.spec.SubmissionID)
	if !s.hasCallerID || problem.Verdict != vwverdict.NotRun || problem.Code == vwapi.CodeConflict {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	view, err := e.control.Read(ctx, vwstate.Query{SubmissionID: s.spec.SubmissionID})
	if err == nil && view.Submission == nil {
		return refusal
	}
	return refuse(problem.Code, vwverdict.MayHaveRun, problem.Detail+"; an earlier call with the same id may have run")
}

func (e *Entry) refusalError(refusal vwstate.Refusal) error {
	switch refusal {
	case vwstate.RefusalConflict:
		return refuse(vwapi.CodeConflict, vwverdict.NotRun, "the submission id was used for a submission with another body; this body has not run")
	case vwstate.RefusalTooOld:
		return refuse(vwapi.CodeTooOld, vwverdict.MayHaveRun, "the submission id is older than the retention, so an earlier submission with it may have been forgotten")
	case vwstate.RefusalTooNew:
		return refuse(vwapi.CodeTooNew, vwverdict.NotRun, "the time inside the submission id is in the future")
	case vwstate.RefusalNotRegistered:
		return refuseHere(vwapi.CodeUnavailable, "this entry's registration has ended; use another entry")
	}
	return refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "control refused with "+string(refusal))
}

// findJob returns the job with the submission's id when this entry has it.
func (e *Entry) findJob(s submission) (*job, error) {
	j := e.jobs[s.spec.SubmissionID]
	if j == nil || j.ownershipLost {
		return nil, nil
	}
	if j.digest != s.digest {
		return nil, e.refusalError(vwstate.RefusalConflict)
	}
	if j.hasNotRun() {
		// No task of the job has run, so it may be submitted again.
		return nil, nil
	}
	return j, nil
}

// admit validates a submission and counts it in pendingAccepts.
func (e *Entry) admit(s submission) error {
	if err := e.validate(s); err != nil {
		return err
	}
	e.pendingAccepts[s.spec.SubmissionID]++
	return nil
}

// validate refuses a submission that can be refused without a call to control.
func (e *Entry) validate(s submission) error {
	spec := &s.spec
	switch {
	case e.stopping:
		return refuse(vwapi.CodeStopping, vwverdict.NotRun, "this entry is stopping; use another entry")
	case e.cannotEndInTime(time.Now(), &s):
		e.counters.RefusedByStop.Add(1)
		return refuse(vwapi.CodeStopping, vwverdict.NotRun, "this entry stops before the tasks could end; use another entry")
	case !e.registered || !e.holder.IsFresh(time.Now()):
		return refuseHere(vwapi.CodeUnavailable, "this entry has no configuration lease; use another entry or try again")
	case !e.rules.AllowsService(spec.Service):
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, "no rule declares service "+quote(spec.Service))
	case !e.rules.AllowsTeam(spec.Team):
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, "no rule declares team "+quote(spec.Team))
	case len(e.rules.Services()) == 0 && !e.hasWorkerFor(spec.Service):
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, "no worker offers service "+quote(spec.Service))
	}
	policy := e.rules.Team(spec.Service, spec.Team)
	if limit := maxTeamTasks(policy); limit > 0 && len(spec.Tasks) > limit {
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, fmt.Sprintf("the job has %d tasks; the rules allow the team at most %d at a time", len(spec.Tasks), limit))
	}
	if timeout := time.Until(spec.Deadline); !spec.Deadline.IsZero() && policy.Deadlines.Maximum > 0 && timeout > policy.Deadlines.Maximum {
		return refuse(vwapi.CodeInvalid, vwverdict.NotRun, "the timeout exceeds the maximum of "+policy.Deadlines.Maximum.String()+" for the team")
	}
	return nil
}

// maxTeamTasks returns how many tasks the rules allow a team in the whole cluster, 0 for no limit. A larger
// job would be refused even by an empty queue.
func maxTeamTasks(policy vwrule.TeamPolicy) int {
	limit := policy.Limits.QueueLength
	if inFlight := policy.Limits.InFlight; inFlight > 0 && (limit == 0 || inFlight < limit) {
		limit = inFlight
	}
	return limit
}

// removePendingAccept reverses the count of admit. While an accept is pending, a record in control without a
// job at this entry is expected, and release ignores it.
func (e *Entry) removePendingAccept(id vwid.SubmissionID) {
	if e.pendingAccepts[id]--; e.pendingAccepts[id] <= 0 {
		delete(e.pendingAccepts, id)
	}
}

func (e *Entry) hasWorkerFor(service vwid.Service) bool {
	for _, w := range e.agents {
		if w.Service == service {
			return true
		}
	}
	return false
}

func quote[T ~string](name T) string {
	return "\"" + string(name) + "\""
}

// startJob starts a job that control has just accepted.
func (e *Entry) startJob(ctx context.Context, s submission, record *vwstate.Submission) (*answerSource, error) {
	j, err := makeJob(s.spec, record.Epoch, s.digest, true)
	if err != nil {
		return nil, err
	}
	return runOnLoopWithError(ctx, e, func() (*answerSource, error) {
		j.acceptance = record.Acceptance
		e.applyDefaultDeadline(j)
		e.addJob(j)
		e.recordJob(vwevent.SubmissionAccepted, j)
		if err := e.enqueue(time.Now(), j); err != nil {
			e.failByQueue(time.Now(), j, err, reasonOf(err))
		}
		return &answerSource{job: j}, nil
	})
}

func (e *Entry) applyDefaultDeadline(j *job) {
	if !j.Deadline.IsZero() {
		return
	}
	if timeout := e.rules.Team(j.Service, j.Team).Deadlines.Default; timeout > 0 {
		j.Deadline = time.Now().Add(timeout)
	}
}

func limitErrorCode(err error) string {
	var limit vwdispatch.ErrLimit
	switch {
	case vwdispatch.IsDeadline(err):
		return vwapi.CodeDeadline
	case errors.As(err, &limit) && limit.Limit == vwdispatch.LimitTeamRate:
		return vwapi.CodeRateLimited
	}
	return vwapi.CodeQueueFull
}

// join attaches to a job that control already has a record of: at its owner, or by a takeover if the owner's
// registration has ended.
func (e *Entry) join(ctx context.Context, s submission, record *vwstate.Submission) (*answerSource, error) {
	for {
		source, err := e.joinOnce(ctx, s, record)
		if source != nil || err != nil {
			return source, err
		}
		if err := vwgroup.Sleep(ctx, joinRetryInterval); err != nil {
			return nil, refuse(vwapi.CodeStillRunning, vwverdict.MayHaveRun, "the owner of the submission cannot be reached yet; ask again")
		}
		view, err := e.control.Read(ctx, vwstate.Query{SubmissionID: s.spec.SubmissionID})
		if err != nil {
			continue
		}
		if view.Submission == nil {
			// The job failed at its owner before any task ran, and control has removed its record.
			return e.submit(ctx, s)
		}
		record = view.Submission
	}
}

// joinOnce makes one attempt to join. A nil result without an error means that the caller must read the
// record again.
func (e *Entry) joinOnce(ctx context.Context, s submission, record *vwstate.Submission) (*answerSource, error) {
	if record.Owner == e.incarnation {
		existing, err := runOnLoopWithError(ctx, e, func() (*job, error) { return e.findJob(s) })
		if err != nil {
			return nil, err
		}
		if existing != nil {
			return &answerSource{job: existing}, nil
		}
		return e.takeOver(ctx, s, record)
	}
	view, err := e.readRegistrations(ctx)
	if err != nil {
		return nil, nil
	}
	owner := findLive(view.Registrations, record.Owner)
	if owner == nil {
		return e.takeOver(ctx, s, record)
	}
	if s.noWait {
		body, err := json.Marshal(vwapi.Answer{ID: record.SubmissionID, State: vwapi.StateRunning})
		return &answerSource{status: http.StatusAccepted, body: body}, err
	}
	return e.awaitOwner(ctx, owner, record)
}

func findLive(registrations []vwstate.Registration, incarnation vwid.Incarnation) *vwstate.Registration {
	for i := range registrations {
		if registrations[i].Incarnation == incarnation && !registrations[i].Ended() {
			return &registrations[i]
		}
	}
	return nil
}
