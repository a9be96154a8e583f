package vwstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

func snapshotName(index vwraft.Index) string {
	return fmt.Sprintf("snapshot-%016x", uint64(index))
}

// encodeSnapshot returns the encoded snapshot with its checksum in front.
func encodeSnapshot(snapshot *vwraft.Snapshot) ([]byte, error) {
	data, err := snapshot.MarshalMsg(make([]byte, 4))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	binary.LittleEndian.PutUint32(data, crc32.Checksum(data[4:], castagnoli))
	return data, nil
}

func decodeSnapshot(name string, data []byte) (vwraft.Snapshot, error) {
	if len(data) < 4 || binary.LittleEndian.Uint32(data) != crc32.Checksum(data[4:], castagnoli) {
		return vwraft.Snapshot{}, ErrCorrupt{File: name, Reason: "the checksum of the snapshot does not match"}
	}
	var snapshot vwraft.Snapshot
	rest, err := snapshot.UnmarshalMsg(data[4:])
	if err != nil || len(rest) != 0 || snapshotName(snapshot.Index) != name {
		return vwraft.Snapshot{}, ErrCorrupt{File: name, Offset: 4, Reason: "the snapshot is malformed"}
	}
	return snapshot, nil
}
