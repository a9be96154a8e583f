package vwmessage

import (
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

//go:generate go tool msgp -tests=false -io=false -o run_gen.go -file run.go

//msgp:replace vwid.Worker with:string
//msgp:replace vwid.Service with:string
//msgp:replace vwid.Team with:string
//msgp:replace vwid.SubmissionID with:string
//msgp:replace vwverdict.Verdict with:uint8

// The messages of best-effort jobs are tuples: they are sent for each task, and names would be most of their
// bytes.
//msgp:tuple Offer Load Resume RunRef Run RunTask RunEnd StopRuns Want RankedWant PackedRun

// Offer describes the worker that grants leases beside the sending agent. It is sent alone when it changes.
type Offer struct {
	Worker   vwid.Worker
	Service  vwid.Service
	Labels   []string
	Capacity vwresource.Amount
	// SettleMilliseconds is how long runs may go on after the agent has lost the link to their entry, however
	// the agent and the worker fare.
	SettleMilliseconds int64
}

// Load tells an entry what the sending agent can start. It is sent when that changes, and with each RunEnd.
type Load struct {
	// Accepting tells whether the agent starts anything now; Reason says why not.
	Accepting bool
	Reason    string
	// Free is the room that is left beside what is kept for other entries.
	Free vwresource.Amount
	// Kept is the part of Free that no other entry gets for a moment, because this one has asked for it.
	Kept vwresource.Amount
	// Received counts the tasks that the agent has received over this link, so that the entry knows which of
	// those that it sent are not in Free yet.
	Received uint64
	// Slowdown is how much longer runs take here than they were expected to.
	Slowdown float64
}

// Resume is the first message of an agent on a link. It tells what the agent has of the entry's runs: a task
// that it does not name has not started since the entry sent it, and will not.
type Resume struct {
	Offer Offer
	Load  Load
	Held  []RunRef
	Ended []RunEnd
}

// RunRef names one attempt of a task.
type RunRef struct {
	JobID   vwid.SubmissionID
	Step    int
	Index   int
	Attempt int
}

// Run asks an agent to start tasks of one step of a best-effort job.
type Run struct {
	JobID   vwid.SubmissionID
	Step    int
	Team    vwid.Team
	Payload []byte
	Needs   vwresource.Amount
	// ExpectedMicroseconds is how long each task is expected to run here.
	ExpectedMicroseconds int64
	// EndWithinMilliseconds is how long the runs are of use.
	EndWithinMilliseconds int64
	Tasks                 []RunTask
}

// RunTask is one task of a Run.
type RunTask struct {
	Index   int
	Attempt int
}

// RunEnd tells that an attempt does not run and will not, and why.
type RunEnd struct {
	Ref RunRef
	// Outcome is a vwrun.Outcome.
	Outcome         uint8
	Verdict         vwverdict.Verdict
	Reason          string
	RunMicroseconds int64
	Load            Load
}

// StopRuns ends all runs of a job.
type StopRuns struct {
	JobID  vwid.SubmissionID
	Reason string
}

// Want tells an agent that tasks wait at the entry which could run at its worker. Zero tasks end the interest.
type Want struct {
	Tasks int
	// Needs is what the largest of them needs.
	Needs vwresource.Amount
	// WithinMilliseconds is when the most urgent one has to start.
	WithinMilliseconds int64
}

// RankedWant is a Want with the highest level of the waiting tasks. Among the demands of entries a higher level comes first;
// a Want has level zero. It is sent to peers from RevisionPackedRun on.
type RankedWant struct {
	Want  Want
	Level int
}

// PackedRun is a Run whose payload is compressed by PackPayload. It is sent to peers from RevisionPackedRun on.
type PackedRun struct {
	Run Run
}
