package vwstore

import (
	"strings"

	"github.com/gravitational/trace"
)

// damagedPrefix is the name prefix of the damaged files that SetAside keeps.
const damagedPrefix = "damaged-"

// SetAside renames the files of a damaged data directory, so that Open treats it as empty and gives it a new member
// id. The files that an earlier call has kept are removed.
func SetAside(files FileSystem) error {
	lock, err := files.Lock(lockName)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.NewAggregate(setAsideLocked(files), lock.Close())
}

// setAsideLocked does the work of SetAside. The caller holds the lock of the data directory.
func setAsideLocked(files FileSystem) error {
	names, err := files.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, damagedPrefix) {
			if err := files.Remove(name); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	// The rename of the identity is made durable before the log files are renamed: after a crash, the old member id
	// must not be loaded with an empty log.
	for _, match := range []func(name string) bool{
		func(name string) bool { return name == identityName },
		func(name string) bool {
			return name != identityName && name != lockName && !strings.HasPrefix(name, damagedPrefix)
		},
	} {
		if err := renameDamaged(files, names, match); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// renameDamaged adds damagedPrefix to the names of the files that match selects, and syncs the directory.
func renameDamaged(files FileSystem, names []string, match func(name string) bool) error {
	for _, name := range names {
		if !match(name) {
			continue
		}
		if err := files.Rename(name, damagedPrefix+name); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(files.SyncDir())
}
