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
	// proposeTimeout is above the time in which control elects a new leader.
	proposeTimeout = 4 * time.Second
	// lookAgainInterval spaces the attempts to reach the owner of a submission.
	lookAgainInterval = 200 * time.Millisecond
)

// submission is a parsed and checked submission.
type submission struct {
	spec   vwjob.Spec
	digest string
	// given tells that the caller chose the id, so that other calls may carry it too.
	given bool
	// start tells that the caller does not wait for the answer.
	start bool
}

// refuse returns an error that becomes a problem document.
func refuse(code string, verdict vwverdict.Verdict, message string) error {
	return vwverdict.Wrap(verdict, &vwapi.Problem{Code: code, Title: vwapi.TitleOf(code), Detail: message, Verdict: verdict})
}

// submit accepts a submission, joins the job that already has its id, or takes that job over.
// It returns as soon as the job is known; the answer may be pending.
func (e *Entry) submit(ctx context.Context, s submission) (*reply, error) {
	found, err := e.submitOnce(ctx, s)
	if err != nil {
		err = e.confirmNotRun(ctx, s, err)
		e.record(vwevent.Event{Kind: vwevent.SubmissionRefused, SubmissionID: s.spec.SubmissionID, Verdict: vwverdict.Of(err).String(), Message: err.Error()})
	}
	return found, err
}

func (e *Entry) submitOnce(ctx context.Context, s submission) (*reply, error) {
	known, err := askError(ctx, e, func() (*job, error) { return e.findJob(s) })
	if err != nil {
		return nil, err
	}
	if known != nil {
		return &reply{job: known}, nil
	}
	if err := askOnly(ctx, e, func() error { return e.admit(s) }); err != nil {
		return nil, err
	}
	defer e.post(func() { e.removeAccepting(s.spec.SubmissionID) })
	outcome, err := e.accept(ctx, s)
	if err != nil {
		return nil, err
	}
	switch outcome.Refusal {
	case vwstate.RefusalNone:
		return e.begin(ctx, s, outcome.Submission)
	case vwstate.RefusalExists:
		return e.join(ctx, s, outcome.Submission)
	}
	return nil, e.explain(outcome.Refusal)
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
		// Even when the record gets into the log later, this entry starts nothing for it, and a resubmission
		// takes the empty job over. An earlier call with the same id may have started it.
		verdict := vwverdict.NotRun
		if s.given {
			verdict = vwverdict.MayHaveRun
		}
		return outcome, refuse(vwapi.CodeUnavailable, verdict, "control did not accept the submission: "+reasonOf(err))
	}
	observe(e.observer.Accepted, time.Since(begun))
	return outcome, nil
}

// confirmNotRun returns a refusal with the verdict that holds for the id. It may say NotRun about an id that
// the caller chose only when control has no record of an earlier call with it. A conflict speaks of the
// body, which has not run.
func (e *Entry) confirmNotRun(ctx context.Context, s submission, refusal error) error {
	problem := problemOf(refusal, s.spec.SubmissionID)
	if !s.given || problem.Verdict != vwverdict.NotRun || problem.Code == vwapi.CodeConflict {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	view, err := e.control.Read(ctx, vwstate.Query{SubmissionID: s.spec.SubmissionID})
	if err == nil && view.Submission == nil {
		return refusal
	}
	return refuse(problem.Code, vwverdict.MayHaveRun, problem.Detail+"; an earlier call with the same id may have run")
}

func (e *Entry) explain(refusal vwstate.Refusal) error {
	switch refusal {
	case vwstate.RefusalConflict:
		return refuse(vwapi.CodeConflict, vwverdict.NotRun, "the submission id was used for a submission with another body; this body has not run")
	case vwstate.RefusalTooOld:
		return refuse(vwapi.CodeTooOld, vwverdict.MayHaveRun, "the submission id is older than the retention, so an earlier submission with it may have been forgotten")
	case vwstate.RefusalTooNew:
		return refuse(vwapi.CodeTooNew, vwverdict.NotRun, "the time inside the submission id is in the future")
	case vwstate.RefusalNotRegistered:
		return refuse(vwapi.CodeUnavailable, vwverdict.NotRun, "this entry's registration has ended; use another entry")
	}
	return refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "control refused with "+string(refusal))
}

// findJob returns the job with the submission's id when this entry has it.
func (e *Entry) findJob(s submission) (*job, error) {
	j := e.jobs[s.spec.SubmissionID]
	if j == nil || j.lost {
		return nil, nil
	}
	if j.digest != s.digest {
		return nil, e.explain(vwstate.RefusalConflict)
	}
	if j.hasNotRun() {
		// Nothing of it ran, so it may be tried anew.
		return nil, nil
	}
	return j, nil
}

// admit checks a submission and notes that control is asked about it.
func (e *Entry) admit(s submission) error {
	if err := e.check(s); err != nil {
		return err
	}
	e.accepting[s.spec.SubmissionID]++
	return nil
}

// check refuses what can be refused without control.
func (e *Entry) check(s submission) error {
	spec := &s.spec
	switch {
	case e.stopping:
		return refuse(vwapi.CodeStopping, vwverdict.NotRun, "this entry is stopping; use another entry")
	case !e.registered || !e.holder.Fresh(time.Now()):
		return refuse(vwapi.CodeUnavailable, vwverdict.NotRun, "this entry has no configuration lease; use another entry or try again")
	case !e.rules.AllowsService(spec.Service):
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, "no rule declares service "+quote(spec.Service))
	case !e.rules.AllowsTeam(spec.Team):
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, "no rule declares team "+quote(spec.Team))
	case len(e.rules.Services()) == 0 && !e.offers(spec.Service):
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, "no worker offers service "+quote(spec.Service))
	}
	policy := e.rules.Team(spec.Service, spec.Team)
	if most := mostTasks(policy); most > 0 && len(spec.Tasks) > most {
		return refuse(vwapi.CodeNeverRuns, vwverdict.NotRun, fmt.Sprintf("the job has %d tasks; the rules allow the team at most %d at a time", len(spec.Tasks), most))
	}
	if timeout := time.Until(spec.Deadline); !spec.Deadline.IsZero() && policy.Deadlines.Maximum > 0 && timeout > policy.Deadlines.Maximum {
		return refuse(vwapi.CodeInvalid, vwverdict.NotRun, "the timeout exceeds the maximum of "+policy.Deadlines.Maximum.String()+" for the team")
	}
	return nil
}

// mostTasks returns how many tasks the rules allow a team in the whole cluster, 0 without a bound. A
// larger job would be refused by every full and every empty queue.
func mostTasks(policy vwrule.TeamPolicy) int {
	most := policy.Limits.QueueLength
	if inFlight := policy.Limits.InFlight; inFlight > 0 && (most == 0 || inFlight < most) {
		most = inFlight
	}
	return most
}

// removeAccepting ends the time in which a record of control without a job here is no sign of a loss.
func (e *Entry) removeAccepting(id vwid.SubmissionID) {
	if e.accepting[id]--; e.accepting[id] <= 0 {
		delete(e.accepting, id)
	}
}

func (e *Entry) offers(service vwid.Service) bool {
	for _, w := range e.workers {
		if w.Service == service {
			return true
		}
	}
	return false
}

func quote[T ~string](name T) string {
	return "\"" + string(name) + "\""
}

// begin starts a job that control has just accepted.
func (e *Entry) begin(ctx context.Context, s submission, record *vwstate.Submission) (*reply, error) {
	j, err := makeJob(s.spec, record.Epoch, s.digest, true)
	if err != nil {
		return nil, err
	}
	return askError(ctx, e, func() (*reply, error) {
		j.acceptance = record.Acceptance
		e.applyDefaultDeadline(j)
		e.adopt(j)
		e.recordJob(vwevent.SubmissionAccepted, j)
		if err := e.enqueue(time.Now(), j); err != nil {
			code, message := limitCode(err), reasonOf(err)
			e.failJob(j, code, message)
		}
		return &reply{job: j}, nil
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

func limitCode(err error) string {
	var limit vwdispatch.ErrLimit
	switch {
	case vwdispatch.IsDeadline(err):
		return vwapi.CodeDeadline
	case errors.As(err, &limit) && limit.Limit == vwdispatch.LimitTeamRate:
		return vwapi.CodeRateLimited
	}
	return vwapi.CodeQueueFull
}

// join attaches to a job that control already knows: at its owner, or by a takeover when the owner
// is gone.
func (e *Entry) join(ctx context.Context, s submission, record *vwstate.Submission) (*reply, error) {
	for {
		found, err := e.joinOnce(ctx, s, record)
		if found != nil || err != nil {
			return found, err
		}
		if err := vwgroup.Sleep(ctx, lookAgainInterval); err != nil {
			return nil, refuse(vwapi.CodeStillRunning, vwverdict.MayHaveRun, "the owner of the submission cannot be reached yet; ask again")
		}
		view, err := e.control.Read(ctx, vwstate.Query{SubmissionID: s.spec.SubmissionID})
		if err != nil {
			continue
		}
		if view.Submission == nil {
			// The owner refused it as not run and control has forgotten it.
			return e.submit(ctx, s)
		}
		record = view.Submission
	}
}

// joinOnce makes one attempt; nil without an error means to look again.
func (e *Entry) joinOnce(ctx context.Context, s submission, record *vwstate.Submission) (*reply, error) {
	if record.Owner == e.incarnation {
		known, err := askError(ctx, e, func() (*job, error) { return e.findJob(s) })
		if err != nil {
			return nil, err
		}
		if known != nil {
			return &reply{job: known}, nil
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
	if s.start {
		body, err := json.Marshal(vwapi.Answer{ID: record.SubmissionID, State: vwapi.StateRunning})
		return &reply{status: http.StatusAccepted, body: body}, err
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
