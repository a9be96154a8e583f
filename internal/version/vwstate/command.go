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
//msgp:replace vwid.RulesPart with:string
//msgp:replace Role with:string
//msgp:replace Phase with:uint8
//msgp:replace Refusal with:string

// Command is one entry of the control log. Exactly one of its pointers is set.
type Command struct {
	// At is the proposing leader's clock in milliseconds since the Unix epoch. State ignores a step back.
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

// Phase is the phase of a submission's life cycle.
type Phase uint8

// The phases of a submission.
const (
	PhaseRunning Phase = iota
	PhaseDone
	PhaseFailed
)

// Accept records a new submission and makes Owner, the proposing entry, its owner.
type Accept struct {
	SubmissionID vwid.SubmissionID
	Owner        vwid.Incarnation
	// Acceptance is the idempotency key of the call that proposes the command. A resend carries the same one.
	Acceptance vwid.Acceptance
	Service    vwid.Service
	// Digest is the hash of the submission's body.
	Digest []byte
}

// TakeOver makes Owner the owner of a submission whose owner released it or has no live registration, and
// increments the epoch. The owner itself may propose it too.
type TakeOver struct {
	SubmissionID vwid.SubmissionID
	FromEpoch    vwid.Epoch
	Owner        vwid.Incarnation
}

// Release removes the owner of a submission, so that another entry can take it over.
type Release struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
	Owner        vwid.Incarnation
}

// Finish records the end of a submission. With Forget it removes the record, so that the submission can be
// accepted again; only an owner that has started no task may propose this. Forget holds the Acceptance to
// undo, because the command may reach the log after a later acceptance of the same submission.
type Finish struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
	Owner        vwid.Incarnation
	Failed       bool
	Forget       vwid.Acceptance `msg:",omitempty"`
}

// Register adds a process or updates its registration. It is idempotent for one incarnation, and refused once the
// incarnation's registration has ended.
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
	// Address is the address on which an entry accepts links.
	Address string
	// Service and Slots are the service and the number of slots of an agent's backend server.
	Service vwid.Service
	Slots   int
	// SinceMillis and EndedMillis are times of State's clock. EndedMillis is zero while the registration is live.
	SinceMillis int64
	EndedMillis int64
}

// Ended reports whether the registration has ended.
func (r *Registration) Ended() bool {
	return r.EndedMillis != 0
}

// Expire ends registrations, after their lease expired or at a planned stop.
type Expire struct {
	Incarnations []vwid.Incarnation
}

// ChangeRules replaces the rules when Base is the current version.
type ChangeRules struct {
	ChangeID vwid.ChangeID
	Base     vwid.ConfigVersion
	Text     []byte
	// By is the name of the operator.
	By string
	// Source is the document that Text was translated from. It is empty when operators wrote Text directly.
	Source []byte `msg:",omitempty"`
}

// Refusal is the reason why a command had no effect.
type Refusal string

// The refusals.
const (
	// RefusalNone means that the command was applied.
	RefusalNone Refusal = ""
	// RefusalExists means that the submission was accepted before; Outcome.Submission is its record.
	RefusalExists Refusal = "Exists"
	// RefusalConflict means that the submission id is in use for another body.
	RefusalConflict Refusal = "Conflict"
	// RefusalTooOld means that the submission id is malformed or so old that an earlier record may have been removed.
	RefusalTooOld Refusal = "TooOld"
	// RefusalTooNew means that the time in the submission id is more than MaxClockSkew in the future.
	RefusalTooNew Refusal = "TooNew"
	// RefusalOwnerLive means that the owner's registration has not ended.
	RefusalOwnerLive Refusal = "OwnerLive"
	// RefusalNotOwner means that the proposer does not own the submission, or that its epoch or acceptance differs.
	RefusalNotOwner Refusal = "NotOwner"
	// RefusalNotRegistered means that the proposer's registration has ended or does not exist.
	RefusalNotRegistered Refusal = "NotRegistered"
	// RefusalUnknown means that no record of the submission exists.
	RefusalUnknown Refusal = "Unknown"
	// RefusalVersion means that the base version is not the current one.
	RefusalVersion Refusal = "Version"
)

// Outcome is the result of a command. The same log yields the same outcomes on every replica.
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

// ChangeOutcome is the outcome of a change of the rules, kept so that a resent change gets the same answer.
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
	// Source is the document that Text was translated from, kept for operators to read back.
	Source []byte `msg:",omitempty"`
}

// Query selects parts of the state.
type Query struct {
	SubmissionID  vwid.SubmissionID `msg:",omitempty"`
	Config        bool              `msg:",omitempty"`
	Registrations bool              `msg:",omitempty"`
	Change        vwid.ChangeID     `msg:",omitempty"`
	// Local reads the state that the receiving member has applied, which may be stale. It needs no leader.
	Local bool `msg:",omitempty"`
	// Rules selects the configuration for a process that takes no requests of clients: without its source, without the rules
	// of routes, and without any text unless its version is above Held.
	Rules bool               `msg:",omitempty"`
	Held  vwid.ConfigVersion `msg:",omitempty"`
	// Parts selects parts of the text of the rules. The view has as many of them as take at most PartBytes, but at least one
	// if any is known. A member answers it without asking others, since the id of a part determines its content.
	Parts     []vwid.RulesPart `msg:",omitempty"`
	PartBytes int              `msg:",omitempty"`
}

// View is the answer to a Query. Parts that were not selected or do not exist are nil.
type View struct {
	NowMillis     int64
	Submission    *Submission    `msg:",omitempty"`
	Config        *Config        `msg:",omitempty"`
	Registrations []Registration `msg:",omitempty"`
	Change        *ChangeOutcome `msg:",omitempty"`
	// Members are the addresses of the control members.
	Members []string `msg:",omitempty"`
	// Parts are the parts of the rules that the query selects. Parts of rules that are not the newest are not known.
	Parts []RulesPart `msg:",omitempty"`
}

// RulesPart is a compressed part of the text of the rules.
type RulesPart struct {
	ID     vwid.RulesPart
	Packed []byte
}

// Snapshot is the encoded form of State. Its slices are sorted, but for Changes, which are in log order.
type Snapshot struct {
	NowMillis     int64
	SweptMillis   int64
	Config        Config
	Changes       []ChangeOutcome
	Submissions   []Submission
	Registrations []Registration
}
