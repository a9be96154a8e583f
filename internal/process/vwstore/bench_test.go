package vwstore_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// BenchmarkSync measures one write and one sync of a batch on a real directory.
func BenchmarkSync(b *testing.B) {
	for _, batch := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			files, err := vwstore.OpenDirectory(b.TempDir())
			require.NoError(b, err)
			store, _, err := vwstore.Open(files, vwstore.DefaultSegmentBytes)
			require.NoError(b, err)
			index := vwraft.Index(0)
			entries := make([]vwraft.Entry, batch)
			for b.Loop() {
				for at := range entries {
					index++
					entries[at] = vwraft.Entry{Index: index, Term: 1, Data: make([]byte, 200)}
				}
				require.NoError(b, store.Append(nil, entries))
				require.NoError(b, store.Sync())
			}
			require.NoError(b, store.Close())
		})
	}
}
