package vwraft

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

//go:generate go tool msgp -tests=false -io=false -o message_gen.go -file message.go

//msgp:replace vwid.Member with:string
//msgp:replace Term with:uint64
//msgp:replace Index with:uint64
//msgp:replace MessageKind with:uint8

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages. They are sent as numbers, which are never reused for another kind.
const (
	// MessagePreVote asks whether the receiver would vote for the sender in Term. It changes no term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote requests the vote of the receiver in Term.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries entries after Index. Without entries it is a heartbeat.
	MessageAppend
	// MessageAppendReply answers MessageAppend, and MessageSnapshot once the snapshot is complete.
	MessageAppendReply
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply requests the chunk at Offset.
	MessageSnapshotReply
	// MessageTimeoutNow asks the receiver to start an election at once.
	MessageTimeoutNow
)

// Message is a message between two members of the log.
type Message struct {
	Kind MessageKind
	From vwid.Member
	To   vwid.Member
	Term Term
	// Index is that of the entry before Entries in an append, of the last entry of the candidate in a vote request,
	// and of the last matching entry (with Reject, of the refused one) in a reply to an append.
	Index Index `msg:",omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm Term `msg:",omitempty"`
	// Commit is the leader's commit index.
	Commit  Index   `msg:",omitempty"`
	Entries []Entry `msg:",omitempty,limit=65536"`
	Reject  bool    `msg:",omitempty"`
	// Hint and HintTerm are index and term of the last entry of the replying member that may match the leader's log.
	Hint     Index `msg:",omitempty"`
	HintTerm Term  `msg:",omitempty"`
	// Round is the number of the leader's quorum round; replies return it.
	Round uint64 `msg:",omitempty"`
	// Transfer marks the vote request of a leadership transfer, which may be granted despite the leader's lease.
	Transfer bool `msg:",omitempty"`
	// Snapshot carries the chunk that starts at Offset of snapshot data with Size bytes in all.
	Snapshot *Snapshot `msg:",omitempty"`
	Offset   int64     `msg:",omitempty"`
	Size     int64     `msg:",omitempty"`
}

// Encode returns the encoding of the message.
func (z *Message) Encode() ([]byte, error) {
	data, err := z.MarshalMsg(nil)
	return data, trace.Wrap(err)
}

// DecodeMessage decodes a message from another process. Malformed data gives an error, never a panic.
func DecodeMessage(data []byte) (Message, error) {
	var message Message
	rest, err := message.UnmarshalMsg(data)
	if err != nil {
		return Message{}, trace.BadParameter("malformed log message: %v", err)
	}
	if len(rest) != 0 {
		return Message{}, trace.BadParameter("log message has %d trailing bytes", len(rest))
	}
	return message, nil
}
