// Package vwraft is the replicated log of control: a pure state machine without goroutines, clock or
// input and output. The caller drives it by Tick, Step and Propose, and carries out what Ready asks for.
package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

//go:generate go tool msgp -tests=false -io=false -o type_gen.go -file type.go

//msgp:replace vwid.Member with:string
//msgp:replace Term with:uint64
//msgp:replace Index with:uint64
//msgp:replace EntryKind with:uint8
//msgp:replace MessageKind with:uint8

type (
	// Term counts leaderships.
	Term uint64
	// Index is a position in the log; the first entry has index 1.
	Index uint64
)

// EntryKind tells what an Entry carries.
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

// Voter is a member of the log with the address that other members reach it at.
type Voter struct {
	Member  vwid.Member
	Address string
}

// Membership lists who votes and who only learns.
// The limits of lists bound what a malformed message can make a decoder allocate.
type Membership struct {
	Voters   []Voter `msg:",limit=64"`
	Learners []Voter `msg:",limit=64"`
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term Term
	Vote vwid.Member
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}
