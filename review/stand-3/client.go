//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// try is one attempt of a client to hand a job in.
type try struct {
	entry          string
	sent, answered time.Time
	// status is zero without a response. state is then why.
	status int
	state  string
}

// job is a best-effort job of a client.
type job struct {
	id    string
	route route
	count int
	spec  string
	mu    sync.Mutex
	tries []try
}

// clients hand in best-effort jobs as PROTOCOL.md says: after no response, a broken channel, 502 or 504 a job is sent again
// retry-ms later.
type clients struct {
	cluster *cluster
	log     *record
	mu      sync.Mutex
	jobs    []*job
	// retries is how often a job is sent again.
	retries int
	group   sync.WaitGroup
	// pick chooses the entry of a try, which is not that of the try before.
	pick func(previous *machine) *machine
}

const retryPause = 1300 * time.Millisecond

// jobText returns the body of a job.
func (j *job) text(milliseconds, cpu int) []byte {
	text, _ := json.Marshal(map[string]any{
		"spec": j.spec, "best-effort": true,
		"steps": []map[string]any{{"count": j.count, "cpu": cpu, "mem-mb": 64, "estimated-ms": milliseconds}},
	})
	return text
}

// submit hands a job in and follows it to its end, in a goroutine of its own.
func (c *clients) submit(r route, count, milliseconds, cpu int, wait time.Duration) *job {
	spec, _ := json.Marshal(work{Milliseconds: milliseconds, CPU: cpu})
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), route: r, count: count, spec: string(spec)}
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	c.group.Go(func() { c.follow(j, j.text(milliseconds, cpu), wait) })
	return j
}

func (c *clients) follow(j *job, body []byte, wait time.Duration) {
	var entry *machine
	for range c.retries + 1 {
		entry = c.pick(entry)
		t := c.send(j, entry, body, wait)
		j.mu.Lock()
		j.tries = append(j.tries, t)
		j.mu.Unlock()
		c.log.add("client %s at %s: %d %s after %v", j.id, entry.name, t.status, t.state, t.answered.Sub(t.sent).Round(time.Millisecond))
		if t.status != 0 && t.status != http.StatusBadGateway && t.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(retryPause)
	}
}

// send hands a job in once, over a channel of its own.
func (c *clients) send(j *job, entry *machine, body []byte, wait time.Duration) try {
	t := try{entry: entry.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: new(net.Dialer).DialContext}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.at(frontendPort)+j.route.Prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return t
	}
	request.Host = j.route.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", fmt.Sprint(wait.Milliseconds()))
	response, err := (&http.Client{Transport: transport}).Do(request)
	t.answered = time.Now()
	if err != nil {
		t.state = reasonOf(err)
		return t
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	t.answered = time.Now()
	if err != nil {
		return t
	}
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &state)
	t.status, t.state = response.StatusCode, state.State
	return t
}

// reasonOf tells why there was no response.
func reasonOf(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded):
		return "late"
	}
	return "broken"
}

// judge returns what the jobs and runs break of TWICE, LIMIT, REFUSED, MIXED and UNASKED.
func judge(c *clients, workers []*worker) []string {
	found := overlaps(workers)
	for i := range found {
		found[i] = "TWICE: " + found[i]
	}
	for _, w := range workers {
		for _, over := range w.over {
			found = append(found, "LIMIT: "+over)
		}
	}
	runs := map[string]map[string][]*attempt{}
	for task, list := range attempts(workers) {
		id := jobOf(task)
		if runs[id] == nil {
			runs[id] = map[string][]*attempt{}
		}
		runs[id][task] = list
	}
	for _, j := range c.jobs {
		rejected, completed := len(j.tries) > 0, false
		for _, t := range j.tries {
			rejected = rejected && t.status != 0 && t.status/100 != 2 && t.status != 502 && t.status != 504
			completed = completed || t.status == 200 && t.state == "completed"
		}
		if rejected && len(runs[j.id]) > 0 {
			found = append(found, fmt.Sprintf("REFUSED: job %s was rejected with %d and has run", j.id, j.tries[0].status))
		}
		done := 0
		for _, list := range runs[j.id] {
			for _, a := range list {
				if a.spec != j.spec {
					found = append(found, "UNASKED: task "+a.task+" has another spec")
				}
			}
			for _, a := range list {
				if a.how == "done" {
					done++
					break
				}
			}
		}
		if completed && done < j.count {
			found = append(found, fmt.Sprintf("MIXED: job %s is completed, but %d of %d tasks are done", j.id, done, j.count))
		}
		delete(runs, j.id)
	}
	for id := range runs {
		found = append(found, "UNASKED: nobody has sent job "+id)
	}
	return found
}

// summary counts the answers.
func (c *clients) summary() string {
	counts := map[string]int{}
	for _, j := range c.jobs {
		for _, t := range j.tries {
			counts[fmt.Sprintf("%d %s", t.status, t.state)]++
		}
	}
	return fmt.Sprintf("%d jobs, answers %v", len(c.jobs), counts)
}
