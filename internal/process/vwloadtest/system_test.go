package vwloadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// fault is how a testSystem breaks a promise.
type fault string

const (
	faultNone      fault = ""
	faultDuplicate fault = "starts each task twice"
	faultPartial   fault = "leaves out the last result"
	faultSwapped   fault = "swaps two results"
	faultInvented  fault = "answers without running"
	faultLying     fault = "says NotRun after running"
	faultIgnoring  fault = "starts in a data centre that is out"
	faultSilent    fault = "never answers"
	faultStalling  fault = "stands still for its first second"
	faultSlow      fault = "waits before each task"
)

// testSystem is a dispatcher with one queue over all slots, behind the HTTP interfaces.
type testSystem struct {
	fault    fault
	begin    time.Time
	backends map[string]*vwstandin.Backend

	mu     sync.Mutex
	slots  chan *vwstandin.Backend
	parked []*vwstandin.Backend
	out    vwid.DataCentre
}

func makeTestSystem(broken fault) *testSystem {
	s := &testSystem{fault: broken, begin: time.Now(), backends: map[string]*vwstandin.Backend{}, slots: make(chan *vwstandin.Backend, 64)}
	for index, dataCentre := range []vwid.DataCentre{"north", "south"} {
		backend := vwstandin.MakeBackend(vwstandin.Config{
			Worker: vwid.Process(fmt.Sprintf("w%d", index)), DataCentre: dataCentre, Service: "muotoilu", Slots: 8,
		})
		s.backends[fmt.Sprintf("b%d", index)] = backend
		for range 8 {
			s.slots <- backend
		}
	}
	return s
}

// RoundTrip implements http.RoundTripper without a network.
func (s *testSystem) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	if backend := s.backends[request.URL.Host]; backend != nil {
		backend.ServeHTTP(recorder, request)
	} else {
		s.serveEntry(recorder, request)
	}
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

func (s *testSystem) serveEntry(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/metrics":
		_, _ = fmt.Fprintf(writer, "# HELP x\n%s{kind=\"a\"} 3\n%s{kind=\"b\"} 4\n%sx 9\n", wastedMetric, wastedMetric, wastedMetric)
	case request.URL.Path == "/Jobs":
		s.serveJob(writer, request)
	case request.URL.Path == "/Requests":
		s.serveRequest(writer, request)
	case strings.HasPrefix(request.URL.Path, "/DataCentres/"):
		s.move(strings.Split(request.URL.Path, "/"))
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (s *testSystem) move(path []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = ""
	if path[3] == "Out" && s.fault != faultIgnoring {
		s.out = vwid.DataCentre(path[2])
		return
	}
	for _, backend := range s.parked {
		s.slots <- backend
	}
	s.parked = nil
}

func (s *testSystem) serveJob(writer http.ResponseWriter, request *http.Request) {
	var job vwapi.Submission
	_ = json.NewDecoder(request.Body).Decode(&job)
	if s.fault == faultSilent {
		<-request.Context().Done()
		return
	}
	if s.fault == faultStalling {
		_ = sleepUntil(request.Context(), s.begin.Add(time.Second))
	}
	answer := vwapi.Answer{ID: job.ID, State: vwapi.StateComplete, Results: make([]vwapi.Result, len(job.Tasks))}
	group := vwgroup.Make(request.Context())
	for index, task := range job.Tasks {
		group.Run(func(ctx context.Context) {
			answer.Results[index] = vwapi.Result{ID: task.ID, Result: s.runTask(ctx, job.ID, task)}
		})
	}
	_ = group.Wait()
	if s.fault == faultLying {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(vwapi.Problem{Code: vwapi.CodeUnavailable, Verdict: vwverdict.NotRun})
		return
	}
	_ = json.NewEncoder(writer).Encode(s.spoil(answer))
}

func (s *testSystem) spoil(answer vwapi.Answer) vwapi.Answer {
	last := len(answer.Results) - 1
	switch {
	case s.fault == faultPartial:
		answer.Results = answer.Results[:last]
	case s.fault == faultSwapped && last > 0:
		answer.Results[0].Result, answer.Results[last].Result = answer.Results[last].Result, answer.Results[0].Result
	}
	return answer
}

func (s *testSystem) serveRequest(writer http.ResponseWriter, request *http.Request) {
	var single vwapi.Request
	_ = json.NewDecoder(request.Body).Decode(&single)
	result := s.runTask(request.Context(), single.ID, vwapi.Task{ID: "Request", Payload: single.Payload})
	_ = json.NewEncoder(writer).Encode(vwapi.RequestAnswer{ID: single.ID, Result: result})
}

func (s *testSystem) runTask(ctx context.Context, id vwid.SubmissionID, task vwapi.Task) json.RawMessage {
	if s.fault == faultInvented {
		var payload vwstandin.Payload
		_ = json.Unmarshal(task.Payload, &payload)
		return payload.Echo
	}
	if s.fault == faultSlow {
		_ = vwgroup.Sleep(ctx, time.Second)
	}
	backend := s.takeSlot()
	defer func() { s.slots <- backend }()
	recorder := httptest.NewRecorder()
	for range map[bool]int{false: 1, true: 2}[s.fault == faultDuplicate] {
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/Tasks/muotoilu", strings.NewReader(string(task.Payload)))
		request.Header.Set("Submission-Id", string(id))
		request.Header.Set("Task-Id", string(task.ID))
		recorder = httptest.NewRecorder()
		backend.ServeHTTP(recorder, request)
	}
	return recorder.Body.Bytes()
}

func (s *testSystem) takeSlot() *vwstandin.Backend {
	for {
		backend := <-s.slots
		s.mu.Lock()
		out := backend.Starts().DataCentre == s.out
		if out {
			s.parked = append(s.parked, backend)
		}
		s.mu.Unlock()
		if !out {
			return backend
		}
	}
}

func (s *testSystem) tester(scenario Scenario) Tester {
	client := &http.Client{Transport: s}
	return Tester{
		Target:   &httpTarget{client: client, entries: scenario.Entries, operators: scenario.Operators},
		StandIns: &httpStandIns{client: client, scenario: scenario},
	}
}
