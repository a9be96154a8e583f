package vwentry

import (
	"bytes"
	"context"
	"encoding/json"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// codeUnknownJob is the error code sent to another entry that asks for a job that this one does not have.
const codeUnknownJob = "UnknownJob"

// awaitOwner waits for the answer of the owning entry. A nil result without an error means that the caller
// must read the record again.
func (e *Entry) awaitOwner(ctx context.Context, owner *vwstate.Registration, record *vwstate.Submission) (*answerSource, error) {
	source, err := e.fetchAnswer(ctx, owner, record)
	if err != nil {
		return nil, nil
	}
	return source, nil
}

func (e *Entry) fetchAnswer(ctx context.Context, owner *vwstate.Registration, record *vwstate.Submission) (*answerSource, error) {
	session, err := e.peers.Get(ctx, owner.Address)
	if err != nil {
		return nil, err
	}
	request := &vwmessage.AwaitAnswer{SubmissionID: record.SubmissionID, Epoch: record.Epoch}
	answer, err := vwlink.Call[*vwmessage.Answer](ctx, session, request)
	if err != nil {
		return nil, err
	}
	return &answerSource{status: answer.Status, body: answer.Body}, nil
}

// fetchEndedAnswer fetches the answer of a job that has ended according to control.
func (e *Entry) fetchEndedAnswer(ctx context.Context, owner *vwstate.Registration, record *vwstate.Submission) (*answerSource, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	source, err := e.fetchAnswer(ctx, owner, record)
	switch {
	case err == nil:
		return source, nil
	case vwlink.IsRemote(err, codeUnknownJob):
		return nil, refuse(vwapi.CodeAnswerGone, verdictOfPhase(record.Phase), "the job has ended and its answer is no longer kept")
	}
	return nil, refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "the job has ended, and the entry that has its answer does not answer: "+reasonOf(err))
}

// serveAwaitAnswer replies to another entry that joins a job of this one, once the job has ended.
func (e *Entry) serveAwaitAnswer(request *vwmessage.AwaitAnswer, answer vwlink.Reply) {
	j := e.jobs[request.SubmissionID]
	if j == nil || j.ownershipLost || j.Epoch() != request.Epoch {
		e.release(request)
		answer(nil, vwverdict.Wrap(vwverdict.NotRun, &vwlink.ErrRemote{Code: codeUnknownJob, Message: "the entry does not have the job"}))
		return
	}
	e.group.Run(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-j.done:
		}
		var body bytes.Buffer
		status, err := writeAnswer(&body, j)
		if body.Len() > maxForwardedBytes {
			status, body = writeTooLongProblem(j)
		}
		answer(&vwmessage.Answer{SubmissionID: j.SubmissionID, Status: status, Body: body.Bytes()}, err)
	})
}

// maxForwardedBytes bounds an answer that another entry forwards. It leaves room in a message for the other fields.
const maxForwardedBytes = vwmessage.MaxEnvelope - 64<<10

// writeTooLongProblem returns the problem document that replaces an answer too long for a message. The caller
// must ask this entry directly, which streams answers of any length.
func writeTooLongProblem(j *job) (int, bytes.Buffer) {
	var body bytes.Buffer
	problem := problemOf(refuse(vwapi.CodeUnavailable, vwverdict.Ran, "the answer is too long to come through another entry; ask again at the other entries"), j.SubmissionID)
	_ = json.NewEncoder(&body).Encode(problem)
	return problem.Status, body
}

// release gives up a submission that this entry owns according to control but has no job for: the record was
// committed after this entry had stopped waiting for it, or the answer was dropped. Another entry may then
// take it over.
func (e *Entry) release(request *vwmessage.AwaitAnswer) {
	if e.pendingAccepts[request.SubmissionID] > 0 || e.pendingReleases[request.SubmissionID] || e.hasLostRegistration() {
		return
	}
	e.pendingReleases[request.SubmissionID] = true
	command := vwstate.Command{Release: &vwstate.Release{SubmissionID: request.SubmissionID, Epoch: request.Epoch, Owner: e.incarnation}}
	e.group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := vweditor.Propose(ctx, e.control, command); err != nil {
			e.log.Warn("submission not released", "submission", string(request.SubmissionID), "error", err)
		}
		e.post(func() { delete(e.pendingReleases, request.SubmissionID) })
	})
}
