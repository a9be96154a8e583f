package vwentry

import (
	"bytes"
	"context"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// codeUnknownJob tells another entry that this one does not have the job.
const codeUnknownJob = "UnknownJob"

// awaitOwner waits at the owning entry for the answer. Nil without an error means to look again.
func (e *Entry) awaitOwner(ctx context.Context, owner *vwstate.Registration, record *vwstate.Submission) (*reply, error) {
	session, err := e.peers.Get(ctx, owner.Address)
	if err != nil {
		return nil, nil
	}
	request := &vwmessage.AwaitAnswer{SubmissionID: record.SubmissionID, Epoch: record.Epoch}
	answer, err := vwlink.Call[*vwmessage.Answer](ctx, session, request)
	if err != nil {
		return nil, nil
	}
	return &reply{status: answer.Status, body: answer.Body}, nil
}

// awaitAnswer serves another entry that joins a job of this one.
func (e *Entry) awaitAnswer(request *vwmessage.AwaitAnswer, answer vwlink.Reply) {
	j := e.jobs[request.SubmissionID]
	if j == nil || j.Epoch() != request.Epoch {
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
		answer(&vwmessage.Answer{SubmissionID: j.SubmissionID, Status: status, Body: body.Bytes()}, err)
	})
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
		if _, err := e.propose(ctx, command); err != nil {
			e.log.Warn("submission not released", "submission", string(request.SubmissionID), "error", err)
		}
		e.post(func() { delete(e.releasing, request.SubmissionID) })
	})
}
