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
// After an error it removes the temporary file, whose bytes may be the last that fit on the disk.
func writeAtomic(files FileSystem, name string, data []byte) error {
	temporary := name + temporarySuffix
	err := writeSynced(files, temporary, data)
	if err == nil {
		err = files.Rename(temporary, name)
	}
	if err != nil {
		return trace.NewAggregate(err, removeExisting(files, temporary))
	}
	return trace.Wrap(failedSync(files.SyncDir()))
}

// writeSynced writes a new file and syncs it.
func writeSynced(files FileSystem, name string, data []byte) error {
	file, err := files.Create(name)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = failedSync(file.Sync())
	}
	return trace.NewAggregate(err, file.Close())
}

// removeExisting removes a file that may not exist.
func removeExisting(files FileSystem, name string) error {
	err := files.Remove(name)
	if trace.IsNotFound(err) {
		return nil
	}
	return trace.Wrap(err)
}
