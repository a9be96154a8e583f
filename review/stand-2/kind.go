//go:build review2

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// kindAgents is the number of workers. One of them is of the kind that the jobs require, until it loses power.
	kindAgents = 8
	// kindJobs is the number of jobs, which fit into one worker together, and kindWidth the number of tasks of each.
	kindJobs, kindWidth = 9, 4
	// kindTask is how long a worker takes for a task, and kindPatience how long the clients wait.
	kindTask     = time.Second
	kindPatience = 4 * time.Second
)

// playKind lets the only worker of a kind lose power while nothing runs there. It is back as another kind when jobs come that
// require the first kind.
func playKind(s *stage) (bool, error) {
	i, err := s.startInstallation(kindAgents, kindTask)
	if err != nil {
		return false, err
	}
	for _, w := range i.workers[1:] {
		w.setKind("b")
	}
	// All workers have announced their kinds after this.
	time.Sleep(2 * heartbeatInterval)
	if s.trouble {
		if err := i.workers[0].returnAs(s, "b"); err != nil {
			return false, err
		}
	}
	answered := make(chan int, kindJobs)
	for range kindJobs {
		job := fmt.Sprintf("%016x", rand.Uint64())
		body, _ := json.Marshal(map[string]any{"spec": "work of " + job, "best-effort": true, "steps": []any{map[string]any{
			"count": kindWidth, "cpu": 400, "mem-mb": 64, "estimated-ms": kindTask.Milliseconds(), "requires": "a",
		}}})
		s.group.Run(func(context.Context) {
			status, text := call("POST", i.jobURL(job), routeHost, body, kindPatience+time.Second, map[string]string{"Request-Deadline": fmt.Sprint(kindPatience.Milliseconds())})
			s.note("client: POST %s, which requires kind a, is answered with %d %s", job, status, text)
			answered <- status
		})
	}
	served := 0
	for range kindJobs {
		if <-answered == http.StatusOK {
			served++
		}
	}
	wrong := 0
	for _, w := range i.workers {
		w.mu.Lock()
		wrong += w.kinds["b"]
		w.mu.Unlock()
	}
	s.note("workers: %d tasks that require kind a were started by workers of kind b; %d of %d jobs were served", wrong, served, kindJobs)
	if !s.trouble && served < kindJobs {
		return false, errors.New("the jobs were not served")
	}
	return wrong == 0, nil
}

func (w *worker) setKind(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.label = kind
}

// returnAs lets the worker lose power right after the agent's open hold has come in. It is back as another kind, under its id,
// for lateAfterBoot when this returns.
func (w *worker) returnAs(s *stage, kind string) error {
	asked := make(chan bool, 1)
	w.mu.Lock()
	w.held = func(hold *runOrder) {
		if hold.Wait >= minLate.Milliseconds() {
			select {
			case asked <- true:
			default:
			}
		}
	}
	w.mu.Unlock()
	select {
	case <-asked:
	case <-time.After(5 * time.Second):
		return errors.New("the agent keeps no hold open at its idle worker")
	}
	ctx := s.group.Context()
	if !sleep(ctx, 50*time.Millisecond) || !w.losePower(ctx, darkTime, kind) || !sleep(ctx, lateAfterBoot) {
		return ctx.Err()
	}
	return nil
}
