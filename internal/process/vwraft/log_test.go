package vwraft

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against trailing entries that are bounded only in number: a thousand entries with large configurations need
// more memory than a machine of the control log has.
func TestTrailingEntriesAreBounded(t *testing.T) {
	const size = 1 << 10
	cases := map[string]struct {
		trailing Index
		bytes    int
		left     int
	}{
		"few entries":     {trailing: 4, bytes: 1 << 20, left: 4},
		"few bytes":       {trailing: 1000, bytes: 3 * size, left: 3},
		"less than one":   {trailing: 1000, bytes: size - 1, left: 0},
		"all":             {trailing: 1000, bytes: 1 << 20, left: 20},
		"nothing trails":  {trailing: 0, bytes: 1 << 20, left: 0},
		"no bytes at all": {trailing: 1000, bytes: 0, left: 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var entries []Entry
			for index := range Index(20) {
				entries = append(entries, Entry{Index: index + 1, Term: 1, Data: make([]byte, size)})
			}
			l, err := restoreLog(Snapshot{}, entries)
			require.NoError(t, err)
			l.commitIndex, l.deliveredIndex = 20, 20
			_, err = l.compact(20, nil, test.trailing, test.bytes)
			require.NoError(t, err)
			require.Len(t, l.entries, test.left)
			require.Equal(t, Index(20), l.lastIndex())
		})
	}
}
