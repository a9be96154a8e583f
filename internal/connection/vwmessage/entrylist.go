package vwmessage

import (
	"hash/fnv"
	"io"
)

// EntryList is the list of live entries and control members with the digest by which lease requests name
// it. A lease reply carries the list only to a holder that names another one, because the list would be most
// of its bytes.
type EntryList struct {
	Entries []EntryAddress
	Members []string
	Digest  uint64
}

// MakeEntryList returns a list with its digest, which depends on the order. The digest is never zero, so a
// request without one always gets the list.
func MakeEntryList(entries []EntryAddress, members []string) EntryList {
	hash := fnv.New64a()
	add := func(part string) {
		// Hash writers return no errors. The zero byte separates the parts.
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	for i := range entries {
		add(string(entries[i].Incarnation))
		add(string(entries[i].Process))
		add(string(entries[i].DataCentre))
		add(entries[i].Address)
	}
	for _, member := range members {
		add(member)
	}
	return EntryList{Entries: entries, Members: members, Digest: max(hash.Sum64(), 1)}
}

// Write puts the digest into reply, and the list when request names another one.
func (l EntryList) Write(request *LeaseRequest, reply *LeaseReply) {
	reply.EntriesDigest = l.Digest
	if request.EntriesDigest != l.Digest {
		reply.Entries, reply.Members = l.Entries, l.Members
	}
}

// Read returns the list after a reply to a request that named l.
func (l EntryList) Read(reply *LeaseReply) EntryList {
	if reply.EntriesDigest != 0 && reply.EntriesDigest == l.Digest {
		return l
	}
	return EntryList{Entries: reply.Entries, Members: reply.Members, Digest: reply.EntriesDigest}
}
