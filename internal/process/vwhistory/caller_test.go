package vwhistory_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// outcome is one answer that a caller got.
type outcome struct {
	submission vwid.SubmissionID
	complete   bool
	// fault tells what is wrong with a complete answer; empty when it is whole.
	fault   string
	verdict vwverdict.Verdict
	code    string
	at      time.Time
}

// ledger collects the outcomes of all calls.
type ledger struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (l *ledger) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *ledger) all() []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]outcome(nil), l.outcomes...)
}

func makeSubmission(random *rand.Rand) vwapi.Submission {
	submission := vwapi.Submission{ID: vwid.MakeSubmissionID(), Service: service, Team: team, TimeoutMillis: 60_000}
	for i := range 1 + random.IntN(12) {
		submission.Tasks = append(submission.Tasks, vwapi.Task{
			ID: vwid.TaskID(fmt.Sprint(i)), Payload: json.RawMessage(fmt.Sprint(20 + random.IntN(500))),
		})
	}
	return submission
}

// submit sends a submission to an entry and records the answer. No answer, as from an entry that was
// killed, is recorded as nothing.
func (c *cluster) submit(ctx context.Context, l *ledger, e *entryProcess, submission vwapi.Submission) (ended bool) {
	answer := e.call(ctx, false, http.MethodPost, "/Jobs", submission)
	if answer != nil {
		c.log.Info("answer", "submission", string(submission.ID), "status", answer.Code, "body", answer.Body.String())
	}
	if answer == nil || ctx.Err() != nil || answer.Body.Len() == 0 || answer.Code == http.StatusAccepted {
		return false
	}
	o := outcome{submission: submission.ID, at: time.Now()}
	if answer.Code == http.StatusOK {
		o.complete, o.verdict = true, vwverdict.Ran
		o.fault = checkAnswer(submission, answer.Body.Bytes())
		l.add(o)
		return true
	}
	var problem vwapi.Problem
	if err := json.Unmarshal(answer.Body.Bytes(), &problem); err != nil {
		o.fault = "the problem document is malformed: " + err.Error()
	}
	o.verdict, o.code = problem.Verdict, problem.Code
	l.add(o)
	return problem.Code != vwapi.CodeUnavailable && problem.Code != vwapi.CodeStopping && problem.Code != vwapi.CodeOwnerLost
}

// checkAnswer compares a complete answer with what the backend servers return for the submission.
func checkAnswer(submission vwapi.Submission, body []byte) string {
	var answer vwapi.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return err.Error()
	}
	if answer.State != vwapi.StateComplete || len(answer.Results) != len(submission.Tasks) {
		return fmt.Sprintf("state %s with %d results for %d tasks", answer.State, len(answer.Results), len(submission.Tasks))
	}
	for i, result := range answer.Results {
		want := fmt.Sprintf("%q", string(submission.ID)+"/"+string(submission.Tasks[i].ID))
		if string(result.Result) != want {
			return fmt.Sprintf("task %s has result %s instead of %s", submission.Tasks[i].ID, result.Result, want)
		}
	}
	return ""
}

// outage is the time in which a data centre or a worker must not start tasks.
type outage struct {
	dataCentre vwid.DataCentre
	worker     int
	from, to   time.Time
}

// violations returns every promise that the record breaks.
func violations(starts []start, outcomes []outcome, outages []outage) []string {
	var found []string
	found = append(found, findDuplicates(starts)...)
	found = append(found, findFalseAnswers(starts, outcomes)...)
	return append(found, findLateStarts(starts, outages)...)
}

func findDuplicates(starts []start) []string {
	type key struct {
		submission vwid.SubmissionID
		task       vwid.TaskID
	}
	var found []string
	first := map[key]start{}
	for _, s := range starts {
		k := key{s.submission, s.task}
		if earlier, twice := first[k]; twice {
			found = append(found, fmt.Sprintf("task %s of %s started twice: %+v and %+v", s.task, s.submission, earlier, s))
			continue
		}
		first[k] = s
	}
	return found
}

func findFalseAnswers(starts []start, outcomes []outcome) []string {
	var found []string
	started := map[vwid.SubmissionID]bool{}
	for _, s := range starts {
		started[s.submission] = true
	}
	mayRun := map[vwid.SubmissionID]bool{}
	for _, o := range outcomes {
		if o.fault != "" {
			found = append(found, fmt.Sprintf("answer of %s is not whole: %s", o.submission, o.fault))
		}
		if o.verdict != vwverdict.NotRun {
			mayRun[o.submission] = true
		}
	}
	for _, s := range starts {
		for _, o := range outcomes {
			if o.submission == s.submission && o.verdict == vwverdict.NotRun && s.at.Before(o.at) {
				found = append(found, fmt.Sprintf("%s was refused as not run with code %s after task %s had started", o.submission, o.code, s.task))
			}
		}
	}
	for _, o := range outcomes {
		if o.verdict == vwverdict.NotRun && started[o.submission] && !mayRun[o.submission] {
			found = append(found, fmt.Sprintf("%s was refused as not run with code %s, but a task of it started", o.submission, o.code))
		}
	}
	return found
}

// lateBound is the stated bound for starts after a data centre was taken out or a backend server left.
const lateBound = 3 * time.Second

func findLateStarts(starts []start, outages []outage) []string {
	var found []string
	for _, o := range outages {
		for _, s := range starts {
			if (o.dataCentre != "" && s.dataCentre != o.dataCentre) || (o.dataCentre == "" && s.worker != o.worker) {
				continue
			}
			if s.at.After(o.from.Add(lateBound)) && s.at.Before(o.to) {
				found = append(found, fmt.Sprintf("start %+v is %s into outage %+v", s, s.at.Sub(o.from), o))
			}
		}
	}
	return found
}
