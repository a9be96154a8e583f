package vwcontrol

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// snapshotRetryInterval is how often a snapshot that found the disk full is tried again. A try may cost all its bytes.
const snapshotRetryInterval = 500 * time.Millisecond

// snapshots decides when the next snapshot is due.
type snapshots struct {
	entries int
	// logBytes is the size of the entries since the last snapshot, snapshotBytes that of the snapshot.
	logBytes, snapshotBytes int
	// unsaved is a snapshot for which the disk had no room; nextTry is when it is tried again. Until it is stored the
	// earlier one and all entries after it stay on the disk.
	unsaved *vwraft.Snapshot
	nextTry time.Time
}

func (s *snapshots) recordEntry(entry *vwraft.Entry) {
	s.entries++
	s.logBytes += len(entry.Data)
}

func (s *snapshots) recordSnapshot(snapshot vwraft.Snapshot) {
	s.entries, s.logBytes, s.snapshotBytes = 0, 0, len(snapshot.Data)
}

// due reports whether a limit is reached and the log has grown by the size of the last snapshot. The latter keeps the
// bytes written for snapshots at about those of the log, whatever the size of the state.
func (s *snapshots) due(entries, bytes int) bool {
	return (s.entries >= entries || s.logBytes >= bytes) && s.logBytes >= s.snapshotBytes
}

// compactLog stores a snapshot and drops the entries that it covers, if a snapshot is due or one is unsaved.
func (c *core) compactLog() error {
	// The writer owns the store while it syncs, and may be installing a snapshot of the leader that replaces the state.
	if c.writer.busy() || c.now.Before(c.snapshots.nextTry) {
		return nil
	}
	snapshot, err := c.dueSnapshot()
	if err != nil || snapshot == nil {
		return err
	}
	err = c.store.Compact(*snapshot)
	if vwstore.IsFull(err) {
		c.snapshots.unsaved, c.snapshots.nextTry = snapshot, c.now.Add(snapshotRetryInterval)
		c.recordFull(err)
		return nil
	}
	c.snapshots.unsaved = nil
	if err == nil {
		c.recordRoom()
	}
	return trace.Wrap(err)
}

// dueSnapshot returns a new snapshot if one is due, else the unsaved one or nil.
func (c *core) dueSnapshot() (*vwraft.Snapshot, error) {
	if c.appliedIndex <= c.node.Status().Snapshot || !c.snapshots.due(c.settings.SnapshotEntries, c.settings.SnapshotBytes) {
		return c.snapshots.unsaved, nil
	}
	data, err := c.state.Save()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snapshot, err := c.node.Compact(c.appliedIndex, data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.snapshots.recordSnapshot(snapshot)
	return &snapshot, nil
}
