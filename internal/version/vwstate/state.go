// Package vwstate implements the replicated state machine of control: the configuration, the owners of
// submissions, and the registered processes. It reads no clock and no random numbers, so all replicas
// that apply the same log reach the same state.
package vwstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/tinylib/msgp/msgp"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// SubmissionRetention is how long the record of a submission is kept after its acceptance and its end.
	SubmissionRetention = 5 * time.Minute
	// MaxClockSkew is the maximum by which the time in a submission id may be ahead of control's clock.
	MaxClockSkew = 30 * time.Second
	// MaxChangeOutcomes is the number of change outcomes kept to answer resends.
	MaxChangeOutcomes = 10_000
	// sweepInterval is the minimum time between two sweeps for expired records.
	sweepInterval = 10 * time.Second
)

// State is the state machine. It is not safe for concurrent use: one goroutine owns it.
type State struct {
	nowMillis       int64
	lastSweepMillis int64
	config          Config
	changeOutcomes  []ChangeOutcome
	changesByID     map[vwid.ChangeID]ChangeOutcome
	submissions     map[vwid.SubmissionID]*Submission
	registrations   map[vwid.Incarnation]*Registration
}

// Make returns an empty state with configuration version zero.
func Make() *State {
	return &State{
		changesByID:   map[vwid.ChangeID]ChangeOutcome{},
		submissions:   map[vwid.SubmissionID]*Submission{},
		registrations: map[vwid.Incarnation]*Registration{},
	}
}

// Encode returns the log entry for a command.
func Encode(command Command) ([]byte, error) {
	data, err := command.MarshalMsg(nil)
	return data, trace.Wrap(err)
}

// Decode returns the command of a log entry.
func Decode(data []byte) (Command, error) {
	var command Command
	rest, err := unmarshal(data, &command)
	if err != nil {
		return Command{}, trace.BadParameter("malformed command: %v", err)
	}
	if len(rest) != 0 {
		return Command{}, trace.BadParameter("command has %d trailing bytes", len(rest))
	}
	return command, nil
}

// unmarshal decodes data and returns the bytes after the decoded value. UnmarshalMsg allocates as many elements
// as an array header declares; Skip first checks that data holds them.
func unmarshal(data []byte, value msgp.Unmarshaler) ([]byte, error) {
	if _, err := msgp.Skip(data); err != nil {
		return nil, err
	}
	return value.UnmarshalMsg(data)
}

// Apply applies one command. All replicas must apply the same commands in the same order.
func (s *State) Apply(command Command) Outcome {
	s.nowMillis = max(s.nowMillis, command.At)
	s.sweep()
	switch {
	case command.Accept != nil:
		return s.accept(*command.Accept)
	case command.TakeOver != nil:
		return s.takeOver(*command.TakeOver)
	case command.Release != nil:
		return s.release(*command.Release)
	case command.Finish != nil:
		return s.finish(*command.Finish)
	case command.Register != nil:
		return s.register(command.Register.Registration)
	case command.Expire != nil:
		return s.expire(*command.Expire)
	case command.ChangeRules != nil:
		return s.changeRules(*command.ChangeRules)
	}
	return Outcome{}
}

func (s *State) register(registration Registration) Outcome {
	if found, ok := s.registrations[registration.Incarnation]; ok {
		if found.Ended() {
			return Outcome{Refusal: RefusalNotRegistered}
		}
		// Other fields may change, for example when a backend server offers more slots.
		registration.SinceMillis = found.SinceMillis
	} else {
		registration.SinceMillis = s.nowMillis
		s.endEarlierRuns(&registration)
	}
	registration.EndedMillis = 0
	s.registrations[registration.Incarnation] = &registration
	return Outcome{}
}

// endEarlierRuns ends the registrations of earlier incarnations of a process. A process that registers a new
// incarnation has restarted, and until the earlier lease expired, lists would hold an address that no longer answers.
func (s *State) endEarlierRuns(registration *Registration) {
	if registration.Process == "" {
		return
	}
	for _, found := range s.registrations {
		if found.Process == registration.Process && found.Role == registration.Role && !found.Ended() {
			found.EndedMillis = max(s.nowMillis, 1)
		}
	}
}

func (s *State) expire(command Expire) Outcome {
	for _, incarnation := range command.Incarnations {
		found, ok := s.registrations[incarnation]
		if ok && !found.Ended() {
			found.EndedMillis = max(s.nowMillis, 1)
		}
	}
	return Outcome{}
}

func (s *State) changeRules(command ChangeRules) Outcome {
	if previous, ok := s.changesByID[command.ChangeID]; ok {
		return Outcome{Refusal: previous.Refusal, Version: previous.Version}
	}
	outcome := Outcome{}
	if command.Base != s.config.Version {
		outcome = Outcome{Refusal: RefusalVersion, Version: s.config.Version}
	} else {
		s.config = Config{Version: s.config.Version + 1, Text: command.Text, By: command.By, Source: command.Source, ChangedMillis: s.nowMillis}
		outcome.Version = s.config.Version
	}
	s.recordChangeOutcome(ChangeOutcome{ChangeID: command.ChangeID, Refusal: outcome.Refusal, Version: outcome.Version})
	return outcome
}

func (s *State) recordChangeOutcome(outcome ChangeOutcome) {
	s.changeOutcomes = append(s.changeOutcomes, outcome)
	s.changesByID[outcome.ChangeID] = outcome
	if len(s.changeOutcomes) > MaxChangeOutcomes {
		delete(s.changesByID, s.changeOutcomes[0].ChangeID)
		s.changeOutcomes = slices.Delete(s.changeOutcomes, 0, 1)
	}
}

func (s *State) isLive(incarnation vwid.Incarnation) bool {
	found, ok := s.registrations[incarnation]
	return ok && !found.Ended()
}

// sweep removes records past their retention. It keeps running submissions that are not abandoned, and ended
// registrations that the outcome of a takeover of one of them would list.
func (s *State) sweep() {
	if s.nowMillis-s.lastSweepMillis < sweepInterval.Milliseconds() {
		return
	}
	s.lastSweepMillis = s.nowMillis
	cutoffMillis := s.nowMillis - SubmissionRetention.Milliseconds()
	oldestRunningMillis := s.nowMillis
	for id, found := range s.submissions {
		if found.Phase == PhaseRunning && !s.isAbandoned(found, cutoffMillis) {
			oldestRunningMillis = min(oldestRunningMillis, found.AcceptedMillis)
			continue
		}
		if max(found.AcceptedMillis, found.FinishedMillis, submissionTimeMillis(id)) < cutoffMillis {
			delete(s.submissions, id)
		}
	}
	for incarnation, found := range s.registrations {
		if found.Ended() && found.EndedMillis < min(cutoffMillis, oldestRunningMillis) {
			delete(s.registrations, incarnation)
		}
	}
}

// isAbandoned reports whether a submission has no owner, or one whose registration ended before cutoffMillis or was
// removed: no entry has taken the submission over within the retention.
func (s *State) isAbandoned(found *Submission, cutoffMillis int64) bool {
	owner, ok := s.registrations[found.Owner]
	return !ok || (owner.Ended() && owner.EndedMillis < cutoffMillis)
}

func submissionTimeMillis(id vwid.SubmissionID) int64 {
	at, err := vwid.SubmissionTime(id)
	if err != nil {
		return 0
	}
	return at.UnixMilli()
}

// Version returns the current configuration version.
func (s *State) Version() vwid.ConfigVersion {
	return s.config.Version
}

// Config returns the current configuration. The caller must not modify its Text and Source.
func (s *State) Config() Config {
	return s.config
}

// NowMillis returns the highest At of the applied commands. It is the clock of the state machine.
func (s *State) NowMillis() int64 {
	return s.nowMillis
}

// IsLive reports whether an incarnation is registered and has not ended.
func (s *State) IsLive(incarnation vwid.Incarnation) bool {
	return s.isLive(incarnation)
}

// Registrations returns all registrations, sorted by incarnation.
func (s *State) Registrations() []Registration {
	all := make([]Registration, 0, len(s.registrations))
	for _, registration := range s.registrations {
		all = append(all, *registration)
	}
	slices.SortFunc(all, compareRegistrations)
	return all
}

// RegistrationsWhere returns the registrations for which keep returns true, sorted by incarnation. The leader calls
// it many times a second for a few of them, so the others are neither copied nor sorted. Keep must not modify its
// argument.
func (s *State) RegistrationsWhere(keep func(*Registration) bool) []Registration {
	var kept []Registration
	for _, registration := range s.registrations {
		if keep(registration) {
			kept = append(kept, *registration)
		}
	}
	slices.SortFunc(kept, compareRegistrations)
	return kept
}

func compareRegistrations(a, b Registration) int {
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// Read returns the parts of the state that query selects.
func (s *State) Read(query Query) View {
	view := View{NowMillis: s.nowMillis}
	if found, ok := s.submissions[query.SubmissionID]; ok {
		copied := *found
		view.Submission = &copied
	}
	if query.Config {
		config := s.config
		view.Config = &config
	}
	if query.Registrations {
		view.Registrations = s.Registrations()
	}
	if previous, ok := s.changesByID[query.Change]; ok {
		view.Change = &previous
	}
	return view
}

// Save returns the encoded snapshot of the state. Equal states yield equal bytes.
func (s *State) Save() ([]byte, error) {
	snapshot := Snapshot{
		NowMillis:     s.nowMillis,
		SweptMillis:   s.lastSweepMillis,
		Config:        s.config,
		Changes:       s.changeOutcomes,
		Registrations: s.Registrations(),
	}
	for _, found := range s.submissions {
		snapshot.Submissions = append(snapshot.Submissions, *found)
	}
	slices.SortFunc(snapshot.Submissions, func(a, b Submission) int {
		return cmp.Compare(a.SubmissionID, b.SubmissionID)
	})
	data, err := snapshot.MarshalMsg(nil)
	return data, trace.Wrap(err)
}

// Restore returns the state encoded in a snapshot by Save.
func Restore(data []byte) (*State, error) {
	var snapshot Snapshot
	rest, err := unmarshal(data, &snapshot)
	if err != nil {
		return nil, trace.BadParameter("malformed snapshot: %v", err)
	}
	if len(rest) != 0 {
		return nil, trace.BadParameter("snapshot has %d trailing bytes", len(rest))
	}
	s := Make()
	s.nowMillis = snapshot.NowMillis
	s.lastSweepMillis = snapshot.SweptMillis
	s.config = snapshot.Config
	for _, change := range snapshot.Changes {
		s.changeOutcomes = append(s.changeOutcomes, change)
		s.changesByID[change.ChangeID] = change
	}
	for _, found := range snapshot.Submissions {
		s.submissions[found.SubmissionID] = &found
	}
	for _, registration := range snapshot.Registrations {
		s.registrations[registration.Incarnation] = &registration
	}
	return s, nil
}
