//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// answer is the response to a call. Its status is zero without a response.
type answer struct {
	status int
	body   string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no response: " + a.body
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
}

// call sends one request on a channel of its own and waits for the response at most for the timeout.
func (s *stage) call(ctx context.Context, method, address, path, host, body string, timeout time.Duration, headers ...string) answer {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{body: err.Error()}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	for at := 0; at+1 < len(headers); at += 2 {
		request.Header.Set(headers[at], headers[at+1])
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer{body: "after " + timeout.String() + " at most"}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{status: response.StatusCode, body: string(text)}
}

// order sends an order of the operator to machines in turn until it gets a clear response: it moves on after a failure, a
// 5xx, a 408 or 429, or a second without a response.
func (s *stage) order(ctx context.Context, name, body string, machines []*machine) int {
	method, path, _ := strings.Cut(name, " ")
	pause := 100 * time.Millisecond
	for at := 0; ctx.Err() == nil; at++ {
		m := machines[at%len(machines)]
		s.record.write("operator", "sends %s to %s", path, m.name)
		a := s.call(ctx, method, s.address(m, portControl), path, "", body, time.Second)
		s.record.write("operator", "%s at %s: %v", path, m.name, a)
		if a.status != 0 && a.status < 500 && a.status != http.StatusRequestTimeout && a.status != http.StatusTooManyRequests {
			return a.status
		}
		if vwgroup.Sleep(ctx, pause) != nil {
			break
		}
		pause = min(2*pause, time.Second)
	}
	return 0
}

// job is a best-effort job of one step.
type job struct {
	id    string
	count int
	// run is how long each task runs, which its spec tells the worker and its estimate the system.
	run time.Duration
	// patience is how long the client waits for the response.
	patience time.Duration
	// requires is a label that the worker must have; empty for none.
	requires string
}

func makeID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// submit sends a job once to an entry.
func (s *stage) submit(ctx context.Context, m *machine, j job) answer {
	requires := ""
	if j.requires != "" {
		requires = fmt.Sprintf(`,"requires":%q`, j.requires)
	}
	body := fmt.Sprintf(`{"spec":"run %d","steps":[{"count":%d,"cpu":1000,"mem-mb":64,"estimated-ms":%d%s}],"best-effort":true}`,
		j.run.Milliseconds(), j.count, j.run.Milliseconds(), requires)
	s.record.write("client", "sends job %s of %d tasks of %v to %s", j.id, j.count, j.run, m.name)
	a := s.call(ctx, http.MethodPost, s.address(m, portFrontend), queuePrefix+j.id, hostName, body, j.patience, "Request-Deadline", fmt.Sprint(j.patience.Milliseconds()))
	s.record.write("client", "job %s at %s: %v", j.id, m.name, a)
	return a
}

// submitUntilAnswered sends a job to the entries in turn. After no response, a 502 or a 504 it sends it again retryTime
// later; any other response ends it.
func (s *stage) submitUntilAnswered(ctx context.Context, first int, j job) answer {
	for at := first; ; at++ {
		a := s.submit(ctx, s.edge[at%len(s.edge)], j)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout || ctx.Err() != nil {
			return a
		}
		if vwgroup.Sleep(ctx, retryTime) != nil {
			return a
		}
	}
}

// sendSteadily sends small jobs to the entries in turn, one each interval, until ctx ends.
func (s *stage) sendSteadily(ctx context.Context, interval time.Duration) {
	for at := 0; vwgroup.Sleep(ctx, interval) == nil; at++ {
		s.group.Run(func(context.Context) {
			s.submitUntilAnswered(ctx, at, job{id: makeID(), count: 3, run: 100 * time.Millisecond, patience: 3 * time.Second})
		})
	}
}
