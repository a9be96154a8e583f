package vwplace

// Reasons for which a job is refused, given up or cancelled.
const (
	reasonFitsNoWorker = "no worker has the capacity for a task"
	reasonTooMuchWaits = "more waits than can start in time"
	reasonDisplaced    = "a job whose refusal would cost more comes first"
	reasonNoRoom       = "no worker has had room in time"
	reasonEndsLate     = "the tasks that wait can no longer end in time"
	reasonEarlierRuns  = "earlier runs of the job have not ended in time"
	reasonOver         = "the time for an answer is over"
	reasonStops        = "the entry stops before the job can end"
	reasonCallerLeft   = "the caller had left when tasks could be sent"
)

// Cause is the short name of why a job was refused, for metrics.
type Cause string

// The causes.
const (
	// CauseFitsNoWorker means that no worker has the capacity for a task.
	CauseFitsNoWorker Cause = "fits_no_worker"
	// CauseForecast means that more waits than can start in time.
	CauseForecast Cause = "forecast"
	// CauseDisplaced means that the job waited, and one whose refusal would cost more came.
	CauseDisplaced Cause = "displaced"
	// CauseNoRoom means that the job was let wait, and no worker has had room in time.
	CauseNoRoom Cause = "no_room"
	// CauseStop means that the entry stops.
	CauseStop Cause = "stop"
	// CauseOther stands for all other causes.
	CauseOther Cause = "other"
)

var causes = map[string]Cause{
	reasonFitsNoWorker: CauseFitsNoWorker, reasonTooMuchWaits: CauseForecast, reasonDisplaced: CauseDisplaced,
	reasonNoRoom: CauseNoRoom, reasonStops: CauseStop,
}

func causeOf(reason string) Cause {
	if cause, ok := causes[reason]; ok {
		return cause
	}
	return CauseOther
}
