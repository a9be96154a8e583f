package vwstore

import (
	"bytes"
	"fmt"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// segment is one file of the log that is no longer, or not yet, written to.
type segment struct {
	sequence uint64
	// last is the highest index of its entries, zero without any.
	last vwraft.Index
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("segment-%016x", sequence)
}

// scanned is the content of one segment.
type scanned struct {
	records []Record
	// offsets tells where each record starts.
	offsets []int64
	// whole is the size up to the last whole record.
	whole int64
}

// scan decodes a segment. Only the tail of the newest one may be torn.
func scan(name string, data []byte, newest bool) (scanned, error) {
	var found scanned
	for int(found.whole) < len(data) {
		record, err := DecodeRecord(data[found.whole:])
		if err != nil {
			if newest && !syncedAfter(data, found.whole) {
				return found, nil
			}
			return scanned{}, ErrCorrupt{File: name, Offset: found.whole, Reason: err.Error()}
		}
		found.records = append(found.records, record)
		found.offsets = append(found.offsets, found.whole)
		found.whole += int64(record.size)
	}
	return found, nil
}

// syncedAfter reports whether a whole record after the damaged one at offset belongs to a later
// batch. A batch is written only after the one before it was synced, so the damage is then not a
// torn write. Without such a record the damage lies in the last batch, whose sync may not have ended.
func syncedAfter(data []byte, offset int64) bool {
	for at := int(offset) + 1; at < len(data); at++ {
		next := bytes.Index(data[at:], mark)
		if next < 0 {
			return false
		}
		at += next
		if record, err := DecodeRecord(data[at:]); err == nil && int64(record.batchStart) > offset {
			return true
		}
	}
	return false
}
