package vwraft

import "github.com/gravitational/trace"

// Compact takes data as the snapshot of the state after the entry at index and drops entries up to it, apart from
// the trailing ones. Ready must have returned that entry in Committed. The caller stores the returned snapshot.
func (n *Node) Compact(index Index, data []byte) (Snapshot, error) {
	snapshot, err := n.log.compact(index, data, n.settings.TrailingEntries, n.settings.TrailingBytes)
	return snapshot, trace.Wrap(err)
}
