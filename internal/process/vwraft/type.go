// Package vwraft implements the replicated log of control with the Raft consensus algorithm. It is a pure state machine
// without goroutines, clock, input or output. The caller drives it by Tick, Step and Propose, and carries out the work
// that Ready returns.
package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

//go:generate go tool msgp -tests=false -io=false -o type_gen.go -file type.go

//msgp:replace vwid.Member with:string
//msgp:replace Term with:uint64
//msgp:replace Index with:uint64
//msgp:replace EntryKind with:uint8
//msgp:replace MessageKind with:uint8

type (
	// Term is the number of an election term, in which at most one member is the leader.
	Term uint64
	// Index is a position in the log; the first entry has index 1.
	Index uint64
)

// EntryKind is the kind of an Entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries an opaque command.
	EntryCommand EntryKind = iota
	// EntryMembership carries an encoded Membership that is in force as soon as it is appended.
	EntryMembership
	// EntryEmpty is appended by a new leader so that it can commit entries of earlier terms.
	EntryEmpty
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// Voter is a member of the log, a voter or a learner, with the address at which other members reach it.
type Voter struct {
	Member  vwid.Member
	Address string
}

// Membership lists the voters, and the learners, which receive the log but do not vote. The limits of the lists bound
// the memory that a malformed message can make a decoder allocate.
type Membership struct {
	Voters   []Voter `msg:",limit=64"`
	Learners []Voter `msg:",limit=64"`
}

// HardState is the term and the vote of a member. It must be synced before a message that depends on it is sent.
type HardState struct {
	Term Term
	Vote vwid.Member
}

// Snapshot is the state after the entry at Index. It replaces the log up to that entry.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}
