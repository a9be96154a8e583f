// Package vwid holds the named types of identifiers that all parts of vanillawind share.
package vwid

import (
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

type (
	// Cluster names one installation. Processes of different clusters refuse each other.
	Cluster string
	// Process names a process in its settings; it stays the same across restarts.
	Process string
	// Incarnation is one run of a process. A restart makes a new one.
	Incarnation string
	// DataCentre names a data centre.
	DataCentre string
	// Rack names a rack within a data centre.
	Rack string
	// Service names what a backend server offers.
	Service string
	// Worker identifies one worker to its agent and in logs. A worker that restarts may keep it.
	Worker string
	// Team names a group of callers with a share of the capacity.
	Team string
	// SubmissionID identifies a submission across resubmissions. It is a UUIDv7.
	SubmissionID string
	// TaskID identifies a task within its submission.
	TaskID string
	// ChangeID identifies an operator's change across resends.
	ChangeID string
	// Acceptance identifies one call that asks control to accept a submission, across resends.
	Acceptance string
	// Member identifies a replica of the control log; it lasts as long as the replica's data folder.
	Member string
	// RulesPart identifies a part of the text of the rules by the hash of its content.
	RulesPart string
)

type (
	// Epoch counts the ownerships of a submission. It rises by one with each takeover.
	Epoch uint64
	// ConfigVersion counts accepted changes of the rules. It never falls.
	ConfigVersion uint64
)

// MakeIncarnation returns a new random incarnation.
func MakeIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// MakeMember returns a new random member id.
func MakeMember() Member {
	return Member(uuid.NewString())
}

// MakeAcceptance returns a new random acceptance.
func MakeAcceptance() Acceptance {
	return Acceptance(uuid.NewString())
}

// MakeSubmissionID returns a new id that carries the current time.
func MakeSubmissionID() SubmissionID {
	return MakeSubmissionIDAt(time.Now())
}

// MakeSubmissionIDAt returns a new id that carries a time. uuid.NewV7 is not used: it never goes behind
// the last id of the process, so that after a clock was set back its ids would be from the future and refused.
func MakeSubmissionIDAt(at time.Time) SubmissionID {
	id := uuid.New()
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	return SubmissionID(id.String())
}

// MakeChangeID returns a new random change id.
func MakeChangeID() ChangeID {
	return ChangeID(uuid.NewString())
}

// SubmissionTime returns the time inside id, and an error when id is not a UUIDv7.
func SubmissionTime(id SubmissionID) (time.Time, error) {
	parsed, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}, trace.BadParameter("submission id %q is not a UUID", id)
	}
	if parsed.String() != string(id) {
		// Two spellings of one UUID would be two submissions, and their tasks would run twice.
		return time.Time{}, trace.BadParameter("submission id %q must be written as %q", id, parsed)
	}
	if parsed.Version() != 7 {
		return time.Time{}, trace.BadParameter("submission id %q is a UUID of version %d; want version 7", id, parsed.Version())
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).UTC(), nil
}
