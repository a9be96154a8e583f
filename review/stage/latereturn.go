//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// freezeTime is how long the core machine stands still.
const freezeTime = 5 * time.Second

// playLateReturn evacuates a zone, takes it back and evacuates it again. While a core machine stands still, the operator
// sends it the order that takes the zone back, gets no response within a second, and sends the order to the next machine,
// which acknowledges it. The second evacuation is acknowledged before the machine wakes.
func playLateReturn(ctx context.Context, s *stage, trouble bool) (int, error) {
	if err := s.startAll(ctx); err != nil {
		return 0, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	s.group.Run(func(context.Context) { s.sendSteadily(traffic, 60*time.Millisecond) })
	frozen, others := s.core[1], []*machine{s.core[2], s.core[3], s.core[4], s.core[0]}
	if status := s.order(ctx, "POST /v1/Evacuations.Start/zone-a", "", others); status != http.StatusOK {
		return 0, fmt.Errorf("the first evacuation is not acknowledged: %d", status)
	}
	_ = vwgroup.Sleep(ctx, 6*time.Second)
	if trouble {
		if err := s.signal(frozen, syscall.SIGSTOP); err != nil {
			return 0, err
		}
	}
	frozenAt := time.Now()
	_ = vwgroup.Sleep(ctx, 100*time.Millisecond)
	if status := s.order(ctx, "POST /v1/Evacuations.Finish/zone-a", "", append([]*machine{frozen}, others...)); status != http.StatusOK {
		return 0, fmt.Errorf("the return of the zone is not acknowledged: %d", status)
	}
	_ = vwgroup.Sleep(ctx, 1500*time.Millisecond)
	if status := s.order(ctx, "POST /v1/Evacuations.Start/zone-a", "", others); status != http.StatusOK {
		return 0, fmt.Errorf("the second evacuation is not acknowledged: %d", status)
	}
	acknowledged := time.Now()
	_ = vwgroup.Sleep(ctx, time.Until(frozenAt.Add(freezeTime)))
	if trouble {
		if err := s.signal(frozen, syscall.SIGCONT); err != nil {
			return 0, err
		}
	}
	// From here on all machines are in touch, and no start in the zone is allowed.
	from := time.Now().Add(contactTime)
	if limit := acknowledged.Add(5 * time.Second); limit.After(from) {
		from = limit
	}
	_ = vwgroup.Sleep(ctx, time.Until(from.Add(6*time.Second)))
	stop()
	return s.countStarts("zone-a", from), nil
}

// countStarts returns the number of tasks that have begun in a zone after a time.
func (s *stage) countStarts(zone string, from time.Time) int {
	count := 0
	for _, w := range s.workers {
		if w.m.zone != zone {
			continue
		}
		for _, i := range w.intervals() {
			if i.begun.After(from) {
				count++
				s.record.write("check", "EVAC: %s run %d began on %s in %s at %.3f, and nothing may start there from %.3f on", i.task, i.run, i.worker, zone, s.record.seconds(i.begun), s.record.seconds(from))
			}
		}
	}
	return count
}
