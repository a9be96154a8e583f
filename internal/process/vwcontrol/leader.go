package vwcontrol

import (
	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// lead does the duties of the leader.
func (c *core) lead() {
	status := c.node.Status()
	if !c.leading || c.now.Before(c.nextDuty) {
		return
	}
	c.nextDuty = c.now.Add(c.settings.Tick)
	if !status.TermCommitted {
		// No renewal can be answered yet.
		c.leases.postpone(c.now)
		return
	}
	c.expireRegistrations()
	if status.Settled {
		c.promote(status.Membership)
	}
}

// promote makes a learner that has caught up a voter. A voter at the same address has lost its disk:
// its id is removed first, because with three members it is better to need both remaining ones for a
// moment than three of four.
func (c *core) promote(membership vwraft.Membership) {
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
		c.change(change)
		return
	}
}

// change proposes a membership change. One that is refused is tried again as long as its cause lasts.
func (c *core) change(change vwraft.Change) {
	if _, _, err := c.node.ProposeChange(change); err != nil {
		c.settings.Logger.Debug("membership change not proposed", "error", err)
		return
	}
	c.settings.Logger.Info("membership change", "kind", int(change.Kind), "member", string(change.Voter.Member), "address", change.Voter.Address)
}

// admit lets a member with an empty log join as a learner under its new id.
func (c *core) admit(joining vwraft.Voter) {
	membership := c.node.Status().Membership
	if _, known := membership.Find(joining.Member); known || !c.node.IsLeader() {
		return
	}
	for _, learner := range membership.Learners {
		if learner.Address == joining.Address {
			// The earlier id at this address has lost its disk before it became a voter.
			c.change(vwraft.Change{Kind: vwraft.ChangeRemove, Voter: learner})
			return
		}
	}
	if len(membership.All()) >= MaxMembers+1 {
		// One more than the limit leaves room to replace a member that has lost its disk.
		c.settings.Logger.Warn("member not admitted: the limit is reached", "member", string(joining.Member), "limit", MaxMembers)
		return
	}
	c.change(vwraft.Change{Kind: vwraft.ChangeAddLearner, Voter: joining})
}
