package vwplace

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// minEarnedOfWhole is the part of its value that the worst-served kind of job must earn, relative to that of all jobs. It
// is the users' target for the worst-served kind on days with trouble.
const minEarnedOfWhole = 0.85

// fleetSize is the size of a simulated installation of the users.
type fleetSize struct {
	entries, workers, coresEach, centres int
	// milli is the mean need of a task in thousandths of a core.
	milli  float64
	length time.Duration
	seeds  int
}

var (
	smallFleet = fleetSize{entries: 4, workers: 11, coresEach: 16, centres: 4, milli: 1600, length: 20 * time.Second, seeds: 3}
	// largeFleet has hundreds of workers, and each agent has links to a few of the entries.
	largeFleet = fleetSize{entries: 55, workers: 240, coresEach: 32, centres: 5, milli: 7600, length: 3 * time.Second, seeds: 1}
)

// entriesPerAgent is the number of entries that an agent has links to.
const entriesPerAgent = 6

// chooseEntries picks the entries of an agent: those of its own data centre first, in turn with those of the others.
func chooseEntries(a *simulatedAgent, entries []*simulatedEntry) []*simulatedEntry {
	groups := map[vwid.DataCentre][]*simulatedEntry{}
	for _, e := range entries {
		groups[e.centre] = append(groups[e.centre], e)
	}
	centres := make([]vwid.DataCentre, 0, len(groups))
	for centre, group := range groups {
		centres = append(centres, centre)
		slices.SortFunc(group, func(x, y *simulatedEntry) int { return cmp.Compare(linkRank(a, x), linkRank(a, y)) })
	}
	slices.SortFunc(centres, func(x, y vwid.DataCentre) int {
		if (x == a.centre) != (y == a.centre) {
			if x == a.centre {
				return -1
			}
			return 1
		}
		return cmp.Compare(x, y)
	})
	var chosen []*simulatedEntry
	for turn := 0; len(chosen) < min(entriesPerAgent, len(entries)); turn++ {
		for _, centre := range centres {
			if group := groups[centre]; turn < len(group) && len(chosen) < entriesPerAgent {
				chosen = append(chosen, group[turn])
			}
		}
	}
	return chosen
}

func linkRank(a *simulatedAgent, e *simulatedEntry) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, a.id, "/", e.id)
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// simulate runs an installation at a load; at 1 the jobs need all cores on average.
func (f *fleetSize) simulate(seed uint64, load float64) *simulation {
	work := 0.0
	for _, kind := range userJobKinds(1, f.milli) {
		work += kind.jobsPerSecond * kind.meanTasks * kind.meanRun.Seconds() * f.milli / 1000
	}
	kinds := userJobKinds(load*float64(f.workers*f.coresEach)/work, f.milli)
	s := makeLinkedSimulation(seed, f.entries, f.workers, f.coresEach, f.centres, kinds, usualDelays, chooseEntries)
	s.run(f.length)
	return s
}

// fleetReport holds the means over the seeds of a simulation.
type fleetReport struct {
	earned, refusedLate, messagesPerStart float64
	byKind                                []float64
}

func (f *fleetSize) report(t *testing.T, load float64) fleetReport {
	var sum fleetReport
	for seed := range f.seeds {
		s := f.simulate(uint64(seed+1), load)
		t.Logf("seed %d: %s", seed+1, s.summary())
		part := 1 / float64(f.seeds)
		sum.earned += part * s.earnedPart()
		sum.refusedLate += part * s.lateRefusedPart()
		sum.messagesPerStart += part * float64(s.messages) / float64(s.starts)
		sum.byKind = slices.Grow(sum.byKind, len(s.reports))[:len(s.reports)]
		for i := range s.reports {
			sum.byKind[i] += part * s.reports[i].earnedWeight / s.reports[i].weight
		}
	}
	return sum
}

// The kind with the shortest objective has the widest jobs, the highest level and the most value per core. If waiting jobs
// are ordered by the time until which they can wait, it is refused first when there is too much work, and callers whose
// requests matter most get the least.
func TestOverloadDoesNotStarveTheMostUrgentKind(t *testing.T) {
	for name, fleet := range map[string]struct {
		size  fleetSize
		loads []float64
	}{
		"small": {smallFleet, []float64{1, 1.15, 1.3}},
		"large": {largeFleet, []float64{1.15}},
	} {
		for _, load := range fleet.loads {
			t.Run(fmt.Sprintf("%s at %v", name, load), func(t *testing.T) {
				report := fleet.size.report(t, load)
				require.GreaterOrEqual(t, slices.Min(report.byKind), minEarnedOfWhole*report.earned)
			})
		}
	}
}

// A task that waited for a moment made its entry send a demand to every linked worker and take it back at once. With hundreds
// of workers, most of the messages between entries and agents were such demands, and the agents' processors handled little
// else.
func TestMessagesOfALargeFleet(t *testing.T) {
	// maxMessagesPerStart is the number of links of an agent: more messages than that for each start mean that entries are
	// told of changes more than once.
	const maxMessagesPerStart = entriesPerAgent
	report := largeFleet.report(t, 1)
	require.LessOrEqual(t, report.messagesPerStart, float64(maxMessagesPerStart))
}
