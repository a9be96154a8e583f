package vwclient_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
)

// step is what a scripted entry does with one attempt.
type step func(request *http.Request) (*http.Response, error)

// script is a transport whose entries follow one list of steps; the last one repeats. It records what
// it got.
type script struct {
	steps  []step
	bodies []string
	hosts  []string
	paths  []string
	times  []time.Time
}

func (s *script) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		body, _ = io.ReadAll(request.Body)
	}
	s.bodies = append(s.bodies, string(body))
	s.hosts = append(s.hosts, request.URL.Host)
	s.paths = append(s.paths, request.Method+" "+request.URL.RequestURI())
	s.times = append(s.times, time.Now())
	next := s.steps[0]
	if len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
	return next(request)
}

func (s *script) settings() vwclient.Settings {
	return vwclient.Settings{Entries: []string{"http://one", "http://two/"}, Transport: s}
}

func respond(status int, contentType, body string) step {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{
			StatusCode: status, Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

func fine(body string) step { return respond(http.StatusOK, "application/json", body) }

func problem(status int, verdict, code string) step {
	return respond(status, vwapi.ProblemType, `{"type":"about:blank","title":"T","Code":"`+code+`","Verdict":"`+verdict+`"}`)
}

// busy is a refusal that asks for a pause.
func busy(header string) step {
	return func(request *http.Request) (*http.Response, error) {
		response, err := problem(http.StatusTooManyRequests, "NotRun", vwapi.CodeQueueFull)(request)
		response.Header.Set("Retry-After", header)
		return response, err
	}
}

// refuse is an attempt without a connection.
func refuse(request *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(request.Context()).GetConn(request.URL.Host)
	return nil, errors.New("connection refused")
}

// drop is an attempt whose connection broke after the request was sent.
func drop(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset") }

// hang is an entry that went silent.
func hang(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// cut is an answer whose body ends early.
func cut(body string) step {
	return func(*http.Request) (*http.Response, error) {
		reader := io.MultiReader(strings.NewReader(body), brokenReader{})
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(reader)}, nil
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
