package vwkeys

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

// A process that may not read its key must say which user it runs as and who may read the file. Without that, an
// operator who tries the same command as the owner of the files sees it work.
func TestRefusedAccessNamesUserAndOwner(t *testing.T) {
	folder := t.TempDir()
	hidden := filepath.Join(folder, "none", "key.pem")
	err := explainAccess(hidden, &fs.PathError{Op: "open", Path: hidden, Err: fs.ErrPermission})
	require.True(t, trace.IsAccessDenied(err))
	info, statErr := os.Stat(folder)
	require.NoError(t, statErr)
	require.EqualError(t, err, fmt.Sprintf("open %s: permission denied: the process runs as user %d, and %s belongs to user %d with mode %04o",
		hidden, os.Geteuid(), folder, os.Geteuid(), info.Mode().Perm()))
}

// Other failures must keep their cause.
func TestMissingFileIsNotExplainedByAccess(t *testing.T) {
	require.True(t, trace.IsNotFound(explainAccess("none", &fs.PathError{Op: "open", Path: "none", Err: fs.ErrNotExist})))
}
