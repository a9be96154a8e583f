//go:build review2

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// crashAgents is the number of workers. One that crashes is 0.125 of them.
	crashAgents = 8
	// crashes is how many workers crash, one after another.
	crashes = 2
	// downTime is how long a worker that has crashed is down.
	downTime = time.Second
	// longTask is how long a worker takes for the task of the job.
	longTask = 2 * time.Second
	// longPatience is how long the client waits for the answer.
	longPatience = 15 * time.Second
)

// playCrash hands in a job of one task. The first two workers that are told to start it crash on that, before they have
// begun it. The others are sound, so the job can be done.
func playCrash(s *stage) (bool, error) {
	i, err := s.startInstallation(crashAgents, longTask)
	if err != nil {
		return false, err
	}
	job := fmt.Sprintf("%016x", rand.Uint64())
	if s.trouble {
		left := make(chan bool, crashes)
		for range crashes {
			left <- true
		}
		for _, w := range i.workers {
			w.crashOn(job, left)
		}
	}
	body, _ := json.Marshal(map[string]any{"spec": "work of " + job, "best-effort": true, "steps": []any{map[string]any{"count": 1, "cpu": 2000, "mem-mb": 64, "estimated-ms": longTask.Milliseconds()}}})
	s.note("client: POST %s", job)
	status, text := call("POST", i.jobURL(job), routeHost, body, longPatience, map[string]string{"Request-Deadline": fmt.Sprint(longPatience.Milliseconds())})
	s.note("client: the POST is answered with %d %s", status, text)
	starts, failures := 0, 0
	for _, w := range i.workers {
		started, failed := w.counts(job)
		starts, failures = starts+started, failures+failed
	}
	s.note("workers: %d runs of the task have begun, %d of them have ended failed; max-attempts is 3", starts, failures)
	if status != http.StatusOK {
		return true, nil
	}
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal(text, &answer) != nil {
		return false, errors.New("the answer cannot be read")
	}
	return answer.State != "failed" || failures >= 3, nil
}

// crashOn makes the worker crash when it is told to start a task of the job, as long as left holds crashes.
func (w *worker) crashOn(job string, left chan bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = func(order *runOrder) bool {
		if !strings.HasPrefix(order.Task, job+".") {
			return false
		}
		select {
		case <-left:
			return true
		default:
			return false
		}
	}
}

// crash ends the worker without a word: its port closes, its connections break, and what runs there ends. After downTime it
// starts again under its id, and knows nothing of before.
func (w *worker) crash(order *runOrder) {
	w.mu.Lock()
	w.down = true
	clear(w.runs)
	server := w.server
	w.mu.Unlock()
	w.stage.note("%s: crashes when it is told to start %s, run %d, which it does not begin", w.id, order.Task, order.Run)
	w.stage.group.Run(func(ctx context.Context) {
		_ = server.Close()
		if !sleep(ctx, downTime) {
			return
		}
		w.mu.Lock()
		w.born, w.token, w.deadline, w.lastEnd, w.sequence, w.down = time.Now(), 0, 0, 0, 0, false
		w.numbers, w.finished = map[string]int{}, nil
		w.mu.Unlock()
		if err := w.listen(); err != nil {
			w.stage.note("%s: cannot listen again: %v", w.id, err)
			return
		}
		w.stage.note("%s: has started again under its id", w.id)
	})
}

// counts returns how many runs of a job's tasks have begun at the worker, and how many of these have ended failed.
func (w *worker) counts(job string) (started, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, count := range w.begun {
		if strings.HasPrefix(task, job+".") {
			started += count
		}
	}
	return started, 0
}
