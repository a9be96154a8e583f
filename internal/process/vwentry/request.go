package vwentry

import (
	"context"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// requestTask is the id of the only task of a single request.
const requestTask vwid.TaskID = "Request"

// maxRequestLosses is the number of lost workers after which a request is not retried: it may be the cause.
const maxRequestLosses = 2

// runRequest runs a single request without a record in control. It retries an idempotent one after
// MayHaveRun, within the team's retry budget and up to maxRequestLosses, and sends any other at most once.
func (e *Entry) runRequest(ctx context.Context, s submission, idempotent bool) (*job, error) {
	if vwcaller.HasLeft(ctx) {
		// Nobody would get the answer, and the caller may have sent the request to another entry.
		return nil, refuse(vwapi.CodeUnavailable, vwverdict.NotRun, errCallerLeft.Error())
	}
	if err := runOnLoopForError(ctx, e, func() error { return e.validate(s) }); err != nil {
		return nil, err
	}
	for losses := 1; ; losses++ {
		j, err := e.attemptRequest(ctx, s)
		if err != nil {
			return nil, err
		}
		if !waitFor(ctx, j) {
			e.post(func() { e.failJob(j, codeCancelled, "the caller went away") })
			return nil, ctx.Err()
		}
		if !idempotent || !isRetryable(j) || losses >= maxRequestLosses {
			return j, nil
		}
		permitted, err := runOnLoop(ctx, e, func() bool { return e.budget(s.spec.Service, s.spec.Team).withdraw(time.Now()) })
		if err != nil || !permitted {
			return j, err
		}
		e.counters.Retries.Add(1)
	}
}

func isRetryable(j *job) bool {
	return j.Failure() != nil && j.Failure().Code == vwjob.CodeWorkerLost && j.Failure().Verdict == vwverdict.MayHaveRun
}

// attemptRequest starts one attempt of the request, under a new id, so that a late result of an earlier
// attempt cannot answer it.
func (e *Entry) attemptRequest(ctx context.Context, s submission) (*job, error) {
	s.spec.SubmissionID = vwid.MakeSubmissionID()
	// A job drops its payloads when it ends, and another attempt needs them.
	s.spec.Tasks = slices.Clone(s.spec.Tasks)
	j, err := makeJob(s.spec, 1, s.digest, false)
	if err != nil {
		return nil, err
	}
	return runOnLoopWithError(ctx, e, func() (*job, error) {
		e.applyDefaultDeadline(j)
		e.addJob(j)
		e.budget(j.Service, j.Team).deposit()
		if err := e.enqueue(time.Now(), j); err != nil {
			e.failByQueue(time.Now(), j, err, reasonOf(err))
		}
		return j, nil
	})
}

// retryBudget is a token bucket: each request adds policy.Ratio tokens, each second policy.PerSecond, and a
// retry takes one.
type retryBudget struct {
	policy     vwrule.RetryBudget
	tokens     float64
	refilledAt time.Time
}

// maxRetryTokens bounds the retries that a team can accumulate in a period of low load.
const maxRetryTokens = 100

func (e *Entry) budget(service vwid.Service, team vwid.Team) *retryBudget {
	b, known := e.retryBudgets[team]
	if !known {
		b = &retryBudget{refilledAt: time.Now()}
		e.retryBudgets[team] = b
	}
	b.policy = e.rules.Team(service, team).RetryBudget
	return b
}

func (b *retryBudget) deposit() {
	b.tokens = min(maxRetryTokens, b.tokens+b.policy.Ratio)
}

func (b *retryBudget) withdraw(now time.Time) bool {
	b.tokens = min(maxRetryTokens, b.tokens+b.policy.PerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
