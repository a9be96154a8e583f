package vwcontrol

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwpart"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// core holds the state of a member. Only the member's goroutine accesses it.
type core struct {
	settings        Settings
	transport       Transport
	store           *vwstore.Store
	writer          *writer
	raftSettings    vwraft.Settings
	node            *vwraft.Node
	state           *vwstate.State
	self            vwraft.Voter
	clock           clock
	now             time.Time
	nextLeaderTasks time.Time

	appliedIndex  vwraft.Index
	isLeader      bool
	term          vwraft.Term
	leader        vwraft.Voter
	configVersion vwid.ConfigVersion
	// agentRules is the configuration of the last answer to a query for rules, without its routes.
	agentRules vwstate.Config
	// rulesParts has the parts of the current configuration once a process has asked for them.
	rulesParts     vwpart.Library
	configWatchers []func(vwid.ConfigVersion)
	proposals      proposals
	reads          reads
	forwards       forwards
	renewals       registrationRenewals
	rotation       rotationReports
	discovery      discovery
	snapshots      snapshots
	peers          peers
	disk           fullDisk
	voters         voterCounts
	// leaderSince is when this member became the leader.
	leaderSince time.Time
	// stopping is set while this member is about to end.
	stopping              bool
	outage                outage
	leadershipTransferred chan struct{}
}

func makeCore(settings Settings, files vwstore.FileSystem, transport Transport) (*core, error) {
	if settings.Tolerance == 0 {
		settings.Tolerance = (len(settings.Initial) - 1) / 2
	}
	store, loaded, err := openStore(&settings, files)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &core{settings: settings, transport: transport, store: store, state: vwstate.Make()}
	// A sync longer than the shortest election timeout counts as stuck: the member then processes and sends nothing,
	// so that the others elect a leader, which they may do after one shortest election timeout without a leader.
	c.writer = makeWriter(store, settings.minElectionTimeout())
	c.self = vwraft.Voter{Member: loaded.Member, Address: settings.Address}
	c.raftSettings = settings.raftSettings(loaded.Member)
	c.now = time.Now()
	c.renewals.reset(c.now)
	c.rotation.reset(c.now)
	c.clock = makeClock(settings.Tick, settings.SuspendedTime)
	c.proposals, c.reads, c.forwards = makeProposals(), makeReads(), makeForwards()
	c.peers, c.discovery = makePeers(), makeDiscovery(loaded.Empty(), c.now)
	if err := c.restore(loaded); err != nil {
		return nil, trace.NewAggregate(err, store.Close())
	}
	settings.Logger.Info("control member starts", "member", string(loaded.Member), "empty", loaded.Empty(),
		"snapshot", uint64(loaded.Snapshot.Index), "entries", len(loaded.Entries), "torn_bytes", loaded.Truncated, "leftovers", loaded.Leftovers)
	return c, nil
}

// openStore opens the data directory. With RejoinOnCorruption it moves a corrupt one aside, opens an empty one and sets
// JoinOnly, because a member that has lost its log must not create a second one.
func openStore(settings *Settings, files vwstore.FileSystem) (*vwstore.Store, vwstore.Loaded, error) {
	store, loaded, err := vwstore.Open(files, settings.SegmentBytes)
	if !vwstore.IsCorrupt(err) || !settings.RejoinOnCorruption {
		return store, loaded, trace.Wrap(err)
	}
	settings.Logger.Error("data directory is corrupt: moving it aside to join as a new member", "error", err)
	if err := vwstore.SetAside(files); err != nil {
		return nil, vwstore.Loaded{}, trace.Wrap(err)
	}
	settings.JoinOnly = true
	return vwstore.Open(files, settings.SegmentBytes)
}

// restore creates the raft node and the state from what the data directory holds.
func (c *core) restore(loaded vwstore.Loaded) error {
	node, err := vwraft.MakeNode(c.raftSettings, loaded.HardState, loaded.Snapshot, loaded.Entries)
	if err != nil {
		return trace.Wrap(err)
	}
	c.node = node
	if loaded.Snapshot.Index == 0 {
		return nil
	}
	return trace.Wrap(c.installSnapshot(loaded.Snapshot))
}

// advanceClock updates c.now and delivers the ticks that are due to the raft node. It must be called before any
// message or request is passed to the node.
func (c *core) advanceClock() {
	now := time.Now()
	if c.outage.active {
		// The ticks are delivered when the outage ends.
		c.now = now
		return
	}
	// At most twice the longest election timeout is delivered (ElectionTicks is the shortest, half of it). More
	// ticks change nothing: every lease and leadership has ended by then.
	ticks, suspended := c.clock.elapsedTicks(now, int64(4*c.raftSettings.ElectionTicks))
	if suspended > 0 {
		c.settings.Logger.Warn("the machine was suspended", "duration", suspended.String())
	}
	if now.Sub(c.now)+suspended > stallLimit {
		c.renewals.extendAll(now)
		c.rotation.reset(now)
	}
	c.now = now
	for range ticks {
		c.node.Tick()
	}
}

// runDueWork runs the work that is due by time and handles every Ready of the raft node.
func (c *core) runDueWork() error {
	c.advanceClock()
	if c.outage.active {
		c.forwards.failStale(c.knownLeader())
		c.expireRequests()
		c.finishLeadershipTransfer()
		return nil
	}
	if err := c.runDiscovery(); err != nil {
		return trace.Wrap(err)
	}
	c.runLeaderTasks()
	if err := c.compactLog(); err != nil {
		return trace.Wrap(err)
	}
	c.handleReadies()
	c.expireRequests()
	c.finishLeadershipTransfer()
	return nil
}

// handleReadies handles every Ready of the raft node.
func (c *core) handleReadies() {
	for {
		ready, ok := c.node.Ready()
		c.observeLeadership()
		if !ok {
			return
		}
		c.handleReady(ready)
	}
}

// handleReady sends messages, starts a sync if one is needed, applies committed entries and completes reads. finishSync
// sends the messages that must follow the sync.
func (c *core) handleReady(ready vwraft.Ready) {
	c.send(ready.Messages)
	if ready.MustSync() {
		c.writer.begin(ready, c.now)
	} else {
		c.send(ready.AfterSync)
	}
	for at := range ready.Committed {
		c.apply(&ready.Committed[at])
	}
	c.reads.setReadIndexes(ready.Reads)
	c.reads.finishApplied(c.appliedIndex)
}

// finishSync handles the rest of the Ready that the writer has synced.
func (c *core) finishSync(err error) error {
	ready := c.writer.end()
	if err != nil {
		return trace.Wrap(err)
	}
	if c.outage.active {
		// The messages are old. Those who wait for them ask again.
		ready.AfterSync = nil
		c.outage = outage{}
	}
	c.advanceClock()
	c.send(ready.AfterSync)
	if ready.Snapshot != nil {
		if err := c.installSnapshot(*ready.Snapshot); err != nil {
			return trace.Wrap(err)
		}
	}
	c.node.Advance()
	c.recordRoom()
	return nil
}

// installSnapshot replaces the state by that of a snapshot.
func (c *core) installSnapshot(snapshot vwraft.Snapshot) error {
	state, err := vwstate.Restore(snapshot.Data)
	if err != nil {
		return trace.Wrap(err)
	}
	c.state, c.appliedIndex = state, snapshot.Index
	c.snapshots.recordSnapshot(snapshot)
	c.snapshots.unsaved = nil
	c.proposals.failThrough(snapshot.Index)
	c.notifyConfigWatchers()
	return nil
}

func (c *core) apply(entry *vwraft.Entry) {
	c.appliedIndex = entry.Index
	c.snapshots.recordEntry(entry)
	if entry.Kind != vwraft.EntryCommand {
		c.proposals.rejectReplaced(entry)
		return
	}
	command, err := vwstate.Decode(entry.Data)
	if err != nil {
		// The leader decodes every command before it proposes it. All members skip the same entry, so their states
		// stay equal.
		c.settings.Logger.Error("skipped malformed command in the log", "index", uint64(entry.Index), "error", err)
		return
	}
	outcome := c.state.Apply(command)
	c.renewals.applyCommand(command, c.now)
	c.proposals.complete(entry, outcome)
	c.notifyConfigWatchers()
}

// notifyConfigWatchers records a new configuration version and passes it to the watchers.
func (c *core) notifyConfigWatchers() {
	version := c.state.Version()
	if version == c.configVersion {
		return
	}
	c.configVersion = version
	c.settings.Events.Record(vwevent.Event{Kind: vwevent.ConfigApplied, Version: version})
	for _, notify := range c.configWatchers {
		notify(version)
	}
}

// observeLeadership resets reads, forwards and renewals when this member gains or loses the leadership or the term
// changes. It always fails forwards to members other than the current leader.
func (c *core) observeLeadership() {
	status := c.node.Status()
	c.recordLeader(status)
	if c.isLeader == c.node.IsLeader() && c.term == status.Term {
		c.forwards.failStale(status.Leader)
		return
	}
	if c.isLeader != c.node.IsLeader() {
		c.settings.Logger.Info("leadership changed", "leading", c.node.IsLeader(), "term", uint64(status.Term))
	}
	c.isLeader, c.term, c.leaderSince = c.node.IsLeader(), status.Term, c.now
	c.reads.failNotLeader(status.Leader)
	c.forwards.failStale(status.Leader)
	c.renewals.reset(c.now)
	c.rotation.reset(c.now)
	c.voters = voterCounts{}
}

// recordLeader writes a change of the known leader to the event log.
func (c *core) recordLeader(status vwraft.Status) {
	if c.leader == status.Leader {
		return
	}
	c.leader = status.Leader
	kind := vwevent.LeaderElected
	if status.Leader.Member == "" {
		kind = vwevent.LeaderLost
	}
	c.settings.Events.Record(vwevent.Event{Kind: kind, Term: uint64(status.Term), Subject: status.Leader.Address})
}

func (c *core) expireRequests() {
	c.proposals.expire(c.now)
	c.reads.expire(c.now)
	c.forwards.expire(c.now)
}

// transferLeadership starts a transfer of the leadership, and closes transferred once this member is not the leader,
// or at once if no other member can take the leadership.
func (c *core) transferLeadership(transferred chan struct{}) {
	c.advanceClock()
	c.leadershipTransferred = transferred
	if c.node.IsLeader() && !c.node.TransferLeadership() {
		// No other member can take the leadership.
		close(transferred)
		c.leadershipTransferred = nil
	}
}

func (c *core) finishLeadershipTransfer() {
	if c.leadershipTransferred != nil && !c.node.IsLeader() {
		close(c.leadershipTransferred)
		c.leadershipTransferred = nil
	}
}

func (c *core) status() Status {
	return Status{Self: c.self, Log: c.node.Status(), Applied: c.appliedIndex, Config: c.state.Version(), DiskFull: c.disk.isFull(), Voters: c.voters.voters, AnsweringVoters: c.voters.answering}
}

// close waits for the writer, fails all waiting requests and closes the data directory.
func (c *core) close() error {
	c.writer.wait()
	c.proposals.failAll(ErrStopped)
	c.reads.failAll(vwverdict.Wrap(vwverdict.NotRun, ErrStopped))
	c.forwards.failAll(ErrStopped)
	return c.store.Close()
}
