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

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

// The kinds of messages. A number is never given to another kind.
const (
	// MessagePreVote asks whether an election at Term could succeed; it changes no term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for the vote of Term.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries entries after Index. Without entries it is a heartbeat.
	MessageAppend
	// MessageAppendReply answers MessageAppend and a complete snapshot.
	MessageAppendReply
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply asks for the chunk at Offset.
	MessageSnapshotReply
	// MessageTimeoutNow asks the receiver to start an election at once.
	MessageTimeoutNow
)

// Message is what two members of the log tell each other.
type Message struct {
	Kind MessageKind
	From vwid.Member
	To   vwid.Member
	Term Term
	// Index is the entry before Entries in an append, the last entry of the candidate in a vote,
	// and the last matching entry (or, with Reject, the refused one) in a reply to an append.
	Index Index `msg:",omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm Term `msg:",omitempty"`
	// Commit is the leader's commit index.
	Commit  Index   `msg:",omitempty"`
	Entries []Entry `msg:",omitempty,limit=65536"`
	Reject  bool    `msg:",omitempty"`
	// Hint and HintTerm tell the last entry of the replier that may match the leader's log.
	Hint     Index `msg:",omitempty"`
	HintTerm Term  `msg:",omitempty"`
	// Round numbers the leader's quorum rounds; replies return it.
	Round uint64 `msg:",omitempty"`
	// Transfer marks a vote that the leader itself has asked for; it is granted despite the lease.
	Transfer bool `msg:",omitempty"`
	// Snapshot carries the chunk of a snapshot that starts at Offset, out of Size bytes.
	Snapshot *Snapshot `msg:",omitempty"`
	Offset   int64     `msg:",omitempty"`
	Size     int64     `msg:",omitempty"`
}

// Encode returns the bytes of a message.
func (z *Message) Encode() ([]byte, error) {
	data, err := z.MarshalMsg(nil)
	return data, trace.Wrap(err)
}

// DecodeMessage returns the message in data. It never panics on bytes from outside.
func DecodeMessage(data []byte) (Message, error) {
	var message Message
	rest, err := message.UnmarshalMsg(data)
	if err != nil {
		return Message{}, trace.BadParameter("malformed message of the log: %v", err)
	}
	if len(rest) != 0 {
		return Message{}, trace.BadParameter("message of the log has %d trailing bytes", len(rest))
	}
	return message, nil
}
