package vwcontrol

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// snapshots decides when the next snapshot is due.
type snapshots struct {
	entries int
	// logBytes is the size of the entries since the last snapshot, snapshotBytes that of the snapshot.
	logBytes, snapshotBytes int
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

// compactLog stores a snapshot and drops the entries that it covers, if a snapshot is due.
func (c *core) compactLog() error {
	// The writer owns the store while it syncs, and may be installing a snapshot of the leader that replaces the state.
	if c.writer.busy() || c.appliedIndex <= c.node.Status().Snapshot || !c.snapshots.due(c.settings.SnapshotEntries, c.settings.SnapshotBytes) {
		return nil
	}
	data, err := c.state.Save()
	if err != nil {
		return trace.Wrap(err)
	}
	snapshot, err := c.node.Compact(c.appliedIndex, data)
	if err != nil {
		return trace.Wrap(err)
	}
	c.snapshots.recordSnapshot(snapshot)
	return trace.Wrap(c.store.Compact(snapshot))
}
