package vwraft

import "github.com/gravitational/trace"

// Compact records that data is the state after the entry at index, which must have been handed out
// as committed, and drops the entries before it. The caller stores the returned snapshot.
func (n *Node) Compact(index Index, data []byte) (Snapshot, error) {
	snapshot, err := n.log.compact(index, data, n.settings.Trailing, n.settings.TrailingBytes)
	return snapshot, trace.Wrap(err)
}
