package vwmessage

import (
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

//go:generate go tool msgp -tests=false -io=false -o message_gen.go -file message.go

//msgp:replace vwid.Cluster with:string
//msgp:replace vwid.Process with:string
//msgp:replace vwid.Incarnation with:string
//msgp:replace vwid.DataCentre with:string
//msgp:replace vwid.Rack with:string
//msgp:replace vwid.Service with:string
//msgp:replace vwid.Team with:string
//msgp:replace vwid.SubmissionID with:string
//msgp:replace vwid.TaskID with:string
//msgp:replace vwid.Epoch with:uint64
//msgp:replace vwid.ConfigVersion with:uint64
//msgp:replace vwid.RulesPart with:string
//msgp:replace vwverdict.Verdict with:uint8

// The kinds of messages. A number is never given to another message.
const (
	KindHello          Kind = 1
	KindFailure        Kind = 2
	KindPing           Kind = 3
	KindLeaseRequest   Kind = 4
	KindLeaseReply     Kind = 5
	KindDemand         Kind = 6
	KindCredit         Kind = 7
	KindCreditReturn   Kind = 8
	KindStart          Kind = 9
	KindResult         Kind = 10
	KindAcknowledge    Kind = 11
	KindFence          Kind = 12
	KindFenceReply     Kind = 13
	KindCancel         Kind = 14
	KindLeaving        Kind = 15
	KindAwaitAnswer    Kind = 16
	KindAnswer         Kind = 17
	KindPropose        Kind = 18
	KindOutcome        Kind = 19
	KindRead           Kind = 20
	KindView           Kind = 21
	KindReplication    Kind = 22
	KindCreditRecall   Kind = 23
	KindRegister       Kind = 24
	KindConfigAnnounce Kind = 25
	KindResume         Kind = 26
	KindLoad           Kind = 27
	KindRun            Kind = 28
	KindRunEnd         Kind = 29
	KindStopRuns       Kind = 30
	KindWant           Kind = 31
	KindOffer          Kind = 32
	KindRankedWant     Kind = 33
	KindPackedRun      Kind = 34
)

var constructors = map[Kind]func() Body{
	KindHello:          func() Body { return new(Hello) },
	KindFailure:        func() Body { return new(Failure) },
	KindPing:           func() Body { return new(Ping) },
	KindLeaseRequest:   func() Body { return new(LeaseRequest) },
	KindLeaseReply:     func() Body { return new(LeaseReply) },
	KindDemand:         func() Body { return new(Demand) },
	KindCredit:         func() Body { return new(Credit) },
	KindCreditReturn:   func() Body { return new(CreditReturn) },
	KindStart:          func() Body { return new(Start) },
	KindResult:         func() Body { return new(Result) },
	KindAcknowledge:    func() Body { return new(Acknowledge) },
	KindFence:          func() Body { return new(Fence) },
	KindFenceReply:     func() Body { return new(FenceReply) },
	KindCancel:         func() Body { return new(Cancel) },
	KindLeaving:        func() Body { return new(Leaving) },
	KindAwaitAnswer:    func() Body { return new(AwaitAnswer) },
	KindAnswer:         func() Body { return new(Answer) },
	KindPropose:        func() Body { return new(Propose) },
	KindOutcome:        func() Body { return new(Outcome) },
	KindRead:           func() Body { return new(Read) },
	KindView:           func() Body { return new(View) },
	KindReplication:    func() Body { return new(Replication) },
	KindCreditRecall:   func() Body { return new(CreditRecall) },
	KindRegister:       func() Body { return new(Register) },
	KindConfigAnnounce: func() Body { return new(ConfigAnnounce) },
	KindResume:         func() Body { return new(Resume) },
	KindLoad:           func() Body { return new(Load) },
	KindRun:            func() Body { return new(Run) },
	KindRunEnd:         func() Body { return new(RunEnd) },
	KindStopRuns:       func() Body { return new(StopRuns) },
	KindWant:           func() Body { return new(Want) },
	KindOffer:          func() Body { return new(Offer) },
	KindRankedWant:     func() Body { return new(RankedWant) },
	KindPackedRun:      func() Body { return new(PackedRun) },
}

// The revisions of the messages. A process closes a link over which it gets a kind that it does not know, so a newer kind is
// sent only to peers whose Hello names its revision or a later one. Processes that name none have revision zero.
const (
	// RevisionPackedRun adds RankedWant and PackedRun.
	RevisionPackedRun = 1
	// RevisionOpenedLink adds that an entry answers a Resume with a Want, if only an empty one.
	RevisionOpenedLink = 2
	// CurrentRevision is the newest revision.
	CurrentRevision = RevisionOpenedLink
)

// Hello is the first message on a link, sent by both ends.
type Hello struct {
	Cluster     vwid.Cluster
	Process     vwid.Process
	Incarnation vwid.Incarnation
	Role        string
	DataCentre  vwid.DataCentre
	Rack        vwid.Rack
	// Revision is the newest revision of the messages that the process understands.
	Revision int `msg:",omitempty"`
}

// Failure answers a request that could not be served.
type Failure struct {
	Verdict vwverdict.Verdict
	Code    string
	Message string
	// Leader is the address of the control leader when Code is CodeNotLeader and it is known.
	Leader string
}

// Ping keeps a link from looking silent.
type Ping struct{}

// LeaseRequest asks for a renewal of the sender's registration and of its configuration lease.
type LeaseRequest struct {
	Incarnation vwid.Incarnation
	// Held is the newest configuration that the sender has.
	Held vwid.ConfigVersion
	// Relayed lists the agents that the sending entry renews together with itself.
	Relayed []vwid.Incarnation
	// EntriesDigest names the EntryList that the sender holds; zero means none.
	EntriesDigest uint64 `msg:",omitempty"`
	// FetchesRules means that the sender reads newer rules by their parts, so that the reply must not carry their text.
	FetchesRules bool `msg:",omitempty"`
	// InRotation means that the sending entry takes requests. Peers that do not know the field skip it.
	InRotation bool `msg:"Ready,omitempty"`
}

// LeaseReply grants a configuration lease.
type LeaseReply struct {
	Version vwid.ConfigVersion
	// RemainingMilliseconds counts from the moment at which the holder sent its request.
	RemainingMilliseconds int64
	// Rules is the text of the configuration, present when the holder's version is older and it does not fetch rules.
	Rules []byte
	// RulesParts are, in place of Rules, the parts of the text in their order.
	RulesParts []vwid.RulesPart `msg:",omitempty"`
	// Entries are the live entries. They are left out when the request named their EntriesDigest.
	Entries       []EntryAddress
	EntriesDigest uint64 `msg:",omitempty"`
	// Members are the addresses of the control members, left out like Entries.
	Members []string `msg:",omitempty"`
	// Expired lists those of the renewed registrations that are no longer valid.
	Expired []vwid.Incarnation
	// EntriesNear and EntryDataCentres tell an entry how many entries of its data centre, and how many data centres, are in
	// rotation, both with itself also where it is not yet. They are zero while that is not known.
	EntriesNear      int `msg:"Near,omitempty"`
	EntryDataCentres int `msg:"Centres,omitempty"`
}

// EntryAddress tells where an entry accepts links.
type EntryAddress struct {
	Incarnation vwid.Incarnation
	Process     vwid.Process
	DataCentre  vwid.DataCentre
	Address     string
}

// ConfigAnnounce tells a holder of a lease that a newer configuration exists.
type ConfigAnnounce struct {
	Version vwid.ConfigVersion
}

// Register tells an entry what the backend server beside the sending agent offers. The reply is
// an Outcome once the registration is in the control log.
type Register struct {
	Process     vwid.Process
	Incarnation vwid.Incarnation
	DataCentre  vwid.DataCentre
	Rack        vwid.Rack
	Service     vwid.Service
	Slots       int
}

// TeamDemand is the number of waiting tasks of one team.
type TeamDemand struct {
	Team    vwid.Team
	Waiting int
	// OldestMilliseconds is how long the first of them has waited.
	OldestMilliseconds int64
}

// Demand tells an agent what waits at an entry for its service.
type Demand struct {
	Service vwid.Service
	Teams   []TeamDemand
}

// Credit permits the start of Count more tasks.
type Credit struct {
	Service vwid.Service
	Count   int
	// Team is the team whose demand the credits answer, empty for credits of idle slots.
	Team vwid.Team
}

// CreditRecall asks for unused credits back.
type CreditRecall struct {
	Count int
}

// CreditReturn gives unused credits back.
type CreditReturn struct {
	Count int
}

// Start asks an agent to start tasks. Each uses one credit.
type Start struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
	Service      vwid.Service
	Team         vwid.Team
	Tasks        []StartTask
}

// StartTask is one task of a Start.
type StartTask struct {
	TaskID  vwid.TaskID
	Payload []byte
	// TimeoutMilliseconds bounds the run time; zero means no bound.
	TimeoutMilliseconds int64
}

// Result tells the end of one task.
type Result struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
	TaskID       vwid.TaskID
	Verdict      vwverdict.Verdict
	// Fenced tells, with NotRun, that another entry owns the submission at a later epoch.
	Fenced bool
	// Failed tells that the task did not succeed; Message says why.
	Failed  bool
	Message string
	Payload []byte
	// RunMicroseconds is how long the backend server took. The queue learns run times from it, and whole
	// milliseconds would make most short tasks look like none at all.
	RunMicroseconds int64
}

// Acknowledge tells an agent that the records of a submission are no longer needed.
type Acknowledge struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
}

// Fence makes an agent refuse starts of a submission below Epoch and asks for its records.
type Fence struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
}

// FenceReply lists the tasks of a submission that the agent has started.
type FenceReply struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
	// Refused tells that the agent already knows a higher epoch.
	Refused bool
	Started []StartedTask
}

// StartedTask is one start record. Result is nil while the task runs.
type StartedTask struct {
	TaskID vwid.TaskID
	Result *Result
}

// Cancel stops the tasks of a submission.
type Cancel struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
}

// Leaving tells an entry that the agent grants no more credits.
type Leaving struct{}

// AwaitAnswer asks the owner of a submission for its answer.
type AwaitAnswer struct {
	SubmissionID vwid.SubmissionID
	Epoch        vwid.Epoch
}

// Answer is the whole answer of a submission in the encoding of the callers' interface.
type Answer struct {
	SubmissionID vwid.SubmissionID
	Status       int
	Body         []byte
}

// Propose carries an encoded command to the control leader.
type Propose struct {
	Command []byte
}

// Outcome carries the encoded outcome of a command.
type Outcome struct {
	Outcome []byte
}

// Read carries an encoded query to the control leader.
type Read struct {
	Query []byte
}

// View carries the encoded answer to a query.
type View struct {
	View []byte
}

// Replication carries an encoded message of the replicated log.
type Replication struct {
	Message []byte
}
