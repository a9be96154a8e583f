package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

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
	if status.MembershipCommitted && !c.removeSilentVoter(status.Membership) {
		c.promoteLearner(status.Membership)
	}
}

// removeSilentVoter proposes the removal of a voter that has sent nothing for ReplaceAfter, if the number of voters is
// even. It reports whether it found one.
func (c *core) removeSilentVoter(membership vwraft.Membership) bool {
	if len(membership.Voters)%2 != 0 {
		return false
	}
	limit := uint64(c.settings.ReplaceAfter / c.settings.Tick)
	for _, voter := range membership.Voters {
		if silent := c.node.TicksSinceContact(voter.Member); silent > limit {
			c.settings.Logger.Info("proposing removal of silent voter", "member", string(voter.Member), "address", voter.Address,
				"silent", (time.Duration(silent) * c.settings.Tick).String(), "voters", len(membership.Voters))
			c.proposeChange(vwraft.Change{Kind: vwraft.ChangeRemove, Voter: voter})
			return true
		}
	}
	return false
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
