package vwprocess

import (
	"context"
	"log/slog"
	"time"
)

const (
	// answerMargin is the part of a stop's bound that is reserved to deliver the last answers and to end the process
	// after them.
	answerMargin = 300 * time.Millisecond
	// minAnswerShare is the smallest part of the bound in which requests can still end, whatever the margin.
	minAnswerShare = 0.5
	// endMargin is the part of the bound that is reserved for what follows the end of the registration.
	endMargin = 100 * time.Millisecond
)

// endTime returns the time by which a process that stops within the bound of ctx gives up to end its registration.
func endTime(ctx context.Context) time.Time {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return time.Now().Add(stopTimeout)
	}
	return deadline.Add(-endMargin)
}

// answerTime returns the time by which a process that stops within the bound of ctx must have answered all requests.
func answerTime(ctx context.Context) time.Time {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return time.Now().Add(stopTimeout)
	}
	margin := min(answerMargin, time.Duration(float64(time.Until(deadline))*(1-minAnswerShare)))
	return deadline.Add(-margin)
}

// drain logs what a stopping process still has to answer.
type drain struct {
	begun time.Time
	log   *slog.Logger
	// requests returns the requests in flight.
	requests func() int64
}

func beginDrain(log *slog.Logger, requests func() int64, fields ...any) drain {
	log.Info("drain begins", append([]any{"requests", requests()}, fields...)...)
	return drain{begun: time.Now(), log: log, requests: requests}
}

func (d drain) end(fields ...any) {
	fields = append([]any{"requests", d.requests()}, fields...)
	d.log.Info("drain has ended", append(fields, "took", time.Since(d.begun).Round(time.Millisecond).String())...)
}
