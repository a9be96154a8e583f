//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// orderDelay is how late the start is carried out. The page says 2 to 12 s.
	orderDelay = 3 * time.Second
	// crashAfter is when the worker crashes, and bootAfter when it is back, both after the start was sent.
	crashAfter = 2 * time.Second
	bootAfter  = 2800 * time.Millisecond
	// longBeat is the time from the second boot to its first liveness report, half of heartbeat-ms.
	longBeat = beatTime / 2
)

// playLateStart delays one start order on its way to a worker. The order gets no answer, so the task begins elsewhere. The
// worker crashes and starts again under its id, and the order arrives there.
func playLateStart(ctx context.Context, s *stage, trouble bool) (int, error) {
	if err := s.startAll(ctx); err != nil {
		return 0, err
	}
	j := job{id: makeID(), count: 1, run: 6 * time.Second, patience: 20 * time.Second}
	var once sync.Once
	if trouble {
		for _, w := range s.workers {
			w.setIntercept(func(path string, text []byte, order *orderBody, response http.ResponseWriter) bool {
				delayed := false
				if path == "/v1/run-start" && jobOf(order.Task) == j.id {
					once.Do(func() { delayed = true })
				}
				if delayed {
					s.record.write("network", "delays the start of %s run %d to %s: token %d, deadline %d", order.Task, order.Run, w.id, order.Token, order.Deadline)
					s.group.Run(func(ctx context.Context) { s.crashAndDeliver(ctx, w, text) })
					// The sender gets no answer and gives up by itself.
					_ = vwgroup.Sleep(ctx, time.Second)
				}
				return delayed
			})
		}
	}
	a := s.submitUntilAnswered(ctx, 0, j)
	if a.status != http.StatusOK {
		return 0, fmt.Errorf("the job has no result: %v", a)
	}
	_ = vwgroup.Sleep(ctx, 2*time.Second)
	return s.countDoubleRuns(), nil
}

// crashAndDeliver crashes a worker, boots it again and delivers the order that was delayed.
func (s *stage) crashAndDeliver(ctx context.Context, w *worker, text []byte) {
	sent := time.Now()
	_ = vwgroup.Sleep(ctx, crashAfter)
	w.crash()
	_ = vwgroup.Sleep(ctx, time.Until(sent.Add(bootAfter)))
	w.change("a", longBeat)
	if err := w.boot(); err != nil {
		s.record.write("stage", "the worker does not boot: %v", err)
		return
	}
	_ = vwgroup.Sleep(ctx, time.Until(sent.Add(orderDelay)))
	s.record.write("network", "delivers the delayed start to %s", w.id)
	a := s.call(ctx, http.MethodPost, s.address(w.m, portWorker), "/v1/run-start", "", string(bytes.TrimSpace(text)), time.Second, "Expected-Instance", w.id)
	s.record.write("network", "%s would have answered %v", w.id, a)
}

// countDoubleRuns returns how often a task has run twice at the same time.
func (s *stage) countDoubleRuns() int {
	runs := map[string][]interval{}
	for _, w := range s.workers {
		for _, i := range w.intervals() {
			runs[i.task] = append(runs[i.task], i)
		}
	}
	count := 0
	for task, list := range runs {
		slices.SortFunc(list, func(a, b interval) int { return a.begun.Compare(b.begun) })
		for at := 1; at < len(list); at++ {
			earlier, later := list[at-1], list[at]
			if overlap := earlier.ended.Sub(later.begun); overlap > 0 {
				count++
				s.record.write("check", "TWICE: %s run %d on %s from %.3f to %.3f (%s), and run %d on %s from %.3f to %.3f (%s)", task,
					earlier.run, earlier.worker, s.record.seconds(earlier.begun), s.record.seconds(earlier.ended), earlier.how,
					later.run, later.worker, s.record.seconds(later.begun), s.record.seconds(later.ended), later.how)
			}
		}
	}
	return count
}
