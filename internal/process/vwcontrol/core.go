package vwcontrol

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// core is the state of a member. The member's goroutine owns it.
type core struct {
	settings  Settings
	transport Transport
	store     *vwstore.Store
	writer    *writer
	raft      vwraft.Settings
	node      *vwraft.Node
	state     *vwstate.State
	self      vwraft.Voter
	clock     clock
	now       time.Time
	nextDuty  time.Time

	applied   vwraft.Index
	leading   bool
	term      vwraft.Term
	leader    vwraft.Voter
	config    vwid.ConfigVersion
	watchers  []func(vwid.ConfigVersion)
	proposals proposals
	reads     reads
	forwards  forwards
	leases    leases
	discovery discovery
	snapshots snapshots
	peers     peers
	handed    chan struct{}
}

func makeCore(settings Settings, files vwstore.FileSystem, transport Transport) (*core, error) {
	store, loaded, err := openStore(&settings, files)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &core{settings: settings, transport: transport, store: store, state: vwstate.Make()}
	// A member with a stuck disk falls silent as long as it takes the others to elect a leader.
	c.writer = makeWriter(store, settings.shortestElection())
	c.self = vwraft.Voter{Member: loaded.Member, Address: settings.Address}
	c.raft = settings.raft(loaded.Member)
	c.now = time.Now()
	c.leases.restart(c.now)
	c.clock = makeClock(settings.Tick, settings.Suspended)
	c.proposals, c.reads, c.forwards = makeProposals(), makeReads(), makeForwards()
	c.peers, c.discovery = makePeers(), makeDiscovery(loaded.Empty(), c.now)
	if err := c.restore(loaded); err != nil {
		return nil, trace.NewAggregate(err, store.Close())
	}
	settings.Logger.Info("control member starts", "member", string(loaded.Member), "empty", loaded.Empty(),
		"snapshot", uint64(loaded.Snapshot.Index), "entries", len(loaded.Entries), "torn_bytes", loaded.Truncated)
	return c, nil
}

// openStore opens the data directory, or an empty one in the place of a damaged one. A member that has lost its log
// must not begin another beside that of the others.
func openStore(settings *Settings, files vwstore.FileSystem) (*vwstore.Store, vwstore.Loaded, error) {
	store, loaded, err := vwstore.Open(files, settings.SegmentBytes)
	if !vwstore.IsCorrupt(err) || !settings.ReplacesDamage {
		return store, loaded, trace.Wrap(err)
	}
	settings.Logger.Error("data directory is damaged; it is set aside and the member joins as a new one", "error", err)
	if err := vwstore.SetAside(files); err != nil {
		return nil, vwstore.Loaded{}, trace.Wrap(err)
	}
	settings.Joins = true
	return vwstore.Open(files, settings.SegmentBytes)
}

func (c *core) restore(loaded vwstore.Loaded) error {
	node, err := vwraft.MakeNode(c.raft, loaded.HardState, loaded.Snapshot, loaded.Entries)
	if err != nil {
		return trace.Wrap(err)
	}
	c.node = node
	if loaded.Snapshot.Index == 0 {
		return nil
	}
	return trace.Wrap(c.install(loaded.Snapshot))
}

// advance accounts for the time that has passed. It precedes everything that reaches the log.
func (c *core) advance() {
	now := time.Now()
	ticks, suspended := c.clock.due(now, int64(4*c.raft.ElectionTicks))
	if suspended > 0 {
		c.settings.Logger.Warn("the machine was suspended", "duration", suspended.String())
	}
	if now.Sub(c.now)+suspended > stallLimit {
		c.leases.postpone(now)
	}
	c.now = now
	// More ticks than two election timeouts end every lease and every leadership anyway.
	for range ticks {
		c.node.Tick()
	}
}

// settle does what is due by time and carries out everything that the log asks for.
func (c *core) settle() error {
	c.advance()
	if err := c.discover(); err != nil {
		return trace.Wrap(err)
	}
	c.lead()
	if err := c.snapshot(); err != nil {
		return trace.Wrap(err)
	}
	for {
		ready, ok := c.node.Ready()
		c.observeLeadership()
		if !ok {
			break
		}
		c.carryOut(ready)
	}
	c.expireWaiting()
	c.finishHandOver()
	return nil
}

func (c *core) carryOut(ready vwraft.Ready) {
	c.send(ready.Messages)
	if ready.MustSync() {
		c.writer.begin(ready, c.now)
	} else {
		c.send(ready.AfterSync)
	}
	for at := range ready.Committed {
		c.apply(&ready.Committed[at])
	}
	c.reads.release(ready.Reads)
	c.reads.answer(c.applied)
}

// finishSync goes on after the writer has synced.
func (c *core) finishSync(err error) error {
	ready := c.writer.end()
	if err != nil {
		return trace.Wrap(err)
	}
	c.advance()
	c.send(ready.AfterSync)
	if ready.Snapshot != nil {
		if err := c.install(*ready.Snapshot); err != nil {
			return trace.Wrap(err)
		}
	}
	c.node.Advance()
	return nil
}

// install replaces the state by a snapshot.
func (c *core) install(snapshot vwraft.Snapshot) error {
	state, err := vwstate.Restore(snapshot.Data)
	if err != nil {
		return trace.Wrap(err)
	}
	c.state, c.applied = state, snapshot.Index
	c.snapshots.installed(snapshot)
	c.proposals.overtaken(snapshot.Index)
	c.announceConfig()
	return nil
}

func (c *core) apply(entry *vwraft.Entry) {
	c.applied = entry.Index
	c.snapshots.applied(entry)
	if entry.Kind != vwraft.EntryCommand {
		c.proposals.replaced(entry)
		return
	}
	command, err := vwstate.Decode(entry.Data)
	if err != nil {
		// The leader decodes every command before it proposes it. All members skip the entry alike.
		c.settings.Logger.Error("malformed command in the log", "index", uint64(entry.Index), "error", err)
		return
	}
	outcome := c.state.Apply(command)
	c.leases.observe(command, c.now)
	c.proposals.applied(entry, outcome)
	c.announceConfig()
}

func (c *core) announceConfig() {
	version := c.state.Version()
	if version == c.config {
		return
	}
	c.config = version
	c.settings.Events.Record(vwevent.Event{Kind: vwevent.ConfigApplied, Version: version})
	for _, notify := range c.watchers {
		notify(version)
	}
}

// observeLeadership reacts to the gain and the loss of the leadership.
func (c *core) observeLeadership() {
	status := c.node.Status()
	c.recordLeader(status)
	if c.leading == c.node.IsLeader() && c.term == status.Term {
		c.forwards.follow(status.Leader)
		return
	}
	if c.leading != c.node.IsLeader() {
		c.settings.Logger.Info("leadership", "leading", c.node.IsLeader(), "term", uint64(status.Term))
	}
	c.leading, c.term = c.node.IsLeader(), status.Term
	c.reads.fail(status.Leader)
	c.forwards.follow(status.Leader)
	c.leases.restart(c.now)
}

// recordLeader records which member leads, as this one knows it.
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

func (c *core) expireWaiting() {
	c.proposals.expire(c.now)
	c.reads.expire(c.now)
	c.forwards.expire(c.now)
}

// handOver starts a transfer of the leadership, and closes handed when this member does not lead any more.
func (c *core) handOver(handed chan struct{}) {
	c.advance()
	c.handed = handed
	if c.node.IsLeader() && !c.node.Transfer() {
		// There is nobody to hand over to.
		close(handed)
		c.handed = nil
	}
}

func (c *core) finishHandOver() {
	if c.handed != nil && !c.node.IsLeader() {
		close(c.handed)
		c.handed = nil
	}
}

func (c *core) status() Status {
	return Status{Self: c.self, Log: c.node.Status(), Applied: c.applied, Config: c.state.Version()}
}

// close answers everything that waits and releases the data directory, after the writer has left it.
func (c *core) close() error {
	c.writer.wait()
	c.proposals.stop()
	c.reads.failAll(vwverdict.Wrap(vwverdict.NotRun, ErrStopped))
	c.forwards.failAll(ErrStopped)
	return c.store.Close()
}
