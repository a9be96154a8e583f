// Package vwmetrics serves the metrics of a process as a page in the Prometheus text format.
package vwmetrics

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
)

// contentType is that of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// latencyBuckets are the upper bounds of all histograms, in seconds. They double from half a
// millisecond, below a network round trip, to above a minute.
var latencyBuckets = metrics.ExponentialBuckets(0.0005, 2, 18)

// Metrics is the set of metrics of one process.
type Metrics struct {
	set *metrics.Set
	mu  sync.Mutex
	// families are the registered descriptions by name.
	families map[string]Description
}

// Label tells apart the samples of one metric.
type Label struct{ Name, Value string }

// Make returns an empty set.
func Make() *Metrics {
	return &Metrics{set: metrics.NewSet(), families: map[string]Description{}}
}

// Counter returns the counter with these labels and makes it when there is none.
func (m *Metrics) Counter(description Description, labels ...Label) *metrics.Counter {
	return m.set.GetOrCreateCounter(m.register(description, KindCounter, labels))
}

// Histogram returns the histogram with these labels and makes it when there is none.
func (m *Metrics) Histogram(description Description, labels ...Label) *metrics.PrometheusHistogram {
	return m.set.GetOrCreatePrometheusHistogramExt(m.register(description, KindHistogram, labels), latencyBuckets)
}

// Number is what a watched value may be.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// Watch adds a counter or gauge whose value is read at each request for the page. Load must be
// safe for concurrent use and must not wait.
func Watch[T Number](m *Metrics, description Description, load func() T, labels ...Label) {
	kind := KindGauge
	if description.Kind == KindCounter {
		kind = KindCounter
	}
	// The library's gauge reads its value by a function; the page states the description's kind.
	m.set.NewGauge(m.register(description, kind, labels), func() float64 { return float64(load()) })
}

// WatchBool adds a gauge that is 1 or 0.
func WatchBool(m *Metrics, description Description, load func() bool, labels ...Label) {
	Watch(m, description, func() int {
		if load() {
			return 1
		}
		return 0
	}, labels...)
}

// register returns the name of the sample. A kind that does not fit is a mistake in the program.
func (m *Metrics) register(description Description, kind Kind, labels []Label) string {
	if description.Kind != kind {
		panic(fmt.Sprintf("metric %s is a %s, not a %s", description.Name, description.Kind, kind))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.families[description.Name] = description
	return sampleName(description.Name, labels)
}

func sampleName(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, len(labels))
	for index, label := range labels {
		parts[index] = fmt.Sprintf("%s=%q", label.Name, label.Value)
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

// Handler returns the page, for the operators' address.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", contentType)
		// A failing write means that the reader has gone.
		_ = m.Write(writer)
	})
}

// Write writes the page: the process's own metrics with help and type, then those of the Go runtime.
func (m *Metrics) Write(out io.Writer) error {
	var samples bytes.Buffer
	m.set.WritePrometheus(&samples)
	page := bufio.NewWriter(out)
	lines := m.group(samples.Bytes())
	m.mu.Lock()
	families := maps.Clone(m.families)
	m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		family := families[name]
		if _, err := fmt.Fprintf(page, "# HELP %s %s Unit: %s.\n# TYPE %s %s\n", name, family.Help, family.Unit, name, family.Kind); err != nil {
			return trace.Wrap(err)
		}
		for _, line := range lines[name] {
			if _, err := page.WriteString(line + "\n"); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	metrics.WriteProcessMetrics(page)
	return trace.Wrap(page.Flush())
}

// group sorts the lines of samples into their families.
func (m *Metrics) group(samples []byte) map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := map[string][]string{}
	for line := range strings.Lines(string(samples)) {
		line = strings.TrimSuffix(line, "\n")
		name := line[:strings.IndexAny(line+" ", "{ ")]
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			base, cut := strings.CutSuffix(name, suffix)
			if cut && m.families[base].Kind == KindHistogram {
				name = base
			}
		}
		lines[name] = append(lines[name], line)
	}
	return lines
}
