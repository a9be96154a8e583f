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

// codeUnknownJob tells another entry that this one does not have the job.
const codeUnknownJob = "UnknownJob"

// awaitOwner waits at the owning entry for the answer. Nil without an error means to look again.
func (e *Entry) awaitOwner(ctx context.Context, owner *vwstate.Registration, record *vwstate.Submission) (*reply, error) {
	found, err := e.askOwner(ctx, owner, record)
	if err != nil {
		return nil, nil
	}
	return found, nil
}

func (e *Entry) askOwner(ctx context.Context, owner *vwstate.Registration, record *vwstate.Submission) (*reply, error) {
	session, err := e.peers.Get(ctx, owner.Address)
	if err != nil {
		return nil, err
	}
	request := &vwmessage.AwaitAnswer{SubmissionID: record.SubmissionID, Epoch: record.Epoch}
	answer, err := vwlink.Call[*vwmessage.Answer](ctx, session, request)
	if err != nil {
		return nil, err
	}
	return &reply{status: answer.Status, body: answer.Body}, nil
}

// askEnded gets the answer of a job that control knows to have ended.
func (e *Entry) askEnded(ctx context.Context, owner *vwstate.Registration, record *vwstate.Submission) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	found, err := e.askOwner(ctx, owner, record)
	switch {
	case err == nil:
		return found, nil
	case vwlink.IsRemote(err, codeUnknownJob):
		return nil, refuse(vwapi.CodeAnswerGone, verdictOf(record.Phase), "the job has ended and its answer is no longer kept")
	}
	return nil, refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "the job has ended, and the entry that has its answer does not answer: "+reasonOf(err))
}

// awaitAnswer serves another entry that joins a job of this one.
func (e *Entry) awaitAnswer(request *vwmessage.AwaitAnswer, answer vwlink.Reply) {
	j := e.jobs[request.SubmissionID]
	if j == nil || j.lost || j.Epoch() != request.Epoch {
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
		if body.Len() > maxForwarded {
			status, body = writeTooLong(j)
		}
		answer(&vwmessage.Answer{SubmissionID: j.SubmissionID, Status: status, Body: body.Bytes()}, err)
	})
}

// maxForwarded bounds an answer that another entry forwards. It leaves room in a message for the other fields.
const maxForwarded = vwmessage.MaxEnvelope - 64<<10

// writeTooLong returns the document in place of an answer that no message can hold. The caller has to
// reach this entry, which writes answers of any length.
func writeTooLong(j *job) (int, bytes.Buffer) {
	var body bytes.Buffer
	problem := problemOf(refuse(vwapi.CodeUnavailable, vwverdict.Ran, "the answer is too long to come through another entry; ask again at the other entries"), j.SubmissionID)
	_ = json.NewEncoder(&body).Encode(problem)
	return problem.Status, body
}

// release gives up a submission that control believes to be here. The record got into the log after
// this entry had given up waiting, or the answer was dropped; another entry may take it over.
func (e *Entry) release(request *vwmessage.AwaitAnswer) {
	if e.accepting[request.SubmissionID] > 0 || e.releasing[request.SubmissionID] || e.isLost() {
		return
	}
	e.releasing[request.SubmissionID] = true
	command := vwstate.Command{Release: &vwstate.Release{SubmissionID: request.SubmissionID, Epoch: request.Epoch, Owner: e.incarnation}}
	e.group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := vweditor.Propose(ctx, e.control, command); err != nil {
			e.log.Warn("submission not released", "submission", string(request.SubmissionID), "error", err)
		}
		e.post(func() { delete(e.releasing, request.SubmissionID) })
	})
}
