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
	// cancelTime is the longest cancel_ms of the small and grown sites, after which no task of a cancelled job may start, and stopTimeout is stop-timeout-ms, for
	// which a task may run on after that.
	cancelTime  = 4 * time.Second
	stopTimeout = 50 * time.Millisecond
	// measureMargin is added to both, for the time that an answer takes to arrive here.
	measureMargin = 500 * time.Millisecond
	// taskTime is how long the worker takes for a task of the job, and patience is how long its client waits.
	taskTime = 9 * time.Second
	patience = 20 * time.Second
	// cancelJobs is the number of jobs, of which one is cancelled, and cancelWidth the number of tasks of each.
	cancelJobs, cancelWidth = 8, 2
)

// installation is a small installation with one entry and workers.
type installation struct {
	core    []*machine
	entry   *machine
	workers []*worker
}

// startInstallation starts three core machines, an entry and agents with their workers, and waits until the entry is ready.
func (s *stage) startInstallation(agents int, work time.Duration) (*installation, error) {
	core, seeds, err := s.startCore(3)
	if err != nil {
		return nil, err
	}
	i := &installation{core: core, entry: s.addMachine("entry", 20, seeds)}
	if err := i.entry.start(true); err != nil {
		return nil, err
	}
	for number := 30; number < 30+agents; number++ {
		m := s.addMachine("agent", number, seeds)
		if err := m.start(true); err != nil {
			return nil, err
		}
		w, err := s.startWorker(m, work)
		if err != nil {
			return nil, err
		}
		i.workers = append(i.workers, w)
	}
	if !s.replaceConfig(core, configuration(1, int(patience.Milliseconds())), 20*time.Second) {
		return nil, errors.New("the configuration was not acknowledged")
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, _ := call("GET", "http://"+i.entry.address(s.readyPort())+"/v1/readiness", "", nil, time.Second, nil); status == http.StatusOK {
			s.note("platform: %s is ready", i.entry.name)
			// All workers have announced themselves after this.
			time.Sleep(2 * heartbeatInterval)
			return i, nil
		}
	}
	return nil, errors.New("the entry did not become ready")
}

// running returns the tasks of a job that are at work on any worker.
func (i *installation) running(job string) []string {
	var found []string
	for _, w := range i.workers {
		found = append(found, w.running(job)...)
	}
	return found
}

// jobURL returns the address of a job at the entry.
func (i *installation) jobURL(job string) string {
	return "http://" + i.entry.address(i.entry.stage.clientPort()) + routePrefix + job
}

// playCancel hands in jobs, cancels one of them while its tasks are at work, and looks whether they are still at work when the
// cancelling has to have taken effect.
func playCancel(s *stage) (bool, error) {
	i, err := s.startInstallation(2, taskTime)
	if err != nil {
		return false, err
	}
	var jobs []string
	answered := make(chan int, cancelJobs)
	for range cancelJobs {
		job := fmt.Sprintf("%016x", rand.Uint64())
		jobs = append(jobs, job)
		s.group.Run(func(context.Context) { answered <- i.handIn(job) })
	}
	for deadline := time.Now().Add(3 * time.Second); !i.allAtWork(jobs); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, errors.New("the tasks have not started")
		}
	}
	time.Sleep(time.Second)
	held := true
	if s.trouble {
		held = s.cancel(i, jobs[0])
	} else {
		s.note("client: nothing is cancelled")
	}
	served := 0
	for range cancelJobs {
		if <-answered == http.StatusOK {
			served++
		}
	}
	s.note("client: %d of %d jobs were answered with 200", served, cancelJobs)
	if !s.trouble && served < cancelJobs {
		return false, errors.New("the jobs were not served")
	}
	return held, nil
}

// handIn hands in a job and returns the status of the answer.
func (i *installation) handIn(job string) int {
	s := i.entry.stage
	body, _ := json.Marshal(map[string]any{"spec": "work of " + job, "best-effort": true, "steps": []any{map[string]any{
		"count": cancelWidth, "cpu": 1000, "mem-mb": 64, "estimated-ms": taskTime.Milliseconds(),
	}}})
	s.note("client: POST %s", job)
	status, text := call("POST", i.jobURL(job), routeHost, body, patience, map[string]string{"Request-Deadline": fmt.Sprint(patience.Milliseconds())})
	s.note("client: the POST of %s is answered with %d %s", job, status, text)
	return status
}

// allAtWork reports whether all tasks of all jobs are at work.
func (i *installation) allAtWork(jobs []string) bool {
	for _, job := range jobs {
		if len(i.running(job)) < cancelWidth {
			return false
		}
	}
	return true
}

// cancel sends a DELETE for a job and reports whether the rule held for it.
func (s *stage) cancel(i *installation, job string) bool {
	status, text := call("DELETE", i.jobURL(job), routeHost, nil, time.Second, nil)
	s.note("client: DELETE %s is answered with %d %s", job, status, text)
	if status/100 != 2 && status != http.StatusGone {
		return true
	}
	time.Sleep(cancelTime + stopTimeout + measureMargin)
	left := i.running(job)
	s.note("workers: %v after the acknowledgement of the DELETE these tasks of the job are at work: %v", cancelTime+stopTimeout+measureMargin, left)
	return len(left) == 0
}
