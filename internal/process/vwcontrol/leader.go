package vwcontrol

import (
	"time"

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
	if status.Settled && !c.dropSilent(status.Membership) {
		c.promote(status.Membership)
	}
}

// dropSilent removes a voter that was not heard of for long from an even number of voters. It reports
// whether it has proposed that.
func (c *core) dropSilent(membership vwraft.Membership) bool {
	if len(membership.Voters)%2 != 0 {
		return false
	}
	limit := uint64(c.settings.ReplaceAfter / c.settings.Tick)
	for _, voter := range membership.Voters {
		if silent := c.node.SilentTicks(voter.Member); silent > limit {
			c.settings.Logger.Info("silent voter is removed", "member", string(voter.Member), "address", voter.Address,
				"silent", (time.Duration(silent) * c.settings.Tick).String(), "voters", len(membership.Voters))
			c.change(vwraft.Change{Kind: vwraft.ChangeRemove, Voter: voter})
			return true
		}
	}
	return false
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

// admit lets a member that the membership does not know join as a learner. Its log is empty, or the
// membership has lost it.
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
	if len(membership.All()) >= c.settings.MaxMembers+1 {
		// One more than the limit leaves room to replace a member that has lost its disk.
		c.settings.Logger.Warn("member not admitted: the limit is reached", "member", string(joining.Member), "limit", c.settings.MaxMembers)
		return
	}
	c.change(vwraft.Change{Kind: vwraft.ChangeAddLearner, Voter: joining})
}
