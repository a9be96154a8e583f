package vwstate

import (
	"vanillawind.example/vanillawind/pkg/vwid"
)

//go:generate go tool msgp -tests=false -io=false -o command_gen.go -file command.go

//msgp:replace vwid.Process with:string
//msgp:replace vwid.Incarnation with:string
//msgp:replace vwid.DataCentre with:string
//msgp:replace vwid.Rack with:string
//msgp:replace vwid.Service with:string
//msgp:replace vwid.SubmissionID with:string
//msgp:replace vwid.ChangeID with:string
//msgp:replace vwid.Acceptance with:string
//msgp:replace vwid.Epoch with:uint64
//msgp:replace vwid.ConfigVersion with:uint64
//msgp:replace Role with:string
//msgp:replace Phase with:uint8
//msgp:replace Refusal with:string

// Command is one entry of the control log. Exactly one of its pointers is set.
type Command struct {
	// At is the proposing leader's clock in milliseconds since the Unix epoch. State never lets it fall.
	At          int64        `msg:",omitempty"`
	Accept      *Accept      `msg:",omitempty"`
	TakeOver    *TakeOver    `msg:",omitempty"`
	Finish      *Finish      `msg:",omitempty"`
	Release     *Release     `msg:",omitempty"`
	Register    *Register    `msg:",omitempty"`
	Expire      *Expire      `msg:",omitempty"`
	ChangeRules *ChangeRules `msg:",omitempty"`
}

// Role is the role of a registered process.
type Role string

// The roles of registered processes.
const (
	RoleEntry   Role = "Entry"
	RoleAgent   Role = "Agent"
	RoleControl Role = "Control"
)

// Phase is how far a submission has come.
type Phase uint8

// The phases of a submission.
const (
	PhaseRunning Phase = iota
	PhaseDone
	PhaseFailed
)

// Accept makes the proposing entry the owner of a submission that nobody owns.
type Accept struct {
	SubmissionID vwid.SubmissionID
	Owner        vwid.Incarnation
	// Acceptance is unique to the call that proposes the command. A resend carries the same one.
	Acceptance vwid.Acceptance
	Service    vwid.Service
	// Digest is the hash of the submission's body.
	Digest []byte
}

// TakeOver makes Owner the owner of a submission whose owner's registration has ended.
type TakeOver struct {
	SubmissionID vwid.SubmissionID
	FromEpoch    vwid.Epoch
	Owner        vwid.Incarnation
}

// Release makes the owner of a submission give it up, so that another entry can take it over.
type Release struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
	Owner        vwid.Incarnation
}

// Finish records the end of a submission. With Forget it removes the record, which only an owner that
// has started nothing may ask for: the submission may then be accepted anew. Forget names the acceptance
// that it undoes, because it may reach the log after a later acceptance of the same submission.
type Finish struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
	Owner        vwid.Incarnation
	Failed       bool
	Forget       vwid.Acceptance `msg:",omitempty"`
}

// Register adds a process. It is idempotent for one incarnation; an ended one cannot return.
type Register struct {
	Registration Registration
}

// Registration describes a registered process.
type Registration struct {
	Incarnation vwid.Incarnation
	Process     vwid.Process
	Role        Role
	DataCentre  vwid.DataCentre
	Rack        vwid.Rack
	// Address is where an entry accepts links.
	Address string
	// Service and Slots are what an agent's backend server offers.
	Service vwid.Service
	Slots   int
	// SinceMillis and EndedMillis are times of State's clock. EndedMillis is zero while the registration is live.
	SinceMillis int64
	EndedMillis int64
}

// Ended reports whether the registration is over.
func (r *Registration) Ended() bool {
	return r.EndedMillis != 0
}

// Expire ends registrations, after their lease ran out or at a planned stop.
type Expire struct {
	Incarnations []vwid.Incarnation
}

// ChangeRules replaces the rules when Base is the current version.
type ChangeRules struct {
	ChangeID vwid.ChangeID
	Base     vwid.ConfigVersion
	Text     []byte
	// By names the operator.
	By string
	// Source is the document that Text was translated from, empty when operators wrote Text themselves.
	Source []byte `msg:",omitempty"`
}

// Refusal says why a command changed nothing.
type Refusal string

// The refusals.
const (
	// RefusalNone means that the command was carried out.
	RefusalNone Refusal = ""
	// RefusalExists means that the submission already has an owner; Outcome.Submission tells which.
	RefusalExists Refusal = "Exists"
	// RefusalConflict means that the submission id was used for another body.
	RefusalConflict Refusal = "Conflict"
	// RefusalTooOld means that a record of the submission may have been forgotten.
	RefusalTooOld Refusal = "TooOld"
	// RefusalTooNew means that the time inside the submission id is in the future.
	RefusalTooNew Refusal = "TooNew"
	// RefusalOwnerLive means that the owner's registration has not ended.
	RefusalOwnerLive Refusal = "OwnerLive"
	// RefusalNotOwner means that the proposer does not own the submission at that epoch.
	RefusalNotOwner Refusal = "NotOwner"
	// RefusalNotRegistered means that the proposer's registration has ended or never was.
	RefusalNotRegistered Refusal = "NotRegistered"
	// RefusalUnknown means that there is no such submission.
	RefusalUnknown Refusal = "Unknown"
	// RefusalVersion means that the base version is not the current one.
	RefusalVersion Refusal = "Version"
)

// Outcome is what a command did. The same log yields the same outcomes at every replica.
type Outcome struct {
	Refusal    Refusal            `msg:",omitempty"`
	Submission *Submission        `msg:",omitempty"`
	Version    vwid.ConfigVersion `msg:",omitempty"`
	// Agents are, after TakeOver, all agents of the service that were registered at any time since acceptance.
	Agents []Registration `msg:",omitempty"`
}

// Submission is the record of one submission.
type Submission struct {
	SubmissionID   vwid.SubmissionID
	Owner          vwid.Incarnation
	Epoch          vwid.Epoch
	Acceptance     vwid.Acceptance
	Service        vwid.Service
	Digest         []byte
	AcceptedMillis int64
	FinishedMillis int64
	Phase          Phase
}

// ChangeOutcome is the remembered outcome of a change of the rules.
type ChangeOutcome struct {
	ChangeID vwid.ChangeID
	Refusal  Refusal
	Version  vwid.ConfigVersion
}

// Config is one version of the configuration.
type Config struct {
	Version       vwid.ConfigVersion
	Text          []byte
	By            string
	ChangedMillis int64
	// Source is the document that Text was translated from, for reading it back.
	Source []byte `msg:",omitempty"`
}

// Query asks for a part of the state.
type Query struct {
	SubmissionID  vwid.SubmissionID `msg:",omitempty"`
	Config        bool              `msg:",omitempty"`
	Registrations bool              `msg:",omitempty"`
	Change        vwid.ChangeID     `msg:",omitempty"`
	// Local asks the member itself for what it has applied, which may be out of date. It is answered
	// without a leader.
	Local bool `msg:",omitempty"`
}

// View answers a Query. Parts that were not asked for or do not exist are nil.
type View struct {
	NowMillis     int64
	Submission    *Submission    `msg:",omitempty"`
	Config        *Config        `msg:",omitempty"`
	Registrations []Registration `msg:",omitempty"`
	Change        *ChangeOutcome `msg:",omitempty"`
	// Members are the addresses of the control members.
	Members []string `msg:",omitempty"`
}

// Snapshot is the whole state, in a fixed order.
type Snapshot struct {
	NowMillis     int64
	SweptMillis   int64
	Config        Config
	Changes       []ChangeOutcome
	Submissions   []Submission
	Registrations []Registration
}
