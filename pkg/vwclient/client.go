package vwclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Client makes the calls of callers. It is safe for concurrent use.
type Client struct {
	sender  *sender
	retries budget
}

// Make returns a client without connections.
func Make(settings Settings) (*Client, error) {
	s, err := makeSender(settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Client{sender: s}, nil
}

// Submit has a job done and returns its whole answer. A submission without an ID gets one, so that it
// can be sent again; a caller that wants to resubmit after its own crash chooses and keeps the ID.
func (c *Client) Submit(ctx context.Context, submission vwapi.Submission) (*vwapi.Answer, error) {
	answer, err := c.post(ctx, "/Jobs", &submission)
	if err != nil {
		return nil, err
	}
	if answer.State == vwapi.StateRunning {
		return c.wait(ctx, submission.ID, submission.Tasks)
	}
	return answer, nil
}

// Start has a job accepted and returns its ID without waiting for the answer. Answer gets it.
func (c *Client) Start(ctx context.Context, submission vwapi.Submission) (vwid.SubmissionID, error) {
	_, err := c.post(ctx, "/Jobs?Wait=false", &submission)
	return submission.ID, err
}

func (c *Client) post(ctx context.Context, path string, submission *vwapi.Submission) (*vwapi.Answer, error) {
	if submission.ID == "" {
		submission.ID = vwid.MakeSubmissionID()
	}
	body, err := json.Marshal(submission)
	if err != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, trace.Wrap(err))
	}
	var answer *vwapi.Answer
	err = c.sender.send(ctx, call{
		method: http.MethodPost, path: path, body: body, repeatable: true,
		decode: func(_ int, body []byte) error {
			answer, err = decodeAnswer(submission.ID, submission.Tasks, body)
			return err
		},
	})
	return answer, err
}

// Answer waits for the answer of a job. After a failure with CodeOwnerLost or CodeUnknownJob, submit
// the job again with the same ID and body; no task starts twice.
func (c *Client) Answer(ctx context.Context, id vwid.SubmissionID) (*vwapi.Answer, error) {
	return c.wait(ctx, id, nil)
}

// waitSeconds is how long one GET waits at the entry. It is below the default of AttemptTimeout.
const waitSeconds = 20

func (c *Client) wait(ctx context.Context, id vwid.SubmissionID, tasks []vwapi.Task) (*vwapi.Answer, error) {
	seconds := min(waitSeconds, c.sender.settings.AttemptTimeout.Seconds()/2)
	path := jobPath(id) + "?WaitSeconds=" + strconv.FormatFloat(seconds, 'f', 3, 64)
	var answer *vwapi.Answer
	for {
		began := time.Now()
		err := c.sender.send(ctx, call{
			method: http.MethodGet, path: path, repeatable: true,
			decode: func(_ int, body []byte) (err error) {
				answer, err = decodeAnswer(id, tasks, body)
				return err
			},
		})
		if err != nil {
			return nil, err
		}
		if answer.State != vwapi.StateRunning {
			return answer, nil
		}
		// An entry that answers early must not be asked in a tight loop.
		due := pauses{next: c.sender.settings.FirstPause, max: c.sender.settings.MaxPause}
		if time.Since(began) < due.next && !due.wait(ctx, 0) {
			return nil, vwverdict.Wrap(vwverdict.MayHaveRun, &ErrUnanswered{Attempts: 1, Err: context.DeadlineExceeded})
		}
	}
}

// Peek returns the answer of a job, or its state while it runs, without waiting for its end.
func (c *Client) Peek(ctx context.Context, id vwid.SubmissionID) (*vwapi.Answer, error) {
	var answer *vwapi.Answer
	err := c.sender.send(ctx, call{
		method: http.MethodGet, path: jobPath(id), repeatable: true,
		decode: func(_ int, body []byte) (err error) {
			answer, err = decodeAnswer(id, nil, body)
			return err
		},
	})
	return answer, err
}

// Cancel stops the tasks of a job that have not started and aborts the running ones.
func (c *Client) Cancel(ctx context.Context, id vwid.SubmissionID) error {
	return c.sender.send(ctx, call{
		method: http.MethodDelete, path: jobPath(id), repeatable: true,
		decode: func(int, []byte) error { return nil },
	})
}

func jobPath(id vwid.SubmissionID) string {
	return "/Jobs/" + url.PathEscape(string(id))
}

// Do makes a single request. After an attempt that may have run it is sent again only when it is
// idempotent, within a retry budget, or has an ID.
func (c *Client) Do(ctx context.Context, request vwapi.Request) (*vwapi.RequestAnswer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, trace.Wrap(err))
	}
	var answer *vwapi.RequestAnswer
	out := call{
		method: http.MethodPost, path: "/Requests", body: body, repeatable: request.Idempotent || request.ID != "",
		decode: func(_ int, body []byte) error {
			answer, err = decodeRequestAnswer(request, body)
			return err
		},
	}
	if request.Idempotent {
		c.retries.deposit()
		out.retries = &c.retries
	}
	err = c.sender.send(ctx, out)
	return answer, err
}
