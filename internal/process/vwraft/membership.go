package vwraft

import (
	"slices"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	// ChangeAddLearner adds a member that receives the log but does not vote.
	ChangeAddLearner ChangeKind = iota + 1
	// ChangePromote makes a learner that has caught up a voter.
	ChangePromote
	// ChangeRemove removes a voter or a learner.
	ChangeRemove
)

// Change is one membership change. It adds or removes at most one voter, so that every majority of the membership
// before it and every majority of the one after it have a member in common.
type Change struct {
	Kind  ChangeKind
	Voter Voter
}

// Find returns the voter or learner with the given id, and false when there is none.
func (z *Membership) Find(member vwid.Member) (Voter, bool) {
	for _, list := range [][]Voter{z.Voters, z.Learners} {
		if at := voterIndex(list, member); at >= 0 {
			return list[at], true
		}
	}
	return Voter{}, false
}

// Votes reports whether member is a voter.
func (z *Membership) Votes(member vwid.Member) bool {
	return voterIndex(z.Voters, member) >= 0
}

// All returns the voters and the learners.
func (z *Membership) All() []Voter {
	return slices.Concat(z.Voters, z.Learners)
}

// Next returns the membership after change, or an error when the change does not apply.
func (z *Membership) Next(change Change) (Membership, error) {
	next := Membership{Voters: slices.Clone(z.Voters), Learners: slices.Clone(z.Learners)}
	_, known := z.Find(change.Voter.Member)
	learner := voterIndex(z.Learners, change.Voter.Member)
	switch {
	case change.Kind == ChangeAddLearner && !known && change.Voter.Member != "":
		next.Learners = append(next.Learners, change.Voter)
	case change.Kind == ChangePromote && learner >= 0:
		next.Voters = append(next.Voters, next.Learners[learner])
		next.Learners = slices.Delete(next.Learners, learner, learner+1)
	case change.Kind == ChangeRemove && known:
		next.Voters = slices.DeleteFunc(next.Voters, hasMember(change.Voter.Member))
		next.Learners = slices.DeleteFunc(next.Learners, hasMember(change.Voter.Member))
	default:
		return Membership{}, trace.BadParameter("membership change %d does not apply to member %q", change.Kind, change.Voter.Member)
	}
	if len(next.Voters) == 0 {
		return Membership{}, trace.BadParameter("the last voter %q cannot be removed", change.Voter.Member)
	}
	return next, nil
}

// Bootstrap returns the hard state and the first entry of a new log with the given membership. Exactly one member of
// a new cluster starts with them; the others receive the log from that member.
func Bootstrap(membership Membership) (HardState, Entry, error) {
	data, err := membership.MarshalMsg(nil)
	if err != nil {
		return HardState{}, Entry{}, trace.Wrap(err)
	}
	return HardState{Term: 1}, Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: data}, nil
}

// DecodeMembership decodes the data of an entry of kind EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var membership Membership
	rest, err := membership.UnmarshalMsg(data)
	if err != nil {
		return Membership{}, trace.BadParameter("malformed membership: %v", err)
	}
	if len(rest) != 0 {
		return Membership{}, trace.BadParameter("membership has %d trailing bytes", len(rest))
	}
	return membership, nil
}

// quorumValue returns the highest value that a majority of the voters has reached, or zero if there are no voters.
func quorumValue[T ~uint64](voters []Voter, value func(vwid.Member) T) T {
	if len(voters) == 0 {
		return 0
	}
	values := make([]T, 0, len(voters))
	for _, voter := range voters {
		values = append(values, value(voter.Member))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func voterIndex(list []Voter, member vwid.Member) int {
	return slices.IndexFunc(list, hasMember(member))
}

func hasMember(member vwid.Member) func(Voter) bool {
	return func(v Voter) bool { return v.Member == member }
}
