package vwstore

import (
	"fmt"
	"hash/crc32"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const identityName = "identity"

// loadIdentity returns the member id stored in the data directory. It creates one only if the directory holds no log:
// a member that lost its log must not vote again under its old id.
func loadIdentity(files FileSystem, names []string) (vwid.Member, error) {
	hasLog := false
	for _, name := range names {
		if name == identityName {
			return readIdentity(files)
		}
		hasLog = hasLog || logFileKind(name) != ""
	}
	if hasLog {
		return "", ErrCorrupt{File: identityName, Reason: "the file is missing although the directory holds a log"}
	}
	member := vwid.MakeMember()
	return member, writeAtomic(files, identityName, encodeIdentity(member))
}

func encodeIdentity(member vwid.Member) []byte {
	return fmt.Appendf(nil, "%s %08x\n", member, crc32.Checksum([]byte(member), castagnoli))
}

func readIdentity(files FileSystem) (vwid.Member, error) {
	data, err := files.Read(identityName)
	if err != nil {
		return "", trace.Wrap(err)
	}
	var member string
	var sum uint32
	if _, err := fmt.Sscanf(string(data), "%s %08x\n", &member, &sum); err != nil {
		return "", ErrCorrupt{File: identityName, Reason: "it does not hold a member id and a checksum"}
	}
	if string(encodeIdentity(vwid.Member(member))) != string(data) || uuid.Validate(member) != nil {
		return "", ErrCorrupt{File: identityName, Reason: "the checksum of the member id does not match"}
	}
	return vwid.Member(member), nil
}

// writeAtomic writes a file by a synced temporary file and a rename, so that a crash never leaves it partly written.
func writeAtomic(files FileSystem, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := files.Create(temporary)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err := trace.NewAggregate(err, file.Close()); err != nil {
		return trace.Wrap(err)
	}
	if err := files.Rename(temporary, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(files.SyncDir())
}
