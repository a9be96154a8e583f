package vwcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Caller holds the commands of callers.
type Caller struct {
	Client *vwclient.Client
	Output Output
	// Progress is where a command tells what it waits for.
	Progress io.Writer
}

// progressInterval is how often a waiting command says so.
const progressInterval = 5 * time.Second

// AnswerReport is the answer to a job, or its state.
type AnswerReport vwapi.Answer

// Lines implements Report.
func (r AnswerReport) Lines() []string {
	lines := []string{fmt.Sprintf("job %s: %s", r.ID, r.State)}
	for _, result := range r.Results {
		lines = append(lines, fmt.Sprintf("task %s: %s", result.ID, result.Result))
	}
	return lines
}

// Submit sends the submission in a file, "-" for the standard input, and writes its answer. Without
// wait it writes the state of the accepted job.
func (c Caller) Submit(ctx context.Context, path string, input io.Reader, wait bool) error {
	submission, err := readSubmission(path, input)
	if err != nil {
		return err
	}
	if submission.ID == "" {
		submission.ID = vwid.MakeSubmissionID()
	}
	c.tell("job %s: sending %s", submission.ID, count(len(submission.Tasks), "task"))
	if !wait {
		if _, err := c.Client.Start(ctx, submission); err != nil {
			return writeFailure(c.Output, err)
		}
		return c.Output.Write(AnswerReport{ID: submission.ID, State: vwapi.StateRunning})
	}
	return c.write(ctx, submission.ID, func(ctx context.Context) (*vwapi.Answer, error) { return c.Client.Submit(ctx, submission) })
}

// Show writes the answer of a job or its state. With wait it waits for the answer.
func (c Caller) Show(ctx context.Context, id vwid.SubmissionID, wait bool) error {
	call := c.Client.Peek
	if wait {
		call = c.Client.Answer
	}
	return c.write(ctx, id, func(ctx context.Context) (*vwapi.Answer, error) { return call(ctx, id) })
}

// Cancel cancels a job.
func (c Caller) Cancel(ctx context.Context, id vwid.SubmissionID) error {
	if err := c.Client.Cancel(ctx, id); err != nil {
		return writeFailure(c.Output, err)
	}
	return c.Output.Write(CancelReport{ID: id, Cancelled: true})
}

// CancelReport is the result of a cancellation.
type CancelReport struct {
	ID        vwid.SubmissionID
	Cancelled bool
}

// Lines implements Report.
func (r CancelReport) Lines() []string {
	return []string{fmt.Sprintf("job %s: cancelled, unless it had ended before", r.ID)}
}

// write waits for an answer, tells that it waits, and writes it.
func (c Caller) write(ctx context.Context, id vwid.SubmissionID, call func(context.Context) (*vwapi.Answer, error)) error {
	telling := vwgroup.Make(ctx)
	telling.Run(func(ctx context.Context) { c.tellWaiting(ctx, id) })
	answer, err := call(ctx)
	_ = telling.Stop()
	if err != nil {
		return writeFailure(c.Output, err)
	}
	return c.Output.Write(AnswerReport(*answer))
}

func (c Caller) tellWaiting(ctx context.Context, id vwid.SubmissionID) {
	began := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tell("job %s: waiting for the answer, %s so far", id, time.Since(began).Round(time.Second))
		}
	}
}

func (c Caller) tell(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Progress, format+"\n", args...)
}

func readSubmission(path string, input io.Reader) (vwapi.Submission, error) {
	var submission vwapi.Submission
	if path != "-" {
		file, err := os.Open(path) // #nosec G304 -- the caller names the file
		if err != nil {
			return submission, trace.ConvertSystemError(err)
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	decoder := json.NewDecoder(input)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&submission); err != nil {
		return submission, trace.Wrap(ErrRefused{Message: path + " is no submission: " + err.Error()})
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return submission, trace.Wrap(ErrRefused{Message: path + " goes on after the submission"})
	}
	return submission, nil
}
