package vwclient

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// decodeAnswer reads the answer to a job and checks that it is whole and its own. Nil tasks are those
// of a job that another process submitted.
func decodeAnswer(id vwid.SubmissionID, tasks []vwapi.Task, body []byte) (*vwapi.Answer, error) {
	var answer vwapi.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, trace.Wrap(err)
	}
	switch {
	case answer.ID != id:
		return nil, trace.BadParameter("the answer belongs to %q", answer.ID)
	case answer.State == vwapi.StateRunning:
		return &answer, nil
	case answer.State != vwapi.StateComplete:
		return nil, trace.BadParameter("the answer has state %q", answer.State)
	case tasks != nil && len(answer.Results) != len(tasks):
		return nil, trace.BadParameter("the answer has %d results for %d tasks", len(answer.Results), len(tasks))
	}
	for i := range tasks {
		if answer.Results[i].ID != tasks[i].ID {
			return nil, trace.BadParameter("result %d belongs to task %q, not %q", i, answer.Results[i].ID, tasks[i].ID)
		}
	}
	return &answer, nil
}

func decodeRequestAnswer(request vwapi.Request, body []byte) (*vwapi.RequestAnswer, error) {
	var answer vwapi.RequestAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(answer.Result) == 0 {
		return nil, trace.BadParameter("the answer has no result")
	}
	if request.ID != "" && !request.Idempotent && answer.ID != request.ID {
		return nil, trace.BadParameter("the answer belongs to %q", answer.ID)
	}
	return &answer, nil
}
