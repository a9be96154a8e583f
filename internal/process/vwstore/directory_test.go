package vwstore

import (
	"io/fs"
	"syscall"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

// Guards against a file that cannot be created on a full disk and whose refusal is taken for missing access, which ends
// the member.
func TestDirectoryKeepsRefusalForLackOfRoom(t *testing.T) {
	cases := map[string]struct {
		err  error
		full bool
	}{
		"no space left":    {syscall.ENOSPC, true},
		"quota used up":    {syscall.EDQUOT, true},
		"input and output": {syscall.EIO, false},
		"no access":        {syscall.EACCES, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			err := trace.Wrap(convertError(&fs.PathError{Op: "open", Path: "segment", Err: k.err}))
			require.Error(t, err)
			require.Equal(t, k.full, IsFull(asFull(err)))
			require.False(t, IsFull(asFull(failedSync(err))), "after a failed sync it is not known what is stored")
		})
	}
}
