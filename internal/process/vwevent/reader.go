package vwevent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

// maxLine bounds a line. A log writes lines of a few hundred bytes; a longer one is damage.
const maxLine = 1 << 20

// Fault is a line that is not an event. A crash leaves a torn last line.
type Fault struct {
	Line   int
	Reason string
}

// String returns the fault as text for people.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s", f.Line, f.Reason)
}

// Read reads an event log. Lines that are not events are returned as faults and do not end it.
func Read(in io.Reader) ([]Event, []Fault, error) {
	var events []Event
	var faults []Fault
	reader := bufio.NewReaderSize(in, bufferSize)
	for number := 1; ; number++ {
		line, err := readLine(reader)
		if err != nil && !errors.Is(err, io.EOF) && !trace.IsLimitExceeded(err) {
			return events, faults, trace.Wrap(err)
		}
		text := bytes.TrimSpace(line)
		switch event, fault := parse(text); {
		case trace.IsLimitExceeded(err):
			faults = append(faults, Fault{Line: number, Reason: trace.UserMessage(err)})
			continue
		case len(text) == 0:
		case fault != nil:
			faults = append(faults, Fault{Line: number, Reason: trace.UserMessage(fault)})
		default:
			events = append(events, event)
		}
		if err != nil {
			return events, faults, nil
		}
	}
}

// readLine reads to the end of a line and keeps at most maxLine bytes of it.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) > maxLine {
			tooLong = true
		} else {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if tooLong && err == nil {
			return nil, trace.LimitExceeded("longer than %d bytes", maxLine)
		}
		return line, err
	}
}

func parse(line []byte) (Event, error) {
	var event Event
	if len(line) == 0 {
		return event, nil
	}
	if err := json.Unmarshal(line, &event); err != nil {
		return Event{}, trace.BadParameter("not an event: %v", err)
	}
	return event, event.Check()
}
