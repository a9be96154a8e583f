package vwstore

import (
	"bytes"
	"fmt"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// segment describes one segment file of the log.
type segment struct {
	sequence uint64
	// lastIndex is the highest index of its entries, or zero if it has none.
	lastIndex vwraft.Index
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("segment-%016x", sequence)
}

// scanResult holds the decoded records of one segment.
type scanResult struct {
	records []Record
	// offsets holds the file offset of each record.
	offsets []int64
	// validSize is the size in bytes up to the end of the last intact record.
	validSize int64
}

// scanSegment decodes the records of a segment. It accepts a torn tail only in the newest segment, and returns
// ErrCorrupt for any other damage.
func scanSegment(name string, data []byte, isNewest bool) (scanResult, error) {
	var result scanResult
	for int(result.validSize) < len(data) {
		record, err := DecodeRecord(data[result.validSize:])
		if err != nil {
			if isNewest && !laterBatchExists(data, result.validSize) {
				return result, nil
			}
			return scanResult{}, ErrCorrupt{File: name, Offset: result.validSize, Reason: err.Error()}
		}
		result.records = append(result.records, record)
		result.offsets = append(result.offsets, result.validSize)
		result.validSize += int64(record.size)
	}
	return result, nil
}

// laterBatchExists reports whether an intact record after the damaged one at offset belongs to a later
// batch. A batch is written only after the previous one was synced, so the damage is then not a
// torn write. Without such a record the damage lies in the last batch, whose sync may not have completed.
func laterBatchExists(data []byte, offset int64) bool {
	for at := int(offset) + 1; at < len(data); at++ {
		next := bytes.Index(data[at:], recordMagic)
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
