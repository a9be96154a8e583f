package vwloadtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
)

// wastedMetric is summed over its labels and over all metrics pages.
const wastedMetric = "vanillawind_messages_wasted_total"

// httpStandIns reaches stand-ins and metrics pages over HTTP.
type httpStandIns struct {
	client   *http.Client
	scenario Scenario
}

// Records implements StandIns.
func (s *httpStandIns) Records(ctx context.Context) ([]vwstandin.Record, error) {
	records := make([]vwstandin.Record, len(s.scenario.Backends))
	failures := make([]error, len(records))
	for index, address := range s.scenario.Backends {
		records[index], failures[index] = vwstandin.Fetch(ctx, s.client, address)
	}
	return records, trace.NewAggregate(failures...)
}

// Change implements StandIns.
func (s *httpStandIns) Change(ctx context.Context, change Change) error {
	address := s.scenario.Backends[change.Backend]
	if change.Action == ActionBehave {
		behaviour := vwstandin.Behaviour{Mode: change.Mode, ExtraMillis: change.ExtraMillis}
		return s.send(ctx, http.MethodPut, address+"/Behaviour", behaviour)
	}
	return s.send(ctx, http.MethodPost, address+"/"+string(change.Action), nil)
}

// Delay implements StandIns. It asks for the start records behind the last one.
func (s *httpStandIns) Delay(ctx context.Context) (time.Duration, error) {
	begin := time.Now()
	_, err := s.get(ctx, s.scenario.Backends[0]+"/Starts?From="+strconv.Itoa(1<<31))
	return time.Since(begin), trace.Wrap(err)
}

// Wasted implements StandIns.
func (s *httpStandIns) Wasted(ctx context.Context) *float64 {
	if len(s.scenario.Metrics) == 0 {
		return nil
	}
	sum, found := 0.0, false
	for _, url := range s.scenario.Metrics {
		text, err := s.get(ctx, url)
		if err != nil {
			return nil
		}
		value, ok := sumMetric(text, wastedMetric)
		sum, found = sum+value, found || ok
	}
	if !found {
		return nil
	}
	return &sum
}

// sumMetric adds the samples of a metric in the Prometheus text format.
func sumMetric(text []byte, name string) (sum float64, found bool) {
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		rest, ok := strings.CutPrefix(scanner.Text(), name)
		if !ok || (!strings.HasPrefix(rest, "{") && !strings.HasPrefix(rest, " ")) {
			continue
		}
		value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		if err == nil {
			sum, found = sum+value, true
		}
	}
	return sum, found
}

func (s *httpStandIns) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return s.do(request)
}

func (s *httpStandIns) send(ctx context.Context, method, url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	_, err = s.do(request)
	return trace.Wrap(err)
}

func (s *httpStandIns) do(request *http.Request) ([]byte, error) {
	response, err := s.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode/100 != 2 {
		return nil, trace.Errorf("%s %s: %s", request.Method, request.URL, response.Status)
	}
	return content, nil
}
