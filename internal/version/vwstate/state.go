// Package vwstate is the replicated state machine of control: the configuration, the owners of
// submissions, and the registered processes. It has no clock and no randomness of its own, so that
// all replicas that apply the same log agree.
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
	// Retention is how long the record of a submission is kept after its acceptance and its end.
	Retention = 5 * time.Minute
	// Skew is how far the time in a submission id may be ahead of control's clock.
	Skew = 30 * time.Second
	// MaxChanges is how many outcomes of changes are remembered for resends.
	MaxChanges = 10_000
	// sweepInterval bounds how often expired records are searched for.
	sweepInterval = 10 * time.Second
)

// State is the state machine. It is not safe for concurrent use: one goroutine owns it.
type State struct {
	nowMillis     int64
	sweptMillis   int64
	config        Config
	changes       []ChangeOutcome
	changeIndex   map[vwid.ChangeID]ChangeOutcome
	submissions   map[vwid.SubmissionID]*Submission
	registrations map[vwid.Incarnation]*Registration
}

// Make returns an empty state with configuration version zero.
func Make() *State {
	return &State{
		changeIndex:   map[vwid.ChangeID]ChangeOutcome{},
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

// unmarshal decodes data and returns what follows. Decoding allocates for as many elements as a header
// claims; Skip makes sure first that the bytes are there.
func unmarshal(data []byte, into msgp.Unmarshaler) ([]byte, error) {
	if _, err := msgp.Skip(data); err != nil {
		return nil, err
	}
	return into.UnmarshalMsg(data)
}

// Apply carries out one command.
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
		// The description may change, for example when a backend server offers more slots.
		registration.SinceMillis = found.SinceMillis
	} else {
		registration.SinceMillis = s.nowMillis
		s.supersede(&registration)
	}
	registration.EndedMillis = 0
	s.registrations[registration.Incarnation] = &registration
	return Outcome{}
}

// supersede ends the registrations of earlier runs of a process. A process that registers anew has
// restarted, and waiting for its earlier lease would only keep a dead address in the lists.
func (s *State) supersede(next *Registration) {
	if next.Process == "" {
		return
	}
	for _, found := range s.registrations {
		if found.Process == next.Process && found.Role == next.Role && !found.Ended() {
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
	if known, ok := s.changeIndex[command.ChangeID]; ok {
		return Outcome{Refusal: known.Refusal, Version: known.Version}
	}
	outcome := Outcome{}
	if command.Base != s.config.Version {
		outcome = Outcome{Refusal: RefusalVersion, Version: s.config.Version}
	} else {
		s.config = Config{Version: s.config.Version + 1, Text: command.Text, By: command.By, Source: command.Source, ChangedMillis: s.nowMillis}
		outcome.Version = s.config.Version
	}
	s.rememberChange(ChangeOutcome{ChangeID: command.ChangeID, Refusal: outcome.Refusal, Version: outcome.Version})
	return outcome
}

func (s *State) rememberChange(outcome ChangeOutcome) {
	s.changes = append(s.changes, outcome)
	s.changeIndex[outcome.ChangeID] = outcome
	if len(s.changes) > MaxChanges {
		delete(s.changeIndex, s.changes[0].ChangeID)
		s.changes = slices.Delete(s.changes, 0, 1)
	}
}

func (s *State) live(incarnation vwid.Incarnation) bool {
	found, ok := s.registrations[incarnation]
	return ok && !found.Ended()
}

// sweep drops records past their retention. A submission that still runs is kept, and so is each
// ended registration that a takeover of such a submission would have to name.
func (s *State) sweep() {
	if s.nowMillis-s.sweptMillis < sweepInterval.Milliseconds() {
		return
	}
	s.sweptMillis = s.nowMillis
	horizon := s.nowMillis - Retention.Milliseconds()
	oldestRunning := s.nowMillis
	for id, found := range s.submissions {
		if found.Phase == PhaseRunning && !s.abandoned(found, horizon) {
			oldestRunning = min(oldestRunning, found.AcceptedMillis)
			continue
		}
		if max(found.AcceptedMillis, found.FinishedMillis, submissionMillis(id)) < horizon {
			delete(s.submissions, id)
		}
	}
	for incarnation, found := range s.registrations {
		if found.Ended() && found.EndedMillis < min(horizon, oldestRunning) {
			delete(s.registrations, incarnation)
		}
	}
}

// abandoned reports whether nobody has taken a submission over within the retention after its owner's end.
func (s *State) abandoned(found *Submission, horizon int64) bool {
	owner, ok := s.registrations[found.Owner]
	return !ok || (owner.Ended() && owner.EndedMillis < horizon)
}

func submissionMillis(id vwid.SubmissionID) int64 {
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

// Config returns the current configuration. The caller must not change its text.
func (s *State) Config() Config {
	return s.config
}

// NowMillis returns the newest time that any command carried.
func (s *State) NowMillis() int64 {
	return s.nowMillis
}

// IsLive reports whether an incarnation is registered and has not ended.
func (s *State) IsLive(incarnation vwid.Incarnation) bool {
	return s.live(incarnation)
}

// Registrations returns all registrations in a fixed order.
func (s *State) Registrations() []Registration {
	all := make([]Registration, 0, len(s.registrations))
	for _, registration := range s.registrations {
		all = append(all, *registration)
	}
	slices.SortFunc(all, compareRegistrations)
	return all
}

// RegistrationsWhere returns the registrations that keep accepts, in a fixed order. The leader asks for a few
// of them many times a second, so the others are neither copied nor sorted. Keep must not change them.
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

// Read answers a query.
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
	if known, ok := s.changeIndex[query.Change]; ok {
		view.Change = &known
	}
	return view
}

// Save returns the whole state. Equal states yield equal bytes.
func (s *State) Save() ([]byte, error) {
	snapshot := Snapshot{
		NowMillis:     s.nowMillis,
		SweptMillis:   s.sweptMillis,
		Config:        s.config,
		Changes:       s.changes,
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

// Restore returns the state of a snapshot.
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
	s.sweptMillis = snapshot.SweptMillis
	s.config = snapshot.Config
	for _, change := range snapshot.Changes {
		s.changes = append(s.changes, change)
		s.changeIndex[change.ChangeID] = change
	}
	for _, found := range snapshot.Submissions {
		s.submissions[found.SubmissionID] = &found
	}
	for _, registration := range snapshot.Registrations {
		s.registrations[registration.Incarnation] = &registration
	}
	return s, nil
}
