package vwplace

import (
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// staleRuns holds the runs that agents may still have although their job does not count on them. While a job has any, none
// of its tasks may be sent: a task must not run twice at the same time.
type staleRuns struct {
	byWorker map[*worker]map[vwmessage.RunRef]bool
	// countByJob counts the runs of each job.
	countByJob map[vwid.SubmissionID]int
}

func makeStaleRuns() staleRuns {
	return staleRuns{byWorker: map[*worker]map[vwmessage.RunRef]bool{}, countByJob: map[vwid.SubmissionID]int{}}
}

func (s *staleRuns) add(w *worker, ref vwmessage.RunRef) {
	if s.byWorker[w] == nil {
		s.byWorker[w] = map[vwmessage.RunRef]bool{}
	}
	if !s.byWorker[w][ref] {
		s.byWorker[w][ref] = true
		s.countByJob[ref.JobID]++
	}
}

// remove removes a run that has ended and reports whether it was stale.
func (s *staleRuns) remove(w *worker, ref vwmessage.RunRef) bool {
	if !s.byWorker[w][ref] {
		return false
	}
	delete(s.byWorker[w], ref)
	if s.countByJob[ref.JobID]--; s.countByJob[ref.JobID] == 0 {
		delete(s.countByJob, ref.JobID)
	}
	return true
}

// removeWorker removes the runs at a worker.
func (s *staleRuns) removeWorker(w *worker) {
	for ref := range s.byWorker[w] {
		s.remove(w, ref)
	}
	delete(s.byWorker, w)
}

// has reports whether the job has stale runs.
func (s *staleRuns) has(job vwid.SubmissionID) bool {
	return s.countByJob[job] > 0
}
