package vwkeys

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// explainAccess adds to a refused access who may read the file and which user the process is: the two are often
// decided by different people.
func explainAccess(path string, err error) error {
	if !errors.Is(err, fs.ErrPermission) {
		return trace.ConvertSystemError(err)
	}
	for {
		info, failed := os.Stat(path)
		if failed == nil {
			return trace.AccessDenied("%v: the process runs as user %d, and %s belongs to user %d with mode %04o",
				err, os.Geteuid(), path, ownerOf(info), info.Mode().Perm())
		}
		// A folder that may not be entered hides what is in it.
		parent := filepath.Dir(path)
		if parent == path {
			return trace.ConvertSystemError(err)
		}
		path = parent
	}
}

func ownerOf(info os.FileInfo) int {
	if status, ok := info.Sys().(*syscall.Stat_t); ok {
		return int(status.Uid)
	}
	return -1
}
