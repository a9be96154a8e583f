package vwstate

import (
	"bytes"
	"slices"

	"vanillawind.example/vanillawind/pkg/vwid"
)

func (s *State) accept(command Accept) Outcome {
	if existing, ok := s.submissions[command.SubmissionID]; ok {
		copied := *existing
		if !bytes.Equal(existing.Digest, command.Digest) {
			return Outcome{Refusal: RefusalConflict, Submission: &copied}
		}
		// A resent proposal gets the outcome of the first one. Another call of the same owner is refused,
		// because the owner may have ended the first one already.
		if existing.Acceptance == command.Acceptance && existing.Owner == command.Owner && existing.Epoch == 1 && existing.Phase == PhaseRunning {
			return Outcome{Submission: &copied}
		}
		return Outcome{Refusal: RefusalExists, Submission: &copied}
	}
	at, err := vwid.SubmissionTime(command.SubmissionID)
	if err != nil {
		return Outcome{Refusal: RefusalTooOld}
	}
	if at.UnixMilli()+SubmissionRetention.Milliseconds() < s.nowMillis {
		return Outcome{Refusal: RefusalTooOld}
	}
	if at.UnixMilli() > s.nowMillis+MaxClockSkew.Milliseconds() {
		return Outcome{Refusal: RefusalTooNew}
	}
	if !s.isLive(command.Owner) {
		return Outcome{Refusal: RefusalNotRegistered}
	}
	record := &Submission{
		SubmissionID:   command.SubmissionID,
		Owner:          command.Owner,
		Epoch:          1,
		Acceptance:     command.Acceptance,
		Service:        command.Service,
		Digest:         command.Digest,
		AcceptedMillis: s.nowMillis,
	}
	s.submissions[command.SubmissionID] = record
	copied := *record
	return Outcome{Submission: &copied}
}

func (s *State) takeOver(command TakeOver) Outcome {
	record, ok := s.submissions[command.SubmissionID]
	if !ok {
		return Outcome{Refusal: RefusalUnknown}
	}
	if record.Owner == command.Owner && record.Epoch == command.FromEpoch+1 {
		return s.takeOverOutcome(record)
	}
	copied := *record
	if record.Epoch != command.FromEpoch {
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	// An owner that no longer holds the job may take over from itself, to collect the tasks that it started.
	if s.isLive(record.Owner) && record.Owner != command.Owner {
		return Outcome{Refusal: RefusalOwnerLive, Submission: &copied}
	}
	if !s.isLive(command.Owner) {
		return Outcome{Refusal: RefusalNotRegistered, Submission: &copied}
	}
	record.Owner = command.Owner
	record.Epoch++
	return s.takeOverOutcome(record)
}

// takeOverOutcome returns the outcome of a takeover, with the agents that may run tasks of the submission.
func (s *State) takeOverOutcome(record *Submission) Outcome {
	copied := *record
	outcome := Outcome{Submission: &copied}
	for _, registration := range s.registrations {
		if registration.Role != RoleAgent || registration.Service != record.Service {
			continue
		}
		if registration.Ended() && registration.EndedMillis < record.AcceptedMillis {
			continue
		}
		outcome.Agents = append(outcome.Agents, *registration)
	}
	slices.SortFunc(outcome.Agents, compareRegistrations)
	return outcome
}

func (s *State) release(command Release) Outcome {
	record, ok := s.submissions[command.SubmissionID]
	if !ok {
		return Outcome{Refusal: RefusalUnknown}
	}
	if record.Owner != command.Owner || record.Epoch != command.Epoch {
		copied := *record
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	record.Owner = ""
	copied := *record
	return Outcome{Submission: &copied}
}

func (s *State) finish(command Finish) Outcome {
	record, ok := s.submissions[command.SubmissionID]
	if !ok {
		return Outcome{Refusal: RefusalUnknown}
	}
	copied := *record
	if record.Owner != command.Owner || record.Epoch != command.Epoch {
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	if command.Forget != "" && (record.Epoch != 1 || record.Acceptance != command.Forget) {
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	if command.Forget != "" {
		delete(s.submissions, command.SubmissionID)
		return Outcome{Submission: &copied}
	}
	if record.Phase == PhaseRunning {
		record.Phase = PhaseDone
		if command.Failed {
			record.Phase = PhaseFailed
		}
		record.FinishedMillis = s.nowMillis
	}
	copied = *record
	return Outcome{Submission: &copied}
}
