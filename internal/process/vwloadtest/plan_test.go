package vwloadtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Two versions can be compared only on the same arrivals.
func TestPlanFollowsTheSeed(t *testing.T) {
	scenario := testScenario()
	require.Equal(t, MakePlan(scenario, 16, "r"), MakePlan(scenario, 16, "r"))
	other := scenario
	other.Seed++
	require.NotEqual(t, MakePlan(scenario, 16, "r"), MakePlan(other, 16, "r"))
}

// A ratio at 80 % of capacity means nothing when the tool sends another load.
func TestPlanOffersTheLoad(t *testing.T) {
	scenario := testScenario()
	phase := &scenario.Phases[0]
	phase.Bursts, phase.Duration = nil, vwunit.Duration(20*time.Minute)
	phase.RunMillis.TailShare, phase.RunMillis.TailMost = 0.02, 5000
	phase.RequestShare = 0.2
	work, tags := 0.0, map[string]bool{}
	for _, arrival := range MakePlan(scenario, 88, "r") {
		for _, task := range arrival.Tasks {
			work += task.RunMillis / 1000
			tags[task.Tag] = true
		}
	}
	require.InEpsilon(t, 0.8*88*(20*time.Minute).Seconds(), work, 0.03)
	require.Greater(t, len(tags), 1000)
}

// Every ratio is relative to the ideal system, so a mistake in it would hide a slow dispatcher.
func TestIdealSystem(t *testing.T) {
	origin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return origin.Add(time.Duration(seconds) * time.Second) }
	task := func(arrival, run int) idealTask { return idealTask{at(arrival), time.Duration(run) * time.Second} }
	span := func(begin, end int) vwstandin.Span { return vwstandin.Span{Begin: at(begin), End: at(end)} }
	cases := map[string]struct {
		slots []idealSlot
		tasks []idealTask
		ends  []int
	}{
		"free slots":           {make([]idealSlot, 2), []idealTask{task(0, 3), task(1, 1)}, []int{3, 2}},
		"queue":                {make([]idealSlot, 1), []idealTask{task(0, 3), task(1, 1), task(9, 1)}, []int{3, 4, 10}},
		"first come first":     {make([]idealSlot, 2), []idealTask{task(0, 5), task(0, 2), task(1, 1), task(1, 1)}, []int{5, 2, 3, 4}},
		"no preemption":        {[]idealSlot{{closed: []vwstandin.Span{span(2, 9)}}}, []idealTask{task(0, 5), task(1, 1)}, []int{5, 10}},
		"closed at arrival":    {[]idealSlot{{closed: []vwstandin.Span{span(2, 9)}}}, []idealTask{task(3, 1)}, []int{10}},
		"closed twice":         {[]idealSlot{{closed: []vwstandin.Span{span(2, 5), span(5, 9)}}}, []idealTask{task(3, 1)}, []int{10}},
		"other slot is open":   {[]idealSlot{{closed: []vwstandin.Span{span(0, 9)}}, {}}, []idealTask{task(1, 2), task(1, 2)}, []int{3, 5}},
		"closed for ever":      {[]idealSlot{{closed: []vwstandin.Span{{Begin: at(2)}}}}, []idealTask{task(1, 1), task(2, 1)}, []int{2, -1}},
		"no slots":             {nil, []idealTask{task(0, 1)}, []int{-1}},
		"open before a closed": {[]idealSlot{{closed: []vwstandin.Span{span(8, 9)}}}, []idealTask{task(1, 1)}, []int{2}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for index, result := range serve(test.slots, test.tasks) {
				if test.ends[index] < 0 {
					require.Zero(t, result)
					continue
				}
				require.Equal(t, at(test.ends[index]), result.end, "task %d", index)
			}
		})
	}
}
