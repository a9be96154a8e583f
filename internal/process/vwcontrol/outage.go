package vwcontrol

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// outage is the time in which the writer finds no room on the disk. The member then takes no part in the log: it handles
// no message of vwraft and delivers no ticks, so it acknowledges nothing, votes for nobody and holds nothing in memory
// that it cannot store. It goes on to serve requests, by forwarding them to the leader that the dropped messages name.
type outage struct {
	active bool
	cause  error
	// leader is the sender of the last message of a leader, received at leaderSeenAt in term.
	leader       vwid.Member
	term         vwraft.Term
	leaderSeenAt time.Time
}

// fullDisk holds since when a write or a snapshot has found no room. It is zero while there is room.
type fullDisk struct{ since time.Time }

func (f *fullDisk) isFull() bool {
	return !f.since.IsZero()
}

// recordFull logs that a disk is full, once until recordRoom.
func (c *core) recordFull(cause error) {
	if c.disk.isFull() {
		return
	}
	c.disk.since = c.now
	c.settings.Logger.Error("disk of the control log is full; the member acknowledges nothing that it cannot store and goes on once there is room", "error", cause)
}

// recordRoom logs that a full disk has room again.
func (c *core) recordRoom() {
	if !c.disk.isFull() || c.outage.active || c.snapshots.unsaved != nil {
		return
	}
	c.settings.Logger.Info("disk of the control log has room again", "full", c.now.Sub(c.disk.since).String())
	c.disk.since = time.Time{}
}

// beginOutage withdraws this member from the log after the writer has found the disk full. A leader hands over, and its
// waiting proposals are failed, because it no longer learns which entries are committed.
func (c *core) beginOutage(cause error) {
	c.advanceClock()
	c.recordFull(cause)
	c.node.Withdraw()
	c.handleReadies()
	status := c.node.Status()
	c.outage = outage{active: true, cause: cause, leader: status.Leader.Member, term: status.Term, leaderSeenAt: c.now}
	c.proposals.failAll(cause)
}

// observeLeader records the sender of a message that only a leader sends.
func (o *outage) observeLeader(m *vwraft.Message, now time.Time) {
	if (m.Kind == vwraft.MessageAppend || m.Kind == vwraft.MessageSnapshot) && m.Term >= o.term {
		o.leader, o.term, o.leaderSeenAt = m.From, m.Term, now
	}
}

// knownLeader returns the leader that this member knows, or an empty Voter. During an outage it is the last one seen,
// within the longest election timeout.
func (c *core) knownLeader() vwraft.Voter {
	switch {
	case !c.outage.active:
		return c.resolvePeer(c.node.Status().Leader.Member)
	case c.now.Sub(c.outage.leaderSeenAt) < c.settings.ElectionTimeout:
		return c.resolvePeer(c.outage.leader)
	}
	return vwraft.Voter{}
}

// notLeader returns the error for a request that this member can neither handle nor forward.
func (c *core) notLeader(leader vwraft.Voter) error {
	var err error = ErrNotLeader{Leader: leader}
	if c.outage.active && leader.Address == "" {
		err = trace.NewAggregate(err, c.outage.cause)
	}
	return vwverdict.Wrap(vwverdict.NotRun, err)
}
