// Package vwevent is the event log of a process and the time line that merges the logs of many.
package vwevent

import (
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Kind is the type of an event.
type Kind string

// The kinds of events. Unless said otherwise, Peer is the process at the other end.
const (
	ProcessStarted  Kind = "ProcessStarted"
	ProcessStopping Kind = "ProcessStopping"
	LeaseGained     Kind = "LeaseGained"
	LeaseLost       Kind = "LeaseLost"
	// ConfigApplied carries the ConfigVersion that the process acts under from now on.
	ConfigApplied      Kind = "ConfigApplied"
	SubmissionAccepted Kind = "SubmissionAccepted"
	// SubmissionRefused carries the reason as Message.
	SubmissionRefused Kind = "SubmissionRefused"
	SubmissionQueued  Kind = "SubmissionQueued"
	// TaskSent is the entry's Start message, TaskStarted its effect at the agent.
	TaskSent    Kind = "TaskSent"
	TaskStarted Kind = "TaskStarted"
	// TaskEnded is the end of the backend server's call, ResultReceived the result at the entry.
	TaskEnded      Kind = "TaskEnded"
	ResultReceived Kind = "ResultReceived"
	AnswerSent     Kind = "AnswerSent"
	// Cancelled is the caller's cancellation of a submission.
	Cancelled Kind = "Cancelled"
	// TookOver carries the new epoch; Peer is the former owner.
	TookOver           Kind = "TookOver"
	FenceSent          Kind = "FenceSent"
	Fenced             Kind = "Fenced"
	FenceReplyReceived Kind = "FenceReplyReceived"
	ConnectionOpened   Kind = "ConnectionOpened"
	// ConnectionClosed carries the reason as Message.
	ConnectionClosed Kind = "ConnectionClosed"
	// LeaderElected carries the term; Peer is the leader.
	LeaderElected Kind = "LeaderElected"
	LeaderLost    Kind = "LeaderLost"
	// DataCentreOut and DataCentreIn carry the data centre as Subject and the ConfigVersion.
	DataCentreOut Kind = "DataCentreOut"
	DataCentreIn  Kind = "DataCentreIn"
	// WorkerAnnounced and WorkerLeaving are what a backend server tells its agent.
	WorkerAnnounced Kind = "WorkerAnnounced"
	WorkerLeaving   Kind = "WorkerLeaving"
	// EventsDropped carries how many events before it did not fit into the buffer as Count.
	EventsDropped Kind = "EventsDropped"
)

// need tells which fields an event of a kind must have.
type need uint8

const (
	needSubmission need = 1 << iota
	needTask
	needPeer
	needSubject
)

var kinds = map[Kind]need{
	ProcessStarted: 0, ProcessStopping: 0, LeaseGained: 0, LeaseLost: 0, ConfigApplied: 0,
	SubmissionAccepted: needSubmission, SubmissionRefused: 0, SubmissionQueued: needSubmission,
	TaskSent: needSubmission | needTask, TaskStarted: needSubmission | needTask,
	TaskEnded: needSubmission | needTask, ResultReceived: needSubmission | needTask,
	AnswerSent: needSubmission, Cancelled: needSubmission, TookOver: needSubmission,
	FenceSent: needSubmission | needPeer, Fenced: needSubmission | needPeer,
	FenceReplyReceived: needSubmission | needPeer,
	ConnectionOpened:   needPeer, ConnectionClosed: needPeer, LeaderElected: 0, LeaderLost: 0,
	DataCentreOut: needSubject, DataCentreIn: needSubject, WorkerAnnounced: 0, WorkerLeaving: 0,
	EventsDropped: 0,
}

// Source is the process that an event log belongs to.
type Source struct {
	Process     vwid.Process
	Incarnation vwid.Incarnation
	DataCentre  vwid.DataCentre
}

// Event is one line of an event log. Fields that do not apply to its Kind are empty.
type Event struct {
	Time time.Time
	Kind Kind
	// Source and Sequence are set by the Log. Sequence counts the lines of one log from 1.
	Source
	Sequence     uint64
	SubmissionID vwid.SubmissionID
	TaskID       vwid.TaskID
	Epoch        vwid.Epoch
	Service      vwid.Service
	Team         vwid.Team
	Peer         vwid.Process
	Version      vwid.ConfigVersion
	Term         uint64
	Subject      string
	Verdict      string
	Count        int64
	Message      string
}

// Check tells what a line lacks to be an event of its kind.
func (e Event) Check() error {
	needs, known := kinds[e.Kind]
	switch {
	case !known:
		return trace.BadParameter("unknown kind %q", e.Kind)
	case e.Time.IsZero():
		return trace.BadParameter("%s without a time", e.Kind)
	case e.Process == "" || e.Incarnation == "":
		return trace.BadParameter("%s without process and incarnation", e.Kind)
	case needs&needSubmission != 0 && e.SubmissionID == "":
		return trace.BadParameter("%s without a submission", e.Kind)
	case needs&needTask != 0 && e.TaskID == "":
		return trace.BadParameter("%s without a task", e.Kind)
	case needs&needPeer != 0 && e.Peer == "":
		return trace.BadParameter("%s without a peer", e.Kind)
	case needs&needSubject != 0 && e.Subject == "":
		return trace.BadParameter("%s without a subject", e.Kind)
	}
	return nil
}

// attributes returns the fields that are set, in a fixed order.
func (e Event) attributes() []slog.Attr {
	attributes := make([]slog.Attr, 0, 16)
	text := func(name, value string) {
		if value != "" {
			attributes = append(attributes, slog.String(name, value))
		}
	}
	number := func(name string, value uint64) {
		if value != 0 {
			attributes = append(attributes, slog.Uint64(name, value))
		}
	}
	text("Process", string(e.Process))
	text("Incarnation", string(e.Incarnation))
	text("DataCentre", string(e.DataCentre))
	number("Sequence", e.Sequence)
	text("SubmissionID", string(e.SubmissionID))
	text("TaskID", string(e.TaskID))
	number("Epoch", uint64(e.Epoch))
	text("Service", string(e.Service))
	text("Team", string(e.Team))
	text("Peer", string(e.Peer))
	number("Version", uint64(e.Version))
	number("Term", e.Term)
	text("Subject", e.Subject)
	text("Verdict", e.Verdict)
	if e.Count != 0 {
		attributes = append(attributes, slog.Int64("Count", e.Count))
	}
	text("Message", e.Message)
	return attributes
}
