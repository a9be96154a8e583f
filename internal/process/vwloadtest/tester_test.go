package vwloadtest

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

func testScenario() Scenario {
	return Scenario{
		Name: "test", Seed: 7, Service: "muotoilu",
		Entries: []string{"http://e0", "http://e1"}, Operators: []string{"http://o0"},
		Backends: []string{"http://b0", "http://b1"}, Metrics: []string{"http://e0/metrics"},
		AnswerTimeout: vwunit.Duration(30 * time.Second), Settle: defaultSettle,
		Teams: []Team{{Name: "red", Weight: 2}, {Name: "blue", Weight: 1}},
		Phases: []Phase{{
			Name: "steady", Duration: vwunit.Duration(10 * time.Second), Load: 0.8,
			Tasks:     Distribution{Shape: ShapeUniform, Least: 1, Most: 20},
			RunMillis: Distribution{Shape: ShapeUniform, Least: 50, Most: 500},
			Bursts:    []Burst{{At: vwunit.Duration(3 * time.Second), Jobs: 5}},
		}},
	}
}

func runTest(t *testing.T, scenario Scenario, broken fault) Report {
	t.Helper()
	var report Report
	synctest.Test(t, func(t *testing.T) {
		tester := makeTestSystem(broken).tester(scenario)
		tester.Log = slog.New(slog.DiscardHandler)
		var err error
		report, err = tester.Run(t.Context(), scenario)
		require.NoError(t, err)
	})
	return report
}

// A system that equals the ideal must be measured as such, and one that breaks a promise must fail
// the check of that promise and no other.
func TestTesterFindsBrokenPromises(t *testing.T) {
	out := []Change{
		{At: vwunit.Duration(2 * time.Second), Action: ActionOut, DataCentre: "north"},
		{At: vwunit.Duration(8 * time.Second), Action: ActionIn, DataCentre: "north"},
	}
	cases := map[string]struct {
		fault   fault
		changes []Change
		broken  []string
	}{
		"ideal":            {},
		"drain and return": {changes: out},
		"duplicate starts": {fault: faultDuplicate, broken: []string{"DuplicateStarts", "ResponseRatioMean"}},
		"partial answers":  {fault: faultPartial, broken: []string{"PartialAnswers"}},
		"crossed answers":  {fault: faultSwapped, broken: []string{"PartialAnswers"}},
		"invented results": {fault: faultInvented, broken: []string{"InventedResults", "ResponseRatioMean"}},
		"false refusals":   {fault: faultLying, broken: []string{"FalseNotRun", "ResponseRatioMean"}},
		"late starts":      {fault: faultIgnoring, changes: out, broken: []string{"LateStarts"}},
		"silence":          {fault: faultSilent, broken: []string{"Unanswered", "ResponseRatioMean"}},
		"slow dispatch":    {fault: faultSlow, broken: []string{"ResponseRatioMean"}},
		"a failing change": {changes: []Change{{Action: ActionBehave, Mode: "Odd"}}, broken: []string{"FailedChanges"}},
		// The test system goes on to use it and passes its failures on as results.
		"a failing server": {changes: []Change{
			{At: vwunit.Duration(2 * time.Second), Action: ActionBehave, Backend: 1, Mode: vwstandin.ModeFail},
			{At: vwunit.Duration(8 * time.Second), Action: ActionBehave, Backend: 1, Mode: vwstandin.ModeNormal},
		}, broken: []string{"FailingWorkerShare", "PartialAnswers", "InventedResults"}},
		"a slower server": {changes: []Change{{Action: ActionBehave, Mode: vwstandin.ModeSlow, ExtraMillis: 5}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			scenario := testScenario()
			scenario.Changes, scenario.Targets = test.changes, Targets{ResponseRatioMean: 1.1}
			report := runTest(t, scenario, test.fault)
			broken := []string{}
			for _, check := range report.Broken() {
				broken = append(broken, check.Name)
			}
			require.ElementsMatch(t, test.broken, broken, "%+v", report.Checks)
			require.Positive(t, report.Jobs)
		})
	}
}

// A system that stands still must be charged for all arrivals that it kept waiting. A tool that waits
// for answers before it sends more would see a single slow one.
func TestLatencyCountsFromThePlannedTime(t *testing.T) {
	scenario := testScenario()
	one := Distribution{Shape: ShapeConstant, Mean: 1}
	scenario.Phases[0] = Phase{Name: "stall", Duration: vwunit.Duration(2 * time.Second), JobsPerSecond: 100, Tasks: one, RunMillis: one}
	report := runTest(t, scenario, faultStalling)
	require.Greater(t, report.Phases[0].Measured.P90, 600.0)
	require.Less(t, report.Phases[0].Measured.Most, 1100.0)
	require.Less(t, report.Phases[0].Ideal.Most, 50.0)
	require.Zero(t, report.SendLagP99Millis)
}

// A stand-in that was started anew has lost its record, so nothing that it did is checked.
func TestLostRecordIsReported(t *testing.T) {
	system := makeTestSystem(faultNone)
	scenario := testScenario()
	tester := system.tester(scenario)
	tester.Log = slog.New(slog.DiscardHandler)
	before, err := tester.StandIns.Records(t.Context())
	require.NoError(t, err)
	system.backends["b0"] = vwstandin.MakeBackend(vwstandin.Config{Worker: "w0"})
	records, lost := tester.readRecords(t.Context(), before)
	require.Equal(t, 1, lost)
	require.Equal(t, before[0].Slots, records[0].Slots)
}

// All parts of a scenario must reach the report.
func TestTesterDoesEverythingInAScenario(t *testing.T) {
	scenario := testScenario()
	phase := &scenario.Phases[0]
	phase.RequestShare, phase.IdempotentShare = 0.3, 0.5
	phase.CancelShare, phase.CancelAfter = 0.2, vwunit.Duration(10*time.Millisecond)
	phase.ResubmitShare, phase.ResubmitAfter = 0.5, vwunit.Duration(50*time.Millisecond)
	report := runTest(t, scenario, faultNone)
	require.Positive(t, report.Requests)
	require.Equal(t, report.Jobs+report.Requests, report.Complete)
	require.NotNil(t, report.WastedMessagesPerTask)
	require.Zero(t, *report.WastedMessagesPerTask)
	// The test system does not recognise resubmissions, so the tool must see their second starts.
	require.Positive(t, report.DuplicateStarts)
}

// The example must stay valid.
func TestExampleScenario(t *testing.T) {
	scenario, err := LoadScenario(filepath.Join("..", "..", "..", "examples", "loadtest.toml"))
	require.NoError(t, err)
	require.Len(t, scenario.Phases, 3)
	require.NotEmpty(t, scenario.Changes)
}

// A mistake in a scenario must be found before the run.
func TestScenarioIsChecked(t *testing.T) {
	require.NoError(t, testScenario().Check())
	cases := map[string]func(*Scenario){
		"no service":           func(s *Scenario) { s.Service = "" },
		"no entries":           func(s *Scenario) { s.Entries = nil },
		"no backends":          func(s *Scenario) { s.Backends = nil },
		"no teams":             func(s *Scenario) { s.Teams = nil },
		"weightless team":      func(s *Scenario) { s.Teams[0].Weight = 0 },
		"no phases":            func(s *Scenario) { s.Phases = nil },
		"two rates":            func(s *Scenario) { s.Phases[0].JobsPerSecond = 1 },
		"share above one":      func(s *Scenario) { s.Phases[0].CancelShare = 1.1 },
		"unknown shape":        func(s *Scenario) { s.Phases[0].Tasks.Shape = "Round" },
		"late burst":           func(s *Scenario) { s.Phases[0].Bursts[0].At = vwunit.Duration(time.Hour) },
		"no such backend":      func(s *Scenario) { s.Changes = []Change{{Action: ActionLeave, Backend: 2}} },
		"no data centre":       func(s *Scenario) { s.Changes = []Change{{Action: ActionOut}} },
		"unknown action":       func(s *Scenario) { s.Changes = []Change{{Action: "Explode"}} },
		"tail below the usual": func(s *Scenario) { s.Phases[0].RunMillis.TailShare = 0.1 },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			scenario := testScenario()
			spoil(&scenario)
			require.Error(t, scenario.Check())
		})
	}
	_, err := ParseScenario([]byte("Servise = \"x\""))
	require.ErrorContains(t, err, "strict")
}

// The files of the command must exist and hold the report.
func TestOutputWrites(t *testing.T) {
	output := Output{JSON: filepath.Join(t.TempDir(), "r.json"), HTML: filepath.Join(t.TempDir(), "r.html")}
	require.NoError(t, output.Write(sampleReport()))
	for _, path := range []string{output.JSON, output.HTML} {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Contains(t, string(text), "ResponseRatioMean")
	}
}
