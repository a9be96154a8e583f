package vwcontrol

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// snapshots decides when to take the next one.
type snapshots struct {
	entries int
	// logBytes counts the entries since the last snapshot, snapshotBytes is its size.
	logBytes, snapshotBytes int
}

func (s *snapshots) applied(entry *vwraft.Entry) {
	s.entries++
	s.logBytes += len(entry.Data)
}

func (s *snapshots) installed(snapshot vwraft.Snapshot) {
	s.entries, s.logBytes, s.snapshotBytes = 0, 0, len(snapshot.Data)
}

// due limits what snapshots write to about what the log writes, however large the state is.
func (s *snapshots) due(entries, bytes int) bool {
	return (s.entries >= entries || s.logBytes >= bytes) && s.logBytes >= s.snapshotBytes
}

// snapshot stores the state and drops the entries before it, when that is due.
func (c *core) snapshot() error {
	// The writer has the store while it syncs. A snapshot of the leader may be about to replace the state.
	if c.writer.busy() || c.applied <= c.node.Status().Snapshot || !c.snapshots.due(c.settings.SnapshotEntries, c.settings.SnapshotBytes) {
		return nil
	}
	data, err := c.state.Save()
	if err != nil {
		return trace.Wrap(err)
	}
	snapshot, err := c.node.Compact(c.applied, data)
	if err != nil {
		return trace.Wrap(err)
	}
	c.snapshots.installed(snapshot)
	return trace.Wrap(c.store.Compact(snapshot))
}
