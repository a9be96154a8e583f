package vwevent

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Clock is the estimated clock of one incarnation of a process relative to the reference of its
// group, which consists of the processes that messages connect.
type Clock struct {
	Source
	Reference Source
	// Offset is how far the clock is ahead of the reference.
	Offset time.Duration
	// Uncertainty is the largest error of Offset, if the clock did not drift; Known tells whether
	// messages in both directions bound it.
	Uncertainty time.Duration
	Known       bool
	// Pairs is the number of messages that the estimate uses.
	Pairs int
}

// unbounded is the distance between clocks that no message bounds. Distances are kept within plus and
// minus unbounded, so that the sum of two does not overflow whatever times a damaged log holds.
const unbounded = time.Duration(math.MaxInt64 / 4)

// bounds holds the smallest difference of receive and send time of the messages between two
// clocks. A delay is never negative, so offset(to) - offset(from) is at most the difference.
type bounds map[[2]int]time.Duration

// estimateClocks returns one clock for each source. Each offset is the middle of the interval that
// all messages together permit, which also keeps every message's corrected delay from being
// negative: the upper and the lower ends satisfy all bounds, and so does their mean.
func estimateClocks(events []Event, pairs []pair) []Clock {
	sources, indexes := listSources(events)
	limits, counts := bounds{}, make([]int, len(sources))
	for _, p := range pairs {
		from, to := indexes[events[p.cause].Source], indexes[events[p.effect].Source]
		limits.add(from, to, events[p.effect].Time.Sub(events[p.cause].Time))
		counts[from]++
		counts[to]++
	}
	clocks := make([]Clock, len(sources))
	for _, group := range limits.groups(len(sources)) {
		reference := slices.MaxFunc(group, func(a, b int) int {
			return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(b, a))
		})
		upper, lower := limits.distances(reference, group, false), limits.distances(reference, group, true)
		for _, index := range group {
			clocks[index] = makeClock(sources[index], upper[index], lower[index])
			clocks[index].Reference, clocks[index].Pairs = sources[reference], counts[index]
		}
	}
	return clocks
}

func makeClock(source Source, upper, lower time.Duration) Clock {
	clock := Clock{Source: source}
	switch {
	case upper < unbounded && lower < unbounded:
		// With a drifting clock the interval can be empty; its width is then the error.
		clock.Offset = (upper - lower) / 2
		clock.Uncertainty = (upper + lower).Abs() / 2
		clock.Known = true
	case upper < unbounded:
		clock.Offset = upper
	case lower < unbounded:
		clock.Offset = -lower
	}
	return clock
}

func listSources(events []Event) ([]Source, map[Source]int) {
	seen := map[Source]int{}
	var sources []Source
	for _, event := range events {
		if _, ok := seen[event.Source]; !ok {
			seen[event.Source] = 0
			sources = append(sources, event.Source)
		}
	}
	slices.SortFunc(sources, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.DataCentre, b.DataCentre))
	})
	for index, source := range sources {
		seen[source] = index
	}
	return sources, seen
}

func (b bounds) add(from, to int, difference time.Duration) {
	difference = min(max(difference, -unbounded), unbounded-1)
	key := [2]int{from, to}
	if known, ok := b[key]; !ok || difference < known {
		b[key] = difference
	}
}

// groups returns the sets of clocks that messages connect.
func (b bounds) groups(count int) [][]int {
	parent := make([]int, count)
	for index := range parent {
		parent[index] = index
	}
	var root func(int) int
	root = func(index int) int {
		if parent[index] != index {
			parent[index] = root(parent[index])
		}
		return parent[index]
	}
	for key := range b {
		parent[root(key[0])] = root(key[1])
	}
	members := map[int][]int{}
	for index := range count {
		members[root(index)] = append(members[root(index)], index)
	}
	groups := make([][]int, 0, len(members))
	for _, group := range members {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b []int) int { return cmp.Compare(a[0], b[0]) })
	return groups
}

// distances returns the shortest distances from reference, or to it when reversed (Bellman-Ford).
// A negative cycle, which only drift or a wrong pair produces, ends after one round for each clock.
func (b bounds) distances(reference int, group []int, reversed bool) map[int]time.Duration {
	distances := make(map[int]time.Duration, len(group))
	for _, index := range group {
		distances[index] = unbounded
	}
	distances[reference] = 0
	for range group {
		changed := false
		for key, limit := range b {
			from, to := key[0], key[1]
			if reversed {
				from, to = to, from
			}
			at, inGroup := distances[from]
			if !inGroup || at >= unbounded || to == reference || at+limit >= distances[to] {
				continue
			}
			distances[to] = max(at+limit, -unbounded)
			changed = true
		}
		if !changed {
			break
		}
	}
	return distances
}
