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
	// cancelTime is cancel_ms, after which no task of a cancelled job may start, and stopTimeout is stop-timeout-ms, for
	// which a task may run on after that.
	cancelTime  = 3 * time.Second
	stopTimeout = 50 * time.Millisecond
	// measureMargin is added to both, for the time that an answer takes to arrive here.
	measureMargin = 500 * time.Millisecond
	// taskTime is how long the worker takes for a task of the job, and patience is how long its client waits.
	taskTime = 9 * time.Second
	patience = 20 * time.Second
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

// playCancel hands in a job, cancels it while its tasks are at work, and looks whether they are still at work when the
// cancelling has to have taken effect.
func playCancel(s *stage) (bool, error) {
	i, err := s.startInstallation(2, taskTime)
	if err != nil {
		return false, err
	}
	job := fmt.Sprintf("%016x", rand.Uint64())
	body, _ := json.Marshal(map[string]any{"spec": "work of " + job, "best-effort": true, "steps": []any{map[string]any{"count": 2, "cpu": 2000, "mem-mb": 64, "estimated-ms": taskTime.Milliseconds()}}})
	answered := make(chan int, 1)
	s.group.Run(func(context.Context) {
		s.note("client: POST %s", job)
		status, text := call("POST", i.jobURL(job), routeHost, body, patience, map[string]string{"Request-Deadline": fmt.Sprint(patience.Milliseconds())})
		s.note("client: the POST is answered with %d %s", status, text)
		answered <- status
	})
	for deadline := time.Now().Add(3 * time.Second); len(i.running(job)) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, errors.New("the tasks have not started")
		}
	}
	time.Sleep(time.Second)
	if !s.trouble {
		status := <-answered
		s.note("client: nothing was cancelled")
		return status == http.StatusOK, nil
	}
	status, text := call("DELETE", i.jobURL(job), routeHost, nil, time.Second, nil)
	s.note("client: DELETE %s is answered with %d %s", job, status, text)
	if status/100 != 2 && status != http.StatusGone {
		return true, nil
	}
	time.Sleep(cancelTime + stopTimeout + measureMargin)
	left := i.running(job)
	s.note("workers: %v after the acknowledgement of the DELETE these tasks of the job are at work: %v", cancelTime+stopTimeout+measureMargin, left)
	<-answered
	return len(left) == 0, nil
}
