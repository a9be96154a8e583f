package vwloadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// delayProbes is the number of calls of which the median is the network delay.
const delayProbes = 21

// Tester runs load tests. Run fills in what is left nil for the HTTP interfaces of the scenario.
type Tester struct {
	Target   Target
	StandIns StandIns
	Log      *slog.Logger
}

// Run runs the load test of a scenario. The stand-ins must be up before, and are left running.
func Run(ctx context.Context, scenario Scenario, log *slog.Logger) (Report, error) {
	client := &http.Client{}
	tester := Tester{Target: makeHTTPTarget(scenario), StandIns: &httpStandIns{client: client, scenario: scenario}, Log: log}
	return tester.Run(ctx, scenario)
}

// Run runs the load test of a scenario.
func (t Tester) Run(ctx context.Context, scenario Scenario) (Report, error) {
	before, err := t.StandIns.Records(ctx)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	slots := 0
	for _, record := range before {
		slots += record.Slots
	}
	delay, err := t.measureDelay(ctx)
	if err != nil {
		return Report{}, trace.Wrap(err, "measuring the network delay")
	}
	wastedBefore := t.StandIns.Wasted(ctx)
	id := string(vwid.MakeIncarnation())[:8]
	d := driver{scenario: scenario, target: t.Target, control: t.StandIns, log: t.Log}
	begin := time.Now()
	if err := d.run(ctx, MakePlan(scenario, slots, id)); err != nil {
		return Report{}, trace.Wrap(err)
	}
	end := time.Now()
	if err := vwgroup.Sleep(ctx, time.Duration(scenario.Settle)); err != nil {
		return Report{}, trace.Wrap(err)
	}
	records, lost := t.readRecords(ctx, before)
	return makeReport(evaluate(run{
		scenario: scenario, id: id, begin: begin, end: end, outcomes: d.outcomes, outages: d.outages, failing: d.failing,
		records: records, lost: lost, delay: delay + time.Duration(scenario.ExtraDelay),
		wasted: difference(wastedBefore, t.StandIns.Wasted(ctx)), failures: d.failures,
	})), nil
}

// readRecords reads the records after a run. A stand-in that has gone or was started anew has lost
// its record; the one from before the run takes its place, and the checks are inconclusive.
func (t Tester) readRecords(ctx context.Context, before []vwstandin.Record) (records []vwstandin.Record, lost int) {
	records, err := t.StandIns.Records(ctx)
	if err != nil {
		t.Log.Error("a stand-in's record cannot be read", "error", err)
	}
	for index := range records {
		if records[index].Incarnation != before[index].Incarnation {
			records[index] = before[index]
			lost++
		}
	}
	return records, lost
}

// measureDelay returns the median delay of the call to an entry plus that of a call to a stand-in,
// which are the two round trips that no dispatcher can avoid.
func (t Tester) measureDelay(ctx context.Context) (time.Duration, error) {
	var sum time.Duration
	for _, probe := range []func(context.Context) (time.Duration, error){t.Target.Delay, t.StandIns.Delay} {
		delays := make([]time.Duration, delayProbes)
		for index := range delays {
			var err error
			if delays[index], err = probe(ctx); err != nil {
				return 0, trace.Wrap(err)
			}
		}
		slices.Sort(delays)
		sum += delays[len(delays)/2]
	}
	return sum, nil
}

func difference(before, after *float64) *float64 {
	if before == nil || after == nil {
		return nil
	}
	result := *after - *before
	return &result
}

// Command is the command loadtest.
type Command struct {
	// Scenario is the path of the scenario file.
	Scenario string
	Output   Output
	Out      io.Writer
	// Log receives the log as lines of JSON.
	Log io.Writer
}

// Run runs the scenario and writes the reports. A target or promise that was not kept is an ErrBroken.
func (c Command) Run(ctx context.Context) error {
	scenario, err := LoadScenario(c.Scenario)
	if err != nil {
		return trace.Wrap(err)
	}
	report, err := Run(ctx, scenario, slog.New(slog.NewJSONHandler(c.Log, nil)))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := trace.NewAggregate(report.WriteText(c.Out), c.Output.Write(report)); err != nil {
		return trace.Wrap(err)
	}
	if broken := report.Broken(); len(broken) > 0 {
		return trace.Wrap(ErrBroken{Checks: len(broken)})
	}
	return nil
}

// ErrBroken is returned when a run did not keep a promise or a target. The report says which.
type ErrBroken struct{ Checks int }

// Error implements error.
func (e ErrBroken) Error() string {
	return fmt.Sprintf("%d checks were not kept", e.Checks)
}

// IsErrBroken reports whether err says that a run did not keep a promise or a target.
func IsErrBroken(err error) bool {
	var broken ErrBroken
	return errors.As(err, &broken)
}

// Output says where the command loadtest writes its report. Empty paths are left out.
type Output struct {
	JSON string
	HTML string
}

// Write writes the report to the files.
func (o Output) Write(report Report) error {
	for path, write := range map[string]func(*os.File) error{
		o.JSON: func(file *os.File) error { return report.WriteJSON(file) },
		o.HTML: func(file *os.File) error { return report.WriteHTML(file) },
	} {
		if path == "" {
			continue
		}
		file, err := os.Create(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := trace.NewAggregate(write(file), file.Close()); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// StandIns are the stand-in backend servers and the metrics of the processes as the tool sees them.
type StandIns interface {
	// Records returns one record for each stand-in, in the order of the scenario's Backends. One that
	// cannot be read is empty and part of the error.
	Records(ctx context.Context) ([]vwstandin.Record, error)
	Change(ctx context.Context, change Change) error
	Delay(ctx context.Context) (time.Duration, error)
	// Wasted returns the number of wasted messages so far, or nil when it is not known.
	Wasted(ctx context.Context) *float64
}
