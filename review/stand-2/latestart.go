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
	// lateAgents is the number of workers, of which one loses power.
	lateAgents = 8
	// lateTask is how long a worker takes for the task of the job.
	lateTask = 8 * time.Second
	// minLate is how long after its sending a late order is carried out at least.
	minLate = 2 * time.Second
	// darkTime is how long the worker is without power, and lateAfterBoot how long after its next boot the late order arrives.
	darkTime      = 800 * time.Millisecond
	lateAfterBoot = 200 * time.Millisecond
	// latePatience is how long the client waits.
	latePatience = 20 * time.Second
)

// playLateStart delays the first start of a task. Its worker loses power meanwhile and starts again under its id, while the
// task runs on another worker; then the late order arrives.
func playLateStart(s *stage) (bool, error) {
	i, err := s.startInstallation(lateAgents, lateTask)
	if err != nil {
		return false, err
	}
	job := fmt.Sprintf("%016x", rand.Uint64())
	if s.trouble {
		first := make(chan bool, 1)
		first <- true
		for _, w := range i.workers {
			w.delayFirst(job, first)
		}
	}
	body, _ := json.Marshal(map[string]any{"spec": "work of " + job, "best-effort": true, "steps": []any{map[string]any{"count": 1, "cpu": 2000, "mem-mb": 64, "estimated-ms": lateTask.Milliseconds()}}})
	answered := make(chan int, 1)
	s.group.Run(func(context.Context) {
		s.note("client: POST %s", job)
		status, text := call("POST", i.jobURL(job), routeHost, body, latePatience, map[string]string{"Request-Deadline": fmt.Sprint(latePatience.Milliseconds())})
		s.note("client: the POST is answered with %d %s", status, text)
		answered <- status
	})
	longest, begun := time.Duration(0), time.Now()
	var since time.Time
	for {
		select {
		case status := <-answered:
			s.note("workers: the task ran twice at the same time for %v at most", longest.Round(time.Millisecond))
			if status != http.StatusOK && longest == 0 {
				return false, errors.New("the job was not done")
			}
			return longest == 0, nil
		case <-time.After(2 * time.Millisecond):
		}
		if len(i.running(job)) < 2 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
			s.note("workers: the task runs twice at the same time, %v after the POST", since.Sub(begun).Round(time.Millisecond))
		}
		longest = max(longest, time.Since(since))
	}
}

// delayFirst holds back the first order to start a task of the job, whichever worker gets it. That worker loses power right
// after it was asked for a report that it may hold back for two seconds, minLate after the order at the earliest.
func (w *worker) delayFirst(job string, first chan bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays = func(order *runOrder) bool {
		if !strings.HasPrefix(order.Task, job+".") {
			return false
		}
		select {
		case <-first:
		default:
			return false
		}
		late, sent := *order, time.Now()
		w.stage.note("%s: the network delays the order to start %s, run %d", w.id, late.Task, late.Run)
		asked := make(chan bool, 1)
		w.held = func(hold *runOrder) {
			if hold.Wait >= minLate.Milliseconds() && time.Since(sent) > minLate {
				select {
				case asked <- true:
				default:
				}
			}
		}
		w.stage.group.Run(func(ctx context.Context) {
			select {
			case <-asked:
			case <-ctx.Done():
				return
			}
			if !sleep(ctx, 50*time.Millisecond) || !w.losePower(ctx, darkTime, "a") || !sleep(ctx, lateAfterBoot) {
				return
			}
			status, body := w.start(&late)
			w.stage.note("%s: the late order to start %s, run %d, arrives %v after it was sent: %d %v", w.id, late.Task, late.Run, time.Since(sent).Round(time.Millisecond), status, body["reason"])
		})
		return true
	}
}
