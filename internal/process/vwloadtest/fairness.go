package vwloadtest

import (
	"cmp"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// shareWindow is the span over which each team must have its share.
	shareWindow = 2 * time.Second
	shareStep   = 250 * time.Millisecond
	// failingGrace is how long a worker may receive starts after it began to fail everything.
	failingGrace = time.Second
)

// failingSpan is a span in which a stand-in failed everything.
type failingSpan struct {
	backend int
	vwstandin.Span
}

// failingWorkerShare returns the largest share of all starts that a failing worker received after
// its first second, or nil when none failed.
func (e *evaluation) failingWorkerShare() *float64 {
	var largest *float64
	for _, span := range e.failing {
		there, all := 0, 0
		for _, start := range e.all {
			if !span.Contains(start.At, failingGrace) {
				continue
			}
			all++
			if start.Worker == e.records[span.backend].Worker {
				there++
			}
		}
		if all == 0 {
			continue
		}
		share := float64(there) / float64(all)
		if largest == nil || share > *largest {
			largest = &share
		}
	}
	return largest
}

// shareError returns the largest relative difference of a team's slot time to its share over any
// shareWindow in which tasks of every team waited all the time, or nil without such a window.
func (e *evaluation) shareError() *float64 {
	shares := map[vwid.Team]float64{}
	sum := 0.0
	for _, team := range e.scenario.Teams {
		if team.Share > 0 {
			shares[team.Name] = team.Share
			sum += team.Share
		}
	}
	if len(shares) < 2 {
		return nil
	}
	backlogs, runs := e.loadByTeam()
	var largest *float64
	for begin := e.begin; begin.Add(shareWindow).Before(e.end); begin = begin.Add(shareStep) {
		window := vwstandin.Span{Begin: begin, End: begin.Add(shareWindow)}
		used, total := map[vwid.Team]float64{}, 0.0
		saturated := true
		for team := range shares {
			saturated = saturated && coversAll(backlogs[team], window)
			for _, run := range runs[team] {
				used[team] += overlap(window, run.Begin, run.End).Seconds()
			}
			total += used[team]
		}
		if !saturated || total == 0 {
			continue
		}
		for team, share := range shares {
			wanted := total * share / sum
			difference := max(used[team]-wanted, wanted-used[team]) / wanted
			if largest == nil || difference > *largest {
				largest = &difference
			}
		}
	}
	return largest
}

// loadByTeam returns for each team the spans in which its tasks waited and those in which they ran.
func (e *evaluation) loadByTeam() (waits, runs map[vwid.Team][]vwstandin.Span) {
	waits, runs = map[vwid.Team][]vwstandin.Span{}, map[vwid.Team][]vwstandin.Span{}
	for _, outcome := range e.outcomes {
		team := outcome.Arrival.Team
		for _, task := range outcome.Arrival.Tasks {
			for _, start := range e.starts[task.Tag] {
				waits[team] = append(waits[team], vwstandin.Span{Begin: outcome.Planned, End: start.At})
				runs[team] = append(runs[team], vwstandin.Span{Begin: start.At, End: e.endOf(start)})
			}
		}
	}
	for team := range waits {
		slices.SortFunc(waits[team], func(a, b vwstandin.Span) int {
			return cmp.Or(a.Begin.Compare(b.Begin), a.End.Compare(b.End))
		})
	}
	return waits, runs
}

// coversAll reports whether spans, which are in the order of their begin, leave no gap in window.
func coversAll(spans []vwstandin.Span, window vwstandin.Span) bool {
	covered := window.Begin
	for _, span := range spans {
		if span.Begin.After(covered) {
			return false
		}
		covered = later(covered, span.End)
		if !covered.Before(window.End) {
			return true
		}
	}
	return false
}
