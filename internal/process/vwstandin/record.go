package vwstandin

import (
	"sync"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// maxStarts bounds the memory of one stand-in's record to about 500 MB. Starts beyond it are
// counted as Unrecorded, which makes a check of the record inconclusive.
const maxStarts = 2_000_000

// Outcome tells how a started task ended.
type Outcome string

// The outcomes of started tasks.
const (
	// OutcomeRunning is the outcome of a task that has not ended.
	OutcomeRunning Outcome = "Running"
	OutcomeDone    Outcome = "Done"
	OutcomeFailed  Outcome = "Failed"
	// OutcomeAborted means that the caller closed the connection, or the server stopped, first.
	OutcomeAborted Outcome = "Aborted"
)

// Start is the record of one task that reached the backend server.
type Start struct {
	SubmissionID vwid.SubmissionID
	TaskID       vwid.TaskID
	Epoch        vwid.Epoch
	Service      vwid.Service
	// Tag is the payload's Tag. It tells tasks apart without relying on the ids that the dispatcher sets.
	Tag string `json:",omitempty"`
	// DataCentre and Worker are absent in a Record, which names them once.
	DataCentre vwid.DataCentre `json:",omitzero"`
	Worker     vwid.Process    `json:",omitzero"`
	At         time.Time
	EndedAt    time.Time `json:",omitzero"`
	Outcome    Outcome
}

// Record is everything that one run of a stand-in has started.
type Record struct {
	Worker      vwid.Process
	Incarnation vwid.Incarnation
	DataCentre  vwid.DataCentre
	Slots       int
	// Leaves are the spans in which the server was leaving, which begin when its agent was told.
	Leaves []Span `json:",omitempty"`
	// MostRunning is the highest number of tasks that ran at the same time.
	MostRunning int
	// Unrecorded counts the starts that no longer fitted.
	Unrecorded int
	Starts     []Start
}

// Span is a span of time. A zero End means that it lasts.
type Span struct {
	Begin time.Time
	End   time.Time `json:",omitzero"`
}

// Contains reports whether at lies in the span when it begins later by grace.
func (s Span) Contains(at time.Time, grace time.Duration) bool {
	return at.After(s.Begin.Add(grace)) && (s.End.IsZero() || at.Before(s.End))
}

// log collects the record of one stand-in.
type log struct {
	mu      sync.Mutex
	record  Record
	running int
}

// begin records a start and returns its index, which is negative when it did not fit.
func (l *log) begin(start Start) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	l.record.MostRunning = max(l.record.MostRunning, l.running)
	if len(l.record.Starts) >= maxStarts {
		l.record.Unrecorded++
		return -1
	}
	l.record.Starts = append(l.record.Starts, start)
	return len(l.record.Starts) - 1
}

func (l *log) tag(index int, tag string) {
	if index < 0 || tag == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Starts[index].Tag = tag
}

func (l *log) end(index int, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if index >= 0 {
		l.record.Starts[index].EndedAt = time.Now()
		l.record.Starts[index].Outcome = outcome
	}
}

// leave records that the server began to leave. It reports false when it already was.
func (l *log) leave() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving() {
		return false
	}
	l.record.Leaves = append(l.record.Leaves, Span{Begin: time.Now()})
	return true
}

func (l *log) comeBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving() {
		l.record.Leaves[len(l.record.Leaves)-1].End = time.Now()
	}
}

func (l *log) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving()
}

func (l *log) leaving() bool {
	count := len(l.record.Leaves)
	return count > 0 && l.record.Leaves[count-1].End.IsZero()
}

// snapshot returns a copy of the record without the first from starts.
func (l *log) snapshot(from int) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.record
	from = min(max(from, 0), len(record.Starts))
	record.Starts = append([]Start{}, record.Starts[from:]...)
	record.Leaves = append([]Span(nil), record.Leaves...)
	return record
}
