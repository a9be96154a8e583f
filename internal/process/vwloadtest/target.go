package vwloadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Target is the system under test as its callers and operators see it. Entries are numbered from 0
// and wrap around.
type Target interface {
	Submit(ctx context.Context, entry int, submission vwapi.Submission) Reply
	Request(ctx context.Context, entry int, request vwapi.Request) Reply
	Cancel(ctx context.Context, entry int, id vwid.SubmissionID) error
	// Move takes a data centre out of service or back in and returns when that is accepted.
	Move(ctx context.Context, dataCentre vwid.DataCentre, action Action) error
	// Delay measures the network delay of one call from a caller to an entry and back.
	Delay(ctx context.Context) (time.Duration, error)
}

// Reply is the answer to one attempt.
type Reply struct {
	// Err is set when no HTTP answer came.
	Err     error
	Status  int
	Results []vwapi.Result
	Problem *vwapi.Problem
}

// complete reports whether the answer claims to be whole.
func (r Reply) complete() bool {
	return r.Err == nil && r.Status == http.StatusOK
}

// pending reports whether a caller should ask again with the same id.
func (r Reply) pending() bool {
	if r.Err != nil || r.Status == http.StatusAccepted {
		return true
	}
	return r.Problem != nil && (r.Problem.Code == vwapi.CodeOwnerLost || r.Problem.Code == vwapi.CodeStillRunning)
}

func (r Reply) verdict() vwverdict.Verdict {
	if r.Problem == nil {
		return vwverdict.MayHaveRun
	}
	return r.Problem.Verdict
}

// maxIdleConnections is above the connections that a burst leaves open, so that the next one does
// not measure new TCP connections.
const maxIdleConnections = 4096

// httpTarget drives the HTTP interfaces.
type httpTarget struct {
	client    *http.Client
	entries   []string
	operators []string
}

func makeHTTPTarget(scenario Scenario) *httpTarget {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &httpTarget{client: &http.Client{Transport: transport}, entries: scenario.Entries, operators: scenario.Operators}
}

// Submit implements Target.
func (t *httpTarget) Submit(ctx context.Context, entry int, submission vwapi.Submission) Reply {
	var answer vwapi.Answer
	reply := t.call(ctx, http.MethodPost, t.entry(entry)+"/Jobs", submission, &answer)
	reply.Results = answer.Results
	return reply
}

// Request implements Target.
func (t *httpTarget) Request(ctx context.Context, entry int, request vwapi.Request) Reply {
	var answer vwapi.RequestAnswer
	reply := t.call(ctx, http.MethodPost, t.entry(entry)+"/Requests", request, &answer)
	if reply.complete() {
		reply.Results = []vwapi.Result{{Result: answer.Result}}
	}
	return reply
}

// Cancel implements Target.
func (t *httpTarget) Cancel(ctx context.Context, entry int, id vwid.SubmissionID) error {
	return t.order(ctx, http.MethodDelete, t.entry(entry)+"/Jobs/"+string(id), nil)
}

// Move implements Target. It tries each operators' address with the same change id, so that a lost
// reply does not make two changes.
func (t *httpTarget) Move(ctx context.Context, dataCentre vwid.DataCentre, action Action) error {
	order := vwapi.DataCentreOrder{ChangeID: vwid.MakeChangeID(), By: "load test"}
	var err error = trace.BadParameter("there is no operators' address")
	for _, address := range t.operators {
		path := address + "/DataCentres/" + string(dataCentre) + "/" + string(action)
		if err = t.order(ctx, http.MethodPost, path, order); err == nil {
			return nil
		}
	}
	return err
}

// Delay implements Target. The entry answers an unknown path without any other work.
func (t *httpTarget) Delay(ctx context.Context) (time.Duration, error) {
	begin := time.Now()
	reply := t.call(ctx, http.MethodGet, t.entry(0)+"/Delay", nil, nil)
	return time.Since(begin), trace.Wrap(reply.Err)
}

func (t *httpTarget) entry(index int) string {
	return t.entries[index%len(t.entries)]
}

func (t *httpTarget) order(ctx context.Context, method, url string, body any) error {
	reply := t.call(ctx, method, url, body, nil)
	if reply.Err != nil {
		return trace.Wrap(reply.Err)
	}
	if reply.Status/100 != 2 {
		return trace.Errorf("%s %s: status %d: %v", method, url, reply.Status, reply.Problem)
	}
	return nil
}

// call sends body and reads a successful answer into answer or another one into a problem.
func (t *httpTarget) call(ctx context.Context, method, url string, body, answer any) Reply {
	text, err := json.Marshal(body)
	if err != nil {
		return Reply{Err: trace.Wrap(err)}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return Reply{Err: trace.Wrap(err)}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err != nil {
		return Reply{Err: trace.Wrap(err)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Err: trace.Wrap(err)}
	}
	return parseReply(response, content, answer)
}

func parseReply(response *http.Response, content []byte, answer any) Reply {
	reply := Reply{Status: response.StatusCode}
	if response.StatusCode < http.StatusBadRequest {
		if answer != nil && len(content) > 0 {
			reply.Err = trace.Wrap(json.Unmarshal(content, answer))
		}
		return reply
	}
	var problem vwapi.Problem
	if json.Unmarshal(content, &problem) == nil && problem.Code != "" {
		reply.Problem = &problem
	}
	return reply
}
