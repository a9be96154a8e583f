//go:build review

package main

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// downTime is how long the worker is down, and quietTime the time from its boot to the jobs.
	downTime  = 300 * time.Millisecond
	quietTime = 200 * time.Millisecond
)

// playOtherKind crashes one worker while nothing runs there. It is soon back under its id, as a worker of another kind. Before
// its next liveness report come jobs that only workers of the first kind may run.
func playOtherKind(ctx context.Context, s *stage, trouble bool) (int, error) {
	if err := s.startAll(ctx); err != nil {
		return 0, err
	}
	_ = vwgroup.Sleep(ctx, 2*time.Second)
	w := s.workers[0]
	if trouble {
		w.crash()
		_ = vwgroup.Sleep(ctx, downTime)
		w.change("b", longBeat)
		if err := w.boot(); err != nil {
			return 0, err
		}
		_ = vwgroup.Sleep(ctx, quietTime)
	}
	for at := range 3 * len(s.edge) {
		s.group.Run(func(context.Context) {
			s.submitUntilAnswered(ctx, at, job{id: makeID(), count: 32, run: 900 * time.Millisecond, patience: 6 * time.Second, requires: "a"})
		})
	}
	_ = vwgroup.Sleep(ctx, 8*time.Second)
	return s.countWrongKind("b"), nil
}

// countWrongKind returns the number of starts on workers of a kind. All jobs of the case require another one, or none before
// any worker was of that kind.
func (s *stage) countWrongKind(kind string) int {
	count := 0
	for _, w := range s.workers {
		for _, i := range w.intervals() {
			if i.kind == kind {
				count++
				s.record.write("check", "ROUTE: %s run %d began at %.3f on %s, which is of kind %s; its step requires a", i.task, i.run, s.record.seconds(i.begun), i.worker, i.kind)
			}
		}
	}
	return count
}
