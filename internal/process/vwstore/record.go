package vwstore

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

type recordKind uint8

const (
	recordEntry recordKind = iota + 1
	recordHardState
	// recordReset discards all earlier entries, because a snapshot of the leader has replaced them.
	recordReset
)

// A record consists of: magic number, length of the payload, offset of the first record of its batch in the file,
// checksum of everything but the magic number and the checksum itself, kind, payload. Numbers are little-endian.
const (
	headerSize     = 17
	maxPayload     = 64 << 20
	checksumOffset = 12
)

// recordMagic starts every record, so that intact records after a damaged one can be found.
var recordMagic = []byte{0xF5, 'v', 'w', 0x1A}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is one decoded record of a segment.
type Record struct {
	Entry      *vwraft.Entry
	HardState  *vwraft.HardState
	Reset      bool
	batchStart uint32
	size       int
}

// appendRecord appends the encoding of a record to data.
func appendRecord(data []byte, kind recordKind, batchStart uint32, payload []byte) []byte {
	at := len(data)
	data = append(data, recordMagic...)
	data = binary.LittleEndian.AppendUint32(data, uint32(len(payload)))
	data = binary.LittleEndian.AppendUint32(data, batchStart)
	data = binary.LittleEndian.AppendUint32(data, 0)
	data = append(data, byte(kind))
	data = append(data, payload...)
	binary.LittleEndian.PutUint32(data[at+checksumOffset:], checksum(data[at:]))
	return data
}

// checksum returns the checksum of a record without its magic number and its checksum field.
func checksum(record []byte) uint32 {
	sum := crc32.Update(0, castagnoli, record[len(recordMagic):checksumOffset])
	return crc32.Update(sum, castagnoli, record[headerSize-1:])
}

// decodeFrame returns the kind and the payload of the record at the start of data.
func decodeFrame(data []byte) (recordKind, []byte, error) {
	if len(data) < headerSize || !bytes.HasPrefix(data, recordMagic) {
		return 0, nil, trace.BadParameter("no record starts here")
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxPayload || int(length) > len(data)-headerSize {
		return 0, nil, trace.BadParameter("a record of %d bytes does not end within the file", length)
	}
	record := data[:headerSize+int(length)]
	if checksum(record) != binary.LittleEndian.Uint32(record[checksumOffset:]) {
		return 0, nil, trace.BadParameter("the checksum of the record does not match")
	}
	return recordKind(record[headerSize-1]), record[headerSize:], nil
}

// DecodeRecord returns the record at the start of data. It never panics on damaged bytes.
func DecodeRecord(data []byte) (Record, error) {
	kind, payload, err := decodeFrame(data)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	record := Record{batchStart: binary.LittleEndian.Uint32(data[8:]), size: headerSize + len(payload)}
	var rest []byte
	switch kind {
	case recordEntry:
		record.Entry = &vwraft.Entry{}
		rest, err = record.Entry.UnmarshalMsg(payload)
	case recordHardState:
		record.HardState = &vwraft.HardState{}
		rest, err = record.HardState.UnmarshalMsg(payload)
	case recordReset:
		record.Reset, rest = true, payload
	default:
		return Record{}, trace.BadParameter("record kind %d is not known", kind)
	}
	if err != nil || len(rest) != 0 {
		return Record{}, trace.BadParameter("the payload of the record is malformed")
	}
	return record, nil
}
