package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// firstChangeWait bounds how long a leader accepts no first change of the rules for want of voters. All members of a deployment start
// within a second of each other, and become voters one after the other.
const firstChangeWait = 5 * time.Second

// runLeaderTasks expires registrations and adjusts the membership, once a tick and only on the leader.
func (c *core) runLeaderTasks() {
	status := c.node.Status()
	if !c.isLeader || c.now.Before(c.nextLeaderTasks) {
		return
	}
	c.nextLeaderTasks = c.now.Add(c.settings.Tick)
	if !status.TermCommitted {
		// No renewal is answered before an entry of this term is committed, so no registration may expire until then.
		c.renewals.extendAll(c.now)
		return
	}
	c.expireRegistrations()
	c.observeTolerance(status.Membership)
	if status.MembershipCommitted && !c.removeSilentVoter(status.Membership) {
		c.promoteLearner(status.Membership)
	}
}

// removeSilentVoter proposes the removal of the voter that has been silent for longest, if that is longer than ReplaceAfter
// or the voter has said that it stops, and if the other voters are enough for the tolerated losses. It reports whether it
// found one. Voters that were replaced would otherwise count towards every majority for good. A majority of the voters that
// are left must have answered, so that the change is committed.
func (c *core) removeSilentVoter(membership vwraft.Membership) bool {
	silentest, answering := c.countAnswering(membership, c.settings.ReplaceAfter)
	left := len(membership.Voters) - 1
	if answering > left || left < c.settings.neededVoters() || answering < left/2+1 {
		return false
	}
	c.settings.Logger.Info("proposing removal of silent voter", "member", string(silentest.Member), "address", silentest.Address,
		"silent", (time.Duration(c.node.TicksSinceContact(silentest.Member)) * c.settings.Tick).String(),
		"stopping", c.peers.stopping[silentest.Member], "voters", len(membership.Voters), "answering", answering)
	c.proposeChange(vwraft.Change{Kind: vwraft.ChangeRemove, Voter: silentest})
	return true
}

// countAnswering returns the voter that has been silent for longest, and the number of voters, with this one, that have
// answered within the given time and have not said that they stop.
func (c *core) countAnswering(membership vwraft.Membership, within time.Duration) (silentest vwraft.Voter, answering int) {
	limit := uint64(within / c.settings.Tick)
	longest := uint64(0)
	for _, voter := range membership.Voters {
		silent := c.node.TicksSinceContact(voter.Member)
		if c.peers.stopping[voter.Member] {
			silent = max(silent, limit+1)
		}
		if silent <= limit {
			answering++
		}
		if silent >= longest {
			silentest, longest = voter, silent
		}
	}
	return silentest, answering
}

// observeTolerance records how many voters answer, and logs when the losses that can be borne on top of those that are silent
// now fall below the tolerance of the settings or reach it again.
func (c *core) observeTolerance(membership vwraft.Membership) {
	_, answering := c.countAnswering(membership, c.settings.ElectionTimeout)
	voters := len(membership.Voters)
	tolerated := max(answering-(voters/2+1), 0)
	before := c.voters
	c.voters = voterCounts{voters: voters, answering: answering, tolerated: tolerated}
	switch {
	case tolerated < c.settings.Tolerance && (!before.isKnown() || tolerated != before.tolerated):
		c.settings.Logger.Warn("control tolerates fewer losses than it is set to", "tolerated", tolerated, "wanted", c.settings.Tolerance, "voters", voters, "answering", answering)
	case tolerated >= c.settings.Tolerance && before.isKnown() && before.tolerated < c.settings.Tolerance:
		c.settings.Logger.Info("control tolerates the losses that it is set to", "tolerated", tolerated, "voters", voters, "answering", answering)
	}
}

// voterCounts is what a leader knows of the voters. It is zero on other members.
type voterCounts struct {
	voters    int
	answering int
	// tolerated is how many of the answering voters may be lost while the rest is a majority.
	tolerated int
}

func (v voterCounts) isKnown() bool {
	return v.voters > 0
}

// awaitsVoters reports whether the first change of the rules has to wait at the leader: the log begins with the initial members as
// voters, and until others have joined them the tolerated losses could take all copies of what is acknowledged, or leave no majority
// to read it.
func (c *core) awaitsVoters() bool {
	status := c.node.Status()
	enough := status.MembershipCommitted && len(status.Membership.Voters) >= c.settings.neededVoters()
	if enough || c.state.Version() != 0 {
		return false
	}
	// A leadership that was not observed yet has just begun.
	observed := c.isLeader && c.term == status.Term
	return !observed || c.now.Sub(c.leaderSince) < firstChangeWait
}

// promoteLearner proposes to make a learner that has caught up a voter. A voter at the same address has lost its disk:
// its id is removed first. With three members, this leaves two voters that are both needed for a short time. Promoting
// first would need three of four, one of which has lost its disk.
func (c *core) promoteLearner(membership vwraft.Membership) {
	for _, learner := range membership.Learners {
		if !c.node.CaughtUp(learner.Member) {
			continue
		}
		change := vwraft.Change{Kind: vwraft.ChangePromote, Voter: learner}
		for _, voter := range membership.Voters {
			if voter.Address == learner.Address {
				change = vwraft.Change{Kind: vwraft.ChangeRemove, Voter: voter}
			}
		}
		c.proposeChange(change)
		return
	}
}

// proposeChange proposes a membership change. After a refusal the callers propose it again as long as its cause lasts.
func (c *core) proposeChange(change vwraft.Change) {
	if _, _, err := c.node.ProposeChange(change); err != nil {
		c.settings.Logger.Debug("membership change not proposed", "error", err)
		return
	}
	c.settings.Logger.Info("membership change proposed", "kind", int(change.Kind), "member", string(change.Voter.Member), "address", change.Voter.Address)
}

// admitLearner proposes to add a member as a learner if the membership does not contain it. Its log is empty, or it was
// removed from the membership.
func (c *core) admitLearner(joining vwraft.Voter) {
	membership := c.node.Status().Membership
	if _, known := membership.Find(joining.Member); known || !c.node.IsLeader() {
		return
	}
	for _, learner := range membership.Learners {
		if learner.Address == joining.Address {
			// The member at this address lost its disk before its earlier id became a voter.
			c.proposeChange(vwraft.Change{Kind: vwraft.ChangeRemove, Voter: learner})
			return
		}
	}
	if len(membership.All()) >= c.settings.MaxMembers+1 {
		// One learner above the limit is admitted, so that a member that has lost its disk can be replaced.
		c.settings.Logger.Warn("member not admitted: the limit is reached", "member", string(joining.Member), "limit", c.settings.MaxMembers)
		return
	}
	c.proposeChange(vwraft.Change{Kind: vwraft.ChangeAddLearner, Voter: joining})
}
