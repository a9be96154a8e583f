package vwmessage

import (
	"hash/fnv"
	"io"
)

// EntryList is the list of live entries with the digest by which lease requests name it. A lease reply
// carries the list only to a holder that names another one, because the list would be most of its bytes.
type EntryList struct {
	Entries []EntryAddress
	Digest  uint64
}

// MakeEntryList returns a list with its digest, which depends on the order. The digest is never zero, so a
// request without one always gets the list.
func MakeEntryList(entries []EntryAddress) EntryList {
	hash := fnv.New64a()
	for i := range entries {
		for _, part := range []string{
			string(entries[i].Incarnation), string(entries[i].Process), string(entries[i].DataCentre), entries[i].Address,
		} {
			// Hash writers return no errors. The zero byte separates the parts.
			_, _ = io.WriteString(hash, part)
			_, _ = hash.Write([]byte{0})
		}
	}
	return EntryList{Entries: entries, Digest: max(hash.Sum64(), 1)}
}

// Write puts the digest into reply, and the entries when request names another list.
func (l EntryList) Write(request *LeaseRequest, reply *LeaseReply) {
	reply.EntriesDigest = l.Digest
	if request.EntriesDigest != l.Digest {
		reply.Entries = l.Entries
	}
}

// Read returns the list after a reply to a request that named l.
func (l EntryList) Read(reply *LeaseReply) EntryList {
	if reply.EntriesDigest != 0 && reply.EntriesDigest == l.Digest {
		return l
	}
	return EntryList{Entries: reply.Entries, Digest: reply.EntriesDigest}
}
