package vwstate

import (
	"bytes"
	"slices"

	"vanillawind.example/vanillawind/pkg/vwid"
)

func (s *State) accept(command Accept) Outcome {
	if found, ok := s.submissions[command.SubmissionID]; ok {
		copied := *found
		if !bytes.Equal(found.Digest, command.Digest) {
			return Outcome{Refusal: RefusalConflict, Submission: &copied}
		}
		// A resent proposal must see its first outcome. Another call of the same owner must not, because the
		// owner may have ended the first one already.
		if found.Acceptance == command.Acceptance && found.Owner == command.Owner && found.Epoch == 1 && found.Phase == PhaseRunning {
			return Outcome{Submission: &copied}
		}
		return Outcome{Refusal: RefusalExists, Submission: &copied}
	}
	at, err := vwid.SubmissionTime(command.SubmissionID)
	if err != nil {
		return Outcome{Refusal: RefusalTooOld}
	}
	if at.UnixMilli()+Retention.Milliseconds() < s.nowMillis {
		return Outcome{Refusal: RefusalTooOld}
	}
	if at.UnixMilli() > s.nowMillis+Skew.Milliseconds() {
		return Outcome{Refusal: RefusalTooNew}
	}
	if !s.live(command.Owner) {
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
	found, ok := s.submissions[command.SubmissionID]
	if !ok {
		return Outcome{Refusal: RefusalUnknown}
	}
	if found.Owner == command.Owner && found.Epoch == command.FromEpoch+1 {
		return s.ownedOutcome(found)
	}
	copied := *found
	if found.Epoch != command.FromEpoch {
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	// An owner that has lost its job may take over from itself, to collect what was started.
	if s.live(found.Owner) && found.Owner != command.Owner {
		return Outcome{Refusal: RefusalOwnerLive, Submission: &copied}
	}
	if !s.live(command.Owner) {
		return Outcome{Refusal: RefusalNotRegistered, Submission: &copied}
	}
	found.Owner = command.Owner
	found.Epoch++
	return s.ownedOutcome(found)
}

func (s *State) ownedOutcome(found *Submission) Outcome {
	copied := *found
	outcome := Outcome{Submission: &copied}
	for _, registration := range s.registrations {
		if registration.Role != RoleAgent || registration.Service != found.Service {
			continue
		}
		if registration.Ended() && registration.EndedMillis < found.AcceptedMillis {
			continue
		}
		outcome.Agents = append(outcome.Agents, *registration)
	}
	slices.SortFunc(outcome.Agents, compareRegistrations)
	return outcome
}

func (s *State) release(command Release) Outcome {
	found, ok := s.submissions[command.SubmissionID]
	if !ok {
		return Outcome{Refusal: RefusalUnknown}
	}
	if found.Owner != command.Owner || found.Epoch != command.Epoch {
		copied := *found
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	found.Owner = ""
	copied := *found
	return Outcome{Submission: &copied}
}

func (s *State) finish(command Finish) Outcome {
	found, ok := s.submissions[command.SubmissionID]
	if !ok {
		return Outcome{Refusal: RefusalUnknown}
	}
	copied := *found
	if found.Owner != command.Owner || found.Epoch != command.Epoch {
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	if command.Forget != "" && (found.Epoch != 1 || found.Acceptance != command.Forget) {
		return Outcome{Refusal: RefusalNotOwner, Submission: &copied}
	}
	if command.Forget != "" {
		delete(s.submissions, command.SubmissionID)
		return Outcome{Submission: &copied}
	}
	if found.Phase == PhaseRunning {
		found.Phase = PhaseDone
		if command.Failed {
			found.Phase = PhaseFailed
		}
		found.FinishedMillis = s.nowMillis
	}
	copied = *found
	return Outcome{Submission: &copied}
}
