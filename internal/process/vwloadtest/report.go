package vwloadtest

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
)

// Report is the result of a load test.
type Report struct {
	Scenario string
	Seed     uint64
	Began    time.Time
	Seconds  float64
	Slots    int

	Jobs       int
	Requests   int
	Complete   int
	Refused    int
	Failed     int
	Cancelled  int
	Unanswered int
	// Started is the number of starts that the stand-ins recorded.
	Started int

	// ResponseRatioMean and ResponseRatioP99 are over the ratios of single jobs and requests. The
	// ratios of the means and of the 99th percentiles beside them do not depend on the order in
	// which jobs are served.
	ResponseRatioMean float64
	ResponseRatioP99  float64
	RatioOfMeans      float64
	RatioOfP99s       float64
	// NetworkDelayMillis is the part of the ideal response time that is not queue or run time.
	NetworkDelayMillis float64
	// WastedMessagesPerTask and DrainWorkRatio are null when they were not measured.
	WastedMessagesPerTask *float64
	DrainWorkRatio        *float64
	// FailingWorkerShare is the largest share of starts that a worker received that failed everything
	// for more than a second. ShareError is the largest relative error of a team's share of the slot
	// time over any 2 s in which all teams waited. Both are null when the case did not occur.
	FailingWorkerShare *float64
	ShareError         *float64

	DuplicateStarts int
	PartialAnswers  int
	InventedResults int
	FalseNotRun     int
	LateStarts      int
	LeavingStarts   int
	Unrecorded      int
	// LostRecords is the number of stand-ins that went away with their record.
	LostRecords int
	// AbortedRuns counts the tasks that were interrupted although nobody cancelled them and no other
	// task of their job failed. Without a crash in the scenario there must be none.
	AbortedRuns int

	Phases []PhaseReport
	// SendLagP99Millis is how late the tool itself sent. A large figure means that the tool, not the
	// system, was the limit.
	SendLagP99Millis float64
	FailedChanges    []string `json:",omitempty"`
	Checks           []Check

	plots []plot
}

// PhaseReport holds the response times of the arrivals of one phase, in milliseconds.
type PhaseReport struct {
	Name     string
	Complete int
	Measured Percentiles
	Ideal    Percentiles
}

// Percentiles sums up a histogram, in milliseconds.
type Percentiles struct {
	Mean, P50, P90, P99, P999, Most float64
}

// Check is one bound of the design page and whether the run kept it.
type Check struct {
	Name  string
	Value float64
	// Bound is the largest permitted value, or the least when AtLeast is set.
	Bound   float64
	AtLeast bool
	Kept    bool
}

// The bounds of the design page, section 1.2.
const (
	wastedBound        = 0.02
	drainWorkBound     = 0.98
	failingWorkerBound = 0.01
	shareErrorBound    = 0.05
)

func makeReport(e *evaluation) Report {
	best := e.runIdeal()
	found := e.responses(best)
	report := Report{
		Scenario: e.scenario.Name, Seed: e.scenario.Seed, Began: e.begin.UTC(), Seconds: e.end.Sub(e.begin).Seconds(),
		Slots: len(e.idealSlots()), Started: len(e.all),
		Requests:              e.count(func(o Outcome) bool { return o.Arrival.Request }),
		Complete:              e.count(func(o Outcome) bool { return o.Final.complete() }),
		Cancelled:             e.count(Outcome.cancelled),
		Refused:               e.count(func(o Outcome) bool { return !o.cancelled() && !o.Answered.IsZero() && o.notRun() }),
		Unanswered:            e.unanswered(),
		NetworkDelayMillis:    millis(e.delay),
		WastedMessagesPerTask: e.wastedPerTask(),
		DrainWorkRatio:        e.drainWorkRatio(best),
		DuplicateStarts:       e.duplicateStarts(),
		PartialAnswers:        e.partialAnswers(),
		InventedResults:       e.inventedResults(),
		FalseNotRun:           e.falseNotRun(),
		LateStarts:            len(e.recorder.LateStarts(e.outages, lateBound)),
		LeavingStarts:         len(e.recorder.StartsAtLeaving(lateBound)),
		Unrecorded:            e.recorder.Unrecorded(),
		LostRecords:           e.lost,
		AbortedRuns:           e.abortedRuns(),
		FailingWorkerShare:    e.failingWorkerShare(),
		ShareError:            e.shareError(),
		SendLagP99Millis:      e.sendLag(),
		FailedChanges:         e.failures,
	}
	report.Jobs = len(e.outcomes) - report.Requests
	report.Failed = len(e.outcomes) - report.Complete - report.Cancelled - report.Refused - report.Unanswered
	report.setRatios(found)
	report.Phases = e.phaseReports(found)
	report.Checks = report.check(e.scenario.Targets)
	report.plots = e.plots(found)
	return report
}

func (o Outcome) cancelled() bool {
	return !o.Answered.IsZero() && !o.Final.complete() && o.Arrival.CancelAfter > 0
}

func (e *evaluation) wastedPerTask() *float64 {
	if e.wasted == nil || len(e.all) == 0 {
		return nil
	}
	perTask := *e.wasted / float64(len(e.all))
	return &perTask
}

func (e *evaluation) sendLag() float64 {
	histogram := makeHistogram()
	for _, outcome := range e.outcomes {
		recordDuration(histogram, outcome.Sent.Sub(outcome.Planned))
	}
	return summarise(histogram).P99
}

func (r *Report) setRatios(found responses) {
	if len(found.ratios) == 0 {
		return
	}
	ratios := slices.Clone(found.ratios)
	slices.Sort(ratios)
	sum := 0.0
	for _, ratio := range ratios {
		sum += ratio
	}
	r.ResponseRatioMean = sum / float64(len(ratios))
	r.ResponseRatioP99 = ratios[int(math.Ceil(0.99*float64(len(ratios))))-1]
	measured, wanted := summarise(histogramOf(found.measured)), summarise(histogramOf(found.ideal))
	r.RatioOfMeans, r.RatioOfP99s = measured.Mean/wanted.Mean, measured.P99/wanted.P99
}

func (e *evaluation) phaseReports(found responses) []PhaseReport {
	reports := make([]PhaseReport, len(e.scenario.Phases))
	for phase := range reports {
		var measured, wanted []time.Duration
		for index, outcome := range found.outcomes {
			if outcome.Arrival.Phase == phase {
				measured, wanted = append(measured, found.measured[index]), append(wanted, found.ideal[index])
			}
		}
		reports[phase] = PhaseReport{
			Name: e.scenario.Phases[phase].Name, Complete: len(measured),
			Measured: summarise(histogramOf(measured)), Ideal: summarise(histogramOf(wanted)),
		}
	}
	return reports
}

func (r *Report) check(targets Targets) []Check {
	checks := []Check{
		atMost("DuplicateStarts", float64(r.DuplicateStarts), 0),
		atMost("PartialAnswers", float64(r.PartialAnswers), 0),
		atMost("InventedResults", float64(r.InventedResults), 0),
		atMost("FalseNotRun", float64(r.FalseNotRun), 0),
		atMost("LateStarts", float64(r.LateStarts), 0),
		atMost("LeavingStarts", float64(r.LeavingStarts), 0),
		atMost("Unanswered", float64(r.Unanswered), 0),
		atMost("Unrecorded", float64(r.Unrecorded), 0),
		atMost("LostRecords", float64(r.LostRecords), 0),
		atMost("FailedChanges", float64(len(r.FailedChanges)), 0),
	}
	if r.WastedMessagesPerTask != nil {
		checks = append(checks, atMost("WastedMessagesPerTask", *r.WastedMessagesPerTask, wastedBound))
	}
	if r.FailingWorkerShare != nil {
		checks = append(checks, atMost("FailingWorkerShare", *r.FailingWorkerShare, failingWorkerBound))
	}
	if r.ShareError != nil {
		checks = append(checks, atMost("ShareError", *r.ShareError, shareErrorBound))
	}
	if r.DrainWorkRatio != nil {
		kept := *r.DrainWorkRatio >= drainWorkBound
		checks = append(checks, Check{Name: "DrainWorkRatio", Value: *r.DrainWorkRatio, Bound: drainWorkBound, AtLeast: true, Kept: kept})
	}
	if targets.ResponseRatioMean > 0 {
		checks = append(checks, checkRatio("ResponseRatioMean", r.ResponseRatioMean, targets.ResponseRatioMean))
	}
	if targets.ResponseRatioP99 > 0 {
		checks = append(checks, checkRatio("ResponseRatioP99", r.ResponseRatioP99, targets.ResponseRatioP99))
	}
	return checks
}

// checkRatio does not count a run as fast in which no complete answer could be compared.
func checkRatio(name string, value, bound float64) Check {
	check := atMost(name, value, bound)
	check.Kept = check.Kept && value > 0
	return check
}

func atMost(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound, Kept: value <= bound}
}

// Broken returns the checks that the run did not keep.
func (r Report) Broken() []Check {
	return slices.DeleteFunc(slices.Clone(r.Checks), func(check Check) bool { return check.Kept })
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(r))
}

// WriteText writes the report for people.
func (r Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var failures []error
	add := func(format string, args ...any) {
		_, err := fmt.Fprintf(table, format, args...)
		failures = append(failures, err)
	}
	add("%s, seed %d: %d jobs and %d requests in %.1f s on %d slots\n", r.Scenario, r.Seed, r.Jobs, r.Requests, r.Seconds, r.Slots)
	add("complete %d, refused %d, failed %d, cancelled %d, unanswered %d; %d tasks started, %d interrupted\n\n",
		r.Complete, r.Refused, r.Failed, r.Cancelled, r.Unanswered, r.Started, r.AbortedRuns)
	add("RESPONSE TIME (ms)\tMEAN\tP50\tP90\tP99\tP99.9\tMOST\n")
	for _, phase := range r.Phases {
		add("%s\t%s\n", phase.Name, phase.Measured)
		add("%s, ideal\t%s\n", phase.Name, phase.Ideal)
	}
	add("\nratio to the ideal: mean %.3f, p99 %.3f; ratio of means %.3f, of p99s %.3f; network delay %.3f ms\n",
		r.ResponseRatioMean, r.ResponseRatioP99, r.RatioOfMeans, r.RatioOfP99s, r.NetworkDelayMillis)
	add("the tool sent up to %.3f ms late (p99)\n\n", r.SendLagP99Millis)
	add("CHECK\tVALUE\tBOUND\tKEPT\n")
	for _, check := range r.Checks {
		add("%s\t%.4g\t%s\t%s\n", check.Name, check.Value, check.BoundText(), check.kept())
	}
	if r.WastedMessagesPerTask == nil {
		add("WastedMessagesPerTask\tnot measured\t\t\n")
	}
	for _, failure := range r.FailedChanges {
		add("a change failed: %s\n", failure)
	}
	return trace.NewAggregate(append(failures, table.Flush())...)
}

// String returns the columns of the text report.
func (p Percentiles) String() string {
	return fmt.Sprintf("%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", p.Mean, p.P50, p.P90, p.P99, p.P999, p.Most)
}

// BoundText returns the bound as the reports show it.
func (c Check) BoundText() string {
	if c.AtLeast {
		return fmt.Sprintf("at least %.4g", c.Bound)
	}
	return fmt.Sprintf("at most %.4g", c.Bound)
}

func (c Check) kept() string {
	if c.Kept {
		return "yes"
	}
	return "NO"
}

const (
	// histogramMost is above the longest answer time-out, in microseconds.
	histogramMost = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits keeps the error of a percentile below a thousandth.
	histogramDigits = 3
)

func makeHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost, histogramDigits)
}

func histogramOf(durations []time.Duration) *hdrhistogram.Histogram {
	histogram := makeHistogram()
	for _, duration := range durations {
		recordDuration(histogram, duration)
	}
	return histogram
}

func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	micros := min(max(int64(duration/time.Microsecond), 0), histogramMost)
	// The value is within the histogram's range, which is the only failure.
	_ = histogram.RecordValue(micros)
}

func summarise(histogram *hdrhistogram.Histogram) Percentiles {
	const unit = float64(time.Millisecond / time.Microsecond)
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / unit }
	return Percentiles{
		Mean: histogram.Mean() / unit, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Most: float64(histogram.Max()) / unit,
	}
}

func millis(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// startsByDataCentre sorts the starts of the run by data centre.
func (e *evaluation) startsByDataCentre() map[string][]vwstandin.Start {
	starts := map[string][]vwstandin.Start{}
	for _, start := range e.all {
		starts[string(start.DataCentre)] = append(starts[string(start.DataCentre)], start)
	}
	return starts
}
