package vwstandin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Recorder merges the records of many stand-ins and checks them against the promises. The machines'
// clocks are compared as they are, so the stand-ins must run on one machine or be synchronised.
type Recorder struct {
	mu      sync.Mutex
	records map[vwid.Incarnation]Record
}

// Duplicate is a task that started more than once.
type Duplicate struct {
	SubmissionID vwid.SubmissionID
	TaskID       vwid.TaskID
	Starts       []Start
}

// Outage is the span in which a data centre was out of service. It begins when the operator's
// change was accepted.
type Outage struct {
	DataCentre vwid.DataCentre
	Span
}

// MakeRecorder returns an empty recorder.
func MakeRecorder() *Recorder {
	return &Recorder{records: map[vwid.Incarnation]Record{}}
}

// Add takes the whole record of one run of a stand-in. A later one of the same run replaces it.
func (r *Recorder) Add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.records[record.Incarnation]; ok && len(known.Starts) > len(record.Starts) {
		return
	}
	r.records[record.Incarnation] = record
}

// Fetch reads the record of the stand-in at address.
func Fetch(ctx context.Context, client *http.Client, address string) (Record, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/Starts", nil)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Record{}, trace.Errorf("the stand-in at %s answered %s", address, response.Status)
	}
	var record Record
	err = json.NewDecoder(response.Body).Decode(&record)
	return record, trace.Wrap(err, "reading the record of %s", address)
}

// Records returns the records in the order of their workers.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return records
}

// Starts returns all starts in the order of their times.
func (r *Recorder) Starts() []Start {
	var starts []Start
	for _, record := range r.Records() {
		for _, start := range record.Starts {
			starts = append(starts, record.locate(start))
		}
	}
	slices.SortStableFunc(starts, func(a, b Start) int { return a.At.Compare(b.At) })
	return starts
}

// Unrecorded returns the number of starts that the stand-ins could not record. The checks are
// inconclusive unless it is zero.
func (r *Recorder) Unrecorded() int {
	count := 0
	for _, record := range r.Records() {
		count += record.Unrecorded
	}
	return count
}

// Duplicates returns the tasks that started more than once. A start without a submission or task
// id cannot be told apart from others and counts as a duplicate of those.
func (r *Recorder) Duplicates() []Duplicate {
	type key struct {
		submission vwid.SubmissionID
		task       vwid.TaskID
	}
	first, repeated := map[key]Start{}, map[key]*Duplicate{}
	var keys []key
	for _, start := range r.Starts() {
		k := key{start.SubmissionID, start.TaskID}
		earlier, seen := first[k]
		switch {
		case !seen:
			first[k] = start
		case repeated[k] == nil:
			repeated[k] = &Duplicate{SubmissionID: k.submission, TaskID: k.task, Starts: []Start{earlier, start}}
			keys = append(keys, k)
		default:
			repeated[k].Starts = append(repeated[k].Starts, start)
		}
	}
	duplicates := make([]Duplicate, 0, len(keys))
	for _, k := range keys {
		duplicates = append(duplicates, *repeated[k])
	}
	return duplicates
}

// LateStarts returns the starts in a data centre later than bound after it was taken out.
func (r *Recorder) LateStarts(outages []Outage, bound time.Duration) []Start {
	return r.filter(func(_ Record, start Start) bool {
		return slices.ContainsFunc(outages, func(outage Outage) bool {
			return outage.DataCentre == start.DataCentre && outage.Contains(start.At, bound)
		})
	})
}

// StartsAtLeaving returns the starts at servers that had said more than bound before that they leave.
func (r *Recorder) StartsAtLeaving(bound time.Duration) []Start {
	return r.filter(func(record Record, start Start) bool {
		return slices.ContainsFunc(record.Leaves, func(span Span) bool { return span.Contains(start.At, bound) })
	})
}

func (r *Recorder) filter(keep func(Record, Start) bool) []Start {
	starts := []Start{}
	for _, record := range r.Records() {
		for _, start := range record.Starts {
			if located := record.locate(start); keep(record, located) {
				starts = append(starts, located)
			}
		}
	}
	return starts
}

func (r Record) locate(start Start) Start {
	start.Worker, start.DataCentre = r.Worker, r.DataCentre
	return start
}
