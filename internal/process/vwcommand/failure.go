package vwcommand

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// FailureReport is the result of a call that failed.
type FailureReport struct {
	Verdict vwverdict.Verdict
	Message string
	// Problem is what the entry answered; it is missing when no entry answered.
	Problem *vwapi.Problem `json:",omitempty"`
}

var verdictTexts = map[vwverdict.Verdict]string{
	vwverdict.NotRun:     "nothing has run or changed",
	vwverdict.MayHaveRun: "it may have run, wholly or in part",
	vwverdict.Ran:        "it has run",
}

// Lines implements Report. The message itself goes to the standard error.
func (r FailureReport) Lines() []string {
	lines := []string{"verdict: " + r.Verdict.String() + ": " + verdictTexts[r.Verdict]}
	if r.Problem == nil {
		return lines
	}
	for _, task := range r.Problem.FailedTasks {
		lines = append(lines, fmt.Sprintf("task %s: %s: %s", task.ID, task.Verdict, task.Message))
	}
	return lines
}

// writeFailure writes what is known about a failed call, and returns err for the exit code.
func writeFailure(output Output, err error) error {
	report := FailureReport{Verdict: vwverdict.Of(err), Message: Message(err)}
	var refused *vwclient.ErrRefused
	if errors.As(err, &refused) {
		report.Problem = refused.Problem
	}
	if failed := output.Write(report); failed != nil {
		return trace.Wrap(failed)
	}
	return trace.Wrap(err)
}

// readError returns the error of a call that only reads. Its verdict says nothing, because there is
// nothing that may have run.
func readError(err error) error {
	if err == nil {
		return nil
	}
	var marked *vwverdict.Error
	if errors.As(err, &marked) {
		err = marked.Err
	}
	return trace.Errorf("%s", Message(err))
}
